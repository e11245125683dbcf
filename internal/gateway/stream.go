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

// passStream passes on complete events as they arrive. A resumed stream continues under the headers
// that the caller already has.
func (a *attempt) passStream(ctx context.Context, answer *Answer) bool {
	source := newEventReader(answer.Body, a.call.gateway.HeldBudget)
	defer source.release()
	paused := false
	a.timeToHead = 0
	defer func() { a.call.gateway.Balancer.NoteStream(a.incarnation, paused, clock.Now()) }()
	for {
		a.startSilenceTimer(ctx, a.maxSilenceBetweenEvents())
		waitStart := clock.Now()
		event, id, err := source.next()
		if errors.Is(err, io.EOF) {
			return a.endStream(answer)
		}
		if err != nil {
			a.failStream(err)
			return false
		}
		a.recordEvent(waitStart)
		a.recordStall(clock.Since(waitStart), source)
		// A pause before a stream breaks off is attributed to its target, not to the path.
		paused = paused || a.events > 0 && a.isLongPause(clock.Since(waitStart))
		if err := a.passEventUnwatched(answer, event); err != nil {
			a.failWriting(err)
			return false
		}
		a.events++
		a.provePartsByEvents(clock.Now())
		if id != "" {
			a.call.lastEventID = id
		}
	}
}

// recordEvent records the arrival of an event that was awaited since the given time. The time taken
// to pass events on is the caller's, not the target's, and doesn't count.
func (a *attempt) recordEvent(waitStart time.Time) {
	a.recordContact(clock.Now())
	a.hear(clock.Now())
	a.liveness.eventSeen.Store(true)
	if a.events == 0 {
		a.timeToHead = clock.Since(a.started)
		a.call.gateway.firstEventTimes.record(a.call.route.Name, a.timeToHead)
		return
	}
	a.eventSpan += clock.Since(waitStart)
}

// recordStall records whether an event arrived late together with others. A delay of this process
// looks the same and isn't counted.
func (a *attempt) recordStall(waited time.Duration, source *eventReader) {
	if a.events == 0 || a.isProcessLate() {
		return
	}
	a.call.gateway.stalls.record(waited, source.bufferedEvents(), clock.Now())
}

// longPauseShare is the share of the target gap, the longest pause that callers want, from which a
// pause counts as long.
const longPauseShare = 0.5

// isLongPause reports whether a pause between two events is longer than a working target makes by
// itself.
func (a *attempt) isLongPause(pause time.Duration) bool {
	maxGap := a.call.route.TargetGap
	return maxGap > 0 && pause > time.Duration(longPauseShare*float64(maxGap))
}

// passEventUnwatched passes an event on. Nothing is read from the target meanwhile, so its silence
// doesn't count.
func (a *attempt) passEventUnwatched(answer *Answer, event []byte) error {
	a.liveness.passing.Store(true)
	defer a.liveness.passing.Store(false)
	err := a.passEvent(answer, event)
	a.recordContact(clock.Now())
	return err
}

// passEvent passes an event on, after the headers if it is the first one.
func (a *attempt) passEvent(answer *Answer, event []byte) error {
	a.bindVersion()
	a.call.recordOrigin(a.incarnation)
	if err := a.beginStream(answer); err != nil {
		return err
	}
	return a.call.write(event)
}

// bindVersion records which version began the stream. The silence timer may be looking for another
// target at the same time.
func (a *attempt) bindVersion() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.call.streamVersion == "" {
		a.call.streamVersion = a.pick.Target.Version
	}
	a.call.versionUncertain = a.call.versionUncertain || a.pick.MayBeOfAnotherVersion
}

func (a *attempt) beginStream(answer *Answer) error {
	if a.call.delivery.Begun() {
		return nil
	}
	a.recordAnswer(answer)
	a.markBegun()
	return a.call.responder.Begin(answer.Status, answer.Header, -1)
}

// markBegun records that a part of the answer is passed on. The silence timer may be deciding on
// another attempt at the same time.
func (a *attempt) markBegun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.call.delivery.Begin()
}

// errNoEvents is the error of a stream whose connection ended before the first event. A target that ended
// looks the same as one that had nothing to send, and a stream without events needs a length or chunks.
var errNoEvents = errors.New("the connection of the stream ended before its first event")

// endStream ends a stream that its target ended completely.
func (a *attempt) endStream(answer *Answer) bool {
	if a.events == 0 && answer.EndsWithConnection {
		a.failStream(errNoEvents)
		return false
	}
	if err := a.beginStream(answer); err != nil {
		a.failWriting(err)
		return false
	}
	a.result = balance.Good
	return true
}

// failStream records that a stream broke off.
func (a *attempt) failStream(err error) {
	a.err = errors.Wrapf(err, "after %d events", a.events)
	a.outcome, a.result, a.loss = delivery.Lost, balance.Lost, lossDisconnected
	if a.call.delivery.Begun() {
		a.outcome = delivery.Cut
	}
	if a.isAbandoned() || errors.Is(err, context.DeadlineExceeded) {
		a.result, a.loss = balance.Bad, lossSilent
	}
	if a.endedUnresponsive() {
		a.loss = lossSilent
		a.result, a.err = balance.Bad, errors.Wrapf(errUnresponsive, "after %d events", a.events)
	}
	if a.isAbandoned() && !a.call.delivery.Begun() {
		a.outcome = delivery.Silent
	}
}
