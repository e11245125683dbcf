package listen

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/wait"
)

// EventAcceptFailed is the event of the log when connections can't be accepted.
const EventAcceptFailed = "accept_failed"

// acceptPause is the pause after a failed accept.
const acceptPause = 50 * time.Millisecond

// steady is a listener whose Accept fails only once it is closed.
type steady struct {
	net.Listener
	log *log.Logger
}

// Steady returns a listener that accepts again after a failed accept, until it is closed. A process may have
// no descriptor or memory left for a moment, and on Linux an error of the network that waits at a new connection
// is one of its accept as well.
func Steady(listener net.Listener, logger *log.Logger) net.Listener {
	return &steady{Listener: listener, log: logger}
}

// Accept waits for the next connection.
func (s *steady) Accept() (net.Conn, error) {
	for failed := false; ; failed = true {
		conn, err := s.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if !failed {
			s.log.Warn(EventAcceptFailed, "address", s.Addr().String(), "error", err.Error())
		}
		wait.For(context.Background(), acceptPause)
	}
}
