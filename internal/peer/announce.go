package peer

import (
	"slices"
	"time"
)

// A gateway tells others of a change of the store when it has applied it, before it sends anything else, and
// whatever its budget. What all gateways send because of a change, such as the records of streams once a
// second version serves, may use up the bytes of whole heartbeats for seconds, and the gateways that don't
// read the store themselves would learn of the change only after that.

// announceChanges tells the peers that get the store's changes from this gateway its revision, if it is new
// and they don't have it. The caller must hold s.mu.
func (s *Service) announceChanges(now time.Time) {
	revision := s.options.Replica.PassedOn()
	if revision == s.announced {
		return
	}
	s.announced = revision
	for _, to := range s.currentView(now).audience() {
		if to.revision < revision {
			heartbeat := s.bareHeartbeatTo(to)
			heartbeat.Revision = revision
			s.send(to.address, heartbeat, true)
		}
	}
}

// Changed announces a change of the store that this gateway has just applied, if there is one, without waiting
// for the next round.
func (s *Service) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Replica.PassedOn() != s.announced {
		s.wake()
	}
}

// audience returns the peers to which this gateway announces changes: all in a small fleet, those that ask it
// for proofs in a large one. Gateways that ask the store tell each other as well, since the calls of one of
// them may hang.
func (v *view) audience() []*peer {
	if !v.large {
		return v.live
	}
	if v.source != nil {
		return nil
	}
	var audience, others []*peer
	for _, p := range v.live {
		switch {
		case p.revision == 0 || p.follows || !v.passesOnTo(p):
		case slices.Contains(v.candidates, p):
			audience = append(audience, p)
		default:
			others = append(others, p)
		}
	}
	// Gateways that don't reach the store are not spread over the tree evenly.
	return append(audience, others[:min(len(others), fanOut)]...)
}

// passesOnTo reports whether a peer, which need not be a candidate, has this gateway as its parent, or whether
// both are among those that ask the store.
func (v *view) passesOnTo(p *peer) bool {
	rank, _ := slices.BinarySearchFunc(v.candidates, p, inAskOrder)
	if inAskOrder(v.own, p) < 0 {
		rank++ // this gateway precedes it
	}
	parent := parentRank(rank)
	return parent == v.rank || parent < 0 && v.rank < watchers
}
