package peer

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// A crashed target stays registered until its entry expires, which takes seconds. A refused
// connection proves that nothing listens at its address. The gateway that finds this notifies a
// few others at once, and each of them a few more, so that not each gateway has to lose a request
// of its own to find out. Timeouts and resets prove less: a gateway that is cut off itself, or an
// overloaded target, would make the others avoid healthy targets. Heartbeats report these as
// suspicions, which need several gateways.

// refusedFanOut is the number of peers that a gateway notifies of a target that is new to it. By
// the usual estimate for epidemic protocols 98 in 100 gateways learn of it, in log4(gateways)
// steps.
const refusedFanOut = 4

// Refused tells the other gateways that nothing listens at a target's address.
func (s *Service) Refused(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spreadRefused([]uint32{shortHash(policy.HashName(target))})
}

// applyRefused excludes targets that refused connections of other gateways, and forwards those
// that were not known.
func (s *Service) applyRefused(heartbeat *wire.GatewayBeat, from *peer, now time.Time) {
	var added []uint32
	for _, target := range heartbeat.GetRefused() {
		id, isNew := s.options.Balancer.NoteRefused(target, now)
		if !isNew {
			continue
		}
		added = append(added, target)
		s.crashes.table.HeardOfCrash(quarantine.Incarnation(target), now)
		s.options.Watcher.TargetRefused(id, from.id)
	}
	s.spreadRefused(added)
}

// spreadRefused schedules targets for the next round, in which a few live peers chosen at random
// are notified of them. When hosts are lost many targets are found within a moment; one datagram
// for each of them used up the bytes of all loads. The caller must hold s.mu.
func (s *Service) spreadRefused(targets []uint32) {
	if len(targets) == 0 {
		return
	}
	s.refused = append(s.refused, targets...)
	s.wake()
}

// sendRefused sends the targets that spreadRefused has scheduled. The caller must hold s.mu.
func (s *Service) sendRefused(now time.Time) {
	if len(s.refused) == 0 {
		return
	}
	for _, to := range randomPeers(s.currentView(now).live, refusedFanOut) {
		heartbeat := s.bareHeartbeat()
		heartbeat.Refused = s.refused
		s.sendDirectory(to, heartbeat)
	}
	s.refused = nil
}
