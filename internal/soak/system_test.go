package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/loopback"
)

// gateway is one process and where it listens.
type gateway struct {
	id      string
	file    string
	callers string
	log     string
	// store stands between the gateway and the store.
	store    *proxy
	stopping atomic.Bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// lives counts the processes that were started.
	lives int
}

// life names the gateway's process of this moment.
func (g *gateway) life() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%s/%d", g.id, g.lives)
}

// ports are drawn by all seeds.
var ports loopback.Ports

// freeAddress gives an address that nobody else gets.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (s *soak) begin(gateways int) {
	is := is.New(s.t)
	made, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = made
	s.config = emulator.Config{
		Routes: []emulator.Route{
			{Name: "pay", Host: host, Prefix: "/pay/", Kind: "non_idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 100, MaxAttempts: 1},
			{Name: "ask", Host: host, Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 100, MaxAttempts: 2},
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 4000, LatencyMs: 300, GapMs: 200, MaxAttempts: 2, Resumable: true},
		},
		Services: []emulator.Service{{Name: "plain", ColdPerS: coldRate}, {Name: "engine", ColdPerS: coldRate, Engine: map[string]any{"slots": 8}}},
		Limits:   emulator.Limits{BodyBytes: 1 << 20, IdleMs: 15000},
	}
	s.accept()
	for i := range servers {
		s.addServer(fmt.Sprintf("p-%d", i))
		s.addServer(fmt.Sprintf("e-%d", i))
	}
	for number := range s.servers {
		is.NoErr(s.enter(number, "ready"))
	}
	s.addTrials()
	s.platform.Store.Observe(s.observe)
	dir := s.t.TempDir()
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, s.addGateway(dir, fmt.Sprintf("gateway-%d", i), seeds))
	}
}

// addServer starts a server that gateways reach through a proxy, by its entry.
func (s *soak) addServer(id string) {
	is := is.New(s.t)
	options := emulator.ServerOptions{ID: id, Version: releaseOf(id), Work: work, Gap: 5 * time.Millisecond}
	if serviceOf(id) == "engine" {
		options.Events = streamEvents
	}
	server, err := emulator.NewServer("127.0.0.1:0", options)
	is.NoErr(err)
	link, err := newProxy(server.Address())
	is.NoErr(err)
	s.servers = append(s.servers, server)
	s.links = append(s.links, link)
}

// enter writes a server's entry with a state.
func (s *soak) enter(number int, state string) error {
	return s.enterCold(number, state, 0)
}

// enterCold is the same of a server that is cold for a while. One that has stopped has
// no entry.
func (s *soak) enterCold(number int, state string, cold time.Duration) error {
	s.entries.Lock()
	defer s.entries.Unlock()
	id := s.servers[number].ID()
	if s.stopped[id] {
		return nil
	}
	return s.platform.EnterAt(emulator.Entry{
		ID: id, Service: serviceOf(id), Zone: placeOf(id), Address: s.links[number].address(),
		Version: releaseOf(id), State: state, Cold: cold,
	})
}

// stop ends a server at once, and its entry.
func (s *soak) stop(number int) {
	s.entries.Lock()
	defer s.entries.Unlock()
	server := s.servers[number]
	s.stopped[server.ID()] = true
	s.platform.Leave(server)
	_ = server.Close()
}

func serviceOf(id string) string {
	if strings.HasPrefix(id, "e-") {
		return "engine"
	}
	return "plain"
}

// addGateway writes settings and starts a gateway; it returns its address for
// peers.
func (s *soak) addGateway(dir, id string, seeds []string) string {
	store, err := newProxy(s.platform.StoreAddress())
	is.New(s.t).NoErr(err)
	g := &gateway{id: id, file: filepath.Join(dir, id+".json"), callers: freeAddress(s.t), log: filepath.Join(dir, id+".log"), store: store}
	peers := freeAddress(s.t)
	data, err := json.Marshal(map[string]any{
		"role": "gateway", "id": id, "data_center": "dc", "callers": g.callers, "ready": freeAddress(s.t), "peers": peers,
		"seeds": append([]string{}, seeds...), "store": store.address(), "revocation": revocation.String(), "grace": "6s",
		"retry":   map[string]any{"ratio": retryRatio, "slack": retrySlack, "window": retryWindow.String()},
		"rollout": map[string]any{"share": trialShare, "slack": trialSlack, "rollback": rollback.String()},
		"cold":    map[string]any{"multiple": coldMultiple, "extra": coldExtra}, "log": map[string]any{"format": "json"},
	})
	is.New(s.t).NoErr(err)
	is.New(s.t).NoErr(os.WriteFile(g.file, data, 0o600))
	s.gateways = append(s.gateways, g)
	s.start(g)
	return peers
}

func (s *soak) start(g *gateway) {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	cmd := exec.Command(s.binary, "gateway", g.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.lives++
	g.mu.Unlock()
	g.stopping.Store(false)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// signal signals the gateway's process and returns what is closed at its end.
func (g *gateway) signal(signal syscall.Signal) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(signal)
	return g.done
}

// end ends only processes that the soak started, by their ids.
func (s *soak) end() {
	for _, g := range s.gateways {
		g.signal(syscall.SIGCONT)
		<-g.signal(syscall.SIGKILL)
		g.store.close()
	}
	for _, link := range s.links {
		link.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = s.platform.Close()
}

// strike carries one fault out.
func (s *soak) strike(made event) {
	g := s.gateways[made.which%len(s.gateways)]
	number := made.which % len(s.servers)
	switch made.action {
	case kill:
		<-g.signal(syscall.SIGKILL)
		time.Sleep(made.lasts / 4)
		s.start(g)
	case terminate:
		if g.stopping.Swap(true) {
			return
		}
		<-g.signal(syscall.SIGTERM)
		s.start(g)
	case pause:
		defer s.deafen(g.id)()
		g.signal(syscall.SIGSTOP)
		time.Sleep(made.lasts)
		g.signal(syscall.SIGCONT)
	case hangUp:
		g.signal(syscall.SIGHUP)
	case storeDown:
		s.disturb(emulator.StoreFaults{Down: true}, made.lasts)
	case storeSilent:
		s.disturb(emulator.StoreFaults{Silent: true}, made.lasts)
	case storeSlow:
		s.disturb(emulator.StoreFaults{Delay: made.lasts / 4}, made.lasts)
	case storeLoses:
		s.disturb(emulator.StoreFaults{LoseAnswers: true}, made.lasts)
	case compact:
		s.platform.Store.Compact()
	case change:
		s.change()
	case changeUnseen:
		s.changeUnseen()
	case misbehave:
		s.servers[number].Misbehave(made.mode, 4)
	case drainServer:
		s.drain(number, made.lasts)
	case evacuate:
		s.evacuate(placeOf(s.servers[number].ID()), made.lasts)
	case turnCold:
		s.turnCold(number, made.lasts)
	case storeLink:
		disturbLink(g.store, made)
	case leaveInAnswers:
		s.servers[number].SetNotice(emulator.Notice{Leaving: true})
	case askForRest:
		s.askForRest(s.servers[number], made)
	case serverLink:
		from := time.Now()
		disturbLink(s.links[number], made)
		s.mu.Lock()
		s.linkFaults = append(s.linkFaults, span{name: s.servers[number].ID(), from: from, until: time.Now()})
		s.mu.Unlock()
	}
}

// askForRest has a server turn away what comes for a while.
func (s *soak) askForRest(server *emulator.Server, made event) {
	server.SetNotice(emulator.Notice{RetryAfter: made.rest})
	server.TurnBad(&emulator.Bad{Share: 1, Fails: emulator.Shed})
	time.Sleep(made.lasts)
	server.TurnBad(nil)
	server.SetNotice(emulator.Notice{})
}

func disturbLink(link *proxy, made event) {
	link.set(made.link)
	time.Sleep(made.lasts)
	link.set(normal)
}

func (s *soak) disturb(faults emulator.StoreFaults, lasts time.Duration) {
	defer s.deafen("")()
	s.platform.Store.SetFaults(faults)
	time.Sleep(lasts)
	s.platform.Store.SetFaults(emulator.StoreFaults{})
}

// change has the operator write a configuration; the first takes the key of
// workspace "gone" away.
func (s *soak) change() {
	s.accept()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revokedAt.IsZero() {
		s.revokedAt = time.Now()
	}
}

// changeUnseen changes the configuration while the store answers nobody.
func (s *soak) changeUnseen() {
	const longer = revocation + 1500*time.Millisecond
	defer s.deafen("")()
	s.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
	s.change()
	time.Sleep(longer)
	s.platform.Store.SetFaults(emulator.StoreFaults{})
}

// accept writes the next configuration. Only the first one has the workspace
// "gone".
func (s *soak) accept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Tenants = nil
	if s.config.Version == 0 {
		s.config.Tenants = []emulator.Tenant{{Name: "gone", Keys: []string{"key-gone"}}}
	}
	s.config.Version += 3
	s.config.Tenants = append(s.config.Tenants, emulator.Tenant{Name: workspaceOf(s.config.Version), Keys: []string{"key-stays"}})
	if err := s.platform.Accept(&s.config); err != nil {
		s.t.Error(err)
	}
	s.configs = append(s.configs, accepted{version: s.config.Version, at: time.Now()})
}

// placeOf is the data centre of a server: the first of each service is alone in its own.
func placeOf(id string) string {
	if strings.HasSuffix(id, "-0") {
		return "dc-0"
	}
	return "dc"
}

// evacuate has the operator evacuate a data centre for a while.
func (s *soak) evacuate(place string, lasts time.Duration) {
	s.places.Lock() // one ends another of the same data centre
	defer s.places.Unlock()
	s.platform.Evacuate(place, true)
	from := time.Now()
	time.Sleep(lasts)
	s.mu.Lock()
	s.evacuations = append(s.evacuations, span{name: place, from: from, until: time.Now()})
	s.mu.Unlock()
	s.platform.Evacuate(place, false)
}

// turnCold has a server cold for a while.
func (s *soak) turnCold(number int, lasts time.Duration) {
	s.places.Lock() // a later entry replaces an earlier one
	defer s.places.Unlock()
	server := s.servers[number]
	if err := s.enterCold(number, "ready", lasts); err != nil {
		s.t.Error(err)
	}
	from := time.Now()
	time.Sleep(lasts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.colds = append(s.colds, span{name: server.ID(), from: from, until: from.Add(lasts)})
}

func (s *soak) drain(number int, lasts time.Duration) {
	_ = s.enter(number, "draining")
	time.Sleep(lasts)
	_ = s.enter(number, "ready")
}
