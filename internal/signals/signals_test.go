package signals

import (
	"context"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestSignalsAreKept guards against a signal that is lost, or ends the process, because it comes while
// the process is busy with its start or its stop.
func TestSignalsAreKept(t *testing.T) {
	is := is.New(t)
	received := Receive()
	defer received.Close()
	for range 3 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	}
	<-received.Reload
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	first, cancelFirst := received.UntilStop(context.Background())
	defer cancelFirst()
	<-first.Done() // the signal came before the context
	second, cancelSecond := received.UntilStop(context.Background())
	is.NoErr(second.Err()) // each signal ends one context
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-second.Done()
	cancelSecond()
}

// TestContextEndsWithoutSignal checks that a context that is not needed any more takes no signal.
func TestContextEndsWithoutSignal(t *testing.T) {
	received := Receive()
	defer received.Close()
	ctx, cancel := received.UntilStop(context.Background())
	cancel()
	<-ctx.Done()
	is.New(t).NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-received.Stop
}
