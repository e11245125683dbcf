package quarantine

import (
	"slices"
	"time"
)

// All requests that were under way at a target when it ended have the end held against them.
// One that many send alike is under way everywhere, and has three ends as soon as the fatal
// ones beside it have ended three targets. Where others may be to blame for its ends it is not
// taken for fatal at once. It is held back like a fatal one, but its callers are told to come
// back, and one copy of it is sent once nothing else ends there: a trial. A whole answer clears
// it, and the end of a target under nothing but the trial shows that it is fatal itself. Of
// several such requests the one with the most ends is tried first, and once it is cleared the
// others have nobody left to blame, so that a fatal request hardly ever gets a trial.

const (
	// MaxTrials bounds the trials of a request that a target runs until it is cleared, over all
	// gateways.
	MaxTrials = 3
	// mostUnexplained is how many ends of a request may be left that no other one explains, while
	// others may be to blame: the one that met one of its ends may not have come again.
	mostUnexplained = 1
	// settleTime is how long after a request's last end, or that of one which shared an end with
	// it, it may yet show that others were there.
	settleTime = 2 * time.Second
	// coveredTime is the same where each of its ends was also one of a request that needs only one
	// more to be held back: that comes again when targets are back.
	coveredTime = 5 * time.Second
	// trialQuiet is how long no request that shares an end may have met another one before a
	// trial: what ends targets is to be known first.
	trialQuiet = time.Second
	// trialTurn is the time between the first moments at which two gateways may begin a trial:
	// the second one knows of the first one's by then.
	trialTurn = 300 * time.Millisecond
	// trialPatience is how long an outcome is waited for: the gateway that tries may be lost.
	trialPatience = 10 * time.Second
	// trialOrder is how long requests that shared an end with one that is to be tried before
	// them wait from when it may be: callers come back sooner, if they do.
	trialOrder = 5 * time.Second
)

// Standing is whether a request may be sent.
type Verdict int

// The standings.
const (
	// Sendable: nothing forbids it.
	Sendable Verdict = iota
	// Doubtful: it is held back for now, and others may be to blame for its ends.
	Doubtful
	// Fatal: it is held back, and nobody else explains its ends.
	Fatal
)

// Standing says how a request stands now.
func (t *Table) Verdict(print Fingerprint, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[print]
	if !ok || !known.held(now) {
		return Sendable
	}
	blame := t.blame(known)
	if blame.explained || known.unsettled(blame, now) {
		return Doubtful
	}
	return Fatal
}

// MayStartTrial says whether this process may send one copy of a doubtful request now. The
// place is that of the process among those that may, 0 for the first.
func (t *Table) MayStartTrial(print Fingerprint, place int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[print]
	return ok && t.mayTry(known, place, now)
}

// Try begins a trial at a life of a target, if MayStartTrial holds; others are to know of it before
// it ends.
func (t *Table) StartTrial(print Fingerprint, place int, life Instance, now time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[print]
	if !ok || !t.mayTry(known, place, now) {
		return Change{}, false
	}
	tried := known.Record
	tried.Trials++
	tried.TrialInstance = life
	return t.take(tried, now), true
}

// Unrun notes that no target ran the trial which began at a life of one; another may begin.
func (t *Table) TrialNotRun(print Fingerprint, life Instance, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[print]
	if !ok || known.TrialInstance != life || life == 0 {
		return Change{}
	}
	ended := known.Record
	ended.UnrunTrials++
	ended.TrialInstance = 0
	return t.take(ended, now)
}

// mayTry is MayStartTrial; t.mu is held.
func (t *Table) mayTry(known *entry, place int, now time.Time) bool {
	if !known.held(now) || known.Trials-known.UnrunTrials >= MaxTrials {
		return false
	}
	if known.TrialInstance != 0 && !known.convicted() && now.Sub(known.changedAt) < trialPatience {
		return false
	}
	blame := t.blame(known)
	quiet := trialQuiet + time.Duration(place)*trialTurn
	return blame.explained && now.Sub(blame.changedAt) >= quiet && t.isNext(known, now)
}

// isNext says whether no request that shares an end is to be tried before; t.mu is held.
func (t *Table) isNext(known *entry, now time.Time) bool {
	for _, other := range t.entries {
		waits := other != known && other.held(now) && now.Sub(other.changedAt) < trialQuiet+trialOrder
		if waits && other.before(known) && other.shares(known) && t.blame(other).explained {
			return false
		}
	}
	return true
}

// blame is what there is besides a request that may have ended its targets.
type blame struct {
	// explained says that others which are held back were there at its ends, but for
	// mostUnexplained at most.
	explained bool
	// covered says that at each of its ends another request was which has met several.
	covered bool
	// changedAt is when the last end became known that it, or a request which shares an end
	// with it, had.
	changedAt time.Time
}

// unsettled says whether the ends of the request, or of others that were at some of them, are so
// fresh that it may yet show who else was there.
func (e *entry) unsettled(blame blame, now time.Time) bool {
	lasts := settleTime
	if blame.covered {
		lasts = coveredTime
	}
	return !e.settled && !e.convicted() && now.Sub(blame.changedAt) < lasts
}

// blame compares a request with all others; t.mu is held.
func (t *Table) blame(known *entry) blame {
	found := blame{changedAt: known.changedAt}
	own, uncovered := slices.Clone(known.Instances), slices.Clone(known.Instances)
	for _, other := range t.entries {
		if other == known || !other.shares(known) {
			continue
		}
		if other.changedAt.After(found.changedAt) {
			found.changedAt = other.changedAt
		}
		met := func(life Instance) bool { return slices.Contains(other.Instances, life) }
		if other.Suspicious() {
			uncovered = slices.DeleteFunc(uncovered, met)
		}
		if other.atLimit() {
			own = slices.DeleteFunc(own, met)
		}
	}
	found.explained, found.covered = len(own) <= mostUnexplained, len(uncovered) == 0
	if known.convicted() && slices.Contains(own, known.TrialInstance) {
		found.explained = false
	}
	return found
}

// convicted says whether the target of its last trial ended.
func (r Record) convicted() bool {
	return r.TrialInstance != 0 && slices.Contains(r.Instances, r.TrialInstance)
}

// shares says whether two requests were under way at the same end.
func (r Record) shares(other *entry) bool {
	return slices.ContainsFunc(r.Instances, func(life Instance) bool { return slices.Contains(other.Instances, life) })
}

// before says whether a request is tried before another one: the one with the most ends first.
func (r Record) before(other *entry) bool {
	if len(r.Instances) != len(other.Instances) {
		return len(r.Instances) > len(other.Instances)
	}
	return r.Fingerprint < other.Fingerprint
}
