package process

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// versionRegistry tells the rollout controller which target versions exist.
type versionRegistry struct {
	balancer *balance.Balancer
}

// Versions counts a service's targets by version; it returns nil for an unknown service.
func (r versionRegistry) Versions(service string) map[string]int {
	return r.balancer.VersionsOf(service)
}

// newRolloutController creates the rollout controller. The feed, and the peer service if there is
// one, must already exist.
func (p *GatewayProcess) newRolloutController() *rollout.Controller {
	options := rollout.ControllerOptions{
		Options:  rolloutOptions(p.settings),
		Store:    p.feed,
		Registry: versionRegistry{balancer: p.gateway.Balancer},
		Watcher:  p.observer,
	}
	if p.peers != nil {
		options.Peers = p.peers
	}
	controller := rollout.NewController(options)
	if p.peers != nil {
		p.peers.SetRollouts(controller)
	}
	return controller
}

// registerRollouts makes the gateway apply rollout decisions. It must come before the feed starts
// to pass on the store's content.
func (p *GatewayProcess) registerRollouts(registry prometheus.Registerer) error {
	p.rollouts = p.newRolloutController()
	observe.RegisterRollouts(registry, p.rollouts.Rollouts)
	p.gateway.Rollouts = p.rollouts.Gate()
	return p.kernel.Register("rollouts", p.rollouts)
}

func rolloutOptions(s *settings.Gateway) rollout.Options {
	return rollout.Options{Share: s.Rollout.Share, Slack: s.Rollout.Slack, Rollback: time.Duration(s.Rollout.Rollback)}
}

// Ordered receives an order to move a service to a version.
func (s *sink) Ordered(order rollout.Order) {
	s.process.rollouts.Ordered(order)
	s.notifyPeers()
}

// Withdrawn is called when a service no longer has an order.
func (s *sink) Withdrawn(service string) {
	s.process.rollouts.Withdrawn(service)
	s.notifyPeers()
}

// Recorded receives the stored record of a rollout.
func (s *sink) Recorded(record rollout.Record, revision int64) {
	s.process.rollouts.Recorded(record, revision)
	s.notifyPeers()
}
