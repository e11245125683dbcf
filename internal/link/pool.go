package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/socket"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// dialTimeout bounds the making of a session.
	dialTimeout = 2 * time.Second
	// idleAfter is how long a session without streams is kept. At the planned
	// size a router meets each agent about once a minute and a half: closing
	// sooner would cost more bytes in new sessions than all other control.
	idleAfter = 10 * time.Minute
	// sweepEvery is how often idle and silent sessions are looked for.
	sweepEvery = time.Second
	// redialFirst and redialMost bound the wait after failed dials.
	redialFirst = 50 * time.Millisecond
	redialMost  = 5 * time.Second
)

// Pool keeps one session for each peer address, opened on demand.
type Pool struct {
	hello *wire.Hello
	// tls is nil for links without encryption.
	tls *tls.Config

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	stop   chan struct{}
	wait   sync.WaitGroup
}

// peer is what the pool knows of one address.
type peer struct {
	// dialing is held while a session is made, so that one dial serves all.
	dialing sync.Mutex
	// session is nil until the first dial and after a loss.
	session *yamux.Session
	// conn is the session's connection.
	conn *coalescer
	used time.Time
	// probing is true while a probe is under way.
	probing atomic.Bool
	// notBefore holds dials back after failures.
	notBefore time.Time
	waits     *backoff.ExponentialBackOff
}

// NewPool returns a pool that introduces itself with hello. With a nil TLS
// configuration its links are not encrypted.
func NewPool(hello *wire.Hello, config *tls.Config) *Pool {
	p := &Pool{hello: hello, tls: config, peers: make(map[string]*peer), stop: make(chan struct{})}
	p.wait.Go(p.sweep)
	return p
}

// Open starts an exchange with the process at address. It fails with
// fault.LinkFailed and run state NotRun: nothing was sent.
func (p *Pool) Open(ctx context.Context, address string, open *wire.Open) (Stream, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, fault.New(fault.LinkFailed, fault.NotRun, "%s: %v", address, err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		return nil, fault.New(fault.LinkFailed, fault.NotRun, "%s: open stream: %v", address, err)
	}
	stream := newMessageStream(conn)
	if err := stream.Send(open); err != nil {
		_ = conn.Close()
		return nil, fault.New(fault.LinkFailed, fault.Unknown, "%s: %v", address, err)
	}
	return stream, nil
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("pool is closed")
	}
	known, ok := p.peers[address]
	if !ok {
		waits := backoff.NewExponentialBackOff()
		waits.InitialInterval = redialFirst
		waits.MaxInterval = redialMost
		known = &peer{waits: waits}
		p.peers[address] = known
	}
	known.used = time.Now()
	return known, nil
}

func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	peer.dialing.Lock()
	defer peer.dialing.Unlock()
	if peer.session != nil && !peer.session.IsClosed() {
		return peer.session, nil
	}
	if wait := time.Until(peer.notBefore); wait > 0 {
		return nil, errors.Newf("next dial in %v", wait.Round(time.Millisecond))
	}
	session, conn, err := p.dial(ctx, address)
	if err != nil {
		peer.notBefore = time.Now().Add(peer.waits.NextBackOff())
		return nil, err
	}
	peer.waits.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = session.Close()
		return nil, errors.New("pool is closed")
	}
	peer.session, peer.conn = session, conn
	return session, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*yamux.Session, *coalescer, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: socket.UserTimeout(silentFor)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial")
	}
	if conn, err = p.encrypt(ctx, conn); err != nil {
		return nil, nil, err
	}
	gathered := newCoalescer(conn)
	session, err := yamux.Client(gathered, sessionConfig())
	if err != nil {
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "start session"), gathered.Close())
	}
	if err := p.introduce(session); err != nil {
		return nil, nil, errors.CombineErrors(err, session.Close())
	}
	return session, gathered, nil
}

// encrypt runs the TLS handshake, if links are encrypted.
func (p *Pool) encrypt(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.tls == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	encrypted := tls.Client(conn, p.tls)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "TLS handshake"), conn.Close())
	}
	return encrypted, nil
}

// introduce sends Hello and waits for the server's clean close in answer.
func (p *Pool) introduce(session *yamux.Session) error {
	conn, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	stream := newMessageStream(conn)
	open := &wire.Open{Kind: &wire.Open_Hello{Hello: p.hello}}
	if err := stream.Send(open); err != nil {
		return err
	}
	answer := new(wire.Hello)
	if err := stream.Recv(answer); err != nil {
		return errors.Wrap(err, "peer did not answer hello")
	}
	if answer.GetVersion() != Version {
		return errors.Newf("peer speaks version %d, this process %d", answer.GetVersion(), Version)
	}
	return nil
}

// sweep closes sessions that have had no stream for idleAfter.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			p.closeIdle(now)
			p.probeSilent(now)
		}
	}
}

func (p *Pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		if peer.session != nil && peer.session.NumStreams() > 0 {
			peer.used = now
			continue
		}
		if now.Sub(peer.used) < idleAfter {
			continue
		}
		if peer.session != nil {
			_ = peer.session.Close()
		}
		delete(p.peers, address)
	}
}

// probeSilent probes sessions with open streams from which nothing has come
// for a while, and ends those that do not answer.
func (p *Pool) probeSilent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		session := peer.session
		if session == nil || session.NumStreams() == 0 || peer.conn.silent(now) < silentFor {
			continue
		}
		if !peer.probing.CompareAndSwap(false, true) {
			continue
		}
		p.wait.Go(func() {
			defer peer.probing.Store(false)
			if _, err := session.Ping(); err != nil {
				_ = session.Close()
			}
		})
	}
}

// Sessions counts the sessions that are open.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, peer := range p.peers {
		if peer.session != nil && !peer.session.IsClosed() {
			open++
		}
	}
	return open
}

// Close ends all sessions and waits for the pool's goroutines.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.stop)
	for _, peer := range p.peers {
		if peer.session != nil {
			_ = peer.session.Close()
		}
	}
	p.mu.Unlock()
	p.wait.Wait()
	return nil
}
