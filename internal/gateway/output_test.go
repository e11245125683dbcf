package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// pausedCaller reads nothing until its channel is closed.
type pausedCaller struct {
	recorder
	reads chan struct{}
	once  sync.Once
	ended chan struct{}
	// writes are the times at which parts were written.
	writes []time.Time
}

func newPausedCaller() *pausedCaller {
	return &pausedCaller{reads: make(chan struct{}), ended: make(chan struct{})}
}

func (c *pausedCaller) Write(data []byte) error {
	c.writes = append(c.writes, time.Now())
	select {
	case <-c.reads:
		return c.recorder.Write(data)
	case <-c.ended:
		return errors.New("interrupted")
	}
}

func (c *pausedCaller) Interrupt() { c.once.Do(func() { close(c.ended) }) }

func request(path string) *gateway.Request {
	return &gateway.Request{ID: "r1", Method: "POST", Host: "h", URI: path, Path: path, Key: "key", Arrived: time.Now()}
}

// timedBody gives one part after each pause; a pause is that before the part.
type timedBody struct {
	pauses []time.Duration
	parts  []string
	left   string
}

func (b *timedBody) Read(data []byte) (int, error) {
	if b.left == "" {
		if len(b.parts) == 0 {
			return 0, io.EOF
		}
		time.Sleep(b.pauses[0])
		b.left, b.parts, b.pauses = b.parts[0], b.parts[1:], b.pauses[1:]
	}
	n := copy(data, b.left)
	b.left = b.left[n:]
	return n, nil
}

func (b *timedBody) Close() error { return nil }

// event is one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// steady is a stream of so many events with a pause before each.
func steady(count int, pause time.Duration) *timedBody {
	b := new(timedBody)
	for id := range count {
		b.pauses, b.parts = append(b.pauses, pause), append(b.parts, event(id))
	}
	return b
}

func answering(body io.ReadCloser, size int64) script {
	return func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		return &gateway.Answer{Status: http.StatusOK, Size: size, Signed: true, Body: body}, nil
	}
}

// TestASlowCallerLeavesItsTargetFree: a target cuts off an answer that is left unread for some
// seconds. The stream is read to its end while its caller reads nothing, and the caller gets
// it whole once it reads on.
func TestASlowCallerLeavesItsTargetFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := steady(60, 20*time.Millisecond)
		w := newWorld(answering(body, -1))
		w.gateway.Spools = spool.New(spool.Options{MaxPerCaller: spool.DefaultMaxPerCaller, WriteTimeout: spool.DefaultWriteTimeout}, spool.NewBudget(1<<20))
		caller := newPausedCaller()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.gateway.Serve(t.Context(), request("/stream/x"), caller)
		}()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(len(body.parts), 0) // the target has been rid of it
		close(caller.reads)
		<-done
		var want strings.Builder
		for id := range 60 {
			want.WriteString(event(id))
		}
		is.Equal(caller.body.String(), want.String())
		is.Equal(w.caller.records[0].Ending, gateway.EndingAnswered)
		is.True(!caller.aborted)
	})
}

// TestACallerThatIsEndedGetsNoWholeAnswer: what it has looks broken off, and the log says why;
// the target is not blamed.
func TestACallerThatIsEndedGetsNoWholeAnswer(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	cases := map[string]script{
		"stream":       answering(steady(60, 20*time.Millisecond), -1),
		"whole answer": answering(io.NopCloser(strings.NewReader(large[:1<<19])), 1<<19),
		"large answer": answering(io.NopCloser(strings.NewReader(large)), int64(len(large))),
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(play)
				budget := spool.NewBudget(4 << 20)
				w.gateway.Spools = spool.New(spool.Options{MaxPerCaller: spool.DefaultMaxPerCaller, WriteTimeout: spool.DefaultWriteTimeout}, budget)
				caller := newPausedCaller()
				path := "/stream/x"
				if name != "stream" {
					path = "/get/x"
				}
				w.gateway.Serve(t.Context(), request(path), caller)
				is.Equal(w.caller.records[0].Ending, gateway.EndingCallerSlow)
				is.True(caller.aborted)
				is.Equal(budget.Held(), int64(0))
				is.Equal(len(w.caller.records[0].Attempts), 1)
				is.True(!w.caller.records[0].Attempts[0].Ejected)
			})
		})
	}
}

// TestEventsGoTogetherWherePacketsAreLost: after streams whose events came late together, the
// events of the next one that come within a share of the time that callers allow go in one
// write. Without such losses, or without that time, each goes at once.
func TestEventsGoTogetherWherePacketsAreLost(t *testing.T) {
	cases := map[string]struct {
		pass   time.Duration
		clumps bool
		late   bool
		joined bool
	}{
		"losses":                {200 * time.Millisecond, true, false, true},
		"a target that is slow": {200 * time.Millisecond, false, false, false},
		"this process is late":  {200 * time.Millisecond, true, true, false},
		"no time is given":      {0, true, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := steady(30, 20*time.Millisecond)
				for _, at := range []int{10, 20, 25} {
					first.pauses[at] = 205 * time.Millisecond
					if tc.clumps {
						first.parts[at] += event(100) + event(101) + event(102)
					}
				}
				second := steady(30, 20*time.Millisecond)
				w := newWorld(answering(first, -1), answering(second, -1))
				w.gateway.Spools = spool.New(spool.Options{MaxPerCaller: spool.DefaultMaxPerCaller, WriteTimeout: spool.DefaultWriteTimeout}, spool.NewBudget(1<<20))
				w.gateway.Options.StreamDelay = tc.pass
				w.gateway.Options.ProcessLate = func() bool { return tc.late }
				for range 2 {
					caller := newPausedCaller()
					close(caller.reads)
					w.gateway.Serve(t.Context(), request("/stream/x"), caller)
					if len(w.caller.records) == 2 {
						is.Equal(len(caller.writes) < 10, tc.joined)
						is.Equal(strings.Count(caller.body.String(), "data"), 30)
					}
				}
			})
		})
	}
}
