package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// restingTarget rejects requests while it rests, with a Retry-After header. Like the
// gateways, an agent used to read only the status of such an answer. Its gate knew limits
// and leaving targets but no requested delay, so each of five calls within the delay
// reached the target.
type restingTarget struct {
	retryAfter string
	resting    atomic.Bool
	requests   atomic.Int32
}

func (r *restingTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.requests.Add(1)
	if r.resting.Load() {
		w.Header().Set("Retry-After", r.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// replies records the agent's replies to one call.
type replies struct {
	link.Stream
	all []*wire.Reply
}

func (r *replies) Send(message proto.Message) error {
	if reply, ok := message.(*wire.Reply); ok {
		r.all = append(r.all, reply)
	}
	return nil
}

// refusal returns the refusal among the replies, or nil if there is none.
func (r *replies) refusal() *wire.Refusal {
	for _, reply := range r.all {
		if refusal := reply.GetRefusal(); refusal != nil {
			return refusal
		}
	}
	return nil
}

// newRestingAgent returns an agent with an engine and a plain service at one address.
func newRestingAgent(t *testing.T, resting *restingTarget) *Agent {
	t.Helper()
	server := httptest.NewServer(resting)
	t.Cleanup(server.Close)
	return New(Options{
		ID: "a", Admission: admission.DefaultOptions(), PieceWait: time.Second,
		Targets: []Target{
			{ID: "engine", Pool: "m", Engine: &target.HTTPEngine{Base: server.URL, Client: server.Client()}},
			{ID: "plain", Pool: "s", Service: &target.HTTPService{Base: server.URL, Client: server.Client()}},
		},
		Members: member.NewList(member.DefaultOptions(), &wire.Member{Id: "a"}), Config: config.NewState(), Log: log.New(io.Discard),
	})
}

// callTarget sends a call to one of the agent's targets.
func callTarget(t *testing.T, a *Agent, targetID string) *replies {
	t.Helper()
	recorded := new(replies)
	p := a.targets[targetID]
	writer := &replyWriter{stream: recorded, id: "r", target: p}
	if targetID == "engine" {
		a.serveChat(t.Context(), p, &wire.Call{}, &wire.ChatWork{Model: "m", Body: []byte(`{}`)}, writer)
		return recorded
	}
	a.serveService(t.Context(), p, &wire.Call{}, &wire.ServiceWork{Service: "s", Method: http.MethodPost, Path: "/"}, writer)
	return recorded
}

// TestAgentHonorsRetryAfter checks that the agent itself refuses requests during the
// delay that a target has requested, as not run and with the remaining time.
func TestAgentHonorsRetryAfter(t *testing.T) {
	for _, targetID := range []string{"engine", "plain"} {
		t.Run(targetID, func(t *testing.T) {
			is := is.New(t)
			resting := &restingTarget{retryAfter: "30"}
			resting.resting.Store(true)
			a := newRestingAgent(t, resting)
			callTarget(t, a, targetID)
			for range 5 {
				refusal := callTarget(t, a, targetID).refusal()
				is.True(refusal != nil)
				is.Equal(refusal.GetRunState(), wire.RunState_RUN_STATE_NOT_RUN)
				is.Equal(refusal.GetKind(), string(fault.Overloaded))
				is.True(refusal.GetRetryAfterMs() > 20_000 && refusal.GetRetryAfterMs() <= 30_000)
			}
			is.Equal(resting.requests.Load(), int32(1))
		})
	}
}

// TestAgentResumesAfterRetryAfter checks that requests reach the target again after the
// delay, and that an invalid or zero Retry-After requests none.
func TestAgentResumesAfterRetryAfter(t *testing.T) {
	for name, retryAfter := range map[string]string{"10 ms": "0.01", "invalid": "soon", "none": "0"} {
		for _, targetID := range []string{"engine", "plain"} {
			t.Run(name+", "+targetID, func(t *testing.T) {
				is := is.New(t)
				resting := &restingTarget{retryAfter: retryAfter}
				resting.resting.Store(true)
				a := newRestingAgent(t, resting)
				callTarget(t, a, targetID)
				resting.resting.Store(false)
				deadline := time.Now().Add(5 * time.Second)
				for resting.requests.Load() < 2 && time.Now().Before(deadline) {
					callTarget(t, a, targetID)
				}
				is.True(resting.requests.Load() >= 2)
				before := resting.requests.Load()
				for range 3 {
					callTarget(t, a, targetID)
				}
				is.Equal(resting.requests.Load(), before+3)
			})
		}
	}
}
