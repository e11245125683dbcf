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

// ownStore keeps records, and has the only gateway's replica follow at once.
type ownStore struct {
	mu       sync.Mutex
	record   rollout.Record
	revision int64
	// then is called with each record that was written.
	then func(record rollout.Record, revision int64)
}

func (o *ownStore) Commit(_ context.Context, commit rollout.Commit) (int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if commit.Over != o.revision {
		return 0, rollout.ErrOutdated
	}
	o.record, o.revision = commit.Record, o.revision+10
	go o.then(o.record, o.revision)
	return o.revision, nil
}

func (o *ownStore) Reachable() bool { return true }

// state is that of the last record.
func (o *ownStore) state() rollout.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.State
}

// steps keep when the version was halted.
type steps struct {
	halted atomic.Bool
}

func (s *steps) RolloutStep(step rollout.Step) {
	if step.Kind == rollout.StepHalted {
		s.halted.Store(true)
	}
}

// wholeRollout is a gateway alone, which decides about its roll-out, and its callers.
type wholeRollout struct {
	*rolloutWorld
	store *ownStore
	steps *steps
	// served counts requests and late those that reached the version after its halt;
	// failed are callers that got no answer.
	served, late, failed, over atomic.Int64
	callers                    sync.WaitGroup
}

func newWholeRollout(t *testing.T, scripts map[string]script) *wholeRollout {
	t.Helper()
	w := &wholeRollout{rolloutWorld: newRolloutWorld(t, scripts), steps: new(steps), store: new(ownStore)}
	w.close()
	w.control = rollout.NewController(rollout.ControllerOptions{
		Options: rollout.Options{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
		Store:   w.store, Registry: registry{w.gateway.Balancer}, Watcher: w.steps,
	})
	w.store.then = w.control.Recorded
	is.New(t).NoErr(w.control.Start(t.Context()))
	w.gateway.Rollouts = w.control.Gate()
	return w
}

// play has callers come, 100 a second, each of them on the next of two routes.
func (w *wholeRollout) play(ctx context.Context, lasts time.Duration) {
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
			w.late.Add(1)
		}
		if w.store.state() != rollout.Completed && float64(sent) > 0.1*float64(w.served.Load())+50 {
			w.over.Add(1)
		}
	}
	w.callers.Wait()
}

// TestAWholeRollout: from the order to its end, with all parts but those between gateways.
func TestAWholeRollout(t *testing.T) {
	answers := after(20*time.Millisecond, http.StatusOK, "yes")
	fails := func(each int64, from time.Duration) script {
		var count atomic.Int64
		began := time.Now()
		return func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			if time.Since(began) >= from && count.Add(1)%each == 0 {
				return after(20*time.Millisecond, http.StatusInternalServerError, "broken")(ctx, out)
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
				w := newWholeRollout(t, map[string]script{oldVersion: answers})
				defer w.close()
				w.sender.play(newVersion, tc.answer())
				w.store.then = func(record rollout.Record, revision int64) {
					w.control.Recorded(record, revision)
					if record.State == rollout.Completed {
						w.stop("a", "b")
					}
				}
				w.control.Ordered(rollout.Order{Service: "s", Version: newVersion, Duration: 30 * time.Second, Revision: theOrder})
				w.play(t.Context(), 30*time.Second)
				is.Equal(w.store.state(), tc.state)
				is.Equal(w.steps.halted.Load(), tc.halted)
				is.Equal(w.over.Load(), int64(0)) // the share held at every moment
				is.Equal(w.late.Load(), int64(0)) // nothing after the halt
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

// stop ends targets at once; their entries go a moment later.
func (w *wholeRollout) stop(ids ...string) {
	w.sender.play(oldVersion, refused)
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		w.gateway.Balancer.Drop(id, time.Now())
	}
}
