package session

import (
	"fmt"
	"net/http"
	"sync"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/config"
)

func storeLost(w *world, is *is.I) {
	w.startAll(1, 2, 2)
	r := w.routers["router-0"]
	w.topUp(r, "clinic", w.newKey("key-1"))
	w.store.SetAway(true)
	w.say("store", "goes away")
	for hour := range 6 {
		time.Sleep(time.Hour)
		w.say("caller", "hour %d: chat %v", hour+1, w.chat(r, "clinic", "balance?", 3))
		is.Equal(w.topUp(r, "clinic", w.newKey(fmt.Sprintf("key-of-hour-%d", hour+1))).Code, http.StatusOK)
		if hour == 2 {
			w.say("operator", "router-1 is replaced")
			w.routers["router-1"].close()
			w.network.SetDown("router-1", true)
			w.addRouter("router-1")
			w.network.SetDown("router-1", false)
			time.Sleep(5 * time.Second)
			w.say("operator", "router-1 is at revision %d", w.routers["router-1"].state.Revision())
			is.True(w.routers["router-1"].router.Ready()) // it took the configuration from a peer
		}
	}
	_, err := w.command(r, "kofi", config.Command{ID: "during", Changes: []config.Change{set("workspace/new", config.Workspace{})}})
	is.True(err != nil)
	w.store.SetAway(false)
	w.say("store", "comes back")
	time.Sleep(time.Minute)
	_, err = w.command(r, "kofi", config.Command{ID: "after", Changes: []config.Change{set("workspace/new", config.Workspace{})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	is.Equal(w.routers["router-1"].state.Revision(), uint64(2))
	w.say("operator", "router-1 is at revision %d", w.routers["router-1"].state.Revision())
}

func operatorsInConflict(w *world, is *is.I) {
	w.startAll(1, 0, 2)
	var wait sync.WaitGroup
	for i, who := range []string{"ama", "kofi"} {
		wait.Go(func() {
			p := w.routers[fmt.Sprintf("router-%d", i)]
			_, _ = w.command(p, who, config.Command{ID: "by-" + who, IfRevision: 1, Changes: []config.Change{set("workspace/clinic", config.Workspace{Share: i + 2})}})
		})
		synctest.Wait()
	}
	wait.Wait()
	time.Sleep(5 * time.Second)
	for _, name := range []string{"router-0", "router-1"} {
		p := w.routers[name]
		w.say("operator", "%s is at revision %d, clinic has share %d", name, p.state.Revision(), p.state.View().Workspaces["clinic"].Share)
		is.Equal(p.state.Revision(), uint64(2))
	}
}

func lostAnswer(w *world, is *is.I) {
	w.startAll(1, 0, 1)
	r := w.routers["router-0"]
	w.store.LoseAnswers(2)
	w.say("store", "loses its next two answers")
	change := config.Command{ID: "lost", Changes: []config.Change{set("workspace/kitchen", config.Workspace{})}}
	_, first := w.command(r, "kofi", change)
	result, err := w.command(r, "kofi", change)
	is.NoErr(err)
	is.True(first == nil || result.Repeat)
	time.Sleep(5 * time.Second)
	is.Equal(r.state.Revision(), uint64(2)) // once, not twice
	w.say("operator", "router-0 is at revision %d", r.state.Revision())
}

func storeRestored(w *world, is *is.I) {
	w.startAll(1, 0, 2)
	r := w.routers["router-0"]
	old := w.store.Snapshot()
	_, err := w.command(r, "ama", config.Command{ID: "second", Changes: []config.Change{set("workspace/kitchen", config.Workspace{})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	w.store.Restore(old)
	w.say("store", "is put back to revision 1")
	time.Sleep(5 * time.Second)
	for _, name := range []string{"router-0", "router-1"} {
		w.say("operator", "%s is at revision %d", name, w.routers[name].state.Revision())
		is.Equal(w.routers[name].state.Revision(), uint64(2))
	}
	_, err = w.command(r, "kofi", config.Command{ID: "third", Changes: []config.Change{set("workspace/late", config.Workspace{})}})
	is.True(err != nil)
	result, err := r.editor.Republish(w.ctx, "mend", "ama")
	is.NoErr(err)
	w.say("operator", "ama republishes: accepted at revision %d", result.Revision)
	time.Sleep(5 * time.Second)
	_, err = w.command(r, "kofi", config.Command{ID: "third", Changes: []config.Change{set("workspace/late", config.Workspace{})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	_, kept := w.routers["router-1"].state.View().Workspaces["kitchen"]
	is.True(kept) // what was accepted before is still there
}

func routerRestart(w *world, is *is.I) {
	w.startAll(1, 0, 2)
	w.store.SetAway(true)
	w.say("store", "goes away")
	w.routers["router-0"].close()
	w.network.SetDown("router-0", true)
	fresh := w.addRouter("router-0")
	is.True(!fresh.router.Ready()) // not before it holds a configuration
	w.say("operator", "router-0 is replaced and not ready")
	w.network.SetDown("router-0", false)
	time.Sleep(5 * time.Second)
	is.True(fresh.router.Ready())
	w.say("operator", "router-0 is ready at revision %d", fresh.state.Revision())
	w.say("caller", "a chat through it: %v", w.chat(fresh, "clinic", "hello", 2))
}
