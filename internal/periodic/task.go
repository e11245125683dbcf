// Package periodic runs a function at intervals, as a service that can be started and closed.
package periodic

import (
	"context"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/wait"
)

// Task runs a function with a pause before each run. The runs never overlap.
type Task struct {
	pause  time.Duration
	run    func(ctx context.Context)
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a task; Start starts it.
func New(pause time.Duration, run func(ctx context.Context)) *Task {
	return &Task{pause: pause, run: run}
}

// Start starts the runs.
func (t *Task) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.wait.Go(func() {
		for wait.For(ctx, t.pause) {
			t.run(ctx)
		}
	})
	return nil
}

// Close ends the context of a run in progress and waits for its end.
func (t *Task) Close() error {
	if t.cancel != nil {
		t.cancel()
	}
	t.wait.Wait()
	return nil
}
