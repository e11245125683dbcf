// Package connpool keeps idle connections to targets for later requests. It sends nothing by
// itself: only the user of a connection knows whether bytes of its request may have been sent.
package connpool

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/httpcheck"
	"github.com/capersaddle/capersaddle/internal/socket"
)

const (
	// defaultIdleTimeout is a connection's idle timeout if the target names none.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the target's idle timeout for which a connection is
	// used.
	idleTimeoutShare = 0.75
	// staleIdleShare limits the idle time of a connection for a request that must not be
	// repeated, as a share of the shortest idle time after which a target had dropped a
	// connection without notice.
	staleIdleShare = 0.5
	// minStaleIdle is the shortest idle time after which a dead connection counts as stale;
	// after a shorter one, the target itself has failed.
	minStaleIdle = 300 * time.Millisecond
	// shortIdle is an idle time after which working targets don't close connections.
	shortIdle = 2 * time.Second
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4096
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 24
)

// Conn is a connection to one incarnation of a target, for one request at a time.
type Conn struct {
	*httpcheck.Conn
	// Reader reads the target's responses.
	Reader *bufio.Reader
	// limit bounds what Reader receives.
	limit  *receiveLimit
	target string
	// wrote reports that bytes of the current request may have been sent.
	wrote atomic.Bool
	// IdleTimeout is how long the target keeps an idle connection open.
	IdleTimeout time.Duration
	// idleSince is when the connection was returned to the pool; zero for a new one.
	idleSince time.Time
	// idleTime is how long the connection was idle before the current request.
	idleTime time.Duration
	// OpenedAt is when the connection was opened. AfterClosed means that the target had just closed one
	// that was idle for a short time only: another process may listen there since.
	OpenedAt    time.Time
	AfterClosed bool
	// Born is the start of the process at the other end, as it has stated it itself; zero if it has not.
	// StatesNoStart means that it was asked and states none.
	Born          int64
	StatesNoStart bool
}

// ErrReceiveLimit is the error of a read beyond the limit that LimitReceived has set.
var ErrReceiveLimit = errors.New("the target has sent too many bytes")

// receiveLimit reads from a connection, up to a number of bytes.
type receiveLimit struct {
	conn net.Conn
	// left is the number of bytes that may still be received; unlimited means any number.
	left int64
}

const unlimited = -1

// Read reads what has arrived.
func (l *receiveLimit) Read(data []byte) (int, error) {
	if l.left == unlimited {
		return l.conn.Read(data)
	}
	if l.left == 0 {
		return 0, ErrReceiveLimit
	}
	n, err := l.conn.Read(data[:min(int64(len(data)), l.left)])
	l.left -= int64(n)
	return n, err
}

// LimitReceived bounds the bytes that Reader receives from now on, until NoReceiveLimit. It is meant for
// what is kept in memory until it is complete, such as headers. The caller must be the one that reads.
func (c *Conn) LimitReceived(size int64) {
	c.limit.left = size
}

// NoReceiveLimit lets Reader receive any number of bytes.
func (c *Conn) NoReceiveLimit() {
	c.limit.left = unlimited
}

// RecordHead begins to keep the input of Reader. The function that it returns ends that and returns it.
func (c *Conn) RecordHead() (received func() []byte) {
	// It never fails: no more is asked for than there is.
	buffered, _ := c.Reader.Peek(c.Reader.Buffered())
	text := bytes.Clone(buffered)
	c.Record()
	return func() []byte { return append(text, c.Recorded()...) }
}

// Write records that bytes may have been sent, then writes them.
func (c *Conn) Write(data []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(data)
}

// Wrote reports whether bytes of the current request may have been sent.
func (c *Conn) Wrote() bool {
	return c.wrote.Load()
}

// Renew prepares the connection for another request, after the response to the last one.
func (c *Conn) Renew() {
	c.wrote.Store(false)
}

// Target returns the incarnation of the target that the connection was opened for.
func (c *Conn) Target() string {
	return c.target
}

// Abort closes the connection.
func (c *Conn) Abort() {
	_ = c.Close()
}

// Pool holds idle connections by target. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
	// shortestStaleIdle is the shortest idle time after which a target had dropped a connection
	// without notice; zero if none has.
	shortestStaleIdle time.Duration
}

// New returns an empty pool that opens connections with dial.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

// Get returns a connection without a request in flight. Without reuse, it returns none that was
// idle for long.
func (p *Pool) Get(ctx context.Context, target, address string, reuse bool) (*Conn, error) {
	afterClosed := false
	for {
		conn := p.take(target)
		if conn == nil {
			break
		}
		conn.idleTime = clock.Since(conn.idleSince)
		if conn.usable(p.maxIdleTime(conn, reuse)) {
			conn.wrote.Store(false)
			return conn, nil
		}
		afterClosed = afterClosed || conn.idleTime < shortIdle && socket.Peek(conn.Conn) == socket.End
		conn.Abort()
	}
	conn, err := p.Dial(ctx, target, address)
	if err == nil {
		conn.AfterClosed = afterClosed
	}
	return conn, err
}

// Dial returns a new connection, even if there are idle ones.
func (p *Pool) Dial(ctx context.Context, target, address string) (*Conn, error) {
	netConn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := httpcheck.NewConn(netConn)
	limit := &receiveLimit{conn: conn, left: unlimited}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(limit, readBuffer), limit: limit, target: target, IdleTimeout: defaultIdleTimeout, OpenedAt: clock.Now()}, nil
}

// maxIdleTime returns the idle time after which a connection is no longer used. Targets may
// drop an idle connection without notice; requests that may be repeated detect this on behalf
// of those that may not.
func (p *Pool) maxIdleTime(conn *Conn, reuse bool) time.Duration {
	limit := time.Duration(idleTimeoutShare * float64(conn.IdleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	if reuse || p.shortestStaleIdle == 0 {
		return limit
	}
	return min(limit, time.Duration(staleIdleShare*float64(p.shortestStaleIdle)))
}

// NoteStale records that a connection was found dead on its first use after it was idle.
func (p *Pool) NoteStale(conn *Conn) {
	if conn.idleTime < minStaleIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shortestStaleIdle == 0 || conn.idleTime < p.shortestStaleIdle {
		p.shortestStaleIdle = conn.idleTime
	}
}

// NoteUnresponsive records that no response came on a connection. If it had been idle before,
// the other idle connections of its target are likely to be unresponsive too, and are closed.
func (p *Pool) NoteUnresponsive(conn *Conn) {
	if conn.idleSince.IsZero() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle[conn.target] {
		idle.Abort()
	}
	delete(p.idle, conn.target)
}

// usable reports whether an idle connection may carry another request.
func (c *Conn) usable(maxIdleTime time.Duration) bool {
	return c.idleTime <= maxIdleTime && c.Reader.Buffered() == 0 && socket.Peek(c.Conn) == socket.Nothing
}

// take removes and returns the connection that became idle last, which is the most likely to be
// open.
func (p *Pool) take(target string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.idle[target] = idle[:len(idle)-1]
	if len(idle) == 1 {
		delete(p.idle, target)
	}
	return conn
}

// Put returns a connection to the pool.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.target]
	if p.closed || len(idle) >= maxIdlePerTarget {
		conn.Abort()
		return
	}
	conn.idleSince = clock.Now()
	p.idle[conn.target] = append(idle, conn)
}

// Sweep closes connections that have been idle for too long to be used again.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Sub(conn.idleSince) > time.Duration(idleTimeoutShare*float64(conn.IdleTimeout)) {
				conn.Abort()
				continue
			}
			kept = append(kept, conn)
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
}

// Close closes all idle connections; those in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		for _, conn := range idle {
			conn.Abort()
		}
	}
	p.idle = make(map[string][]*Conn)
}
