// Package process puts routers and agents together from their settings: one
// kernel each, with its services in the order in which they start.
package process

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/kernel"
	"github.com/capersaddle/capersaddle/internal/node"
	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// Process is a router or an agent that can be started, drained and closed.
type Process interface {
	Start(ctx context.Context) error
	// Drain takes no new work and waits for what is in flight.
	Drain(ctx context.Context) error
	// Close ends everything and waits.
	Close() error
	// Addresses are where the process listens, by purpose.
	Addresses() Addresses
}

// Addresses are IP:port; empty where the process does not listen.
type Addresses struct {
	Callers   string `json:"callers,omitempty"`
	Operators string `json:"operators"`
	Link      string `json:"link"`
	Beat      string `json:"beat"`
	// Ready is where a gateway says whether callers may come.
	Ready string `json:"ready,omitempty"`
}

// New puts a process together from its settings and takes its addresses.
func New(s *settings.Settings, logger *log.Logger) (Process, error) {
	switch s.Role {
	case "router":
		return newRouter(s, logger)
	case "agent":
		return newAgent(s, logger)
	}
	return nil, fault.New(fault.BadSettings, fault.NotRun, "role %q is neither router nor agent", s.Role)
}

// NewLogger makes a logger as the settings say.
func NewLogger(out io.Writer, s settings.Log) *log.Logger {
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	if s.Format == "json" {
		options.Formatter = log.JSONFormatter
	}
	if level, err := log.ParseLevel(s.Level); err == nil && s.Level != "" {
		options.Level = level
	}
	return log.NewWithOptions(out, options)
}

// common is what routers and agents share.
type common struct {
	kernel    *kernel.Kernel
	node      *node.Node
	registry  *prometheus.Registry
	settings  *settings.Settings
	log       *log.Logger
	store     external.Store
	operators net.Listener
	// keys are nil without TLS.
	keys      *secure.Keys
	addresses Addresses
}

// outbound is the HTTP client for the platform and the targets. Connections
// are kept; targets get many requests at once from one agent.
func outbound() *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}
}

func newCommon(s *settings.Settings, logger *log.Logger) (*common, error) {
	linkListener, err := net.Listen("tcp", s.Link)
	if err != nil {
		return nil, listenFailed("link", err)
	}
	beatConn, err := listenUDP(s.Beat)
	if err != nil {
		return nil, errors.CombineErrors(listenFailed("beat", err), linkListener.Close())
	}
	operators, err := net.Listen("tcp", s.Operators)
	if err != nil {
		return nil, errors.CombineErrors(listenFailed("operators", err), errors.CombineErrors(beatConn.Close(), linkListener.Close()))
	}
	c := &common{
		kernel:    kernel.New(),
		registry:  prometheus.NewRegistry(),
		settings:  s,
		log:       logger.With("process", s.ID),
		store:     &external.HTTPStore{Base: s.Store, Client: outbound()},
		operators: operators,
		addresses: Addresses{
			Operators: operators.Addr().String(),
			Link:      linkListener.Addr().String(),
			Beat:      beatConn.LocalAddr().String(),
		},
	}
	c.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	keys, signer, err := loadKeys(s)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(errors.CombineErrors(operators.Close(), beatConn.Close()), linkListener.Close()))
	}
	c.keys = keys
	if keys != nil && s.TLS.Operators {
		c.operators = tls.NewListener(operators, keys.Server(secure.RoleRead, secure.RoleOperate, secure.RoleAdminister))
	}
	c.node, err = node.New(c.kernel, node.Options{
		ID:            s.ID,
		Role:          s.Role,
		DataCenter:    s.DataCenter,
		LinkListener:  linkListener,
		HeartbeatConn: beatConn,
		Seeds:         s.Seeds,
		Budget:        s.Budget(),
		Store:         c.store,
		Log:           c.log,
		Members:       s.MemberOptions(),
		Keys:          keys,
		Signer:        signer,
	})
	return c, err
}

// loadKeys reads the process's keys; nil keys if it has none.
func loadKeys(s *settings.Settings) (*secure.Keys, *secure.Signer, error) {
	signer, err := secure.NewSigner(s.Membership.Key)
	if err != nil || !s.TLS.Source().Set() {
		return nil, signer, err
	}
	keys, err := secure.Load(s.TLS.Source())
	return keys, signer, err
}

func listenUDP(address string) (*net.UDPConn, error) {
	parsed, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", parsed)
}

// anyPortTries is how often a free port is looked for that serves both TCP and
// UDP, when the address leaves the port to the system.
const anyPortTries = 16

// listenBoth takes one address for both UDP and TCP.
func listenBoth(address string) (*net.UDPConn, net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, err
	}
	tries := 1
	if port == "0" {
		tries = anyPortTries
	}
	for {
		conn, err := listenUDP(address)
		if err != nil {
			return nil, nil, err
		}
		listener, err := net.Listen("tcp", conn.LocalAddr().String())
		if err == nil {
			return conn, listener, nil
		}
		_ = conn.Close()
		if tries--; tries == 0 {
			return nil, nil, err
		}
	}
}

func listenFailed(field string, err error) *fault.Error {
	return fault.New(fault.BadSettings, fault.NotRun, "field %q: %v; choose another port or end the process that holds it", field, err)
}

// Start starts all services.
func (c *common) Start(ctx context.Context) error {
	return c.kernel.Start(ctx)
}

// Close closes all services in reverse order.
func (c *common) Close() error {
	return c.kernel.Close()
}

// Addresses tells where the process listens.
func (c *common) Addresses() Addresses {
	return c.addresses
}
