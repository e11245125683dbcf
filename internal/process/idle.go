package process

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that rest for longer than the
// configuration in force allows; http.Server's own bound can't be changed
// while it serves.
type idleCloser struct {
	// limit is the longest rest; zero is none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// connState follows the connections' states.
func (c *idleCloser) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer, ok := c.timers[conn]; ok {
		timer.Stop()
		delete(c.timers, conn)
	}
	if state != http.StateIdle {
		return
	}
	limit := c.limit()
	if limit <= 0 {
		return
	}
	c.timers[conn] = time.AfterFunc(limit, func() { c.close(conn) })
}

// close closes a connection if it still rests.
func (c *idleCloser) close(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.timers[conn]; !ok {
		return
	}
	delete(c.timers, conn)
	_ = conn.Close()
}
