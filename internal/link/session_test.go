package link

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// maxCloseWait is how long the connection of a test waits to be closed at most.
const maxCloseWait = 5 * time.Second

// lastingConn is a connection whose Close returns only after the users of a stream have.
type lastingConn struct {
	net.Conn
	usersGone chan struct{}
	// waitedInVain is true if Close returned before the users did.
	waitedInVain bool
}

// Close waits for the users, then closes.
func (c *lastingConn) Close() error {
	select {
	case <-c.usersGone:
	case <-time.After(maxCloseWait):
		c.waitedInVain = true
	}
	return c.Conn.Close()
}

// TestEndedSessionReleasesStreamUsers checks that readers and writers of a stream return
// when their session ends, and not only after its connection is closed: until then they
// would try again without a pause and use a whole processor.
func TestEndedSessionReleasesStreamUsers(t *testing.T) {
	read := func(stream *sessionStream) error {
		return newMessageStream(stream).Recv(new(wire.Reply))
	}
	write := func(stream *sessionStream) error {
		_, err := stream.Write([]byte{1})
		return err
	}
	closeOwn := func(own *session, _ *yamux.Session, _ net.Conn) { _ = own.Close() }
	closePeer := func(_ *session, peer *yamux.Session, _ net.Conn) { _ = peer.Close() }
	sendGarbage := func(_ *session, _ *yamux.Session, peerConn net.Conn) {
		_, _ = peerConn.Write(bytes.Repeat([]byte{0xff}, 1<<10))
	}
	tests := map[string]struct {
		use func(stream *sessionStream) error
		end func(own *session, peer *yamux.Session, peerConn net.Conn)
	}{
		"a reader, closed here":        {use: read, end: closeOwn},
		"a reader, closed by the peer": {use: read, end: closePeer},
		"a reader, an invalid frame":   {use: read, end: sendGarbage},
		"a writer, closed here":        {use: write, end: closeOwn},
		"a writer, closed by the peer": {use: write, end: closePeer},
		"a writer, an invalid frame":   {use: write, end: sendGarbage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ourConn, peerConn := connectedPair(t)
			conn := &lastingConn{Conn: ourConn, usersGone: make(chan struct{})}
			own, err := newClientSession(conn)
			is.NoErr(err)
			peer, err := yamux.Server(peerConn, sessionConfig())
			is.NoErr(err)
			stream, err := own.OpenStream()
			is.NoErr(err)
			peerStream, err := peer.AcceptStream()
			is.NoErr(err)
			_, err = stream.Write(make([]byte, streamWindow)) // Further writes wait.
			is.NoErr(err)
			var useErr error
			go func() {
				useErr = tt.use(stream)
				close(conn.usersGone)
			}()
			tt.end(own, peer, peerConn)
			<-own.CloseChan()
			_ = own.Close()
			_ = peer.Close()
			<-conn.usersGone
			is.True(!conn.waitedInVain)
			is.True(useErr != nil)
			is.True(!errors.Is(useErr, io.EOF)) // A lost link is no clean end.
			_ = stream.Close()
			_ = peerStream.Close()
		})
	}
}

// connectedPair returns the two ends of one connection.
func connectedPair(t *testing.T) (net.Conn, net.Conn) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	one, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	other, err := listener.Accept()
	is.NoErr(err)
	return one, other
}

// TestClosedStreamReleasesReader checks that a reader returns when its own process closes
// the stream, though the peer does not.
func TestClosedStreamReleasesReader(t *testing.T) {
	is := is.New(t)
	ourConn, peerConn := connectedPair(t)
	own, err := newClientSession(ourConn)
	is.NoErr(err)
	peer, err := newServerSession(peerConn)
	is.NoErr(err)
	stream, err := own.OpenStream()
	is.NoErr(err)
	_, err = peer.AcceptStream()
	is.NoErr(err)
	returned := make(chan error)
	go func() { returned <- newMessageStream(stream).Recv(new(wire.Reply)) }()
	is.NoErr(stream.Close())
	is.True(errors.Is(<-returned, net.ErrClosed))
	is.Equal(stream.SetDeadline(time.Now().Add(time.Hour)), net.ErrClosed)
	is.NoErr(own.Close())
	is.NoErr(peer.Close())
}
