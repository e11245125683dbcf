// Package delivery decides, without I/O, what follows each attempt at a target to answer a request:
// another attempt, a resumed stream, or the end, and what the caller may then be told.
//
// Source: docs/design/platform.md, "Delivery".
package delivery

import "github.com/capersaddle/capersaddle/internal/fault"

// Outcome is how one attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Unsent: no byte of the request reached the target.
	Unsent Outcome = iota
	// Rejected: the target reported that it did not run the request and will not.
	Rejected
	// Misdirected: another target received the request at this address, and did not run it.
	Misdirected
	// Lost: the request was sent and no usable answer arrived; it may have run.
	Lost
	// Failed: the target ran the request and answered with a failure.
	Failed
	// Silent: the request was sent and the attempt timed out; the connection to the target was
	// closed.
	Silent
	// Cut: the answer broke off after a part of it was passed on.
	Cut
)

// NotRun reports whether it is certain that no target ran the request in this attempt.
func (o Outcome) NotRun() bool {
	return o == Unsent || o == Rejected || o == Misdirected
}

// RepeatPolicy is how often a request may run.
type RepeatPolicy int

// The repeat policies.
const (
	// AtMostOnce never allows a second run.
	AtMostOnce RepeatPolicy = iota
	// Repeatable allows a second run until a part of the answer has been passed on.
	Repeatable
	// Resumable is Repeatable, and after a part has been passed on, another run may continue after
	// the last complete event.
	Resumable
)

// Step is the next step of a delivery.
type Step int

// The steps of a delivery.
const (
	// Again sends the request to another target.
	Again Step = iota
	// Resume sends the request to another target that continues after the last event.
	Resume
	// Relay passes the target's failure on to the caller.
	Relay
	// GiveUp ends the request with the kind of the verdict.
	GiveUp
	// Abort ends an answer that has begun in a way that can't look complete.
	Abort
)

// Verdict is a step and, for GiveUp, the error for the caller.
type Verdict struct {
	Step Step
	// Kind and State are set with GiveUp.
	Kind  fault.Kind
	State fault.RunState
}

// Delivery is the state of one request. It is not safe for concurrent use.
type Delivery struct {
	policy RepeatPolicy
	// maxRuns limits how many targets may run the request.
	maxRuns int
	// ran counts the targets that may have run the request.
	ran int
	// sent counts all attempts that reached a target, including rejected ones.
	sent int
	// begun means that a part of an answer was passed on.
	begun bool
}

// maxRejected limits the attempts beyond maxRuns, so that a service that rejects everything isn't
// tried endlessly.
const maxRejected = 3

// New returns a delivery that may run at up to maxRuns targets, at least one.
func New(policy RepeatPolicy, maxRuns int) *Delivery {
	return &Delivery{policy: policy, maxRuns: max(1, maxRuns)}
}

// Begin records that a part of an answer was passed on to the caller.
func (d *Delivery) Begin() {
	d.begun = true
}

// Begun reports whether a part of an answer was passed on.
func (d *Delivery) Begun() bool {
	return d.begun
}

// MayHaveRun reports whether a target may have run the request.
func (d *Delivery) MayHaveRun() bool {
	return d.ran > 0
}

// After decides what follows an attempt with the given outcome. It calls takeRetry only if another
// attempt is allowed. takeRetry reports whether there is time, another target and a retry in the
// budget, and takes the retry. If it returns false the request ends.
func (d *Delivery) After(outcome Outcome, takeRetry func() bool) Verdict {
	d.count(outcome)
	if d.begun {
		if d.mayResume() && takeRetry() {
			return Verdict{Step: Resume}
		}
		return Verdict{Step: Abort}
	}
	if d.mayRetry() && takeRetry() {
		return Verdict{Step: Again}
	}
	if outcome == Failed {
		return Verdict{Step: Relay}
	}
	return d.giveUp(outcome)
}

func (d *Delivery) count(outcome Outcome) {
	switch outcome {
	case Unsent:
	case Rejected, Misdirected:
		d.sent++
	default:
		d.sent++
		d.ran++
	}
}

// mayRetry reports whether another attempt is allowed before any of the answer was passed on.
func (d *Delivery) mayRetry() bool {
	if d.sent >= d.maxRuns+maxRejected {
		return false
	}
	if d.ran == 0 {
		return true
	}
	if d.policy == AtMostOnce {
		return false
	}
	return d.ran < d.maxRuns
}

// mayResume reports whether another attempt is allowed after a part of the answer was passed on.
func (d *Delivery) mayResume() bool {
	return d.policy == Resumable && d.ran < d.maxRuns && d.sent < d.maxRuns+maxRejected
}

// MayAbandon reports whether an attempt in flight may be ended, because its target is silent, in
// favor of an attempt at another target.
func (d *Delivery) MayAbandon() bool {
	return d.policy != AtMostOnce && d.ran+1 < d.maxRuns
}

// giveUp returns the end of a request whose answer has not begun. NotRun is reported only if no
// target can have run the request.
func (d *Delivery) giveUp(outcome Outcome) Verdict {
	switch {
	case d.ran == 0 && outcome == Rejected:
		return Verdict{Step: GiveUp, Kind: fault.Overloaded, State: fault.NotRun}
	case d.ran == 0:
		return Verdict{Step: GiveUp, Kind: fault.NoTarget, State: fault.NotRun}
	case outcome == Silent:
		return Verdict{Step: GiveUp, Kind: fault.Deadline, State: fault.Unknown}
	}
	return Verdict{Step: GiveUp, Kind: fault.TargetFailed, State: fault.Unknown}
}
