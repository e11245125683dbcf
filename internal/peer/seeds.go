package peer

import (
	"slices"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// Gateways find each other through seeds: those from the settings, which all contact, and those from the
// store, which only the gateways that ask the store contact. A gateway that hears no other one asks the
// store itself. So of two groups that don't hear each other, one gateway at least contacts the other group,
// and the rest learn of its gateways from heartbeats.

// SetSeeds replaces the addresses of other gateways from the settings.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.setSeeds(seeds)
}

// SetStoredSeeds replaces the addresses of other gateways from the store.
func (s *Service) SetStoredSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.setStoredSeeds(seeds)
	s.wake()
}

// Heard returns the addresses of the other live gateways that are not leaving, in the order of asking the
// store.
func (s *Service) Heard() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := slices.DeleteFunc(slices.Clone(s.currentView(clock.Now()).live), func(p *peer) bool { return p.leaving })
	slices.SortFunc(live, inAskOrder)
	addresses := make([]string, 0, len(live))
	for _, p := range live {
		addresses = append(addresses, p.address)
	}
	return addresses
}
