package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// ErrLinkLost is the cause of a handler's context when the session broke.
var ErrLinkLost = errors.New("link lost")

// ErrPeerClosed is the cause when the peer closed the exchange.
var ErrPeerClosed = errors.New("peer closed the exchange")

// openTimeout bounds the wait for a stream's first message.
const openTimeout = 5 * time.Second

// Server accepts sessions and hands each exchange to a handler.
type Server struct {
	listener net.Listener
	handler  Handler
	hello    *wire.Hello
	// tls is nil for links without encryption.
	tls      *tls.Config
	log      *log.Logger
	badPeers atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	open   map[*yamux.Session]struct{}
	wait   sync.WaitGroup
}

// NewServer serves the listener at once; it owns the listener. With a nil TLS
// configuration its links are not encrypted.
func NewServer(listener net.Listener, hello *wire.Hello, config *tls.Config, logger *log.Logger, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener,
		handler:  handler,
		hello:    hello,
		tls:      config,
		log:      logger,
		ctx:      ctx,
		cancel:   cancel,
		open:     make(map[*yamux.Session]struct{}),
	}
	s.wait.Go(s.accept)
	return s
}

// Address is the listening address, IP:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// BadPeers counts peers dropped for what they sent.
func (s *Server) BadPeers() int64 {
	return s.badPeers.Load()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.serveConn(conn) })
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
	gathered := newCoalescer(conn)
	session, err := yamux.Server(gathered, sessionConfig())
	if err != nil {
		_ = gathered.Close()
		return
	}
	if !s.track(session) {
		_ = session.Close()
		return
	}
	defer s.forget(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.serveStream(session, stream) })
	}
}

// encrypt runs the TLS handshake; a peer that fails it is counted and dropped.
func (s *Server) encrypt(conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(s.ctx, openTimeout)
	defer cancel()
	encrypted := tls.Server(conn, s.tls)
	err := encrypted.HandshakeContext(ctx)
	if err == nil {
		return encrypted, nil
	}
	_ = conn.Close()
	var network *net.OpError
	if s.ctx.Err() != nil || errors.Is(err, io.EOF) || errors.As(err, &network) {
		// The peer went away; that says nothing against it.
		return nil, err
	}
	s.badPeers.Add(1)
	s.log.Warn("dropped a link peer", "peer", conn.RemoteAddr(), "why", "TLS handshake", "error", err)
	return nil, err
}

func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.open[session] = struct{}{}
	return true
}

func (s *Server) forget(session *yamux.Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, session)
}

func (s *Server) serveStream(session *yamux.Session, conn *yamux.Stream) {
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
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		cancel(s.awaitEnd(session, stream))
		// Frees a handler that waits for a peer which reads no more.
		_ = conn.Close()
	}()
	s.handler(ctx, open, stream)
	_ = conn.Close()
	_ = conn.SetReadDeadline(time.Now())
	<-watch
}

// awaitEnd reads until the peer closes; a peer sends nothing after its Open.
func (s *Server) awaitEnd(session *yamux.Session, stream Stream) error {
	err := stream.Recv(new(wire.Open))
	if err == nil {
		s.dropPeer(session, "a second message on one stream", nil)
	}
	if session.IsClosed() {
		return ErrLinkLost
	}
	return ErrPeerClosed
}

func (s *Server) answerHello(session *yamux.Session, stream Stream, hello *wire.Hello) {
	if err := stream.Send(s.hello); err != nil {
		return
	}
	if hello.GetVersion() != Version {
		s.dropPeer(session, "wrong version", errors.Newf("version %d", hello.GetVersion()))
	}
}

func (s *Server) dropPeer(session *yamux.Session, why string, err error) {
	if session.IsClosed() {
		return
	}
	s.badPeers.Add(1)
	s.log.Warn("dropped a link peer", "peer", session.RemoteAddr(), "why", why, "error", err)
	_ = session.Close()
}

// Close ends all sessions and waits for their handlers.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	s.cancel()
	for session := range s.open {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
	return errors.Wrap(err, "close listener")
}
