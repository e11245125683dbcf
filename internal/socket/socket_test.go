package socket_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/socket"
)

// pair is both ends of a TCP connection on loopback.
func pair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	theirs, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	ours, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = ours.Close()
		_ = theirs.Close()
	})
	return ours, theirs
}

// await looks until something has been received.
func await(conn net.Conn) socket.Received {
	found := socket.Peek(conn)
	for found == socket.Nothing {
		found = socket.Peek(conn)
	}
	return found
}

func TestLook(t *testing.T) {
	is := is.New(t)
	ours, theirs := pair(t)
	is.Equal(socket.Peek(ours), socket.Nothing)
	_, err := theirs.Write([]byte("x"))
	is.NoErr(err)
	is.Equal(await(ours), socket.Bytes)
	buffer := make([]byte, 4)
	n, err := ours.Read(buffer) // the look has taken nothing
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "x")
	is.NoErr(theirs.Close())
	is.Equal(await(ours), socket.End)
	is.NoErr(ours.Close())
	is.Equal(socket.Peek(ours), socket.End)
}

func TestLookAtNoSocket(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _, _ = ours.Close(), theirs.Close() }()
	is.New(t).Equal(socket.Peek(ours), socket.Unknown)
}

func TestUserTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	dialer := &net.Dialer{Control: socket.UserTimeout(2 * time.Second)}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	is.NoErr(conn.Close())
}
