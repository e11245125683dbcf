package rollout

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// probation is one gateway's part in a running order. Orders for the same version that
// follow each other without an end between them are one trial.
type probation struct {
	order   Order
	options Options
	// first is the revision of the first of its orders.
	first int64
	// since is when the order became known to the first gateway, as far as is known.
	since time.Time
	// notBefore is the latest deadline of the orders before; zero for none.
	notBefore time.Time
	// ratio of its requests is what a gateway sends to the version as a canary.
	ratio   float64
	share   *Share
	tallies *Tallies
	// ahead are requests that were not sent, but that the share counts: a random number
	// up to what one sending to the version takes. Where many gateways send few requests
	// each, whole sendings of each would add up to nothing otherwise.
	ahead int
	// moved counts the sendings to the version without a part of the share.
	moved int
	// before are the sums at the last order, if it is not the first.
	requestsBefore, exposedBefore int
	seed                          uint64
	// stage is allowed before until.
	stage Stage
	until time.Time
	// moveUntil is the end of the last move that this gateway obeyed; zero for none.
	moveUntil time.Time
	// done says that the store has the order's completion, as was told.
	done bool
	// halted says that the version gets nothing any more.
	halted bool
	// current says that the version has nothing to prove, and gets everything anyway.
	current    bool
	wanted     []uint32
	reportedAt time.Time
	// unanswered counts the reports since the last grant.
	unanswered int
	// urgent says that there is news for the gateway that decides.
	urgent bool
}

func newProbation(order Order, options Options, random func() float64, now time.Time) *probation {
	ratio := options.Share * canaryPart(order, options)
	t := &probation{
		order: order, options: options, first: order.Revision, since: now, ratio: ratio,
		share: NewShare(ratio), tallies: NewTallies(),
		seed: policy.Score(policy.HashName(order.Service), uint64(order.Revision)),
	}
	t.share.random = random
	if options.Slack >= headStartSlack && ratio > 0 {
		t.ahead = int(random() / ratio)
	}
	for range t.ahead {
		t.share.Request()
	}
	return t
}

// canaryPart is how much of the share the canary of an order may use: what the move
// needs is a larger part of it the shorter the order's time is.
func canaryPart(order Order, options Options) float64 {
	allowed := options.Share * moveFrom * order.Duration.Seconds()
	if allowed <= 0 {
		return leastCanaryShare
	}
	return min(max(1-usualMove.Seconds()/allowed, leastCanaryShare), canaryShare)
}

// hurried says whether an order's time is so short that the time in which gateways hear
// of the move is a large part of what the share covers.
func hurried(order Order, options Options) bool {
	return canaryPart(order, options) < canaryShare
}

// goOn takes a later order for the same version.
func (t *probation) goOn(order Order, now time.Time) {
	t.notBefore = t.deadline()
	t.requestsBefore, t.exposedBefore = t.sent()
	t.order = order
	t.since = now
	t.done = false
}

func (t *probation) deadline() time.Time {
	return deadlineOf(t.order, t.since, t.notBefore)
}

// known notes how long the order has been known elsewhere.
func (t *probation) known(age time.Duration, now time.Time) {
	if since := now.Add(-age); since.Before(t.since) {
		t.since = since
	}
}

func (t *probation) stageAt(now time.Time) Stage {
	if t.halted || t.current || !now.Before(t.until) {
		return Hold
	}
	return t.stage
}

// due says whether the next report is to be sent.
func (t *probation) due(now time.Time, every time.Duration) bool {
	if hurried(t.order, t.options) && now.Sub(t.since)+2*every >= part(t.order.Duration, moveFrom) {
		every /= hurry
	}
	since := now.Sub(t.reportedAt)
	missing := t.unanswered > 0 && t.unanswered <= mostAgain
	return t.urgent || since >= every || missing && since >= reportAgain
}

// reserve takes a part of the share for a request. Moves have cost something of it, and
// what earlier orders have left is not for this one.
func (t *probation) reserve(route uint32) bool {
	requests, exposed := t.sent()
	requests += t.ahead
	if t.moved > 0 && float64(exposed+1) > t.ratio*float64(requests) {
		return false
	}
	if float64(exposed-t.exposedBefore+1) > t.ratio*float64(requests-t.requestsBefore) {
		return false
	}
	return t.share.Reserve(route, slices.Contains(t.wanted, route))
}

// sent are the sendings to the service and to the version. Further attempts don't
// count as requests to the service: the bound is on what callers ask.
func (t *probation) sent() (requests, exposed int) {
	requests, exposed = t.share.Sent()
	return requests - t.ahead, exposed + t.moved
}

// obey takes a grant for the trial's order, or a notice.
func (t *probation) obey(grant Grant, sentAt, now time.Time) bool {
	t.known(grant.Age, now)
	if !sentAt.IsZero() {
		t.unanswered = 0
	}
	if t.halted {
		return false
	}
	switch grant.End {
	case Halted:
		t.halted, t.urgent = true, true
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
		t.until = later(t.until, until)
	default:
		t.until, t.urgent = until, true
	}
	t.stage, t.wanted = grant.Stage, grant.Wanted
	if t.stage == Move {
		t.moveUntil = t.until
	}
	return false
}

// complete goes on as in the move until the record comes, for a bounded time from when
// this was first heard.
func (t *probation) complete(now time.Time) {
	if t.done {
		return
	}
	t.done = true
	t.stage, t.until, t.moveUntil = Move, now.Add(recordLag), now
}

// lately says whether the gateway was in a move a short while ago: if the others have no
// targets any more, it was completed.
func (t *probation) lately(now time.Time) bool {
	return !t.halted && !t.current && now.Before(t.moveUntil.Add(recordLag))
}

// succeeds says whether the version takes the place of the others: all their targets have
// left by plan, which operators have them do once the order is completed. The record of
// that is on its way. Where the version was rolled back its own targets leave.
func (t *probation) succeeds(ask Ask, others balance.Versions) bool {
	return !t.halted && !t.current && ask.Left != nil && ask.Left(others)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
