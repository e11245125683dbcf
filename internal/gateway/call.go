package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/routing"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// call is the state of one request while it is served. It is used by one goroutine.
type call struct {
	gateway   *Gateway
	request   *Request
	responder Responder
	table     *routing.Table
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	// fingerprint identifies the content of the request and its workspace.
	fingerprint quarantine.Fingerprint
	// prompt identifies the parts of the prompt that other requests may share, for the quarantine.
	prompt quarantine.Prompt
	// heldPart is the ID of the part for which the request was held; empty for none.
	heldPart string
	// parts holds the hashes of the shared parts of the prompt, in order.
	parts []uint64
	// tokens holds the lengths of the parts.
	tokens []int
	// deadline is when the caller's or the route's time limit ends the request.
	deadline time.Time
	delivery *delivery.Delivery
	// assignment holds the versions that the next attempt may use, and assignmentUnused is true
	// until an attempt uses it. versions are those in use for the present query.
	assignment       rollout.Assignment
	assignmentUnused bool
	assignedAt       time.Time
	versions         balance.Versions
	// streamVersion is the version that began the caller's stream. No other may continue it, since
	// what two versions write doesn't fit together. Empty until the first event.
	streamVersion string
	// versionUncertain means that a target which passed on an event may be of another version than
	// its entry says, so that no target can continue the stream.
	versionUncertain bool
	originRecorded   bool
	// originSource is how the version that began a resumed stream became known, and originTime how
	// long it took to find out. originProofLag is by how much the proof of the newest targets was older
	// than the request then; zero if it was newer, noProof if there was none.
	originSource   OriginSource
	originTime     time.Duration
	originProofLag time.Duration
	// triedIncarnations are the incarnations of targets that were sent the request.
	triedIncarnations []string
	attempts          []AttemptRecord
	// refusedConnections counts the refused connections of this request, and the targets that didn't
	// answer a question about their health.
	refusedConnections int
	// lastEventID is the last event that the caller has.
	lastEventID string
	// failedAnswer is the target's answer to relay if no better one arrives.
	failedAnswer *bufferedAnswer
	status       int
	ending       string
	// retryDenial is why the last further attempt was denied; empty for none.
	retryDenial RetryDenial
	// turn is the admission to the service; nil for none.
	turn *admission.Turn
	// queueTime is how long the request waited in the queue.
	queueTime time.Duration
	// prefillWait is how long the request waited for a prefill of a part of its prompt.
	prefillWait time.Duration
	// holderLookup is how the lookup of a cache holder for the prompt ended; empty if there was
	// none. holderLookupTime is how long the lookup took.
	holderLookup     balance.Finding
	holderLookupTime time.Duration
	// output buffers what the caller has not read yet; nil until a part of an answer is passed on
	// as it arrives.
	output *spool.Spool
	// writeFailed is set once writing to the caller has failed.
	writeFailed bool
	// timeToHead is the time to the headers of the answer; zero if there were none.
	timeToHead time.Duration
}

// maxPrefillWaitShare limits how long a request waits for the prefill of a part of its prompt by
// another request, as a share of the route's target latency.
const maxPrefillWaitShare = 0.5

// prepare computes what all attempts share.
func (c *call) prepare() {
	c.lastEventID = c.request.LastEventID
	c.fingerprint = c.requestFingerprint()
	c.prompt = c.quarantinePrompt()
	c.deadline = c.request.Arrived.Add(c.timeLimit())
	if service, ok := c.table.Service(c.route.Split[0].Service); ok && service.Engine {
		c.parts, c.tokens = c.request.sharedParts()
	}
	c.service = c.route.ServiceAt(c.splitKey())
	c.delivery = delivery.New(repeatPolicy(c.route), c.route.MaxAttempts)
	c.gateway.Budgets.Request(c.service, clock.Now())
}

// workspaceName returns the name of the caller's workspace; empty on public routes.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// requestFingerprint identifies the content of the request and its workspace.
func (c *call) requestFingerprint() quarantine.Fingerprint {
	subject := quarantine.Subject{Workspace: c.workspaceName(), Method: c.request.Method, Host: c.request.Host, URI: c.request.URI, Body: c.request.Body}
	return subject.Fingerprint()
}

// quarantinePrompt identifies the parts of the prompt that other requests may share.
func (c *call) quarantinePrompt() quarantine.Prompt {
	prompt := quarantine.Prompt{Workspace: quarantine.Workspace(policy.HashName(c.workspaceName()) >> 32)}
	for _, id := range c.request.sharedPartIDs() {
		prompt.Parts = append(prompt.Parts, quarantine.PartFingerprint(id))
	}
	return prompt
}

// splitKey returns the same value for all requests of a session, and for all attempts of a caller to
// get a stream, so that these keep their service while the traffic split stays the same.
func (c *call) splitKey() uint64 {
	if len(c.parts) > 0 {
		return c.parts[len(c.parts)-1]
	}
	return policy.HashName(cmp.Or(c.request.Resumes, c.request.ID))
}

// unboundedTime is the time limit of a request for which neither caller nor route sets one.
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

// run waits for admission and makes attempts.
func (c *call) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	refusal := c.bindResumed(ctx)
	if refusal == nil {
		refusal = c.awaitAdmission(ctx)
	}
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

// tryTargets makes attempts until the delivery decides how the request ends.
func (c *call) tryTargets(ctx context.Context) {
	for {
		now := clock.Check()
		if held := c.currentHold(now); held.held() && !c.mayRunTrial(held, now) {
			c.endHeld(held, now)
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
			c.recordAnswerTime(clock.Now())
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

// findCacheHolder asks the other gateways where the prompt is cached if no eligible target is known
// to hold it.
func (c *call) findCacheHolder(ctx context.Context) {
	if c.gateway.Directory == nil {
		return
	}
	began := clock.Now()
	unplaced := c.gateway.Balancer.PartsToLocate(c.attemptQuery(), began)
	if len(unplaced) == 0 {
		return
	}
	c.holderLookup = c.gateway.Directory.Find(ctx, unplaced)
	c.holderLookupTime = clock.Since(began)
}

// awaitPrefill waits while a long part of the prompt is being prefilled for another request, so
// that it isn't prefilled twice in parallel.
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
	query.Continues, query.ProvenAt = c.streamVersion != "", c.gateway.provenAt()
	return query
}

// promptQuery returns the part of a query that is the same for all attempts.
func (c *call) promptQuery() balance.Query {
	return balance.Query{Service: c.service, Parts: c.parts, Tokens: c.tokens}
}

// callerLeft reports whether the request ended because its caller closed the connection, rather
// than by the deadline.
func (c *call) callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
