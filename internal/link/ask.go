package link

import (
	"context"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// Ask opens an exchange that consists of one message and one reply.
func Ask(ctx context.Context, dialer Dialer, address string, open *wire.Open) (*wire.Reply, error) {
	stream, err := dialer.Open(ctx, address, open)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	reply := new(wire.Reply)
	if err := stream.Recv(reply); err != nil {
		return nil, err
	}
	return reply, nil
}
