// Package connpool keeps connections to targets for later requests. It never
// sends anything by itself: whoever takes a connection knows whether bytes of
// its request may have left.
package connpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/socket"
)

const (
	// idleDefault is how long a connection rests if the target says nothing.
	idleDefault = 4 * time.Second
	// idleShare of the target's own time is how long a connection is used.
	idleShare = 0.75
	// forgottenShare of the shortest rest after which a target was found to
	// have forgotten a connection is how long a rested connection serves a
	// request that may not be repeated.
	forgottenShare = 0.5
	// leastRest is the shortest rest that is taken for a forgotten connection;
	// after a shorter one the target itself has failed.
	leastRest = 300 * time.Millisecond
	// readBuffer is a connection's read buffer, in bytes.
	readBuffer = 4096
	// mostIdle bounds the idle connections to one target.
	mostIdle = 24
)

// Conn is a connection to one life of a target, for one request at a time.
type Conn struct {
	net.Conn
	// Reader reads the target's answers.
	Reader *bufio.Reader
	target string
	// wrote says that bytes of the current request may have left.
	wrote atomic.Bool
	// IdleTimeout is how long the target keeps the connection while it rests.
	IdleTimeout time.Duration
	// restedAt is when it was given back; zero for a new one.
	restedAt time.Time
	// rested is how long it had rested before the current request.
	rested time.Duration
}

// Write notes that bytes may have left, and writes.
func (c *Conn) Write(data []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(data)
}

// Wrote says whether bytes of the current request may have left.
func (c *Conn) Wrote() bool {
	return c.wrote.Load()
}

// Abort closes the connection.
func (c *Conn) Abort() {
	_ = c.Close()
}

// Pool keeps idle connections by target. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
	// forgotten is the shortest rest after which a target was found to have
	// forgotten a connection; zero if none was.
	forgotten time.Duration
}

// New returns an empty pool that makes connections with dial.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

// Get gives a connection on which nothing is under way. Without reuse, one
// that has rested for long is not given.
func (p *Pool) Get(ctx context.Context, target, address string, reuse bool) (*Conn, error) {
	for {
		conn := p.take(target)
		if conn == nil {
			break
		}
		conn.rested = clock.Since(conn.restedAt)
		if conn.usable(p.longestRest(conn, reuse)) {
			conn.wrote.Store(false)
			return conn, nil
		}
		conn.Abort()
	}
	return p.Dial(ctx, target, address)
}

// Make gives a new connection, whatever rests.
func (p *Pool) Dial(ctx context.Context, target, address string) (*Conn, error) {
	made, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: made, Reader: bufio.NewReaderSize(made, readBuffer), target: target, IdleTimeout: idleDefault}, nil
}

// longestRest is how long a connection may have rested to be used. Targets may
// forget a resting connection without notice; requests that may be repeated
// find that out for those that may not.
func (p *Pool) longestRest(conn *Conn, reuse bool) time.Duration {
	longest := time.Duration(idleShare * float64(conn.IdleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	if reuse || p.forgotten == 0 {
		return longest
	}
	return min(longest, time.Duration(forgottenShare*float64(p.forgotten)))
}

// NoteStale notes that a connection was found dead when it was used after
// a rest.
func (p *Pool) NoteStale(conn *Conn) {
	if conn.rested < leastRest {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forgotten == 0 || conn.rested < p.forgotten {
		p.forgotten = conn.rested
	}
}

// NoteUnresponsive notes that nothing came on a connection. If it had rested, the other
// resting ones of its target are likely to be as silent, and are closed.
func (p *Pool) NoteUnresponsive(conn *Conn) {
	if conn.restedAt.IsZero() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle[conn.target] {
		idle.Abort()
	}
	delete(p.idle, conn.target)
}

// usable says whether a rested connection may carry another request.
func (c *Conn) usable(longest time.Duration) bool {
	return c.rested <= longest && c.Reader.Buffered() == 0 && socket.Peek(c.Conn) == socket.Nothing
}

// take gives the connection that rested last, the likeliest to be open.
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

// Put keeps a connection for later.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.target]
	if p.closed || len(idle) >= mostIdle {
		conn.Abort()
		return
	}
	conn.restedAt = clock.Now()
	p.idle[conn.target] = append(idle, conn)
}

// Sweep closes connections that have rested too long to be used again.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Sub(conn.restedAt) > time.Duration(idleShare*float64(conn.IdleTimeout)) {
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

// Close closes all idle connections; those in use are closed when given back.
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
