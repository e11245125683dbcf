package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// RetryDenial is why a further attempt was denied.
type RetryDenial string

// The reasons to deny a further attempt.
const (
	// DeniedSuspicious: the request was in flight at targets that crashed.
	DeniedSuspicious RetryDenial = "suspicious"
	// DeniedTime: the deadline is too close, or the caller left.
	DeniedTime RetryDenial = "time"
	// DeniedTarget: no further target is open.
	DeniedTarget RetryDenial = "target"
	// DeniedCapacity: the service has no capacity left for retries.
	DeniedCapacity RetryDenial = "capacity"
	// DeniedBudget: the retry budget is spent.
	DeniedBudget RetryDenial = "budget"
	// DeniedVersion: it is uncertain which version began the stream.
	DeniedVersion RetryDenial = "version"
)

// minAttemptTime is the minimum time left that makes another attempt worthwhile.
const minAttemptTime = 10 * time.Millisecond

// maxRefusedConnections is how many refused connections, and targets that didn't answer a question
// about their health, a request may have before a further attempt costs a retry. This many targets
// ended at nearly the same time, and none of them received anything.
const maxRefusedConnections = 3

// mayRetryAfter reports whether another attempt may follow the last one. If nothing was sent
// because the target accepts no new requests, refused the connection or didn't answer a question about
// its health, no retry is taken from the budget, which limits what targets receive.
func (c *call) mayRetryAfter(ctx context.Context, last *attempt) bool {
	switch {
	case last.outcome != delivery.Unsent:
		return c.takeRetry(ctx)
	case last.withdrawn:
		return c.canRetry(ctx)
	case last.unanswered && c.refusedConnections < maxRefusedConnections:
		c.refusedConnections++
		return c.canSend(ctx)
	case last.result == balance.Refused && c.refusedConnections < maxRefusedConnections:
		c.refusedConnections++
		return c.canRetry(ctx)
	}
	return c.takeRetry(ctx)
}

// canRetry reports whether another attempt is possible and not too great a risk. A request that was in
// flight at targets that ended, or that fell silent, gets one attempt only. A further one is left to
// its caller.
func (c *call) canRetry(ctx context.Context) bool {
	if crashes := c.gateway.Crashes; crashes != nil && !crashes.mayRetry(c, clock.Now()) {
		return c.denyRetry(DeniedSuspicious)
	}
	return c.canSend(ctx)
}

// canSend reports whether there is time for another attempt, and a target of the versions assigned
// to the request.
func (c *call) canSend(ctx context.Context) bool {
	if c.versionUncertain {
		return c.denyRetry(DeniedVersion)
	}
	if ctx.Err() != nil || clock.Until(c.deadline) < minAttemptTime {
		return c.denyRetry(DeniedTime)
	}
	now := clock.Now()
	c.assignVersions(now)
	if !c.gateway.Balancer.Has(c.attemptQuery(), now) {
		return c.denyRetry(DeniedTarget)
	}
	return true
}

// lastIncarnation identifies the incarnation that was tried last.
func (c *call) lastIncarnation() quarantine.Incarnation {
	return quarantineIncarnation(c.triedIncarnations[len(c.triedIncarnations)-1])
}

// denyRetry records why a further attempt is denied, and returns false.
func (c *call) denyRetry(reason RetryDenial) bool {
	c.retryDenial = reason
	return false
}

// takeRetry takes one retry from the budget if there is time and a target for it.
func (c *call) takeRetry(ctx context.Context) bool {
	if !c.canRetry(ctx) {
		return false
	}
	if !c.delivery.Begun() && !c.gateway.hasCapacity(c.service) {
		return c.denyRetry(DeniedCapacity)
	}
	if !c.gateway.Budgets.Spend(c.service, clock.Now()) {
		return c.denyRetry(DeniedBudget)
	}
	return true
}
