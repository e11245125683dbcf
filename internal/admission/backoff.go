package admission

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
)

// A target that refuses a request may ask the gate to back off for a time. Until the backoff ends,
// the gate refuses new and queued requests, with the time that remains as the time to retry. After
// that it admits one request as a probe, and the others only once the target has answered without
// asking for another backoff.

// backoff is the state of the backoff that the target asked for.
type backoff struct {
	// until is the end of the longest backoff asked for; zero if there was none, or if an answer
	// has since shown that it is over.
	until time.Time
	// probing is set while the probe is in flight.
	probing bool
}

// remaining returns how much of the backoff remains.
func (r *backoff) remaining() time.Duration { return max(r.until.Sub(clock.Check()), 0) }

// needsProbe reports whether there is a backoff, current or past, that no answer has shown to
// be over.
func (r *backoff) needsProbe() bool { return !r.until.IsZero() }

// BackOff makes the gate refuse everything for the given time, unless it already does so for
// longer.
func (g *Gate) BackOff(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := clock.Check().Add(length)
	if length <= 0 || !until.After(g.backoff.until) {
		return
	}
	g.backoff.until = until
	g.refuseWaiting(errBackingOff(length))
}

// Answered records that the target has answered without asking for a backoff. If its last backoff
// has ended, no probe is needed any more.
func (g *Gate) Answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backoff.needsProbe() && g.backoff.remaining() == 0 {
		g.backoff = backoff{}
		g.admitWaiting()
	}
}

// errBackingOff returns the refusal of a request during a backoff.
func errBackingOff(remaining time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "the target asked clients to back off").After(remaining)
}
