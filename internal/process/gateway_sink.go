package process

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// sink takes what the platform's store holds.
type sink struct {
	process *GatewayProcess
	store   *observe.Dependency
	// urge has the other gateways told at once of what must be in force soon.
	urge func()
}

// urge has the other gateways told at once of what is new.
func (p *GatewayProcess) urge() {
	if p.peers != nil {
		p.peers.Urge()
	}
}

// Config puts a configuration in force if it is newer.
func (s *sink) Config(config *routing.Config) {
	before := s.process.gateway.Version()
	if s.process.gateway.Apply(config) {
		s.process.observer.ConfigApplied(config.Version, before, len(config.Routes), len(config.Workspaces))
		s.urge()
	}
}

// Target takes a server that was added or changed.
func (s *sink) Target(target balance.Target) {
	if !s.process.gateway.Balancer.Put(target) {
		return
	}
	s.process.observer.TargetChanged(target)
	if target.Leaving {
		s.urge()
	}
}

// Gone takes a server whose entry was removed.
func (s *sink) Gone(id string) {
	s.process.gateway.Balancer.Drop(id, time.Now())
	s.process.observer.TargetGone(id)
	s.urge()
}

// Checkpoint takes where parts of prompts were cached when it was kept and, at
// the beginning, the targets there were: their entries may have lapsed.
func (s *sink) Checkpoint(data []byte) {
	kept, err := checkpoint.Decode(data)
	if err != nil {
		s.process.observer.BadValue("checkpoint", err)
		return
	}
	// The copy of the store is locked here; until it has been read whole once,
	// there is no proof.
	if _, read := s.process.gateway.Proof.Age(time.Now()); !read {
		s.process.gateway.Balancer.Restore(kept.Targets, time.Now())
	}
	s.process.gateway.Balancer.Learn(kept.Placements)
}

// Current notes that all accepted until then is in force.
func (s *sink) Current(at time.Time) {
	s.process.gateway.Proof.Note(at)
}

// Trouble notes a value that could not be read.
func (s *sink) Trouble(what string, err error) {
	s.process.observer.BadValue(what, err)
}

// Called notes the result of a call to the store.
func (s *sink) Called(call string, err error) {
	s.store.Called(call, err)
}
