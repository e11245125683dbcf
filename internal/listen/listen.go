// Package listen opens the addresses of a process that starts. An address may still be in use then: by
// the process before, which has not quite ended, or by an outgoing connection that was given its port.
package listen

import (
	"cmp"
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// inUseTimeout is how long an address that a process can't do without may stay in use before its start
	// fails. A process before that stops as planned takes up to its grace period, and an outgoing
	// connection may take longer.
	inUseTimeout = 30 * time.Second
	// retryInterval is the time between two attempts.
	retryInterval = 50 * time.Millisecond
)

// NoLimit is the patience of an Opener whose process does without the address meanwhile.
const NoLimit = time.Duration(math.MaxInt64)

// The events of the log.
const (
	EventInUse = "address_in_use"
	EventFree  = "address_free"
)

// freePortAttempts limits the search for a port that is free for both TCP and UDP, if the address leaves
// the port to the system.
const freePortAttempts = 16

// Opener opens the addresses of one process.
type Opener struct {
	// Log gets a line when an address is in use, and one when it is free again.
	Log *log.Logger
	// Patience is how long an address may stay in use before opening it fails; zero means inUseTimeout.
	Patience time.Duration
}

// TCP listens on an address, IP:port, with the options that control sets; control may be nil. It waits
// while the address is in use.
func (o Opener) TCP(ctx context.Context, address string, control func(network, address string, conn syscall.RawConn) error) (net.Listener, error) {
	config := net.ListenConfig{Control: control}
	return whileInUse(ctx, o, address, func() (net.Listener, error) {
		return config.Listen(ctx, "tcp", address)
	})
}

// UDP listens on an address, IP:port. It waits while the address is in use.
func (o Opener) UDP(ctx context.Context, address string) (*net.UDPConn, error) {
	return whileInUse(ctx, o, address, func() (*net.UDPConn, error) {
		return udp(address)
	})
}

// Pair is a UDP and a TCP socket on one address.
type Pair struct {
	UDP *net.UDPConn
	TCP net.Listener
}

// Pair listens on one address for both UDP and TCP. It waits while the address is in use.
func (o Opener) Pair(ctx context.Context, address string) (Pair, error) {
	return whileInUse(ctx, o, address, func() (Pair, error) {
		return pair(address)
	})
}

func udp(address string) (*net.UDPConn, error) {
	parsed, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", parsed)
}

func pair(address string) (Pair, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return Pair{}, err
	}
	attempts := 1
	if port == "0" {
		attempts = freePortAttempts
	}
	for {
		conn, err := udp(address)
		if err != nil {
			return Pair{}, err
		}
		listener, err := net.Listen("tcp", conn.LocalAddr().String())
		if err == nil {
			return Pair{UDP: conn, TCP: listener}, nil
		}
		_ = conn.Close()
		if attempts--; attempts == 0 {
			return Pair{}, err
		}
	}
}

// whileInUse opens an address, again and again while it is in use, until the context ends or the
// patience is over. It returns the last error.
func whileInUse[T any](ctx context.Context, o Opener, address string, open func() (T, error)) (T, error) {
	patience := cmp.Or(o.Patience, inUseTimeout)
	began := clock.Now()
	for logged := false; ; logged = true {
		opened, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) {
			if logged {
				o.Log.Info(EventFree, "address", address, "waited_ms", clock.Since(began).Milliseconds())
			}
			return opened, err
		}
		if !logged {
			o.Log.Warn(EventInUse, "address", address, "patience_ms", patience.Milliseconds())
		}
		if clock.Since(began) >= patience || !wait.For(ctx, retryInterval) {
			return opened, err
		}
	}
}
