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

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/socket"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// dialTimeout limits each step of opening a session: the dial, the TLS handshake and
	// the hello.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long a session without streams is kept open. At the planned size
	// a router contacts each agent about once every 90 seconds. Closing sooner would cost
	// more bytes for new sessions than all other control traffic.
	idleTimeout = 10 * time.Minute
	// sweepInterval is the time between two checks for idle and silent sessions.
	sweepInterval = time.Second
	// minRedialBackoff and maxRedialBackoff limit the delay after failed dials.
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = 5 * time.Second
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
	wg     sync.WaitGroup
}

// peer is the pool's state of one address.
type peer struct {
	// dialing is held while a session is opened, so that concurrent calls share one dial.
	dialing sync.Mutex
	// session is nil until the first dial, and closed after a loss.
	session  *session
	lastUsed time.Time
	// probing is true while a probe is in progress.
	probing atomic.Bool
	// notBefore delays dials after failures.
	notBefore time.Time
	backoff   *backoff.ExponentialBackOff
}

// NewPool returns a pool that sends hello on new sessions. With a nil TLS configuration
// its links are not encrypted.
func NewPool(hello *wire.Hello, config *tls.Config) *Pool {
	p := &Pool{hello: hello, tls: config, peers: make(map[string]*peer), stop: make(chan struct{})}
	p.wg.Go(p.sweep)
	return p
}

// Open starts an exchange with the process at address. If no stream could be opened, it
// fails with fault.LinkFailed and run state NotRun: nothing was sent. If the first
// message could not be written, the run state is Unknown.
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
		dialBackoff := backoff.NewExponentialBackOff()
		dialBackoff.InitialInterval = minRedialBackoff
		dialBackoff.MaxInterval = maxRedialBackoff
		known = &peer{backoff: dialBackoff}
		p.peers[address] = known
	}
	known.lastUsed = time.Now()
	return known, nil
}

func (p *Pool) session(ctx context.Context, address string) (*session, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	peer.dialing.Lock()
	defer peer.dialing.Unlock()
	if peer.session != nil && !peer.session.IsClosed() {
		return peer.session, nil
	}
	if delay := time.Until(peer.notBefore); delay > 0 {
		return nil, errors.Newf("next dial attempt in %v", delay.Round(time.Millisecond))
	}
	session, err := p.dial(ctx, address)
	if err != nil {
		peer.notBefore = time.Now().Add(peer.backoff.NextBackOff())
		return nil, err
	}
	peer.backoff.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = session.Close()
		return nil, errors.New("pool is closed")
	}
	peer.session = session
	return session, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: socket.UserTimeout(maxSilence)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if conn, err = p.encrypt(ctx, conn); err != nil {
		return nil, err
	}
	session, err := newClientSession(conn)
	if err != nil {
		return nil, err
	}
	if err := p.exchangeHello(session); err != nil {
		return nil, errors.CombineErrors(err, session.Close())
	}
	return session, nil
}

// encrypt performs the TLS handshake if links are encrypted.
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

// exchangeHello sends Hello and checks the version in the server's Hello.
func (p *Pool) exchangeHello(session *session) error {
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
	reply := new(wire.Hello)
	if err := stream.Recv(reply); err != nil {
		return errors.Wrap(err, "peer did not answer hello")
	}
	if reply.GetVersion() != Version {
		return errors.Newf("peer uses version %d, this process uses version %d", reply.GetVersion(), Version)
	}
	return nil
}

// sweep periodically closes idle sessions and probes silent ones.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepInterval)
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
			peer.lastUsed = now
			continue
		}
		if now.Sub(peer.lastUsed) < idleTimeout {
			continue
		}
		if peer.session != nil {
			_ = peer.session.Close()
		}
		delete(p.peers, address)
	}
}

// probeSilent probes sessions that have open streams but have received nothing for a
// while, and closes those that do not answer.
func (p *Pool) probeSilent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		session := peer.session
		if session == nil || session.NumStreams() == 0 || session.conn.silence(now) < maxSilence {
			continue
		}
		if !peer.probing.CompareAndSwap(false, true) {
			continue
		}
		p.wg.Go(func() {
			defer peer.probing.Store(false)
			if _, err := session.Ping(); err != nil {
				_ = session.Close()
			}
		})
	}
}

// Sessions returns the number of open sessions.
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

// Close closes all sessions and waits for the pool's goroutines.
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
	p.wg.Wait()
	return nil
}
