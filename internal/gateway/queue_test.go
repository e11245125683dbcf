package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// newSingleSlotGateway returns a test gateway with one target that has one slot.
func newSingleSlotGateway(scripts ...script) *testGateway {
	w := newTestGateway(scripts...)
	w.gateway.Limiters = admission.NewLimiters(admission.DefaultLimiterOptions())
	for _, id := range []string{"a", "b", "c"} {
		w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Leaving: id != "a", Slots: 1}, time.Now())
	}
	return w
}

// respondAfter answers after a delay.
func respondAfter(wait time.Duration, status int, body string) script {
	return func(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, &gateway.SendError{Sent: true, Err: ctx.Err()}
		}
		return &gateway.Answer{Status: status, Size: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), Signed: true}, nil
	}
}

// serveAs serves a request with a caller of its own.
func (w *testGateway) serveAs(ctx context.Context, path string) *recorder {
	caller := new(recorder)
	w.gateway.Serve(ctx, &gateway.Request{ID: path, Method: "POST", Host: "h", URI: path, Path: path, Key: "key", Arrived: time.Now()}, caller)
	return caller
}

// TestFullServiceRefuses checks that while the target's slot is taken, a request waits for a tenth
// of its target latency and is then refused without being sent, with a Retry-After that still fits
// its caller's time.
func TestFullServiceRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSingleSlotGateway(respondAfter(500*time.Millisecond, http.StatusOK, "yes"))
		go w.serve(t.Context(), "/once/first")
		synctest.Wait()
		began := time.Now()
		refused := w.serveAs(t.Context(), "/once/second")
		is.Equal(time.Since(began), 10*time.Millisecond)
		is.Equal(refused.refusal.Kind, fault.Overloaded)
		is.Equal(refused.refusal.State, fault.NotRun)
		is.True(refused.refusal.RetryAfter > 0 && refused.refusal.RetryAfter <= time.Second/3)
		is.Equal(len(w.sender.sent), 1)
		time.Sleep(time.Second)
		synctest.Wait() // the first caller's answer is written
		is.Equal(w.caller.status, http.StatusOK)
	})
}

// TestFreedSlotAdmitsWaitingRequest checks that the next request in the queue is sent as soon as
// the previous one has ended.
func TestFreedSlotAdmitsWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSingleSlotGateway(respondAfter(5*time.Millisecond, http.StatusOK, "yes"))
		go w.serve(t.Context(), "/once/first")
		synctest.Wait()
		began := time.Now()
		second := w.serveAs(t.Context(), "/once/second")
		is.Equal(second.status, http.StatusOK)
		is.Equal(time.Since(began), 10*time.Millisecond) // 5 in the queue, 5 at the target
	})
}

// TestPeerLoadDecreaseAdmitsWaiting checks that waiting requests are sent when another gateway
// reports less load.
func TestPeerLoadDecreaseAdmitsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSingleSlotGateway(stream(one, io.EOF))
		w.gateway.Balancer.Observe("other", []balance.Count{{Target: hashOf("a"), Count: 9}}, time.Now())
		done := make(chan *recorder, 1)
		go func() { done <- w.serveAs(t.Context(), "/stream/x") }()
		synctest.Wait()
		is.Equal(len(w.sender.sent), 0)
		w.gateway.Balancer.Observe("other", nil, time.Now())
		w.gateway.AdmitWaiting()
		is.Equal((<-done).status, http.StatusOK)
	})
}

// TestCallerDisconnectsInQueue checks that the place in the queue is given up and nothing is sent.
func TestCallerDisconnectsInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSingleSlotGateway(respondAfter(time.Second/2, http.StatusOK, "yes"))
		go w.serve(t.Context(), "/once/first")
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		time.AfterFunc(3*time.Millisecond, cancel)
		disconnected := w.serveAs(ctx, "/once/second")
		is.True(disconnected.aborted)
		is.Equal(disconnected.refusal, nil)
		is.Equal(w.gateway.Limiters.Of("s").Demand(), 0)
		is.Equal(len(w.sender.sent), 1)
		time.Sleep(time.Second)
	})
}

// TestNoRetriesWithoutCapacity checks that a rejected request isn't retried at another target while
// the targets are full, and that its refusal has a Retry-After.
func TestNoRetriesWithoutCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSingleSlotGateway(rejected, respond(http.StatusOK, "yes"))
		w.gateway.Balancer.Put(balance.Target{ID: "b", Service: "s", Address: "b", Slots: 1}, time.Now())
		w.gateway.Balancer.Observe("other", []balance.Count{{Target: hashOf("b"), Count: 2}, {Target: hashOf("a"), Count: 1}}, time.Now())
		w.gateway.Balancer.NoteHold("s", time.Millisecond, time.Second) // three requests per slot
		got := w.serveAs(t.Context(), "/once/x")
		is.Equal(got.status, http.StatusOK) // there is capacity, so it is retried at the other target
		w.sender.scripts = []script{func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			w.gateway.Balancer.Observe("other", []balance.Count{{Target: hashOf("a"), Count: 9}, {Target: hashOf("b"), Count: 9}}, time.Now())
			return rejected(ctx, out)
		}}
		sent := len(w.sender.sent)
		got = w.serveAs(t.Context(), "/once/x")
		is.Equal(len(w.sender.sent), sent+1)
		is.Equal(got.refusal.Kind, fault.Overloaded)
		is.Equal(got.refusal.State, fault.NotRun)
		is.True(got.refusal.RetryAfter > 0)
	})
}

// hashOf returns the hash by which gateways refer to a target among each other.
func hashOf(id string) uint64 {
	return policy.HashName(id)
}
