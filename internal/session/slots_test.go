package session

import (
	"fmt"
	"net/http"
	"sync"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/target/fakeservice"
)

// countEffects returns how often a key took effect, over all servers.
func (w *world) countEffects(key string) int {
	count := 0
	for _, server := range w.services {
		for _, effect := range server.Effects() {
			if effect.Key == key {
				count++
			}
		}
	}
	return count
}

// ownerOf returns the server that ran a key.
func (w *world) ownerOf(key string) string {
	for id, server := range w.services {
		for _, effect := range server.Effects() {
			if effect.Key == key {
				return id
			}
		}
	}
	w.t.Fatalf("no server ran %s", key)
	return ""
}

// pausedOwner checks that no other server runs a key whose owner is paused after admitting the
// key and before running it. The owner's slots move meanwhile; then the owner wakes and runs
// the key.
func pausedOwner(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	r := w.routers["router-0"]
	firstKey := w.newKey("key-0")
	w.topUp(r, "clinic", firstKey)
	owner := w.ownerOf(firstKey)
	key := w.keyOwnedBy(owner, "key-1")
	hold, release := w.newHold()
	w.services[owner].Inject(fakeservice.Fault{Before: hold})
	var wait sync.WaitGroup
	wait.Go(func() { w.topUp(r, "clinic", key) })
	synctest.Wait()
	w.record("service", "the host of %s is paused with key-1 admitted", owner)
	w.disconnect(w.agents["host-of-"+owner])
	time.Sleep(20 * time.Second)
	w.topUp(w.routers["router-1"], "clinic", key)
	freshKey := w.newKey("key-2")
	is.Equal(w.topUp(w.routers["router-1"], "clinic", freshKey).Code, http.StatusOK) // the slots have a new owner
	w.record("service", "the host of %s wakes", owner)
	release()
	w.reconnect(w.agents["host-of-"+owner])
	time.Sleep(time.Minute) // its slots may move back to it meanwhile
	w.topUp(w.routers["router-1"], "clinic", key)
	wait.Wait()
	is.Equal(w.countEffects(key), 1)
}

// keyOwnedBy creates keys until one belongs to the given owner. The other keys are discarded.
func (w *world) keyOwnedBy(server, name string) string {
	if w.agents["host-of-"+server] == nil {
		w.t.Fatalf("no server %q", server)
	}
	for {
		key := w.newKey(name)
		if w.agents["host-of-"+server].agent.OwnsKey(service, "clinic", key) {
			return key
		}
		w.mu.Lock()
		delete(w.names, key)
		w.mu.Unlock()
	}
}

func topUpThroughThree(w *world, is *is.I) {
	w.startAll(0, 3, 3)
	firstKey := w.newKey("key-0")
	w.topUp(w.routers["router-0"], "clinic", firstKey)
	owner := w.ownerOf(firstKey)
	key := w.keyOwnedBy(owner, "key-1")
	hold, release := w.newHold()
	w.services[owner].Inject(fakeservice.Fault{Hold: hold})
	var wait sync.WaitGroup
	wait.Go(func() { w.topUp(w.routers["router-0"], "clinic", key) })
	synctest.Wait()
	w.record("service", "the host of %s dies with key-1 under way", owner)
	w.disconnect(w.agents["host-of-"+owner])
	wait.Wait()
	w.topUp(w.routers["router-1"], "clinic", key)
	time.Sleep(time.Minute) // by then the slots have a new owner
	for _, name := range []string{"router-2", "router-0"} {
		w.topUp(w.routers[name], "clinic", key)
	}
	release()
	time.Sleep(time.Second)
	is.Equal(w.countEffects(key), 1)
	freshKey := w.newKey("key-2")
	is.Equal(w.topUp(w.routers["router-1"], "clinic", freshKey).Code, http.StatusOK)
}

func slotHandover(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	r := w.routers["router-0"]
	firstKey := w.newKey("key-0")
	w.topUp(r, "clinic", firstKey)
	owner := w.ownerOf(firstKey)
	hold, release := w.newHold()
	w.services[owner].Inject(fakeservice.Fault{Hold: hold})
	runningKey := w.keyOwnedBy(owner, "key-running")
	var wait sync.WaitGroup
	wait.Go(func() { is.Equal(w.topUp(r, "clinic", runningKey).Code, http.StatusOK) })
	synctest.Wait()
	w.record("operator", "%s gets a planned stop", owner)
	drained := make(chan error, 1)
	wait.Go(func() { drained <- w.agents["host-of-"+owner].agent.Drain(w.ctx) })
	refused := 0
	for i := range 40 {
		key := w.newKey(fmt.Sprintf("key-%d", i+1))
		response := w.call(r, "clinic", http.MethodPost, "/v1/services/"+service+"/credit", map[string]string{"Idempotency-Key": key}, "{}")
		if response.Code != http.StatusOK {
			refused++
		}
		is.Equal(w.countEffects(key), 1)
		time.Sleep(100 * time.Millisecond)
	}
	w.dropServiceLines()
	w.record("caller", "40 new top-ups during the stop, %d refused", refused)
	is.Equal(refused, 0)
	w.topUp(r, "clinic", firstKey) // answered from the record that was handed over
	is.Equal(w.countEffects(firstKey), 1)
	release()
	is.NoErr(<-drained)
	wait.Wait()
	time.Sleep(time.Second)
	w.topUp(r, "clinic", runningKey) // its outcome was handed over with its slot
	is.Equal(w.countEffects(runningKey), 1)
}

func (w *world) dropServiceLines() {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.lines[:0]
	for _, l := range w.lines {
		if l.actor != "service" {
			kept = append(kept, l)
		}
	}
	w.lines = kept
}

func closedKey(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	key := w.newKey("key-1")
	header := map[string]string{"Idempotency-Key": key, "Capersaddle-Settle": "1"}
	response := w.call(w.routers["router-0"], "clinic", http.MethodPost, "/v1/services/"+service+"/credit", header, "")
	w.record("caller", "asks what became of key-1: status %d (%s)", response.Code, errorSummary(response.Body.String()))
	is.Equal(errorSummary(response.Body.String()), "idempotency_key_closed, not_run")
	w.topUp(w.routers["router-1"], "clinic", key) // a late copy through another router
	is.Equal(w.countEffects(key), 0)
}

func lostServiceAnswer(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	key := w.newKey("key-1")
	for _, server := range w.services {
		server.Inject(fakeservice.Fault{LoseAnswer: true})
	}
	w.record("service", "every server loses its next answer")
	w.topUp(w.routers["router-0"], "clinic", key)
	w.topUp(w.routers["router-1"], "clinic", key)
	is.Equal(w.countEffects(key), 1)
	owner := w.ownerOf(key)
	refusedKey := w.keyOwnedBy(owner, "key-2")
	w.services[owner].Inject(fakeservice.Fault{Refuse: true})
	w.record("service", "%s refuses one connection", owner)
	w.topUp(w.routers["router-1"], "clinic", refusedKey)
	is.Equal(w.countEffects(refusedKey), 0)
	w.topUp(w.routers["router-0"], "clinic", refusedKey)
	is.Equal(w.countEffects(refusedKey), 1)
}

// twoDeadHosts checks that the slots of an owner that dies together with its witness stay
// blocked until an operator confirms both deaths.
func twoDeadHosts(w *world, is *is.I) {
	w.startAll(0, 3, 1)
	r := w.routers["router-0"]
	firstKey := w.newKey("key-0")
	w.topUp(r, "clinic", firstKey)
	owner := w.ownerOf(firstKey)
	witness := w.witnessOf(owner)
	lostKey := w.keyOwnedBy(owner, "key-1")
	w.record("service", "the hosts of %s and its witness die", owner)
	w.disconnect(w.agents["host-of-"+owner])
	w.disconnect(w.agents[witness])
	time.Sleep(time.Minute)
	is.True(w.topUp(r, "clinic", lostKey).Code != http.StatusOK)
	for _, deadHost := range []string{"host-of-" + owner, witness} {
		key := agent.LeaseKey(deadHost)
		lease, err := w.store.Get(w.ctx, key)
		is.NoErr(err)
		_, err = w.store.Put(w.ctx, key, []byte("{}"), lease.Version)
		is.NoErr(err)
	}
	w.record("operator", "ama confirms that both are dead")
	time.Sleep(time.Minute)
	is.Equal(w.topUp(r, "clinic", w.newKey("key-2")).Code, http.StatusOK)
	w.topUp(r, "clinic", lostKey)
	is.Equal(w.countEffects(lostKey), 0)
	is.Equal(w.countEffects(firstKey), 1)
}

// witnessOf returns the witness of a server's slots.
func (w *world) witnessOf(server string) string {
	value, err := w.store.Get(w.ctx, agent.TableKey(service))
	is.New(w.t).NoErr(err)
	table, err := once.ParseTable(value.Data, value.Version)
	is.New(w.t).NoErr(err)
	for _, slot := range table.Slots {
		if slot.Owner.Agent == "host-of-"+server {
			return slot.Witness.Agent
		}
	}
	return ""
}

// wrongClock checks that agents notice a host whose clock error exceeds the bound.
func wrongClock(w *world, is *is.I) {
	w.startAll(0, 3, 1)
	before := w.agents["host-of-topup-0"].agent.ClockWarnings()
	w.record("service", "the clock of topup-0's host is set 5 s ahead")
	w.mu.Lock()
	w.agents["host-of-topup-0"].clockError = 5 * time.Second
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
	warned := 0
	for _, p := range w.agents {
		if p.agent.ClockWarnings() > 0 {
			warned++
		}
	}
	is.Equal(before, int64(0))
	is.True(warned > 0)
	w.record("operator", "agents warn of clocks too far apart: %t", warned > 0)
}
