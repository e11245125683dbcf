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

// encrypt runs the TLS handshake; a peer that fails it is counted and dropped,
// also while the server is being closed.
func (s *Server) encrypt(conn net.Conn) (net.Conn, error) {
	release := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer release()
	_ = conn.SetDeadline(time.Now().Add(openTimeout))
	encrypted := tls.Server(conn, s.tls)
	err := encrypted.Handshake()
	if err == nil {
		return encrypted, conn.SetDeadline(time.Time{})
	}
	_ = conn.Close()
	if wentAway(err) {
		return nil, err
	}
	s.badPeers.Add(1)
	s.log.Warn("dropped a link peer", "peer", conn.RemoteAddr(), "why", "TLS handshake", "error", err)
	return nil, err
}

// wentAway says whether a handshake ended because the connection did, which
// says nothing against the peer; one that is silent for too long is none.
func wentAway(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
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
