package quarantine

import (
	"cmp"
	"slices"
)

const (
	// Limit is the number of target crashes at which a request is no longer sent. One or two can be
	// coincidence: a request that was in flight beside a fatal one is sent again and may run beside
	// it again. Where a fatal request had crashed 3 targets, 2 of the 18 other requests in flight
	// there had seen 2 crashes, and none 3; where it had crashed 13 targets, 18 of 104 had seen 2,
	// and 4 had seen 3.
	Limit = 3
	// maxIncarnations limits the distinct crashes that are recorded for one request. With that
	// many, its term reached MaxTerm long before.
	maxIncarnations = 16
)

// Incarnation identifies a crashed incarnation of a target: the upper half of the hash of its name.
type Incarnation uint32

// Record is the crash record of one request. Records of the same request from several gateways
// merge into one. The order and repetition of merges don't matter.
type Record struct {
	Fingerprint Fingerprint
	// Epoch counts how often the request was cleared. Of two records, the one with the higher epoch
	// wins.
	Epoch uint32
	// Incarnations are those that have crashed under the request since it was last cleared, sorted,
	// without duplicates, at most maxIncarnations.
	Incarnations []Incarnation
	// Moments is at how many moments they have crashed, at most minMoments; zero if that isn't known. Of
	// gateways that differ, the lower figure holds: the others learned of some crashes late.
	Moments uint32
	// Suspects are incarnations that fell silent while they ran the request, sorted, each once, none
	// of Incarnations, at most maxSuspects.
	Suspects []Suspect
	// Workspaces are those of the requests with a part that were in flight at crashes, sorted, the
	// lowest maxWorkspaces. Confirmed means that the part is held. Both are only set for parts.
	Workspaces []Workspace
	Confirmed  bool
	// Trials counts the trials that have started since the request was last cleared, and
	// UnrunTrials those that no target ran. TrialIncarnation is the incarnation that runs or ran
	// the last trial; zero if none did.
	Trials, UnrunTrials uint32
	TrialIncarnation    Incarnation
}

// AtLimit reports whether the request has enough crashes to be held, at least for a while.
func (r Record) AtLimit() bool {
	return len(r.Incarnations) >= r.limit()
}

// ConcernsAll reports whether all gateways need the record, and not only the keepers of the request:
// one more crash or silent target may hold the request.
func (r Record) ConcernsAll() bool {
	return r.ends() >= r.limit()-1
}

// limited reports whether the request is to be held, for its crashes or for silence.
func (r Record) limited() bool {
	return r.AtLimit() || r.heldForSilence()
}

// Suspicious reports whether the request was in flight at more than one crash.
func (r Record) Suspicious() bool {
	return len(r.Incarnations) >= r.limit()-1
}

// join merges two records of the same request.
func (r Record) join(other Record) Record {
	if other.Epoch != r.Epoch {
		if other.Epoch > r.Epoch {
			return other
		}
		return r
	}
	known := r
	r.Incarnations = append(slices.Clone(r.Incarnations), other.Incarnations...)
	r.Suspects = append(slices.Clone(r.Suspects), other.Suspects...)
	r.Workspaces = append(slices.Clone(r.Workspaces), other.Workspaces...)
	r.Confirmed = r.Confirmed || other.Confirmed
	if cmp.Or(cmp.Compare(other.Trials, r.Trials), cmp.Compare(other.UnrunTrials, r.UnrunTrials), cmp.Compare(other.TrialIncarnation, r.TrialIncarnation)) > 0 {
		r.Trials, r.UnrunTrials, r.TrialIncarnation = other.Trials, other.UnrunTrials, other.TrialIncarnation
	}
	r = r.Normal()
	r.Moments = joinMoments(r, known, other.Normal())
	return r
}

// joinMoments returns the moments of the crashes of a joined record that one of the two records states which
// it was joined from; zero if neither does. Where both have the same crashes, the lower one holds.
func joinMoments(joined, one, other Record) uint32 {
	moments := uint32(0)
	for _, record := range []Record{one, other} {
		if record.Moments > 0 && slices.Equal(record.Incarnations, joined.Incarnations) && (moments == 0 || record.Moments < moments) {
			moments = record.Moments
		}
	}
	return moments
}

// Normal returns the record in the form that its fields' comments describe, whatever its origin.
func (r Record) Normal() Record {
	incarnations := slices.Clone(r.Incarnations)
	slices.Sort(incarnations)
	incarnations = slices.Compact(incarnations)
	r.Incarnations = incarnations[:min(len(incarnations), maxIncarnations)]
	r.Moments = min(r.Moments, minMoments)
	r.Suspects = mergeSuspects(r.Suspects, r.Incarnations)
	r.Workspaces = slices.Clone(r.Workspaces)
	slices.Sort(r.Workspaces)
	r.Workspaces = slices.Compact(r.Workspaces)
	r.Workspaces = r.Workspaces[:min(len(r.Workspaces), maxWorkspaces)]
	if r.UnrunTrials = min(r.UnrunTrials, r.Trials); r.Trials == r.UnrunTrials {
		r.TrialIncarnation = 0
	}
	return r
}

// Equal reports whether two records are the same, apart from their moments: these are estimates, in which
// gateways that have the same crashes may differ for a while.
func (r Record) Equal(other Record) bool {
	same := r.Fingerprint == other.Fingerprint && r.Epoch == other.Epoch
	sameTrial := r.Trials == other.Trials && r.UnrunTrials == other.UnrunTrials && r.TrialIncarnation == other.TrialIncarnation
	sameScope := r.Confirmed == other.Confirmed && slices.Equal(r.Workspaces, other.Workspaces)
	return same && sameTrial && sameScope && slices.Equal(r.Incarnations, other.Incarnations) && slices.Equal(r.Suspects, other.Suspects)
}

// Change describes the effect of an update on a request's record.
type Change struct {
	// Record is the record after the update.
	Record
	// Before is the number of crashes that were recorded before the update.
	Before int
	// previous is the record before the update.
	previous Record
	// Changed reports whether the record has changed. NewToSender reports whether it differs from
	// the record that was received, so that the sender needs it.
	Changed, NewToSender bool
	// clearedOnMerge reports whether this process has cleared the crashes that other gateways
	// recorded.
	clearedOnMerge bool
}

// Broadcast reports whether all gateways need the record, and not only the keepers of the request.
func (c Change) Broadcast() bool {
	return c.ConcernsAll() || c.clearedOnMerge || c.previous.Suspicious() || c.previous.ConcernsAll()
}

// ClearedOnMerge reports whether this process has cleared the crashes that other gateways
// recorded.
func (c Change) ClearedOnMerge() bool { return c.clearedOnMerge }

// HoldStarted reports whether the request is held from now on.
func (c Change) HoldStarted() bool {
	return c.Changed && c.limited() && !c.limitedBefore()
}

// HoldEnded reports whether the request was held and has now been cleared.
func (c Change) HoldEnded() bool {
	return c.Changed && !c.limited() && c.limitedBefore()
}

func (c Change) limitedBefore() bool { return c.previous.AtLimit() || c.previous.heldForSilence() }

// digest returns a hash of a record at the limit, and zero for any other.
func (r Record) digest() uint64 {
	if !r.AtLimit() {
		return 0
	}
	const prime = 0x9e3779b97f4a7c15
	hash := uint64(r.Fingerprint) ^ uint64(r.Epoch)*prime ^ uint64(r.Trials)<<32 ^ uint64(r.UnrunTrials)
	for _, incarnation := range append(slices.Clone(r.Incarnations), r.TrialIncarnation) {
		hash = (hash ^ uint64(incarnation)) * prime
		hash ^= hash >> 29
	}
	for _, workspace := range r.Workspaces {
		hash = (hash ^ uint64(workspace)) * prime
	}
	if r.Confirmed {
		hash ^= prime
	}
	return hash
}
