package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
)

// pausingBody returns one event, pauses, and returns the rest or breaks off.
type pausingBody struct {
	io.Reader
	pause time.Duration
	reads int
	err   error
}

func (p *pausingBody) Read(data []byte) (int, error) {
	p.reads++
	if p.reads == 2 {
		time.Sleep(p.pause) // virtual time
		if p.err != nil {
			return 0, p.err
		}
	}
	return p.Reader.Read(data[:min(len(data), len(one))])
}

func (p *pausingBody) Close() error { return nil }

// TestLongPauses guards against counting the pause before a stream breaks off as a slow path:
// streams of crashed targets made whole data centres look as if their network path was bad.
func TestLongPauses(t *testing.T) {
	cases := map[string]struct {
		pause   time.Duration
		err     error
		avoided bool
	}{
		"no pause":               {pause: 10 * time.Millisecond},
		"a long pause":           {pause: 300 * time.Millisecond, avoided: true},
		"a pause before a break": {pause: 300 * time.Millisecond, err: errors.New("reset")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(func(_ context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					pause := time.Duration(0)
					if out.Target.ID == "a" {
						pause = tc.pause
					}
					body := &pausingBody{Reader: strings.NewReader(one + two), pause: pause, err: tc.err}
					return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: body}, nil
				})
				for _, id := range []string{"a", "b", "c"} {
					place := "far"
					if id != "a" {
						place = "near"
					}
					w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, DataCenter: place}, time.Now())
				}
				for i := range 40 {
					for range 3 { // one of three goes to each target
						w.serveAs(t.Context(), fmt.Sprintf("/stream/%d", i))
					}
					w.gateway.Balancer.ClearFailures()
				}
				chosen := false
				// Choices among equals are random: with twenty choices the target was not drawn in
				// six of three thousand runs.
				for range 200 {
					pick, ok := w.gateway.Balancer.Choose(balance.Query{Service: "s"}, time.Now())
					is.True(ok)
					chosen = chosen || pick.Target.ID == "a"
					w.gateway.Balancer.Release(pick.Target.ID, balance.Neutral, time.Now())
				}
				is.Equal(chosen, !tc.avoided)
			})
		})
	}
}
