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

// Seen: at the gateways targets that had asked for rest got requests on. An agent passes calls
// to its targets by the same kind of answer, and read of one that was turned away its status
// alone: a service's or engine's Retry-After bound nobody here either.
//
// Cause: the same as there; the agent's gate knew bounds and leaving, and no rest. Proved by these
// calls: each of five within the rest reached the target.

// restingTarget turns away what comes while it rests, and asks for a time.
type restingTarget struct {
	retryAfter string
	resting    atomic.Bool
	asked      atomic.Int32
}

func (r *restingTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.asked.Add(1)
	if r.resting.Load() {
		w.Header().Set("Retry-After", r.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// replies gathers what an agent answers to one call.
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

// refusal is the refusal among the replies; nil if there is none.
func (r *replies) refusal() *wire.Refusal {
	for _, reply := range r.all {
		if refusal := reply.GetRefusal(); refusal != nil {
			return refusal
		}
	}
	return nil
}

// restingAgent is an agent of an engine and a plain service at one address.
func restingAgent(t *testing.T, resting *restingTarget) *Agent {
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

// ask sends a call to one of the agent's targets.
func ask(t *testing.T, a *Agent, to string) *replies {
	t.Helper()
	got := new(replies)
	place := a.places[to]
	answer := &answer{stream: got, id: "r", place: place}
	if to == "engine" {
		a.serveChat(t.Context(), place, &wire.Call{}, &wire.ChatWork{Model: "m", Body: []byte(`{}`)}, answer)
		return got
	}
	a.serveService(t.Context(), place, &wire.Call{}, &wire.ServiceWork{Service: "s", Method: http.MethodPost, Path: "/"}, answer)
	return got
}

// TestATargetThatAsksItsAgentForRestGetsIt: the agent refuses what comes meanwhile by itself, as
// not run and with the time that is left.
func TestATargetThatAsksItsAgentForRestGetsIt(t *testing.T) {
	for _, to := range []string{"engine", "plain"} {
		t.Run(to, func(t *testing.T) {
			is := is.New(t)
			resting := &restingTarget{retryAfter: "30"}
			resting.resting.Store(true)
			a := restingAgent(t, resting)
			ask(t, a, to)
			for range 5 {
				refusal := ask(t, a, to).refusal()
				is.True(refusal != nil)
				is.Equal(refusal.GetRunState(), wire.RunState_RUN_STATE_NOT_RUN)
				is.Equal(refusal.GetKind(), string(fault.Overloaded))
				is.True(refusal.GetRetryAfterMs() > 20_000 && refusal.GetRetryAfterMs() <= 30_000)
			}
			is.Equal(resting.asked.Load(), int32(1))
		})
	}
}

// TestATargetIsAskedAgainAfterItsRest: and what is no time asks for none.
func TestATargetIsAskedAgainAfterItsRest(t *testing.T) {
	for name, retryAfter := range map[string]string{"a moment": "0.01", "no time": "soon", "none": "0"} {
		for _, to := range []string{"engine", "plain"} {
			t.Run(name+", "+to, func(t *testing.T) {
				is := is.New(t)
				resting := &restingTarget{retryAfter: retryAfter}
				resting.resting.Store(true)
				a := restingAgent(t, resting)
				ask(t, a, to)
				resting.resting.Store(false)
				until := time.Now().Add(5 * time.Second)
				for resting.asked.Load() < 2 && time.Now().Before(until) {
					ask(t, a, to)
				}
				is.True(resting.asked.Load() >= 2)
				before := resting.asked.Load()
				for range 3 {
					ask(t, a, to)
				}
				is.Equal(resting.asked.Load(), before+3)
			})
		}
	}
}
