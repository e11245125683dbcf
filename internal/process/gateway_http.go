package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/capersaddle/capersaddle/internal/inbound"
	"github.com/capersaddle/capersaddle/internal/socket"
	"github.com/capersaddle/capersaddle/platform"
)

// idleLimit is how long a caller's connection may rest by the configuration in
// force; zero is without bound.
func (p *GatewayProcess) idleLimit() time.Duration {
	if table := p.gateway.Table(); table != nil {
		return table.Limits().IdleTimeout
	}
	return 0
}

// headLimit is how long the head of a request may take by the configuration in force.
func (p *GatewayProcess) headLimit() time.Duration {
	if table := p.gateway.Table(); table != nil && table.Limits().HeaderTimeout > 0 {
		return min(table.Limits().HeaderTimeout, headerTimeout)
	}
	return headerTimeout
}

// callerUserTimeout breaks a caller's connection whose bytes stay unacknowledged: one
// that has gone silent for good would keep a target at work on its stream.
const callerUserTimeout = 10 * time.Second

// serveCallers takes the callers' address.
func (p *GatewayProcess) serveCallers() error {
	listening := net.ListenConfig{Control: socket.UserTimeout(callerUserTimeout)}
	listener, err := listening.Listen(context.Background(), "tcp", p.settings.Callers)
	if err != nil {
		return listenFailed("callers", err)
	}
	p.addresses.Callers = listener.Addr().String()
	p.callers = inbound.Listen(listener, inbound.Limits{IdleTimeout: p.idleLimit, HeaderTimeout: p.headLimit})
	p.server = &http.Server{
		Handler:           p.front,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnState:         p.callers.ConnState,
		ErrorLog:          p.log.With("part", "callers").StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return p.kernel.Register("callers", newServerService(p.callers, p.server))
}

// serveReady takes the address at which the platform asks whether callers may
// come.
func (p *GatewayProcess) serveReady() error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessHandler(func(context.Context) bool { return p.Ready() }))
	address, err := p.serveHTTP("ready", p.settings.Ready, mux)
	p.addresses.Ready = address
	return err
}

// serveMetrics takes the address for metrics, if there is one.
func (p *GatewayProcess) serveMetrics(registry *prometheus.Registry) error {
	if p.settings.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.Handle(PathRollouts, listHandler("rollouts", p.rollouts.Rollouts))
	mux.Handle(PathTargets, listHandler("targets", p.targets))
	mux.Handle(PathQuarantine, quarantineHandler(p.crashes))
	address, err := p.serveHTTP("metrics", p.settings.Metrics, mux)
	p.addresses.Operators = address
	return err
}

// serveHTTP takes an address for a handler and returns where it listens.
func (p *GatewayProcess) serveHTTP(name, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", listenFailed(name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return listener.Addr().String(), p.kernel.Register(name, newServerService(listener, server))
}
