package quarantine

import (
	"cmp"
	"slices"
)

const (
	// Limit is how many targets end under a request until it is sent no more. One or two are
	// met by chance: a request that was under way with a fatal one comes again, and may meet
	// it again. Where a fatal request had ended three targets, 2 of the 18 others under way
	// there had met two ends, and none three; where it had ended 13, 18 of 104 and 4.
	Limit = 3
	// mostLives bounds the ends that are told apart for one request; with as many its term
	// has long been the last one.
	mostLives = 16
)

// Life names one life of a target that ended: the upper half of the hash of its name.
type Instance uint32

// Record is what is known of one request. Records of the same request from several
// gateways make one, in whatever order they come, however often.
type Record struct {
	Fingerprint Fingerprint
	// Epoch is how often the request was cleared: of two records the one with the higher
	// epoch holds.
	Epoch uint32
	// Lives are those that have ended under the request since it was last cleared, in
	// order, without repeats, at most mostLives.
	Instances []Instance
	// Trial is how many trials have begun since the request was last cleared, and Unrun how many
	// of them no target ran. TrialInstance is the life of a target that runs or ran the last one; zero
	// if none did.
	Trials, UnrunTrials uint32
	TrialInstance       Instance
}

// atLimit says whether the request is to be held back, for a while at least.
func (r Record) atLimit() bool {
	return len(r.Instances) >= Limit
}

// Suspicious says whether the request was under way at more ends than one.
func (r Record) Suspicious() bool {
	return len(r.Instances) >= Limit-1
}

// join makes one of two records of the same request.
func (r Record) join(other Record) Record {
	if other.Epoch != r.Epoch {
		if other.Epoch > r.Epoch {
			return other
		}
		return r
	}
	r.Instances = append(slices.Clone(r.Instances), other.Instances...)
	if cmp.Or(cmp.Compare(other.Trials, r.Trials), cmp.Compare(other.UnrunTrials, r.UnrunTrials), cmp.Compare(other.TrialInstance, r.TrialInstance)) > 0 {
		r.Trials, r.UnrunTrials, r.TrialInstance = other.Trials, other.UnrunTrials, other.TrialInstance
	}
	return r.Normal()
}

// Normal is a record that came from elsewhere, in the form that the fields promise.
func (r Record) Normal() Record {
	lives := slices.Clone(r.Instances)
	slices.Sort(lives)
	lives = slices.Compact(lives)
	r.Instances = lives[:min(len(lives), mostLives)]
	if r.UnrunTrials = min(r.UnrunTrials, r.Trials); r.Trials == r.UnrunTrials {
		r.TrialInstance = 0
	}
	return r
}

// Equal says whether two records are the same.
func (r Record) Equal(other Record) bool {
	same := r.Fingerprint == other.Fingerprint && r.Epoch == other.Epoch
	tried := r.Trials == other.Trials && r.UnrunTrials == other.UnrunTrials && r.TrialInstance == other.TrialInstance
	return same && tried && slices.Equal(r.Instances, other.Instances)
}

// Change is what has become of a request's record.
type Change struct {
	// Record is what is known now.
	Record
	// Before is how many ends were held against the request before.
	Before int
	// News says that the record has changed, and Ahead that it differs from the one that
	// was taken: it would be news to whoever that came from.
	Changed, NewToSender bool
	// objects says that this process clears what others hold against the request.
	clearedOnMerge bool
}

// Wide says whether all gateways are to have the record, and not just those that keep
// track of the request.
func (c Change) Broadcast() bool {
	return c.Suspicious() || c.clearedOnMerge || c.Before >= Limit-1
}

// Objects says that this process clears what others hold against the request.
func (c Change) ClearedOnMerge() bool { return c.clearedOnMerge }

// Begins says whether the request is held back from now on, and Ends that it is no more.
func (c Change) HoldStarted() bool { return c.Changed && c.atLimit() && c.Before < Limit }

// Ends says whether the request was held back, and is cleared.
func (c Change) HoldEnded() bool { return c.Changed && !c.atLimit() && c.Before >= Limit }

// digest is a hash of the record at the limit; zero of any other.
func (r Record) digest() uint64 {
	if !r.atLimit() {
		return 0
	}
	const prime = 0x9e3779b97f4a7c15
	hash := uint64(r.Fingerprint) ^ uint64(r.Epoch)*prime ^ uint64(r.Trials)<<32 ^ uint64(r.UnrunTrials)
	for _, life := range append(slices.Clone(r.Instances), r.TrialInstance) {
		hash = (hash ^ uint64(life)) * prime
		hash ^= hash >> 29
	}
	return hash
}
