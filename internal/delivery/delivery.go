// Package delivery decides, without I/O, what becomes of one request after
// each attempt to have a target answer it: another attempt, a resumed stream,
// or the end, and what may then be said of it to the caller.
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
	// Rejected: the target said that it did not run the request and will not.
	Rejected
	// Lost: the request was sent and no usable answer came; it may have run.
	Lost
	// Failed: the target ran the request and answered with a failure.
	Failed
	// Silent: the request was sent and the attempt's time ran out; the
	// connection to the target was closed.
	Silent
	// Cut: the answer broke off after a part of it was passed on.
	Cut
)

// Repeat says how often a request may run.
type RepeatPolicy int

// How often a request may run.
const (
	// AtMostOnce: never a second run.
	AtMostOnce RepeatPolicy = iota
	// Repeatable: a second run before any of the answer was passed on.
	Repeatable
	// Resumable: as Repeatable, and after a part was passed on a run may go on
	// behind the last whole event.
	Resumable
)

// Step is what to do next.
type Step int

// The steps.
const (
	// Again sends the request to another target.
	Again Step = iota
	// Resume sends it to another target, to go on behind the last event.
	Resume
	// Relay passes the target's failure on to the caller.
	Relay
	// GiveUp ends the request with the verdict's kind.
	GiveUp
	// Abort ends an answer that was begun, so that it can't look complete.
	Abort
)

// Verdict is a step and, for GiveUp, what to say.
type Verdict struct {
	Step Step
	// Kind and State are set with GiveUp.
	Kind  fault.Kind
	State fault.RunState
}

// Delivery is the state of one request. It is used by one goroutine.
type Delivery struct {
	repeat RepeatPolicy
	// most is how many targets may run the request.
	most int
	// ran counts the targets that may have run it.
	ran int
	// sent counts all attempts that reached a target, rejected ones included.
	sent int
	// begun says that a part of an answer was passed on.
	begun bool
}

// mostRejected bounds how often a request is offered in all, so that a
// service that turns everything away isn't asked without end.
const mostRejected = 3

// New begins a delivery that may run on so many targets, at least one.
func New(repeat RepeatPolicy, most int) *Delivery {
	return &Delivery{repeat: repeat, most: max(1, most)}
}

// Begin notes that a part of an answer was passed on to the caller.
func (d *Delivery) Begin() {
	d.begun = true
}

// Begun says whether a part of an answer was passed on.
func (d *Delivery) Begun() bool {
	return d.begun
}

// MayHaveRun says whether a target may have run the request.
func (d *Delivery) MayHaveRun() bool {
	return d.ran > 0
}

// After decides what follows an attempt's outcome. spare is asked only when a
// further attempt is allowed: it says, and takes, whether there is time, a
// further target and room in the retry budget. Without it the request ends.
func (d *Delivery) After(outcome Outcome, spare func() bool) Verdict {
	d.count(outcome)
	if d.begun {
		if d.mayGoOn() && spare() {
			return Verdict{Step: Resume}
		}
		return Verdict{Step: Abort}
	}
	if d.mayTryAgain() && spare() {
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
	case Rejected:
		d.sent++
	default:
		d.sent++
		d.ran++
	}
}

// mayTryAgain holds before any of the answer was passed on.
func (d *Delivery) mayTryAgain() bool {
	if d.sent >= d.most+mostRejected {
		return false
	}
	if d.ran == 0 {
		return true
	}
	if d.repeat == AtMostOnce {
		return false
	}
	return d.ran < d.most
}

// mayGoOn holds after a part of the answer was passed on.
func (d *Delivery) mayGoOn() bool {
	return d.repeat == Resumable && d.ran < d.most && d.sent < d.most+mostRejected
}

// MayAbandon says whether an attempt under way may be ended, because its target
// is silent, for one at another target.
func (d *Delivery) MayAbandon() bool {
	return d.repeat != AtMostOnce && d.ran+1 < d.most
}

// giveUp names the end of a request whose answer was not begun. Only a request
// that no target can have run is said not to have run.
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
