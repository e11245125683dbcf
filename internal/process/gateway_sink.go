package process

import (
	"math"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// sink takes what the platform's store holds.
type sink struct {
	process *GatewayProcess
	// urge has the other gateways told at once of what must be in force soon.
	urge func()

	// mu guards learnt and kept, the targets of the last checkpoint, and begun, which says
	// that they have been used: Loaded takes them from the feed, and pages of
	// other gateways bring them too.
	mu    sync.Mutex
	kept  []balance.Target
	begun bool
	// learnt says that a checkpoint has been taken.
	learnt bool
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
		for _, service := range config.Services {
			s.process.gateway.Balancer.SetCold(service.Name, balance.ColdBound{Rate: service.ColdRate, Start: service.ColdStart})
		}
		s.process.observer.ConfigApplied(config.Version, before, len(config.Routes), len(config.Workspaces))
		s.urge()
	}
}

// Target takes a server that was added or changed.
func (s *sink) Target(target balance.Target) {
	change := s.process.gateway.Balancer.Put(target, clock.Now())
	if !change.Any {
		return
	}
	if change.Unusable {
		s.process.observer.TargetUnusable(target.ID)
		s.urge()
		return
	}
	if change.Outlived != "" {
		s.process.gateway.EndSuperseded(change.Outlived)
	}
	// A process that begins says how many there are (targetsListed): thousands of
	// lines cost a small host as much time as the targets themselves.
	if s.process.proven() {
		s.process.observer.TargetChanged(target)
	}
	if target.Leaving || change.TurnedCold {
		s.urge()
	}
}

// Unusable takes a server whose entry has become one that names none: it gets no new work
// until it is whole again.
func (s *sink) Unusable(id string) {
	if s.process.gateway.Balancer.SetUnusable(id) {
		s.process.observer.TargetUnusable(id)
		s.urge()
	}
}

// Gone takes a server whose entry was removed.
func (s *sink) Gone(id string) {
	s.process.gateway.Balancer.Drop(id, clock.Now())
	s.process.observer.TargetGone(id)
	s.urge()
}

// Evacuated takes that nothing more is to be sent to a data centre's targets, or
// that this was taken back. The others are notified at once: it must be in force
// within seconds.
func (s *sink) Evacuated(dataCenter string, evacuated bool) {
	if !s.process.gateway.Balancer.SetEvacuated(dataCenter, evacuated, clock.Now()) {
		return
	}
	s.process.observer.Evacuated(dataCenter, evacuated)
	s.urge()
}

// Loaded takes over the targets of the last checkpoint that are not registered:
// their entries may have lapsed.
func (s *sink) Loaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process.gateway.Balancer.Restore(s.kept, clock.Now())
	s.kept, s.begun = nil, true
	s.process.targetsListed()
}

// Checkpoint takes over where parts of prompts were cached when it was written.
// Only the first one is of use: later ones come from gateways that tell each
// other of placements anyway. Its targets are kept aside until all entries are
// known: one that has left since is not registered, and must get no work.
func (s *sink) Checkpoint(data []byte) {
	if !s.takeFirst() {
		return
	}
	kept, err := checkpoint.Decode(data)
	if err != nil {
		s.process.observer.BadValue("checkpoint", err)
		return
	}
	s.process.expectedGateways.Store(int32(min(kept.Gateways, math.MaxInt32)))
	s.keepAside(kept.Targets)
	for _, record := range kept.HeldBack {
		s.process.crashes.Merge(record, clock.Now())
	}
	s.process.gateway.Balancer.Learn(kept.Placements)
}

// Crashes takes what a gateway knows of requests under which targets ended. It may not
// be heard here.
func (s *sink) Crashes(data []byte) {
	records, err := quarantine.Decode(data)
	if err != nil {
		s.process.observer.BadValue("crashes", err)
		return
	}
	for _, record := range records {
		s.process.crashes.Merge(record, clock.Now())
	}
}

// takeFirst says whether no checkpoint was taken before.
func (s *sink) takeFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.learnt
	s.learnt = true
	return first
}

func (s *sink) keepAside(targets []balance.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.kept = targets
	}
}

// Current notes that all accepted until then is in force.
func (s *sink) Current(at time.Time) {
	s.process.gateway.Proof.Note(at)
}

// Unreadable notes a value that could not be read.
func (s *sink) Unreadable(what string, err error) {
	s.process.observer.BadValue(what, err)
}

// Called notes the result of a call to the store.
func (s *sink) Called(call string, err error) {
	s.process.store.Called(call, err)
}
