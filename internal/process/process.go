// Package process assembles routers, agents and gateways from their settings: one kernel each,
// which starts its services in the order of their registration.
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
	"github.com/capersaddle/capersaddle/internal/httpcheck"
	"github.com/capersaddle/capersaddle/internal/kernel"
	"github.com/capersaddle/capersaddle/internal/listen"
	"github.com/capersaddle/capersaddle/internal/node"
	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// Process is a router or an agent that can be started, drained and closed.
type Process interface {
	Start(ctx context.Context) error
	// Drain stops accepting work and waits for requests in flight.
	Drain(ctx context.Context) error
	// Close stops all services and waits for them.
	Close() error
	// Addresses returns the addresses that the process listens on, by purpose.
	Addresses() Addresses
}

// Addresses holds the IP:port that a process listens on for each purpose; empty if it does not
// listen.
type Addresses struct {
	Callers   string `json:"callers,omitempty"`
	Operators string `json:"operators"`
	Link      string `json:"link"`
	Beat      string `json:"beat"`
	// Ready is the address of a gateway's readiness checks.
	Ready string `json:"ready,omitempty"`
}

// New creates a process from its settings and opens its listeners. The context ends the wait for addresses
// that are in use.
func New(ctx context.Context, s *settings.Settings, logger *log.Logger) (Process, error) {
	switch s.Role {
	case "router":
		return newRouter(ctx, s, logger)
	case "agent":
		return newAgent(ctx, s, logger)
	}
	return nil, fault.New(fault.BadSettings, fault.NotRun, "role %q is neither router nor agent", s.Role)
}

// NewLogger creates a logger with the format and level of the settings.
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

// common is the part that routers and agents share.
type common struct {
	kernel    *kernel.Kernel
	node      *node.Node
	registry  *prometheus.Registry
	settings  *settings.Settings
	log       *log.Logger
	store     external.Store
	operators net.Listener
	// keys is nil without TLS.
	keys      *secure.Keys
	addresses Addresses
}

// newHTTPClient returns an HTTP client for the platform and the targets. It keeps many idle
// connections for each host, since one agent sends many concurrent requests to a target.
func newHTTPClient() *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{Transport: httpcheck.NewTransport(transport)}
}

func newCommon(ctx context.Context, s *settings.Settings, logger *log.Logger) (*common, error) {
	opener := listen.Opener{Log: logger.With("process", s.ID)}
	linkListener, err := opener.TCP(ctx, s.Link, nil)
	if err != nil {
		return nil, listenError("link", err)
	}
	heartbeatConn, err := opener.UDP(ctx, s.Beat)
	if err != nil {
		return nil, errors.CombineErrors(listenError("beat", err), linkListener.Close())
	}
	operators, err := opener.TCP(ctx, s.Operators, nil)
	if err != nil {
		return nil, errors.CombineErrors(listenError("operators", err), errors.CombineErrors(heartbeatConn.Close(), linkListener.Close()))
	}
	c := &common{
		kernel:    kernel.New(),
		registry:  prometheus.NewRegistry(),
		settings:  s,
		log:       logger.With("process", s.ID),
		store:     &external.HTTPStore{Base: s.Store, Client: newHTTPClient()},
		operators: operators,
		addresses: Addresses{
			Operators: operators.Addr().String(),
			Link:      linkListener.Addr().String(),
			Beat:      heartbeatConn.LocalAddr().String(),
		},
	}
	c.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	keys, signer, err := loadKeys(s)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(errors.CombineErrors(operators.Close(), heartbeatConn.Close()), linkListener.Close()))
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
		HeartbeatConn: heartbeatConn,
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

// loadKeys loads the process's TLS keys, nil if it has none, and its membership signer.
func loadKeys(s *settings.Settings) (*secure.Keys, *secure.Signer, error) {
	signer, err := secure.NewSigner(s.Membership.Key)
	if err != nil || !s.TLS.Source().Set() {
		return nil, signer, err
	}
	keys, err := secure.Load(s.TLS.Source())
	return keys, signer, err
}

func listenError(field string, err error) *fault.Error {
	return fault.New(fault.BadSettings, fault.NotRun, "field %q: %v; choose another port or stop the process that uses it", field, err)
}

// Start starts all services.
func (c *common) Start(ctx context.Context) error {
	return c.kernel.Start(ctx)
}

// Close closes all services in reverse order.
func (c *common) Close() error {
	return c.kernel.Close()
}

// Addresses returns the addresses that the process listens on.
func (c *common) Addresses() Addresses {
	return c.addresses
}
