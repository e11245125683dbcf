package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

// paced answers with five events: the first after head, the others gap apart.
type paced struct {
	head, gap time.Duration
}

func (p paced) send(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
	return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: &pacedBody{paced: p}}, nil
}

type pacedBody struct {
	paced
	events int
}

func (p *pacedBody) Read(data []byte) (int, error) {
	switch p.events++; p.events {
	case 1:
		time.Sleep(p.head) // virtual time
	case 6:
		return 0, io.EOF
	default:
		time.Sleep(p.gap)
	}
	return copy(data, one), nil
}

func (p *pacedBody) Close() error { return nil }

// slowCaller delays each write.
type slowCaller struct {
	*recorder
	block time.Duration
}

func (s *slowCaller) Write(data []byte) error {
	time.Sleep(s.block)
	return s.recorder.Write(data)
}

// TestRolloutSlowAnswers checks that a version that is slow to its first events or between events
// is distinguished from one whose callers are slow or whose targets have just started.
func TestRolloutSlowAnswers(t *testing.T) {
	usual := paced{head: 50 * time.Millisecond, gap: 20 * time.Millisecond}
	cases := map[string]struct {
		answer paced
		block  time.Duration
		cold   time.Duration
		slow   int
	}{
		"as usual":                 {answer: usual},
		"late":                     {answer: paced{head: 200 * time.Millisecond, gap: 20 * time.Millisecond}, slow: 1},
		"slow between events":      {answer: paced{head: 50 * time.Millisecond, gap: 80 * time.Millisecond}, slow: 1},
		"its caller is slow":       {answer: usual, block: 200 * time.Millisecond},
		"late, from a cold target": {answer: paced{head: 200 * time.Millisecond, gap: 20 * time.Millisecond}, cold: time.Minute},
		"fast":                     {answer: paced{head: 5 * time.Millisecond, gap: 5 * time.Millisecond}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: usual.send, newVersion: tc.answer.send})
				defer w.close()
				w.serveMany(t.Context(), "/stream/x", 20)
				for _, id := range []string{"c", "d"} {
					w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Version: newVersion, ColdFor: tc.cold}, time.Now())
				}
				w.grant(rollout.Move)
				caller := &slowCaller{recorder: new(recorder), block: tc.block}
				w.gateway.Serve(t.Context(), &gateway.Request{ID: "r", Method: "POST", Host: "h", URI: "/stream/x", Path: "/stream/x", Key: "key", Arrived: time.Now()}, caller)
				is.Equal(caller.status, http.StatusOK)
				answers, slow := 0, 0
				for _, tally := range w.report(t).Tallies {
					if tally.Target != 0 {
						answers, slow = answers+tally.Answers, slow+tally.Slow
					}
				}
				is.Equal(answers, 1)
				is.Equal(slow, tc.slow)
			})
		})
	}
}
