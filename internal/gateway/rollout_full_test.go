package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

// singleStore keeps records and passes each on to the only gateway at once.
type singleStore struct {
	mu       sync.Mutex
	record   rollout.Record
	revision int64
	// onCommit is called with each record that was written.
	onCommit func(record rollout.Record, revision int64)
}

func (o *singleStore) Commit(_ context.Context, commit rollout.Commit) (int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if commit.Over != o.revision {
		return 0, rollout.ErrOutdated
	}
	o.record, o.revision = commit.Record, o.revision+10
	go o.onCommit(o.record, o.revision)
	return o.revision, nil
}

func (o *singleStore) Reachable() bool { return true }

// state returns the state of the last record.
func (o *singleStore) state() rollout.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.State
}

// haltWatcher records whether the version was halted.
type haltWatcher struct {
	halted atomic.Bool
}

func (s *haltWatcher) RolloutStep(step rollout.Step) {
	if step.Kind == rollout.StepHalted {
		s.halted.Store(true)
	}
}

// fullRollout is a single gateway that decides about its own rollout, and its callers.
type fullRollout struct {
	*rolloutGateway
	store *singleStore
	steps *haltWatcher
	// served counts requests, lateSends those sent to the version after its halt, failed the
	// callers without an answer, and overShare the moments at which the version had more than its
	// share.
	served, lateSends, failed, overShare atomic.Int64
	callers                              sync.WaitGroup
}

func newFullRollout(t *testing.T, scripts map[string]script) *fullRollout {
	t.Helper()
	w := &fullRollout{rolloutGateway: newRolloutGateway(t, scripts), steps: new(haltWatcher), store: new(singleStore)}
	w.close()
	w.control = rollout.NewController(rollout.ControllerOptions{
		Options: rollout.Options{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
		Store:   w.store, Registry: registry{w.gateway.Balancer}, Watcher: w.steps,
	})
	w.store.onCommit = w.control.Recorded
	is.New(t).NoErr(w.control.Start(t.Context()))
	w.gateway.Rollouts = w.control.Gate()
	return w
}

// play sends 100 requests per second, alternating between two routes.
func (w *fullRollout) play(ctx context.Context, lasts time.Duration) {
	const every = 10 * time.Millisecond
	for range int(lasts / every) {
		time.Sleep(every)
		w.gateway.Proof.Note(time.Now())
		before, halted := w.sender.count(newVersion), w.steps.halted.Load()
		path := []string{"/get/x", "/once/x"}[w.served.Add(1)%2]
		w.callers.Go(func() {
			caller := new(recorder)
			w.gateway.Serve(ctx, &gateway.Request{ID: fmt.Sprint(time.Now()), Method: "POST", Host: "h", URI: path, Path: path, Key: "key", Arrived: time.Now()}, caller)
			if caller.status != http.StatusOK {
				w.failed.Add(1)
			}
		})
		synctest.Wait()
		sent := w.sender.count(newVersion)
		if halted && sent > before {
			w.lateSends.Add(1)
		}
		if w.store.state() != rollout.Completed && float64(sent) > 0.1*float64(w.served.Load())+50 {
			w.overShare.Add(1)
		}
	}
	w.callers.Wait()
}

// TestFullRollout runs a rollout from the order to its end with all parts except those between
// gateways.
func TestFullRollout(t *testing.T) {
	answers := respondAfter(20*time.Millisecond, http.StatusOK, "yes")
	fails := func(each int64, from time.Duration) script {
		var count atomic.Int64
		began := time.Now()
		return func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			if time.Since(began) >= from && count.Add(1)%each == 0 {
				return respondAfter(20*time.Millisecond, http.StatusInternalServerError, "broken")(ctx, out)
			}
			return answers(ctx, out)
		}
	}
	cases := map[string]struct {
		answer func() script
		state  rollout.State
		halted bool
	}{
		"a good version":          {func() script { return answers }, rollout.Completed, false},
		"one that fails at once":  {func() script { return fails(2, 0) }, rollout.RolledBack, true},
		"one that turns bad":      {func() script { return fails(1, 5*time.Second) }, rollout.RolledBack, true},
		"one that loses requests": {func() script { return lost }, rollout.RolledBack, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFullRollout(t, map[string]script{oldVersion: answers})
				defer w.close()
				w.sender.play(newVersion, tc.answer())
				w.store.onCommit = func(record rollout.Record, revision int64) {
					w.control.Recorded(record, revision)
					if record.State == rollout.Completed {
						w.stop("a", "b")
					}
				}
				w.control.Ordered(rollout.Order{Service: "s", Version: newVersion, Duration: 30 * time.Second, Revision: orderRevision})
				w.play(t.Context(), 30*time.Second)
				is.Equal(w.store.state(), tc.state)
				is.Equal(w.steps.halted.Load(), tc.halted)
				is.Equal(w.overShare.Load(), int64(0)) // the share was kept at every moment
				is.Equal(w.lateSends.Load(), int64(0)) // nothing was sent after the halt
				before := w.sender.count(newVersion)
				w.play(t.Context(), 5*time.Second)
				got := w.sender.count(newVersion) - before
				is.Equal(got, map[rollout.State]int{rollout.Completed: 500, rollout.RolledBack: 0}[tc.state])
				if tc.state == rollout.Completed {
					is.Equal(w.failed.Load(), int64(0))
				}
				t.Logf("%d of %d callers had no answer; %d sent to the version", w.failed.Load(), w.served.Load(), w.sender.count(newVersion))
			})
		})
	}
}

// stop ends targets at once; their entries are removed a moment later.
func (w *fullRollout) stop(ids ...string) {
	w.sender.play(oldVersion, refused)
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		w.gateway.Balancer.Drop(id, time.Now())
	}
}
