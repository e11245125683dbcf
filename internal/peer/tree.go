package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// In a large fleet, proofs and revisions are passed down a tree, so that the gateways that ask the
// store don't have to notify all others. Each gateway asks its parent for a proof twice a second,
// and the parent notifies it of urgent changes at once. The tree follows from an order that all
// gateways share. Where their views differ for a while, some gateways ask a parent that knows no
// more than they do. A gateway whose proof becomes too old asks the store.

const (
	// watchers is the number of gateways that watch the store. The others get its changes from
	// them.
	watchers = 2
	// fanOut is the number of children of a gateway.
	fanOut = 16
	// proofInterval is the time between two questions to the parent.
	proofInterval = 500 * time.Millisecond
	// maxUnanswered is the number of consecutive questions that a parent may leave unanswered
	// before it is skipped.
	maxUnanswered = 3
	// watcherTimeout is how long a watcher may be silent before the next gateway takes its place;
	// watcherTimeoutLarge replaces it in a large fleet, where heartbeats to each peer are rarer. It
	// is shorter than the time after which a peer counts as lost, since one call too many to the
	// store costs little.
	watcherTimeout      = 900 * time.Millisecond
	watcherTimeoutLarge = 1500 * time.Millisecond
)

// view is a snapshot of the table with the derived values that many decisions use.
type view struct {
	at time.Time
	// class is the class of this gateway's host.
	class Class
	// live are the peers that sent a heartbeat recently, ordered by id.
	live []*peer
	// large reports whether there are too many peers to send all of them everything.
	large bool
	// maxSilence is how long a gateway that asks the store or decides may be silent.
	maxSilence time.Duration
	// candidates are the live peers that may ask the store or pass on its changes, in the order
	// that all gateways share.
	candidates []*peer
	// own has this gateway's place in that order.
	own *peer
	// rank is the number of candidates that precede this gateway.
	rank int
	// source is the peer that this recently started gateway follows; nil for none.
	source *peer
	// readsStore reports whether this gateway has recently started and read the store itself.
	readsStore bool
}

// newView computes a view.
func (t *table) newView(now time.Time) *view {
	v := &view{at: now, class: t.class, live: t.live(now)}
	v.large = len(v.live) > fullMeshLimit
	v.maxSilence = watcherTimeout
	if v.large {
		v.maxSilence = max(watcherTimeoutLarge, maxMissedHeartbeats*t.heartbeatInterval())
	}
	if v.large {
		v.source, v.readsStore = t.activeSource(now), t.readsStore(now)
	}
	v.candidates = slices.DeleteFunc(slices.Clone(v.live), func(p *peer) bool {
		return p.leaving || p.follows || t.loaded && p.revision == 0 || !p.reachesStore || p.unanswered >= maxUnanswered || now.Sub(p.lastHeartbeat) > v.maxSilence
	})
	slices.SortFunc(v.candidates, inAskOrder)
	v.own = &peer{id: t.self, class: t.class, askScore: askScore(t.self)}
	for v.rank < len(v.candidates) && inAskOrder(v.candidates[v.rank], v.own) < 0 {
		v.rank++
	}
	return v
}

// inAskOrder compares two gateways in the order of asking the store: larger hosts first, equal
// hosts by rendezvous score. Source: docs/design/unequal-hosts.md.
func inAskOrder(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.askScore, a.askScore), cmp.Compare(a.id, b.id))
}

// asksStore reports whether this gateway is among those that ask the store.
func (v *view) asksStore() bool {
	switch {
	case v.source != nil:
		return false
	case v.readsStore:
		return v.rank == 0
	}
	return v.rank < watchers
}

// peerAsksStore reports whether a peer is among those that ask the store.
func (v *view) peerAsksStore(p *peer) bool {
	rank := slices.Index(v.candidates, p)
	if rank < 0 {
		return false
	}
	if v.source == nil && rank >= v.rank {
		rank++ // this gateway precedes it
	}
	return rank < watchers
}

func askScore(id string) uint64 {
	return policy.Score(policy.HashName("store"), policy.HashName(id))
}

// StoreOrder returns the relative position of a gateway in the order of asking the store among
// hosts of the same class, independent of their number: 0 is the first position and 1 the last.
func StoreOrder(id string) float64 {
	return 1 - float64(askScore(id))/math.MaxUint64
}

// parentRank returns the rank of the parent of the gateway at a rank; -1 for the gateways that ask
// the store.
func parentRank(rank int) int {
	switch {
	case rank < watchers:
		return -1
	case rank < watchers+watchers*fanOut:
		return (rank - watchers) % watchers
	}
	return watchers + (rank-watchers-watchers*fanOut)/fanOut
}

// parent returns the peer from which this gateway gets the store's changes; nil if it watches the
// store itself, or if the fleet is small, where all peers get everything.
func (v *view) parent() *peer {
	if !v.large {
		return nil
	}
	switch {
	case v.source != nil:
		return v.source
	case v.readsStore && v.rank > 0:
		return v.candidates[0]
	case v.readsStore:
		return nil
	}
	rank := parentRank(v.rank)
	if rank < 0 || rank >= len(v.candidates) {
		return nil
	}
	return v.candidates[rank]
}

// children returns the peers that get the store's changes from this gateway.
func (v *view) children() []*peer {
	if v.source != nil {
		return nil
	}
	var children []*peer
	for index := v.rank; index < len(v.candidates); index++ {
		// This gateway precedes all of them, so their rank is one higher.
		if parentRank(index+1) == v.rank {
			children = append(children, v.candidates[index])
		}
	}
	return children
}
