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

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/gateway"
)

// silentBody returns its text and then nothing until the attempt is ended.
type silentBody struct {
	text io.Reader
	ctx  context.Context
}

func (d *silentBody) Read(data []byte) (int, error) {
	n, err := d.text.Read(data)
	if err == io.EOF {
		<-d.ctx.Done()
		return n, d.ctx.Err()
	}
	return n, err
}

func (d *silentBody) Close() error { return nil }

// streamThenSilence is a target that disappears after some text without closing its connections.
func streamThenSilence(text string) script {
	return func(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: &silentBody{strings.NewReader(text), ctx}}, nil
	}
}

// reportSuspects makes other gateways report lost requests at the targets with requests in flight.
func reportSuspects(w *testGateway, gateways ...string) {
	var targets []uint32
	for _, count := range w.gateway.Balancer.InFlight() {
		targets = append(targets, uint32(count.Target>>32))
	}
	for _, name := range gateways {
		w.gateway.Balancer.ObserveSuspects(name, targets, time.Now())
	}
}

// TestStreamsOnUnresponsiveTarget guards against streams that can't continue elsewhere and wait for
// their deadline although several gateways know that their target is gone.
func TestStreamsOnUnresponsiveTarget(t *testing.T) {
	const timeout = 10 * time.Second
	two := []string{"one", "two"}
	cases := map[string]struct {
		answer   script
		path     string
		suspects []string
		// at is when the suspects are reported; alive makes the target answer after that.
		at    time.Duration
		alive func(ctx context.Context, w *testGateway)
		took  time.Duration
		kind  fault.Kind
		sends int
	}{
		"no event yet":                        {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: time.Second, kind: fault.TargetFailed, sends: 1},
		"headers, but no event":               {answer: streamThenSilence(""), path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: time.Second, kind: fault.TargetFailed, sends: 1},
		"suspected late":                      {answer: silent, path: "/stream/x", suspects: two, at: 3100 * time.Millisecond, took: 3200 * time.Millisecond, kind: fault.TargetFailed, sends: 1},
		"silent after an event":               {answer: streamThenSilence(one), path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: 1400 * time.Millisecond, sends: 1},
		"one gateway suspects it":             {answer: silent, path: "/stream/x", suspects: two[:1], at: 300 * time.Millisecond, took: timeout, kind: fault.Deadline, sends: 1},
		"no gateway suspects it":              {answer: silent, path: "/stream/x", took: timeout, kind: fault.Deadline, sends: 1},
		"suspected before it was sent":        {answer: silent, path: "/stream/x", at: -1, suspects: two, took: timeout, kind: fault.Deadline, sends: 1},
		"resumable elsewhere":                 {answer: silent, path: "/resumable/x", suspects: two, at: 300 * time.Millisecond, took: timeout, kind: fault.Deadline, sends: 2},
		"one without a retry left":            {answer: silent, path: "/resumable/x", suspects: two, at: 300 * time.Millisecond, took: 1200 * time.Millisecond, kind: fault.TargetFailed, sends: 1},
		"this process is late":                {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: timeout, kind: fault.Deadline, sends: 1},
		"a plain request":                     {answer: silent, path: "/once/x", suspects: two, at: 300 * time.Millisecond, took: time.Second, kind: fault.Deadline, sends: 1},
		"the target has answered since":       {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, alive: answerOtherRequest, took: timeout, kind: fault.Deadline, sends: 2},
		"another stream gets events":          {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, alive: streamOtherEvents, took: timeout, kind: fault.Deadline, sends: 2},
		"another stream gets one event":       {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, alive: sendOneOtherEvent, took: timeout, kind: fault.Deadline, sends: 2},
		"streams of the route usually take 4": {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: 4200 * time.Millisecond, kind: fault.TargetFailed, sends: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(tc.answer)
				for _, id := range []string{"b", "c"} {
					w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Leaving: tc.path != "/resumable/x"}, time.Now())
				}
				if strings.Contains(name, "usually") {
					w.slowStreams(t)
				}
				if strings.Contains(name, "without a retry") {
					w.spendRetries()
				}
				w.gateway.Options.ProcessLate = func() bool { return strings.Contains(name, "is late") }
				sent := len(w.sender.sent)
				if tc.at < 0 {
					w.gateway.Balancer.ObserveSuspects("one", []uint32{uint32(hashOf("a") >> 32)}, time.Now())
					w.gateway.Balancer.ObserveSuspects("two", []uint32{uint32(hashOf("a") >> 32)}, time.Now())
					time.Sleep(1500 * time.Millisecond)
				}
				w.gateway.Proof.Note(time.Now())
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				began := time.Now()
				done := make(chan *recorder)
				go func() { done <- w.serveAs(t.Context(), tc.path) }()
				if tc.at > 0 {
					time.Sleep(tc.at)
					reportSuspects(w, tc.suspects...)
				}
				if tc.alive != nil {
					time.Sleep(300 * time.Millisecond)
					tc.alive(ctx, w)
				}
				caller := <-done
				is.Equal(time.Since(began), tc.took)
				if tc.kind == "" {
					is.True(caller.aborted)
					is.Equal(caller.body.String(), one)
				} else {
					is.Equal(caller.refusal.Kind, tc.kind)
					is.Equal(caller.refusal.State, fault.Unknown)
				}
				is.Equal(len(w.sender.sent)-sent, tc.sends)
			})
		})
	}
}

// spendRetries uses up the retry budget.
func (w *testGateway) spendRetries() {
	for w.gateway.Budgets.Spend("s", time.Now()) {
	}
}

// slowStreams makes streams of the route take 4 s to their first event.
func (w *testGateway) slowStreams(t *testing.T) {
	t.Helper()
	slow := respondAfter(4*time.Second, http.StatusOK, one)
	w.sender.scripts = []script{slow}
	for range 200 {
		w.gateway.Proof.Note(time.Now())
		w.serveAs(t.Context(), "/stream/x")
	}
	w.sender.scripts = []script{silent}
}

// answerOtherRequest makes the target answer another request.
func answerOtherRequest(ctx context.Context, w *testGateway) {
	w.sender.mu.Lock()
	w.sender.scripts = []script{respond(http.StatusOK, "yes")}
	w.sender.mu.Unlock()
	w.serveAs(ctx, "/once/other")
}

// sendOneOtherEvent makes the target send one event of another stream, after the last report of
// suspects.
func sendOneOtherEvent(ctx context.Context, w *testGateway) {
	w.sender.mu.Lock()
	w.sender.scripts = []script{func(attempt context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		reader, writer := io.Pipe()
		go func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(writer, one)
			<-attempt.Done()
			_ = writer.CloseWithError(attempt.Err())
		}()
		return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: reader}, nil
	}}
	w.sender.mu.Unlock()
	go w.serveAs(ctx, "/stream/other")
}

// eventPerReadBody returns one event per read until the attempt is ended.
type eventPerReadBody struct {
	text io.Reader
	ctx  context.Context
}

func (e *eventPerReadBody) Read(data []byte) (int, error) {
	if err := e.ctx.Err(); err != nil {
		return 0, err
	}
	return e.text.Read(data[:min(len(data), len(one))])
}

func (e *eventPerReadBody) Close() error { return nil }

// delayedCaller reads nothing for a while after the first event.
type delayedCaller struct {
	*recorder
	block time.Duration
}

func (b *delayedCaller) Write(data []byte) error {
	time.Sleep(b.block)
	b.block = 0
	return b.recorder.Write(data)
}

// TestSlowCallerIsNotUnresponsiveTarget checks that a working target isn't considered unresponsive
// while an event can't be passed on, although nothing is read from it meanwhile.
func TestSlowCallerIsNotUnresponsiveTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(func(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: &eventPerReadBody{strings.NewReader(one + two), ctx}}, nil
		})
		caller := &delayedCaller{recorder: new(recorder), block: 3 * time.Second}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.gateway.Serve(t.Context(), &gateway.Request{ID: "r", Method: "POST", Host: "h", URI: "/stream/x", Path: "/stream/x", Key: "key", Arrived: time.Now()}, caller)
		}()
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			reportSuspects(w, "one", "two")
		}
		<-done
		is.Equal(caller.body.String(), one+two)
		is.True(!caller.aborted)
	})
}

// streamOtherEvents makes the target send events of another stream at intervals while other
// gateways continue to suspect it.
func streamOtherEvents(ctx context.Context, w *testGateway) {
	w.sender.mu.Lock()
	w.sender.scripts = []script{func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		reader, writer := io.Pipe()
		go func() {
			for range 30 {
				_, _ = io.WriteString(writer, one)
				time.Sleep(200 * time.Millisecond)
				reportSuspects(w, "one", "two")
				time.Sleep(100 * time.Millisecond)
			}
			_ = writer.Close()
		}()
		return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: reader}, nil
	}}
	w.sender.mu.Unlock()
	go w.serveAs(ctx, "/stream/other")
}
