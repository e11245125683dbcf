package listen

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestAddressInUse guards against a process that ends at once because its address is still in use, and
// against one that waits for ever, or for an address that will never be its own.
func TestAddressInUse(t *testing.T) {
	inUse := &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	denied := &net.OpError{Op: "listen", Err: syscall.EACCES}
	cases := map[string]struct {
		// freeAfter is when the address is free, and then is the error of the open from then on.
		freeAfter time.Duration
		then      error
		cancel    time.Duration
		patience  time.Duration
		wantErr   error
		wantTook  time.Duration
	}{
		"free":                   {},
		"free after a while":     {freeAfter: 2 * time.Second, wantTook: 2 * time.Second},
		"in use for good":        {freeAfter: time.Hour, wantErr: inUse, wantTook: inUseTimeout},
		"patience has no limit":  {freeAfter: time.Hour, patience: NoLimit, wantTook: time.Hour},
		"stopped while it waits": {freeAfter: time.Hour, cancel: time.Second, wantErr: inUse, wantTook: time.Second},
		"another error":          {then: denied, wantErr: denied},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.cancel > 0 {
					defer time.AfterFunc(test.cancel, cancel).Stop()
				}
				began := time.Now()
				opened, err := whileInUse(ctx, Opener{Log: log.New(io.Discard), Patience: test.patience}, "a", func() (string, error) {
					if time.Since(began) < test.freeAfter {
						return "", inUse
					}
					return "opened", test.then
				})
				is.Equal(time.Since(began), test.wantTook)
				is.True(errors.Is(err, test.wantErr))
				is.Equal(opened == "opened", test.wantErr == nil || test.then != nil)
			})
		})
	}
}

// TestSockets guards against listeners that would not notice a real address in use, or leave half of a
// pair open.
func TestSockets(t *testing.T) {
	is := is.New(t)
	opener := Opener{Log: log.New(io.Discard)}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	opened, err := opener.Pair(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	address := opened.TCP.Addr().String()
	is.Equal(opened.UDP.LocalAddr().String(), address)
	_, err = opener.UDP(ended, address)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	_, err = opener.Pair(ended, address)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	is.NoErr(opened.UDP.Close())
	_, err = opener.Pair(ended, address)
	is.True(errors.Is(err, syscall.EADDRINUSE)) // its TCP half is still in use
	conn, err := opener.UDP(t.Context(), address)
	is.NoErr(err) // and the other half was closed again
	is.NoErr(conn.Close())
	is.NoErr(opened.TCP.Close())
	listener, err := opener.TCP(t.Context(), address, nil)
	is.NoErr(err)
	is.NoErr(listener.Close())
}
