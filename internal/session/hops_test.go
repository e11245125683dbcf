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

// cutOnce cuts the first exchange at a hop that matches a condition.
func cutOnce(hop link.Hop, matches func(open *wire.Open, reply *wire.Reply) bool) link.Cut {
	var mu sync.Mutex
	done := false
	return func(_ string, at link.Hop, open *wire.Open, message link.Message) bool {
		reply, _ := message.(*wire.Reply)
		mu.Lock()
		defer mu.Unlock()
		if done || at != hop || open.GetCall() == nil || !matches(open, reply) {
			return false
		}
		done = true
		return true
	}
}

var hangFault = fakeengine.Fault{Hang: true}

func anyExchange(*wire.Open, *wire.Reply) bool { return true }

// cutPoints returns a cut for each point at which an exchange can be lost.
func cutPoints() map[string]link.Cut {
	return map[string]link.Cut{
		"before send": cutOnce(link.BeforeSend, anyExchange),
		"after send":  cutOnce(link.AfterSend, anyExchange),
		"after admit": cutOnce(link.OnReply, func(_ *wire.Open, reply *wire.Reply) bool { return reply.GetAdmitted() == nil }),
		"after run": cutOnce(link.OnReply, func(_ *wire.Open, reply *wire.Reply) bool {
			return reply.GetHead() != nil || reply.GetData().GetOffset() > 2
		}),
		"after answer": cutOnce(link.OnReply, func(_ *wire.Open, reply *wire.Reply) bool { return reply.GetEnd() != nil }),
	}
}

func runInWorld(t *testing.T, scenario func(w *world, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		scenario(w, is.New(t))
	})
}

// TestChatCompletesAfterCutAtAnyHop checks that a chat whose link breaks at any hop still
// reaches its caller completely, with each piece once and in order.
func TestChatCompletesAfterCutAtAnyHop(t *testing.T) {
	for name, cut := range cutPoints() {
		t.Run(name, func(t *testing.T) {
			runInWorld(t, func(w *world, is *is.I) {
				w.startAll(3, 0, 1)
				r := w.routers["router-0"]
				complete := w.chat(r, "clinic", "a report", 12)
				w.network.SetCut(cut)
				got := w.chat(r, "clinic", "a report", 12)
				is.True(got.done)
				is.Equal(got.text, complete.text)
				is.Equal(got.pieces, 12)
			})
		})
	}
}

// TestKeyedRequestRunsOnceAfterCutAtAnyHop checks that a request with an idempotency key whose
// link breaks at any hop still ends with the outcome of its only run.
func TestKeyedRequestRunsOnceAfterCutAtAnyHop(t *testing.T) {
	for name, cut := range cutPoints() {
		t.Run(name, func(t *testing.T) {
			runInWorld(t, func(w *world, is *is.I) {
				w.startAll(0, 3, 2)
				key := w.newKey("key-1")
				w.network.SetCut(cut)
				is.Equal(w.topUp(w.routers["router-0"], "clinic", key).Code, http.StatusOK)
				is.Equal(w.topUp(w.routers["router-1"], "clinic", key).Code, http.StatusOK)
				is.Equal(w.countEffects(key), 1)
			})
		})
	}
}

// TestPlainCallRunStateAfterCutAtAnyHop checks that a plain call without a key is never sent
// again once it may have run, and is reported as not run only if no server received it.
func TestPlainCallRunStateAfterCutAtAnyHop(t *testing.T) {
	for name, cut := range cutPoints() {
		t.Run(name, func(t *testing.T) {
			runInWorld(t, func(w *world, is *is.I) {
				w.startAll(0, 3, 1)
				w.network.SetCut(cut)
				response := w.call(w.routers["router-0"], "clinic", http.MethodPost, "/v1/services/"+service+"/note", nil, "{}")
				time.Sleep(time.Second)
				ran := 0
				for _, server := range w.services {
					ran += len(server.Effects())
				}
				state := response.Header().Get("Capersaddle-Run-State")
				is.True(ran <= 1)
				if state == "not_run" {
					is.Equal(ran, 0)
				}
				if response.Code == http.StatusOK && name != "after answer" && name != "after run" {
					is.Equal(ran, 1)
				}
			})
		})
	}
}

// TestTimeoutCancelsEngineRequest checks that a caller that gives up, here through its timeout,
// cancels the work at the engine.
func TestTimeoutCancelsEngineRequest(t *testing.T) {
	runInWorld(t, func(w *world, is *is.I) {
		w.startAll(1, 0, 1)
		r := w.routers["router-0"]
		response := w.call(r, "clinic", http.MethodPost, "/v1/chat/completions", map[string]string{"Capersaddle-Timeout": "300ms"},
			`{"model":"volta-chat","max_tokens":1000,"stream":true,"messages":[{"role":"user","content":"long"}]}`)
		is.True(!strings.Contains(response.Body.String(), "[DONE]"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.agents["host-of-engine-0"].agent.Loads()["engine-0"].InFlight, 0)
		text := w.transcript()
		is.True(strings.Contains(text, "engine-0 cancels"))
	})
}

// TestHangingEngineFailsOver checks that a router gives up on an engine that accepts a request
// but sends nothing, and that another engine answers completely.
func TestHangingEngineFailsOver(t *testing.T) {
	runInWorld(t, func(w *world, is *is.I) {
		w.startAll(2, 0, 1)
		r := w.routers["router-0"]
		first := w.chat(r, "clinic", "a question", 4)
		w.waitForLoadUpdates()
		w.engines[first.placement].Inject(hangFault)
		got := w.chat(r, "clinic", "a question", 4)
		is.True(got.done)
		is.Equal(got.text, first.text)
		is.True(got.placement != first.placement)
	})
}
