package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Route is a route of a configuration, in the protocol's form.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	TimeoutMs   int    `json:"timeout_ms"`
	LatencyMs   int    `json:"target_latency_ms"`
	GapMs       int    `json:"target_gap_ms,omitempty"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
	Resumable   bool   `json:"resumable"`
}

// Service is a service of a configuration.
type Service struct {
	Name   string         `json:"name"`
	Engine map[string]any `json:"engine,omitempty"`
	// ColdPerS is how many requests a second a cold server bears.
	ColdPerS float64 `json:"cold_per_s,omitempty"`
}

// Tenant is a customer of a configuration.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Limits bound clients.
type Limits struct {
	HeaderBytes int `json:"max_header_bytes"`
	BodyBytes   int `json:"max_body_bytes"`
	HeaderMs    int `json:"header_timeout_ms"`
	IdleMs      int `json:"idle_timeout_ms"`
}

// Config is the operator's configuration.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Limits   Limits    `json:"limits"`
}

// entry is a server's own entry in the store.
type entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdMs   int64   `json:"cold_remaining_ms"`
	Sequence int64   `json:"sequence"`
	Born     int64   `json:"born,omitempty"`
	Models   []model `json:"models,omitempty"`
}

// model is one that a server's entry names.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// Platform is the whole stand-in: a store, its address, and servers.
type Platform struct {
	Store    *Store
	listener net.Listener
	http     *http.Server
	wait     sync.WaitGroup

	// done ends what is to be done later.
	done chan struct{}

	mu      sync.Mutex
	servers []listed
	// mended says that requests end no server any more.
	mended bool
	// crashes are when servers ended under requests, by service.
	crashes map[string][]time.Time
}

// listed is a server with what its entry says besides.
type listed struct {
	*Server
	service, zone string
	// firstID is the id of the first life of the server.
	firstID string
}

// New serves a store on an address, IP:port; port 0 takes a free one.
func New(address string) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	p := &Platform{Store: NewStore(), listener: listener, done: make(chan struct{}), crashes: make(map[string][]time.Time)}
	p.http = &http.Server{Handler: p.Store, ReadHeaderTimeout: time.Minute}
	p.wait.Go(func() { _ = p.http.Serve(listener) })
	return p, nil
}

// StoreAddress is where the store listens.
func (p *Platform) StoreAddress() string {
	return p.listener.Addr().String()
}

// Accept has the operator write a configuration.
func (p *Platform) Accept(config *Config) error {
	data, err := json.Marshal(config)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	p.Store.Put("op/config", data)
	return nil
}

// AddServer starts a server of a service and enters it into the list.
func (p *Platform) AddServer(service, zone, address string, options ServerOptions) (*Server, error) {
	made := listed{service: service, zone: zone, firstID: options.ID}
	err := p.addLife(&made, address, options, 1)
	return made.Server, err
}

// addLife starts one life of a server and enters it into the list.
func (p *Platform) addLife(made *listed, address string, options ServerOptions, life int) error {
	server, err := NewServer(address, options)
	if err != nil {
		return errors.Wrap(err, "listen for a server")
	}
	made.Server = server
	of := *made
	server.onEnd(func() {
		p.mu.Lock()
		p.crashes[of.service] = append(p.crashes[of.service], time.Now())
		p.mu.Unlock()
		p.outlive(of, life+1)
	})
	p.mu.Lock()
	p.servers = append(p.servers, of)
	if p.mended {
		server.mend()
	}
	p.mu.Unlock()
	return p.Enter(of.service, of.zone, "ready", server)
}

// Enter writes a server's entry with a state.
func (p *Platform) Enter(service, zone, state string, server *Server) error {
	made := entry{Service: service, Address: server.Address(), Zone: zone, Version: server.options.Version, Slots: demoSlots, State: state}
	if server.options.Weights > 0 {
		made.Models = []model{{Name: "m", Version: server.options.Weights, Adapters: []string{}}}
	}
	if server.options.KeepsID {
		made.Born = server.born.UnixMilli()
	}
	return p.enter(server.ID(), made)
}

// firstVersion is that of servers of which no version matters.
const firstVersion = "v1"

// demoSlots is how many requests a server says that it works on at once.
const demoSlots = 8

// Entry is that of a server which is reached at another address than its own, IP:port.
type Entry struct {
	ID, Service, Zone, Address string
	// Version is that of the server's software; empty is the first one.
	Version string
	State   string
	// Cold is for how much longer the server is cold.
	Cold time.Duration
}

// EnterAt writes an entry.
func (p *Platform) EnterAt(made Entry) error {
	return p.enter(made.ID, entry{
		Service: made.Service, Address: made.Address, Zone: made.Zone, Version: made.Version,
		Slots: demoSlots, State: made.State, ColdMs: made.Cold.Milliseconds(),
	})
}

func (p *Platform) enter(id string, made entry) error {
	if made.Version == "" {
		made.Version = firstVersion
	}
	data, err := json.Marshal(made)
	if err != nil {
		return errors.Wrap(err, "encode a server's entry")
	}
	p.Store.Put("servers/"+id, data)
	return nil
}

// Evacuate has the operator ask that nothing more go to a zone's servers, or take that
// back.
func (p *Platform) Evacuate(zone string, evacuated bool) {
	if evacuated {
		p.Store.Put("op/evacuate/"+zone, []byte("{}"))
		return
	}
	p.Store.Remove("op/evacuate/" + zone)
}

// Leave removes a server's entry; the server goes on.
func (p *Platform) Leave(server *Server) {
	p.Store.Remove("servers/" + server.ID())
}

// Close ends the store and all servers, and waits.
func (p *Platform) Close() error {
	close(p.done)
	err := p.http.Close()
	p.wait.Wait()
	p.mu.Lock()
	servers := p.servers
	p.mu.Unlock()
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Close())
	}
	return err
}
