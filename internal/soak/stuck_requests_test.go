package soak

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestStopBesideStuckRequests guards against a planned stop that looks like a failure to the platform: a
// request that does not end within the grace period, or one that is never sent whole, made the process end with
// an exit code other than 0, or not before it was killed.
func TestStopBesideStuckRequests(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]func(s *soak, g *gateway) (wait func()){
		"a request without an answer":           (*soak).sendStuckRequest,
		"half a question about its readiness":   func(s *soak, g *gateway) func() { return s.sendHalf(g.ready) },
		"half a question about its metrics":     func(s *soak, g *gateway) func() { return s.sendHalf(s.settings["metrics"].(string)) },
		"half a request of a caller":            func(s *soak, g *gateway) func() { return s.sendHalf(g.callers) },
		"half a message of another gateway":     func(s *soak, g *gateway) func() { return s.sendHalf(g.peers) },
		"a store that answers nothing any more": (*soak).silenceStore,
		"signals to stop, again and again":      (*soak).stopAgain,
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &soak{t: t, binary: binary, seed: 1, grace: 2 * time.Second, stopped: make(map[string]bool)}
			s.settings = map[string]any{"metrics": freeAddress(t)}
			s.startPlainSystem(1, 1)
			defer s.stopSystem()
			g := s.gateways[0]
			s.awaitAnswer(g)
			wait := begin(s, g)
			stopped := g.signal(syscall.SIGTERM)
			timer := time.AfterFunc(s.grace, g.killLate)
			<-stopped
			timer.Stop()
			wait()
			is.Equal(g.ends(), nil)
		})
	}
}

// killLate kills the gateway's process as the platform does with one that is still there after its grace period:
// it counts as one that did not end as planned.
func (g *gateway) killLate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Kill() // it may have ended
}

// sendStuckRequest sends a request that no target answers.
func (s *soak) sendStuckRequest(g *gateway) (wait func()) {
	for _, server := range s.servers {
		server.Misbehave(emulator.Mute, -1)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	stuck := make(chan bool)
	go func() { stuck <- s.ask(client, g, "stuck", "/chat/1") }()
	for s.servers[1].InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	return func() { is.New(s.t).True(!<-stuck) }
}

// sendHalf sends the beginning of a request to an address, and nothing more.
func (s *soak) sendHalf(address string) (wait func()) {
	conn, err := net.Dial("tcp", address)
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET /"))
	is.New(s.t).NoErr(err)
	return func() {}
}

// silenceStore makes the store answer nothing any more.
func (s *soak) silenceStore(*gateway) (wait func()) {
	s.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
	return func() {}
}

// stopAgain tells the gateway's process to stop again and again, without a pause, once it has been told so.
func (s *soak) stopAgain(g *gateway) (wait func()) {
	g.mu.Lock()
	pid, done := g.cmd.Process.Pid, g.done
	g.mu.Unlock()
	var sender sync.WaitGroup
	sender.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			g.mu.Lock()
			if g.stopSignal == syscall.SIGTERM {
				_ = syscall.Kill(pid, syscall.SIGTERM) // it may have ended
			}
			g.mu.Unlock()
		}
	})
	return sender.Wait
}
