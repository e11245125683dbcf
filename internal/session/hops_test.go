package session

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// cutOnce breaks the first exchange that a condition holds for.
func cutOnce(hop link.Hop, holds func(open *wire.Open, reply *wire.Reply) bool) link.Cut {
	var mu sync.Mutex
	done := false
	return func(_ string, at link.Hop, open *wire.Open, message link.Message) bool {
		reply, _ := message.(*wire.Reply)
		mu.Lock()
		defer mu.Unlock()
		if done || at != hop || open.GetCall() == nil || !holds(open, reply) {
			return false
		}
		done = true
		return true
	}
}

var hang = fakeengine.Fault{Hang: true}

func always(*wire.Open, *wire.Reply) bool { return true }

// hops are the places at which an exchange can be lost.
func hops() map[string]link.Cut {
	return map[string]link.Cut{
		"before send": cutOnce(link.BeforeSend, always),
		"after send":  cutOnce(link.AfterSend, always),
		"after admit": cutOnce(link.OnReply, func(_ *wire.Open, reply *wire.Reply) bool { return reply.GetAdmitted() == nil }),
		"after run": cutOnce(link.OnReply, func(_ *wire.Open, reply *wire.Reply) bool {
			return reply.GetHead() != nil || reply.GetData().GetOffset() > 2
		}),
		"after answer": cutOnce(link.OnReply, func(_ *wire.Open, reply *wire.Reply) bool { return reply.GetEnd() != nil }),
	}
}

func inWorld(t *testing.T, play func(w *world, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		play(w, is.New(t))
	})
}

// A chat whose link breaks at any hop reaches its caller whole, each piece
// once and in order.
func TestChatIsWholeWhicheverHopIsLost(t *testing.T) {
	for name, cut := range hops() {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world, is *is.I) {
				w.startAll(3, 0, 1)
				r := w.routers["router-0"]
				whole := w.chat(r, "clinic", "a report", 12)
				w.network.SetCut(cut)
				got := w.chat(r, "clinic", "a report", 12)
				is.True(got.done)
				is.Equal(got.text, whole.text)
				is.Equal(got.pieces, 12)
			})
		})
	}
}

// A keyed request whose link breaks at any hop still ends with the outcome of
// its one run.
func TestKeyedRunsOnceWhicheverHopIsLost(t *testing.T) {
	for name, cut := range hops() {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world, is *is.I) {
				w.startAll(0, 3, 2)
				key := w.newKey("key-1")
				w.network.SetCut(cut)
				is.Equal(w.topUp(w.routers["router-0"], "clinic", key).Code, http.StatusOK)
				is.Equal(w.topUp(w.routers["router-1"], "clinic", key).Code, http.StatusOK)
				is.Equal(w.effects(key), 1)
			})
		})
	}
}

// A plain call without a key is never sent twice once it may have run, and is
// refused as not run only if no server saw it.
func TestPlainCallIsHonestWhicheverHopIsLost(t *testing.T) {
	for name, cut := range hops() {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world, is *is.I) {
				w.startAll(0, 3, 1)
				w.network.SetCut(cut)
				answer := w.call(w.routers["router-0"], "clinic", http.MethodPost, "/v1/services/"+service+"/note", nil, "{}")
				time.Sleep(time.Second)
				ran := 0
				for _, server := range w.services {
					ran += len(server.Effects())
				}
				state := answer.Header().Get("Capersaddle-Run-State")
				is.True(ran <= 1)
				if state == "not_run" {
					is.Equal(ran, 0)
				}
				if answer.Code == http.StatusOK && name != "after answer" && name != "after run" {
					is.Equal(ran, 1)
				}
			})
		})
	}
}

// A caller that hangs up cancels the work at the engine.
func TestHangUpCancelsTheEngine(t *testing.T) {
	inWorld(t, func(w *world, is *is.I) {
		w.startAll(1, 0, 1)
		r := w.routers["router-0"]
		answer := w.call(r, "clinic", http.MethodPost, "/v1/chat/completions", map[string]string{"Capersaddle-Timeout": "300ms"},
			`{"model":"volta-chat","max_tokens":1000,"stream":true,"messages":[{"role":"user","content":"long"}]}`)
		is.True(!strings.Contains(answer.Body.String(), "[DONE]"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.agents["host-of-engine-0"].agent.Loads()["engine-0"].InFlight, 0)
		text := w.text()
		is.True(strings.Contains(text, "engine-0 cancels"))
	})
}

// An engine that takes a request and gives nothing is given up, and another
// one answers whole.
func TestHangingEngineIsPassedOver(t *testing.T) {
	inWorld(t, func(w *world, is *is.I) {
		w.startAll(2, 0, 1)
		r := w.routers["router-0"]
		first := w.chat(r, "clinic", "a question", 4)
		w.settle()
		w.engines[first.placement].Inject(hang)
		got := w.chat(r, "clinic", "a question", 4)
		is.True(got.done)
		is.Equal(got.text, first.text)
		is.True(got.placement != first.placement)
	})
}
