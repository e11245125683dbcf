package peer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wait"
)

func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.round(clock.Check())
		s.reportRollouts(clock.Now())
		if !wait.For(ctx, minRoundInterval) {
			return
		}
		s.awaitRound(ctx)
	}
}

// awaitRound waits until the next round is due, and sends the records of new streams meanwhile.
func (s *Service) awaitRound(ctx context.Context) {
	timer := time.NewTimer(tick - minRoundInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.wakeup:
			return
		case <-s.origins.due:
			s.sendDueOrigins(clock.Now())
			if !wait.For(ctx, minRoundInterval) {
				return
			}
		}
	}
}

// round sends what is due and fetches what is missing.
func (s *Service) round(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lost := range s.table.expire(now) {
		s.cachedView = nil
		s.options.Watcher.PeerLost(lost.id, lost.address, now.Sub(lost.lastHeartbeat))
		s.crashes.peersChanged = true
	}
	s.announceChanges(now)
	s.sendCrashes(now)
	s.sendOrigins(now)
	s.sendRefused(now)
	if s.currentView(now).asksStore() {
		s.table.contactStoredSeeds()
	}
	for _, address := range s.table.dueAddresses(now) {
		s.send(address, s.fullHeartbeat(nil, now), false)
	}
	s.askParent(now)
	s.directory.expire(now)
	counts := s.options.Balancer.InFlight()
	revision := s.options.Replica.PassedOn()
	urgent := s.urgent.Swap(false) && s.notifyChildren(now)
	changed := revision != s.lastRevision || !slices.Equal(counts, s.lastCounts)
	if changed || urgent || now.Sub(s.lastRound) >= maxHeartbeatInterval {
		s.lastCounts, s.lastRevision, s.lastRound = counts, revision, now
		s.lastTotals = s.options.Balancer.Totals()
		s.lastFills = s.options.Balancer.Fills()
		s.broadcast(now, urgent)
	}
	s.catchUp(now)
}

// askParent asks the parent for its proof if there is a parent and proofInterval has passed.
func (s *Service) askParent(now time.Time) {
	if now.Sub(s.askedAt) < proofInterval {
		return
	}
	parent := s.currentView(now).parent()
	if parent == nil {
		return
	}
	s.askedAt = now
	parent.unanswered++
	question := s.briefHeartbeat(parent, now)
	question.WantsProof = true
	s.send(parent.address, question, true)
}

// notifyChildren sends the children a heartbeat in a large fleet. It returns true if all peers are
// to be notified instead, by one of those that ask the store: the others would only repeat it to
// each other, and would have no bytes left for their loads.
func (s *Service) notifyChildren(now time.Time) bool {
	current := s.currentView(now)
	if !current.large {
		return current.asksStore()
	}
	for _, child := range current.children() {
		s.send(child.address, s.briefHeartbeat(child, now), true)
	}
	return false
}

// sortForBroadcast sorts peers in the order in which they get heartbeats. Peers that hear no
// others yet come first: a gateway that the settings name as a seed has no bytes for hundreds of
// them at once. Then come those that have waited longest. Those that have waited equally long, as
// all have in a starting fleet, are in an order of this gateway's own: if all gateways shared one
// order, the last peer would hear no others until the first had heard all.
func sortForBroadcast(live []*peer, own uint64) {
	slices.SortFunc(live, func(a, b *peer) int {
		return cmp.Or(compareBool(b.alone, a.alone), a.heartbeatSentAt.Compare(b.heartbeatSentAt), cmp.Compare(policy.Score(own, a.hash), policy.Score(own, b.hash)))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// broadcast sends a heartbeat to each live peer in turn, as far as the budget allows. Urgent
// heartbeats go to all peers, and the budget is charged for them afterwards.
func (s *Service) broadcast(now time.Time, urgent bool) {
	live := slices.Clone(s.currentView(now).live)
	s.options.OnCensus(s.table.census(len(live), now))
	sortForBroadcast(live, s.hash)
	for _, to := range live {
		reported := to.nextPlacement
		if !s.send(to.address, s.fullHeartbeat(to, now), urgent) {
			to.nextPlacement = reported // the placements wait for the next heartbeat
			return
		}
		to.heartbeatSentAt = now
	}
}
