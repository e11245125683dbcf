package gateway

import (
	"math"
	"sync"
	"time"
)

// Where links lose packets, an event whose packet is lost comes a retransmission time-out
// later, and those behind it with it. Fewer packets are lost fewer times: while streams from
// targets show such losses, the events of a stream that come within a window go to its caller
// in one write. Where none are lost each event goes at once.
const (
	// minStall is just below the shortest time-out after which usual systems send a packet
	// again (200 ms; RFC 6298 asks for a second).
	minStall = 180 * time.Millisecond
	// minEventsBehind is how many events must have come behind a late one: a target that works
	// slowly makes none meanwhile, and one that was held up makes them one by one.
	minEventsBehind = 2
	// stallHalfLife is how fast what was seen fades.
	stallHalfLife = 20 * time.Second
	// minStallShare of the events must have come after a stall, and at least minStalls of
	// them, for events to be kept.
	minStallShare = 0.0004
	minStalls     = 1.5
)

// stalls counts events that came late together, over all streams of a process; older ones
// count less. It is safe for concurrent use.
type stalls struct {
	mu        sync.Mutex
	events    float64
	stalled   float64
	updatedAt time.Time
}

// note notes an event that was waited for so long, with so many whole ones behind it.
func (s *stalls) record(waited time.Duration, eventsBehind int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	s.events++
	if waited >= minStall && eventsBehind >= minEventsBehind {
		s.stalled++
	}
}

// fade lets older events count less; s.mu is held.
func (s *stalls) fade(now time.Time) {
	factor := math.Exp2(-max(now.Sub(s.updatedAt), 0).Seconds() / stallHalfLife.Seconds())
	s.events *= factor
	s.stalled *= factor
	s.updatedAt = now
}

// many says whether so many events come late together that it pays to send fewer packets.
func (s *stalls) frequent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	return s.stalled >= minStalls && s.stalled >= minStallShare*s.events
}

// maxDelayShare of the time within which callers want an event is how long it may be kept: the
// rest is for its way, on which a packet may be lost too.
const maxDelayShare = 0.4

// window is how long the events of a new stream are kept to go in one write.
func (g *Gateway) writeWindow(now time.Time) time.Duration {
	if g.Options.StreamDelay == 0 || !g.stalls.frequent(now) {
		return 0
	}
	return time.Duration(maxDelayShare * float64(g.Options.StreamDelay))
}
