package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
)

const (
	// maxQueueShare limits how long a request waits in the queue, as a share of the route's target
	// latency. A caller that retries after an early refusal can still be served in time.
	maxQueueShare = 0.1
	// defaultMaxQueueTime is the limit for routes without a target latency.
	defaultMaxQueueTime = 200 * time.Millisecond
)

// awaitAdmission waits until the targets of the service have capacity for the request, or refuses
// it.
func (c *call) awaitAdmission(ctx context.Context) *fault.Error {
	if c.gateway.Limiters == nil {
		return nil
	}
	limiter := c.gateway.Limiters.Of(c.service)
	began := clock.Now()
	capacity := c.gateway.Balancer.Room(c.service, c.gateway.admittingVersions(c.service, began), limiter.Demand()+1, began)
	turn, retryAfter := limiter.Offer(c.queueEntry(began), capacity, began)
	if turn == nil {
		return overloadError(retryAfter)
	}
	c.turn = turn
	defer func() { c.queueTime = clock.Since(began) }()
	timer := time.NewTimer(c.queueTimeLeft(began))
	defer timer.Stop()
	select {
	case <-turn.Admitted():
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	now := clock.Now()
	if retryAfter, removed := turn.Leave(c.deadline.Sub(now), now); removed {
		return overloadError(retryAfter)
	}
	return nil
}

func overloadError(retryAfter time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "all targets of the service are full").After(retryAfter)
}

func (c *call) queueEntry(now time.Time) admission.Entry {
	entry := admission.Entry{
		Rank:     c.table.Rank(c.workspace, c.route),
		Patience: c.queueTimeLeft(now),
		Left:     c.deadline.Sub(now),
	}
	if c.workspace != nil {
		entry.Workspace = c.workspace.Name
	}
	return entry
}

// queueTimeLeft returns how long the request may still wait in the queue.
func (c *call) queueTimeLeft(now time.Time) time.Duration {
	limit := defaultMaxQueueTime
	if c.route.TargetLatency > 0 {
		limit = time.Duration(maxQueueShare * float64(c.route.TargetLatency))
	}
	return max(limit-now.Sub(c.request.Arrived), 0)
}

// endTurn releases the admission once the request is counted at a target or is given up.
func (c *call) endTurn() {
	if c.turn == nil {
		return
	}
	c.turn.Begin()
	c.turn = nil
}

// hasCapacity reports whether the service has capacity for a retry. Requests that wait for their
// first attempt take precedence.
func (g *Gateway) hasCapacity(service string) bool {
	if g.Limiters == nil {
		return true
	}
	if g.Limiters.Of(service).Waiting() > 0 {
		return false
	}
	now := clock.Now()
	return g.Balancer.Room(service, g.admittingVersions(service, now), 1, now) > 0
}

// admitWaitingFor admits waiting requests of a service that may have capacity.
func (g *Gateway) admitWaitingFor(service string) {
	if g.Limiters == nil {
		return
	}
	g.admitQueued(service, g.Limiters.Of(service))
}

// AdmitWaiting admits waiting requests of all services that may have capacity, for example when
// other gateways have reported less load.
func (g *Gateway) AdmitWaiting() {
	if g.Limiters != nil {
		g.Limiters.Each(g.admitQueued)
	}
}

func (g *Gateway) admitQueued(service string, limiter *admission.Limiter) {
	if limiter.Waiting() == 0 {
		return
	}
	now := clock.Now()
	limiter.Admit(g.Balancer.Room(service, g.admittingVersions(service, now), limiter.Demand(), now), now)
}
