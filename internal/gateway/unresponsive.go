package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// A stream that can't continue elsewhere, at a target that disappeared without closing its
// connections, would keep its caller waiting until the deadline. The stream is ended once several
// gateways suspect the target and nothing has arrived from it here for longer than usual. Neither
// of these is enough alone. Source: docs/design/dark-targets.md.

const (
	// unresponsiveInterval is the time between two checks of a stream's target: suspicions of
	// gateways are known for 1.5 s, and callers wait for seconds.
	unresponsiveInterval = 200 * time.Millisecond
	// minUnresponsiveSilence is the minimum silence that counts, needed for routes without target
	// times: engines pause for less than this while they prefill another prompt.
	minUnresponsiveSilence = 500 * time.Millisecond
	// maxDeviations is how many deviations above the mean a time to the first event is unusual.
	maxDeviations = 4
)

var errUnresponsive = errors.New("the target is unresponsive: several gateways lost requests there and nothing arrives from it")

// contact records when something last arrived from a target, in any attempt since the first of
// those in flight there.
type contact struct {
	createdAt time.Time
	// lastAfter is the time from createdAt to the last arrival, in nanoseconds.
	lastAfter atomic.Int64
	attempts  int
}

func (c *contact) record(now time.Time) { c.lastAfter.Store(int64(now.Sub(c.createdAt))) }

// last returns when something last arrived, or from if that is later.
func (c *contact) last(from time.Time) time.Time {
	if at := c.createdAt.Add(time.Duration(c.lastAfter.Load())); at.After(from) {
		return at
	}
	return from
}

// contacts holds the contact with each target that has streams in flight, by incarnation.
type contacts struct {
	mu      sync.Mutex
	targets map[string]*contact
}

func (c *contacts) join(target string) *contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets == nil {
		c.targets = make(map[string]*contact)
	}
	known, ok := c.targets[target]
	if !ok {
		known = &contact{createdAt: clock.Now()}
		c.targets[target] = known
	}
	known.attempts++
	return known
}

// record records an answer of a target.
func (c *contacts) record(target string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.targets[target]; ok {
		known.record(now)
	}
}

func (c *contacts) leave(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.targets[target]
	if known.attempts--; known.attempts == 0 {
		delete(c.targets, target)
	}
}

// livenessWatch is the state of a stream's attempt that is needed to detect an unresponsive target.
type livenessWatch struct {
	contact *contact
	// passing means that an event is being passed on: nothing is read meanwhile.
	passing atomic.Bool
	// eventSeen means that an event has arrived.
	eventSeen atomic.Bool
	// suspectedAt is the time of the last contact with the target when several gateways were last
	// known to suspect it; zero if they never did.
	suspectedAt time.Time
	// timer is nil if the target isn't checked, or no longer; nextCheck is when the timer is to
	// fire.
	timer     *time.Timer
	nextCheck time.Time
	// ended means that the attempt was ended because its target is unresponsive, and closed that
	// the attempt is over.
	ended, closed bool
}

// watchLiveness starts to check a stream's target. The returned function stops the checks. Attempts
// that aren't streams switch to another target, or wait.
func (a *attempt) watchLiveness() (stop func()) {
	if a.call.route.Kind != routing.Stream {
		return func() {}
	}
	incarnation := a.incarnation
	a.liveness.contact = a.call.gateway.contacts.join(incarnation)
	if !a.call.delivery.MayAbandon() {
		a.mu.Lock()
		a.startLivenessTimer()
		a.mu.Unlock()
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.liveness.timer != nil {
			a.liveness.timer.Stop()
			a.liveness.timer = nil
		}
		a.liveness.closed = true
		a.call.gateway.contacts.leave(incarnation)
	}
}

// startLivenessTimer starts to check a stream's target unless that has been started. The caller
// must hold a.mu.
func (a *attempt) startLivenessTimer() {
	if a.liveness.timer == nil && a.liveness.contact != nil && !a.liveness.closed {
		a.liveness.nextCheck = clock.Now().Add(unresponsiveInterval)
		a.liveness.timer = time.AfterFunc(unresponsiveInterval, a.checkLiveness)
	}
}

// checkLiveness ends the attempt if its target is unresponsive. A late check does nothing: this
// process was paused and may not have read yet what has arrived.
func (a *attempt) checkLiveness() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.liveness.timer == nil {
		return
	}
	now := clock.Now()
	late := now.Sub(a.liveness.nextCheck) > unresponsiveInterval || a.isProcessLate()
	if !late && a.isUnresponsive(now) {
		a.liveness.ended = true
		a.cancel()
		return
	}
	a.liveness.nextCheck = now.Add(unresponsiveInterval)
	a.liveness.timer.Reset(unresponsiveInterval)
}

// isUnresponsive reports whether the target is known to be gone: suspected since the last contact,
// and silent for longer than usual. The caller must hold a.mu.
func (a *attempt) isUnresponsive(now time.Time) bool {
	last := a.liveness.contact.last(a.started)
	if a.liveness.passing.Load() || now.Sub(last) < unresponsiveInterval {
		return false
	}
	if a.call.gateway.Balancer.SuspectedByPeers(a.incarnation, last, now) {
		a.liveness.suspectedAt = last
	}
	return a.liveness.suspectedAt.Equal(last) && now.Sub(last) >= a.maxUsualSilence()
}

// maxUsualSilence returns the longest silence that a working target explains.
func (a *attempt) maxUsualSilence() time.Duration {
	if a.liveness.eventSeen.Load() {
		return max(minUnresponsiveSilence, a.maxSilenceBetweenEvents())
	}
	return max(minUnresponsiveSilence, a.maxSilenceToHead(), a.call.gateway.firstEventTimes.maxUsual(a.call.route.Name, maxDeviations))
}

// recordContact records that something arrived from a stream's target, or that its events are read
// again.
func (a *attempt) recordContact(now time.Time) {
	a.liveness.contact.record(now)
}

// endedUnresponsive reports whether the attempt was ended because its target is unresponsive.
func (a *attempt) endedUnresponsive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.liveness.ended
}
