package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
)

// answerMisdirected is the answer of another target at the address of the intended one.
func answerMisdirected(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
	answer, err := respond(http.StatusMisdirectedRequest, "")(ctx, out)
	answer.NotRun, answer.Misdirected = true, true
	return answer, err
}

// refusedDirectory records the targets that other gateways are told to leave out.
type refusedDirectory struct {
	gateway.Directory
	refused []string
}

func (d *refusedDirectory) Refused(incarnation string) { d.refused = append(d.refused, incarnation) }

func (d *refusedDirectory) Filling([]balance.Placement) {}

// TestAddressTakenByAnotherTarget checks that a target whose address belongs to another target
// counts as ended and gets no more requests, here or from other gateways. Such a target was tried
// until its membership entry expired, and a request that met it twice was refused as if all targets
// were full: 29 to 70 of 609 requests, while four requests crashed all eight targets, which
// restarted under other IDs.
func TestAddressTakenByAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			if out.Target.ID == "a" {
				return answerMisdirected(ctx, out)
			}
			return respond(http.StatusOK, "yes")(ctx, out)
		})
		directory := new(refusedDirectory)
		w.gateway.Directory = directory
		for number := range 30 {
			w.serve(t.Context(), fmt.Sprintf("/once/%d", number))
			is.Equal(w.caller.status, http.StatusOK)
			time.Sleep(10 * time.Millisecond)
		}
		sends := 0
		for _, out := range w.sender.sent {
			if out.Target.ID == "a" {
				sends++
			}
		}
		is.Equal(sends, 1)
		is.Equal(directory.refused, []string{"a"})
		is.True(w.gateway.Balancer.EndOf("a").Known()) // its losses count as losses to its end
	})
}

// TestReceivedAttemptsCostRetries guards against retries that targets receive and no budget pays
// for: requests answered by another target at the address were retried as if nothing had arrived.
func TestReceivedAttemptsCostRetries(t *testing.T) {
	cases := map[string]struct {
		scripts []script
		budget  float64
		sends   int
		status  int
	}{
		"misdirected, no budget":             {[]script{answerMisdirected}, 0, 1, http.StatusServiceUnavailable},
		"misdirected, a budget of one":       {[]script{answerMisdirected}, 1, 2, http.StatusServiceUnavailable},
		"misdirected, then served":           {[]script{answerMisdirected, respond(200, "yes")}, 1, 2, http.StatusOK},
		"refused first":                      {[]script{refused, answerMisdirected, respond(200, "yes")}, 0, 2, http.StatusServiceUnavailable},
		"refused in between":                 {[]script{answerMisdirected, refused, respond(200, "yes")}, 1, 3, http.StatusOK},
		"rejected, no budget":                {[]script{rejected}, 0, 1, http.StatusTooManyRequests},
		"misdirected as often as is allowed": {[]script{answerMisdirected}, 100, 5, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(tc.scripts...)
				w.gateway.Budgets = retries(tc.budget)
				for _, id := range []string{"d", "e", "f"} {
					w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id}, time.Now())
				}
				w.serve(t.Context(), "/once/x")
				is.Equal(len(w.sender.sent), tc.sends)
				is.Equal(w.caller.status, tc.status)
			})
		})
	}
}
