package signals

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// receive begins to receive signals until the test ends.
func receive(t *testing.T) *Received {
	t.Cleanup(func() { signal.Reset(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP) })
	return Receive()
}

// TestSignalsAreKept guards against a signal that is lost, or ends the process, because it comes while
// the process is busy with its start or its stop.
func TestSignalsAreKept(t *testing.T) {
	is := is.New(t)
	received := receive(t)
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
	received := receive(t)
	ctx, cancel := received.UntilStop(context.Background())
	cancel()
	<-ctx.Done()
	is.New(t).NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-received.Stop
}

// TestBrokenPipe guards against a process that ends when the reader of its output does.
func TestBrokenPipe(t *testing.T) {
	is := is.New(t)
	receive(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = writer.Close() }()
	saved, err := syscall.Dup(syscall.Stdout)
	is.NoErr(err)
	is.NoErr(unix.Dup2(int(writer.Fd()), syscall.Stdout)) // the runtime ends a process for standard output only
	is.NoErr(reader.Close())
	_, err = os.Stdout.WriteString("lost\n")
	is.NoErr(unix.Dup2(saved, syscall.Stdout))
	is.True(errors.Is(err, syscall.EPIPE))
}
