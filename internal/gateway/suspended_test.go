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

// suspendedFor is longer than keys are vouched for and any route waits.
const suspendedFor = 20 * time.Second

// suspendingSender is on a host that is suspended between the choice and the sending.
type suspendingSender struct {
	*fakeSender
	back func()
}

func (s *suspendingSender) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	s.back = clock.Simulate(suspendedFor)
	return s.fakeSender.Send(ctx, out, admit)
}

// TestASuspendedHostVouchesForNoKey: the steady clock stood still, and a key that may have been
// taken away meanwhile was served by a proof that seemed new.
func TestASuspendedHostVouchesForNoKey(t *testing.T) {
	cases := map[string]func(w *world) (back func()){
		"before the request": func(*world) func() { return clock.Simulate(suspendedFor) },
		"before the sending": func(w *world) func() {
			sender := &suspendingSender{fakeSender: w.sender}
			w.gateway.Sender = sender
			return func() { sender.back() }
		},
	}
	for name, suspend := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(whole(200, "yes"))
				back := suspend(w)
				defer func() { back() }()
				w.serve(t.Context(), "/once/x")
				is.Equal(len(w.sender.sent), 0)
				is.Equal(w.caller.refusal.Kind, fault.StoreAway)
				is.Equal(w.caller.refusal.State, fault.NotRun)
			})
		})
	}
}

// TestASuspendedHostDeniesNothing: nor is it known any more that a route is not there.
func TestASuspendedHostDeniesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(whole(200, "yes"))
		defer clock.Simulate(suspendedFor)()
		w.serve(t.Context(), "/none/x")
		is.Equal(w.caller.refusal.Kind, fault.StoreAway)
	})
}

// TestTimeOfASuspensionIsGone: a target gets no more time than the caller still has.
func TestTimeOfASuspensionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(lost, whole(200, "yes"))
		w.gateway.Options.KeyFreshness = time.Hour
		w.gateway.Sender = &firstThen{w.sender, 400 * time.Millisecond, nil}
		w.serve(t.Context(), "/get/x")
		is.Equal(len(w.sender.sent), 2)
		is.Equal(w.sender.sent[0].Left, time.Second)
		is.True(w.sender.sent[1].Left <= 600*time.Millisecond)
		w.gateway.Sender.(*firstThen).back()
	})
}

// firstThen is on a host that is suspended after the first sending.
type firstThen struct {
	*fakeSender
	away time.Duration
	back func()
}

func (f *firstThen) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	answer, err := f.fakeSender.Send(ctx, out, admit)
	if f.back == nil {
		f.back = clock.Simulate(f.away)
	}
	return answer, err
}

// TestASuspensionEndsATerm: what is held back for a while is so by the time that went by.
func TestASuspensionEndsATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := quarantine.New()
		const print = 7
		for life := range quarantine.Limit {
			table.Crashed(print, quarantine.Instance(life), clock.Now())
		}
		is.True(table.Held(print, clock.Check()))
		defer clock.Simulate(quarantine.FirstTerm)()
		is.True(!table.Held(print, clock.Check()))
	})
}
