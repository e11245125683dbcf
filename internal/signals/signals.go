// Package signals receives the signals of a process that serves, from its first moments to its end. A
// signal that is sent while the process starts is not lost, and neither a lost reader of the log nor a
// signal to reload ends the process.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Received delivers the signals of the process.
type Received struct {
	// Stop gets the signals to stop. The first two of them are never lost: one may follow while the
	// process stops.
	Stop <-chan os.Signal
	// Reload gets a signal after the settings may have changed.
	Reload <-chan os.Signal

	stop, reload chan os.Signal
}

// Receive begins to receive signals, for the rest of the process's life: one that is sent once more in its last
// moments must not make a planned stop look like a failure. It is called before the settings are read, so that
// a change after that leads to a signal. From then on, writing to a pipe without a reader is an error like
// others and does not end the process.
func Receive() *Received {
	signal.Ignore(syscall.SIGPIPE)
	const lastTwo = 2
	r := &Received{stop: make(chan os.Signal, lastTwo), reload: make(chan os.Signal, 1)}
	r.Stop, r.Reload = r.stop, r.reload
	signal.Notify(r.stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(r.reload, syscall.SIGHUP)
	return r
}

// UntilStop returns a context that ends when a signal to stop is received, which is taken from Stop, or
// when cancel is called. After cancel, signals stay in Stop.
func (r *Received) UntilStop(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelContext := context.WithCancel(parent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-r.stop:
			cancelContext()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancelContext()
		<-done
	}
}
