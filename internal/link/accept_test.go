package link

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// pipeListener returns the connections and errors that it is given.
type pipeListener struct {
	accepted chan any
	closed   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan any), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case next := <-p.accepted:
		if conn, ok := next.(net.Conn); ok {
			return conn, nil
		}
		return nil, next.(error)
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptGoesOn guards against a process that no longer hears the others for good, because it had no
// descriptor left for one of their connections once.
func TestAcceptGoesOn(t *testing.T) {
	is := is.New(t)
	listener := newPipeListener()
	server := NewServer(listener, hello(), nil, log.New(io.Discard), echo)
	for range 2 {
		listener.accepted <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	ours, theirs := net.Pipe()
	listener.accepted <- theirs
	session, err := newClientSession(ours)
	is.NoErr(err)
	conn, err := session.OpenStream()
	is.NoErr(err)
	stream := newMessageStream(conn)
	is.NoErr(stream.Send(newCall("a")))
	reply := new(wire.Reply)
	is.NoErr(stream.Recv(reply))
	is.Equal(reply.GetRequestId(), "a")
	is.NoErr(session.Close())
	is.NoErr(server.Close())
}

// TestConnectionWithoutStream guards against connections that others open and never use: each kept a
// descriptor and its memory for good.
func TestConnectionWithoutStream(t *testing.T) {
	is := is.New(t)
	listener := newPipeListener()
	server := newServer(listener, hello(), nil, log.New(io.Discard), echo)
	server.firstStreamTimeout = time.Millisecond
	server.wg.Go(server.accept)
	ours, theirs := net.Pipe()
	listener.accepted <- theirs
	_, err := io.Copy(io.Discard, ours) // until the server closes the connection
	is.NoErr(err)
	is.Equal(server.BadPeers(), int64(1))
	is.NoErr(server.Close())
}
