package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

var errAnswerTooLarge = errors.Newf("the answer has no content length and exceeds %d bytes", maxBuffered)

// bufferAnswer reads an answer to its end.
func bufferAnswer(answer *Answer) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBuffered {
		return nil, errAnswerTooLarge
	}
	return &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// send passes the answer on.
func (b *bufferedAnswer) send(c *call) error {
	if err := c.responder.Begin(b.status, b.header, int64(len(b.body))); err != nil {
		return err
	}
	if len(b.body) == 0 {
		return nil
	}
	return c.writeBuffered(b.body)
}
