package httpcheck

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (caller *Conn, server *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return NewConn(dialed), accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection is broken.
func writeUntilError(conn net.Conn) {
	part := make([]byte, 64<<10)
	for {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}

// TestEndOfConnection guards against a reset that looks like an ordinary end, since the writer of the connection
// has got its error.
func TestEndOfConnection(t *testing.T) {
	cases := map[string]struct {
		// serve is what the server does, and write what the caller's writer does before or while it reads.
		serve func(server *net.TCPConn)
		write func(caller *Conn)
		want  error
	}{
		"reset, the writer has its error": {
			serve: func(server *net.TCPConn) {
				_ = server.SetLinger(0)
				_ = server.Close()
			},
			write: func(caller *Conn) { writeUntilError(caller) },
			want:  syscall.ECONNRESET,
		},
		"reset, another one has its error": {
			serve: func(server *net.TCPConn) {
				_ = server.SetLinger(0)
				_ = server.Close()
			},
			write: func(caller *Conn) { writeUntilError(caller.Conn) },
			want:  syscall.ECONNRESET,
		},
		"closed, and reset by what comes after that": {
			serve: func(server *net.TCPConn) { _ = server.Close() },
			write: func(caller *Conn) { writeUntilError(caller) },
			want:  syscall.ECONNRESET,
		},
		"closed while a request is written": {
			serve: func(server *net.TCPConn) { _ = server.Close() },
			write: func(caller *Conn) {
				caller.BeginRequest()
				go func() {
					defer caller.EndRequest()
					writeUntilError(caller)
				}()
			},
			want: syscall.ECONNRESET,
		},
		"closed behind the whole request": {
			serve: func(server *net.TCPConn) {
				_, _ = io.ReadFull(server, make([]byte, len("request")))
				_ = server.Close()
			},
			write: func(caller *Conn) {
				caller.BeginRequest()
				_, _ = io.WriteString(caller, "request")
				caller.EndRequest()
			},
			want: io.EOF,
		},
		"output ended, the rest of the request is read": {
			serve: func(server *net.TCPConn) {
				_ = server.CloseWrite()
				_, _ = io.Copy(io.Discard, server)
			},
			write: func(caller *Conn) {
				caller.BeginRequest()
				go func() {
					defer caller.EndRequest()
					_, _ = io.Copy(caller, strings.NewReader(strings.Repeat("x", 8<<20)))
				}()
			},
			want: io.EOF,
		},
		"output ended, the rest of the request is not read": {
			serve: func(server *net.TCPConn) { _ = server.CloseWrite() },
			write: func(caller *Conn) {
				caller.BeginRequest()
				go func() {
					defer caller.EndRequest()
					writeUntilError(caller)
				}()
			},
			want: io.EOF,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			caller, server := connectedPair(t)
			go tc.serve(server)
			tc.write(caller)
			_, err := caller.Read(make([]byte, 1))
			is.New(t).True(errors.Is(err, tc.want))
		})
	}
}

// TestEndWithoutSocket checks that a connection whose socket state isn't known ends as it says.
func TestEndWithoutSocket(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	is.NoErr(remote.Close())
	_, err := NewConn(local).Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
