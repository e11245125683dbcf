package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// minSpooled is the size from which a buffered answer is written to the caller's spool, in bytes. A
// smaller answer fits into the buffers of a connection, however slowly its caller reads.
const minSpooled = 16 << 10

// write passes on a part of an answer. It doesn't wait for the caller to read, unless much is
// buffered for the caller already.
func (c *call) write(data []byte) error {
	if c.gateway.Spools == nil {
		return c.responder.Write(data)
	}
	if c.output == nil {
		c.output = c.gateway.Spools.Open(c.responder, c.gateway.writeWindow(clock.Now()))
	}
	return c.output.Write(data)
}

// writeBuffered passes on the body of a buffered answer.
func (c *call) writeBuffered(body []byte) error {
	if len(body) < minSpooled {
		return c.responder.Write(body)
	}
	return c.write(body)
}

// endOutput waits until everything has been sent to the caller. If that fails, it makes sure that
// the answer can't look complete.
func (c *call) endOutput(ctx context.Context) {
	if c.output == nil {
		return
	}
	if c.writeFailed || c.callerLeft(ctx) {
		c.output.Drop()
	}
	err := c.output.Close()
	if err == nil {
		return
	}
	c.responder.Abort()
	if ending := spoolEnding(err); ending != "" {
		c.ending = ending
	} else if c.ending == EndingAnswered {
		c.ending = EndingCallerLeft
	}
}

// spoolEnding returns the ending of a request whose caller's spool was ended, or an empty string if
// the caller ended it.
func spoolEnding(err error) string {
	if errors.Is(err, spool.ErrSlowest) || errors.Is(err, spool.ErrWriteTimeout) {
		return EndingCallerSlow
	}
	return ""
}

// outputWriter makes the output of a call an io.Writer and keeps its write error: a caller that
// can't be written to is no fault of the target.
type outputWriter struct {
	call *call
	err  error
}

// Write passes on all of data.
func (w *outputWriter) Write(data []byte) (int, error) {
	if w.err = w.call.write(data); w.err != nil {
		return 0, w.err
	}
	return len(data), nil
}
