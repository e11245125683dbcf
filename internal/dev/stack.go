// Package dev runs the whole system in one process on loopback: routers, agents and the
// emulators, as services of one kernel. It is the embedded default of the binary, and the
// system that the binary's own story runs against.
package dev

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/external/fakehosts"
	"github.com/capersaddle/capersaddle/internal/external/fakestore"
	"github.com/capersaddle/capersaddle/internal/external/fakeweights"
	"github.com/capersaddle/capersaddle/internal/kernel"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
	"github.com/capersaddle/capersaddle/internal/target/fakeservice"
)

// The size of a stack, which is that of one present-day deployment.
const (
	routers        = 3
	engineHosts    = 10
	enginesPerHost = 5
	serviceHosts   = 3
	// loadsPerSecond is the number of weight loads per second that the weight store allows.
	loadsPerSecond = 2
	// Model and Service are the names of the model and the service that the stack serves.
	Model   = "volta-chat"
	Service = "topup"
	// Key is the API key of the only workspace.
	Key       = "dev-key"
	Workspace = "demo"
)

// engineLag is the delay of the engines' reports and cache events.
const engineLag = 500 * time.Millisecond

// Centers are the data centres of the stack.
var Centers = []string{"accra-1", "accra-2", "accra-3"}

// Options configure where the stack listens and logs.
type Options struct {
	// Callers is the first router's address for callers; port 0 picks a free port.
	Callers string
	Log     *log.Logger
}

// Stack is the running system.
type Stack struct {
	Store    *fakestore.Store
	Hosts    *fakehosts.Hosts
	Weights  *fakeweights.Weights
	Engines  map[string]*fakeengine.Engine
	Services map[string]*fakeservice.Server
	Routers  []process.Process
	// Agents is keyed by process ID. TargetHost maps each target ID to its agent's ID.
	Agents     map[string]process.Process
	TargetHost map[string]string

	options Options
	kernel  *kernel.Kernel
	// authority issues temporary certificates; heartbeatKey signs heartbeats.
	authority    *secure.Authority
	heartbeatKey string
	seed         string
	store        string
	hosts        string
}

// New creates a stack. Start starts it.
func New(ctx context.Context, options Options) (*Stack, error) {
	s := &Stack{
		Store:      fakestore.New(),
		Engines:    make(map[string]*fakeengine.Engine),
		Services:   make(map[string]*fakeservice.Server),
		Agents:     make(map[string]process.Process),
		TargetHost: make(map[string]string),
		options:    options,
		kernel:     kernel.New(),
	}
	if err := s.generateKeys(); err != nil {
		return nil, err
	}
	if err := s.addPlatform(); err != nil {
		return nil, err
	}
	if err := s.addEngineHosts(ctx); err != nil {
		return nil, err
	}
	if err := s.addServiceHosts(ctx); err != nil {
		return nil, err
	}
	return s, s.addRouters(ctx)
}

// generateKeys creates the keys of this run, which are kept in memory only.
func (s *Stack) generateKeys() error {
	var err error
	if s.authority, err = secure.NewAuthority(); err != nil {
		return err
	}
	const keyLength = 32
	key := make([]byte, keyLength)
	_, _ = rand.Read(key)
	s.heartbeatKey = hex.EncodeToString(key)
	return nil
}

// serveStandIn registers an emulator's HTTP server on a free loopback port and returns its URL.
func (s *Stack) serveStandIn(name string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s", name)
	}
	if err := s.kernel.Register(name, &standIn{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}}); err != nil {
		return "", err
	}
	return "http://" + listener.Addr().String(), nil
}

func (s *Stack) addPlatform() error {
	var hosts []string
	for i := range engineHosts {
		hosts = append(hosts, fmt.Sprintf("engine-host-%d", i))
	}
	for i := range serviceHosts {
		hosts = append(hosts, fmt.Sprintf("service-host-%d", i))
	}
	s.Hosts = fakehosts.New(hosts...)
	var err error
	if s.store, err = s.serveStandIn("store", s.Store.Handler()); err != nil {
		return err
	}
	if s.hosts, err = s.serveStandIn("hosts", s.Hosts.Handler()); err != nil {
		return err
	}
	s.Weights = fakeweights.New(loadsPerSecond)
	_, err = s.serveStandIn("weights", s.Weights.Handler())
	return err
}

func (s *Stack) addEngineHosts(ctx context.Context) error {
	for h := range engineHosts {
		var targets []settings.Target
		for e := range enginesPerHost {
			id := fmt.Sprintf("engine-%02d", h*enginesPerHost+e)
			engine := fakeengine.New(fakeengine.Options{Name: id, Lag: engineLag, Fetch: s.Weights.Fetch}, Model)
			s.Engines[id] = engine
			url, err := s.serveStandIn(id, engine.Handler())
			if err != nil {
				return err
			}
			targets = append(targets, settings.Target{ID: id, Kind: "engine", Pool: Model, URL: url})
		}
		if err := s.addAgent(ctx, fmt.Sprintf("engine-host-%d", h), Centers[h%len(Centers)], targets); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stack) addServiceHosts(ctx context.Context) error {
	for h := range serviceHosts {
		id := fmt.Sprintf("%s-%d", Service, h)
		server := fakeservice.New(id, nil)
		s.Services[id] = server
		url, err := s.serveStandIn(id, server.Handler())
		if err != nil {
			return err
		}
		targets := []settings.Target{{ID: id, Kind: "service", Pool: Service, URL: url}}
		if err := s.addAgent(ctx, fmt.Sprintf("service-host-%d", h), Centers[h%len(Centers)], targets); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stack) commonSettings(role, id, center string) (*settings.Settings, error) {
	keys, err := s.authority.Issue(id, role, certificateLifetime)
	if err != nil {
		return nil, err
	}
	common := &settings.Settings{
		Role:       role,
		ID:         id,
		DataCenter: center,
		Operators:  "127.0.0.1:0",
		Link:       "127.0.0.1:0",
		Beat:       "127.0.0.1:0",
		Store:      s.store,
		TLS:        settings.TLS{CA: keys.CA, Cert: keys.Cert, Key: keys.Key},
		Membership: settings.Membership{Key: s.heartbeatKey},
	}
	if s.seed != "" {
		common.Seeds = []string{s.seed}
	}
	return common, nil
}

// certificateLifetime is the validity period of the temporary certificates.
const certificateLifetime = 7 * 24 * time.Hour

func (s *Stack) addAgent(ctx context.Context, id, center string, targets []settings.Target) error {
	agentSettings, err := s.commonSettings("agent", id, center)
	if err != nil {
		return err
	}
	agentSettings.Targets = targets
	agentSettings.Hosts = s.hosts
	agentSettings.Host = id
	agent, err := process.New(ctx, agentSettings, s.options.Log)
	if err != nil {
		return err
	}
	s.Agents[id] = agent
	for _, t := range targets {
		s.TargetHost[t.ID] = id
	}
	return s.register(id, agent)
}

// register registers a process with the kernel. The first process is the seed of all others.
func (s *Stack) register(id string, p process.Process) error {
	if s.seed == "" {
		s.seed = p.Addresses().Beat
	}
	return s.kernel.Register(id, p)
}

func (s *Stack) addRouters(ctx context.Context) error {
	for i := range routers {
		id := fmt.Sprintf("router-%d", i)
		routerSettings, err := s.commonSettings("router", id, Centers[i%len(Centers)])
		if err != nil {
			return err
		}
		routerSettings.Callers = "127.0.0.1:0"
		if i == 0 && s.options.Callers != "" {
			routerSettings.Callers = s.options.Callers
		}
		router, err := process.New(ctx, routerSettings, s.options.Log)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, router)
		if err := s.register(id, router); err != nil {
			return err
		}
	}
	return nil
}

// Start starts all processes, applies the first configuration, and waits until the routers are
// ready and the service's slots have owners.
func (s *Stack) Start(ctx context.Context) error {
	if err := s.kernel.Start(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	for _, router := range s.Routers {
		url := "http://" + router.Addresses().Callers
		if err := waitUntil(ctx, func() bool { return statusOf(ctx, url+"/readyz") == http.StatusOK }); err != nil {
			return errors.Wrap(err, "a router did not become ready")
		}
		if err := waitUntil(ctx, func() bool { return routesToAllTargets(ctx, router) }); err != nil {
			return errors.Wrap(err, "a router did not learn of all targets")
		}
	}
	return errors.Wrap(waitUntil(ctx, func() bool { return s.canTopUp(ctx) }), "the service's slots have no owners")
}

func (s *Stack) configure(ctx context.Context) error {
	editor := config.NewEditor(s.Store, config.NewState())
	document := func(name string, value any) config.Change {
		data, _ := json.Marshal(value)
		return config.Change{Name: name, Value: data}
	}
	_, err := editor.Do(ctx, config.Command{
		ID:       uuid.NewString(),
		Operator: "dev",
		Changes: []config.Change{
			document("workspace/"+Workspace, config.Workspace{KeyHashes: []string{config.HashKey(Key)}, Share: 1}),
			document("model/"+Model, config.Model{OwnedBy: "volta"}),
			document("service/"+Service, config.Service{NotRepeatable: []string{"/credit"}}),
		},
	})
	return err
}

// canTopUp sends a harmless request with an idempotency key and reports whether a slot owner
// accepted it.
func (s *Stack) canTopUp(ctx context.Context) bool {
	c := newClient(s.Routers[0].Addresses().Callers)
	answer, err := c.topUp(ctx, uuid.Must(uuid.NewV7()).String(), "warm-up")
	return err == nil && answer.status == http.StatusOK
}

// Close stops all processes and waits for them.
func (s *Stack) Close() error {
	err := s.kernel.Close()
	for _, engine := range s.Engines {
		err = errors.CombineErrors(err, engine.Close())
	}
	return err
}

// Summary returns the addresses and a sample command for trying the stack.
func (s *Stack) Summary() string {
	var out strings.Builder
	for i, router := range s.Routers {
		a := router.Addresses()
		fmt.Fprintf(&out, "router-%d  callers http://%s  operators http://%s  metrics http://%s/metrics\n", i, a.Callers, a.Operators, a.Operators)
	}
	fmt.Fprintf(&out, "\ntry:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", s.Routers[0].Addresses().Callers, Key)
	fmt.Fprintf(&out, "    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"my balance?\"}]}'\n", Model)
	return out.String()
}

// pollInterval is the interval at which waitUntil checks its condition.
const pollInterval = 50 * time.Millisecond

// waitUntil waits until a condition holds or the context ends.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
