package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// A target that ends without closing its connections shows nothing but silence until its membership
// entry expires, seconds later. A target that is cut off, frozen or slow looks the same, and so does
// every target if this gateway itself is cut off. So silence is recorded apart from crashes, and
// holds a request on stricter terms: each target was asked for its health after the request had been
// sent and didn't answer; at least two of them had answered that question right before the request
// was sent, which a lost data centre or link doesn't explain; and no target has answered the same
// request lately. An answer of a target takes the suspicion of that target back. A request that is
// held for silence is always doubtful, never fatal: its callers are told to come back, and a trial
// decides if neither answers nor expired entries have done so.

const (
	// suspectTerm is how long a request is held for silence alone, unless a further target falls
	// silent.
	suspectTerm = time.Minute
	// suspectSettleTime is how long after the last target fell silent a trial may start. By then the
	// entries of targets that have ended have expired, unless the store is away.
	suspectSettleTime = 5 * time.Second
	// maxSuspects limits the suspects that are recorded for one request.
	maxSuspects = 8
	// minFellSilent is how many targets must have fallen silent right after they had answered. One can
	// be a coincidence where targets freeze in turn.
	minFellSilent = 2
)

// Evidence is what is known of a target that fell silent while it ran a request. A higher value
// replaces a lower one when records merge.
type Evidence uint32

// The kinds of evidence.
const (
	// Silent: the target answered neither the request nor a question about its health.
	Silent Evidence = iota + 1
	// FellSilent: besides, it had answered such a question right before the request was sent.
	FellSilent
	// Answered: the target has answered since, so the request did not end it.
	Answered
)

// Suspect is an incarnation of a target that fell silent while it ran a request.
type Suspect struct {
	Incarnation Incarnation
	Evidence    Evidence
}

// unresolved reports whether the target may have ended.
func (s Suspect) unresolved() bool { return s.Evidence < Answered }

// mergeSuspects returns the suspects in their normal form: sorted, one for each incarnation with the
// highest evidence, without those that have crashed.
func mergeSuspects(all []Suspect, crashed []Incarnation) []Suspect {
	suspects := slices.Clone(all)
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(b.Evidence, a.Evidence))
	})
	suspects = slices.CompactFunc(suspects, func(a, b Suspect) bool { return a.Incarnation == b.Incarnation })
	suspects = slices.DeleteFunc(suspects, func(s Suspect) bool {
		return s.Evidence < Silent || s.Evidence > Answered || slices.Contains(crashed, s.Incarnation)
	})
	return suspects[:min(len(suspects), maxSuspects)]
}

// Suspected is the number of targets that may have ended while they ran the request.
func (r Record) Suspected() int {
	count := 0
	for _, suspect := range r.Suspects {
		if suspect.unresolved() {
			count++
		}
	}
	return count
}

// ends is the number of targets that have crashed or may have ended.
func (r Record) ends() int {
	return len(r.Incarnations) + r.Suspected()
}

// heldForSilence reports whether the request has enough suspects to be held for a while, but too few
// crashes.
func (r Record) heldForSilence() bool {
	fellSilent := 0
	for _, suspect := range r.Suspects {
		if suspect.Evidence == FellSilent {
			fellSilent++
		}
	}
	return !r.AtLimit() && r.ends() >= r.limit() && fellSilent >= minFellSilent
}

// Suspect records that an incarnation of a target fell silent while it ran a request, unless a target
// has answered the same request lately.
func (t *Table) Suspect(fingerprint Fingerprint, suspect Suspect, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answeredLately(fingerprint, now) {
		return Change{}
	}
	return t.apply(Record{Fingerprint: fingerprint, Epoch: t.epochOf(fingerprint), Suspects: []Suspect{suspect}}, now)
}

// TargetAnswered records that an incarnation of a target has answered something, which takes back all
// suspicions that it has ended. It returns the changed records.
func (t *Table) TargetAnswered(incarnation Incarnation, now time.Time) []Change {
	if t.suspected.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[incarnation] == 0 {
		return nil
	}
	var changes []Change
	for _, e := range t.entries {
		suspects := slices.ContainsFunc(e.Suspects, func(s Suspect) bool { return s.Incarnation == incarnation && s.unresolved() })
		if suspects {
			answered := []Suspect{{Incarnation: incarnation, Evidence: Answered}}
			changes = append(changes, t.apply(Record{Fingerprint: e.Fingerprint, Epoch: e.Epoch, Suspects: answered}, now))
		}
	}
	return changes
}

// countSuspects adds a number to the count of each incarnation that a record suspects. The caller
// must hold t.mu.
func (t *Table) countSuspects(record Record, add int) {
	for _, suspect := range record.Suspects {
		if !suspect.unresolved() {
			continue
		}
		t.suspected.Add(int64(add))
		t.suspects[suspect.Incarnation] += add
		if t.suspects[suspect.Incarnation] == 0 {
			delete(t.suspects, suspect.Incarnation)
		}
	}
}

// Doubted reports whether targets fell silent while they ran a request, and no target has answered it
// lately.
func (t *Table) Doubted(fingerprint Fingerprint, now time.Time) bool {
	if t.suspected.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && e.Suspected() > 0 && !e.expired(now) && !t.answeredLately(fingerprint, now)
}

// ConcernsAll reports whether one more crash or silent target may hold a request.
func (t *Table) ConcernsAll(fingerprint Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && e.ConcernsAll() && !e.expired(now)
}

// MayRetry reports whether a request that was just lost at an incarnation of a target may be sent to
// another one: not if one more crash holds it, nor if another target fell silent while it ran it.
func (t *Table) MayRetry(fingerprint Fingerprint, lostAt Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok || e.expired(now) {
		return true
	}
	elsewhere := slices.ContainsFunc(e.Suspects, func(s Suspect) bool { return s.Incarnation != lostAt && s.unresolved() })
	return !e.Suspicious() && (!elsewhere || t.answeredLately(fingerprint, now))
}

// AnsweredLately reports whether a target has answered a request completely within the last minute.
func (t *Table) AnsweredLately(fingerprint Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredLately(fingerprint, now)
}

// answeredLately is AnsweredLately for callers that hold t.mu.
func (t *Table) answeredLately(fingerprint Fingerprint, now time.Time) bool {
	answeredAt, ok := t.answered.Peek(fingerprint)
	return ok && now.Sub(answeredAt) < answeredTTL
}
