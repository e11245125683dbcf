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

// Each session is a story with its own checks; the golden file holds all that
// was seen.
func TestSessions(t *testing.T) {
	tests := map[string]func(w *world, is *is.I){
		"store lost for six hours":            storeLost,
		"paused owner wakes":                  pausedOwner,
		"surge of two workspaces":             surge,
		"planned stop with long streams":      plannedStop,
		"two operators in conflict":           operatorsInConflict,
		"lost answer of the store":            lostAnswer,
		"flapping engine":                     flappingEngine,
		"top-up through three routers":        topUpThroughThree,
		"planned stop hands over its slots":   handOver,
		"engine breaks in the middle":         brokenEngine,
		"store restored to an older state":    storeRestored,
		"deadline in the queue answers once":  deadlineInQueue,
		"a key that was closed stays closed":  closedKey,
		"answer of the service is lost":       serviceAnswerLost,
		"router restarts during store outage": routerRestart,
		"planned stop hands the cache on":     func(w *world, is *is.I) { is.Equal(cacheAfterStop(w, is), 1.0) },
		"operator confirms two dead hosts":    twoDeadHosts,
		"a host's clock is wrong":             wrongClock,
		"a router's list lags behind a mark":  laggingList,
		"placements are followed":             placements,
		"planned stop keeps the cache": func(w *world, is *is.I) {
			w.cache.KeepOnLeave = true
			is.Equal(cacheAfterStop(w, is), 0.0)
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				func() {
					defer w.end()
					play(w, is.New(t))
				}()
				w.compare()
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
	w.say("caller", "accra-shops sends 60 chats at once, clinic 2")
	var mu sync.Mutex
	ends := make(map[string]map[string]int)
	var wait sync.WaitGroup
	send := func(workspace string, i int) {
		wait.Go(func() {
			r := w.routers[fmt.Sprintf("router-%d", i%2)]
			got := w.chat(r, workspace, fmt.Sprintf("shift %d", i), 20)
			mu.Lock()
			defer mu.Unlock()
			if ends[workspace] == nil {
				ends[workspace] = make(map[string]int)
			}
			end := "whole"
			if !got.done {
				end = got.failure
			}
			ends[workspace][end]++
		})
	}
	for i := range 60 {
		send("accra-shops", i)
	}
	for i := range 2 {
		send("clinic", i)
	}
	worst := 0
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		for _, p := range w.agents {
			for _, load := range p.agent.Loads() {
				worst = max(worst, load.InFlight)
				is.True(load.InFlight <= load.Limit) // never above the bound
			}
		}
	}
	wait.Wait()
	time.Sleep(time.Until(w.began.Add(30 * time.Second)))
	w.quietEngines()
	w.say("engine", "most in flight at one engine: %d", worst)
	for _, workspace := range []string{"accra-shops", "clinic"} {
		w.say("caller", "%s: %v", workspace, ends[workspace])
	}
	is.Equal(ends["clinic"]["whole"], 2)
}

// quietEngines drops the engines' own lines, whose order within a surge says
// nothing.
func (w *world) quietEngines() {
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
	home := w.chat(r, "clinic", "a long report", 1).placement
	w.settle()
	var wait sync.WaitGroup
	wait.Go(func() {
		got := w.chat(r, "clinic", "a long report", 500)
		w.say("caller", "the long report: %v", got)
		is.True(got.done)
		is.Equal(got.pieces, 500)
		is.Equal(got.placement, home)
	})
	time.Sleep(time.Second)
	marked := time.Now()
	_, err := w.command(r, "ama", config.Command{ID: "stop", Changes: []config.Change{set("mark/"+home, config.Mark{Leaving: true})}})
	is.NoErr(err)
	time.Sleep(2 * time.Second)
	runs := len(w.engines[home].Runs())
	for i := range 4 {
		got := w.chat(w.routers[fmt.Sprintf("router-%d", i%2)], "clinic", "a long report", 2)
		w.say("caller", "the same chat %v after the mark: %v", time.Since(marked).Round(time.Second), got)
		is.True(got.placement != home)
	}
	is.Equal(len(w.engines[home].Runs()), runs) // nothing new came
	wait.Wait()
	w.say("engine", "%s has %d in flight", home, w.agents["host-of-"+home].agent.Loads()[home].InFlight)
}

func flappingEngine(w *world, is *is.I) {
	w.startAll(3, 0, 1)
	r := w.routers["router-0"]
	home := w.chat(r, "clinic", "flap", 1).placement
	w.settle()
	for round := range 4 {
		w.engines[home].Inject(fakeengine.Fault{CutAfter: 2})
		got := w.chat(r, "clinic", "flap", 6)
		w.say("caller", "round %d: %v", round+1, got)
		is.True(got.done)
		w.die(w.agents["host-of-"+home])
		time.Sleep(8 * time.Second)
		w.agents["host-of-"+home].close()
		w.addAgent("host-of-"+home, agent.Target{ID: home, Pool: model, Engine: w.engines[home]})
		w.network.SetDown("host-of-"+home, false)
		time.Sleep(4 * time.Second)
	}
	got := w.chat(r, "clinic", "flap", 6)
	w.say("caller", "after four restarts in a minute: %v", got)
	is.True(got.done)
	is.True(got.placement != home) // held back until it is steady
	time.Sleep(3 * time.Minute)
	got = w.chat(r, "clinic", "flap", 6)
	w.say("caller", "three quiet minutes later: %v", got)
	is.Equal(got.placement, home)
}

func brokenEngine(w *world, is *is.I) {
	w.startAll(3, 0, 1)
	r := w.routers["router-0"]
	whole := w.chat(r, "clinic", "a fault summary", 12)
	w.say("caller", "undisturbed: %v", whole)
	w.settle()
	w.engines[whole.placement].Inject(fakeengine.Fault{CutAfter: 5})
	cut := w.chat(r, "clinic", "a fault summary", 12)
	w.say("caller", "the engine breaks after 5 pieces: %v", cut)
	w.settle()
	is.Equal(cut.text, whole.text)
	for _, engine := range w.engines {
		engine.Inject(fakeengine.Fault{CutAfter: 1}, fakeengine.Fault{CutAfter: 1}, fakeengine.Fault{CutAfter: 1}, fakeengine.Fault{CutAfter: 1})
	}
	none := w.chat(r, "clinic", "a fault summary", 12)
	w.say("caller", "every engine breaks: %v", none)
	is.True(!none.done && none.failure != "")
}

func deadlineInQueue(w *world, is *is.I) {
	w.gate.MaxInFlight = 2
	w.startAll(1, 0, 1)
	r := w.routers["router-0"]
	var wait sync.WaitGroup
	for i := range 2 {
		wait.Go(func() { w.chat(r, "accra-shops", fmt.Sprintf("long %d", i), 1500) })
	}
	time.Sleep(time.Second)
	began := time.Now()
	answer := w.call(r, "clinic", http.MethodPost, "/v1/chat/completions", map[string]string{"Capersaddle-Timeout": "20s"},
		`{"model":"volta-chat","messages":[{"role":"user","content":"short"}]}`)
	w.say("caller", "a full engine: status %d (%s) after %v, come back after %s s", answer.Code, refusal(answer.Body.String()), time.Since(began), answer.Header().Get("Retry-After"))
	is.True(time.Since(began) < 20*time.Second+time.Millisecond)
	wait.Wait()
	is.Equal(len(w.engines["engine-0"].Runs()), 2)
}

// cacheAfterStop stops an engine and tells which share of its chats found
// their prefixes at their next homes.
func cacheAfterStop(w *world, is *is.I) float64 {
	w.startAll(4, 0, 2)
	r := w.routers["router-0"]
	const chats = 24
	long := func(i int) string { return fmt.Sprintf("%d ", i) + strings.Repeat("shift log of the whole month ", 20) }
	homes := make(map[int]streamed)
	for i := range chats {
		homes[i] = w.chat(r, "clinic", long(i), 2)
		w.settle()
	}
	stopped := homes[0].placement
	_, err := w.command(r, "ama", config.Command{ID: "stop", Changes: []config.Change{set("mark/"+stopped, config.Mark{Leaving: true})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	moved, cached := 0, 0
	for i := range chats {
		if homes[i].placement != stopped {
			continue
		}
		moved++
		got := w.returning(w.routers["router-1"], "clinic", long(i), homes[i])
		w.settle()
		is.True(got.done)
		is.True(got.placement != stopped)
		if got.cached > 0 {
			cached++
		}
	}
	w.quietEngines()
	w.say("engine", "%s is to stop; it handed the cache of %d chats on", stopped, w.agents["host-of-"+stopped].agent.CacheMoves())
	w.say("caller", "its %d chats came back elsewhere, %d found their prefix", moved, cached)
	return float64(cached) / float64(moved)
}

// placements: agents give their engines the models that the operators placed,
// without an election; engines that come and go cause few loads.
func placements(w *world, is *is.I) {
	for i := range 5 {
		w.addManaged(fmt.Sprintf("engine-%d", i))
	}
	w.addRouter("router-0")
	r := w.routers["router-0"]
	w.configure("clinic")
	place := func(id string, volta, tips int) {
		_, err := w.command(r, "ama", config.Command{ID: id, Changes: []config.Change{
			set("placement/"+model, config.Placement{Replicas: volta}),
			set("placement/tips-chat", config.Placement{Replicas: tips}),
		}})
		is.NoErr(err)
		time.Sleep(time.Minute)
	}
	loads := func() int {
		sum := 0
		for _, engine := range w.engines {
			sum += engine.Loads()
		}
		return sum
	}
	// The order of loads within a second says nothing; what is held does.
	show := func() {
		w.quietEngines()
		var held []string
		for _, peer := range r.members.Peers() {
			for _, t := range peer.Targets {
				held = append(held, fmt.Sprintf("%s holds %q", t.ID, t.Pool))
			}
		}
		w.say("operator", "%s; %d loads so far", strings.Join(held, ", "), loads())
	}
	place("place-1", 3, 1)
	is.Equal(loads(), 4)
	show()
	held := w.chat(r, "clinic", "served by a placed engine", 3)
	w.say("caller", "a chat: %v", held)
	is.True(held.done)

	w.say("operator", "the host of %s dies", held.placement)
	w.die(w.agents["host-of-"+held.placement])
	time.Sleep(2 * time.Minute)
	is.Equal(loads(), 5) // the idle engine stands in
	show()
	w.say("operator", "the host of %s is back", held.placement)
	w.wake(w.agents["host-of-"+held.placement])
	time.Sleep(2 * time.Minute)
	is.Equal(loads(), 5) // and stays
	show()

	place("place-2", 1, 3)
	show()
	is.True(loads() <= 8)
	is.Equal(w.weights.Refused(), 0) // the turns keep the weight store's rate
	err := w.engines["engine-0"].Order(w.ctx, target.Order{Token: 1, Action: "unload", Model: model})
	w.say("engine", "an order with an old token: %v", err)
	is.True(err != nil)
}

// laggingList: a router that hears nothing for 5 s still believes in a target
// that was marked; the target's agent takes nothing new all the same.
func laggingList(w *world, is *is.I) {
	w.startAll(3, 0, 2)
	r, lagging := w.routers["router-0"], w.routers["router-1"]
	before := w.chat(lagging, "clinic", "a chat with a home", 2)
	lagging.setCut(true)
	_, err := w.command(r, "ama", config.Command{ID: "stop", Changes: []config.Change{set("mark/"+before.placement, config.Mark{Leaving: true})}})
	is.NoErr(err)
	time.Sleep(2 * time.Second)
	runs := len(w.engines[before.placement].Runs())
	for range 6 {
		got := w.returning(lagging, "clinic", "a chat with a home", before)
		is.True(got.done)
		is.True(got.placement != before.placement)
		time.Sleep(500 * time.Millisecond)
	}
	is.Equal(len(w.engines[before.placement].Runs()), runs)
	w.quietEngines()
	w.say("caller", "6 chats through the lagging router, with tokens for %s: whole, from others", before.placement)
}
