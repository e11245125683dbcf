package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Choose picks a target and counts one request at it until Release is called. It returns false
// if the service has no target that may take requests.
func (b *Balancer) Choose(query Query, now time.Time) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	svc := b.serviceOf(query.Service)
	b.refreshTotals(svc, now)
	open := b.openFor(svc, query, now)
	if len(open) == 0 {
		return Pick{}, false
	}
	mean := meanLoad(open)
	candidates := len(open)
	open = b.withRoom(open, svc.timing.headroom())
	limit := b.sessionLimitFor(query, mean)
	open = b.avoidBadPaths(open, limit.max, now)
	pick := Pick{Mean: mean, Candidates: candidates}
	var chosen *state
	if len(query.Parts) == 0 {
		chosen = b.leastLoaded(open, svc.speedBaselineAt(now))
	} else {
		chosen = b.chooseForSession(query, open, limit, svc.speedBaselineAt(now))
		pick.FetchFrom, pick.Source, pick.Unread = b.fetchFrom(query, svc.targets, chosen, now)
		pick.Fills = b.beginFills(query, chosen, now)
		b.expectHolder(query.Parts, chosen)
	}
	pick.Target, pick.Load, pick.Cold = chosen.Target, int(math.Round(chosen.load())), chosen.cold.isCold
	pick.MayBeOfAnotherVersion = chosen.mayBeOfAnotherVersion(query.ProvenAt)
	chosen.addInFlight(1)
	if chosen.cold.isCold {
		chosen.cold.sentAt = now
	}
	if chosen.announced.backoff.unprobed() {
		pick.Probe = true
		chosen.announced.backoff.probedAt = now
	}
	return pick, true
}

// minExpired is how many targets a service must have lost at about the same time for their
// entries to be treated as expired rather than removed.
const minExpired = 2

func meanLoad(targets []*state) float64 {
	total := 0.0
	for _, target := range targets {
		total += target.load()
	}
	return total / float64(len(targets))
}

// leastLoaded returns the target with the lowest expected wait: requests in flight, weighted
// by how slowly the target answers. Ties go to this data centre.
func (b *Balancer) leastLoaded(open []*state, baseline speedBaseline) *state {
	best, bestCost := open[0], math.Inf(1)
	start := rand.IntN(len(open))
	for i := range open {
		target := open[(start+i)%len(open)]
		cost := (target.load() + 1) * baseline.slowness(target)
		if target.DataCenter != b.options.DataCenter {
			cost += remoteCost
		}
		if cost < bestCost {
			best, bestCost = target, cost
		}
	}
	return best
}

// remoteCost breaks ties in favour of targets in this data centre.
const remoteCost = 0.05

// chooseForSession returns the target for a request of a session: a target that holds the
// session's prefix if one is below the bound, otherwise the first target below the bound in
// the session's rendezvous order, otherwise the least loaded one. Targets in a holder's data
// centre come first in that order, because moving a prefix between data centres costs twice as
// much. A target whose host is slowed down by other work gets no prompt that it does not hold,
// and no short prompt at all while another target has room: prefilling the prompt elsewhere takes
// less time than the first event from the slow host. The caller must hold b.mu.
func (b *Balancer) chooseForSession(query Query, open []*state, limit sessionLimit, baseline speedBaseline) *state {
	session, bound := query.Parts[len(query.Parts)-1], limit.max
	b.markCandidates(open)
	if limit.tight && len(b.holders.of(shortHash(session))) > 0 {
		return b.lighterOfTwo(session, open, bound, baseline)
	}
	holder := b.holderFor(shortHash(session), bound, baseline)
	if holder != nil && (query.isLong() || !baseline.onSlowHost(holder)) {
		return holder
	}
	if quick := b.firstInOrder(session, open, func(target *state) bool { return fits(target, bound, baseline) && !baseline.onSlowHost(target) }); quick != nil {
		return quick
	}
	if holder != nil {
		return holder
	}
	if first := b.firstInOrder(session, open, func(target *state) bool { return fits(target, bound, baseline) }); first != nil {
		return first
	}
	return b.leastLoaded(open, baseline)
}

// firstInOrder returns the first eligible target in a session's order; nil if none is
// eligible. The caller must hold b.mu.
func (b *Balancer) firstInOrder(session uint64, open []*state, eligible func(target *state) bool) *state {
	holderCenters := b.holderDataCenters(shortHash(session))
	var best preference
	for _, target := range open {
		if !eligible(target) {
			continue
		}
		next := preference{target: target, near: slices.Contains(holderCenters, target.DataCenter), score: policy.Score(session, target.hash)}
		if best.target == nil || next.before(best) {
			best = next
		}
	}
	return best.target
}

// markCandidates records which targets are open to the current choice. The caller must hold
// b.mu.
func (b *Balancer) markCandidates(open []*state) {
	b.choices++
	for _, target := range open {
		target.lastChoice = b.choices
	}
}

// holderFor returns a candidate of the current choice that holds a part, or soon will, and is
// below a bound; nil if there is none. A few gateways see each other's requests almost
// immediately and keep using the first holder, so that other copies can be evicted. Many
// gateways would all send to the same holder until reports show that it is full. There the
// least loaded holder gets the request, and holders confirmed to have the part precede all
// others. The caller must hold b.mu.
func (b *Balancer) holderFor(part uint32, bound float64, baseline speedBaseline) *state {
	var best *state
	bestConfirmed := false
	for _, holder := range b.holders.of(part) {
		target := b.byShort[holder.target]
		if target == nil || target.lastChoice != b.choices || !fits(target, bound, baseline) {
			continue
		}
		if !b.manyPeers {
			return target
		}
		if best == nil || holder.confirmed && !bestConfirmed || holder.confirmed == bestConfirmed && target.load() < best.load() {
			best, bestConfirmed = target, holder.confirmed
		}
	}
	return best
}

// lighterOfTwo draws two of a part's holders below a bound, or two of all open targets if
// there are none, and returns the less loaded one. When the limit is tight and each gateway
// learns late of what the others send, all of them would send to the least loaded target at
// once. Drawing two spreads their choices (Mitzenmacher, 2001). The caller must hold b.mu.
func (b *Balancer) lighterOfTwo(part uint64, open []*state, bound float64, baseline speedBaseline) *state {
	pool := b.scratch.drawFrom[:0]
	for _, holder := range b.holders.of(shortHash(part)) {
		target := b.byShort[holder.target]
		if target != nil && target.lastChoice == b.choices && fits(target, bound, baseline) {
			pool = append(pool, target)
		}
	}
	b.scratch.drawFrom = pool
	if len(pool) == 0 {
		pool = open
	}
	draw, count := policy.Score(part, b.choices), uint64(len(pool))
	one, other := pool[(draw>>32)%count], pool[uint64(uint32(draw))%count]
	if other.load()*baseline.slowness(other) < one.load()*baseline.slowness(one) {
		return other
	}
	return one
}

// holderDataCenters returns the data centres of the targets that hold a part, or soon will.
// The result is valid until the next choice. The caller must hold b.mu.
func (b *Balancer) holderDataCenters(part uint32) []string {
	dataCenters := b.scratch.holderDataCenters[:0]
	for _, holder := range b.holders.of(part) {
		if target := b.byShort[holder.target]; target != nil {
			dataCenters = append(dataCenters, target.DataCenter)
		}
	}
	b.scratch.holderDataCenters = dataCenters
	return dataCenters
}

// preference is a target's rank in a session's order.
type preference struct {
	target *state
	// near reports whether the target is in the data centre of a target that holds the
	// session's prefix.
	near  bool
	score uint64
}

// before reports whether one target precedes another in the session's order: targets in the
// data centre of a holder first, then by rendezvous score.
func (p preference) before(other preference) bool {
	if p.near != other.near {
		return p.near
	}
	return cmp.Or(cmp.Compare(other.score, p.score), cmp.Compare(p.target.ID, other.target.ID)) < 0
}

// fits reports whether a target's load is within a bound, which is lower for a slow target.
func fits(target *state, bound float64, baseline speedBaseline) bool {
	return target.load() <= reduceForSlow(bound, target, baseline)
}

// boundOf returns the bound on a target's load for a session.
func (b *Balancer) boundOf(query Query) Bound {
	switch {
	case b.manyPeers && query.isLong():
		return b.options.LongManyGateways.scaled(b.tightness)
	case b.manyPeers:
		return b.options.ShortManyGateways.scaled(b.tightness)
	case query.isLong():
		return b.options.Long
	}
	return b.options.Short
}

// reduceForSlow lowers the bound for a target that answers much more slowly than the others.
func reduceForSlow(bound float64, target *state, baseline speedBaseline) float64 {
	if slow := baseline.slowness(target); slow > slowFactor {
		return bound * slowFactor / slow
	}
	return bound
}

// slowFactor is the ratio of a target's latency to the typical one above which the target's
// bound is lowered.
const slowFactor = 2.5

// Has reports whether Choose would find a target.
func (b *Balancer) Has(query Query, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.openFor(b.serviceOf(query.Service), query, now)) > 0
}
