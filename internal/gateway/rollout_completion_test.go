package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

// TestRolloutCompletionNotKnownYet covers the time in which the targets of the old version are gone
// but the record of the completed rollout has not arrived. Requests must go to the new version at
// once if the old targets announced that they leave, and must wait briefly for the record if these
// are just not there.
//
// Such requests were refused as not run for 10 to 90 ms.
func TestRolloutCompletionNotKnownYet(t *testing.T) {
	const lag = 100 * time.Millisecond
	leave := func(w *rolloutGateway) {
		w.put("a", oldVersion, true)
		w.put("b", oldVersion, true)
	}
	stop := func(w *rolloutGateway) {
		w.gateway.Balancer.SetUnusable("a")
		w.gateway.Balancer.SetUnusable("b")
	}
	completed := func(w *rolloutGateway) {
		order := rollout.Order{Service: "s", Version: newVersion, Duration: time.Minute, Revision: orderRevision}
		w.control.Recorded(rollout.Record{Order: order, State: rollout.Completed, Current: newVersion}, orderRevision+1)
	}
	cases := map[string]struct {
		old    func(w *rolloutGateway)
		after  func(w *rolloutGateway)
		before func(w *rolloutGateway)
		status int
		took   time.Duration
	}{
		"the old ones leave":               {old: leave, status: http.StatusOK},
		"they leave, but it was halted":    {before: (*rolloutGateway).halt, old: leave, status: http.StatusServiceUnavailable},
		"they are gone, the record comes":  {old: stop, after: completed, status: http.StatusOK, took: lag},
		"they are gone, no record comes":   {old: stop, after: func(*rolloutGateway) {}, status: http.StatusServiceUnavailable, took: 3 * lag},
		"they are gone, and it was halted": {before: (*rolloutGateway).halt, old: stop, status: http.StatusServiceUnavailable},
		"they are gone, the order is withdrawn": {old: stop, after: func(w *rolloutGateway) {
			w.control.Withdrawn("s")
		}, status: http.StatusServiceUnavailable, took: lag},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: answerYes, newVersion: answerYes})
				defer w.close()
				if tc.before != nil {
					tc.before(w)
				}
				tc.old(w)
				if tc.after != nil {
					time.AfterFunc(lag, func() { tc.after(w) })
				}
				first := w.serveMany(t.Context(), "/once/x", 1)[0]
				is.Equal(first.Status, tc.status)
				is.Equal(first.Took, tc.took)
				next := w.serveMany(t.Context(), "/once/x", 1)[0]
				is.Equal(next.Status, tc.status)
				is.Equal(next.Took, time.Duration(0)) // later requests don't wait for what did not arrive
				if tc.status != http.StatusOK {
					is.Equal(next.Ending, string(fault.NoTarget))
				}
			})
		})
	}
}
