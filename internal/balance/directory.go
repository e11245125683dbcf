package balance

import (
	"slices"
	"time"
)

// Finding is the outcome of asking the other gateways for a part's holders.
type Finding string

// The possible findings.
const (
	// NotAsked: this gateway tracks the part itself, there are so few gateways that all of
	// them get every placement, or the directory's byte budget is spent.
	NotAsked Finding = "not_asked"
	// Answered: the balancer has learned what the responsible gateway knows.
	Answered Finding = "answered"
	// Unanswered: no answer came in time.
	Unanswered Finding = "unanswered"
)

// PartsToLocate returns the parts of a query's prompt whose holders are worth asking for: the
// deepest long part if no target known to hold it can take the request, and with it the other
// long parts that have no known source.
func (b *Balancer) PartsToLocate(query Query, now time.Time) []uint32 {
	deepest := len(query.Parts) - 1
	if deepest < 0 || query.tokensOf(deepest) < minReportedTokens {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasPlacement(query, now) {
		return nil
	}
	unplaced := []uint32{shortHash(query.Parts[deepest])}
	for i, part := range query.Parts[:deepest] {
		if query.tokensOf(i) >= minReportedTokens && !b.hasSource(shortHash(part), now) {
			unplaced = append(unplaced, shortHash(part))
		}
	}
	return unplaced
}

// hasPlacement reports whether a target known to hold the deepest part of a prompt can take
// the request, or whether no target at all can take it. The caller must hold b.mu.
func (b *Balancer) hasPlacement(query Query, now time.Time) bool {
	b.expireReports(now)
	svc := b.serviceOf(query.Service)
	b.refreshTotals(svc, now)
	open := b.openFor(svc, query, now)
	if len(open) == 0 {
		return true
	}
	bound, baseline := b.sessionLimitFor(query, meanLoad(open)).max, svc.speedBaselineAt(now)
	b.markCandidates(open)
	for _, holder := range b.holders.of(shortHash(query.Parts[len(query.Parts)-1])) {
		target := b.byShort[holder.target]
		if holder.confirmed && target != nil && target.lastChoice == b.choices && fits(target, bound, baseline) {
			return true
		}
	}
	return false
}

// hasSource reports whether a target is known that holds a part, serves, and has the same
// weights as a target that was open at the last check. The caller must hold b.mu.
func (b *Balancer) hasSource(part uint32, now time.Time) bool {
	for _, holder := range b.holders.of(part) {
		if target := b.byShort[holder.target]; holder.confirmed && target != nil && target.serves(now) && b.isUsable(target) {
			return true
		}
	}
	return false
}

// isUsable reports whether an open target can use the prompts cached by a holder. The caller
// must hold b.mu.
func (b *Balancer) isUsable(holder *state) bool {
	return slices.ContainsFunc(b.scratch.healthy, func(open *state) bool { return open.hasWeightsOf(holder) })
}

// Holds reports whether a target is known to hold a part.
func (b *Balancer) Holds(placement Placement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.isConfirmed(placement.Part, placement.Target)
}

// Cached returns the known locations of a part: the targets that hold it, and the target that
// is prefilling it, if any.
func (b *Balancer) Cached(part uint32, now time.Time) (holders, filling []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holder := range b.holders.of(part) {
		target := b.byShort[holder.target]
		if holder.confirmed && target != nil && target.serves(now) {
			holders = append(holders, Placement{Part: part, Target: holder.target})
		}
	}
	b.fills.expire(now)
	if fill, ok := b.fills[part]; ok {
		filling = append(filling, Placement{Part: part, Target: fill.target})
	}
	return holders, filling
}
