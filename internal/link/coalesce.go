package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxPendingBytes limits the bytes waiting to be written on one connection. Writers block
// above it.
const maxPendingBytes = 256 << 10

// coalescer is a connection that batches writes: data written while another write is in
// progress goes out together in the next one. A session writes each frame in two small
// parts, so that this saves most system calls under load and adds no delay otherwise.
type coalescer struct {
	net.Conn
	// onClose is called first when the connection is closed.
	onClose func()
	// lastReadAt is when bytes were last received, in Unix nanoseconds.
	lastReadAt atomic.Int64

	mu      sync.Mutex
	changed *sync.Cond
	// pending is the data to write; spare is the buffer of the previous write, for reuse.
	pending, spare []byte
	// err is the first write error. It ends the connection.
	err    error
	closed bool
	done   chan struct{}
}

func newCoalescer(conn net.Conn, onClose func()) *coalescer {
	c := &coalescer{Conn: conn, onClose: onClose, done: make(chan struct{})}
	c.lastReadAt.Store(time.Now().UnixNano())
	c.changed = sync.NewCond(&c.mu)
	go c.flushLoop()
	return c
}

// Read reads from the connection and records the time.
func (c *coalescer) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// silence returns the time since bytes were last received.
func (c *coalescer) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastReadAt.Load()))
}

// Write queues the data and returns. A later call returns the error of a failed write.
func (c *coalescer) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed {
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
		batch, ok := c.nextBatch()
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

// nextBatch waits for data to write. It returns false when there will be none.
func (c *coalescer) nextBatch() ([]byte, bool) {
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

// Close closes the connection and waits for the writer.
func (c *coalescer) Close() error {
	c.onClose()
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	<-c.done
	return err
}
