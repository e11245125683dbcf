package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/gateway"
)

// maxSilenceOfStream is how long a target of the resumable route may be silent.
const maxSilenceOfStream = 1250 * time.Millisecond

// lateBody returns its text after a pause.
type lateBody struct {
	io.Reader
	pause time.Duration
	read  bool
}

func (b *lateBody) Read(data []byte) (int, error) {
	if !b.read {
		b.read = true
		time.Sleep(b.pause) // virtual time
	}
	return b.Reader.Read(data)
}

func (b *lateBody) Close() error { return nil }

// TestEventAtEndOfSilence guards against unsynchronized access to the state of a request when its
// first event arrives at the moment at which its target has been silent for too long. The race
// detector finds it.
func TestEventAtEndOfSilence(t *testing.T) {
	// Which of the two comes first is random.
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			late := func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
				body := &lateBody{Reader: strings.NewReader(one), pause: maxSilenceOfStream}
				return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: body}, nil
			}
			w := newTestGateway(late, stream(one, io.EOF))
			w.serve(t.Context(), "/resumable/x")
			is.Equal(w.caller.status, http.StatusOK)
			is.Equal(w.caller.begins, 1)
			is.True(strings.HasPrefix(w.caller.body.String(), one))
			is.True(len(w.sender.sent) <= 2)
		})
	}
}
