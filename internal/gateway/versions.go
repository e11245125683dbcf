package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

// assign asks which versions of targets the next attempt may go to. Finding a holder of
// the prompt, waiting for a reading of it and the choice all go by the same answer.
func (c *call) assign(now time.Time) {
	gate := c.gateway.Rollouts
	if gate == nil {
		return
	}
	c.giveBack()
	left := func(versions balance.Versions) bool { return c.gateway.Balancer.Left(c.service, versions) }
	ask := rollout.AssignRequest{Service: c.service, Route: c.route.Name, Retry: len(c.tried) > 0, HaveLeft: left}
	c.assignment, c.assigned, c.assignedAt = gate.Assign(ask, now), true, now
	c.versions = c.assignment.Versions
	if c.assignment.Fallback != nil && !c.gateway.Balancer.Has(c.query(), now) {
		c.versions = *c.assignment.Fallback
	}
}

// assignmentLife is how old an assignment may be when a target is chosen by it: a version
// that is halted gets nothing more from those who wait.
const assignmentLife = 20 * time.Millisecond

// assignAnew does so again where the call has waited since. What it held of a version's
// share it most likely gets again.
func (c *call) assignAnew(now time.Time) {
	if now.Sub(c.assignedAt) > assignmentLife {
		c.assign(now)
	}
}

// choose picks a target for an attempt and counts it for the roll-out of its version.
func (c *call) choose(now time.Time) (balance.Pick, bool) {
	pick, ok := c.gateway.Balancer.Choose(c.query(), now)
	if c.gateway.Rollouts == nil {
		return pick, ok
	}
	if !ok && c.assignment.Fallback != nil {
		c.versions = *c.assignment.Fallback
		pick, ok = c.gateway.Balancer.Choose(c.query(), now)
	}
	if !ok {
		return pick, false
	}
	c.gateway.Rollouts.RecordSend(c.assignment, pick.Target.Version, now)
	c.assigned = false
	return pick, true
}

// awaitRecord waits for the news that the version on trial takes all requests, where no other target
// is open and some of the version are; false if none came in time.
func (c *call) awaitRecord(ctx context.Context, now time.Time) bool {
	gate := c.gateway.Rollouts
	if gate == nil || !c.gateway.Balancer.Has(c.prompt(), now) {
		return false
	}
	news, until, ok := gate.Await(c.service, now)
	if !ok {
		return false
	}
	limit := time.NewTimer(until.Sub(now))
	defer limit.Stop()
	select {
	case <-news:
	case <-limit.C:
	case <-ctx.Done():
		return false
	}
	later := clock.Now()
	c.assign(later)
	return c.gateway.Balancer.Has(c.query(), later)
}

// giveBack returns an assignment that no attempt followed.
func (c *call) giveBack() {
	if c.assigned {
		c.gateway.Rollouts.Release(c.assignment)
		c.assigned = false
	}
}

// admitting are the versions that take a service's requests at all.
func (g *Gateway) admitting(service string, now time.Time) balance.Versions {
	if g.Rollouts == nil {
		return balance.Versions{}
	}
	return g.Rollouts.AdmittedVersions(service, now)
}

// observe tells the roll-out of the target's version how the attempt ended.
func (a *attempt) observe(now time.Time) {
	gate := a.call.gateway.Rollouts
	if gate == nil {
		return
	}
	ending := endings[a.result]
	if a.failedItself {
		ending = rollout.Failed
	}
	gate.Observe(rollout.Outcome{
		Service: a.call.service,
		Route:   a.call.route.Name,
		Target:  a.pick.Target.ID,
		Version: a.pick.Target.Version,
		Ending:  ending,
		Head:    a.head,
		Unread:  a.pick.Unread,
		Events:  a.events,
		Span:    a.span,
		Cold:    a.pick.Cold,
	}, now)
}

// endings are what results say of a target's version. That nothing listens at an address,
// or can't be reached, says nothing of what runs there, nor does a full target.
var endings = map[balance.Result]rollout.Ending{
	balance.Good:        rollout.Answered,
	balance.Bad:         rollout.Failed,
	balance.Lost:        rollout.Failed,
	balance.Unreachable: rollout.Neutral,
	balance.Refused:     rollout.Neutral,
	balance.Neutral:     rollout.Neutral,
}
