package socket_test

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/socket"
)

// connectedPair returns both ends of a TCP connection on loopback.
func connectedPair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	remote, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	local, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = local.Close()
		_ = remote.Close()
	})
	return local, remote
}

// waitReceived polls until the connection has received something.
func waitReceived(conn net.Conn) socket.Received {
	found := socket.Peek(conn)
	for found == socket.Nothing {
		found = socket.Peek(conn)
	}
	return found
}

func TestPeek(t *testing.T) {
	is := is.New(t)
	local, remote := connectedPair(t)
	is.Equal(socket.Peek(local), socket.Nothing)
	_, err := remote.Write([]byte("x"))
	is.NoErr(err)
	is.Equal(waitReceived(local), socket.Bytes)
	buffer := make([]byte, 4)
	n, err := local.Read(buffer) // Peek has consumed nothing
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "x")
	is.NoErr(remote.Close())
	is.Equal(waitReceived(local), socket.End)
	is.NoErr(local.Close())
	is.Equal(socket.Peek(local), socket.End)
}

func TestPeekWithoutSocket(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	is.New(t).Equal(socket.Peek(local), socket.Unknown)
}

// wrappedConn is a connection within another one.
type wrappedConn struct{ net.Conn }

func (c wrappedConn) NetConn() net.Conn { return c.Conn }

func TestReset(t *testing.T) {
	cases := map[string]func(conn net.Conn) net.Conn{
		"a socket": func(conn net.Conn) net.Conn { return conn },
		"wrapped":  func(conn net.Conn) net.Conn { return wrappedConn{conn} },
		"with TLS": func(conn net.Conn) net.Conn { return tls.Server(wrappedConn{conn}, nil) },
	}
	for name, wrap := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			local, remote := connectedPair(t)
			socket.Reset(wrap(local))
			_, err := remote.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}

func TestResetWithoutSocket(t *testing.T) {
	local, remote := net.Pipe()
	socket.Reset(local)
	_, err := remote.Read(make([]byte, 1))
	is.New(t).True(errors.Is(err, io.EOF))
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
