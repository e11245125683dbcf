package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

var errAnswerTooLarge = errors.Newf("an answer without length over %d bytes", bufferMost)

// readWhole reads an answer to its end.
func readWhole(answer *Answer) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferMost+1))
	if err != nil {
		return nil, err
	}
	if len(body) > bufferMost {
		return nil, errAnswerTooLarge
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// send passes the answer on.
func (w *wholeAnswer) send(c *call) error {
	if err := c.responder.Begin(w.status, w.header, int64(len(w.body))); err != nil {
		return err
	}
	if len(w.body) == 0 {
		return nil
	}
	return c.writeWhole(w.body)
}
