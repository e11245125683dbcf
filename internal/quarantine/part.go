package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// A part of prompts may crash every target that begins to answer a request with it, whatever else
// the request holds. No two such requests are alike, so the crashes are counted for each part that
// requests may share as well. Each crash breaks off many requests, and a part that most of them hold
// is in nearly all crashes too. What tells them apart is that a fatal part is never answered: an
// answer to any request with a part clears it.
//
// A part that reaches its limit before it could be answered, as a new one does when a data centre is
// lost, gets the benefit of the doubt for coincidenceTime, and after crashes at a single moment for as
// long as requests with it run at other targets. After that it is confirmed, which all gateways learn.
// A confirmed part holds back the requests of the workspaces whose requests crashed targets, and those
// of all workspaces if several did: what a part is called is the callers' choice, so one workspace
// can't hold back what others name alike.
//
// Of several parts that were in all crashes, each is confirmed, but only requests with all of them
// are held back: the crashes of each part are explained by the others that a request lacks. If that
// is wrong, the next crash shows it.

const (
	// PartLimit is the number of crashes at which a part may be held.
	PartLimit = 4
	// coincidenceTime is how long a part at its limit may have the benefit of the doubt: long enough
	// for the first answers to a new part. Together with the time until all gateways know it must be
	// less than the time for which they may be out of touch.
	coincidenceTime = 2 * time.Second
	// momentLength is the time within which crashes count as one: a lost data centre, as one gateway
	// learns of it. With fewer than minMoments such moments a part has the benefit of the doubt.
	momentLength = 200 * time.Millisecond
	minMoments   = 2
	// partAnswerTTL is how long an answer to a part excuses a crash. It is short since a part may
	// turn fatal.
	partAnswerTTL = 2 * time.Second
	// maxPartTrials limits the requests that are sent while a part is held, over all gateways.
	maxPartTrials = 2
	// partTrialDelay is how long after the last crash the first of them is sent. By then, requests
	// that were in flight when the part was held have been answered.
	partTrialDelay = 5 * time.Second
	// accusedTrialDelay is how much longer that takes for a request that was in flight at a crash itself:
	// another one tells more, since its crash could only have the part as its cause.
	accusedTrialDelay = 2 * time.Second
	// partDecisionTime is how long after the last crash of a part, or the start of its trial, a decision on it
	// may come.
	partDecisionTime = partTrialDelay + accusedTrialDelay + trialTimeout
	// maxWorkspaces limits the workspaces in a record: with two, it holds for all.
	maxWorkspaces = 2
	// maxAnsweredParts limits the parts whose last answer is remembered, and maxHeardCrashes the
	// crashes of which it is remembered when this process learned of them.
	maxAnsweredParts = 4096
	maxHeardCrashes  = 1024
)

// partBit marks the fingerprints of parts.
const partBit Fingerprint = 1 << 63

// IsPart reports whether the fingerprint is that of a part of prompts, rather than of a request.
func (f Fingerprint) IsPart() bool { return f&partBit != 0 }

// PartFingerprint identifies a part of prompts by its ID.
func PartFingerprint(id string) Fingerprint {
	sum := sha256.Sum256([]byte(id))
	return Fingerprint(binary.BigEndian.Uint64(sum[:])) | partBit
}

// Workspace identifies a workspace in the records of parts: the upper half of the hash of its name.
type Workspace uint32

// Prompt holds the parts of a request's prompt that other requests may share.
type Prompt struct {
	Workspace Workspace
	Parts     []Fingerprint
}

// PartSuspicion describes a part that may be held for a request.
type PartSuspicion struct {
	Fingerprint Fingerprint
	// Confirmed means that some gateway has found that it must be held.
	Confirmed bool
	// InTime means that it may still have the benefit of the doubt.
	InTime bool
	// Moments is the number of moments at which targets crashed, as far as this process can tell.
	Moments int
}

// Holds reports whether the part is to be held. running means that it has been in flight for a while
// at other targets that haven't crashed: after crashes at one moment, these decide.
func (s PartSuspicion) Holds(running bool) bool {
	severalMoments := s.Moments >= minMoments
	if running {
		return s.Confirmed || severalMoments && !s.InTime
	}
	return s.Confirmed || severalMoments || !s.InTime
}

// limit is the number of crashes at which the subject of the record may be held.
func (r Record) limit() int {
	if r.Fingerprint.IsPart() {
		return PartLimit
	}
	return Limit
}

// concerns reports whether the record of a part applies to the requests of a workspace.
func (r Record) concerns(workspace Workspace) bool {
	return len(r.Workspaces) >= maxWorkspaces || slices.Contains(r.Workspaces, workspace)
}

// PartCrashed records that an incarnation of a target crashed while a request of a workspace with a
// part was in flight there, unless this process got an answer to the part a moment ago.
func (t *Table) PartCrashed(part Fingerprint, workspace Workspace, incarnation Incarnation, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.partAnsweredLately(part, now) {
		return Change{}
	}
	crash := Record{Fingerprint: part, Epoch: t.epochOf(part), Incarnations: []Incarnation{incarnation}, Workspaces: []Workspace{workspace}}
	return t.apply(crash, now)
}

// PartsAnswered records that a target has answered a request with the parts, which clears them. It
// returns the changed records.
func (t *Table) PartsAnswered(parts []Fingerprint, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, part := range parts {
		t.answeredParts.Add(part, now)
		if change := t.clear(part, now); change.Changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// PartAnsweredAgo returns how long ago this process last got an answer to a part; negative if that
// isn't known.
func (t *Table) PartAnsweredAgo(part Fingerprint, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	answeredAt, ok := t.answeredParts.Peek(part)
	if !ok {
		return -1
	}
	return now.Sub(answeredAt)
}

// partAnsweredLately reports whether an answer to a part excuses a crash. The caller must hold t.mu.
func (t *Table) partAnsweredLately(part Fingerprint, now time.Time) bool {
	answeredAt, ok := t.answeredParts.Peek(part)
	return ok && now.Sub(answeredAt) < partAnswerTTL
}

// SuspiciousParts returns the parts for which a request may be held back: those at their limit whose
// crashes nothing else explains that the request lacks.
func (t *Table) SuspiciousParts(prompt Prompt, own Fingerprint, now time.Time) []PartSuspicion {
	if t.partsAtLimit.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []PartSuspicion
	for _, part := range prompt.Parts {
		e, ok := t.entries[part]
		if !ok || !e.isHeld(now) || !e.concerns(prompt.Workspace) || t.explainedWithout(e, prompt.Parts, own) {
			continue
		}
		found = append(found, PartSuspicion{Fingerprint: part, Confirmed: e.Confirmed, InTime: now.Sub(e.limitAt) < coincidenceTime, Moments: t.moments(e.Record)})
	}
	return found
}

// explainedWithout reports whether requests and parts at their limits, other than a request's own,
// were in flight at all crashes of one of its parts. The caller must hold t.mu.
func (t *Table) explainedWithout(e *entry, parts []Fingerprint, own Fingerprint) bool {
	unexplained := slices.Clone(e.Incarnations)
	for fingerprint, other := range t.limited {
		if fingerprint == own || slices.Contains(parts, fingerprint) {
			continue
		}
		unexplained = slices.DeleteFunc(unexplained, func(incarnation Incarnation) bool { return slices.Contains(other.Incarnations, incarnation) })
	}
	return len(unexplained) == 0
}

// moments counts the moments at which the targets of a record crashed, by when this process learned
// of each. The caller must hold t.mu.
func (t *Table) moments(record Record) int {
	var times []time.Time
	for _, incarnation := range record.Incarnations {
		if at, ok := t.heard.Peek(incarnation); ok {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var begin time.Time
	for _, at := range times {
		if count == 0 || at.Sub(begin) >= momentLength {
			count, begin = count+1, at
		}
	}
	return count
}

// hearCrashes records when this process learned of the crashes of a joined record, and returns at how many
// moments they happened: as the record states or, if it doesn't, as this process learned of them. Of several
// crashes that it first learns of at the same time, it can't tell whether they happened together. The caller
// must hold t.mu.
func (t *Table) hearCrashes(joined Record, now time.Time) uint32 {
	unheard := 0
	for _, incarnation := range joined.Incarnations {
		if !t.heard.Contains(incarnation) {
			unheard++
		}
		t.HeardOfCrash(incarnation, now)
	}
	switch {
	case joined.Moments > 0:
		return joined.Moments
	case unheard > 1:
		return minMoments
	}
	return min(uint32(t.moments(joined)), minMoments)
}

// HeardOfCrash records when this process learned that an incarnation of a target crashed.
func (t *Table) HeardOfCrash(incarnation Incarnation, now time.Time) {
	t.heard.ContainsOrAdd(incarnation, now)
}

// Confirm records that a part at its limit is held from now on.
func (t *Table) Confirm(part Fingerprint, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[part]
	if !ok || e.Confirmed || !e.AtLimit() {
		return Change{}
	}
	confirmed := e.Record
	confirmed.Confirmed = true
	return t.apply(confirmed, now)
}

// MayRetryParts reports whether a request that was just lost may be sent to another target: not if
// one of its parts was in several crashes that nothing else explains. running tells of each part
// whether it is in flight at other targets.
func (t *Table) MayRetryParts(prompt Prompt, running func(part Fingerprint) bool, now time.Time) bool {
	for _, part := range prompt.Parts {
		if t.crashedRepeatedly(part, now) && !running(part) {
			return false
		}
	}
	return true
}

// crashedRepeatedly reports whether targets crashed at several moments while requests with a part were
// in flight there, and none was answered since.
func (t *Table) crashedRepeatedly(part Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[part]
	return ok && !e.expired(now) && t.moments(e.Record) > 1
}

// PartsVerdict returns Fatal once a request with one of the held parts was sent alone and crashed its
// target, and Doubtful before.
func (t *Table) PartsVerdict(parts []Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if e, ok := t.entries[part]; ok && t.convicted(e) {
			return Fatal
		}
	}
	return Doubtful
}

// convicted reports whether the target of a part's last trial crashed, and no request that had crashed others
// was in flight there. The caller must hold t.mu.
func (t *Table) convicted(e *entry) bool {
	if !e.trialCrashed() {
		return false
	}
	for _, other := range t.entries {
		if !other.Fingerprint.IsPart() && other.Suspicious() && slices.Contains(other.Incarnations, e.TrialIncarnation) {
			return false
		}
	}
	return true
}

// PartTrialIn returns how long it takes until this process may send a request with all of the held parts, as
// the only one; negative if it won't. The rank is that of the process among the gateways, 0 for the first.
func (t *Table) PartTrialIn(parts []Fingerprint, request Fingerprint, rank int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := time.Duration(0)
	for _, part := range parts {
		e, ok := t.entries[part]
		if !ok || !e.AtLimit() {
			continue
		}
		if t.convicted(e) || e.Trials-e.UnrunTrials >= maxPartTrials {
			return -1
		}
		delay := partTrialDelay
		if e.TrialIncarnation != 0 && !e.trialCrashed() {
			delay = trialTimeout
		}
		if t.accused(request, now) {
			delay += accusedTrialDelay
		}
		wait = max(wait, delay+time.Duration(rank)*trialStagger-now.Sub(e.changedAt))
	}
	return wait
}

// accused reports whether targets crashed while a request was in flight there. The caller must hold t.mu.
func (t *Table) accused(request Fingerprint, now time.Time) bool {
	e, ok := t.entries[request]
	return ok && !e.expired(now) && len(e.Incarnations) > 0
}

// StartPartTrial makes a request the trial of held parts, at an incarnation of a target, if PartTrialIn allows
// it now. The caller has to announce the changes to the other gateways before the trial ends.
func (t *Table) StartPartTrial(parts []Fingerprint, request Fingerprint, rank int, incarnation Incarnation, now time.Time) (changes []Change, started bool) {
	if t.PartTrialIn(parts, request, rank, now) != 0 {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		e, ok := t.entries[part]
		if !ok {
			continue
		}
		updated := e.Record
		updated.Trials++
		updated.TrialIncarnation = incarnation
		changes = append(changes, t.apply(updated, now))
	}
	return changes, true
}
