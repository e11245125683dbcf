package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/lag"
	"github.com/capersaddle/capersaddle/internal/listen"
	"github.com/capersaddle/capersaddle/internal/metric"
	"github.com/capersaddle/capersaddle/internal/router"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/shutdown"
	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// lastAccepted is how long after its signal a stopping process may accept requests. The
	// platform covers those that the stop still cuts off.
	lastAccepted = 3 * time.Second
	// lateTimer is how late a timer may fire on a busy host.
	lateTimer = 200 * time.Millisecond
	// unreadyDelay is how long an unready process still accepts requests, so that the platform's
	// load balancer notices first.
	unreadyDelay = lastAccepted - lateTimer
)

// stopPlan returns the course of a planned stop. Its signal was noticed now, and sent no earlier than
// sinceRun ago. A grace period of zero never ends.
func stopPlan(sinceRun, accepting, grace time.Duration) shutdown.Plan {
	plan := shutdown.Plan{Began: clock.Check().Add(-sinceRun)}
	plan.AcceptUntil = plan.Began.Add(accepting)
	if grace > 0 {
		plan.End = plan.Began.Add(grace)
	}
	return plan
}

// routerProcess runs a router and all its services.
type routerProcess struct {
	*common
	router  *router.Router
	lag     *lag.Monitor
	metrics *metric.Router
}

func newRouter(ctx context.Context, s *settings.Settings, logger *log.Logger) (*routerProcess, error) {
	callers, err := listen.Opener{Log: logger.With("process", s.ID)}.TCP(ctx, s.Callers, nil)
	if err != nil {
		return nil, listenError("callers", err)
	}
	c, err := newCommon(ctx, s, logger)
	if err != nil {
		return nil, errors.CombineErrors(err, callers.Close())
	}
	c.addresses.Callers = callers.Addr().String()
	p := &routerProcess{common: c, metrics: metric.NewRouter(c.registry), lag: lag.New()}
	p.router = router.New(router.Options{
		ID:           s.ID,
		Members:      c.node.Members,
		Config:       c.node.Config,
		Dialer:       c.node.Pool,
		Log:          c.log,
		Metrics:      p.metrics,
		Timeout:      time.Duration(s.Timeout),
		MaxBodyBytes: s.MaxBody,
	})
	c.registerGauges()
	ops := &operators{common: c, editor: config.NewEditor(c.store, c.node.Config), ready: p.router.Ready, routedTargets: p.router.Targets}
	return p, errors.Join(
		c.kernel.Register("lag", p.lag),
		c.kernel.Register("router", p.router),
		c.kernel.Register("operators", newHTTPService(c.operators, ops.handler(), c.log)),
		c.kernel.Register("callers", newHTTPService(callers, p.router.Handler(), c.log)),
	)
}

// Start starts all services; the router becomes ready once it has a configuration, from a peer or
// from the store.
func (p *routerProcess) Start(ctx context.Context) error {
	if err := p.common.Start(ctx); err != nil {
		return err
	}
	p.log.Info("router started", "callers", p.addresses.Callers, "operators", p.addresses.Operators, "link", p.addresses.Link)
	return nil
}

// Drain reports the router as not ready, keeps serving until the load balancer has noticed, and
// then waits for requests in flight.
func (p *routerProcess) Drain(ctx context.Context) error {
	p.log.Info("router draining")
	plan := stopPlan(p.lag.SinceRun(), unreadyDelay, 0)
	p.router.Stop(plan)
	p.node.Members.SetSelf(true, nil)
	wait.For(ctx, clock.Until(plan.AcceptUntil))
	p.log.Info("router accepts no more requests", "late_ms", clock.Since(plan.AcceptUntil).Milliseconds())
	return p.router.Drain(ctx)
}
