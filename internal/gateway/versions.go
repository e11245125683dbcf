package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

// assignVersions determines which versions of targets the next attempt may use. The lookup of a
// cache holder, the wait for a prefill and the choice of a target all use the same assignment.
func (c *call) assignVersions(now time.Time) {
	gate := c.gateway.Rollouts
	if gate == nil {
		c.versions = balance.Versions{Only: c.streamVersion}
		return
	}
	c.returnAssignment()
	haveLeft := func(versions balance.Versions) bool { return c.gateway.Balancer.LeftAsPlanned(c.service, versions) }
	ask := rollout.AssignRequest{Service: c.service, Route: c.route.Name, Retry: len(c.triedIncarnations) > 0, Version: c.streamVersion, HaveLeft: haveLeft}
	c.assignment, c.assignmentUnused, c.assignedAt = gate.Assign(ask, now), true, now
	c.versions = c.assignment.Versions
	if c.assignment.Fallback != nil && !c.gateway.Balancer.Has(c.attemptQuery(), now) {
		c.versions = *c.assignment.Fallback
	}
}

// assignmentTTL is the maximum age of an assignment when a target is chosen by it, so that requests
// that wait send nothing more to a version that is halted.
const assignmentTTL = 20 * time.Millisecond

// refreshAssignment renews the assignment if the call has waited since, or its stream has begun. It
// most likely gets the same share of a version again.
func (c *call) refreshAssignment(now time.Time) {
	if now.Sub(c.assignedAt) > assignmentTTL || c.versions.Only != c.streamVersion && c.streamVersion != "" {
		c.assignVersions(now)
	}
}

// chooseTarget picks a target for an attempt and counts it for the rollout of its version.
func (c *call) chooseTarget(now time.Time) (balance.Pick, bool) {
	pick, ok := c.gateway.Balancer.Choose(c.attemptQuery(), now)
	if c.gateway.Rollouts == nil {
		return pick, ok
	}
	if !ok && c.assignment.Fallback != nil {
		c.versions = *c.assignment.Fallback
		pick, ok = c.gateway.Balancer.Choose(c.attemptQuery(), now)
	}
	if !ok {
		return pick, false
	}
	c.gateway.Rollouts.RecordSend(c.assignment, pick.Target.Version, now)
	c.assignmentUnused = false
	return pick, true
}

// awaitRollout waits for the rollout to admit all requests to the version on trial, if no other
// target is open and some of that version are. It returns false if that doesn't happen in time.
func (c *call) awaitRollout(ctx context.Context, now time.Time) bool {
	gate := c.gateway.Rollouts
	if gate == nil || c.streamVersion != "" || !c.gateway.Balancer.Has(c.promptQuery(), now) {
		return false
	}
	rolloutChanged, until, ok := gate.Await(c.service, now)
	if !ok {
		return false
	}
	limit := time.NewTimer(until.Sub(now))
	defer limit.Stop()
	select {
	case <-rolloutChanged:
	case <-limit.C:
	case <-ctx.Done():
		return false
	}
	later := clock.Now()
	c.assignVersions(later)
	return c.gateway.Balancer.Has(c.attemptQuery(), later)
}

// returnAssignment returns an assignment that no attempt used.
func (c *call) returnAssignment() {
	if c.assignmentUnused {
		c.gateway.Rollouts.Release(c.assignment)
		c.assignmentUnused = false
	}
}

// admittingVersions returns the versions that take any requests of a service.
func (g *Gateway) admittingVersions(service string, now time.Time) balance.Versions {
	if g.Rollouts == nil {
		return balance.Versions{}
	}
	return g.Rollouts.AdmittedVersions(service, now)
}

// reportToRollout reports to the rollout of the target's version how the attempt ended.
func (a *attempt) reportToRollout(now time.Time) {
	gate := a.call.gateway.Rollouts
	if gate == nil {
		return
	}
	ending := rolloutEndings[a.result]
	if a.failedItself {
		ending = rollout.Failed
	}
	gate.Observe(rollout.Outcome{
		Service: a.call.service,
		Route:   a.call.route.Name,
		Target:  a.pick.Target.ID,
		Version: a.pick.Target.Version,
		Ending:  ending,
		Head:    a.timeToHead,
		Unread:  a.pick.Unread,
		Events:  a.events,
		Span:    a.eventSpan,
		Cold:    a.pick.Cold,
	}, now)
}

// rolloutEndings maps the results of attempts to evidence about the target's version. An address
// that refuses connections or can't be reached says nothing about what runs there, and neither does
// a full target.
var rolloutEndings = map[balance.Result]rollout.Ending{
	balance.Good:        rollout.Answered,
	balance.Bad:         rollout.Failed,
	balance.Lost:        rollout.Failed,
	balance.Unreachable: rollout.Neutral,
	balance.Refused:     rollout.Neutral,
	balance.Replaced:    rollout.Neutral,
	balance.Neutral:     rollout.Neutral,
}
