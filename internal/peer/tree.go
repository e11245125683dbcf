package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Among many gateways, proofs and revisions go down a tree, so that those who
// ask the store don't have to tell everybody: each gateway asks its parent
// twice a second, and is told by it at once of what is urgent. The tree follows
// from an order that all share; where views differ for a while, some ask a
// parent that knows no more than they do, and whose proof grows too old asks
// the store.

const (
	// askers is how many gateways ask the store; the others hear from them.
	askers = 2
	// fanOut is how many gateways one tells.
	fanOut = 16
	// proofEvery is the time between two questions to the parent.
	proofEvery = 500 * time.Millisecond
	// mostUnanswered is how many questions in a row a parent may leave
	// unanswered before it is passed over.
	mostUnanswered = 3
	// askerSilent is how long an asker may be silent before the next one asks in
	// its place; askerSilentOfMany with more than a few peers, who hear each
	// other less often. It is shorter than the time after which a peer counts
	// as lost: a call too many costs little.
	askerSilent       = 900 * time.Millisecond
	askerSilentOfMany = 1500 * time.Millisecond
)

// askSilence is how long an asker may be silent now.
func (t *table) askSilence(now time.Time) time.Duration {
	if len(t.live(now)) > fewPeers {
		return max(askerSilentOfMany, beatsMissed*t.beatInterval())
	}
	return askerSilent
}

// candidates are the live peers that may ask the store or pass on what it
// says, in the order that all gateways share.
func (t *table) candidates(now time.Time) []*peer {
	silence := t.askSilence(now)
	candidates := slices.DeleteFunc(t.live(now), func(known *peer) bool {
		return known.leaving || !known.reachesStore || known.unanswered >= mostUnanswered || now.Sub(known.heardAt) > silence
	})
	slices.SortFunc(candidates, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(askScore(b.id), askScore(a.id)), cmp.Compare(a.id, b.id))
	})
	return candidates
}

// asks says whether this gateway is among those that ask the store.
func (t *table) asks(now time.Time) bool {
	return t.rank(now) < askers
}

// rank is how many of the gateways that reach the store come before this one,
// in an order that all share.
func (t *table) rank(now time.Time) int {
	return t.rankIn(t.candidates(now))
}

func (t *table) rankIn(candidates []*peer) int {
	own := askScore(t.self)
	return len(candidates) - len(slices.DeleteFunc(slices.Clone(candidates), func(known *peer) bool {
		return askScore(known.id) > own
	}))
}

func askScore(id string) uint64 {
	return policy.Score(policy.HashName("store"), policy.HashName(id))
}

// parentRank is the place, in the order, of the parent of the gateway at a
// place; -1 for those who ask the store.
func parentRank(rank int) int {
	switch {
	case rank < askers:
		return -1
	case rank < askers+askers*fanOut:
		return (rank - askers) % askers
	}
	return askers + (rank-askers-askers*fanOut)/fanOut
}

// parent is the peer from which this gateway hears what the store says; nil
// if it asks the store itself, or the peers are few and all hear all.
func (t *table) parent(now time.Time) *peer {
	if len(t.live(now)) <= fewPeers {
		return nil
	}
	candidates := t.candidates(now)
	parent := parentRank(t.rankIn(candidates))
	if parent < 0 || parent >= len(candidates) {
		return nil
	}
	return candidates[parent]
}

// children are the peers that hear from this gateway what the store says.
func (t *table) children(now time.Time) []*peer {
	candidates := t.candidates(now)
	own := t.rankIn(candidates)
	var children []*peer
	for place, known := range candidates {
		rank := place
		if place >= own {
			rank++ // this gateway stands before it
		}
		if parentRank(rank) == own {
			children = append(children, known)
		}
	}
	return children
}
