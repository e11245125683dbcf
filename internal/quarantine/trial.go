package quarantine

import (
	"slices"
	"time"
)

// A crash of a target is recorded against all requests that were in flight there. A request that
// many callers send alike is in flight everywhere, and has three crashes as soon as the fatal
// requests beside it have crashed three targets. If other requests may be the cause of its crashes,
// it is not treated as fatal at once. It is held like a fatal one, but its callers are told to
// retry later, and one copy of it, a trial, is sent once the crashes have stopped. A complete
// answer clears it. A crash of a target under nothing but the trial proves that it is fatal itself.
// Of several such requests, the one with the most crashes is tried first. Once it is cleared, the
// others have no other request that explains their crashes, so that a fatal request hardly ever
// gets a trial.
//
// Crashes at one moment, such as those of a lost data centre, may have a single cause, however many copies of
// a request were in flight there. Such a request is held and tried likewise.

const (
	// MaxTrials limits the trials of a request that targets run until it is cleared, over all
	// gateways.
	MaxTrials = 3
	// maxUnexplained is how many crashes of a request may lack another request that explains them
	// while others may still be the cause: the request that caused one of them may not have been
	// sent again.
	maxUnexplained = 1
	// settleTime is how long after a request's last crash, or the last one of a request that shares
	// a crash with it, more evidence about other requests may still arrive.
	settleTime = 2 * time.Second
	// coveredSettleTime replaces settleTime if each of the crashes was also one of a request that
	// needs only one more crash to be held: that request is sent again once targets are back.
	coveredSettleTime = 5 * time.Second
	// trialQuiet is how long all requests that share a crash must have gone without a further
	// one before a trial starts: what crashes targets has to be known first.
	trialQuiet = time.Second
	// trialStagger is the delay between the earliest times at which two gateways may start a trial.
	// Within it the second gateway learns of the first one's trial.
	trialStagger = 300 * time.Millisecond
	// trialTimeout limits the wait for the outcome of a trial: the gateway that started it may be
	// lost.
	trialTimeout = 10 * time.Second
	// trialOrderWait is how long requests wait for a request that shares a crash with them and is
	// to be tried first, counted from when that one may be tried. Callers that retry at all do so
	// sooner.
	trialOrderWait = 5 * time.Second
)

// Verdict is the decision on whether a request may be sent.
type Verdict int

// The possible verdicts.
const (
	// Sendable: nothing prevents sending the request.
	Sendable Verdict = iota
	// Doubtful: the request is held for now, and other requests may be the cause of its crashes.
	Doubtful
	// Fatal: the request is held, and no other request explains its crashes.
	Fatal
)

// Verdict returns the current verdict on a request. The parts of its own prompt don't explain its
// crashes.
func (t *Table) Verdict(fingerprint Fingerprint, now time.Time, ownParts ...Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok || !e.isHeld(now) {
		return Sendable
	}
	blame := t.blame(e, ownParts)
	if e.heldForSilence() || blame.explained || e.mayBeCoincidence() || e.unsettled(blame, now) || t.partsUndecided(e, ownParts, now) {
		return Doubtful
	}
	return Fatal
}

// partsUndecided reports whether a part of a request's own prompt, under which targets crashed without the
// request as well, is held and no trial has decided yet, or has been cleared so lately that the requests held
// for it, one of which may be at fault, have hardly come again. The caller must hold t.mu.
func (t *Table) partsUndecided(e *entry, ownParts []Fingerprint, now time.Time) bool {
	for _, fingerprint := range ownParts {
		part, ok := t.entries[fingerprint]
		if !ok || part.limitAt.IsZero() {
			continue
		}
		age := now.Sub(part.changedAt)
		if len(part.Incarnations) == 0 && age < coveredSettleTime {
			return true
		}
		waiting := part.isHeld(now) && age < partDecisionTime && !t.convicted(part)
		if waiting && !e.crashedWhenever(part) {
			return true
		}
	}
	return false
}

// crashedWhenever reports whether the request was in flight at all crashes of a part.
func (e *entry) crashedWhenever(part *entry) bool {
	return !slices.ContainsFunc(part.Incarnations, func(incarnation Incarnation) bool { return !slices.Contains(e.Incarnations, incarnation) })
}

// mayBeCoincidence reports whether all crashes of the request happened at one moment, as when a data centre
// is lost while copies of it are in flight there, and no trial has shown that it crashes its target.
func (e *entry) mayBeCoincidence() bool {
	return e.AtLimit() && e.Moments < minMoments && !e.trialCrashed()
}

// MayStartTrial reports whether this process may send one copy of a doubtful request now. The rank
// is that of the process among the gateways that may do so, 0 for the first.
func (t *Table) MayStartTrial(fingerprint Fingerprint, rank int, now time.Time, ownParts ...Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && t.mayStartTrial(e, ownParts, rank, now)
}

// StartTrial starts a trial at an incarnation of a target if MayStartTrial holds. The caller has
// to announce it to the other gateways before the trial ends.
func (t *Table) StartTrial(fingerprint Fingerprint, rank int, incarnation Incarnation, now time.Time, ownParts ...Fingerprint) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok || !t.mayStartTrial(e, ownParts, rank, now) {
		return Change{}, false
	}
	updated := e.Record
	updated.Trials++
	updated.TrialIncarnation = incarnation
	return t.apply(updated, now), true
}

// TrialNotRun records that no target ran the trial that started at an incarnation, so that another
// trial may start.
func (t *Table) TrialNotRun(fingerprint Fingerprint, incarnation Incarnation, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok || e.TrialIncarnation != incarnation || incarnation == 0 {
		return Change{}
	}
	updated := e.Record
	updated.UnrunTrials++
	updated.TrialIncarnation = 0
	return t.apply(updated, now)
}

// mayStartTrial is MayStartTrial for callers that hold t.mu.
func (t *Table) mayStartTrial(e *entry, ownParts []Fingerprint, rank int, now time.Time) bool {
	if !e.isHeld(now) || e.Trials-e.UnrunTrials >= MaxTrials {
		return false
	}
	if e.TrialIncarnation != 0 && !e.trialCrashed() && now.Sub(e.changedAt) < trialTimeout {
		return false
	}
	blame := t.blame(e, ownParts)
	stagger := time.Duration(rank) * trialStagger
	if e.heldForSilence() {
		return now.Sub(blame.changedAt) >= suspectSettleTime+stagger && t.isNext(e, now)
	}
	quiet := trialQuiet + stagger
	return (blame.explained || e.mayBeCoincidence()) && now.Sub(blame.changedAt) >= quiet && t.isNext(e, now)
}

// isNext reports whether no request that shares a crash is to be tried first. The caller must hold
// t.mu.
func (t *Table) isNext(e *entry, now time.Time) bool {
	for _, other := range t.entries {
		hasPriority := other != e && !other.Fingerprint.IsPart() && other.isHeld(now) && now.Sub(other.changedAt) < trialQuiet+trialOrderWait
		if hasPriority && other.triedBefore(e) && other.sharesCrash(e) && t.blame(other, nil).explained {
			return false
		}
	}
	return true
}

// blame describes the other requests that may have caused a request's crashes.
type blame struct {
	// explained reports whether other held requests were in flight at all of its crashes but at
	// most maxUnexplained.
	explained bool
	// covered reports whether at each of its crashes another request with several crashes was in
	// flight.
	covered bool
	// changedAt is when the last crash of the request, or of one that shares a crash with it, was
	// recorded.
	changedAt time.Time
}

// unsettled reports whether the crashes of the request, or of others that share some of them, are
// so recent that evidence about other requests may still arrive.
func (e *entry) unsettled(blame blame, now time.Time) bool {
	delay := settleTime
	if blame.covered {
		delay = coveredSettleTime
	}
	return !e.restored && !e.trialCrashed() && now.Sub(blame.changedAt) < delay
}

// blame compares a request with all others, and with the parts at their limit but its own. The caller
// must hold t.mu.
func (t *Table) blame(e *entry, ownParts []Fingerprint) blame {
	result := blame{changedAt: e.changedAt}
	unexplained, uncovered := slices.Clone(e.Incarnations), slices.Clone(e.Incarnations)
	for _, other := range t.entries {
		if other == e || !other.sharesCrash(e) || slices.Contains(ownParts, other.Fingerprint) {
			continue
		}
		if other.Fingerprint.IsPart() && !other.AtLimit() {
			continue
		}
		if other.changedAt.After(result.changedAt) {
			result.changedAt = other.changedAt
		}
		crashedWith := func(incarnation Incarnation) bool { return slices.Contains(other.Incarnations, incarnation) }
		if other.Suspicious() {
			uncovered = slices.DeleteFunc(uncovered, crashedWith)
		}
		if other.AtLimit() {
			unexplained = slices.DeleteFunc(unexplained, crashedWith)
		}
	}
	result.explained, result.covered = len(unexplained) <= maxUnexplained, len(uncovered) == 0
	if e.trialCrashed() && slices.Contains(unexplained, e.TrialIncarnation) {
		result.explained = false
	}
	return result
}

// trialCrashed reports whether the target of the last trial crashed.
func (r Record) trialCrashed() bool {
	return r.TrialIncarnation != 0 && slices.Contains(r.Incarnations, r.TrialIncarnation)
}

// sharesCrash reports whether two requests were in flight at the same crash.
func (r Record) sharesCrash(other *entry) bool {
	return slices.ContainsFunc(r.Incarnations, func(incarnation Incarnation) bool { return slices.Contains(other.Incarnations, incarnation) })
}

// triedBefore reports whether a request is tried before another: the one with the most crashes
// comes first.
func (r Record) triedBefore(other *entry) bool {
	if len(r.Incarnations) != len(other.Incarnations) {
		return len(r.Incarnations) > len(other.Incarnations)
	}
	return r.Fingerprint < other.Fingerprint
}
