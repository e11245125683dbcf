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

// misdirected is the answer of another target at the address of the one that was meant.
func misdirected(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
	answer, err := whole(http.StatusMisdirectedRequest, "")(ctx, out)
	answer.NotRun, answer.Misdirected = true, true
	return answer, err
}

// refusedDirectory notes the targets that other gateways are to leave out.
type refusedDirectory struct {
	gateway.Directory
	refused []string
}

func (d *refusedDirectory) Refused(life string) { d.refused = append(d.refused, life) }

func (d *refusedDirectory) Filling([]balance.Placement) {}

// TestATargetWhoseAddressAnotherOneHas: its life has ended, and it gets nothing more, here or
// from others. It was asked on and on until its entry went: a request that met it twice was
// refused as if all targets were full: 29 to 70 of 609, beside four fatal requests under which
// all eight targets had ended and begun again under other ids.
func TestATargetWhoseAddressAnotherOneHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			if out.Target.ID == "a" {
				return misdirected(ctx, out)
			}
			return whole(http.StatusOK, "yes")(ctx, out)
		})
		directory := new(refusedDirectory)
		w.gateway.Directory = directory
		for number := range 30 {
			w.serve(t.Context(), fmt.Sprintf("/once/%d", number))
			is.Equal(w.caller.status, http.StatusOK)
			time.Sleep(10 * time.Millisecond)
		}
		asked := 0
		for _, out := range w.sender.sent {
			if out.Target.ID == "a" {
				asked++
			}
		}
		is.Equal(asked, 1)
		is.Equal(directory.refused, []string{"a"})
		is.True(w.gateway.Balancer.EndOf("a").Known()) // what was lost there was lost with it
	})
}
