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

// darkBody gives its text and then nothing until the attempt is ended.
type darkBody struct {
	text io.Reader
	ctx  context.Context
}

func (d *darkBody) Read(data []byte) (int, error) {
	n, err := d.text.Read(data)
	if err == io.EOF {
		<-d.ctx.Done()
		return n, d.ctx.Err()
	}
	return n, err
}

func (d *darkBody) Close() error { return nil }

// goesDark is a target that is gone after some text, without a trace.
func goesDark(text string) script {
	return func(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: &darkBody{strings.NewReader(text), ctx}}, nil
	}
}

// suspect has other gateways say that they lost requests at the target of the only
// request under way.
func suspect(w *world, gateways ...string) {
	var targets []uint32
	for _, count := range w.gateway.Balancer.InFlight() {
		targets = append(targets, uint32(count.Target>>32))
	}
	for _, name := range gateways {
		w.gateway.Balancer.ObserveSuspects(name, targets, time.Now())
	}
}

// TestStreamsOnADarkTarget: a stream that can't go on elsewhere waited for its deadline
// where its target was gone, as several gateways knew.
func TestStreamsOnADarkTarget(t *testing.T) {
	const timeout = 10 * time.Second
	two := []string{"one", "two"}
	cases := map[string]struct {
		answer   script
		path     string
		suspects []string
		// at is when they report it; alive has the target answer after that.
		at    time.Duration
		alive func(ctx context.Context, w *world)
		took  time.Duration
		kind  fault.Kind
		sends int
	}{
		"no event yet":                        {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: time.Second, kind: fault.TargetFailed, sends: 1},
		"a head, but no event":                {answer: goesDark(""), path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: time.Second, kind: fault.TargetFailed, sends: 1},
		"known late":                          {answer: silent, path: "/stream/x", suspects: two, at: 3100 * time.Millisecond, took: 3200 * time.Millisecond, kind: fault.TargetFailed, sends: 1},
		"halted after an event":               {answer: goesDark(one), path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: 1400 * time.Millisecond, sends: 1},
		"one gateway alone says so":           {answer: silent, path: "/stream/x", suspects: two[:1], at: 300 * time.Millisecond, took: timeout, kind: fault.Deadline, sends: 1},
		"nobody says so":                      {answer: silent, path: "/stream/x", took: timeout, kind: fault.Deadline, sends: 1},
		"said before it was sent":             {answer: silent, path: "/stream/x", at: -1, suspects: two, took: timeout, kind: fault.Deadline, sends: 1},
		"one that goes on elsewhere":          {answer: silent, path: "/resumable/x", suspects: two, at: 300 * time.Millisecond, took: timeout, kind: fault.Deadline, sends: 2},
		"one without a retry left":            {answer: silent, path: "/resumable/x", suspects: two, at: 300 * time.Millisecond, took: 1200 * time.Millisecond, kind: fault.TargetFailed, sends: 1},
		"this process is late":                {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: timeout, kind: fault.Deadline, sends: 1},
		"a plain request":                     {answer: silent, path: "/once/x", suspects: two, at: 300 * time.Millisecond, took: time.Second, kind: fault.Deadline, sends: 1},
		"the target has answered since":       {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, alive: answerElsewhere, took: timeout, kind: fault.Deadline, sends: 2},
		"another stream has heard from it":    {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, alive: streamElsewhere, took: timeout, kind: fault.Deadline, sends: 2},
		"another stream has heard once":       {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, alive: eventElsewhere, took: timeout, kind: fault.Deadline, sends: 2},
		"streams of the route usually take 4": {answer: silent, path: "/stream/x", suspects: two, at: 300 * time.Millisecond, took: 4200 * time.Millisecond, kind: fault.TargetFailed, sends: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(tc.answer)
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
					suspect(w, tc.suspects...)
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

// spendRetries uses the retries up.
func (w *world) spendRetries() {
	for w.gateway.Budgets.Spend("s", time.Now()) {
	}
}

// slowStreams has streams of the route take 4 s to their first event.
func (w *world) slowStreams(t *testing.T) {
	t.Helper()
	slow := after(4*time.Second, http.StatusOK, one)
	w.sender.scripts = []script{slow}
	for range 200 {
		w.gateway.Proof.Note(time.Now())
		w.serveAs(t.Context(), "/stream/x")
	}
	w.sender.scripts = []script{silent}
}

// answerElsewhere has the target answer another request.
func answerElsewhere(ctx context.Context, w *world) {
	w.sender.mu.Lock()
	w.sender.scripts = []script{whole(http.StatusOK, "yes")}
	w.sender.mu.Unlock()
	w.serveAs(ctx, "/once/other")
}

// eventElsewhere has one event of another stream come from the target, when nobody
// suspects it any more.
func eventElsewhere(ctx context.Context, w *world) {
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

// endedBody gives an event a time, until the attempt is ended.
type endedBody struct {
	text io.Reader
	ctx  context.Context
}

func (e *endedBody) Read(data []byte) (int, error) {
	if err := e.ctx.Err(); err != nil {
		return 0, err
	}
	return e.text.Read(data[:min(len(data), len(one))])
}

func (e *endedBody) Close() error { return nil }

// blockedCaller reads nothing for a while after the first event.
type blockedCaller struct {
	*recorder
	block time.Duration
}

func (b *blockedCaller) Write(data []byte) error {
	time.Sleep(b.block)
	b.block = 0
	return b.recorder.Write(data)
}

// TestACallerWhoReadsSlowly: while an event can't be passed on, nothing is received from a
// target that works.
func TestACallerWhoReadsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(func(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: &endedBody{strings.NewReader(one + two), ctx}}, nil
		})
		caller := &blockedCaller{recorder: new(recorder), block: 3 * time.Second}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.gateway.Serve(t.Context(), &gateway.Request{ID: "r", Method: "POST", Host: "h", URI: "/stream/x", Path: "/stream/x", Key: "key", Arrived: time.Now()}, caller)
		}()
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			suspect(w, "one", "two")
		}
		<-done
		is.Equal(caller.body.String(), one+two)
		is.True(!caller.aborted)
	})
}

// streamElsewhere has an event of another stream come from the target now and then, while
// others go on to suspect it.
func streamElsewhere(ctx context.Context, w *world) {
	w.sender.mu.Lock()
	w.sender.scripts = []script{func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		reader, writer := io.Pipe()
		go func() {
			for range 30 {
				_, _ = io.WriteString(writer, one)
				time.Sleep(200 * time.Millisecond)
				suspect(w, "one", "two")
				time.Sleep(100 * time.Millisecond)
			}
			_ = writer.Close()
		}()
		return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: reader}, nil
	}}
	w.sender.mu.Unlock()
	go w.serveAs(ctx, "/stream/other")
}
