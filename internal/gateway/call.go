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
	fingerprint quarantine.Fingerprint
	// parts are hashes of the prompt's shared parts, in order.
	parts []uint64
	// tokens are the lengths of the parts.
	tokens []int
	// deadline is when the caller or the route's time-out ends the request.
	deadline time.Time
	delivery *delivery.Delivery
	// assignment says which versions the next attempt may go to, and assigned that no
	// attempt has followed it yet; versions are those that are looked at now.
	assignment       rollout.Assignment
	assignmentUnused bool
	assignedAt       time.Time
	versions         balance.Versions
	// tried are the lives of targets that got the request.
	triedIncarnations []string
	attempts          []AttemptRecord
	// refused counts its connections that were refused.
	refusedConnections int
	// after is the last event that the caller has.
	lastEventID string
	// failure is the target's answer to relay if nothing better comes.
	failedAnswer *bufferedAnswer
	status       int
	ending       string
	// turn is its admission to the service; nil for none.
	turn *admission.Turn
	// queued is how long it waited for its turn.
	queueTime time.Duration
	// waited is how long it waited for a part of its prompt to be read.
	prefillWait time.Duration
	// found is how the question for a holder of its prompt ended; empty if none
	// was asked. asked is how long that took.
	holderLookup     balance.Finding
	holderLookupTime time.Duration
	// output holds what the caller has not read yet; nil before any is passed on as it comes.
	output *spool.Spool
	// gone says that the caller could not be written to any more.
	writeFailed bool
	// timeToHead is the time to the answer's head; zero if there was none.
	timeToHead time.Duration
}

// maxPrefillWaitShare of the route's target latency is how long a request waits at most
// for the reading of a part of its prompt for another one.
const maxPrefillWaitShare = 0.5

// minAttemptTime is the least time left that makes another attempt worth while.
const minAttemptTime = 10 * time.Millisecond

// prepare works out what all attempts share.
func (c *call) prepare() {
	c.lastEventID = c.request.LastEventID
	c.fingerprint = c.requestFingerprint()
	c.deadline = c.request.Arrived.Add(c.timeLimit())
	if service, ok := c.table.Service(c.route.Split[0].Service); ok && service.Engine {
		c.parts, c.tokens = c.request.sharedParts()
	}
	c.service = c.route.ServiceAt(c.splitKey())
	c.delivery = delivery.New(repeatPolicy(c.route), c.route.MaxAttempts)
	c.gateway.Budgets.Request(c.service, clock.Now())
}

// fingerprint names what the request asks, and for whom.
func (c *call) requestFingerprint() quarantine.Fingerprint {
	subject := quarantine.Subject{Method: c.request.Method, Host: c.request.Host, URI: c.request.URI, Body: c.request.Body}
	if c.workspace != nil {
		subject.Workspace = c.workspace.Name
	}
	return subject.Fingerprint()
}

// splitKey is the same for all requests of a session, so that a session
// keeps its service while the split stays.
func (c *call) splitKey() uint64 {
	if len(c.parts) > 0 {
		return c.parts[len(c.parts)-1]
	}
	return policy.HashName(c.request.ID)
}

// unboundedTime stands for a request that nobody bounds.
const unboundedTime = time.Hour

func (c *call) timeLimit() time.Duration {
	limit := unboundedTime
	if c.request.Patience > 0 {
		limit = c.request.Patience
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	return limit
}

func repeatPolicy(route *routing.Route) delivery.RepeatPolicy {
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
	refusal := c.awaitAdmission(ctx)
	defer c.endTurn()
	if refusal != nil && !c.callerLeft(ctx) {
		c.refuse(refusal)
		return
	}
	c.assignVersions(clock.Now())
	defer c.returnAssignment()
	c.findCacheHolder(ctx)
	c.awaitPrefill(ctx)
	if c.callerLeft(ctx) {
		c.endCallerLeft()
		return
	}
	c.tryTargets(ctx)
	c.endOutput(ctx)
}

// tryTargets makes attempts until the delivery says how the request ends.
func (c *call) tryTargets(ctx context.Context) {
	for {
		now := clock.Check()
		if c.isHeldBack(now) && !c.mayRunTrial(now) {
			c.endHeldBack(now)
			return
		}
		c.refreshAssignment(now)
		pick, ok := c.chooseTarget(now)
		c.endTurn()
		if c.gateway.Directory != nil {
			c.gateway.Directory.Filling(pick.Fills)
		}
		if !ok && c.awaitRollout(ctx, now) {
			continue
		}
		if !ok {
			c.finishWithoutTarget()
			return
		}
		attempt := newAttempt(c, pick)
		c.triedIncarnations = append(c.triedIncarnations, attempt.incarnation)
		done := attempt.run(ctx)
		attempt.finish(ctx)
		c.gateway.admitWaitingFor(c.service)
		if done {
			c.ending = EndingAnswered
			return
		}
		if c.writeFailed || c.callerLeft(ctx) {
			c.endCallerLeft()
			return
		}
		if attempt.refusal != nil && !c.delivery.MayHaveRun() {
			c.refuse(attempt.refusal)
			return
		}
		verdict := c.delivery.After(attempt.outcome, func() bool { return attempt.abandoned || c.mayRetryAfter(ctx, attempt) })
		if !c.applyVerdict(verdict, attempt) {
			return
		}
	}
}

// findCacheHolder asks the other gateways where the prompt is cached if no target
// that could take the request is known to hold it.
func (c *call) findCacheHolder(ctx context.Context) {
	if c.gateway.Directory == nil {
		return
	}
	began := clock.Now()
	unplaced := c.gateway.Balancer.Unplaced(c.attemptQuery(), began)
	if len(unplaced) == 0 {
		return
	}
	c.holderLookup = c.gateway.Directory.Find(ctx, unplaced)
	c.holderLookupTime = clock.Since(began)
}

// awaitPrefill waits while a long part of the prompt is being read for another
// request, so that it is not read twice side by side.
func (c *call) awaitPrefill(ctx context.Context) {
	if len(c.parts) == 0 || !c.gateway.Balancer.Has(c.attemptQuery(), clock.Now()) {
		return
	}
	began := clock.Now()
	defer func() { c.prefillWait = clock.Since(began) }()
	limit := time.NewTimer(time.Duration(maxPrefillWaitShare * float64(c.route.TargetLatency)))
	defer limit.Stop()
	for {
		done, inProgress := c.gateway.Balancer.Filling(c.attemptQuery(), clock.Now())
		if !inProgress {
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

func (c *call) attemptQuery() balance.Query {
	query := c.promptQuery()
	query.Exclude, query.Versions = c.triedIncarnations, c.versions
	return query
}

// prompt is the part of a query that stays the same for all attempts.
func (c *call) promptQuery() balance.Query {
	return balance.Query{Service: c.service, Parts: c.parts, Tokens: c.tokens}
}

// callerLeft says whether the request ended because its caller closed the
// connection, not for the deadline.
func (c *call) callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// leave ends a request whose caller is gone.
func (c *call) endCallerLeft() {
	c.ending = EndingCallerLeft
	c.responder.Abort()
}

// maxRefusedConnections is how many connections in a row may be refused before a further
// attempt costs a retry: so many targets ended within a moment, and nothing has
// arrived at any of them.
const maxRefusedConnections = 3

// follows says whether another attempt may follow one. Where nothing has arrived
// since the target is not there any more, or wants nothing new, the attempt was none, and
// the budget, which bounds what arrives at targets, is not asked.
func (c *call) mayRetryAfter(ctx context.Context, last *attempt) bool {
	if last.withdrawn {
		return c.canRetry(ctx)
	}
	if last.result != balance.Refused || c.refusedConnections >= maxRefusedConnections {
		return c.takeRetry(ctx)
	}
	c.refusedConnections++
	return c.canRetry(ctx)
}

// mayRunTrial says whether there is time for another attempt, and a target of the versions
// that it is assigned to. A request under which targets have ended gets one of its own
// attempts at most: the next one is for its caller to make.
func (c *call) canRetry(ctx context.Context) bool {
	if crashes := c.gateway.Crashes; crashes != nil && crashes.Table.Suspicious(c.fingerprint) {
		return false
	}
	if ctx.Err() != nil || clock.Until(c.deadline) < minAttemptTime {
		return false
	}
	now := clock.Now()
	c.assignVersions(now)
	return c.gateway.Balancer.Has(c.attemptQuery(), now)
}

// spare takes one retry from the budget if there is time and a target for it.
func (c *call) takeRetry(ctx context.Context) bool {
	if !c.canRetry(ctx) {
		return false
	}
	if !c.delivery.Begun() && !c.gateway.hasCapacity(c.service) {
		return false
	}
	return c.gateway.Budgets.Spend(c.service, clock.Now())
}

// follow carries a verdict out; true means that another attempt follows.
func (c *call) applyVerdict(verdict delivery.Verdict, last *attempt) bool {
	switch verdict.Step {
	case delivery.Again, delivery.Resume:
		return true
	case delivery.Relay:
		c.relayFailure()
	case delivery.Abort:
		c.ending = EndingCut
		c.responder.Abort()
	case delivery.GiveUp:
		c.giveUp(verdict, last)
	}
	return false
}

// relay passes a target's own failure on.
func (c *call) relayFailure() {
	if c.failedAnswer == nil {
		c.refuse(fault.New(fault.TargetFailed, fault.Unknown, "the target failed"))
		return
	}
	c.ending = EndingRelayed
	c.status = c.failedAnswer.status
	if err := c.failedAnswer.send(c); err != nil {
		c.ending = EndingCallerLeft
	}
}

func (c *call) giveUp(verdict delivery.Verdict, last *attempt) {
	if c.failedAnswer != nil {
		c.relayFailure()
		return
	}
	refusal := fault.New(verdict.Kind, verdict.State, "%s", last.reason())
	if refusal.State == fault.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = c.retryAfter()
	}
	c.refuse(refusal)
}

// finishWithoutTarget ends a request for which no further target is open.
func (c *call) finishWithoutTarget() {
	switch {
	case c.delivery.Begun():
		c.ending = EndingCut
		c.responder.Abort()
	case c.failedAnswer != nil:
		c.relayFailure()
	case c.delivery.MayHaveRun():
		c.refuse(fault.New(fault.TargetFailed, fault.Unknown, "no further target is open"))
	default:
		c.refuse(fault.New(fault.NoTarget, fault.NotRun, "no target of the service is open").After(c.retryAfterNoTarget()))
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
