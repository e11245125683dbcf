package balance

import (
	"math"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// A target that has just started is cold for a while: it bears a few requests a
// second and falls over well above that. The bound is on what all gateways send
// together, and no gateway knows in time what the others send. So each gateway has
// a window of its own in every round, in which it may send one request to a cold
// target: a round is as long as it takes such a target to bear one request of
// every gateway, and the windows begin one after the other, evenly spread, in an
// order that all gateways share. Nothing is exchanged. Gateways whose clocks or
// views of each other differ, or that have just begun, have their windows at other
// moments of a round, which costs evenness but adds nothing. Windows are longer than
// the distance between two of them, since a gateway rarely has a request for a given
// target just in its own; how much longer follows from the bound.
//
// Weighed: one gateway that sends all (with 26 gateways a cold target would get a
// 26th of its sessions, and none when that one is lost), permits handed out by one
// gateway (a message and a wait for each request).

const (
	// coldJitter is by how much the beginnings of rounds may differ between
	// gateways: what it takes a change of the store to reach all of them when it is
	// passed on at once, and a request to reach its target.
	coldJitter = 350 * time.Millisecond
	// leastWindow is the shortest window; where the bound leaves less, rounds are
	// longer instead.
	leastWindow = 250 * time.Millisecond
	// leastColdRate bounds the rounds where the bound leaves almost nothing, in
	// requests a second.
	leastColdRate = 0.1
)

// ColdBound is what the operators state of a service's cold targets.
type ColdBound struct {
	// Rate is how many requests a second a cold target bears; zero is no bound.
	Rate float64
	// Start is how long a target stays cold from its start.
	Start time.Duration
}

// Gateways is this gateway's place among all that send to the same targets.
type Gateways struct {
	// Count is how many there are, this one among them; at least 1.
	Count int
	// Place is this one's in an order that all share, from zero, below Count.
	Place int
}

// SetGateways sets this gateway's place among all.
func (b *Balancer) SetGateways(gateways Gateways) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = gateways
}

// Gateways is this gateway's place among all.
func (b *Balancer) Gateways() Gateways {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gateways
}

// SetCold sets what the cold targets of a service bear.
func (b *Balancer) SetCold(service string, bound ColdBound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceOf(service).cold = bound
}

// coldness is what is known of a target that has just started.
type coldness struct {
	// since is when it was found to be cold, from which its rounds count, and until
	// is when it is warm.
	since, until time.Time
	// yet says that it was cold when it was looked at last.
	yet bool
	// sentAt is when this gateway last sent a request to it while it was cold.
	sentAt time.Time
}

// noteCold notes how much longer the target is cold; true if it was not known to be.
func (s *state) noteCold(left time.Duration, now time.Time) bool {
	if left <= 0 {
		s.cold.until = time.Time{}
		return false
	}
	turned := !now.Before(s.cold.until)
	if turned {
		s.cold.since = now
	}
	s.cold.until = now.Add(left)
	s.aside = true
	return turned
}

// holdsBack says whether a target is cold and not to get a request from this
// gateway now; b.mu is held.
func (b *Balancer) holdsBack(target *state, now time.Time) bool {
	target.cold.yet = now.Before(target.cold.until)
	if !target.cold.yet || target.service.cold.Rate <= 0 {
		return false
	}
	schedule := scheduleOf(target.service.cold.Rate, b.options.Cold.at(target.service.cold.Rate), b.gateways.Count)
	return !schedule.open(b.turnAt(target), target.cold, now)
}

// turnAt is the place of this gateway's window in the rounds of a target, from 0
// to 1. It is another one at each target, so that those that start together don't
// all get requests of the same gateway at once. b.mu is held.
func (b *Balancer) turnAt(target *state) float64 {
	place := (float64(b.gateways.Place) + 0.5) / float64(max(b.gateways.Count, 1))
	_, turn := math.Modf(place + unit(target.hash))
	return turn
}

// unit spreads hashes evenly from 0 to 1.
func unit(hash uint64) float64 {
	return float64(hash) / math.MaxUint64
}

// PlaceOf is the place, among so many gateways, of one whose peers are not known
// yet: where the order of the hashes of their names probably has it.
func PlaceOf(name string, count int) int {
	return min(int(unit(policy.HashName(name))*float64(count)), max(count-1, 0))
}

// schedule is when each gateway may send to a cold target.
type schedule struct {
	round, window time.Duration
}

// scheduleOf is the schedule of a target that bears so many requests a second, and
// must not get more than most in any second, before so many gateways. Windows of one
// second's requests begin within that second, the window before it, and the jitter.
func scheduleOf(rate, most float64, gateways int) schedule {
	spread := (time.Second + coldJitter + leastWindow).Seconds()
	rate = max(min(rate, (most-1)/spread), leastColdRate)
	window := (most-1)/rate - (time.Second + coldJitter).Seconds()
	round := float64(max(gateways, 1)) / rate
	return schedule{
		round:  seconds(round),
		window: seconds(min(max(window, leastWindow.Seconds()), round)),
	}
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// open says whether a window at a place of the rounds is open, and nothing has been
// sent in it.
func (s schedule) open(turn float64, cold coldness, now time.Time) bool {
	begin := time.Duration(turn * float64(s.round))
	into := (now.Sub(cold.since) - begin) % s.round
	if into < 0 {
		into += s.round
	}
	return into < s.window && now.Sub(cold.sentAt) >= max(s.window, s.round-s.window)
}
