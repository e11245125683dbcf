package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
)

const (
	// queuePart of the route's target latency is how long a request waits at
	// most for its turn: who comes back after an early refusal can still be
	// served in time.
	queuePart = 0.1
	// queueDefault is the same where a route names no target latency.
	queueDefault = 200 * time.Millisecond
)

// awaitTurn waits until the targets of the service have room for the request,
// or refuses it.
func (c *call) awaitTurn(ctx context.Context) *fault.Error {
	if c.gateway.Limiters == nil {
		return nil
	}
	limiter := c.gateway.Limiters.Of(c.service)
	began := clock.Now()
	room := c.gateway.Balancer.Room(c.service, c.gateway.admitting(c.service, began), limiter.Demand()+1, began)
	turn, comeBack := limiter.Offer(c.entry(began), room, began)
	if turn == nil {
		return fullRefusal(comeBack)
	}
	c.turn = turn
	defer func() { c.queued = clock.Since(began) }()
	timer := time.NewTimer(c.queuePatience(began))
	defer timer.Stop()
	select {
	case <-turn.Admitted():
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	now := clock.Now()
	if comeBack, left := turn.Leave(c.deadline.Sub(now), now); left {
		return fullRefusal(comeBack)
	}
	return nil
}

func fullRefusal(comeBack time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "all targets of the service are full").After(comeBack)
}

func (c *call) entry(now time.Time) admission.Entry {
	entry := admission.Entry{
		Rank:     c.table.Rank(c.workspace, c.route),
		Patience: c.queuePatience(now),
		Left:     c.deadline.Sub(now),
	}
	if c.workspace != nil {
		entry.Workspace = c.workspace.Name
	}
	return entry
}

// queuePatience is how long the request may still wait for its turn.
func (c *call) queuePatience(now time.Time) time.Duration {
	whole := queueDefault
	if c.route.TargetLatency > 0 {
		whole = time.Duration(queuePart * float64(c.route.TargetLatency))
	}
	return max(whole-now.Sub(c.request.Arrived), 0)
}

// endTurn notes that the request is counted at a target, or given up.
func (c *call) endTurn() {
	if c.turn == nil {
		return
	}
	c.turn.Begin()
	c.turn = nil
}

// hasRoom says whether the service has room for a retry: those who wait for
// their first attempt go before.
func (g *Gateway) hasRoom(service string) bool {
	if g.Limiters == nil {
		return true
	}
	if g.Limiters.Of(service).Waiting() > 0 {
		return false
	}
	now := clock.Now()
	return g.Balancer.Room(service, g.admitting(service, now), 1, now) > 0
}

// admitWaiting admits requests that wait for a service which may have room.
func (g *Gateway) admitWaiting(service string) {
	if g.Limiters == nil {
		return
	}
	g.fill(service, g.Limiters.Of(service))
}

// AdmitWaiting admits requests that wait for any service which may have room,
// as when other gateways have reported less load.
func (g *Gateway) AdmitWaiting() {
	if g.Limiters != nil {
		g.Limiters.Each(g.fill)
	}
}

func (g *Gateway) fill(service string, limiter *admission.Limiter) {
	if limiter.Waiting() == 0 {
		return
	}
	now := clock.Now()
	limiter.Admit(g.Balancer.Room(service, g.admitting(service, now), limiter.Demand(), now), now)
}
