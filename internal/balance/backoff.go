package balance

import (
	"math/rand/v2"
	"time"
)

// A target that rejects a request may ask the gateway to back off. For that time the gateway
// sends it nothing; its share goes to the other targets, and counts as idle in the bounds on
// their loads. The target asks this gateway, not all of them: each gateway removes its own
// part of the load when it is asked, so that the load changes as gradually as the target asks,
// and gateways exchange no messages about it.
//
// After the backoff one request probes the target. Others follow only when it is answered
// without a new backoff. A target that keeps backing off thus costs a gateway one request at
// a time, and the requests that many gateways withheld do not arrive all at once.

const (
	// probeTimeout is how long a probe without an answer blocks other requests.
	probeTimeout = time.Second
	// probeInterval is the time between the probes of two gateways that were asked to back off
	// at the same time; maxProbeOffset limits the total for all gateways.
	probeInterval  = 5 * time.Millisecond
	maxProbeOffset = 2 * time.Second
	// minReportedExtension is by how much a backoff must grow to be reported again: each
	// request in flight at the first backoff is rejected with a time of its own.
	minReportedExtension = 500 * time.Millisecond
)

// backoff is the backoff that a target requested from this gateway.
type backoff struct {
	// until is the end of the longest requested backoff; zero if none was requested, or a
	// probe has succeeded since.
	until time.Time
	// probeAt is when the gateway probes the target, not before until.
	probeAt time.Time
	// probedAt is when the current probe was chosen; zero if there is none.
	probedAt time.Time
}

// extend prolongs the backoff to a time, if that is later than the known end. It reports
// whether the change is worth reporting.
func (b *backoff) extend(until time.Time, offset time.Duration, now time.Time) (isNew bool) {
	if !until.After(b.until) {
		return false
	}
	isNew = !b.active(now) || until.Sub(b.until) >= minReportedExtension
	*b = backoff{until: until, probeAt: until.Add(offset)}
	return isNew
}

// active reports whether the target wants no requests now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// unprobed reports whether there is a backoff, possibly over, after which no probe has
// succeeded yet.
func (b *backoff) unprobed() bool { return !b.until.IsZero() }

// blocks reports whether the target must get no request now, because it is backing off or a
// probe is in flight.
func (b *backoff) blocks(now time.Time) bool {
	return b.unprobed() && (now.Before(b.probeAt) || now.Sub(b.probedAt) < probeTimeout)
}

// probeOffset returns how long after the end of a backoff this gateway probes. The caller
// must hold b.mu.
func (b *Balancer) probeOffset(target *state) time.Duration {
	maxOffset := min(probeInterval*time.Duration(b.gateways.Count), maxProbeOffset)
	return time.Duration(b.windowOffset(target) * float64(maxOffset))
}

// EndProbe records that the request that probed a target after a backoff has ended. If it was
// answered, others may follow unless the target has requested another backoff in the
// meantime. If it ended without an answer, another request may probe.
func (b *Balancer) EndProbe(incarnation string, answered bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return
	}
	if answered && !target.announced.backoff.active(now) {
		target.announced.backoff = backoff{}
	}
	target.announced.backoff.probedAt = time.Time{}
	target.needsCheck = true
}

const (
	// Callers that are asked to retry when a target is available again are spread over
	// retrySpreadShare of the time until then, at least minRetrySpread and at most
	// maxRetrySpread.
	retrySpreadShare = 0.25
	minRetrySpread   = 50 * time.Millisecond
	maxRetrySpread   = time.Second
	// maxRetryIn limits that time: a target that joins in the meantime serves immediately, and
	// a backoff of hours is no reason for callers to stay away for hours.
	maxRetryIn = 30 * time.Second
)

// RetryIn returns after which time a caller for whom no target is open may retry, because a
// target's backoff ends then. It returns false if a target is open, or none is backing off.
// Callers are spread over a while after that time.
func (b *Balancer) RetryIn(query Query, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.serviceOf(query.Service)
	if len(b.openTargets(svc, nil, query.Versions, now)) > 0 {
		return 0, false
	}
	retryIn, found := time.Duration(0), false
	for _, target := range svc.targets {
		if target.leaving() || !target.unlistedAt.IsZero() || b.evacuated[target.DataCenter] || !target.announced.backoff.blocks(now) || !query.Versions.Admits(target.Version) {
			continue
		}
		remaining := max(target.announced.backoff.probeAt.Sub(now), 0)
		if !found || remaining < retryIn {
			retryIn, found = remaining, true
		}
	}
	if !found {
		return 0, false
	}
	retryIn = min(retryIn, maxRetryIn)
	spread := min(max(time.Duration(retrySpreadShare*float64(retryIn)), minRetrySpread), maxRetrySpread)
	return retryIn + rand.N(spread), true
}

// onlyProbes reports whether all given targets have to be probed first.
func onlyProbes(targets []*state) bool {
	for _, target := range targets {
		if !target.announced.backoff.unprobed() {
			return false
		}
	}
	return true
}
