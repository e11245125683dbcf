package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
)

// passStream passes whole events on as they come. A resumed stream goes on
// under the head that the caller already has.
func (a *attempt) passStream(ctx context.Context, answer *Answer) bool {
	source := newEvents(answer.Body)
	halted := false
	a.head = 0
	defer func() { a.call.gateway.Balancer.NoteStream(a.life, halted, clock.Now()) }()
	for {
		a.watch(ctx, a.silenceBetween())
		asked := clock.Now()
		event, id, err := source.next()
		if errors.Is(err, io.EOF) {
			return a.endStream(answer)
		}
		if err != nil {
			a.cut(err)
			return false
		}
		a.noteEvent(asked)
		a.noteStall(clock.Since(asked), source)
		// A pause before the end of a stream that broke off is its target's.
		halted = halted || a.events > 0 && a.isHalt(clock.Since(asked))
		if err := a.passListening(answer, event); err != nil {
			a.callerGone(err)
			return false
		}
		a.events++
		if id != "" {
			a.call.after = id
		}
	}
}

// noteEvent notes the arrival of an event that was waited for from a moment on. The time
// that it takes to pass events on is the caller's, not the target's.
func (a *attempt) noteEvent(asked time.Time) {
	a.noteContact(clock.Now())
	a.dark.begun.Store(true)
	if a.events == 0 {
		a.head = clock.Since(a.started)
		a.call.gateway.firstEventTimes.note(a.call.route.Name, a.head)
		return
	}
	a.span += clock.Since(asked)
}

// noteStall notes whether an event came late together with others. A delay of this process
// itself looks alike, and is none.
func (a *attempt) noteStall(waited time.Duration, source *events) {
	if a.events == 0 || a.isLate() {
		return
	}
	a.call.gateway.stalls.note(waited, source.ready(), clock.Now())
}

// haltShare of the longest pause that callers want is how long a pause counts
// as a halt.
const haltShare = 0.5

// isHalt says whether a pause between two events is one that a target which
// works does not make by itself.
func (a *attempt) isHalt(pause time.Duration) bool {
	wanted := a.call.route.TargetGap
	return wanted > 0 && pause > time.Duration(haltShare*float64(wanted))
}

// passListening passes an event on. As long as that takes, the target is not heard.
func (a *attempt) passListening(answer *Answer, event []byte) error {
	a.dark.passing.Store(true)
	defer a.dark.passing.Store(false)
	err := a.passEvent(answer, event)
	a.noteContact(clock.Now())
	return err
}

// passEvent sends the head before the first event.
func (a *attempt) passEvent(answer *Answer, event []byte) error {
	if err := a.beginStream(answer); err != nil {
		return err
	}
	return a.call.write(event)
}

func (a *attempt) beginStream(answer *Answer) error {
	if a.call.delivery.Begun() {
		return nil
	}
	a.answered(answer)
	a.call.delivery.Begin()
	return a.call.responder.Begin(answer.Status, answer.Header, -1)
}

// endStream ends a stream whose target ended it whole.
func (a *attempt) endStream(answer *Answer) bool {
	if err := a.beginStream(answer); err != nil {
		a.callerGone(err)
		return false
	}
	a.result = balance.Good
	return true
}

// cut notes a stream that broke off.
func (a *attempt) cut(err error) {
	a.err = errors.Wrapf(err, "after %d events", a.events)
	a.outcome, a.result, a.loss = delivery.Lost, balance.Lost, brokeOff
	if a.call.delivery.Begun() {
		a.outcome = delivery.Cut
	}
	if a.isSpent() || errors.Is(err, context.DeadlineExceeded) {
		a.result, a.loss = balance.Bad, wentSilent
	}
	if a.endedDark() {
		a.loss = wentSilent
		a.result, a.err = balance.Bad, errors.Wrapf(errDark, "after %d events", a.events)
	}
	if a.isSpent() && !a.call.delivery.Begun() {
		a.outcome = delivery.Silent
	}
}
