// Package link carries typed messages between the project's own processes:
// one yamux session for each pair, opened on demand, with one stream for each
// exchange and protobuf messages of bounded size. A memory network with
// switchable faults stands in for it in tests.
package link

import (
	"context"

	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// Version is the link protocol's version; a peer with another is dropped.
	Version = 1
	// MaxMessage bounds one message, in bytes.
	MaxMessage = 4 << 20
)

// Stream is one exchange: an Open from the caller, replies from the server.
// Send and Recv may be used from one goroutine each.
type Stream interface {
	// Send writes one message and returns when it is handed to the session.
	Send(msg Message) error
	// Recv reads one message into msg; io.EOF when the peer closed cleanly.
	Recv(msg Message) error
	// Close ends the exchange on both sides.
	Close() error
}

// Dialer opens exchanges with the process at an address (IP:port).
type Dialer interface {
	Open(ctx context.Context, address string, open *wire.Open) (Stream, error)
}

// Handler serves one exchange; the stream is closed when it returns. The
// context ends when the peer closes the stream or the session is lost.
type Handler func(ctx context.Context, open *wire.Open, stream Stream)
