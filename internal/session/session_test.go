package session

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
)

// TestSessions runs sessions, each with checks of its own, and compares everything that was
// observed with the session's golden file.
func TestSessions(t *testing.T) {
	tests := map[string]func(w *world, is *is.I){
		"store lost for six hours":            storeOutage,
		"paused owner wakes":                  pausedOwner,
		"surge of two workspaces":             surge,
		"planned stop with long streams":      plannedStop,
		"two operators in conflict":           conflictingOperators,
		"lost answer of the store":            lostStoreAnswer,
		"flapping engine":                     flappingEngine,
		"top-up through three routers":        topUpThroughThree,
		"planned stop hands over its slots":   slotHandover,
		"engine breaks in the middle":         brokenEngine,
		"store restored to an older state":    storeRestored,
		"deadline in the queue answers once":  deadlineInQueue,
		"a key that was closed stays closed":  closedKey,
		"answer of the service is lost":       lostServiceAnswer,
		"router restarts during store outage": routerRestart,
		"planned stop hands the cache on":     func(w *world, is *is.I) { is.Equal(cacheHitRateAfterStop(w, is), 1.0) },
		"operator confirms two dead hosts":    twoDeadHosts,
		"a host's clock is wrong":             wrongClock,
		"a router's list lags behind a mark":  laggingRouter,
		"placements are followed":             placements,
		"planned stop keeps the cache": func(w *world, is *is.I) {
			w.cacheOptions.KeepOnLeave = true
			is.Equal(cacheHitRateAfterStop(w, is), 0.0)
		},
	}
	for name, session := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				func() {
					defer w.close()
					session(w, is.New(t))
				}()
				w.compareGolden()
			})
		})
	}
}

func (w *world) startAll(engines, services, routers int) {
	for i := range engines {
		w.addEngine(fmt.Sprintf("engine-%d", i))
	}
	for i := range services {
		w.addService(fmt.Sprintf("topup-%d", i))
	}
	for i := range routers {
		w.addRouter(fmt.Sprintf("router-%d", i))
	}
	w.configure("accra-shops", "clinic")
}

func surge(w *world, is *is.I) {
	w.startAll(4, 0, 2)
	w.record("caller", "accra-shops sends 60 chats at once, clinic 2")
	var mu sync.Mutex
	outcomes := make(map[string]map[string]int)
	var wait sync.WaitGroup
	send := func(workspace string, i int) {
		wait.Go(func() {
			r := w.routers[fmt.Sprintf("router-%d", i%2)]
			got := w.chat(r, workspace, fmt.Sprintf("shift %d", i), 20)
			mu.Lock()
			defer mu.Unlock()
			if outcomes[workspace] == nil {
				outcomes[workspace] = make(map[string]int)
			}
			outcome := "whole"
			if !got.done {
				outcome = got.failure
			}
			outcomes[workspace][outcome]++
		})
	}
	for i := range 60 {
		send("accra-shops", i)
	}
	for i := range 2 {
		send("clinic", i)
	}
	maxInFlight := 0
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		for _, p := range w.agents {
			for _, load := range p.agent.Loads() {
				maxInFlight = max(maxInFlight, load.InFlight)
				is.True(load.InFlight <= load.Limit) // never above the limit
			}
		}
	}
	wait.Wait()
	time.Sleep(time.Until(w.start.Add(30 * time.Second)))
	w.dropEngineLines()
	w.record("engine", "most in flight at one engine: %d", maxInFlight)
	for _, workspace := range []string{"accra-shops", "clinic"} {
		w.record("caller", "%s: %v", workspace, outcomes[workspace])
	}
	is.Equal(outcomes["clinic"]["whole"], 2)
}

// dropEngineLines drops the engines' own lines from the transcript, because their order during
// a surge is not significant.
func (w *world) dropEngineLines() {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.lines[:0]
	for _, l := range w.lines {
		if l.actor != "engine" {
			kept = append(kept, l)
		}
	}
	w.lines = kept
}

func plannedStop(w *world, is *is.I) {
	w.startAll(3, 0, 2)
	r := w.routers["router-0"]
	holder := w.chat(r, "clinic", "a long report", 1).placement
	w.waitForLoadUpdates()
	var wait sync.WaitGroup
	wait.Go(func() {
		got := w.chat(r, "clinic", "a long report", 500)
		w.record("caller", "the long report: %v", got)
		is.True(got.done)
		is.Equal(got.pieces, 500)
		is.Equal(got.placement, holder)
	})
	time.Sleep(time.Second)
	markedAt := time.Now()
	_, err := w.command(r, "ama", config.Command{ID: "stop", Changes: []config.Change{newChange("mark/"+holder, config.Mark{Leaving: true})}})
	is.NoErr(err)
	time.Sleep(2 * time.Second)
	runs := len(w.engines[holder].Runs())
	for i := range 4 {
		got := w.chat(w.routers[fmt.Sprintf("router-%d", i%2)], "clinic", "a long report", 2)
		w.record("caller", "the same chat %v after the mark: %v", time.Since(markedAt).Round(time.Second), got)
		is.True(got.placement != holder)
	}
	is.Equal(len(w.engines[holder].Runs()), runs) // no new request arrived
	wait.Wait()
	w.record("engine", "%s has %d in flight", holder, w.agents["host-of-"+holder].agent.Loads()[holder].InFlight)
}

func flappingEngine(w *world, is *is.I) {
	w.startAll(3, 0, 1)
	r := w.routers["router-0"]
	holder := w.chat(r, "clinic", "flap", 1).placement
	w.waitForLoadUpdates()
	for round := range 4 {
		w.engines[holder].Inject(fakeengine.Fault{CutAfter: 2})
		got := w.chat(r, "clinic", "flap", 6)
		w.record("caller", "round %d: %v", round+1, got)
		is.True(got.done)
		w.disconnect(w.agents["host-of-"+holder])
		time.Sleep(8 * time.Second)
		w.agents["host-of-"+holder].close()
		w.addAgent("host-of-"+holder, agent.Target{ID: holder, Pool: model, Engine: w.engines[holder]})
		w.network.SetDown("host-of-"+holder, false)
		time.Sleep(4 * time.Second)
	}
	got := w.chat(r, "clinic", "flap", 6)
	w.record("caller", "after four restarts in a minute: %v", got)
	is.True(got.done)
	is.True(got.placement != holder) // the engine is held back until it is stable
	time.Sleep(3 * time.Minute)
	got = w.chat(r, "clinic", "flap", 6)
	w.record("caller", "three quiet minutes later: %v", got)
	is.Equal(got.placement, holder)
}

func brokenEngine(w *world, is *is.I) {
	w.startAll(3, 0, 1)
	r := w.routers["router-0"]
	complete := w.chat(r, "clinic", "a fault summary", 12)
	w.record("caller", "undisturbed: %v", complete)
	w.waitForLoadUpdates()
	w.engines[complete.placement].Inject(fakeengine.Fault{CutAfter: 5})
	resumed := w.chat(r, "clinic", "a fault summary", 12)
	w.record("caller", "the engine breaks after 5 pieces: %v", resumed)
	w.waitForLoadUpdates()
	is.Equal(resumed.text, complete.text)
	for _, engine := range w.engines {
		engine.Inject(fakeengine.Fault{CutAfter: 1}, fakeengine.Fault{CutAfter: 1}, fakeengine.Fault{CutAfter: 1}, fakeengine.Fault{CutAfter: 1})
	}
	failed := w.chat(r, "clinic", "a fault summary", 12)
	w.record("caller", "every engine breaks: %v", failed)
	is.True(!failed.done && failed.failure != "")
}

func deadlineInQueue(w *world, is *is.I) {
	w.admissionOptions.MaxInFlight = 2
	w.startAll(1, 0, 1)
	r := w.routers["router-0"]
	var wait sync.WaitGroup
	for i := range 2 {
		wait.Go(func() { w.chat(r, "accra-shops", fmt.Sprintf("long %d", i), 1500) })
	}
	time.Sleep(time.Second)
	start := time.Now()
	response := w.call(r, "clinic", http.MethodPost, "/v1/chat/completions", map[string]string{"Capersaddle-Timeout": "20s"},
		`{"model":"volta-chat","messages":[{"role":"user","content":"short"}]}`)
	w.record("caller", "a full engine: status %d (%s) after %v, come back after %s s", response.Code, errorSummary(response.Body.String()), time.Since(start), response.Header().Get("Retry-After"))
	is.True(time.Since(start) < 20*time.Second+time.Millisecond)
	wait.Wait()
	is.Equal(len(w.engines["engine-0"].Runs()), 2)
}

// cacheHitRateAfterStop stops an engine and returns the share of its chats that found their
// prefix cached on the engine that took over.
func cacheHitRateAfterStop(w *world, is *is.I) float64 {
	w.startAll(4, 0, 2)
	r := w.routers["router-0"]
	const chats = 24
	prompt := func(i int) string { return fmt.Sprintf("%d ", i) + strings.Repeat("shift log of the whole month ", 20) }
	firstChats := make(map[int]chatResult)
	for i := range chats {
		firstChats[i] = w.chat(r, "clinic", prompt(i), 2)
		w.waitForLoadUpdates()
	}
	stopped := firstChats[0].placement
	_, err := w.command(r, "ama", config.Command{ID: "stop", Changes: []config.Change{newChange("mark/"+stopped, config.Mark{Leaving: true})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	moved, cached := 0, 0
	for i := range chats {
		if firstChats[i].placement != stopped {
			continue
		}
		moved++
		got := w.returnChat(w.routers["router-1"], "clinic", prompt(i), firstChats[i])
		w.waitForLoadUpdates()
		is.True(got.done)
		is.True(got.placement != stopped)
		if got.cached > 0 {
			cached++
		}
	}
	w.dropEngineLines()
	w.record("engine", "%s is to stop; it handed the cache of %d chats on", stopped, w.agents["host-of-"+stopped].agent.CacheMoves())
	w.record("caller", "its %d chats came back elsewhere, %d found their prefix", moved, cached)
	return float64(cached) / float64(moved)
}

// placements checks that agents load the models that operators placed onto their engines
// without an election, and that engines that go and return cause few loads.
func placements(w *world, is *is.I) {
	for i := range 5 {
		w.addManaged(fmt.Sprintf("engine-%d", i))
	}
	w.addRouter("router-0")
	r := w.routers["router-0"]
	w.configure("clinic")
	placeModels := func(id string, volta, tips int) {
		_, err := w.command(r, "ama", config.Command{ID: id, Changes: []config.Change{
			newChange("placement/"+model, config.Placement{Replicas: volta}),
			newChange("placement/tips-chat", config.Placement{Replicas: tips}),
		}})
		is.NoErr(err)
		time.Sleep(time.Minute)
	}
	totalLoads := func() int {
		sum := 0
		for _, engine := range w.engines {
			sum += engine.Loads()
		}
		return sum
	}
	// Only the resulting models are recorded, because the order of loads within a second is not
	// significant.
	recordHoldings := func() {
		w.dropEngineLines()
		var holdings []string
		for _, peer := range r.members.Peers() {
			for _, t := range peer.Targets {
				holdings = append(holdings, fmt.Sprintf("%s holds %q", t.ID, t.Pool))
			}
		}
		w.record("operator", "%s; %d loads so far", strings.Join(holdings, ", "), totalLoads())
	}
	placeModels("place-1", 3, 1)
	is.Equal(totalLoads(), 4)
	recordHoldings()
	chat := w.chat(r, "clinic", "served by a placed engine", 3)
	w.record("caller", "a chat: %v", chat)
	is.True(chat.done)

	w.record("operator", "the host of %s dies", chat.placement)
	w.disconnect(w.agents["host-of-"+chat.placement])
	time.Sleep(2 * time.Minute)
	is.Equal(totalLoads(), 5) // the idle engine takes over
	recordHoldings()
	w.record("operator", "the host of %s is back", chat.placement)
	w.reconnect(w.agents["host-of-"+chat.placement])
	time.Sleep(2 * time.Minute)
	is.Equal(totalLoads(), 5) // the returned engine causes no further load
	recordHoldings()

	placeModels("place-2", 1, 3)
	recordHoldings()
	is.True(totalLoads() <= 8)
	is.Equal(w.weights.Refused(), 0) // taking turns keeps within the weight store's rate
	err := w.engines["engine-0"].Order(w.ctx, target.Order{Token: 1, Action: "unload", Model: model})
	w.record("engine", "an order with an old token: %v", err)
	is.True(err != nil)
}

// laggingRouter checks that a router without updates for 5 s still considers a marked target
// usable, but that the target's agent rejects new requests anyway.
func laggingRouter(w *world, is *is.I) {
	w.startAll(3, 0, 2)
	r, lagging := w.routers["router-0"], w.routers["router-1"]
	first := w.chat(lagging, "clinic", "a chat with a home", 2)
	lagging.setDisconnected(true)
	_, err := w.command(r, "ama", config.Command{ID: "stop", Changes: []config.Change{newChange("mark/"+first.placement, config.Mark{Leaving: true})}})
	is.NoErr(err)
	time.Sleep(2 * time.Second)
	runs := len(w.engines[first.placement].Runs())
	for range 6 {
		got := w.returnChat(lagging, "clinic", "a chat with a home", first)
		is.True(got.done)
		is.True(got.placement != first.placement)
		time.Sleep(500 * time.Millisecond)
	}
	is.Equal(len(w.engines[first.placement].Runs()), runs)
	w.dropEngineLines()
	w.record("caller", "6 chats through the lagging router, with tokens for %s: whole, from others", first.placement)
}
