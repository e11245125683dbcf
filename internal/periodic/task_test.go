package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestTask(t *testing.T) {
	const pause = time.Second
	cases := map[string]struct {
		work time.Duration
		want int
	}{
		"quick runs": {0, 10},
		"slow runs":  {time.Second, 5}, // they don't overlap
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				runs := 0
				task := New(pause, func(context.Context) {
					runs++
					time.Sleep(test.work)
				})
				is.NoErr(task.Close()) // before its start
				is.NoErr(task.Start(t.Context()))
				time.Sleep(10*pause + pause/2)
				is.NoErr(task.Close())
				is.Equal(runs, test.want)
			})
		})
	}
}

// TestCloseEndsRun guards against a stop that waits for a call without an answer.
func TestCloseEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		task := New(time.Second, func(ctx context.Context) { <-ctx.Done() })
		is.NoErr(task.Start(t.Context()))
		time.Sleep(2 * time.Second)
		is.NoErr(task.Close())
	})
}
