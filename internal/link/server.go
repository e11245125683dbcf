package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/listen"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// ErrLinkLost is the cause of a handler's canceled context when the session was lost.
var ErrLinkLost = errors.New("link lost")

// ErrPeerClosed is the cause when the peer closed the exchange.
var ErrPeerClosed = errors.New("peer closed the exchange")

// openTimeout limits the wait for a stream's first message, and the TLS handshake.
const openTimeout = 5 * time.Second

// Server accepts sessions and passes each exchange to a handler.
type Server struct {
	listener net.Listener
	handler  Handler
	hello    *wire.Hello
	// tls is nil for links without encryption.
	tls      *tls.Config
	log      *log.Logger
	badPeers atomic.Int64
	// firstStreamTimeout limits the wait for a session's first stream.
	firstStreamTimeout time.Duration

	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	sessions map[*session]struct{}
	wg       sync.WaitGroup
}

// NewServer starts to serve the listener, which it owns. With a nil TLS configuration its
// links are not encrypted.
func NewServer(listener net.Listener, hello *wire.Hello, config *tls.Config, logger *log.Logger, handler Handler) *Server {
	s := newServer(listener, hello, config, logger, handler)
	s.wg.Go(s.accept)
	return s
}

func newServer(listener net.Listener, hello *wire.Hello, config *tls.Config, logger *log.Logger, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		listener: listen.Steady(listener, logger),
		handler:  handler,
		hello:    hello,
		tls:      config,
		log:      logger,
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*session]struct{}),

		firstStreamTimeout: openTimeout,
	}
}

// Address returns the listening address, IP:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// BadPeers returns the number of peers dropped for invalid input or a failed TLS
// handshake.
func (s *Server) BadPeers() int64 {
	return s.badPeers.Load()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // it is closed
		}
		s.wg.Go(func() { s.serveConn(conn) })
	}
}

func (s *Server) serveConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive())
	}
	if s.tls != nil {
		encrypted, err := s.encrypt(conn)
		if err != nil {
			return
		}
		conn = encrypted
	}
	session, err := newServerSession(conn)
	if err != nil {
		return
	}
	if !s.track(session) {
		_ = session.Close()
		return
	}
	defer s.untrack(session)
	// A peer opens a stream at once. One that doesn't must not keep its connection for ever.
	silent := time.AfterFunc(s.firstStreamTimeout, func() { s.dropPeer(session, "no stream", nil) })
	defer silent.Stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		silent.Stop()
		s.wg.Go(func() { s.serveStream(session, stream) })
	}
}

// encrypt performs the TLS handshake. A peer that fails it is counted and dropped, even
// while the server is closing.
func (s *Server) encrypt(conn net.Conn) (net.Conn, error) {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(openTimeout))
	encrypted := tls.Server(conn, s.tls)
	err := encrypted.Handshake()
	if err == nil {
		return encrypted, conn.SetDeadline(time.Time{})
	}
	_ = conn.Close()
	if isDisconnect(err) {
		return nil, err
	}
	s.badPeers.Add(1)
	s.log.Warn("dropped a link peer", "peer", conn.RemoteAddr(), "why", "TLS handshake", "error", err)
	return nil, err
}

// isDisconnect reports whether a handshake failed because the connection ended, which
// does not count against the peer. A peer that is silent until the deadline does count.
func isDisconnect(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var opErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &opErr)
}

func (s *Server) track(session *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) untrack(session *session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) serveStream(session *session, conn *sessionStream) {
	defer func() { _ = conn.Close() }()
	stream := newMessageStream(conn)
	open := new(wire.Open)
	_ = conn.SetReadDeadline(time.Now().Add(openTimeout))
	if err := stream.Recv(open); err != nil {
		s.dropPeer(session, "unreadable first message", err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if hello := open.GetHello(); hello != nil {
		s.answerHello(session, stream, hello)
		return
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		cancel(s.awaitClose(session, stream))
		// Unblocks a handler that writes to a peer which no longer reads.
		_ = conn.Close()
	}()
	s.handler(ctx, open, stream)
	_ = conn.Close()
	<-closed
}

// awaitClose reads until the peer closes. A peer sends nothing after its Open.
func (s *Server) awaitClose(session *session, stream Stream) error {
	err := stream.Recv(new(wire.Open))
	if err == nil {
		s.dropPeer(session, "a second message on one stream", nil)
	}
	if session.IsClosed() {
		return ErrLinkLost
	}
	return ErrPeerClosed
}

func (s *Server) answerHello(session *session, stream Stream, hello *wire.Hello) {
	if err := stream.Send(s.hello); err != nil {
		return
	}
	if hello.GetVersion() != Version {
		s.dropPeer(session, "wrong version", errors.Newf("version %d", hello.GetVersion()))
	}
}

func (s *Server) dropPeer(session *session, reason string, err error) {
	if session.IsClosed() {
		return
	}
	s.badPeers.Add(1)
	s.log.Warn("dropped a link peer", "peer", session.RemoteAddr(), "why", reason, "error", err)
	_ = session.Close()
}

// Close closes all sessions and waits for their handlers.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	s.cancel()
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return errors.Wrap(err, "close listener")
}
