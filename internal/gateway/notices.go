package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
)

// errWithdrawn is returned for an attempt that sent nothing because its target no longer accepts
// new requests.
var errWithdrawn = errors.New("the target accepts no new requests")

// NoticeRecord describes a new report of a target about itself in an answer.
type NoticeRecord struct {
	Target  string
	Address string
	Service string
	// Incarnation is the incarnation of the target that the report applies to.
	Incarnation string
	// Request is the ID of the request that was answered.
	Request string
	Notice  balance.Notice
	Change  balance.NoticeChange
}

// handleNotice applies the target's report about itself. It applies from now on to everything that
// this gateway has to send, whether or not the answer is complete or still awaited.
func (a *attempt) handleNotice(notice balance.Notice) {
	a.notice = notice
	if notice == (balance.Notice{}) {
		return
	}
	changes := a.call.gateway.Balancer.ObserveNotice(a.incarnation, notice, clock.Check())
	if changes == (balance.NoticeChange{}) {
		return
	}
	a.call.gateway.Events.Notice(&NoticeRecord{
		Target:      a.pick.Target.ID,
		Address:     a.pick.Target.Address,
		Service:     a.call.service,
		Incarnation: a.incarnation,
		Request:     a.call.request.ID,
		Notice:      notice,
		Change:      changes,
	})
}

// endProbe reports how the half-open probe of a target after its backoff has ended. Other requests
// may follow once the headers of its answer have arrived, however long the answer takes.
func (a *attempt) endProbe(answered bool) {
	if !a.pick.Probe || a.probeEnded {
		return
	}
	a.probeEnded = true
	a.call.gateway.Balancer.EndProbe(a.incarnation, answered, clock.Now())
}

// retryAfter returns when the caller of a request that did not run should retry: at the end of a
// target's backoff if no target is open until then, otherwise when the service has capacity.
func (c *call) retryAfter() time.Duration {
	now := clock.Now()
	if retryIn, ok := c.gateway.Balancer.RetryIn(c.attemptQuery(), now); ok {
		return retryIn
	}
	if c.gateway.Limiters == nil {
		return retryAfterShortage
	}
	return c.gateway.Limiters.Of(c.service).RetryAfter(c.deadline.Sub(now), now)
}

// retryAfterNoTarget is retryAfter for a request for which no target was open at all.
func (c *call) retryAfterNoTarget() time.Duration {
	if retryIn, ok := c.gateway.Balancer.RetryIn(c.attemptQuery(), clock.Now()); ok {
		return retryIn
	}
	return retryAfterShortage
}
