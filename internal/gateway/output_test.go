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
	// writes holds the times of the writes.
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

// timedBody returns one part after each pause; pauses[i] precedes parts[i].
type timedBody struct {
	pauses []time.Duration
	parts  []string
	rest   string
}

func (b *timedBody) Read(data []byte) (int, error) {
	if b.rest == "" {
		if len(b.parts) == 0 {
			return 0, io.EOF
		}
		time.Sleep(b.pauses[0])
		b.rest, b.parts, b.pauses = b.parts[0], b.parts[1:], b.pauses[1:]
	}
	n := copy(data, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *timedBody) Close() error { return nil }

// event returns one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// steadyStream returns a stream of count events with a pause before each.
func steadyStream(count int, pause time.Duration) *timedBody {
	b := new(timedBody)
	for id := range count {
		b.pauses, b.parts = append(b.pauses, pause), append(b.parts, event(id))
	}
	return b
}

func respondBody(body io.ReadCloser, size int64) script {
	return func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
		return &gateway.Answer{Status: http.StatusOK, Size: size, Signed: true, Body: body}, nil
	}
}

// TestSlowCallerDoesNotDelayTarget covers a caller that reads nothing for a while. A target cuts
// off an answer that is left unread for some seconds, so the stream must be read to its end
// meanwhile, and the caller must get all of it once it reads again.
func TestSlowCallerDoesNotDelayTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := steadyStream(60, 20*time.Millisecond)
		w := newTestGateway(respondBody(body, -1))
		w.gateway.Spools = spool.New(spool.Options{MaxPerCaller: spool.DefaultMaxPerCaller, WriteTimeout: spool.DefaultWriteTimeout}, spool.NewBudget(1<<20))
		caller := newPausedCaller()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.gateway.Serve(t.Context(), request("/stream/x"), caller)
		}()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(len(body.parts), 0) // the target's answer was read to its end
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

// TestTooSlowCallerIsAborted checks that a caller that is ended for reading too slowly gets an
// answer that looks broken off, that the record says why, and that the target isn't ejected.
func TestTooSlowCallerIsAborted(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	cases := map[string]script{
		"stream":          respondBody(steadyStream(60, 20*time.Millisecond), -1),
		"buffered answer": respondBody(io.NopCloser(strings.NewReader(large[:1<<19])), 1<<19),
		"large answer":    respondBody(io.NopCloser(strings.NewReader(large)), int64(len(large))),
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(play)
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

// TestEventsAreJoinedUnderPacketLoss checks that, after streams whose events arrived late together,
// the events of the next stream that arrive within a share of the time allowed by callers are sent
// in one write. Without such losses, or without a time, each event is sent at once.
func TestEventsAreJoinedUnderPacketLoss(t *testing.T) {
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
				first := steadyStream(30, 20*time.Millisecond)
				for _, at := range []int{10, 20, 25} {
					first.pauses[at] = 205 * time.Millisecond
					if tc.clumps {
						first.parts[at] += event(100) + event(101) + event(102)
					}
				}
				second := steadyStream(30, 20*time.Millisecond)
				w := newTestGateway(respondBody(first, -1), respondBody(second, -1))
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
