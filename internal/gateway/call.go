package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/routing"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// call is one request while it is served. One goroutine works on it.
type call struct {
	gateway   *Gateway
	request   *Request
	responder Responder
	table     *routing.Table
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	// print names what the request asks, and for whom.
	print quarantine.Fingerprint
	// parts are hashes of the prompt's shared parts, in order.
	parts []uint64
	// tokens are the lengths of the parts.
	tokens []int
	// deadline is when the caller or the route's time-out ends the request.
	deadline time.Time
	delivery *delivery.Delivery
	// assignment says which versions the next attempt may go to, and assigned that no
	// attempt has followed it yet; versions are those that are looked at now.
	assignment rollout.Assignment
	assigned   bool
	assignedAt time.Time
	versions   balance.Versions
	// tried are the lives of targets that got the request.
	tried    []string
	attempts []AttemptRecord
	// refused counts its connections that were refused.
	refused int
	// after is the last event that the caller has.
	after string
	// failure is the target's answer to relay if nothing better comes.
	failure *wholeAnswer
	status  int
	ending  string
	// turn is its admission to the service; nil for none.
	turn *admission.Turn
	// queued is how long it waited for its turn.
	queued time.Duration
	// waited is how long it waited for a part of its prompt to be read.
	waited time.Duration
	// found is how the question for a holder of its prompt ended; empty if none
	// was asked. asked is how long that took.
	found balance.Finding
	asked time.Duration
	// output holds what the caller has not read yet; nil before any is passed on as it comes.
	output *spool.Spool
	// gone says that the caller could not be written to any more.
	gone bool
	// firstAfter is the time to the answer's head; zero if there was none.
	firstAfter time.Duration
}

// fillShare of the route's target latency is how long a request waits at most
// for the reading of a part of its prompt for another one.
const fillShare = 0.5

// leastTry is the least time left that makes another attempt worth while.
const leastTry = 10 * time.Millisecond

// prepare works out what all attempts share.
func (c *call) prepare() {
	c.after = c.request.After
	c.print = c.fingerprint()
	c.deadline = c.request.Arrived.Add(c.holdTime())
	if service, ok := c.table.Service(c.route.Split[0].Service); ok && service.Engine {
		c.parts, c.tokens = c.request.sharedParts()
	}
	c.service = c.route.ServiceAt(c.splitPoint())
	c.delivery = delivery.New(repeatOf(c.route), c.route.MaxAttempts)
	c.gateway.Budgets.Request(c.service, clock.Now())
}

// fingerprint names what the request asks, and for whom.
func (c *call) fingerprint() quarantine.Fingerprint {
	subject := quarantine.Subject{Method: c.request.Method, Host: c.request.Host, URI: c.request.URI, Body: c.request.Body}
	if c.workspace != nil {
		subject.Workspace = c.workspace.Name
	}
	return subject.Fingerprint()
}

// splitPoint is the same for all requests of a session, so that a session
// keeps its service while the split stays.
func (c *call) splitPoint() uint64 {
	if len(c.parts) > 0 {
		return c.parts[len(c.parts)-1]
	}
	return policy.HashName(c.request.ID)
}

// noBound stands for a request that nobody bounds.
const noBound = time.Hour

func (c *call) holdTime() time.Duration {
	hold := noBound
	if c.request.Patience > 0 {
		hold = c.request.Patience
	}
	if c.route.Timeout > 0 {
		hold = min(hold, c.route.Timeout)
	}
	return hold
}

func repeatOf(route *routing.Route) delivery.Repeat {
	switch {
	case route.Kind == routing.Stream && route.Resumable:
		return delivery.Resumable
	case route.Kind == routing.Idempotent:
		return delivery.Repeatable
	}
	return delivery.AtMostOnce
}

// run has the request wait for its turn and makes attempts at it.
func (c *call) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	refusal := c.awaitTurn(ctx)
	defer c.endTurn()
	if refusal != nil && !c.callerLeft(ctx) {
		c.refuse(refusal)
		return
	}
	c.assign(clock.Now())
	defer c.giveBack()
	c.findHolder(ctx)
	c.awaitFill(ctx)
	if c.callerLeft(ctx) {
		c.leave()
		return
	}
	c.tryTargets(ctx)
	c.endOutput(ctx)
}

// tryTargets makes attempts until the delivery says how the request ends.
func (c *call) tryTargets(ctx context.Context) {
	for {
		now := clock.Check()
		if c.held(now) && !c.mayTrial(now) {
			c.endHeld(now)
			return
		}
		c.assignAnew(now)
		pick, ok := c.choose(now)
		c.endTurn()
		if c.gateway.Directory != nil {
			c.gateway.Directory.Filling(pick.Fills)
		}
		if !ok && c.awaitRecord(ctx, now) {
			continue
		}
		if !ok {
			c.finishWithoutTarget()
			return
		}
		attempt := newAttempt(c, pick)
		c.tried = append(c.tried, attempt.life)
		done := attempt.make(ctx)
		attempt.release(ctx)
		c.gateway.admitWaiting(c.service)
		if done {
			c.ending = EndingAnswered
			return
		}
		if c.gone || c.callerLeft(ctx) {
			c.leave()
			return
		}
		if attempt.refusal != nil && !c.delivery.MayHaveRun() {
			c.refuse(attempt.refusal)
			return
		}
		verdict := c.delivery.After(attempt.outcome, func() bool { return attempt.spent || c.follows(ctx, attempt) })
		if !c.follow(verdict, attempt) {
			return
		}
	}
}

// findHolder asks the other gateways where the prompt is cached if no target
// that could take the request is known to hold it.
func (c *call) findHolder(ctx context.Context) {
	if c.gateway.Directory == nil {
		return
	}
	began := clock.Now()
	unplaced := c.gateway.Balancer.PartsToLocate(c.query(), began)
	if len(unplaced) == 0 {
		return
	}
	c.found = c.gateway.Directory.Find(ctx, unplaced)
	c.asked = clock.Since(began)
}

// awaitFill waits while a long part of the prompt is being read for another
// request, so that it is not read twice side by side.
func (c *call) awaitFill(ctx context.Context) {
	if len(c.parts) == 0 || !c.gateway.Balancer.Has(c.query(), clock.Now()) {
		return
	}
	began := clock.Now()
	defer func() { c.waited = clock.Since(began) }()
	limit := time.NewTimer(time.Duration(fillShare * float64(c.route.TargetLatency)))
	defer limit.Stop()
	for {
		done, filling := c.gateway.Balancer.Filling(c.query(), clock.Now())
		if !filling {
			return
		}
		select {
		case <-done:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (c *call) query() balance.Query {
	query := c.prompt()
	query.Exclude, query.Versions = c.tried, c.versions
	return query
}

// prompt is the part of a query that stays the same for all attempts.
func (c *call) prompt() balance.Query {
	return balance.Query{Service: c.service, Parts: c.parts, Tokens: c.tokens}
}

// callerLeft says whether the request ended because its caller closed the
// connection, not for the deadline.
func (c *call) callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// leave ends a request whose caller is gone.
func (c *call) leave() {
	c.ending = EndingCallerLeft
	c.responder.Abort()
}

// mostRefused is how many connections in a row may be refused before a further
// attempt costs a retry: so many targets ended within a moment, and nothing has
// arrived at any of them.
const mostRefused = 3

// follows says whether another attempt may follow one. Where nothing has arrived
// since the target is not there any more, or wants nothing new, the attempt was none, and
// the budget, which bounds what arrives at targets, is not asked.
func (c *call) follows(ctx context.Context, last *attempt) bool {
	if last.withdrawn {
		return c.mayTry(ctx)
	}
	if last.result != balance.Refused || c.refused >= mostRefused {
		return c.spare(ctx)
	}
	c.refused++
	return c.mayTry(ctx)
}

// mayTry says whether there is time for another attempt, and a target of the versions
// that it is assigned to. A request under which targets have ended gets one of its own
// attempts at most: the next one is for its caller to make.
func (c *call) mayTry(ctx context.Context) bool {
	if crashes := c.gateway.Crashes; crashes != nil && crashes.Table.Suspicious(c.print) {
		return false
	}
	if ctx.Err() != nil || clock.Until(c.deadline) < leastTry {
		return false
	}
	now := clock.Now()
	c.assign(now)
	return c.gateway.Balancer.Has(c.query(), now)
}

// spare takes one retry from the budget if there is time and a target for it.
func (c *call) spare(ctx context.Context) bool {
	if !c.mayTry(ctx) {
		return false
	}
	if !c.delivery.Begun() && !c.gateway.hasRoom(c.service) {
		return false
	}
	return c.gateway.Budgets.Spend(c.service, clock.Now())
}

// follow carries a verdict out; true means that another attempt follows.
func (c *call) follow(verdict delivery.Verdict, last *attempt) bool {
	switch verdict.Step {
	case delivery.Again, delivery.Resume:
		return true
	case delivery.Relay:
		c.relay()
	case delivery.Abort:
		c.ending = EndingCut
		c.responder.Abort()
	case delivery.GiveUp:
		c.giveUp(verdict, last)
	}
	return false
}

// relay passes a target's own failure on.
func (c *call) relay() {
	if c.failure == nil {
		c.refuse(fault.New(fault.TargetFailed, fault.Unknown, "the target failed"))
		return
	}
	c.ending = EndingRelayed
	c.status = c.failure.status
	if err := c.failure.send(c); err != nil {
		c.ending = EndingCallerLeft
	}
}

func (c *call) giveUp(verdict delivery.Verdict, last *attempt) {
	if c.failure != nil {
		c.relay()
		return
	}
	refusal := fault.New(verdict.Kind, verdict.State, "%s", last.reason())
	if refusal.State == fault.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = c.comeBack()
	}
	c.refuse(refusal)
}

// finishWithoutTarget ends a request for which no further target is open.
func (c *call) finishWithoutTarget() {
	switch {
	case c.delivery.Begun():
		c.ending = EndingCut
		c.responder.Abort()
	case c.failure != nil:
		c.relay()
	case c.delivery.MayHaveRun():
		c.refuse(fault.New(fault.TargetFailed, fault.Unknown, "no further target is open"))
	default:
		c.refuse(fault.New(fault.NoTarget, fault.NotRun, "no target of the service is open").After(c.comeBackToTarget()))
	}
}

// refuse gives the caller a final answer of the router's own.
func (c *call) refuse(refusal *fault.Error) {
	c.status = fault.AnswerOf(refusal.Kind).Status
	c.ending = string(refusal.Kind)
	if err := c.responder.Refuse(refusal); err != nil {
		c.ending = EndingCallerLeft
	}
}
