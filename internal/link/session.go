package link

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

const (
	// streamWindow limits the unread data of one stream, in bytes. A slow reader blocks
	// only its own stream.
	streamWindow = 256 << 10
	// maxSilence is how long a session with open streams may receive nothing before it is
	// probed.
	maxSilence = 3 * time.Second
	// writeTimeout is how long a write may block before the session is closed.
	writeTimeout = 5 * time.Second
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.MaxStreamWindowSize = streamWindow
	// yamux's own probes would cost 48 KB/s for 1,900 idle sessions. The pool probes only
	// sessions that have open streams and are silent.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.StreamCloseTimeout = writeTimeout
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}

// keepAlive lets the kernel detect lost peers of idle connections. The probes are rare,
// since a router may have a thousand of these connections.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: 5 * time.Minute, Interval: 30 * time.Second, Count: 4}
}

// session is a yamux session that releases the users of its streams as soon as it ends.
// yamux itself ends the streams only after the connection is closed and the receiver has
// returned. Until then a reader or writer that waits finds the session shut down, the
// stream open and nothing to do, and tries again without a pause.
type session struct {
	*yamux.Session
	conn *coalescer

	mu sync.Mutex
	// streams are the open ones. It is nil once the session has ended.
	streams map[*sessionStream]struct{}
}

// newClientSession starts a session on a connection that this process has dialed.
func newClientSession(conn net.Conn) (*session, error) {
	return startSession(conn, yamux.Client)
}

// newServerSession starts a session on a connection that this process has accepted.
func newServerSession(conn net.Conn) (*session, error) {
	return startSession(conn, yamux.Server)
}

func startSession(conn net.Conn, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	s := &session{streams: make(map[*sessionStream]struct{})}
	s.conn = newCoalescer(conn, s.releaseStreams)
	started, err := start(s.conn, sessionConfig())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "start session"), s.conn.Close())
	}
	s.Session = started
	return s, nil
}

// OpenStream opens a stream to the peer.
func (s *session) OpenStream() (*sessionStream, error) {
	stream, err := s.Session.OpenStream()
	if err != nil {
		return nil, err
	}
	return s.track(stream), nil
}

// AcceptStream waits for a stream that the peer opens.
func (s *session) AcceptStream() (*sessionStream, error) {
	stream, err := s.Session.AcceptStream()
	if err != nil {
		return nil, err
	}
	return s.track(stream), nil
}

// Close ends the session and its streams.
func (s *session) Close() error {
	s.releaseStreams()
	return s.Session.Close()
}

func (s *session) track(stream *yamux.Stream) *sessionStream {
	tracked := &sessionStream{Stream: stream, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		tracked.release(ErrLinkLost)
		return tracked
	}
	s.streams[tracked] = struct{}{}
	return tracked
}

func (s *session) untrack(stream *sessionStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// releaseStreams lets the users of all streams return. Streams that begin later are
// released at once.
func (s *session) releaseStreams() {
	s.mu.Lock()
	streams := s.streams
	s.streams = nil
	s.mu.Unlock()
	for stream := range streams {
		stream.release(ErrLinkLost)
	}
}

// sessionStream is a stream whose reader and writer return as soon as it is closed or its
// session ends.
type sessionStream struct {
	*yamux.Stream
	session *session

	mu sync.Mutex
	// released is what Read returns once no more data comes. It never changes after it
	// has been set, and the deadlines are in the past from then on.
	released error
}

// Read reads what has arrived. Once the stream has been released it waits no longer.
func (s *sessionStream) Read(buffer []byte) (int, error) {
	n, err := s.Stream.Read(buffer)
	if errors.Is(err, yamux.ErrTimeout) {
		return n, s.releaseCause(err)
	}
	return n, err
}

// Close ends the stream in both directions.
func (s *sessionStream) Close() error {
	s.session.untrack(s)
	s.release(net.ErrClosed)
	return s.Stream.Close()
}

// SetReadDeadline limits the wait for data. It has no effect once the stream has been
// released.
func (s *sessionStream) SetReadDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released != nil {
		return s.released
	}
	return s.Stream.SetReadDeadline(deadline)
}

// SetDeadline limits the wait for data and for the peer to take data. It has no effect
// once the stream has been released.
func (s *sessionStream) SetDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released != nil {
		return s.released
	}
	return s.Stream.SetDeadline(deadline)
}

// release lets a waiting reader and writer return.
func (s *sessionStream) release(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released != nil {
		return
	}
	s.released = cause
	_ = s.Stream.SetDeadline(time.Unix(0, 1))
}

// releaseCause returns why the stream was released, or err if it was not.
func (s *sessionStream) releaseCause(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released != nil {
		return s.released
	}
	return err
}
