package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Route is a route of a configuration, in the protocol's format.
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
	// ColdPerS is the number of requests per second that a cold server can handle.
	ColdPerS float64 `json:"cold_per_s,omitempty"`
}

// Tenant is a customer of a configuration.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Limits are the limits for clients.
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

// entry is the store entry that a server writes for itself.
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

// model is a model in a server's entry.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// Platform emulates the whole platform: a store, its listener, and servers.
type Platform struct {
	Store    *Store
	listener net.Listener
	http     *http.Server
	wait     sync.WaitGroup

	// done is closed to cancel delayed actions.
	done chan struct{}

	mu      sync.Mutex
	servers []registeredServer
	// crashesDisabled stops fatal requests from crashing servers.
	crashesDisabled bool
	// crashes holds the times at which requests crashed servers, by service.
	crashes map[string][]time.Time
}

// registeredServer is a server with the fields of its entry that the server itself doesn't
// hold.
type registeredServer struct {
	*Server
	service, zone string
	// firstID is the ID of the server's first incarnation.
	firstID string
}

// New serves a store on an address, IP:port; port 0 picks a free port.
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

// StoreAddress returns the address at which the store listens.
func (p *Platform) StoreAddress() string {
	return p.listener.Addr().String()
}

// Accept writes a configuration as the operator.
func (p *Platform) Accept(config *Config) error {
	data, err := json.Marshal(config)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	p.Store.Put("op/config", data)
	return nil
}

// AddServer starts a server of a service and registers it in the store.
func (p *Platform) AddServer(service, zone, address string, options ServerOptions) (*Server, error) {
	added := registeredServer{service: service, zone: zone, firstID: options.ID}
	err := p.addIncarnation(&added, address, options, 1)
	return added.Server, err
}

// addIncarnation starts one incarnation of a server and registers it in the store.
func (p *Platform) addIncarnation(added *registeredServer, address string, options ServerOptions, incarnation int) error {
	if err := p.startIncarnation(added, address, options, incarnation); err != nil {
		return err
	}
	return p.Enter(added.service, added.zone, "ready", added.Server)
}

// startIncarnation starts one incarnation of a server.
func (p *Platform) startIncarnation(added *registeredServer, address string, options ServerOptions, incarnation int) error {
	server, err := NewServer(address, options)
	if err != nil {
		return errors.Wrap(err, "listen for a server")
	}
	added.Server = server
	registered := *added
	server.setOnCrash(func() {
		p.mu.Lock()
		p.crashes[registered.service] = append(p.crashes[registered.service], time.Now())
		p.mu.Unlock()
		p.scheduleRestart(registered, incarnation+1)
	})
	p.mu.Lock()
	p.servers = append(p.servers, registered)
	if p.crashesDisabled {
		server.disableCrashes()
	}
	p.mu.Unlock()
	return nil
}

// Enter writes a server's entry with the given state.
func (p *Platform) Enter(service, zone, state string, server *Server) error {
	record := entry{Service: service, Address: server.Address(), Zone: zone, Version: server.options.Version, Slots: demoSlots, State: state}
	if server.options.Weights > 0 {
		record.Models = []model{{Name: "m", Version: server.options.Weights, Adapters: []string{}}}
	}
	if server.options.KeepsID {
		record.Born = server.Born()
	}
	return p.enter(server.ID(), record)
}

// firstVersion is the version of servers whose options set none.
const firstVersion = "v1"

// demoSlots is the number of concurrent requests that a server advertises.
const demoSlots = 8

// Entry describes the entry of a server that is reached at another address than its own,
// IP:port, such as a proxy's.
type Entry struct {
	ID, Service, Zone, Address string
	// Version is the version of the server's software; empty means firstVersion.
	Version string
	State   string
	// Cold is the remaining cold time of the server.
	Cold time.Duration
}

// EnterAt writes an entry as described.
func (p *Platform) EnterAt(description Entry) error {
	return p.enter(description.ID, entry{
		Service: description.Service, Address: description.Address, Zone: description.Zone, Version: description.Version,
		Slots: demoSlots, State: description.State, ColdMs: description.Cold.Milliseconds(),
	})
}

func (p *Platform) enter(id string, record entry) error {
	if record.Version == "" {
		record.Version = firstVersion
	}
	data, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode server entry")
	}
	p.Store.Put("servers/"+id, data)
	return nil
}

// Evacuate writes or removes the operator's order to send no further requests to the servers of
// a zone.
func (p *Platform) Evacuate(zone string, evacuated bool) {
	if evacuated {
		p.Store.Put("op/evacuate/"+zone, []byte("{}"))
		return
	}
	p.Store.Remove("op/evacuate/" + zone)
}

// Leave removes a server's entry. The server keeps running.
func (p *Platform) Leave(server *Server) {
	p.Store.Remove("servers/" + server.ID())
}

// Close stops the store and all servers and waits for them.
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
