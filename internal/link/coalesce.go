package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// coalesceMost bounds the bytes that wait to be written on one connection;
// beyond it writers wait.
const coalesceMost = 256 << 10

// coalescer is a connection whose writes are gathered: while one write is
// under way, what comes behind it goes out together in the next. A session
// writes each frame in two small parts, so that this saves most system calls
// under load and adds no wait without.
type coalescer struct {
	net.Conn
	// heardAt is when bytes last came, in Unix nanoseconds.
	heardAt atomic.Int64

	mu      sync.Mutex
	changed *sync.Cond
	// pending is what waits; spare is the buffer that was written last.
	pending, spare []byte
	// err is the first failure to write; it ends the connection.
	err    error
	closed bool
	done   chan struct{}
}

func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{Conn: conn, done: make(chan struct{})}
	c.heardAt.Store(time.Now().UnixNano())
	c.changed = sync.NewCond(&c.mu)
	go c.flushLoop()
	return c
}

// Read notes when bytes come.
func (c *coalescer) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.heardAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// silent is how long nothing has come.
func (c *coalescer) silent(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.heardAt.Load()))
}

// Write takes the bytes and returns; a failure shows in a later call.
func (c *coalescer) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= coalesceMost && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, data...)
	c.changed.Broadcast()
	return len(data), nil
}

func (c *coalescer) flushLoop() {
	defer close(c.done)
	for {
		batch, ok := c.take()
		if !ok {
			return
		}
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		c.spare = batch[:0]
		if err != nil && c.err == nil {
			c.err = err
		}
		c.changed.Broadcast()
		c.mu.Unlock()
	}
}

// take waits for bytes to write; false when there will be none.
func (c *coalescer) take() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed && c.err == nil {
		c.changed.Wait()
	}
	if len(c.pending) == 0 || c.err != nil {
		return nil, false
	}
	batch := c.pending
	c.pending = c.spare
	c.changed.Broadcast()
	return batch, true
}

// Close ends the connection and waits for the writer.
func (c *coalescer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	<-c.done
	return err
}
