package rollout

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// probation is one gateway's part in a running order. Orders for the same version that
// follow each other without an end between them are one trial.
type trial struct {
	order   Order
	options Options
	// first is the revision of the first of its orders.
	firstRevision int64
	// since is when the order became known to the first gateway, as far as is known.
	knownSince time.Time
	// notBefore is the latest deadline of the orders before; zero for none.
	notBefore time.Time
	// ratio of its requests is what a gateway sends to the version as a canary.
	ratio   float64
	share   *Share
	tallies *Tallies
	// ahead are requests that were not sent, but that the share counts: a random number
	// up to what one sending to the version takes. Where many gateways send few requests
	// each, whole sendings of each would add up to nothing otherwise.
	headStart int
	// moved counts the sendings to the version without a part of the share.
	moveSends int
	// before are the sums at the last order, if it is not the first.
	requestsBefore, exposedBefore int
	seed                          uint64
	// stage is allowed before until.
	stage Stage
	until time.Time
	// moveUntil is the end of the last move that this gateway obeyed; zero for none.
	moveUntil time.Time
	// done says that the store has the order's completion, as was told.
	completed bool
	// halted says that the version gets nothing any more.
	halted bool
	// current says that the version has nothing to prove, and gets everything anyway.
	current      bool
	wantedRoutes []uint32
	reportedAt   time.Time
	// unanswered counts the reports since the last grant.
	unanswered int
	// urgent says that there is news for the gateway that decides.
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

// canaryPart is how much of the share the canary of an order may use: what the move
// needs is a larger part of it the shorter the order's time is.
func canaryPart(order Order, options Options) float64 {
	allowed := options.Share * moveStart * order.Duration.Seconds()
	if allowed <= 0 {
		return minCanaryPart
	}
	return min(max(1-typicalMove.Seconds()/allowed, minCanaryPart), maxCanaryPart)
}

// hurried says whether an order's time is so short that the time in which gateways hear
// of the move is a large part of what the share covers.
func isShortOrder(order Order, options Options) bool {
	return canaryPart(order, options) < maxCanaryPart
}

// extend takes a later order for the same version.
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

// known notes how long the order has been known elsewhere.
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

// due says whether the next report is to be sent.
func (t *trial) reportDue(now time.Time, interval time.Duration) bool {
	if isShortOrder(t.order, t.options) && now.Sub(t.knownSince)+2*interval >= scale(t.order.Duration, moveStart) {
		interval /= shortOrderReportFactor
	}
	since := now.Sub(t.reportedAt)
	retry := t.unanswered > 0 && t.unanswered <= maxReportRetries
	return t.reportNow || since >= interval || retry && since >= reportRetryDelay
}

// reserve takes a part of the share for a request. Moves have cost something of it, and
// what earlier orders have left is not for this one.
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

// sent are the sendings to the service and to the version. Further attempts don't
// count as requests to the service: the bound is on what callers ask.
func (t *trial) totals() (requests, exposed int) {
	requests, exposed = t.share.Totals()
	return requests - t.headStart, exposed + t.moveSends
}

// obey takes a grant for the trial's order, or a notice.
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
		return false // too late, or a notice, which allows nothing
	}
	before := t.stageAt(now)
	switch {
	case before == Move && grant.Stage != Move:
		// The completion may be under way: a gateway that has said that it obeys the
		// move keeps to it.
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

// complete goes on as in the move until the record comes, for a bounded time from when
// this was first heard.
func (t *trial) complete(now time.Time) {
	if t.completed {
		return
	}
	t.completed = true
	t.stage, t.until, t.moveUntil = Move, now.Add(recordLag), now
}

// lately says whether the gateway was in a move a short while ago: if the others have no
// targets any more, it was completed.
func (t *trial) recentlyMoved(now time.Time) bool {
	return !t.halted && !t.current && now.Before(t.moveUntil.Add(recordLag))
}

// succeeds says whether the version takes the place of the others: all their targets have
// left by plan, which operators have them do once the order is completed. The record of
// that is on its way. Where the version was rolled back its own targets leave.
func (t *trial) replacesOthers(ask AssignRequest, others balance.Versions) bool {
	return !t.halted && !t.current && ask.HaveLeft != nil && ask.HaveLeft(others)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
