package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Among many gateways, proofs and revisions go down a tree, so that those who
// ask the store don't have to notify everybody: each gateway asks its parent
// twice a second, and is notified by it at once of what is urgent. The tree follows
// from an order that all share; where views differ for a while, some ask a
// parent that knows no more than they do, and whose proof grows too old asks
// the store.

const (
	// watchers is how many gateways watch the store; the others get its changes from
	// them.
	watchers = 2
	// fanOut is how many gateways one notifies.
	fanOut = 16
	// proofEvery is the time between two questions to the parent.
	proofEvery = 500 * time.Millisecond
	// mostUnanswered is how many questions in a row a parent may leave
	// unanswered before it is passed over.
	mostUnanswered = 3
	// watcherSilent is how long a watcher may be silent before the next one asks in
	// its place; watcherSilentOfMany with more than a few peers, who send each
	// other beats less often. It is shorter than the time after which a peer counts
	// as lost: a call too many costs little.
	watcherSilent       = 900 * time.Millisecond
	watcherSilentOfMany = 1500 * time.Millisecond
)

// view is what the table shows at one moment: the parts of it that many
// decisions rest on, worked out once.
type view struct {
	at time.Time
	// class is that of this gateway's host.
	class Class
	// live are the peers that sent a beat lately, in the order of their ids.
	live []*peer
	// many says that there are too many to send all of them everything.
	many bool
	// silence is how long one that asks the store, or decides, may be silent.
	silence time.Duration
	// candidates are the live peers that may ask the store or pass on what it
	// says, in the order that all gateways share.
	candidates []*peer
	// rank is how many of them come before this gateway.
	rank int
	// source is the peer that this gateway follows since it has just begun; nil for none.
	source *peer
	// reads says that it has just begun and read the store itself.
	reads bool
}

// look works out a view.
func (t *table) look(now time.Time) *view {
	v := &view{at: now, class: t.class, live: t.live(now)}
	v.many = len(v.live) > fewPeers
	v.silence = watcherSilent
	if v.many {
		v.silence = max(watcherSilentOfMany, beatsMissed*t.beatInterval())
	}
	if v.many {
		v.source, v.reads = t.followed(now), t.reads(now)
	}
	v.candidates = slices.DeleteFunc(slices.Clone(v.live), func(known *peer) bool {
		return known.leaving || known.follows || t.loaded && known.revision == 0 || !known.reachesStore || known.unanswered >= mostUnanswered || now.Sub(known.lastBeat) > v.silence
	})
	slices.SortFunc(v.candidates, inAskOrder)
	own := &peer{id: t.self, class: t.class, askScore: askScore(t.self)}
	for v.rank < len(v.candidates) && inAskOrder(v.candidates[v.rank], own) < 0 {
		v.rank++
	}
	return v
}

// inAskOrder compares two gateways by the order of those who ask the store: the larger
// hosts first, by rendezvous among hosts that are alike. Source:
// docs/design/unequal-hosts.md.
func inAskOrder(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.askScore, a.askScore), cmp.Compare(a.id, b.id))
}

// asks says whether this gateway is among those that ask the store.
func (v *view) asks() bool {
	switch {
	case v.source != nil:
		return false
	case v.reads:
		return v.rank == 0
	}
	return v.rank < watchers
}

// peerAsks says whether a peer is among those that ask the store.
func (v *view) peerAsks(known *peer) bool {
	place := slices.Index(v.candidates, known)
	if place < 0 {
		return false
	}
	if v.source == nil && place >= v.rank {
		place++ // this gateway stands before it
	}
	return place < watchers
}

func askScore(id string) uint64 {
	return policy.Score(policy.HashName("store"), policy.HashName(id))
}

// Turn is where a gateway stands in the order of those who ask the store among hosts
// that are alike, however many there are: 0 is in front of all, 1 behind all.
func StoreOrder(id string) float64 {
	return 1 - float64(askScore(id))/math.MaxUint64
}

// parentRank is the place, in the order, of the parent of the gateway at a
// place; -1 for those who ask the store.
func parentRank(rank int) int {
	switch {
	case rank < watchers:
		return -1
	case rank < watchers+watchers*fanOut:
		return (rank - watchers) % watchers
	}
	return watchers + (rank-watchers-watchers*fanOut)/fanOut
}

// parent is the peer from which this gateway gets the store's changes; nil if it
// watches the store itself, or the peers are few and all get all.
func (v *view) parent() *peer {
	if !v.many {
		return nil
	}
	switch {
	case v.source != nil:
		return v.source
	case v.reads && v.rank > 0:
		return v.candidates[0]
	case v.reads:
		return nil
	}
	place := parentRank(v.rank)
	if place < 0 || place >= len(v.candidates) {
		return nil
	}
	return v.candidates[place]
}

// children are the peers that get the store's changes from this gateway.
func (v *view) children() []*peer {
	if v.source != nil {
		return nil
	}
	var children []*peer
	for place := v.rank; place < len(v.candidates); place++ {
		// This gateway stands before all of them.
		if parentRank(place+1) == v.rank {
			children = append(children, v.candidates[place])
		}
	}
	return children
}
