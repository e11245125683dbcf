//go:build review

package standin

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

const (
	// program is the first word of the deploy file's command.
	program = "target/capersaddle"
	// host is the host of all routes, and key the key of the only tenant.
	host = "shop.example"
	key  = "key-1"
	// zone is the zone of all processes.
	zone = "zone-1"
	// engineService is the service of the model servers, engineCount their number, and engineSlots
	// the number of slots of each.
	engineService = "engine"
	engineCount   = 9
	engineSlots   = 64
	// contact is contact_ms of the deployment: a machine is in touch again so long after a
	// disturbance of its own.
	contact = 3 * time.Second
	// startTimeout is how long a gateway may take to become ready.
	startTimeout = 10 * time.Second
	// readyInterval is the time between two readiness checks of a process that starts.
	readyInterval = 5 * time.Millisecond
)

// limits are the limits of all configurations.
var limits = emulator.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderMs: 5000, IdleMs: 20000}

// bench holds what a case has started, and its record.
type bench struct {
	// disturbed is false if the disturbance is left out.
	disturbed bool
	platform  *emulator.Platform
	// folder holds the settings and the logs of the gateways until the end.
	folder    string
	started   time.Time
	gateways  []*gatewayProcess
	closeOnce sync.Once

	mu     sync.Mutex
	record *os.File
}

func newBench(folder string) (*bench, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	settings, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	platform, err := emulator.New("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &bench{disturbed: os.Getenv("TROUBLE") != "0", platform: platform, folder: settings, started: time.Now(), record: record}, nil
}

// note writes a line of the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// noteRuns writes which requests the servers ran.
func (b *bench) noteRuns(servers []*emulator.Server) {
	for _, server := range servers {
		for _, run := range server.Runs() {
			b.note("server %s ran %s, from event %d on, at %.3f", server.ID(), run.ID, run.After+1, run.At.Sub(b.started).Seconds())
		}
	}
}

// close ends all processes that the case has started, and the platform.
func (b *bench) close() {
	b.closeOnce.Do(func() {
		for _, g := range b.gateways {
			g.kill()
		}
		_ = b.platform.Close()
		_ = os.RemoveAll(b.folder)
	})
}

// addEngine starts a model server, whose streams have so many events, gap apart.
func (b *bench) addEngine(id, version string, events int, gap time.Duration) (*emulator.Server, error) {
	options := emulator.ServerOptions{ID: id, Events: events, Gap: gap, Version: version, VersionInEvents: true}
	server, err := b.platform.AddServer(engineService, zone, "127.0.0.1:0", options)
	if err != nil {
		return nil, err
	}
	b.enter(server, version)
	return server, nil
}

// enter writes the entry of a model server.
func (b *bench) enter(server *emulator.Server, version string) {
	b.enterAt(server, version, server.Address())
}

// enterAt is enter for a server that is reached at another address, such as a proxy's.
func (b *bench) enterAt(server *emulator.Server, version, address string) {
	const entry = `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1}`
	b.platform.Store.Put("servers/"+server.ID(), fmt.Appendf(nil, entry, engineService, address, zone, version, engineSlots))
}

// gatewayProcess is a gateway that runs as a process.
type gatewayProcess struct {
	bench *bench
	name  string
	// callers, ready and peers are its addresses.
	callers, ready, peers string
	// settings is the path of its settings file.
	settings string

	mu      sync.Mutex
	process *os.Process
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newGateway writes the settings of a gateway. They are what deploy/gateway.json makes of the settings
// of a small deployment.
func (b *bench) newGateway(name, peers string, seeds []string) (*gatewayProcess, error) {
	callers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ready, err := freeAddress()
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{bench: b, name: name, callers: callers, ready: ready, peers: peers, settings: filepath.Join(b.folder, name+".json")}
	text, err := json.Marshal(map[string]any{
		"role": "gateway", "id": name, "data_center": zone, "callers": callers, "ready": ready, "peers": peers,
		"seeds": seeds, "store": b.platform.StoreAddress(),
		"host":       map[string]any{"share": 0.304, "cores": 1, "link_mbps": 1000, "memory_mb": 284},
		"revocation": "5000ms", "apply": "2000ms", "leave": "2000ms", "grace": "8s", "pass": "120ms",
		"load":  map[string]any{"multiple": 2},
		"retry": map[string]any{"ratio": 0.2, "slack": 54, "window": "10s"},
		"log":   map[string]any{"format": "json", "level": "info"},
	})
	if err != nil {
		return nil, err
	}
	b.gateways = append(b.gateways, g)
	return g, os.WriteFile(g.settings, text, 0o600)
}

// newFleet makes gateways that are each other's seeds.
func (b *bench) newFleet(count int) error {
	var peers []string
	for range count {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		peers = append(peers, address)
	}
	for i, address := range peers {
		if _, err := b.newGateway(fmt.Sprintf("gateway-%d", i), address, peers[:min(count, maxSeeds)]); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is the number of seeds in the settings of a platform's process.
const maxSeeds = 3

// startAll starts gateways and waits until they are ready.
func startAll(gateways []*gatewayProcess) error {
	for _, g := range gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// callerAddresses returns the addresses at which gateways take callers.
func callerAddresses(gateways []*gatewayProcess) []string {
	var addresses []string
	for _, g := range gateways {
		addresses = append(addresses, g.callers)
	}
	return addresses
}

// start starts the process. Its log goes to a file beside its settings.
func (g *gatewayProcess) start() error {
	log, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "gateway")
	command.Env = append(os.Environ(), "CAPERSADDLE_CONFIG="+g.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.ended = command.Process, ended
	g.bench.note("%s is started", g.name)
	return nil
}

// awaitReady waits until the process says that it is ready.
func (g *gatewayProcess) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		if g.isReady() {
			g.bench.note("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", g.name)
}

// isReady asks the process whether it is ready, as the platform does.
func (g *gatewayProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/capersaddle/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends the process a signal and returns a channel that is closed when it has ended.
func (g *gatewayProcess) signal(signal syscall.Signal) (ended <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	_ = g.process.Signal(signal)
	return g.ended
}

// kill ends the process at once.
func (g *gatewayProcess) kill() {
	<-g.signal(syscall.SIGKILL)
}

func (g *gatewayProcess) logFile() string {
	return g.settings + ".log"
}

// freeAddress returns a loopback address whose port is free now for TCP and UDP.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), conn.Close()
}
