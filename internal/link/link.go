// Package link carries typed messages between the project's own processes: one yamux
// session for each pair, opened on demand, with one stream for each exchange and protobuf
// messages of limited size. Tests can replace it by an in-memory network with fault
// injection.
package link

import (
	"context"

	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// Version is the link protocol's version. Peers with another version are dropped.
	Version = 1
	// MaxMessage limits one message, in bytes.
	MaxMessage = 4 << 20
)

// Stream is one exchange: an Open from the caller, followed by replies from the server.
// Send and Recv may be used by one goroutine each.
type Stream interface {
	// Send writes one message and returns once the session has accepted it.
	Send(msg Message) error
	// Recv reads one message into msg. It returns io.EOF when the peer closed cleanly.
	Recv(msg Message) error
	// Close ends the exchange on both sides.
	Close() error
}

// Dialer opens exchanges with the process at an address (IP:port).
type Dialer interface {
	Open(ctx context.Context, address string, open *wire.Open) (Stream, error)
}

// Handler serves one exchange. The stream is closed when it returns. The context ends
// when the peer closes the stream or the session is lost.
type Handler func(ctx context.Context, open *wire.Open, stream Stream)
