package balance

import (
	"slices"
	"time"
)

// Ejection: a target that fails its requests gets none for a time that grows with each
// ejection, and is tested by real requests afterwards.
const (
	// failureWeight is the weight of a new result in the moving failure rate.
	failureWeight = 0.2
	// ejectRate is the failure rate at which a target is ejected.
	ejectRate = 0.45
	// ejectAfter is the number of consecutive failures that eject a target regardless of its
	// rate.
	ejectAfter = 3
	// maxTypicalRate is the failure rate of the other targets above which failures are
	// attributed to the service and not to the target. Even then, alwaysEjectAfter consecutive
	// failures eject a target.
	maxTypicalRate   = 0.2
	alwaysEjectAfter = 8
	// minEjection and maxEjection limit the duration of an ejection.
	minEjection = 1500 * time.Millisecond
	maxEjection = 8 * time.Second
	// unreachableFor is how long a target is ejected after a failed connection attempt. After
	// refused connections, here or at other gateways, it doubles up to maxDoublings times
	// until the target has answered.
	unreachableFor = 800 * time.Millisecond
	maxDoublings   = 2
	// resetAfter is the time without an ejection after which the duration starts from
	// minEjection again.
	resetAfter = 15 * time.Second
)

// health is the record of one target's results.
type health struct {
	// rate is the moving failure rate.
	rate float64
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// ejections counts the ejections since the duration was last reset.
	ejections    int
	ejectedUntil time.Time
	lastEjection time.Time
	// losses is the number of requests without an answer since the last good one, which
	// arrived at answeredAt. The last of them was lost at lostAt.
	losses     int
	lostAt     time.Time
	answeredAt time.Time
	// refusals is the number of ejections for refused connections since the last success.
	refusals int
}

// recordSuccess records a request that the target answered correctly.
func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.refusals = 0
	h.rate -= failureWeight * h.rate
}

// recordFailure records a failure and reports whether the target is ejected for it. A target
// that fails no more often than is typical of its service stays, because the others would do
// no better.
func (h *health) recordFailure(now time.Time, typical float64) bool {
	h.consecutiveFailures++
	h.rate += failureWeight * (1 - h.rate)
	if h.consecutiveFailures < ejectAfter && h.rate < ejectRate {
		return false
	}
	if typical > maxTypicalRate && h.consecutiveFailures < alwaysEjectAfter {
		return false
	}
	h.eject(now)
	return true
}

// recordUnreachable records that no connection could be made.
func (h *health) recordUnreachable(now time.Time) {
	h.consecutiveFailures++
	until := now.Add(unreachableFor)
	if h.consecutiveFailures >= ejectAfter {
		h.eject(now)
	}
	if until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// recordRefused records that nothing listens at the target's address.
func (h *health) recordRefused(now time.Time) {
	until := now.Add(unreachableFor << min(h.refusals, maxDoublings))
	h.refusals++
	if until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

func (h *health) eject(now time.Time) {
	if now.Sub(h.lastEjection) > resetAfter {
		h.ejections = 0
	}
	duration := min(minEjection<<min(h.ejections, 4), maxEjection)
	h.ejections++
	h.lastEjection = now
	h.ejectedUntil = now.Add(duration)
	// After the ejection one failure is enough for another one, and a few successes clear the
	// record.
	h.consecutiveFailures = ejectAfter - 1
	h.rate = ejectRate / 2
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// Result is how a request at a target ended.
type Result int

// The possible results.
const (
	// Good: answered correctly.
	Good Result = iota
	// Bad: failed, was silent for too long, or sent bytes that are not a valid answer.
	Bad
	// Lost: sent no answer, or broke off.
	Lost
	// Unreachable: no connection could be made.
	Unreachable
	// Refused: nothing listens at the target's address any more.
	Refused
	// Replaced: another target answers at the target's address.
	Replaced
	// Neutral: the result says nothing about the target.
	Neutral
)

// Release ends a request that Choose counted. It returns true if the target was ejected
// because of the result.
func (b *Balancer) Release(incarnation string, result Result, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return false
	}
	target.addInFlight(-1)
	if result != Good && result != Neutral {
		target.needsCheck = true
	}
	switch result {
	case Good:
		target.health.recordAnswer(now)
		target.health.recordSuccess()
		target.replaced = false
		target.cancelMistakenEnd(now)
	case Lost:
		target.health.recordLoss(now)
		return target.health.recordFailure(now, b.typicalFailures(target))
	case Bad:
		return target.health.recordFailure(now, b.typicalFailures(target))
	case Unreachable:
		target.health.recordLoss(now)
		target.health.recordUnreachable(now)
		return true
	case Refused, Replaced:
		target.recordEnd(now, false)
		target.health.recordRefused(now)
		target.replaced = result == Replaced
		return true
	case Neutral:
	}
	return false
}

// typicalFailures returns the median failure rate of the service's other targets.
func (b *Balancer) typicalFailures(except *state) float64 {
	var rates []float64
	for _, target := range b.serviceOf(except.Service).targets {
		if target != except && target.unlistedAt.IsZero() {
			rates = append(rates, target.health.rate)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
