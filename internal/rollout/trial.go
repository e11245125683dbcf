package rollout

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// trial is one gateway's part in a running order. Consecutive orders for the same version,
// without an end between them, are one trial.
type trial struct {
	order   Order
	options Options
	// firstRevision is the revision of the first of its orders.
	firstRevision int64
	// knownSince is when the order became known to the first gateway, as far as this gateway
	// knows.
	knownSince time.Time
	// notBefore is the latest deadline of the previous orders; zero for none.
	notBefore time.Time
	// ratio is the part of its requests that a gateway sends to the version as a canary.
	ratio   float64
	share   *Share
	tallies *Tallies
	// headStart is a number of requests that were not sent, but are credited to the share. It is
	// random, up to what one request to the version takes: where many gateways send few requests
	// each, none would otherwise be entitled to a whole request.
	headStart int
	// moveSends counts the requests to the version that took nothing from the share.
	moveSends int
	// requestsBefore and exposedBefore are the totals at the last order, if it is not the first.
	requestsBefore, exposedBefore int
	seed                          uint64
	// stage is allowed until the time until.
	stage Stage
	until time.Time
	// moveUntil is the end of the last move that this gateway followed; zero for none.
	moveUntil time.Time
	// completed is set when a notice says that the store has the order's completion.
	completed bool
	// halted is set if the version gets no more requests.
	halted bool
	// current is set if the version needs no trial, and gets all requests anyway.
	current      bool
	wantedRoutes []uint32
	reportedAt   time.Time
	// unanswered counts the reports since the last grant.
	unanswered int
	// reportNow is set if the deciding gateway should get a report at once.
	reportNow bool
}

func newTrial(order Order, options Options, random func() float64, now time.Time) *trial {
	ratio := options.Share * canaryPart(order, options)
	t := &trial{
		order: order, options: options, firstRevision: order.Revision, knownSince: now, ratio: ratio,
		share: NewShare(ratio), tallies: NewTallies(),
		seed: policy.Score(policy.HashName(order.Service), uint64(order.Revision)),
	}
	t.share.random = random
	if options.Slack >= minHeadStartSlack && ratio > 0 {
		t.headStart = int(random() / ratio)
	}
	for range t.headStart {
		t.share.CountRequest()
	}
	return t
}

// canaryPart returns the part of the share that the canary of an order may use. The shorter the
// order's time, the larger the part that the move needs.
func canaryPart(order Order, options Options) float64 {
	allowed := options.Share * moveStart * order.Duration.Seconds()
	if allowed <= 0 {
		return minCanaryPart
	}
	return min(max(1-typicalMove.Seconds()/allowed, minCanaryPart), maxCanaryPart)
}

// isShortOrder reports whether an order's time is so short that the time until gateways receive
// the grant of the move is a large part of what the share covers.
func isShortOrder(order Order, options Options) bool {
	return canaryPart(order, options) < maxCanaryPart
}

// extend continues the trial with a later order for the same version.
func (t *trial) extend(order Order, now time.Time) {
	t.notBefore = t.deadline()
	t.requestsBefore, t.exposedBefore = t.totals()
	t.order = order
	t.knownSince = now
	t.completed = false
}

func (t *trial) deadline() time.Time {
	return deadlineOf(t.order, t.knownSince, t.notBefore)
}

// noteAge takes in for how long the order has been known elsewhere.
func (t *trial) noteAge(age time.Duration, now time.Time) {
	if since := now.Add(-age); since.Before(t.knownSince) {
		t.knownSince = since
	}
}

func (t *trial) stageAt(now time.Time) Stage {
	if t.halted || t.current || !now.Before(t.until) {
		return Hold
	}
	return t.stage
}

// reportDue reports whether the next report is to be sent.
func (t *trial) reportDue(now time.Time, interval time.Duration) bool {
	if isShortOrder(t.order, t.options) && now.Sub(t.knownSince)+2*interval >= scale(t.order.Duration, moveStart) {
		interval /= shortOrderReportFactor
	}
	since := now.Sub(t.reportedAt)
	retry := t.unanswered > 0 && t.unanswered <= maxReportRetries
	return t.reportNow || since >= interval || retry && since >= reportRetryDelay
}

// reserve takes a request to the version from the share. The cost of moves counts against it, and
// what earlier orders left unused is not available to this one.
func (t *trial) reserve(route uint32) bool {
	requests, exposed := t.totals()
	requests += t.headStart
	if t.moveSends > 0 && float64(exposed+1) > t.ratio*float64(requests) {
		return false
	}
	if float64(exposed-t.exposedBefore+1) > t.ratio*float64(requests-t.requestsBefore) {
		return false
	}
	return t.share.Reserve(route, slices.Contains(t.wantedRoutes, route))
}

// totals returns the requests sent to the service and to the version. Retries don't count as
// requests to the service: the bound is relative to what callers ask.
func (t *trial) totals() (requests, exposed int) {
	requests, exposed = t.share.Totals()
	return requests - t.headStart, exposed + t.moveSends
}

// apply takes in a grant for the trial's order, or a notice. It reports whether that halted the
// version.
func (t *trial) apply(grant Grant, sentAt, now time.Time) bool {
	t.noteAge(grant.Age, now)
	if !sentAt.IsZero() {
		t.unanswered = 0
	}
	if t.halted {
		return false
	}
	switch grant.End {
	case Halted:
		t.halted, t.reportNow = true, true
		return true
	case Done:
		t.complete(now)
		return false
	case Open:
	}
	until := sentAt.Add(grant.For)
	if !now.Before(until) {
		return false // the grant has expired, or it is a notice, which allows nothing
	}
	before := t.stageAt(now)
	switch {
	case before == Move && grant.Stage != Move:
		// The completion may be in progress: a gateway that has confirmed that it follows the
		// move must stay in it.
		return false
	case before == grant.Stage:
		t.until = laterTime(t.until, until)
	default:
		t.until, t.reportNow = until, true
	}
	t.stage, t.wantedRoutes = grant.Stage, grant.Wanted
	if t.stage == Move {
		t.moveUntil = t.until
	}
	return false
}

// complete continues as in the move until the record arrives, for a limited time from the first
// notice of the completion.
func (t *trial) complete(now time.Time) {
	if t.completed {
		return
	}
	t.completed = true
	t.stage, t.until, t.moveUntil = Move, now.Add(recordLag), now
}

// recentlyMoved reports whether the gateway was in a move a short while ago. If the other
// versions have no targets any more, the move was completed.
func (t *trial) recentlyMoved(now time.Time) bool {
	return !t.halted && !t.current && now.Before(t.moveUntil.Add(recordLag))
}

// replacesOthers reports whether the version replaces the others because all their targets have
// left as planned, which operators make them do once the order is completed. The record of the
// completion is still in transit then. If the version is rolled back, its own targets leave
// instead.
func (t *trial) replacesOthers(request AssignRequest, others balance.Versions) bool {
	return !t.halted && !t.current && request.HaveLeft != nil && request.HaveLeft(others)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
