package process

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/metric"
	"github.com/capersaddle/capersaddle/internal/router"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// unreadyFor is how long an unready router still takes requests, so that the
// platform's balancer sees it first.
const unreadyFor = 3 * time.Second

// routerProcess is a router with all its services.
type routerProcess struct {
	*common
	router  *router.Router
	metrics *metric.Router
}

func newRouter(s *settings.Settings, logger *log.Logger) (*routerProcess, error) {
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return nil, listenFailed("callers", err)
	}
	c, err := newCommon(s, logger)
	if err != nil {
		return nil, errors.CombineErrors(err, callers.Close())
	}
	c.addresses.Callers = callers.Addr().String()
	p := &routerProcess{common: c, metrics: metric.NewRouter(c.registry)}
	p.router = router.New(router.Options{
		ID:           s.ID,
		Members:      c.node.Members,
		Config:       c.node.Config,
		Dialer:       c.node.Pool,
		Log:          c.log,
		Metrics:      p.metrics,
		Timeout:      time.Duration(s.Timeout),
		MaxBodyBytes: s.MostBody,
	})
	c.registerGauges()
	ops := &operators{common: c, editor: config.NewEditor(c.store, c.node.Config), ready: p.router.Ready, routed: p.router.Targets}
	return p, errors.Join(
		c.kernel.Register("router", p.router),
		c.kernel.Register("operators", newHTTPService(c.operators, ops.handler())),
		c.kernel.Register("callers", newHTTPService(callers, p.router.Handler())),
	)
}

// Start starts all services; the router is ready once it holds a
// configuration, from a peer or from the store.
func (p *routerProcess) Start(ctx context.Context) error {
	if err := p.common.Start(ctx); err != nil {
		return err
	}
	p.log.Info("router started", "callers", p.addresses.Callers, "operators", p.addresses.Operators, "link", p.addresses.Link)
	return nil
}

// Drain goes unready, goes on serving until the balancer has surely seen it,
// and then waits for requests in flight.
func (p *routerProcess) Drain(ctx context.Context) error {
	p.log.Info("router draining")
	p.router.Unready()
	p.node.Members.SetSelf(true, nil)
	timer := time.NewTimer(unreadyFor)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.router.Drain(ctx)
}
