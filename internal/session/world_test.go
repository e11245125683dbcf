package session

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/external/fakestore"
	"github.com/capersaddle/capersaddle/internal/external/fakeweights"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/router"
	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
	"github.com/capersaddle/capersaddle/internal/target/fakeservice"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	model   = "volta-chat"
	service = "topup"
)

// line is one line of the transcript.
type line struct {
	at    time.Duration
	actor string
	text  string
}

// world is a small system in virtual time.
type world struct {
	t        *testing.T
	start    time.Time
	network  *link.Memory
	store    *fakestore.Store
	weights  *fakeweights.Weights
	engines  map[string]*fakeengine.Engine
	services map[string]*fakeservice.Server
	agents   map[string]*process
	routers  map[string]*process
	// admissionOptions and cacheOptions are passed to each agent at its start.
	admissionOptions admission.Options
	cacheOptions     agent.CacheOptions
	// keyCount is the number of keys created so far.
	keyCount uint32
	// names maps random IDs, such as keys, to short names.
	names map[string]string

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	releases []func()

	mu    sync.Mutex
	lines []line
}

// process is one router or agent.
type process struct {
	name     string
	members  *member.List
	state    *config.State
	follower *config.Follower
	agent    *agent.Agent
	router   *router.Router
	handler  http.Handler
	editor   *config.Editor
	world    *world
	// disconnected reports that the host is cut off, paused, or dead.
	disconnected bool
	// clockError is the error of the process's wall clock.
	clockError time.Duration
	closed     bool
}

func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{
		t:                t,
		start:            time.Now(),
		network:          link.NewMemory(),
		store:            fakestore.New(),
		weights:          fakeweights.New(2),
		engines:          make(map[string]*fakeengine.Engine),
		services:         make(map[string]*fakeservice.Server),
		agents:           make(map[string]*process),
		routers:          make(map[string]*process),
		names:            make(map[string]string),
		admissionOptions: admission.DefaultOptions(),
		ctx:              ctx,
		cancel:           cancel,
	}
	w.admissionOptions.Floor = 2
	w.wait.Go(w.exchangeHeartbeats)
	return w
}

// record adds a line to the transcript.
func (w *world) record(actor, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, name := range w.names {
		text = strings.ReplaceAll(text, id, name)
	}
	w.lines = append(w.lines, line{at: time.Since(w.start), actor: actor, text: text})
}

func (w *world) newProcess(name, role string) *process {
	p := &process{name: name, world: w, state: config.NewState()}
	p.members = member.NewList(member.DefaultOptions(), &wire.Member{
		Id:          name,
		Role:        role,
		DataCenter:  "accra-1",
		LinkAddress: name,
		BeatAddress: name,
		Incarnation: uint64(time.Now().UnixMilli()),
		Session:     uuid.NewString(),
	})
	p.follower = config.NewFollower(p.state, &hostStore{Store: w.store, process: p}, p, discardLog())
	return p
}

func discardLog() *log.Logger {
	return log.New(io.Discard)
}

// session returns the process's session ID in the member list.
func (p *process) session() string {
	for _, peer := range p.members.Peers() {
		if peer.ID == p.name {
			return peer.Session
		}
	}
	return ""
}

// Wall and Boot return the process's clocks.
func (p *process) Wall() time.Time {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return time.Now().Add(p.clockError)
}

func (p *process) Boot() time.Duration { return time.Since(p.world.start) }

// Ahead, Watcher and Pull implement config.Peers.
func (p *process) Ahead(revision uint64) (string, bool) { return p.members.Ahead(revision) }

func (p *process) Watcher() bool { return p.members.Watcher() }

func (p *process) Pull(ctx context.Context, address string, have uint64) (*wire.Delta, error) {
	reply, err := link.Ask(ctx, p.world.network.From(p.name), address, &wire.Open{Kind: &wire.Open_Pull{Pull: &wire.Pull{Have: have}}})
	if err != nil {
		return nil, err
	}
	return reply.GetDelta(), nil
}

// handle serves the requests that all roles have in common, then those of the process's role.
func (p *process) handle(ctx context.Context, open *wire.Open, stream link.Stream) {
	if pull := open.GetPull(); pull != nil {
		_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Delta{Delta: p.state.DeltaSince(pull.GetHave())}})
		return
	}
	if p.agent != nil {
		p.agent.Handle(ctx, open, stream)
	}
}

func (w *world) startProcess(p *process) {
	w.network.Serve(p.name, p.handle)
	_ = p.follower.Start(w.ctx)
	if p.agent != nil {
		_ = p.agent.Start(w.ctx)
	}
	if p.router != nil {
		_ = p.router.Start(w.ctx)
	}
}

func (p *process) close() {
	p.world.mu.Lock()
	closed := p.closed
	p.closed = true
	p.world.mu.Unlock()
	if closed {
		return
	}
	_ = p.follower.Close()
	if p.agent != nil {
		_ = p.agent.Close()
	}
	if p.router != nil {
		_ = p.router.Close()
	}
}

// addAgent starts an agent for existing targets.
func (w *world) addAgent(name string, targets ...agent.Target) *process {
	p := w.newProcess(name, member.RoleAgent)
	p.agent = agent.New(agent.Options{
		ID:         name,
		Session:    p.session(),
		DataCenter: "accra-1",
		Targets:    targets,
		Admission:  w.admissionOptions,
		Cache:      w.cacheOptions,
		Once:       once.DefaultOptions(),
		Members:    p.members,
		Config:     p.state,
		Store:      &hostStore{Store: w.store, process: p},
		Dialer:     w.network.From(name),
		Clock:      p,
		Log:        discardLog(),
	})
	w.mu.Lock()
	w.agents[name] = p
	w.mu.Unlock()
	w.startProcess(p)
	return p
}

// addEngine adds an engine with an agent of its own.
func (w *world) addEngine(id string) *fakeengine.Engine {
	engine := fakeengine.New(fakeengine.Options{Name: id, Step: 20 * time.Millisecond, Log: func(text string) {
		w.record("engine", "%s", w.stripRequestID(text))
	}}, model)
	w.engines[id] = engine
	w.addAgent("host-of-"+id, agent.Target{ID: id, Pool: model, Engine: engine})
	return engine
}

// addManaged adds an engine without a model, with an agent that follows the placements.
func (w *world) addManaged(id string) {
	engine := fakeengine.New(fakeengine.Options{Name: id, Step: 20 * time.Millisecond, ChecksFence: true, Fetch: w.weights.Fetch, Log: func(text string) {
		if !strings.Contains(text, " req-") {
			w.record("engine", "%s", text)
		}
	}})
	w.engines[id] = engine
	w.addAgent("host-of-"+id, agent.Target{ID: id, Managed: true, Engine: engine})
}

// stripRequestID removes a random request ID and what follows it from a line.
func (w *world) stripRequestID(text string) string {
	if at := strings.Index(text, " req-"); at >= 0 {
		return text[:at]
	}
	return text
}

// addService adds a server of the plain service with an agent of its own.
func (w *world) addService(id string) *fakeservice.Server {
	server := fakeservice.New(id, func(text string) { w.record("service", "%s", text) })
	w.services[id] = server
	w.addAgent("host-of-"+id, agent.Target{ID: id, Pool: service, Service: server})
	return server
}

func (w *world) addRouter(name string) *process {
	p := w.newProcess(name, member.RoleRouter)
	p.router = router.New(router.Options{
		ID:      name,
		Members: p.members,
		Config:  p.state,
		Dialer:  w.network.From(name),
		Log:     discardLog(),
		Metrics: router.NoMetrics{},
		Seed:    1,
	})
	p.handler = p.router.Handler()
	p.editor = config.NewEditor(w.store, p.state)
	w.mu.Lock()
	w.routers[name] = p
	w.mu.Unlock()
	w.startProcess(p)
	return p
}

// heartbeatOffset keeps heartbeats apart from the times at which the processes' own loops wake,
// so that their order is deterministic.
const heartbeatOffset = 37 * time.Millisecond

// exchangeHeartbeats delivers heartbeats between all processes that are not disconnected.
func (w *world) exchangeHeartbeats() {
	w.sleep(heartbeatOffset)
	for w.sleep(500 * time.Millisecond) {
		all := w.processes()
		for _, from := range all {
			from.members.Expire()
			for _, to := range all {
				if from != to && !from.isDisconnected() && !to.isDisconnected() {
					heartbeat := from.members.Compose(&wire.Beat{ConfigRevision: from.state.Revision()}, 1200)
					to.members.Receive(heartbeat)
				}
			}
		}
	}
}

// waitForLoadUpdates waits until load reports have spread, so that the placement of the next
// chat depends on the rendezvous order of engines alone.
func (w *world) waitForLoadUpdates() {
	time.Sleep(3 * time.Second)
}

func (w *world) processes() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*process
	for _, group := range []map[string]*process{w.agents, w.routers} {
		for _, p := range group {
			if !p.closed {
				all = append(all, p)
			}
		}
	}
	slices.SortFunc(all, func(a, b *process) int { return cmp.Compare(a.name, b.name) })
	return all
}

func (w *world) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// disconnect cuts a host off from everything, as when it dies or is paused. The others start to
// suspect it.
func (w *world) disconnect(p *process) {
	w.network.SetDown(p.name, true)
	p.setDisconnected(true)
	for _, other := range w.processes() {
		other.members.Suspect(p.name)
	}
}

// reconnect reconnects a host that was paused.
func (w *world) reconnect(p *process) {
	w.network.SetDown(p.name, false)
	p.setDisconnected(false)
}

func (p *process) isDisconnected() bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return p.disconnected
}

func (p *process) setDisconnected(disconnected bool) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.disconnected = disconnected
}

// hostStore is the store as seen by one host.
type hostStore struct {
	*fakestore.Store
	process *process
}

// Get reads a value, unless the host is disconnected.
func (s *hostStore) Get(ctx context.Context, key string) (external.Value, error) {
	if s.process.isDisconnected() {
		return external.Value{}, fakestore.ErrAway
	}
	return s.Store.Get(ctx, key)
}

// Put writes a value, unless the host is disconnected.
func (s *hostStore) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	if s.process.isDisconnected() {
		return 0, fakestore.ErrAway
	}
	return s.Store.Put(ctx, key, data, base)
}

// Watch waits for a change, unless the host is disconnected.
func (s *hostStore) Watch(ctx context.Context, key string, known uint64) (external.Value, error) {
	if s.process.isDisconnected() {
		return external.Value{}, fakestore.ErrAway
	}
	return s.Store.Watch(ctx, key, known)
}

// newHold returns a channel to wait on and a function that closes it. The channel is closed at
// the end of the session at the latest.
func (w *world) newHold() (channel chan struct{}, release func()) {
	channel = make(chan struct{})
	release = sync.OnceFunc(func() { close(channel) })
	w.releases = append(w.releases, release)
	return channel, release
}

// close stops everything.
func (w *world) close() {
	for _, release := range w.releases {
		release()
	}
	w.cancel()
	for _, p := range w.processes() {
		p.close()
	}
	_ = w.network.Close()
	for _, engine := range w.engines {
		_ = engine.Close()
	}
	w.wait.Wait()
	if w.t.Failed() {
		w.t.Logf("transcript so far:\n%s", w.transcript())
	}
}

// transcript returns the session's lines in order of time.
func (w *world) transcript() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.actor, b.actor), cmp.Compare(a.text, b.text))
	})
	var text strings.Builder
	for _, l := range w.lines {
		fmt.Fprintf(&text, "%12s  %-8s  %s\n", l.at.Round(time.Millisecond), l.actor, l.text)
	}
	return text.String()
}

// compareGolden compares the transcript with the session's golden file.
func (w *world) compareGolden() {
	got := w.transcript()
	name := filepath.Join("testdata", strings.ReplaceAll(filepath.Base(w.t.Name()), "_", "-")+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		is.New(w.t).NoErr(os.WriteFile(name, []byte(got), 0o600))
		return
	}
	want, err := os.ReadFile(name)
	is.New(w.t).NoErr(err)
	if got != string(want) {
		w.t.Fatalf("the session differs from %s\n--- got\n%s--- want\n%s", name, got, want)
	}
}
