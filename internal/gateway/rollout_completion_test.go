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

// TestACompletionThatIsNotKnownYet: the old version's targets are gone, and the record that says why
// is on its way. Requests go to the new version at once where the old targets said that they
// leave, and wait for the record, a moment in all, where they are just not there.
//
// Seen: they were refused, not run, for 10 to 90 ms.
func TestACompletionThatIsNotKnownYet(t *testing.T) {
	const lag = 100 * time.Millisecond
	leave := func(w *rolloutWorld) {
		w.put("a", oldVersion, true)
		w.put("b", oldVersion, true)
	}
	stop := func(w *rolloutWorld) {
		w.gateway.Balancer.SetUnusable("a")
		w.gateway.Balancer.SetUnusable("b")
	}
	completed := func(w *rolloutWorld) {
		order := rollout.Order{Service: "s", Version: newVersion, Duration: time.Minute, Revision: theOrder}
		w.control.Recorded(rollout.Record{Order: order, State: rollout.Completed, Current: newVersion}, theOrder+1)
	}
	cases := map[string]struct {
		old    func(w *rolloutWorld)
		after  func(w *rolloutWorld)
		before func(w *rolloutWorld)
		status int
		took   time.Duration
	}{
		"the old ones leave":               {old: leave, status: http.StatusOK},
		"they leave, but it was halted":    {before: (*rolloutWorld).halt, old: leave, status: http.StatusServiceUnavailable},
		"they are gone, the record comes":  {old: stop, after: completed, status: http.StatusOK, took: lag},
		"they are gone, and come back":     {old: stop, after: func(*rolloutWorld) {}, status: http.StatusServiceUnavailable, took: 3 * lag},
		"they are gone, and it was halted": {before: (*rolloutWorld).halt, old: stop, status: http.StatusServiceUnavailable},
		"they are gone, it is withdrawn": {old: stop, after: func(w *rolloutWorld) {
			w.control.Withdrawn("s")
		}, status: http.StatusServiceUnavailable, took: lag},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutWorld(t, map[string]script{oldVersion: yes, newVersion: yes})
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
				is.Equal(next.Took, time.Duration(0)) // nobody waits for what did not come
				if tc.status != http.StatusOK {
					is.Equal(next.Ending, string(fault.NoTarget))
				}
			})
		})
	}
}
