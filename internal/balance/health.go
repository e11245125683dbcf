package balance

import (
	"slices"
	"time"
)

// Ejection: a target that fails its requests is left out for a while that
// grows with each time, and comes back through real requests.
const (
	// failWeight is the share of a new result in the moving failure rate.
	failWeight = 0.2
	// ejectRate is the failure rate at which a target is left out.
	ejectRate = 0.45
	// ejectRow is how many failures in a row eject whatever the rate.
	ejectRow = 3
	// typicalMost is the failure rate of the others above which failures are
	// the service's and not the target's; ejectRowMost in a row eject still.
	typicalMost  = 0.2
	ejectRowMost = 8
	// ejectFirst and ejectMost bound the time out.
	ejectFirst = 1500 * time.Millisecond
	ejectMost  = 8 * time.Second
	// unreachableFor is the time out after a connection could not be made. After
	// refused ones, here or at other gateways, it doubles up to mostDoubled times
	// until the target has answered.
	unreachableFor = 800 * time.Millisecond
	mostDoubled    = 2
	// forgiveAfter without an ejection resets the growth.
	forgiveAfter = 15 * time.Second
)

// health is the record of one target's results.
type health struct {
	// rate is the moving share of failures.
	rate float64
	// row counts failures since the last success.
	row int
	// ejections counts those since the growth was last reset.
	ejections    int
	ejectedUntil time.Time
	lastEjection time.Time
	// losses counts the requests without an answer since the last good one, which
	// came at answeredAt; the last of them was lost at lostAt.
	losses     int
	lostAt     time.Time
	answeredAt time.Time
	// refusals counts the times out for refused connections since the last
	// success.
	refusals int
}

// good notes a request that the target answered as it should.
func (h *health) good() {
	h.row = 0
	h.refusals = 0
	h.rate -= failWeight * h.rate
}

// bad notes a failure and says whether the target is to be left out now. One
// that fails no more often than is typical of its service stays: the others
// would do no better.
func (h *health) bad(now time.Time, typical float64) bool {
	h.row++
	h.rate += failWeight * (1 - h.rate)
	if h.row < ejectRow && h.rate < ejectRate {
		return false
	}
	if typical > typicalMost && h.row < ejectRowMost {
		return false
	}
	h.eject(now)
	return true
}

// unreachable notes that no connection could be made.
func (h *health) unreachable(now time.Time) {
	h.row++
	until := now.Add(unreachableFor)
	if h.row >= ejectRow {
		h.eject(now)
	}
	if until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// refused notes that nothing listens at the target's address.
func (h *health) refused(now time.Time) {
	until := now.Add(unreachableFor << min(h.refusals, mostDoubled))
	h.refusals++
	if until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

func (h *health) eject(now time.Time) {
	if now.Sub(h.lastEjection) > forgiveAfter {
		h.ejections = 0
	}
	out := min(ejectFirst<<min(h.ejections, 4), ejectMost)
	h.ejections++
	h.lastEjection = now
	h.ejectedUntil = now.Add(out)
	// After its time out one failure is enough to be left out again, and a
	// few successes clear the record.
	h.row = ejectRow - 1
	h.rate = ejectRate / 2
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// Result is how a request at a target ended.
type Result int

// The results.
const (
	// Good: answered as it should be.
	Good Result = iota
	// Bad: failed, was silent for too long, or gave bytes that are no answer.
	Bad
	// Lost: gave no answer, or broke off.
	Lost
	// Unreachable: no connection could be made.
	Unreachable
	// Refused: nothing listens at its address any more, or another target does.
	Refused
	// Neutral says nothing of the target.
	Neutral
)

// Release ends a request that Choose counted. It returns true if the target
// was ejected for the result.
func (b *Balancer) Release(life string, result Result, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return false
	}
	target.count(-1)
	if result == Bad || result == Lost || result == Unreachable || result == Refused {
		target.aside = true
	}
	switch result {
	case Good:
		target.health.noteAnswer(now)
		target.health.good()
		target.noteLife(now)
	case Lost:
		target.health.noteLoss(now)
		return target.health.bad(now, b.typicalFailures(target))
	case Bad:
		return target.health.bad(now, b.typicalFailures(target))
	case Unreachable:
		target.health.noteLoss(now)
		target.health.unreachable(now)
		return true
	case Refused:
		target.noteEnd(now, false)
		target.health.refused(now)
		return true
	case Neutral:
	}
	return false
}

// typicalFailures is the median failure rate of the service's other targets.
func (b *Balancer) typicalFailures(except *state) float64 {
	var rates []float64
	for _, target := range b.serviceOf(except.Service).targets {
		if target != except && target.goneAt.IsZero() {
			rates = append(rates, target.health.rate)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
