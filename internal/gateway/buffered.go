package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// maxBuffered is the size of the largest answer that is read completely before any of it is
// passed on, in bytes.
const maxBuffered = 1 << 20

// bufferedAnswer is an answer that was read to its end. Its user calls release at the end.
type bufferedAnswer struct {
	status int
	header http.Header
	// size is the length that the target stated, or -1. The body of an answer to a HEAD request is shorter.
	size int64
	body []byte
	reservation
}

var errAnswerTooLarge = errors.Newf("the answer has no content length and exceeds %d bytes", maxBuffered)

// bufferAnswer reads an answer to its end, with memory of a budget; nil for no bound.
func bufferAnswer(answer *Answer, budget *spool.Budget) (*bufferedAnswer, error) {
	whole := &bufferedAnswer{status: answer.Status, header: answer.Header, size: answer.Size, reservation: reservation{budget: budget}}
	part := make([]byte, bufferedPart)
	for {
		n, err := answer.Body.Read(part)
		whole.body = append(whole.body, part[:n]...)
		switch {
		case len(whole.body) > maxBuffered:
			err = errAnswerTooLarge
		case errors.Is(err, io.EOF):
			return whole, nil
		case err == nil:
			err = whole.grow(len(whole.body))
		}
		if err != nil {
			whole.release()
			return nil, err
		}
	}
}

// bufferedPart is the size of one read of an answer that is kept, in bytes.
const bufferedPart = 2048

// send passes the answer on.
func (b *bufferedAnswer) send(c *call) error {
	size := int64(len(b.body))
	if c.request.Method == http.MethodHead {
		size = b.size
	}
	if err := c.responder.Begin(b.status, b.header, size); err != nil {
		return err
	}
	if len(b.body) == 0 {
		return nil
	}
	return c.writeBuffered(b.body)
}

// passFailure keeps a target's own failure in case no better answer arrives. A failure that another
// target would repeat is passed on at once.
func (a *attempt) passFailure(answer *Answer) bool {
	whole, err := bufferAnswer(answer, a.call.gateway.HeldBudget)
	if err != nil {
		a.failReading(err)
		return false
	}
	defer whole.release()
	a.err = errors.Newf("the target answered %d", answer.Status)
	if a.call.delivery.Begun() {
		a.outcome, a.result = delivery.Cut, balance.Bad
		return false
	}
	a.call.failedAnswer = whole
	a.outcome = delivery.Failed
	if answer.Status < http.StatusInternalServerError {
		a.result = balance.Good
		a.call.relayFailure()
		return true
	}
	a.result, a.failedItself = balance.Bad, true
	return false
}

// passBuffered reads the complete answer before passing it on, so that the request can be retried
// if the answer breaks off. Large answers, and those for which there is no memory, are passed on as they
// arrive.
func (a *attempt) passBuffered(answer *Answer) bool {
	if answer.Size > maxBuffered || !hasRoom(a.call.gateway.HeldBudget, answer.Size) {
		return a.passLarge(answer)
	}
	whole, err := bufferAnswer(answer, a.call.gateway.HeldBudget)
	if err != nil {
		a.failReading(err)
		return false
	}
	defer whole.release()
	a.result = balance.Good
	a.recordAnswer(answer)
	if err := whole.send(a.call); err != nil {
		a.err = err
	}
	return true
}

// largeStart is how much of a large answer is read before any of it is passed on, in bytes: more than the
// buffers of the caller's connection keep back.
const largeStart = 16 << 10

// passLarge passes an answer on as it arrives. Until its first part has been read, the request can be retried.
func (a *attempt) passLarge(answer *Answer) bool {
	start, err := io.ReadAll(io.LimitReader(answer.Body, largeStart))
	if err != nil {
		a.failReading(err)
		return false
	}
	a.stopSilenceTimer()
	a.recordAnswer(answer)
	a.markBegun()
	if err := a.call.responder.Begin(answer.Status, answer.Header, answer.Size); err != nil {
		a.failWriting(err)
		return false
	}
	to := &outputWriter{call: a.call}
	_, err = io.Copy(to, io.MultiReader(bytes.NewReader(start), answer.Body))
	if to.err != nil {
		a.failWriting(to.err)
		return false
	}
	if err != nil {
		a.outcome, a.result, a.loss, a.err = delivery.Cut, balance.Lost, lossDisconnected, err
		return false
	}
	a.result = balance.Good
	return true
}

// failReading ends an attempt whose answer broke off before any of it was passed on.
func (a *attempt) failReading(err error) {
	a.err = err
	a.outcome, a.result, a.loss = delivery.Lost, balance.Lost, lossDisconnected
	if a.isAbandoned() || errors.Is(err, context.DeadlineExceeded) {
		a.outcome, a.result, a.loss = delivery.Silent, balance.Bad, lossSilent
	}
}
