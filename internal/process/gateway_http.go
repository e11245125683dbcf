package process

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/capersaddle/capersaddle/internal/inbound"
	"github.com/capersaddle/capersaddle/internal/listen"
	"github.com/capersaddle/capersaddle/internal/socket"
	"github.com/capersaddle/capersaddle/internal/spool"
	"github.com/capersaddle/capersaddle/internal/usage"
	"github.com/capersaddle/capersaddle/platform"
)

// callerIdleTimeout returns the configured idle timeout of callers' connections; zero means no
// limit.
func (p *GatewayProcess) callerIdleTimeout() time.Duration {
	if table := p.gateway.Table(); table != nil {
		return table.Limits().IdleTimeout
	}
	return 0
}

// callerHeaderTimeout returns the time limit for reading a request's header: the configured one,
// but at most headerTimeout.
func (p *GatewayProcess) callerHeaderTimeout() time.Duration {
	if table := p.gateway.Table(); table != nil && table.Limits().HeaderTimeout > 0 {
		return min(table.Limits().HeaderTimeout, headerTimeout)
	}
	return headerTimeout
}

// callerUserTimeout closes a caller's connection whose sent bytes stay unacknowledged: a caller
// that vanished would otherwise keep a target working on its stream.
const callerUserTimeout = 10 * time.Second

// opener returns what opens the process's addresses.
func (p *GatewayProcess) opener() listen.Opener {
	return listen.Opener{Log: p.log}
}

const (
	// callerDescriptorShare is the share of the process's file descriptors that callers' connections may
	// take. The rest is for targets, the store and other gateways.
	callerDescriptorShare = 0.6
	// connectionMemoryShare is the share of the process's memory that callers' connections may take, each of
	// callerConnectionBytes.
	connectionMemoryShare = 1.0 / 8
	callerConnectionBytes = 20 << 10
	// headMemoryShare is the share of the process's memory for the heads of callers' requests. While a head
	// is read it is held up to three times.
	headMemoryShare = 1.0 / 16
)

// maxCallerConnections returns the number of callers' connections above which idle ones are closed; zero
// for no limit.
func maxCallerConnections(memory int64) int {
	limit := int(connectionMemoryShare * float64(memory) / callerConnectionBytes)
	descriptors, err := usage.MaxDescriptors()
	if err != nil {
		return limit // that of descriptors is not known
	}
	byDescriptors := int(callerDescriptorShare * float64(descriptors))
	if limit == 0 {
		return byDescriptors
	}
	return min(limit, byDescriptors)
}

// callerLimits returns the limits of callers' connections.
func (p *GatewayProcess) callerLimits() inbound.Limits {
	memory := memoryLimit(p.settings)
	return inbound.Limits{
		IdleTimeout:   p.callerIdleTimeout,
		HeaderTimeout: p.callerHeaderTimeout,
		Connections:   maxCallerConnections(memory),
		Heads:         spool.NewBudget(int64(headMemoryShare * float64(memory))),
		Ended:         func(reason inbound.Reason) { p.observer.CallerConnectionEnded(string(reason)) },
	}
}

// serveCallers listens on the callers' address.
func (p *GatewayProcess) serveCallers(ctx context.Context) error {
	listener, err := p.opener().TCP(ctx, p.settings.Callers, socket.UserTimeout(callerUserTimeout))
	if err != nil {
		return listenError("callers", err)
	}
	p.addresses.Callers = listener.Addr().String()
	p.callers = inbound.Listen(listener, p.callerLimits())
	p.server = &http.Server{
		Handler:           p.callers.Handler(p.front),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         p.callers.ConnState,
		ConnContext:       p.callers.ConnContext,
	}
	return p.kernel.Register("callers", newServerService(p.callers, p.server, p.log.With("part", "callers")))
}

// serveReady listens on the address of the platform's readiness checks.
func (p *GatewayProcess) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessHandler(func(context.Context) bool { return p.Ready() }))
	listener, err := p.opener().TCP(ctx, p.settings.Ready, nil)
	if err != nil {
		return listenError("ready", err)
	}
	p.addresses.Ready = listener.Addr().String()
	return p.kernel.Register("ready", newQuestionService(listener, mux, p.log))
}

// serveMetrics serves operators on the metrics address, if there is one. Callers are served without it, so
// the start does not wait for an address that is in use.
func (p *GatewayProcess) serveMetrics(registry *prometheus.Registry) error {
	if p.settings.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.Handle(PathRollouts, listHandler("rollouts", p.rollouts.Rollouts))
	mux.Handle(PathTargets, listHandler("targets", p.targetStatuses))
	mux.Handle(PathQuarantine, quarantineHandler(p.crashes))
	listener, err := net.Listen("tcp", p.settings.Metrics)
	if errors.Is(err, syscall.EADDRINUSE) {
		p.addresses.Operators = p.settings.Metrics
		return p.kernel.Register("metrics", &lateService{opener: listen.Opener{Log: p.log, Patience: listen.NoLimit}, address: p.settings.Metrics, handler: mux})
	}
	if err != nil {
		return listenError("metrics", err)
	}
	p.addresses.Operators = listener.Addr().String()
	return p.kernel.Register("metrics", newQuestionService(listener, mux, p.log))
}
