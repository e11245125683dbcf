package admission

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
)

// A target that turns a request away may ask for rest. Until its end the gate refuses what comes
// and what waits, with the time that is left. Then one request tries, and others follow its
// answer.

// rest is what the target has asked for.
type rest struct {
	// until is the end of the longest rest asked for; zero if none was, or an answer has shown
	// since that it is over.
	until time.Time
	// trying says that the request which tries is under way.
	probing bool
}

// left is how much of the rest is left.
func (r *rest) remaining() time.Duration { return max(r.until.Sub(clock.Check()), 0) }

// untried says whether a rest has ended, or will, that no answer has shown to be over.
func (r *rest) needsProbe() bool { return !r.until.IsZero() }

// Rest has the gate refuse everything for a while, unless it does so for longer already.
func (g *Gate) Rest(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := clock.Check().Add(length)
	if length <= 0 || !until.After(g.rest.until) {
		return
	}
	g.rest.until = until
	g.refuseWaiting(errResting(length))
}

// Answered notes that the target has answered without a wish for rest: one that is over needs no
// try any more.
func (g *Gate) Answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rest.needsProbe() && g.rest.remaining() == 0 {
		g.rest = rest{}
		g.admitWaiting()
	}
}

// errResting is the refusal of a request while the target rests for so much longer.
func errResting(remaining time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "the target has asked for rest").After(remaining)
}
