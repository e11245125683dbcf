package process

import (
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
)

// PathTargets is where a gateway's metrics address says what it makes of each target.
const PathTargets = "/targets"

// TargetStatus is what a gateway makes of one target.
type TargetStatus struct {
	ID          string `json:"id"`
	Incarnation string `json:"life"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCenter  string `json:"data_center"`
	Version     string `json:"version,omitempty"`
	// Standing is why it gets nothing, or less than its share; balance.ReasonNone otherwise.
	Reason balance.Reason `json:"standing"`
	// RemainingMS is for how many milliseconds that holds; zero if it is not known.
	RemainingMS int64 `json:"left_ms,omitempty"`
	// InFlight are this gateway's requests there, and Others those of the other gateways.
	InFlight int `json:"in_flight"`
	Others   int `json:"others"`
}

// targets are all targets as this gateway sees them.
func (p *GatewayProcess) targets() []TargetStatus {
	var targets []TargetStatus
	for _, known := range p.gateway.Balancer.Standings(clock.Check()) {
		targets = append(targets, TargetStatus{
			ID: known.ID, Incarnation: known.Life, Service: known.Service, Address: known.Address,
			DataCenter: known.DataCenter, Version: known.Version, Reason: known.Reason,
			RemainingMS: known.Left.Milliseconds(), InFlight: known.InFlight, Others: known.Others,
		})
	}
	return targets
}

// countReason is how many targets get nothing for a reason.
func (p *GatewayProcess) countReason(reason balance.Reason) float64 {
	count := 0
	for _, known := range p.gateway.Balancer.Standings(clock.Check()) {
		if known.Reason == reason {
			count++
		}
	}
	return float64(count)
}
