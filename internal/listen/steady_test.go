package listen

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// failingListener fails in each way in turn before it accepts anything.
type failingListener struct {
	failures []error
	accepted chan net.Conn
	closed   chan struct{}
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.failures) > 0 {
		err := &net.OpError{Op: "accept", Err: f.failures[0]}
		f.failures = f.failures[1:]
		return nil, err
	}
	select {
	case conn := <-f.accepted:
		return conn, nil
	case <-f.closed:
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
}

func (f *failingListener) Close() error {
	close(f.closed)
	return nil
}

func (f *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServingGoesOnAfterFailedAccept guards against a process that serves nobody any more, though it goes
// on, because one accept failed in a way that the HTTP server takes for the end of its listener.
func TestServingGoesOnAfterFailedAccept(t *testing.T) {
	cases := map[string][]error{
		"no descriptor":                  {syscall.EMFILE, syscall.ENFILE},
		"no memory":                      {syscall.ENOBUFS, syscall.ENOMEM},
		"forbidden by a packet filter":   {syscall.EPERM},
		"an error of the network":        {syscall.ENETDOWN, syscall.EPROTO, syscall.EHOSTUNREACH},
		"many in turn, for five seconds": repeat(syscall.ENOBUFS, 100),
	}
	for name, failures := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				listener := &failingListener{failures: failures, accepted: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: http.NotFoundHandler()}
				ended := make(chan error, 1)
				go func() { ended <- server.Serve(Steady(listener, log.New(io.Discard))) }()
				ours, theirs := net.Pipe()
				select {
				case listener.accepted <- theirs:
				case <-time.After(time.Minute):
					t.Fatal("accepts nothing any more")
				}
				is.NoErr(ours.Close())
				is.NoErr(server.Close())
				is.True(errors.Is(<-ended, http.ErrServerClosed))
			})
		})
	}
}

func repeat(err error, count int) []error {
	errs := make([]error, count)
	for i := range errs {
		errs[i] = err
	}
	return errs
}
