package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
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

// gateway is a gateway process and its addresses.
type gateway struct {
	id           string
	settingsFile string
	callers      string
	// ready and peers are the addresses for readiness checks and for other gateways.
	ready, peers string
	logFile      string
	// store is the proxy between the gateway and the store.
	store    *proxy
	stopping atomic.Bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// starts is the number of processes started so far.
	starts int
	// stopSignal is the signal with which the test ends the current process; zero for none.
	stopSignal syscall.Signal
	// ownEnds are the ends of processes that the test did not ask for, or that failed although it did.
	ownEnds []string
}

// recordEnd records how a process ended, unless that is how the test ended it.
func (g *gateway) recordEnd(state *os.ProcessState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopSignal == syscall.SIGKILL:
	case g.stopSignal == syscall.SIGTERM && state.Success():
	default:
		g.ownEnds = append(g.ownEnds, fmt.Sprintf("%s/%d: %s", g.id, g.starts, state))
	}
}

// ends returns the ends that were recorded.
func (g *gateway) ends() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.ownEnds...)
}

// incarnation identifies the gateway's current process.
func (g *gateway) incarnation() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%s/%d", g.id, g.starts)
}

// ports is shared by all seeds.
var ports loopback.Ports

// freeAddress returns an address that no other process uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (s *soak) startSystem(gateways int) {
	is := is.New(s.t)
	platform, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = platform
	s.config = emulator.Config{
		Routes: []emulator.Route{
			{Name: "pay", Host: host, Prefix: "/pay/", Kind: "non_idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 100, MaxAttempts: 1},
			{Name: "ask", Host: host, Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 100, MaxAttempts: 2},
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 4000, LatencyMs: 300, GapMs: 200, MaxAttempts: 2, Resumable: true},
		},
		Services: []emulator.Service{{Name: "plain", ColdPerS: coldRate}, {Name: "engine", ColdPerS: coldRate, Engine: map[string]any{"slots": 8}}},
		Limits:   emulator.Limits{BodyBytes: 1 << 20, IdleMs: 15000},
	}
	s.acceptConfig()
	for i := range servers {
		s.addServer(fmt.Sprintf("p-%d", i))
		s.addServer(fmt.Sprintf("e-%d", i))
	}
	for number := range s.servers {
		is.NoErr(s.writeEntry(number, "ready"))
	}
	s.addTrialServers()
	s.platform.Store.Observe(s.recordChange)
	dir := s.t.TempDir()
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, s.addGateway(dir, fmt.Sprintf("gateway-%d", i), seeds))
	}
}

// addServer starts a server that gateways reach through a proxy, whose address is in the
// server's entry.
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

// writeEntry writes a server's entry with the given state.
func (s *soak) writeEntry(number int, state string) error {
	return s.writeColdEntry(number, state, 0)
}

// writeColdEntry writes the entry of a server that is cold for a while. Stopped servers get no
// entry.
func (s *soak) writeColdEntry(number int, state string, cold time.Duration) error {
	s.entriesMu.Lock()
	defer s.entriesMu.Unlock()
	id := s.servers[number].ID()
	if s.stopped[id] {
		return nil
	}
	return s.platform.EnterAt(emulator.Entry{
		ID: id, Service: serviceOf(id), Zone: dataCenterOf(id), Address: s.links[number].address(),
		Version: releaseOf(id), State: state, Cold: cold,
	})
}

// stopServer stops a server immediately and removes its entry.
func (s *soak) stopServer(number int) {
	s.entriesMu.Lock()
	defer s.entriesMu.Unlock()
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

// addGateway writes a gateway's settings and starts it. It returns the gateway's address for
// peers.
func (s *soak) addGateway(dir, id string, seeds []string) string {
	store, err := newProxy(s.platform.StoreAddress())
	is.New(s.t).NoErr(err)
	g := &gateway{id: id, settingsFile: filepath.Join(dir, id+".json"), callers: freeAddress(s.t), logFile: filepath.Join(dir, id+".log"), store: store}
	g.ready, g.peers = freeAddress(s.t), s.peerAddress(len(s.gateways))
	settings := map[string]any{
		"role": "gateway", "id": id, "data_center": "dc", "callers": g.callers, "ready": g.ready, "peers": g.peers,
		"seeds": append([]string{}, seeds...), "store": store.address(), "revocation": revocation.String(), "grace": cmp.Or(s.grace, defaultGrace).String(),
		"retry":   map[string]any{"ratio": retryRatio, "slack": retrySlack, "window": retryWindow.String()},
		"rollout": map[string]any{"share": trialShare, "slack": trialSlack, "rollback": rollback.String()},
		"cold":    map[string]any{"multiple": coldMultiple, "extra": coldExtra}, "log": map[string]any{"format": "json"},
	}
	maps.Copy(settings, s.settings)
	data, err := json.Marshal(settings)
	is.New(s.t).NoErr(err)
	is.New(s.t).NoErr(os.WriteFile(g.settingsFile, data, 0o600))
	s.gateways = append(s.gateways, g)
	s.start(g)
	return g.peers
}

func (s *soak) start(g *gateway) {
	log, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	cmd := exec.Command(s.binary, "gateway", g.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if s.prepare != nil {
		s.prepare(s, g, cmd)
	}
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	if s.started != nil {
		go s.started(g, cmd.Process.Pid)
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.starts++
	g.stopSignal = 0
	g.mu.Unlock()
	g.stopping.Store(false)
	go func() {
		_ = cmd.Wait()
		g.recordEnd(cmd.ProcessState)
		_ = log.Close()
		close(done)
	}()
}

// signal sends a signal to the gateway's process and returns a channel that is closed when the
// process exits.
func (g *gateway) signal(signal syscall.Signal) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM && g.stopSignal == 0 {
		g.stopSignal = signal
	}
	_ = g.cmd.Process.Signal(signal)
	return g.done
}

// stopSystem ends only processes that the soak started, by their process IDs.
func (s *soak) stopSystem() {
	for _, g := range s.gateways {
		g.signal(syscall.SIGCONT)
		<-g.signal(syscall.SIGKILL)
		g.store.close()
		if ends := g.ends(); len(ends) > 0 {
			s.t.Errorf("%d processes ended by themselves, the first: %s; logs in %s", len(ends), ends[0], s.keepLogs())
		}
	}
	for _, link := range s.links {
		link.close()
	}
	if s.mesh != nil {
		s.mesh.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = s.platform.Close()
}

// applyFault applies one fault.
func (s *soak) applyFault(fault fault) {
	g := s.gateways[fault.index%len(s.gateways)]
	number := fault.index % len(s.servers)
	switch fault.action {
	case kill:
		<-g.signal(syscall.SIGKILL)
		time.Sleep(fault.duration / 4)
		s.start(g)
	case terminate:
		if g.stopping.Swap(true) {
			return
		}
		<-g.signal(syscall.SIGTERM)
		s.start(g)
	case pause:
		defer s.beginIsolation(g.id)()
		g.signal(syscall.SIGSTOP)
		time.Sleep(fault.duration)
		g.signal(syscall.SIGCONT)
	case hangUp:
		g.signal(syscall.SIGHUP)
	case storeDown:
		s.disturbStore(emulator.StoreFaults{Down: true}, fault.duration)
	case storeSilent:
		s.disturbStore(emulator.StoreFaults{Silent: true}, fault.duration)
	case storeSlow:
		s.disturbStore(emulator.StoreFaults{Delay: fault.duration / 4}, fault.duration)
	case storeLosesAnswers:
		s.disturbStore(emulator.StoreFaults{LoseAnswers: true}, fault.duration)
	case compact:
		s.platform.Store.Compact()
	case changeConfig:
		s.changeConfig()
	case changeDuringOutage:
		s.changeDuringOutage()
	case misbehave:
		s.servers[number].Misbehave(fault.mode, 4)
	case drainServer:
		s.drain(number, fault.duration)
	case evacuate:
		s.evacuate(dataCenterOf(s.servers[number].ID()), fault.duration)
	case coldStart:
		s.coldStart(number, fault.duration)
	case storeLink:
		disturbLink(g.store, fault)
	case announceLeaving:
		s.servers[number].SetNotice(emulator.Notice{Leaving: true})
	case shedWithRetryAfter:
		s.shedWithRetryAfter(s.servers[number], fault)
	case serverLink:
		from := time.Now()
		disturbLink(s.links[number], fault)
		s.mu.Lock()
		s.linkFaults = append(s.linkFaults, span{name: s.servers[number].ID(), from: from, until: time.Now()})
		s.mu.Unlock()
	}
}

// shedWithRetryAfter makes a server reject requests with a Retry-After header for a while.
func (s *soak) shedWithRetryAfter(server *emulator.Server, fault fault) {
	server.SetNotice(emulator.Notice{RetryAfter: fault.retryAfter})
	server.TurnBad(&emulator.Bad{Share: 1, Fails: emulator.Shed})
	time.Sleep(fault.duration)
	server.TurnBad(nil)
	server.SetNotice(emulator.Notice{})
}

func disturbLink(link *proxy, fault fault) {
	link.set(fault.link)
	time.Sleep(fault.duration)
	link.set(normal)
}

func (s *soak) disturbStore(faults emulator.StoreFaults, duration time.Duration) {
	defer s.beginIsolation("")()
	s.platform.Store.SetFaults(faults)
	time.Sleep(duration)
	s.platform.Store.SetFaults(emulator.StoreFaults{})
}

// changeConfig writes a new configuration as the operator. The first change revokes the key of
// workspace "gone".
func (s *soak) changeConfig() {
	s.acceptConfig()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revokedAt.IsZero() {
		s.revokedAt = time.Now()
	}
}

// changeDuringOutage changes the configuration while the store answers no calls.
func (s *soak) changeDuringOutage() {
	const outage = revocation + 1500*time.Millisecond
	defer s.beginIsolation("")()
	s.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
	s.changeConfig()
	time.Sleep(outage)
	s.platform.Store.SetFaults(emulator.StoreFaults{})
}

// acceptConfig writes the next configuration. Only the first one contains the workspace "gone".
func (s *soak) acceptConfig() {
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
	s.configs = append(s.configs, acceptedConfig{version: s.config.Version, at: time.Now()})
}

// dataCenterOf returns the data centre of a server. The first server of each service is in a
// separate one.
func dataCenterOf(id string) string {
	if strings.HasSuffix(id, "-0") {
		return "dc-0"
	}
	return "dc"
}

// evacuate evacuates a data centre for a while, as the operator.
func (s *soak) evacuate(dataCenter string, duration time.Duration) {
	s.placementMu.Lock() // ending one evacuation would end an overlapping one of the same data centre
	defer s.placementMu.Unlock()
	s.platform.Evacuate(dataCenter, true)
	from := time.Now()
	time.Sleep(duration)
	s.mu.Lock()
	s.evacuations = append(s.evacuations, span{name: dataCenter, from: from, until: time.Now()})
	s.mu.Unlock()
	s.platform.Evacuate(dataCenter, false)
}

// coldStart makes a server cold for a while.
func (s *soak) coldStart(number int, duration time.Duration) {
	s.placementMu.Lock() // a later entry would replace the earlier one
	defer s.placementMu.Unlock()
	server := s.servers[number]
	if err := s.writeColdEntry(number, "ready", duration); err != nil {
		s.t.Error(err)
	}
	from := time.Now()
	time.Sleep(duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldPeriods = append(s.coldPeriods, span{name: server.ID(), from: from, until: from.Add(duration)})
}

func (s *soak) drain(number int, duration time.Duration) {
	_ = s.writeEntry(number, "draining")
	time.Sleep(duration)
	_ = s.writeEntry(number, "ready")
}
