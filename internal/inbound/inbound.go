// Package inbound ends connections that callers have made, without losing a
// request that is on its way: a connection on which any byte of a request has
// been received is never ended as a resting one, and once a connection has
// been ended no byte of it reaches the server any more. http.Server's own ways
// of ending resting connections take a connection for one until the head of
// its next request has been read whole.
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

// Listener hands out connections that it can end while they rest. Its
// ConnState must be that of the server that serves it.
type Listener struct {
	net.Listener
	limits Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
	// draining has connections ended as soon as they rest.
	draining bool
	// empty is closed when a draining listener has no connections any more.
	empty chan struct{}

	closeOnce sync.Once
	closeErr  error
}

// Limits bound connections; zero is without bound. They may change at any time.
type Limits struct {
	// Rest is how long a connection may rest.
	IdleTimeout func() time.Duration
	// Head is how long the head of a request may take from its first byte.
	HeaderTimeout func() time.Duration
}

// Listen watches the connections of a listener, which it owns.
func Listen(listener net.Listener, limits Limits) *Listener {
	return &Listener{Listener: listener, limits: limits, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// resting says that nothing of a request has been read since the last one
	// was answered; ended that the listener has ended the connection.
	resting bool
	ended   bool
	// timer ends a rest, or a head that takes too long.
	timer *time.Timer
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, resting: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close takes no further connections; those that were taken stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// ConnState follows the states that the server tells of its connections.
func (l *Listener) ConnState(served net.Conn, state http.ConnState) {
	c, ok := served.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.rest(l.restFor())
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	case http.StateActive:
		c.headRead()
	case http.StateNew:
	}
}

// restFor is how long a connection may rest from now on, and whether there is
// a bound at all.
func (l *Listener) restFor() (time.Duration, bool) {
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	if draining {
		return 0, true
	}
	limit := l.limits.IdleTimeout()
	return limit, limit > 0
}

// forget drops a connection that the server has closed.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.draining && len(l.conns) == 0 {
		l.closeEmpty()
	}
}

// closeEmpty tells that there are no connections any more; l.mu is held.
func (l *Listener) closeEmpty() {
	select {
	case <-l.empty:
	default:
		close(l.empty)
	}
}

// Drain takes no further connections, ends those that rest, the others as soon
// as they do, and waits until none is left or the context ends.
func (l *Listener) Drain(ctx context.Context) error {
	err := l.Close()
	l.mu.Lock()
	l.draining = true
	var open []*conn
	for c := range l.conns {
		open = append(open, c)
	}
	if len(open) == 0 {
		l.closeEmpty()
	}
	l.mu.Unlock()
	for _, c := range open {
		c.end()
	}
	select {
	case <-l.empty:
		return errors.Wrap(err, "close listener")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests in flight")
	}
}

// rest begins a rest, at most so long if it is bounded.
func (c *conn) rest(limit time.Duration, bounded bool) {
	c.mu.Lock()
	c.resting = true
	if bounded && limit > 0 {
		c.timer = time.AfterFunc(limit, c.end)
	}
	c.mu.Unlock()
	if bounded && limit == 0 {
		c.end()
	}
}

// end closes the connection if it rests and nothing has been received on it.
// What is received later is lost with the connection, unread.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.resting || c.ended || socket.Look(c.Conn) == socket.Bytes {
		return
	}
	c.ended = true
	_ = c.Conn.Close()
}

// Read reads what the caller sends; nothing once the connection was ended.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	if n > 0 && c.resting {
		c.resting = false
		c.stopTimer()
		if limit := c.listener.limits.HeaderTimeout(); limit > 0 {
			c.timer = time.AfterFunc(limit, c.endHead)
		}
	}
	return n, err
}

// headRead notes that the head of a request has been read whole.
func (c *conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.resting {
		c.stopTimer()
	}
}

// endHead closes the connection on which the head of a request took too long. A head
// that has been read whole meanwhile has stopped the timer, or is about to; it is then
// cut as one that came too late.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting || c.ended || c.timer == nil {
		return
	}
	c.ended = true
	_ = c.Conn.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopTimer()
	if c.ended {
		return nil
	}
	return c.Conn.Close()
}

// stopTimer ends the bound on a rest; c.mu is held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
