package process

import (
	"math"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/originstore"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/routing"
	"github.com/capersaddle/capersaddle/internal/seedstore"
)

// sink receives the content of the platform's store.
type sink struct {
	process *GatewayProcess
	// notifyPeers sends changes that must be in force soon to the other gateways immediately.
	notifyPeers func()

	// mu guards checkpointTargets, restored and checkpointTaken: Loaded is called by the feed, but
	// pages from other gateways deliver checkpoints too.
	mu sync.Mutex
	// checkpointTargets are the targets of a checkpoint, held until Loaded restores them. restored
	// is set then, and no more are held.
	checkpointTargets []balance.Target
	restored          bool
	// checkpointTaken is set once a checkpoint has been received.
	checkpointTaken bool
}

// notifyPeers sends changes to the other gateways immediately, if there are any.
func (p *GatewayProcess) notifyPeers() {
	if p.peers != nil {
		p.peers.Urge()
	}
}

// Config applies a configuration if it is newer than the current one.
func (s *sink) Config(config *routing.Config) {
	before := s.process.gateway.Version()
	if s.process.gateway.Apply(config) {
		for _, service := range config.Services {
			s.process.gateway.Balancer.SetCold(service.Name, balance.ColdBound{Rate: service.ColdRate, Start: service.ColdStart})
		}
		s.process.observer.ConfigApplied(config.Version, before, len(config.Routes), len(config.Workspaces))
		s.notifyPeers()
	}
}

// Target adds or updates a target.
func (s *sink) Target(target balance.Target) {
	change := s.process.gateway.Balancer.Put(target, clock.Now())
	if !change.Any {
		return
	}
	if change.Unusable {
		s.process.observer.TargetUnusable(target.ID)
		s.notifyPeers()
		return
	}
	if change.Superseded != "" {
		s.process.gateway.EndSuperseded(change.Superseded, change.OtherVersion)
	}
	// A starting process only logs the number of targets (recordFirstCopy): thousands of log
	// lines cost a small host as much time as processing the targets.
	if s.process.hasProof() {
		s.process.observer.TargetChanged(target)
	}
	if target.Leaving || change.TurnedCold || change.OtherVersion {
		s.notifyPeers()
	}
}

// Unusable is called when a target's entry has become invalid: the target gets no new work until
// the entry is valid again.
func (s *sink) Unusable(id string) {
	if s.process.gateway.Balancer.SetUnusable(id) {
		s.process.observer.TargetUnusable(id)
		s.notifyPeers()
	}
}

// Gone is called when a target's entry was removed.
func (s *sink) Gone(id string) {
	s.process.gateway.Balancer.Drop(id, clock.Now())
	s.process.observer.TargetGone(id)
	s.notifyPeers()
}

// Skipped is called when targets may have come and gone that were never known here.
func (s *sink) Skipped() {
	s.process.gateway.Proof.Break(clock.Now())
}

// Evacuated is called when a data centre is evacuated, so that nothing more may be sent to its
// targets, or when that is reverted. It notifies the other gateways immediately, because it must
// be in force within seconds.
func (s *sink) Evacuated(dataCenter string, evacuated bool) {
	if !s.process.gateway.Balancer.SetEvacuated(dataCenter, evacuated, clock.Now()) {
		return
	}
	s.process.observer.Evacuated(dataCenter, evacuated)
	s.notifyPeers()
}

// Loaded is called once all entries are known. It restores those targets of the last checkpoint
// that are not registered: their entries may have lapsed.
func (s *sink) Loaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process.gateway.Balancer.Restore(s.checkpointTargets, clock.Now())
	s.checkpointTargets, s.restored = nil, true
	s.process.recordFirstCopy()
}

// Checkpoint restores the cached parts of prompts from a checkpoint. Only the first one is used:
// later ones come from gateways that share their placements anyway. Its targets are held until
// all entries are known, because a target that has left since is not registered and must get no
// work.
func (s *sink) Checkpoint(data []byte) {
	if !s.claimFirstCheckpoint() {
		return
	}
	content, err := checkpoint.Decode(data)
	if err != nil {
		s.process.observer.BadValue("checkpoint", err)
		return
	}
	s.process.expectedGateways.Store(int32(min(content.Gateways, math.MaxInt32)))
	s.holdTargets(content.Targets)
	for _, record := range content.HeldBack {
		s.process.crashes.Merge(record, true, clock.Now())
	}
	s.process.gateway.Balancer.Learn(content.Placements)
}

// Crashes receives crash records from a gateway that may be unreachable from here.
func (s *sink) Crashes(data []byte) {
	records, err := quarantine.Decode(data)
	if err != nil {
		s.process.observer.BadValue("crashes", err)
		return
	}
	s.mu.Lock()
	atStart := !s.restored
	s.mu.Unlock()
	for _, record := range records {
		s.process.crashes.Merge(record, atStart, clock.Now())
	}
}

// Streams receives which versions began streams. Only a process that starts needs it: those that run tell
// each other.
func (s *sink) Streams(data []byte) {
	if s.process.feed.Loaded() {
		return
	}
	records, err := originstore.Decode(data)
	if err != nil {
		s.process.observer.BadValue("streams", err)
		return
	}
	s.process.gateway.Origins.Restore(records, clock.Now())
}

// Seeds receives the addresses of a few running gateways.
func (s *sink) Seeds(list seedstore.List, at int64) {
	if s.process.seeds != nil {
		s.process.seeds.Set(list, at)
	}
}

// claimFirstCheckpoint reports whether this is the first checkpoint received.
func (s *sink) claimFirstCheckpoint() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.checkpointTaken
	s.checkpointTaken = true
	return first
}

// holdTargets keeps the targets of a checkpoint until Loaded, unless that was already called.
func (s *sink) holdTargets(targets []balance.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restored {
		s.checkpointTargets = targets
	}
}

// Current records that every change accepted until that time is in force, and has the other gateways told
// of what is new.
func (s *sink) Current(at time.Time) {
	s.process.gateway.Proof.Note(at)
	if s.process.peers != nil {
		s.process.peers.Changed()
	}
}

// Unreadable records a value that could not be parsed.
func (s *sink) Unreadable(what string, err error) {
	s.process.observer.BadValue(what, err)
}

// Called records the result of a call to the store.
func (s *sink) Called(call string, err error) {
	s.process.store.Called(call, err)
}
