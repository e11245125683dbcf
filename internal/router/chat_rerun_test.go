package router

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// breakingDialer connects to engines that all interrupt the chat, and records which ran
// it.
type breakingDialer struct {
	ran []string
}

func (d *breakingDialer) Open(_ context.Context, _ string, open *wire.Open) (link.Stream, error) {
	d.ran = append(d.ran, open.GetCall().GetTargetId())
	return &brokenStream{call: open.GetCall()}, nil
}

type brokenStream struct {
	cannedStream
	call  *wire.Call
	ended bool
}

func (s *brokenStream) Recv(msg link.Message) error {
	if s.ended {
		return io.EOF
	}
	s.ended = true
	reply := msg.(*wire.Reply)
	reply.RequestId, reply.Attempt = s.call.GetRequestId(), s.call.GetAttempt()
	reply.Kind = &wire.Reply_Refusal{Refusal: &wire.Refusal{Kind: string(fault.Cut), Message: "the engine's stream was interrupted", RunState: wire.RunState_RUN_STATE_UNKNOWN}}
	return nil
}

// TestChatRerunLimit checks that a chat is not run again without limit: the chat itself
// may crash the engines. One request used to be sent to eight engines in turn.
func TestChatRerunLimit(t *testing.T) {
	is := is.New(t)
	dialer := new(breakingDialer)
	recorder := httptest.NewRecorder()
	testRouter(t, dialer).Handler().ServeHTTP(recorder, chatRequestFor(`{"model":"model-1","messages":[{"role":"user","content":"hello"}]}`))
	t.Log(recorder.Code, recorder.Body.String(), dialer.ran)
	is.Equal(len(dialer.ran), 1+maxReruns)
}
