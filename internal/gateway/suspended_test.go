package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// suspension is longer than keys are trusted and than any route waits.
const suspension = 20 * time.Second

// suspendingSender simulates a suspension of the host between the choice of a target and the send.
type suspendingSender struct {
	*fakeSender
	resume func()
}

func (s *suspendingSender) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	s.resume = clock.Simulate(suspension)
	return s.fakeSender.Send(ctx, out, admit)
}

// TestSuspendedHostAcceptsNoKeys guards against trusting a key that may have been revoked during a
// suspension: the monotonic clock stood still, so that the proof seemed new.
func TestSuspendedHostAcceptsNoKeys(t *testing.T) {
	cases := map[string]func(w *testGateway) (back func()){
		"before the request": func(*testGateway) func() { return clock.Simulate(suspension) },
		"before the sending": func(w *testGateway) func() {
			sender := &suspendingSender{fakeSender: w.sender}
			w.gateway.Sender = sender
			return func() { sender.resume() }
		},
	}
	for name, suspend := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(respond(200, "yes"))
				resume := suspend(w)
				defer func() { resume() }()
				w.serve(t.Context(), "/once/x")
				is.Equal(len(w.sender.sent), 0)
				is.Equal(w.caller.refusal.Kind, fault.StoreAway)
				is.Equal(w.caller.refusal.State, fault.NotRun)
			})
		})
	}
}

// TestSuspendedHostDeniesNoRoutes checks that after a suspension a missing route isn't denied,
// since the configuration may be outdated.
func TestSuspendedHostDeniesNoRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(200, "yes"))
		defer clock.Simulate(suspension)()
		w.serve(t.Context(), "/none/x")
		is.Equal(w.caller.refusal.Kind, fault.StoreAway)
	})
}

// TestSuspensionReducesTimeLeft checks that a target gets no more time than the caller still has.
func TestSuspensionReducesTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(lost, respond(200, "yes"))
		w.gateway.Options.KeyFreshness = time.Hour
		w.gateway.Sender = &suspendAfterSend{w.sender, 400 * time.Millisecond, nil}
		w.serve(t.Context(), "/get/x")
		is.Equal(len(w.sender.sent), 2)
		is.Equal(w.sender.sent[0].TimeLeft, time.Second)
		is.True(w.sender.sent[1].TimeLeft <= 600*time.Millisecond)
		w.gateway.Sender.(*suspendAfterSend).resume()
	})
}

// suspendAfterSend simulates a suspension of the host after the first send.
type suspendAfterSend struct {
	*fakeSender
	duration time.Duration
	resume   func()
}

func (f *suspendAfterSend) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	answer, err := f.fakeSender.Send(ctx, out, admit)
	if f.resume == nil {
		f.resume = clock.Simulate(f.duration)
	}
	return answer, err
}

// TestSuspensionCountsForQuarantineTerm checks that the term for which a request is held
// includes the time of a suspension.
func TestSuspensionCountsForQuarantineTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := quarantine.New()
		const fingerprint = 7
		for incarnation := range quarantine.Limit {
			table.Crashed(fingerprint, quarantine.Incarnation(incarnation), clock.Now())
		}
		is.True(table.Held(fingerprint, clock.Check()))
		defer clock.Simulate(quarantine.FirstTerm)()
		is.True(!table.Held(fingerprint, clock.Check()))
	})
}
