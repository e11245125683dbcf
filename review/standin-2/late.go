//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateBy is how long after it was sent the last write of a life is done: the pages say 1 to 6 s.
	lateBy = 4500 * time.Millisecond
	// clientPause is the time between two requests of a client.
	clientPause = 40 * time.Millisecond
	clients     = 4
)

// entryOf returns an entry as the server would write it in a life.
func (s *server) entryOf(born int64, state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "tema-hall", "version": s.version, "slots": s.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 3, "born": born,
	})
	return data
}

// bornAt returns the start of the server's present life.
func (s *server) bornAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// late has the last write of a server's life before done while the server leaves.
func late(r *rig, trouble bool) (string, error) {
	began := time.Now().UnixMilli()
	var leaving atomic.Pointer[server]
	r.configure(configOf(3))
	for i := range 3 {
		s, err := r.addServer(plainService, fmt.Sprintf("i-%d", i), func(s *server, c *serverConn, a *arrival) {
			if a.isQuestion() {
				c.answer(s, a, 200, "X-Instance-Id: "+s.id+"\r\n", fmt.Sprintf(`{"born":%d}`, s.bornAt()))
				return
			}
			s.run(a)
			time.Sleep(usualWork)
			extra := s.stamp()
			if leaving.Load() == s {
				extra += "Server-Leaving: 1\r\n"
			}
			c.answer(s, a, 200, extra, "paid")
		})
		if err != nil {
			return "", err
		}
		s.mu.Lock()
		s.born = began
		s.mu.Unlock()
		s.list()
	}
	if err := r.addGateways(1); err != nil {
		return "", err
	}
	first := r.servers[0]
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var passedOn time.Time
	var stop atomic.Bool
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() {
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("pay-%d-%d", i, n)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				got := call(r.gateways[0], "POST", "/pay/"+id, id, "", "amount=1", time.Second)
				mu.Lock()
				if got.header.Get("Server-Leaving") == "1" && passedOn.IsZero() {
					passedOn = time.Now()
					r.note("client: %s -> %v, with Server-Leaving: 1", id, got)
				}
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	time.Sleep(2 * time.Second)
	// A planned restart under the same id. The last write of the first life gets no answer.
	lastWrite := time.Now()
	old := first.entryOf(began, "ready")
	first.mu.Lock()
	first.born = time.Now().UnixMilli()
	first.mu.Unlock()
	first.list()
	r.note("server i-0 has begun again under its id; the last write of the life before has got no answer")
	time.Sleep(time.Second)
	// The server leaves as planned.
	leaving.Store(first)
	time.Sleep(200 * time.Millisecond) // until the store has taken its entry
	first.mu.Lock()
	first.state = "draining"
	first.mu.Unlock()
	first.list()
	r.note("server i-0 says that it leaves: in its entry, which is acknowledged, and in its answers")
	time.Sleep(time.Until(lastWrite.Add(lateBy)))
	if trouble {
		r.store.Put("servers/i-0", old)
		r.note("store: the last write of the first life of i-0 is done, %v after it was sent", time.Since(lastWrite).Round(time.Millisecond))
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	wait.Wait()
	if passedOn.IsZero() {
		return "", fmt.Errorf("no answer with Server-Leaving was passed on")
	}
	count := 0
	for _, a := range first.seen() {
		if sent := sentAt[a.id]; sent.After(passedOn.Add(drainMs * time.Millisecond)) {
			count++
			r.note("server i-0 runs %s, sent %.3f s after gateway-0 had passed on that it leaves", a.id, sent.Sub(passedOn).Seconds())
		}
	}
	if count > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a server that leaves", count), nil
	}
	return "", nil
}
