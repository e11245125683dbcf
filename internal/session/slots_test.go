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

// effects counts how often a key took effect at all servers together.
func (w *world) effects(key string) int {
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

// ownerOf finds the server that ran a key.
func (w *world) ownerOf(key string) string {
	for id, server := range w.services {
		for _, effect := range server.Effects() {
			if effect.Key == key {
				return id
			}
		}
	}
	w.t.Fatalf("nobody ran %s", key)
	return ""
}

// pausedOwner: the owner is paused after it admitted a key and before it ran
// it; its slots move; it wakes and runs. Nobody else may run the key.
func pausedOwner(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	r := w.routers["router-0"]
	first := w.newKey("key-0")
	w.topUp(r, "clinic", first)
	owner := w.ownerOf(first)
	key := w.keyOwnedBy(owner, "key-1")
	hold, release := w.hold()
	w.services[owner].Inject(fakeservice.Fault{Before: hold})
	var wait sync.WaitGroup
	wait.Go(func() { w.topUp(r, "clinic", key) })
	synctest.Wait()
	w.say("service", "the host of %s is paused with key-1 admitted", owner)
	w.die(w.agents["host-of-"+owner])
	time.Sleep(20 * time.Second)
	w.topUp(w.routers["router-1"], "clinic", key)
	fresh := w.newKey("key-2")
	is.Equal(w.topUp(w.routers["router-1"], "clinic", fresh).Code, http.StatusOK) // the slots have a new owner
	w.say("service", "the host of %s wakes", owner)
	release()
	w.wake(w.agents["host-of-"+owner])
	time.Sleep(time.Minute) // its slots may go back to it meanwhile
	w.topUp(w.routers["router-1"], "clinic", key)
	wait.Wait()
	is.Equal(w.effects(key), 1)
}

// keyOwnedBy makes keys until one falls to an owner; the others are not sent.
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
	first := w.newKey("key-0")
	w.topUp(w.routers["router-0"], "clinic", first)
	owner := w.ownerOf(first)
	key := w.keyOwnedBy(owner, "key-1")
	hold, release := w.hold()
	w.services[owner].Inject(fakeservice.Fault{Hold: hold})
	var wait sync.WaitGroup
	wait.Go(func() { w.topUp(w.routers["router-0"], "clinic", key) })
	synctest.Wait()
	w.say("service", "the host of %s dies with key-1 under way", owner)
	w.die(w.agents["host-of-"+owner])
	wait.Wait()
	w.topUp(w.routers["router-1"], "clinic", key)
	time.Sleep(time.Minute) // by then the slots have a new owner
	for _, name := range []string{"router-2", "router-0"} {
		w.topUp(w.routers[name], "clinic", key)
	}
	release()
	time.Sleep(time.Second)
	is.Equal(w.effects(key), 1)
	fresh := w.newKey("key-2")
	is.Equal(w.topUp(w.routers["router-1"], "clinic", fresh).Code, http.StatusOK)
}

func handOver(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	r := w.routers["router-0"]
	first := w.newKey("key-0")
	w.topUp(r, "clinic", first)
	owner := w.ownerOf(first)
	hold, release := w.hold()
	w.services[owner].Inject(fakeservice.Fault{Hold: hold})
	running := w.keyOwnedBy(owner, "key-running")
	var wait sync.WaitGroup
	wait.Go(func() { is.Equal(w.topUp(r, "clinic", running).Code, http.StatusOK) })
	synctest.Wait()
	w.say("operator", "%s gets a planned stop", owner)
	drained := make(chan error, 1)
	wait.Go(func() { drained <- w.agents["host-of-"+owner].agent.Drain(w.ctx) })
	refused := 0
	for i := range 40 {
		key := w.newKey(fmt.Sprintf("key-%d", i+1))
		answer := w.call(r, "clinic", http.MethodPost, "/v1/services/"+service+"/credit", map[string]string{"Idempotency-Key": key}, "{}")
		if answer.Code != http.StatusOK {
			refused++
		}
		is.Equal(w.effects(key), 1)
		time.Sleep(100 * time.Millisecond)
	}
	w.quietService()
	w.say("caller", "40 new top-ups during the stop, %d refused", refused)
	is.Equal(refused, 0)
	w.topUp(r, "clinic", first) // answered from the record that was handed over
	is.Equal(w.effects(first), 1)
	release()
	is.NoErr(<-drained)
	wait.Wait()
	time.Sleep(time.Second)
	w.topUp(r, "clinic", running) // its outcome followed its slot
	is.Equal(w.effects(running), 1)
}

func (w *world) quietService() {
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
	answer := w.call(w.routers["router-0"], "clinic", http.MethodPost, "/v1/services/"+service+"/credit", header, "")
	w.say("caller", "asks what became of key-1: status %d (%s)", answer.Code, refusal(answer.Body.String()))
	is.Equal(refusal(answer.Body.String()), "idempotency_key_closed, not_run")
	w.topUp(w.routers["router-1"], "clinic", key) // a late copy through another router
	is.Equal(w.effects(key), 0)
}

func serviceAnswerLost(w *world, is *is.I) {
	w.startAll(0, 3, 2)
	key := w.newKey("key-1")
	for _, server := range w.services {
		server.Inject(fakeservice.Fault{LoseAnswer: true})
	}
	w.say("service", "every server loses its next answer")
	w.topUp(w.routers["router-0"], "clinic", key)
	w.topUp(w.routers["router-1"], "clinic", key)
	is.Equal(w.effects(key), 1)
	owner := w.ownerOf(key)
	busy := w.keyOwnedBy(owner, "key-2")
	w.services[owner].Inject(fakeservice.Fault{Refuse: true})
	w.say("service", "%s refuses one connection", owner)
	w.topUp(w.routers["router-1"], "clinic", busy)
	is.Equal(w.effects(busy), 0)
	w.topUp(w.routers["router-0"], "clinic", busy)
	is.Equal(w.effects(busy), 1)
}

// twoDeadHosts: an owner and its witness die together; their slots wait until
// an operator confirms it.
func twoDeadHosts(w *world, is *is.I) {
	w.startAll(0, 3, 1)
	r := w.routers["router-0"]
	first := w.newKey("key-0")
	w.topUp(r, "clinic", first)
	owner := w.ownerOf(first)
	witness := w.witnessOf(owner)
	lost := w.keyOwnedBy(owner, "key-1")
	w.say("service", "the hosts of %s and its witness die", owner)
	w.die(w.agents["host-of-"+owner])
	w.die(w.agents[witness])
	time.Sleep(time.Minute)
	is.True(w.topUp(r, "clinic", lost).Code != http.StatusOK)
	for _, dead := range []string{"host-of-" + owner, witness} {
		key := agent.LeaseKey(dead)
		held, err := w.store.Get(w.ctx, key)
		is.NoErr(err)
		_, err = w.store.Put(w.ctx, key, []byte("{}"), held.Version)
		is.NoErr(err)
	}
	w.say("operator", "ama confirms that both are dead")
	time.Sleep(time.Minute)
	is.Equal(w.topUp(r, "clinic", w.newKey("key-2")).Code, http.StatusOK)
	w.topUp(r, "clinic", lost)
	is.Equal(w.effects(lost), 0)
	is.Equal(w.effects(first), 1)
}

// witnessOf names the witness of a server's slots.
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

// wrongClock: a host's clock is beyond the bound; the agents notice.
func wrongClock(w *world, is *is.I) {
	w.startAll(0, 3, 1)
	before := w.agents["host-of-topup-0"].agent.ClockWarnings()
	w.say("service", "the clock of topup-0's host is set 5 s ahead")
	w.mu.Lock()
	w.agents["host-of-topup-0"].wrong = 5 * time.Second
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
	w.say("operator", "agents warn of clocks too far apart: %t", warned > 0)
}
