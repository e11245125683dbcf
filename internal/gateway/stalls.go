package gateway

import (
	"math"
	"sync"
	"time"
)

// On links that lose packets, an event whose packet is lost arrives one retransmission timeout
// late, together with the events behind it. Sending fewer packets reduces how often that happens.
// While streams from targets show such losses, the events of a stream that arrive within a window
// are written to its caller at once. Without losses each event is passed on immediately.
const (
	// minStall is just below the shortest timeout after which common systems retransmit a packet
	// (200 ms; RFC 6298 recommends a second).
	minStall = 180 * time.Millisecond
	// minEventsBehind is how many events must have arrived behind a late one. A target that works
	// slowly produces none meanwhile, and one that was paused produces them one by one.
	minEventsBehind = 2
	// stallHalfLife is the half-life of the counts.
	stallHalfLife = 20 * time.Second
	// minStallShare is the share of the events that must have arrived after a stall, and minStalls
	// their minimum count, for events to be written together.
	minStallShare = 0.0004
	minStalls     = 1.5
)

// stalls counts events that arrived late together, over all streams of a process, with exponential
// decay. It is safe for concurrent use.
type stalls struct {
	mu        sync.Mutex
	events    float64
	stalled   float64
	updatedAt time.Time
}

// record records an event that was awaited for the given time, with eventsBehind complete events
// behind it.
func (s *stalls) record(waited time.Duration, eventsBehind int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.events++
	if waited >= minStall && eventsBehind >= minEventsBehind {
		s.stalled++
	}
}

// decay applies the exponential decay up to now. The caller must hold s.mu.
func (s *stalls) decay(now time.Time) {
	factor := math.Exp2(-max(now.Sub(s.updatedAt), 0).Seconds() / stallHalfLife.Seconds())
	s.events *= factor
	s.stalled *= factor
	s.updatedAt = now
}

// frequent reports whether so many events arrive late together that it pays to send fewer packets.
func (s *stalls) frequent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.stalled >= minStalls && s.stalled >= minStallShare*s.events
}

// maxDelayShare limits how long an event is delayed, as a share of the time within which callers
// want it. The rest is for its transfer, where a packet may be lost too.
const maxDelayShare = 0.4

// writeWindow returns for how long the events of a new stream are collected for one write.
func (g *Gateway) writeWindow(now time.Time) time.Duration {
	if g.Options.StreamDelay == 0 || !g.stalls.frequent(now) {
		return 0
	}
	return time.Duration(maxDelayShare * float64(g.Options.StreamDelay))
}
