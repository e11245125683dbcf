// Package dev runs the whole system in one process on loopback: routers,
// agents and the stand-ins, as services of one kernel. It is the embedded
// default of the binary and what its own story runs against.
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

// The size of a stack: that of one of today's deployments.
const (
	routers        = 3
	engineHosts    = 10
	enginesPerHost = 5
	serviceHosts   = 3
	// loadsPerSecond is the rate of the weight store.
	loadsPerSecond = 2
	// Model and Service are the names that the stack serves.
	Model   = "volta-chat"
	Service = "topup"
	// Key is the API key of the one workspace.
	Key       = "dev-key"
	Workspace = "demo"
)

// engineLag is how late the engines' reports and cache events are.
const engineLag = 500 * time.Millisecond

// Centers are the data centres of the stack.
var Centers = []string{"accra-1", "accra-2", "accra-3"}

// Options say where the stack listens.
type Options struct {
	// Callers is the first router's address for callers; port 0 takes any.
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
	// Agents are by process id; TargetHost names each target's agent.
	Agents     map[string]process.Process
	TargetHost map[string]string

	options Options
	kernel  *kernel.Kernel
	// authority issues throwaway certificates; beatKey signs beats.
	authority *secure.Authority
	beatKey   string
	seed      string
	store     string
	hosts     string
}

// New puts a stack together; Start starts it.
func New(options Options) (*Stack, error) {
	s := &Stack{
		Store:      fakestore.New(),
		Engines:    make(map[string]*fakeengine.Engine),
		Services:   make(map[string]*fakeservice.Server),
		Agents:     make(map[string]process.Process),
		TargetHost: make(map[string]string),
		options:    options,
		kernel:     kernel.New(),
	}
	if err := s.makeKeys(); err != nil {
		return nil, err
	}
	if err := s.addPlatform(); err != nil {
		return nil, err
	}
	if err := s.addEngineHosts(); err != nil {
		return nil, err
	}
	if err := s.addServiceHosts(); err != nil {
		return nil, err
	}
	return s, s.addRouters()
}

// makeKeys makes the keys of this one run, in memory.
func (s *Stack) makeKeys() error {
	var err error
	if s.authority, err = secure.NewAuthority(); err != nil {
		return err
	}
	const keyLength = 32
	key := make([]byte, keyLength)
	_, _ = rand.Read(key)
	s.beatKey = hex.EncodeToString(key)
	return nil
}

// serve registers an HTTP stand-in on a free loopback port.
func (s *Stack) serve(name string, handler http.Handler) (string, error) {
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
	if s.store, err = s.serve("store", s.Store.Handler()); err != nil {
		return err
	}
	if s.hosts, err = s.serve("hosts", s.Hosts.Handler()); err != nil {
		return err
	}
	s.Weights = fakeweights.New(loadsPerSecond)
	_, err = s.serve("weights", s.Weights.Handler())
	return err
}

func (s *Stack) addEngineHosts() error {
	for h := range engineHosts {
		var targets []settings.Target
		for e := range enginesPerHost {
			id := fmt.Sprintf("engine-%02d", h*enginesPerHost+e)
			engine := fakeengine.New(fakeengine.Options{Name: id, Lag: engineLag, Fetch: s.Weights.Fetch}, Model)
			s.Engines[id] = engine
			url, err := s.serve(id, engine.Handler())
			if err != nil {
				return err
			}
			targets = append(targets, settings.Target{ID: id, Kind: "engine", Pool: Model, URL: url})
		}
		if err := s.addAgent(fmt.Sprintf("engine-host-%d", h), Centers[h%len(Centers)], targets); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stack) addServiceHosts() error {
	for h := range serviceHosts {
		id := fmt.Sprintf("%s-%d", Service, h)
		server := fakeservice.New(id, nil)
		s.Services[id] = server
		url, err := s.serve(id, server.Handler())
		if err != nil {
			return err
		}
		targets := []settings.Target{{ID: id, Kind: "service", Pool: Service, URL: url}}
		if err := s.addAgent(fmt.Sprintf("service-host-%d", h), Centers[h%len(Centers)], targets); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stack) common(role, id, center string) (*settings.Settings, error) {
	keys, err := s.authority.Issue(id, role, keyLife)
	if err != nil {
		return nil, err
	}
	made := &settings.Settings{
		Role:       role,
		ID:         id,
		DataCenter: center,
		Operators:  "127.0.0.1:0",
		Link:       "127.0.0.1:0",
		Beat:       "127.0.0.1:0",
		Store:      s.store,
		TLS:        settings.TLS{CA: keys.CA, Cert: keys.Cert, Key: keys.Key},
		Membership: settings.Membership{Key: s.beatKey},
	}
	if s.seed != "" {
		made.Seeds = []string{s.seed}
	}
	return made, nil
}

// keyLife is how long the throwaway certificates hold.
const keyLife = 7 * 24 * time.Hour

func (s *Stack) addAgent(id, center string, targets []settings.Target) error {
	made, err := s.common("agent", id, center)
	if err != nil {
		return err
	}
	made.Targets = targets
	made.Hosts = s.hosts
	made.Host = id
	agent, err := process.New(made, s.options.Log)
	if err != nil {
		return err
	}
	s.Agents[id] = agent
	for _, t := range targets {
		s.TargetHost[t.ID] = id
	}
	return s.add(id, agent)
}

// add registers a process; the first one is the seed of all others.
func (s *Stack) add(id string, p process.Process) error {
	if s.seed == "" {
		s.seed = p.Addresses().Beat
	}
	return s.kernel.Register(id, p)
}

func (s *Stack) addRouters() error {
	for i := range routers {
		id := fmt.Sprintf("router-%d", i)
		made, err := s.common("router", id, Centers[i%len(Centers)])
		if err != nil {
			return err
		}
		made.Callers = "127.0.0.1:0"
		if i == 0 && s.options.Callers != "" {
			made.Callers = s.options.Callers
		}
		router, err := process.New(made, s.options.Log)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, router)
		if err := s.add(id, router); err != nil {
			return err
		}
	}
	return nil
}

// Start starts everything, sets the first configuration and waits until the
// routers are ready and the service's slots have owners.
func (s *Stack) Start(ctx context.Context) error {
	if err := s.kernel.Start(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	for _, router := range s.Routers {
		url := "http://" + router.Addresses().Callers
		if err := until(ctx, func() bool { return statusOf(ctx, url+"/readyz") == http.StatusOK }); err != nil {
			return errors.Wrap(err, "a router did not become ready")
		}
		if err := until(ctx, func() bool { return servesAll(ctx, router) }); err != nil {
			return errors.Wrap(err, "a router did not hear of all targets")
		}
	}
	return errors.Wrap(until(ctx, func() bool { return s.topUpWorks(ctx) }), "the service's slots got no owners")
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

// topUpWorks sends a harmless keyed request until an owner takes it.
func (s *Stack) topUpWorks(ctx context.Context) bool {
	c := newClient(s.Routers[0].Addresses().Callers)
	answer, err := c.topUp(ctx, uuid.Must(uuid.NewV7()).String(), "warm-up")
	return err == nil && answer.status == http.StatusOK
}

// Close ends everything and waits.
func (s *Stack) Close() error {
	err := s.kernel.Close()
	for _, engine := range s.Engines {
		err = errors.CombineErrors(err, engine.Close())
	}
	return err
}

// Summary is what a person needs to try the stack.
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

// pollEvery is the wait between two looks at a condition.
const pollEvery = 50 * time.Millisecond

// until waits for a condition or the end of the context.
func until(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollEvery)
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
