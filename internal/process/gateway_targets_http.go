package process

import (
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
)

// PathTargets serves the state of each target on a gateway's metrics address.
const PathTargets = "/targets"

// TargetStatus is the state of one target as a gateway sees it.
type TargetStatus struct {
	ID          string `json:"id"`
	Incarnation string `json:"life"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCenter  string `json:"data_center"`
	Version     string `json:"version,omitempty"`
	// Reason is why the target gets no requests, or less than its share; balance.ReasonNone if it
	// gets its share.
	Reason balance.Reason `json:"standing"`
	// RemainingMS is how much longer the reason applies, in milliseconds; zero if unknown.
	RemainingMS int64 `json:"left_ms,omitempty"`
	// InFlight counts this gateway's requests in flight at the target, and Others those of the
	// other gateways.
	InFlight int `json:"in_flight"`
	Others   int `json:"others"`
}

// targetStatuses returns the state of all targets.
func (p *GatewayProcess) targetStatuses() []TargetStatus {
	var targets []TargetStatus
	for _, target := range p.gateway.Balancer.TargetStatuses(clock.Check()) {
		targets = append(targets, TargetStatus{
			ID: target.ID, Incarnation: target.Incarnation, Service: target.Service, Address: target.Address,
			DataCenter: target.DataCenter, Version: target.Version, Reason: target.Reason,
			RemainingMS: target.Remaining.Milliseconds(), InFlight: target.InFlight, Others: target.Others,
		})
	}
	return targets
}

// countTargets counts the targets that get no requests, or fewer, for a reason.
func (p *GatewayProcess) countTargets(reason balance.Reason) float64 {
	count := 0
	for _, target := range p.gateway.Balancer.TargetStatuses(clock.Check()) {
		if target.Reason == reason {
			count++
		}
	}
	return float64(count)
}
