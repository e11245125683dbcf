package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// A stream that can't go on elsewhere, at a target that is gone without a trace, would
// keep its caller until its deadline. It is ended once several gateways know that the
// target is dark and nothing has come from it here for longer than is usual: neither
// alone is enough. Source: docs/design/dark-targets.md.

const (
	// darkLook is the time between two looks at a stream's target: what gateways suspect
	// is known for 1.5 s, and callers wait for seconds.
	darkLook = 200 * time.Millisecond
	// darkLeast is the least silence that counts, for routes that name no times: engines
	// pause for less while they read another prompt.
	darkLeast = 500 * time.Millisecond
	// usualWeight is the share of a new sample in the moving mean of a route's times to
	// the first event, and in that of how far they are from it; usualSpread of these
	// above the mean is unusual.
	usualWeight = 0.05
	usualSpread = 4
)

var errDark = errors.New("the target is dark: several gateways lost requests there, and nothing comes from it")

// contact is when something last came from a target, in any attempt since the first of
// those that are under way there.
type contact struct {
	began time.Time
	// heard is the time from began to then, in nanoseconds.
	heard    atomic.Int64
	attempts int
}

func (c *contact) note(now time.Time) { c.heard.Store(int64(now.Sub(c.began))) }

// last is when something came, at the earliest at the given time.
func (c *contact) last(from time.Time) time.Time {
	if at := c.began.Add(time.Duration(c.heard.Load())); at.After(from) {
		return at
	}
	return from
}

// contacts are those of the targets with streams under way, by id.
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
		known = &contact{began: clock.Now()}
		c.targets[target] = known
	}
	known.attempts++
	return known
}

// note notes an answer of a target.
func (c *contacts) note(target string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.targets[target]; ok {
		known.note(now)
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

// firstEventTimes are how long routes' streams take to their first events, by name. Routes
// that the configuration drops stay: a few numbers each.
type firstEventTimes struct {
	mu     sync.Mutex
	routes map[string]firstEventTime
}

// firstEventTime is the moving mean, and the mean distance from it, in seconds.
type firstEventTime struct {
	mean, spread float64
}

func (u *firstEventTimes) note(route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.routes == nil {
		u.routes = make(map[string]firstEventTime)
	}
	known, ok := u.routes[route]
	if !ok {
		u.routes[route] = firstEventTime{mean: took.Seconds(), spread: took.Seconds() / 2}
		return
	}
	off := took.Seconds() - known.mean
	known.mean += usualWeight * off
	known.spread += usualWeight * (max(off, -off) - known.spread)
	u.routes[route] = known
}

// most is the longest time that is usual; zero if nothing is known.
func (u *firstEventTimes) most(route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.routes[route]
	return time.Duration((known.mean + usualSpread*known.spread) * float64(time.Second))
}

// darkWatch is what a stream's attempt knows of a target that may be dark.
type darkWatch struct {
	contact *contact
	// passing says that an event is being passed on: nothing is read meanwhile.
	passing atomic.Bool
	// begun says that an event has come.
	begun atomic.Bool
	// doubtedFrom is when the target had last been heard of when several gateways were
	// last known to doubt it; zero if they never were.
	doubtedFrom time.Time
	// timer is nil where nobody looks, or no longer; dueAt is when it is to fire.
	timer *time.Timer
	dueAt time.Time
	// ended says that the attempt was ended since its target is dark, and closed that it
	// is over.
	ended, closed bool
}

// watchDark begins to look at a stream's target; the result ends it. Others are
// left for another target, or wait.
func (a *attempt) watchDark() (stop func()) {
	if a.call.route.Kind != routing.Stream {
		return func() {}
	}
	target := a.life
	a.dark.contact = a.call.gateway.contacts.join(target)
	if !a.call.delivery.MayLeave() {
		a.mu.Lock()
		a.beginToLook()
		a.mu.Unlock()
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.dark.timer != nil {
			a.dark.timer.Stop()
			a.dark.timer = nil
		}
		a.dark.closed = true
		a.call.gateway.contacts.leave(target)
	}
}

// beginToLook begins to look at a stream's target, if nobody does yet; a.mu is held.
func (a *attempt) beginToLook() {
	if a.dark.timer == nil && a.dark.contact != nil && !a.dark.closed {
		a.dark.dueAt = clock.Now().Add(darkLook)
		a.dark.timer = time.AfterFunc(darkLook, a.lookDark)
	}
}

// lookDark ends the attempt if its target is dark. A look that comes late sees nothing: this
// process stood still, and may not have read yet what has come.
func (a *attempt) lookDark() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dark.timer == nil {
		return
	}
	now := clock.Now()
	late := now.Sub(a.dark.dueAt) > darkLook || a.isLate()
	if !late && a.isDark(now) {
		a.dark.ended = true
		a.cancel()
		return
	}
	a.dark.dueAt = now.Add(darkLook)
	a.dark.timer.Reset(darkLook)
}

// isDark says whether the target is known to be gone: doubted since it was last heard of,
// and silent for longer than it usually is. a.mu is held.
func (a *attempt) isDark(now time.Time) bool {
	last := a.dark.contact.last(a.started)
	if a.dark.passing.Load() || now.Sub(last) < darkLook {
		return false
	}
	if a.call.gateway.Balancer.SuspectedByPeers(a.life, last, now) {
		a.dark.doubtedFrom = last
	}
	return a.dark.doubtedFrom.Equal(last) && now.Sub(last) >= a.usualSilence()
}

// usualSilence is the longest one that the target's working explains.
func (a *attempt) usualSilence() time.Duration {
	if a.dark.begun.Load() {
		return max(darkLeast, a.silenceBetween())
	}
	return max(darkLeast, a.silenceToHead(), a.call.gateway.firstEventTimes.most(a.call.route.Name))
}

// noteContact notes that something came from a stream's target, or that its events are
// read again.
func (a *attempt) noteContact(now time.Time) {
	a.dark.contact.note(now)
}

// endedDark says whether the attempt was ended since its target is dark.
func (a *attempt) endedDark() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dark.ended
}
