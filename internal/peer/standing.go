package peer

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// Asks says whether this process is to ask the store.
func (s *Service) Asks() bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.options.Proof.Within(s.options.Stale, now) || !s.options.Replica.Reachable() {
		return true
	}
	return s.look(now).asks()
}

// First says whether this process is the first of those that ask the store,
// for work that one process is enough for.
func (s *Service) First() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.look(clock.Now())
	return s.options.Replica.Reachable() && seen.source == nil && seen.rank == 0
}

// Leads says whether this process is among the first in the order of those that
// ask the store, by the gateways that it knows.
func (s *Service) Leads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.look(clock.Now()).asks()
}

// Live counts the other gateways that sent a beat lately.
func (s *Service) Live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.look(clock.Now()).live)
}

// Many says whether more than a few other gateways are there.
func (s *Service) Many() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.look(clock.Now()).many
}

// Census counts the other gateways.
func (s *Service) Census() Census {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.count(len(s.look(clock.Now()).live))
}

// Knows says whether another live gateway has a copy of the store's content.
func (s *Service) Knows() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.look(clock.Now()).live, func(known *peer) bool { return known.revision > 0 })
}

// InTime says whether another live gateway that takes callers has less lag than
// a bound.
func (s *Service) InTime(bound time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.look(clock.Now()).live, func(known *peer) bool {
		return !known.leaving && known.revision > 0 && known.lag < bound
	})
}
