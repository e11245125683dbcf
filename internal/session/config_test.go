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

func storeOutage(w *world, is *is.I) {
	w.startAll(1, 2, 2)
	r := w.routers["router-0"]
	w.topUp(r, "clinic", w.newKey("key-1"))
	w.store.SetAway(true)
	w.record("store", "goes away")
	for hour := range 6 {
		time.Sleep(time.Hour)
		w.record("caller", "hour %d: chat %v", hour+1, w.chat(r, "clinic", "balance?", 3))
		is.Equal(w.topUp(r, "clinic", w.newKey(fmt.Sprintf("key-of-hour-%d", hour+1))).Code, http.StatusOK)
		if hour == 2 {
			w.record("operator", "router-1 is replaced")
			w.routers["router-1"].close()
			w.network.SetDown("router-1", true)
			w.addRouter("router-1")
			w.network.SetDown("router-1", false)
			time.Sleep(5 * time.Second)
			w.record("operator", "router-1 is at revision %d", w.routers["router-1"].state.Revision())
			is.True(w.routers["router-1"].router.Ready()) // it got the configuration from a peer
		}
	}
	_, err := w.command(r, "kofi", config.Command{ID: "during", Changes: []config.Change{newChange("workspace/new", config.Workspace{})}})
	is.True(err != nil)
	w.store.SetAway(false)
	w.record("store", "comes back")
	time.Sleep(time.Minute)
	_, err = w.command(r, "kofi", config.Command{ID: "after", Changes: []config.Change{newChange("workspace/new", config.Workspace{})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	is.Equal(w.routers["router-1"].state.Revision(), uint64(2))
	w.record("operator", "router-1 is at revision %d", w.routers["router-1"].state.Revision())
}

func conflictingOperators(w *world, is *is.I) {
	w.startAll(1, 0, 2)
	var wait sync.WaitGroup
	for i, operator := range []string{"ama", "kofi"} {
		wait.Go(func() {
			p := w.routers[fmt.Sprintf("router-%d", i)]
			_, _ = w.command(p, operator, config.Command{ID: "by-" + operator, IfRevision: 1, Changes: []config.Change{newChange("workspace/clinic", config.Workspace{Share: i + 2})}})
		})
		synctest.Wait()
	}
	wait.Wait()
	time.Sleep(5 * time.Second)
	for _, name := range []string{"router-0", "router-1"} {
		p := w.routers[name]
		w.record("operator", "%s is at revision %d, clinic has share %d", name, p.state.Revision(), p.state.View().Workspaces["clinic"].Share)
		is.Equal(p.state.Revision(), uint64(2))
	}
}

func lostStoreAnswer(w *world, is *is.I) {
	w.startAll(1, 0, 1)
	r := w.routers["router-0"]
	w.store.LoseAnswers(2)
	w.record("store", "loses its next two answers")
	change := config.Command{ID: "lost", Changes: []config.Change{newChange("workspace/kitchen", config.Workspace{})}}
	_, firstErr := w.command(r, "kofi", change)
	result, err := w.command(r, "kofi", change)
	is.NoErr(err)
	is.True(firstErr == nil || result.Repeat)
	time.Sleep(5 * time.Second)
	is.Equal(r.state.Revision(), uint64(2)) // applied once, not twice
	w.record("operator", "router-0 is at revision %d", r.state.Revision())
}

func storeRestored(w *world, is *is.I) {
	w.startAll(1, 0, 2)
	r := w.routers["router-0"]
	snapshot := w.store.Snapshot()
	_, err := w.command(r, "ama", config.Command{ID: "second", Changes: []config.Change{newChange("workspace/kitchen", config.Workspace{})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	w.store.Restore(snapshot)
	w.record("store", "is put back to revision 1")
	time.Sleep(5 * time.Second)
	for _, name := range []string{"router-0", "router-1"} {
		w.record("operator", "%s is at revision %d", name, w.routers[name].state.Revision())
		is.Equal(w.routers[name].state.Revision(), uint64(2))
	}
	_, err = w.command(r, "kofi", config.Command{ID: "third", Changes: []config.Change{newChange("workspace/late", config.Workspace{})}})
	is.True(err != nil)
	result, err := r.editor.Republish(w.ctx, "mend", "ama")
	is.NoErr(err)
	w.record("operator", "ama republishes: accepted at revision %d", result.Revision)
	time.Sleep(5 * time.Second)
	_, err = w.command(r, "kofi", config.Command{ID: "third", Changes: []config.Change{newChange("workspace/late", config.Workspace{})}})
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	_, present := w.routers["router-1"].state.View().Workspaces["kitchen"]
	is.True(present) // the accepted change was not lost
}

func routerRestart(w *world, is *is.I) {
	w.startAll(1, 0, 2)
	w.store.SetAway(true)
	w.record("store", "goes away")
	w.routers["router-0"].close()
	w.network.SetDown("router-0", true)
	replacement := w.addRouter("router-0")
	is.True(!replacement.router.Ready()) // not ready before it has a configuration
	w.record("operator", "router-0 is replaced and not ready")
	w.network.SetDown("router-0", false)
	time.Sleep(5 * time.Second)
	is.True(replacement.router.Ready())
	w.record("operator", "router-0 is ready at revision %d", replacement.state.Revision())
	w.record("caller", "a chat through it: %v", w.chat(replacement, "clinic", "hello", 2))
}
