// Package httpcheck checks what targets and other servers answer over HTTP/1: that the head of an answer is valid,
// and that an answer which ends with its connection was not broken off. It serves both those that read answers from a connection themselves and those
// that use a transport of net/http.
package httpcheck

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/socket"
)

const (
	// maxResetDelay is how long a reset may take to arrive behind the end of the peer's output, when the
	// peer has closed the connection and bytes of the request are still on their way. The kernel sends a
	// lost segment again after 200 ms.
	maxResetDelay = 250 * time.Millisecond
	// resetCheckInterval is the time between two checks for it.
	resetCheckInterval = 2 * time.Millisecond
	// maxRecorded bounds what is recorded of a connection's input, in bytes. Heads are bounded by their readers.
	maxRecorded = 64 << 10
)

// errReset is the error of a read at the end of a connection that its peer has reset.
var errReset = errors.Wrap(syscall.ECONNRESET, "the end of the connection is no end of an answer")

// errNoSocket is the error of a connection that has no socket.
var errNoSocket = errors.New("the connection has no socket")

// Conn is a connection to a server that answers requests. Its Read returns io.EOF only if the peer has ended its
// output in order. One goroutine may write a request while another one reads the answer: the kernel then reports
// a reset to one of them only, and the other one finds what looks like an ordinary end.
type Conn struct {
	net.Conn

	// exchange is held by a Transport from the moment at which it uses the connection for a request until it
	// has checked the response. net/http may use the connection again before that.
	exchange sync.Mutex

	mu sync.Mutex
	// writing means that a request is being written, as long as BeginRequest and EndRequest say.
	writing bool
	// writeFailed means that a write has failed.
	writeFailed bool
	// recording means that recorded keeps what is received.
	recording bool
	recorded  []byte
}

// NewConn returns a connection that checks its end.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// BeginRequest must be called before a request is written while its answer may be read.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

// EndRequest must be called when the request has been written, or has failed to be.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// Write writes data, and notes a failure for the reader.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeFailed = true
	}
	return n, err
}

// Record begins to keep what is received, for Recorded.
func (c *Conn) Record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.recorded = true, nil
}

// Recorded returns what has been received since Record, up to maxRecorded, and ends the recording.
func (c *Conn) Recorded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := c.recorded
	c.recording, c.recorded = false, nil
	return recorded
}

func (c *Conn) record(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording {
		c.recorded = append(c.recorded, data[:min(len(data), maxRecorded-len(c.recorded))]...)
	}
}

// Read reads what has arrived. At the end of a connection that was reset, its error is syscall.ECONNRESET.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.record(data[:n])
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// SyscallConn gives access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errNoSocket
}

// endError returns io.EOF if the peer has ended its output in order, otherwise errReset. A peer that has closed
// the connection resets it once it gets more of the request; one that has only ended its output may read on.
func (c *Conn) endError() error {
	first := c.sendState()
	deadline := time.Now().Add(maxResetDelay)
	for state := first; ; state = c.sendState() {
		switch {
		case state.reset:
			return errReset
		case state.settled, state.acknowledged > first.acknowledged, time.Now().After(deadline):
			return io.EOF
		}
		time.Sleep(resetCheckInterval)
	}
}

// sendState is what is known of the request when the peer has ended its output.
type sendState struct {
	// reset means that the connection is broken.
	reset bool
	// settled means that the peer has taken the whole request, so that nothing makes it reset the connection.
	settled bool
	// acknowledged is how many bytes the peer has taken; zero if that isn't known. A peer that takes more
	// after it has ended its output has not closed the connection.
	acknowledged uint64
}

func (c *Conn) sendState() sendState {
	c.mu.Lock()
	state := sendState{reset: c.writeFailed, settled: !c.writing}
	c.mu.Unlock()
	output, known := socket.OutputOf(c)
	if !known {
		return state
	}
	state.reset = state.reset || output.Broken
	state.settled = state.settled && !output.Pending
	state.acknowledged = output.Acknowledged
	return state
}
