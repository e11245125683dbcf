package peer

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// Asks reports whether this process has to ask the store.
func (s *Service) Asks() bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.options.Proof.Within(s.options.Stale, now) || !s.options.Replica.Reachable() {
		return true
	}
	return s.currentView(now).asksStore()
}

// First reports whether this process is the first of those that ask the store, for work that takes
// one process only.
func (s *Service) First() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentView(clock.Now())
	return s.options.Replica.Reachable() && current.source == nil && current.rank == 0
}

// Leads reports whether this process is among the first in the order of asking the store, judging
// by the gateways that it knows.
func (s *Service) Leads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentView(clock.Now()).asksStore()
}

// Live returns the number of other live gateways.
func (s *Service) Live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.currentView(clock.Now()).live)
}

// Many reports whether the fleet is large: more than fullMeshLimit other gateways are live.
func (s *Service) Many() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentView(clock.Now()).large
}

// Census returns the counts of other gateways.
func (s *Service) Census() Census {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	return s.table.census(len(s.currentView(now).live), now)
}

// Knows reports whether another live gateway has a copy of the store's content.
func (s *Service) Knows() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.currentView(clock.Now()).live, func(p *peer) bool { return p.revision > 0 })
}

// Serves reports whether another live gateway that is not leaving has a copy of the store's content.
func (s *Service) Serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.currentView(clock.Now()).live, func(p *peer) bool { return !p.leaving && p.revision > 0 })
}

// InTime reports whether another live gateway that accepts callers has less lag than a bound.
func (s *Service) InTime(bound time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.currentView(clock.Now()).live, func(p *peer) bool {
		return !p.leaving && p.revision > 0 && p.lag < bound
	})
}
