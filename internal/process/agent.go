package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/metric"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/target"
)

// agentProcess runs an agent and all its services.
type agentProcess struct {
	*common
	agent *agent.Agent
}

func newAgent(ctx context.Context, s *settings.Settings, logger *log.Logger) (*agentProcess, error) {
	c, err := newCommon(ctx, s, logger)
	if err != nil {
		return nil, err
	}
	p := &agentProcess{common: c}
	options := agent.Options{
		ID:         s.ID,
		Session:    c.node.Session,
		DataCenter: s.DataCenter,
		Targets:    agentTargets(s),
		Admission:  s.AdmissionOptions(),
		Cache:      s.CacheOptions(),
		Once:       s.OnceOptions(),
		Members:    c.node.Members,
		Config:     c.node.Config,
		Store:      c.store,
		Dialer:     c.node.Pool,
		Clock:      once.HostClock{},
		Log:        c.log,
		HostID:     s.Host,
	}
	if s.Hosts != "" {
		options.Hosts = &external.HTTPHosts{Base: s.Hosts, Client: newHTTPClient()}
	}
	p.agent = agent.New(options)
	c.node.Serve(p.agent.Handle)
	c.registerGauges()
	p.registerLoadGauges()
	p.registerClockGauge()
	ops := &operators{common: c, ready: func() bool { return true }}
	return p, errors.Join(
		c.kernel.Register("agent", p.agent),
		c.kernel.Register("operators", newHTTPService(c.operators, ops.handler(), c.log)),
	)
}

func agentTargets(s *settings.Settings) []agent.Target {
	client := newHTTPClient()
	var targets []agent.Target
	for _, t := range s.Targets {
		converted := agent.Target{ID: t.ID, Pool: t.Pool, Managed: t.Managed, Version: t.Version}
		if t.Kind == "service" {
			converted.Service = &target.HTTPService{Base: t.URL, Client: client}
		} else {
			converted.Engine = &target.HTTPEngine{Base: t.URL, Client: client}
		}
		targets = append(targets, converted)
	}
	return targets
}

// registerLoadGauges exports the total load of the agent's targets; an agent has only a few.
func (p *agentProcess) registerLoadGauges() {
	metric.Gauge(p.registry, "targets_in_flight", "Requests in flight at this agent's targets.", func() float64 {
		sum := 0
		for _, load := range p.agent.Loads() {
			sum += load.InFlight
		}
		return float64(sum)
	})
	metric.Gauge(p.registry, "targets_queued", "Requests queued at this agent's targets.", func() float64 {
		sum := 0
		for _, load := range p.agent.Loads() {
			sum += load.Queued
		}
		return float64(sum)
	})
}

// registerClockGauge exports the number of clock warnings.
func (p *agentProcess) registerClockGauge() {
	metric.Gauge(p.registry, "clock_warnings", "Exchanges that showed wall clocks too far apart.", func() float64 {
		return float64(p.agent.ClockWarnings())
	})
}

// registerGauges exports the metrics that routers and agents share.
func (c *common) registerGauges() {
	metric.Gauge(c.registry, "config_revision", "Configuration revision in force.", func() float64 {
		return float64(c.node.Config.Revision())
	})
	metric.Gauge(c.registry, "members_known", "Members known, the dead ones too.", func() float64 {
		return float64(len(c.node.Members.Roster()))
	})
	metric.Gauge(c.registry, "member_suspicions", "Suspicions begun by this process.", func() float64 {
		return float64(c.node.Members.Suspicions())
	})
	metric.Gauge(c.registry, "member_bytes_sent", "Bytes of membership datagrams sent.", func() float64 {
		sent, _ := c.node.Heartbeats.Traffic()
		return float64(sent)
	})
	metric.Gauge(c.registry, "member_bytes_received", "Bytes of membership datagrams received.", func() float64 {
		_, received := c.node.Heartbeats.Traffic()
		return float64(received)
	})
	metric.Gauge(c.registry, "link_sessions", "Link sessions open to other processes.", func() float64 {
		return float64(c.node.Pool.Sessions())
	})
	metric.Gauge(c.registry, "link_bad_peers", "Link peers dropped for what they sent.", func() float64 {
		return float64(c.node.BadPeers())
	})
}

// Start starts all services.
func (p *agentProcess) Start(ctx context.Context) error {
	if err := p.common.Start(ctx); err != nil {
		return err
	}
	p.log.Info("agent started", "targets", len(p.settings.Targets), "operators", p.addresses.Operators, "link", p.addresses.Link)
	return nil
}

// leavePropagationTime is the minimum duration of a drain, so that the other processes learn that
// the agent is leaving before it stops.
const leavePropagationTime = time.Second

// Drain stops accepting work, hands over the agent's slots and waits for requests in flight.
func (p *agentProcess) Drain(ctx context.Context) error {
	p.log.Info("agent draining")
	start := time.Now()
	err := p.agent.Drain(ctx)
	if remaining := leavePropagationTime - time.Since(start); remaining > 0 {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return err
}
