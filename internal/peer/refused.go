package peer

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// A target that has crashed stays registered until its entry lapses, for
// seconds. A connection that is refused proves that nothing listens there: the
// gateway that finds it notifies a few others at once, and each of these a few
// more, so that not every gateway finds out with a request of its own. Time-outs
// and resets prove less: a gateway that is cut off itself, or a full target, would
// have the others avoid sound ones. Beats name them as suspicions, of which several
// gateways' are needed.

// refusedFanOut is how many peers a gateway notifies of a target that is new to it
// among those. By the usual reckoning for epidemics 98 in 100 learn of it, after
// as many steps as the number of gateways has digits in that base.
const refusedFanOut = 4

// Refused notifies the other gateways that nothing listens at a target's address.
func (s *Service) Refused(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spreadRefused([]uint32{shortHash(policy.HashName(target))})
}

// takeRefused leaves targets out that refused connections of other gateways,
// and passes on those that were news.
func (s *Service) takeRefused(beat *wire.GatewayBeat, from *peer, now time.Time) {
	var news []uint32
	for _, target := range beat.GetRefused() {
		id, isNews := s.options.Balancer.NoteRefused(target, now)
		if !isNews {
			continue
		}
		news = append(news, target)
		s.options.Watcher.TargetRefused(id, from.id)
	}
	s.spreadRefused(news)
}

// spreadRefused has a few live peers, drawn at random, notified of targets in the next round. Many
// are found within a moment when hosts are lost: in a datagram each they took the bytes of all
// loads. s.mu is held.
func (s *Service) spreadRefused(targets []uint32) {
	if len(targets) == 0 {
		return
	}
	s.refused = append(s.refused, targets...)
	s.wake()
}

// sendRefused sends what spreadRefused has taken; s.mu is held.
func (s *Service) sendRefused(now time.Time) {
	if len(s.refused) == 0 {
		return
	}
	for _, to := range drawn(s.look(now).live, refusedFanOut) {
		beat := s.bare()
		beat.Refused = s.refused
		s.sendBare(to, beat)
	}
	s.refused = nil
}
