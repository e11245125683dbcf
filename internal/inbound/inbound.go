// Package inbound ends connections of callers without losing a request that is being received. A
// connection on which any byte of a request has been received is never closed as idle, and once a
// connection has been closed, no byte of it reaches the server. http.Server can't be used for this:
// when it closes idle connections, it considers a connection idle until the headers of its next
// request have been read completely.
package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/socket"
)

// Listener returns connections that it can close while they are idle. Its ConnState and ConnContext
// methods must be the hooks of the server that uses it, whose handler must be one from its Handler method.
type Listener struct {
	net.Listener
	limits Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
	// draining makes connections end as soon as they are idle.
	draining bool
	// empty is closed when a draining listener has no connections left.
	empty chan struct{}

	closeOnce sync.Once
	closeErr  error
}

// Limits holds the time limits of connections; zero means no limit. They may change at any time.
type Limits struct {
	// IdleTimeout returns how long a connection may be idle.
	IdleTimeout func() time.Duration
	// HeaderTimeout returns how long the headers of a request may take from their first byte.
	HeaderTimeout func() time.Duration
	// Connections is the number of connections above which each new one ends the one that has been idle
	// the longest, or itself if none is idle; zero means no limit. Half as many again is the most that are
	// served: further ones are closed unread.
	Connections int
	// Heads is the memory for the heads of requests beyond 8 KiB each; nil means no limit.
	Heads Budget
	// Ended is called when a connection is ended because of one of these limits; nil if nobody counts them.
	Ended func(reason Reason)
}

// Reason is why a connection was ended for a limit of the process.
type Reason string

// The reasons.
const (
	// ReasonIdle: it had been idle the longest of too many connections.
	ReasonIdle Reason = "idle"
	// ReasonConnections: there were too many connections that weren't idle.
	ReasonConnections Reason = "connections"
	// ReasonHeads: the heads of the callers' requests took too much memory.
	ReasonHeads Reason = "heads"
)

// Listen returns a Listener that tracks the connections of listener, which it owns.
func Listen(listener net.Listener, limits Limits) *Listener {
	return &Listener{Listener: listener, limits: limits, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// idle means that nothing of a request has been read since the last one was answered; closed
	// means that the listener has closed the connection.
	idle   bool
	closed bool
	// idleSince is when the connection became idle.
	idleSince time.Time
	// timer ends an idle connection, or one whose headers take too long.
	timer *time.Timer
	head  head
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
		l.ended(ReasonConnections)
	}
}

// admit tracks a new connection. It returns nil if there are too many to serve it.
func (l *Listener) admit(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits.Connections
	if limit > 0 && len(l.conns) >= limit+limit/2 {
		return nil
	}
	c := &conn{Conn: accepted, listener: l, idle: true, idleSince: time.Now(), head: head{budget: l.limits.Heads}}
	l.conns[c] = struct{}{}
	if limit > 0 && len(l.conns) > limit && l.longestIdle().closeIfIdle() {
		l.ended(ReasonIdle)
	}
	return c
}

// ended reports a connection that was ended because of a limit.
func (l *Listener) ended(reason Reason) {
	if l.limits.Ended != nil {
		l.limits.Ended(reason)
	}
}

// longestIdle returns the connection that has been idle the longest. One that was just accepted is idle,
// so there is always one; l.mu must be held.
func (l *Listener) longestIdle() *conn {
	var longest *conn
	var since time.Time
	for c := range l.conns {
		if at, idle := c.idleTime(); idle && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest
}

// idleTime returns since when the connection is idle, and whether it is.
func (c *conn) idleTime() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.idle && !c.closed
}

// Close stops accepting connections; those already accepted stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext lets Handler know the connection of a request.
func (l *Listener) ConnContext(ctx context.Context, served net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, served)
}

// Handler returns a handler that keeps the connection of each request open while next serves it. The server
// reports no new state for a request that it received together with the one before.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.beginRequest() {
			panic(http.ErrAbortHandler) // nobody can be answered any more
		}
		next.ServeHTTP(w, r)
	})
}

// ConnState tracks the connection states that the server reports.
func (l *Listener) ConnState(served net.Conn, state http.ConnState) {
	c, ok := served.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.beginIdle(l.idleLimit())
	case http.StateClosed, http.StateHijacked:
		c.releaseHead()
		l.remove(c)
	case http.StateActive:
		c.headerRead()
	case http.StateNew:
	}
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// idleLimit returns how long a connection may be idle from now on, and whether there is a limit at
// all.
func (l *Listener) idleLimit() (time.Duration, bool) {
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	if draining {
		return 0, true
	}
	limit := l.limits.IdleTimeout()
	return limit, limit > 0
}

// remove removes a connection that the server has closed.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.draining && len(l.conns) == 0 {
		l.signalEmpty()
	}
}

// signalEmpty signals that there are no connections left; l.mu must be held.
func (l *Listener) signalEmpty() {
	select {
	case <-l.empty:
	default:
		close(l.empty)
	}
}

// Drain stops accepting connections, closes idle ones at once and the others as soon as they are
// idle, and waits until none is left or the context ends.
func (l *Listener) Drain(ctx context.Context) error {
	err := l.Close()
	l.mu.Lock()
	l.draining = true
	var open []*conn
	for c := range l.conns {
		open = append(open, c)
	}
	if len(open) == 0 {
		l.signalEmpty()
	}
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
	select {
	case <-l.empty:
		return errors.Wrap(err, "close listener")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests in flight")
	}
}

// beginIdle marks the connection as idle, for at most limit if bounded is true.
func (c *conn) beginIdle(limit time.Duration, bounded bool) {
	c.mu.Lock()
	c.idle, c.idleSince = true, time.Now()
	c.head.release()
	if bounded && limit > 0 {
		c.timer = time.AfterFunc(limit, func() { c.closeIfIdle() })
	}
	c.mu.Unlock()
	if bounded && limit == 0 {
		c.closeIfIdle()
	}
}

// closeIfIdle closes the connection if it is idle and nothing has been received on it, and reports
// whether it did. What is received later is lost with the connection, unread.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closed || socket.Peek(c.Conn) == socket.Bytes {
		return false
	}
	c.closed = true
	_ = c.Conn.Close()
	return true
}

// Read reads from the caller; it returns nothing once the connection was closed by the listener.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && c.idle {
		c.idle = false
		c.head.begin()
		c.stopTimer()
		if limit := c.listener.limits.HeaderTimeout(); limit > 0 {
			c.timer = time.AfterFunc(limit, c.closeSlowHeader)
		}
	}
	if !c.head.received(data[:n]) {
		c.closed = true
		_ = c.Conn.Close()
		c.listener.ended(ReasonHeads)
		return 0, net.ErrClosed
	}
	return n, err
}

// headerRead records that the headers of a request have been read completely.
func (c *conn) headerRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.complete()
	if !c.idle {
		c.stopTimer()
	}
}

// beginRequest marks the connection as used. It returns false if the listener has closed it.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.idle {
		c.idle = false
		c.stopTimer()
	}
	return true
}

// releaseHead returns the memory of the last request's head.
func (c *conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.release()
}

// closeSlowHeader closes a connection on which the headers of a request took too long. If they have
// been read completely meanwhile, the timer is stopped or about to be; the request is then cut off
// as too late.
func (c *conn) closeSlowHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.closed || c.timer == nil {
		return
	}
	c.closed = true
	_ = c.Conn.Close()
}

// NetConn returns the connection without its limits.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopTimer()
	if c.closed {
		return nil
	}
	return c.Conn.Close()
}

// stopTimer stops the timer; c.mu must be held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
