package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/gateway"
)

const backoffTime = 3 * time.Second

// backoffUntil rejects all requests at target a with a Retry-After until the given time.
func backoffUntil(until time.Time) script {
	return func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		if time.Now().Before(until) {
			return withNotice(balance.Notice{RetryAfter: backoffTime}, rejected)(ctx, out)
		}
		return respond(http.StatusOK, one)(ctx, out)
	}
}

// TestBackingOffTargetGetsOneProbe checks that the target gets one request per backoff, that
// callers lose no more than that to the retry budget, and that the target gets its share again
// once it accepts requests.
func TestBackingOffTargetGetsOneProbe(t *testing.T) {
	for _, path := range []string{"/once/", "/get/", "/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(backoffUntil(time.Now().Add(7 * time.Second)))
				w.gateway.Budgets = retries(4)
				for number := range 700 {
					w.gateway.Proof.Note(time.Now())
					is.Equal(w.serveAs(t.Context(), fmt.Sprintf("%s%d", path, number)).status, http.StatusOK)
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(w.sentTo("a"), 3) // at 0, 3 and 6 s
				for _, attempts := range w.caller.records {
					for _, attempt := range attempts.Attempts {
						is.True(!attempt.Ejected)
					}
				}
				time.Sleep(backoffTime)
				w.gateway.Proof.Note(time.Now())
				for number := range 60 {
					w.serve(t.Context(), fmt.Sprintf("%slater-%d", path, number))
				}
				is.True(w.sentTo("a") > 10)
				is.Equal(len(w.gateway.Balancer.InFlight()), 0)
			})
		})
	}
}

// TestLaterNoticeExtendsBackoff checks that answers to requests that were in flight at the first
// notice extend the backoff to the latest end that they name.
func TestLaterNoticeExtendsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(http.StatusOK, "yes"))
		w.gateway.Balancer.ObserveNotice("a", balance.Notice{RetryAfter: backoffTime}, clock.Now())
		time.Sleep(time.Second)
		w.gateway.Balancer.ObserveNotice("a", balance.Notice{RetryAfter: backoffTime}, clock.Now())
		time.Sleep(backoffTime - time.Millisecond)
		for number := range 50 {
			w.serve(t.Context(), fmt.Sprintf("/once/%d", number))
		}
		is.Equal(w.sentTo("a"), 0)
	})
}

// TestHostSuspensionCountsTowardsBackoff checks that the time for which this host was suspended
// counts towards the backoff.
func TestHostSuspensionCountsTowardsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(http.StatusOK, "yes"))
		w.gateway.Options.KeyFreshness = 0
		w.gateway.Balancer.ObserveNotice("a", balance.Notice{RetryAfter: time.Minute}, clock.Check())
		w.serve(t.Context(), "/once/x")
		defer clock.Simulate(2 * time.Minute)()
		for number := range 50 {
			w.serve(t.Context(), fmt.Sprintf("/once/%d", number))
		}
		is.True(w.sentTo("a") > 0)
	})
}

// TestAllTargetsBackOff checks that callers are refused at once with differing Retry-After times
// from the end of the backoffs on, and are served then. Meanwhile nothing is sent, and no retries
// are taken from the budget.
func TestAllTargetsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		w := newTestGateway(respond(http.StatusOK, "yes"))
		w.gateway.Limiters = admission.NewLimiters(admission.DefaultLimiterOptions())
		for _, id := range []string{"a", "b", "c"} {
			w.gateway.Balancer.ObserveNotice(id, balance.Notice{RetryAfter: backoffTime}, clock.Now())
		}
		retryTimes := make(map[time.Duration]bool)
		for time.Since(began) < backoffTime {
			at := time.Now()
			w.gateway.Proof.Note(at)
			caller := w.serveAs(t.Context(), "/once/x")
			is.Equal(time.Since(at), time.Duration(0))
			is.Equal(caller.refusal.Kind, fault.NoTarget)
			is.Equal(caller.refusal.State, fault.NotRun)
			remaining := backoffTime - at.Sub(began)
			is.True(caller.refusal.RetryAfter >= remaining && caller.refusal.RetryAfter <= remaining+time.Second)
			retryTimes[caller.refusal.RetryAfter] = true
			time.Sleep(100 * time.Millisecond)
		}
		is.True(len(retryTimes) > 25)
		is.Equal(len(w.sender.sent), 0)
		w.gateway.Proof.Note(time.Now())
		is.Equal(w.serveAs(t.Context(), "/once/x").status, http.StatusOK)
	})
}

// TestLastTargetRequestsBackoff checks that the request rejected by the last target is refused with
// the time at which a target is available again.
func TestLastTargetRequestsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(withNotice(balance.Notice{RetryAfter: backoffTime}, rejected))
		for _, id := range []string{"b", "c"} {
			w.gateway.Balancer.ObserveNotice(id, balance.Notice{Leaving: true}, clock.Now())
		}
		w.serve(t.Context(), "/once/x")
		is.Equal(w.caller.refusal.State, fault.NotRun)
		is.True(w.caller.refusal.RetryAfter >= backoffTime)
	})
}

// TestQueuedRequestWhenTargetBacksOff checks that a queued request is refused without being sent
// once the target has asked for a backoff.
func TestQueuedRequestWhenTargetBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSingleSlotGateway(func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			time.Sleep(5 * time.Millisecond)
			return withNotice(balance.Notice{RetryAfter: backoffTime}, rejected)(ctx, out)
		})
		first := make(chan *recorder, 1)
		go func() { first <- w.serveAs(t.Context(), "/once/first") }()
		synctest.Wait()
		waiting := w.serveAs(t.Context(), "/once/second")
		is.Equal(waiting.refusal.State, fault.NotRun)
		is.True(waiting.refusal.RetryAfter >= backoffTime-time.Second)
		is.Equal((<-first).refusal.State, fault.NotRun)
		is.Equal(len(w.sender.sent), 1)
	})
}

// TestBackoffNoticeWhileConnecting checks that requests that wait for a connection to a target that
// has asked for a backoff go to another one without a retry.
func TestBackoffNoticeWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(http.StatusOK, one))
		sender := &blockedSender{fakeSender: w.sender, release: make(chan struct{})}
		w.gateway.Sender = sender
		w.gateway.Budgets = retries(0)
		callers := make([]*recorder, 9)
		for i := range callers {
			go func() { callers[i] = w.serveAs(t.Context(), "/once/x") }()
		}
		synctest.Wait()
		w.gateway.Balancer.ObserveNotice("a", balance.Notice{RetryAfter: backoffTime}, clock.Now())
		close(sender.release)
		synctest.Wait()
		is.Equal(w.sentTo("a"), 0)
		for _, caller := range callers {
			is.Equal(caller.status, http.StatusOK)
		}
	})
}

// TestStreamIsNotResumedAtUnavailableTarget checks that a stream that broke off isn't resumed at a
// target that is leaving or has asked for a backoff.
func TestStreamIsNotResumedAtUnavailableTarget(t *testing.T) {
	for name, notice := range map[string]balance.Notice{"backoff": {RetryAfter: time.Minute}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var w *testGateway
				w = newTestGateway(func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					if out.LastEventID != "" {
						return stream(two, io.EOF)(ctx, out)
					}
					for _, id := range []string{"a", "b", "c"} {
						if id != out.Target.ID && id != "c" {
							w.gateway.Balancer.ObserveNotice(id, notice, clock.Now())
						}
					}
					return stream(one+two[:5], io.ErrUnexpectedEOF)(ctx, out)
				})
				w.serve(t.Context(), "/resumable/x")
				for _, out := range w.sender.sent[1:] {
					is.Equal(out.Target.ID, "c")
				}
				is.True(w.caller.body.String() == one+two || w.caller.aborted)
			})
		})
	}
}

// TestRejectionsWithoutNotice checks that a target that rejects requests without asking for a
// backoff still gets requests.
func TestRejectionsWithoutNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(withNotice(balance.Notice{}, rejected))
		w.gateway.Budgets = retries(1000)
		for number := range 60 {
			w.serve(t.Context(), fmt.Sprintf("/once/%d", number))
		}
		is.True(w.sentTo("a") > 5)
	})
}

// TestUnansweredProbe checks that another probe follows after a while, or as soon as the first one
// is known to have ended.
func TestUnansweredProbe(t *testing.T) {
	cases := map[string]struct {
		answers script
		// after is when further requests may follow.
		after time.Duration
	}{
		"it is lost":      {lost, 0},
		"it stays silent": {silent, time.Second},
		"it is complete":  {respond(http.StatusOK, one), 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(withNotice(balance.Notice{}, test.answers))
				for _, id := range []string{"b", "c"} {
					w.gateway.Balancer.ObserveNotice(id, balance.Notice{Leaving: true}, clock.Now())
				}
				w.gateway.Balancer.ObserveNotice("a", balance.Notice{RetryAfter: time.Second}, clock.Now())
				time.Sleep(time.Second)
				go w.serveAs(t.Context(), "/stream/first")
				synctest.Wait()
				is.Equal(w.sentTo("a"), 1)
				if test.after > 0 {
					w.serveAs(t.Context(), "/stream/early")
					is.Equal(w.sentTo("a"), 1)
				}
				time.Sleep(test.after)
				go w.serveAs(t.Context(), "/stream/next")
				synctest.Wait()
				is.Equal(w.sentTo("a"), 2)
				time.Sleep(20 * time.Second) // until all have ended
			})
		})
	}
}

// TestRequestsFollowProbeHeaders checks that further requests follow the headers of the answer to a
// probe rather than its end, which may be late for a stream.
func TestRequestsFollowProbeHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			body, rest := io.Pipe()
			time.AfterFunc(5*time.Second, func() { _ = rest.Close() })
			return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: body}, nil
		})
		for _, id := range []string{"b", "c"} {
			w.gateway.Balancer.ObserveNotice(id, balance.Notice{Leaving: true}, clock.Now())
		}
		w.gateway.Balancer.ObserveNotice("a", balance.Notice{RetryAfter: time.Second}, clock.Now())
		time.Sleep(time.Second)
		for range 5 {
			go w.serveAs(t.Context(), "/stream/x")
			synctest.Wait()
		}
		is.Equal(w.sentTo("a"), 5)
		time.Sleep(20 * time.Second) // until all have ended
	})
}
