//go:build review2

package standin2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// The names of the small deployment that all cases play.
const (
	host     = "demo.example"
	tenant   = "volta"
	key      = "k-volta-1"
	drainMs  = 2000
	beat     = 1200 * time.Millisecond
	gatewayN = "gateway"
	// plainService answers at once, and engineService with streams.
	plainService  = "vend-api"
	engineService = "lm-pool"
	maxSeeds      = 3
)

// rig is a small deployment on loopback addresses.
type rig struct {
	folder string
	record *os.File
	began  time.Time

	mu       sync.Mutex
	store    *emulator.Store
	front    *lateStore
	storeAt  string
	gateways []*gateway
	// seeds are the addresses that the settings of all gateways name: those of the first few.
	seeds     []string
	stopBeat  chan struct{}
	closing   sync.Once
	servers   []*server
	usedPorts map[string]bool
}

// newRig opens the record and starts a store.
func newRig(recordPath string) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &rig{folder: folder, record: record, began: time.Now(), store: emulator.NewStore(), stopBeat: make(chan struct{}), usedPorts: make(map[string]bool)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAt = listener.Addr().String()
	r.front = &lateStore{rig: r, first: make(chan struct{}, 1)}
	go func() { _ = (&http.Server{Handler: r.front, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	go r.beat()
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (r *rig) close() {
	r.closing.Do(func() {
		close(r.stopBeat)
		for _, g := range r.gateways {
			g.kill()
		}
		_ = r.record.Close()
		_ = os.RemoveAll(r.folder)
	})
}

// configure writes a configuration as the operator does.
func (r *rig) configure(config map[string]any) {
	data, _ := json.Marshal(config)
	r.store.Put("op/config", data)
	r.note("operator: configuration %v is acknowledged", config["version"])
}

// beat writes the entries of the servers.
func (r *rig) beat() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			servers := append([]*server(nil), r.servers...)
			r.mu.Unlock()
			for _, s := range servers {
				s.list()
			}
		case <-r.stopBeat:
			return
		}
	}
}

// gateway is one process of the system.
type gateway struct {
	rig  *rig
	name string
	path string
	// peers is its address for other gateways.
	peers   string
	metrics string
	callers string
	ready   string
	log     *os.File
	cmd     *exec.Cmd
	done    chan struct{}
}

// freePort returns a free address for TCP and UDP that this run has not used yet.
func (r *rig) freePort() string {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
		}
		if err == nil && !r.usedPorts[address] {
			r.usedPorts[address] = true
			return address
		}
	}
}

// addGateways starts a number of gateways that know each other.
func (r *rig) addGateways(count int) error {
	var peers []string
	for range count {
		peers = append(peers, r.freePort())
	}
	if r.seeds == nil {
		r.seeds = peers[:min(maxSeeds, count)]
	}
	first := len(r.gateways)
	for i := range count {
		g := &gateway{rig: r, name: fmt.Sprintf("%s-%d", gatewayN, first+i), callers: r.freePort(), ready: r.freePort(), metrics: r.freePort()}
		g.peers = peers[i]
		if err := g.writeSettings(r.seeds); err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range r.gateways[first:] {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file, with the bounds of a small deployment.
func (g *gateway) writeSettings(seeds []string) error {
	settings := map[string]any{
		"role": "gateway", "id": g.name, "data_center": "tema-hall",
		"callers": g.callers, "ready": g.ready, "peers": g.peers, "metrics": g.metrics,
		"seeds": seeds, "store": g.rig.storeAt,
		"host":       map[string]any{"share": 0.304, "cores": 1, "link_mbps": 1000, "memory_mb": 284},
		"revocation": "5000ms", "apply": "2000ms", "leave": "2000ms", "grace": "8s", "pass": "120ms",
		"load": map[string]any{"multiple": 2}, "retry": map[string]any{"ratio": 0.2, "slack": 54, "window": "10s"},
		"rollout": map[string]any{}, "log": map[string]any{"format": "json", "level": "info"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	g.path = filepath.Join(g.rig.folder, g.name+".json")
	return os.WriteFile(g.path, data, 0o600)
}

// start starts the process as the deploy file does.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.rig.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/capersaddle", "gateway")
	g.cmd.Env = append(os.Environ(), "CAPERSADDLE_CONFIG="+g.path)
	g.cmd.Stdout, g.cmd.Stderr, g.log = log, log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.done = done
	go func() {
		err := g.cmd.Wait()
		g.rig.note("%s ended: %v", g.name, err)
		close(done)
	}()
	g.rig.note("%s started", g.name)
	return nil
}

// awaitReady waits until the process accepts clients.
func (g *gateway) awaitReady() error {
	for range 200 {
		response, err := http.Get("http://" + g.ready + "/capersaddle/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", g.name)
}

// signal sends a signal to the process.
func (g *gateway) signal(sig syscall.Signal) {
	g.rig.note("%s gets %s", g.name, sig)
	_ = g.cmd.Process.Signal(sig)
}

// kill ends the process and waits for that.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.done
	_ = g.log.Close()
}
