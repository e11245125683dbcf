package balance

import (
	"math"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// A target that has just started is cold for a while: it bears a few requests per second and
// fails well above that. The bound applies to what all gateways send together, and no gateway
// learns in time what the others send. So each gateway has its own window in every round, in
// which it may send one request to a cold target. A round lasts as long as the target needs to
// bear one request from every gateway. The windows begin one after the other, evenly spread, in
// an order that all gateways share, so no messages are exchanged. Gateways whose clocks or
// membership views differ, or that have just started, have their windows at other times in a
// round. This makes the load less even but does not increase it. Windows are longer than the
// distance between two of them, because a gateway rarely has a request for a given target
// exactly in its own window. The bound determines how much longer.
//
// Alternatives considered: one gateway that sends all requests (with 26 gateways a cold target
// would get a 26th of its sessions, and none when that gateway is lost), and permits granted
// by one gateway (a message and a wait for each request).

const (
	// coldJitter is by how much the starts of rounds may differ between gateways: the time for
	// a change in the store to reach all gateways when it is passed on immediately, plus the
	// time for a request to reach its target.
	coldJitter = 350 * time.Millisecond
	// minWindow is the shortest window. If the bound leaves less, rounds are longer instead.
	minWindow = 250 * time.Millisecond
	// minColdRate limits the length of rounds if the bound leaves almost nothing, in requests
	// per second.
	minColdRate = 0.1
)

// ColdBound is the operators' setting for a service's cold targets.
type ColdBound struct {
	// Rate is how many requests per second a cold target bears; zero means no bound.
	Rate float64
	// Start is how long a target stays cold after its start.
	Start time.Duration
}

// Gateways is this gateway's position among all gateways that send to the same targets.
type Gateways struct {
	// Count is the number of gateways, including this one; at least 1.
	Count int
	// Place is this gateway's position, from zero, in an order that all gateways share.
	Place int
}

// SetGateways sets this gateway's position among all gateways.
func (b *Balancer) SetGateways(gateways Gateways) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = gateways
}

// Gateways returns this gateway's position among all gateways.
func (b *Balancer) Gateways() Gateways {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gateways
}

// SetCold sets the bound for the cold targets of a service.
func (b *Balancer) SetCold(service string, bound ColdBound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceOf(service).cold = bound
}

// coldState is the cold-start state of a target.
type coldState struct {
	// since is when the target was found to be cold, which starts its rounds; until is when it
	// becomes warm.
	since, until time.Time
	// isCold reports whether the target was cold at the last check.
	isCold bool
	// sentAt is when this gateway last sent a request to the target while it was cold.
	sentAt time.Time
}

// updateCold records how much longer the target is cold. It returns true if the target was not
// known to be cold.
func (s *state) updateCold(remaining time.Duration, now time.Time) bool {
	if remaining <= 0 {
		s.cold.until = time.Time{}
		return false
	}
	turnedCold := !now.Before(s.cold.until)
	if turnedCold {
		s.cold.since = now
	}
	s.cold.until = now.Add(remaining)
	s.needsCheck = true
	return turnedCold
}

// outsideColdWindow reports whether a target is cold and must not get a request from this gateway
// now. The caller must hold b.mu.
func (b *Balancer) outsideColdWindow(target *state, now time.Time) bool {
	target.cold.isCold = now.Before(target.cold.until)
	if !target.cold.isCold || target.service.cold.Rate <= 0 {
		return false
	}
	schedule := scheduleOf(target.service.cold.Rate, b.options.Cold.limitAt(target.service.cold.Rate), b.gateways.Count)
	return !schedule.isOpen(b.windowOffset(target), target.cold, now)
}

// windowOffset returns where in the rounds of a target this gateway's window begins, from 0 to
// 1. It differs between targets, so that targets which start together do not all get requests
// from the same gateway at once. The caller must hold b.mu.
func (b *Balancer) windowOffset(target *state) float64 {
	place := (float64(b.gateways.Place) + 0.5) / float64(max(b.gateways.Count, 1))
	_, offset := math.Modf(place + toUnitInterval(target.hash))
	return offset
}

// toUnitInterval maps hashes evenly to the range from 0 to 1.
func toUnitInterval(hash uint64) float64 {
	return float64(hash) / math.MaxUint64
}

// PlaceOf estimates the position of a gateway among count gateways whose names are not known
// yet: where it probably is in the order of the hashes of their names.
func PlaceOf(name string, count int) int {
	return min(int(toUnitInterval(policy.HashName(name))*float64(count)), max(count-1, 0))
}

// schedule determines when each gateway may send to a cold target.
type schedule struct {
	round, window time.Duration
}

// scheduleOf returns the schedule of a target that bears rate requests per second and must not get
// more than maxPerSecond in any second from all gateways. All windows whose requests may fall into
// one second begin within that second plus the window before it plus the jitter.
func scheduleOf(rate, maxPerSecond float64, gateways int) schedule {
	spread := (time.Second + coldJitter + minWindow).Seconds()
	rate = max(min(rate, (maxPerSecond-1)/spread), minColdRate)
	window := (maxPerSecond-1)/rate - (time.Second + coldJitter).Seconds()
	round := float64(max(gateways, 1)) / rate
	return schedule{
		round:  seconds(round),
		window: seconds(min(max(window, minWindow.Seconds()), round)),
	}
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// isOpen reports whether the window at an offset in the rounds is open and nothing has been
// sent in it.
func (s schedule) isOpen(offset float64, cold coldState, now time.Time) bool {
	windowStart := time.Duration(offset * float64(s.round))
	elapsed := (now.Sub(cold.since) - windowStart) % s.round
	if elapsed < 0 {
		elapsed += s.round
	}
	return elapsed < s.window && now.Sub(cold.sentAt) >= max(s.window, s.round-s.window)
}
