package admission

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
)

// A target that refuses a request may ask the gate to back off for a time (a rest). Until then the
// gate refuses new and queued requests, with the time that remains as the time to retry. After
// that it admits one request as a probe, and the others only once the target has answered without
// asking for rest.

// rest is the state of the backoff that the target asked for.
type rest struct {
	// until is the end of the longest rest asked for; zero if there was none, or if an answer has
	// since shown that it is over.
	until time.Time
	// probing is set while the probe is in flight.
	probing bool
}

// remaining returns how much of the rest remains.
func (r *rest) remaining() time.Duration { return max(r.until.Sub(clock.Check()), 0) }

// needsProbe reports whether there is a rest, current or past, that no answer has shown to be
// over.
func (r *rest) needsProbe() bool { return !r.until.IsZero() }

// Rest makes the gate refuse everything for the given time, unless it already does so for longer.
func (g *Gate) BackOff(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := clock.Check().Add(length)
	if length <= 0 || !until.After(g.rest.until) {
		return
	}
	g.rest.until = until
	g.refuseWaiting(errResting(length))
}

// Answered records that the target has answered without asking for rest. If its rest has ended, no
// probe is needed any more.
func (g *Gate) Answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rest.needsProbe() && g.rest.remaining() == 0 {
		g.rest = rest{}
		g.admitWaiting()
	}
}

// errResting returns the refusal of a request while the target rests.
func errResting(remaining time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "the target asked clients to back off").After(remaining)
}
