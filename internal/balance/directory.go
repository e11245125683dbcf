package balance

import (
	"slices"
	"time"
)

// Finding is how a question to the other gateways for a part's holders ended.
type Finding string

// The findings.
const (
	// NotAsked: this gateway keeps track of the part itself, gateways are so few
	// that all get everything, or the directory's bytes are spent.
	NotAsked Finding = "not_asked"
	// Answered: the balancer has learnt what the gateway in charge knows.
	Answered Finding = "answered"
	// Unanswered: no answer came in time.
	Unanswered Finding = "unanswered"
)

// Unplaced returns the parts of a query's prompt whose holders are worth asking
// for: the deepest long one, where no target that is known to hold it can take
// the request, and with it the other long ones of which no source is known.
func (b *Balancer) Unplaced(query Query, now time.Time) []uint32 {
	deepest := len(query.Parts) - 1
	if deepest < 0 || query.tokensOf(deepest) < leastNews {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.placed(query, now) {
		return nil
	}
	unplaced := []uint32{shortOf(query.Parts[deepest])}
	for i, part := range query.Parts[:deepest] {
		if query.tokensOf(i) >= leastNews && !b.hasSource(shortOf(part), now) {
			unplaced = append(unplaced, shortOf(part))
		}
	}
	return unplaced
}

// placed says whether a target that is known to hold the deepest part of a
// prompt can take the request, or none is there to take it; b.mu is held.
func (b *Balancer) placed(query Query, now time.Time) bool {
	b.expireReports(now)
	known := b.serviceOf(query.Service)
	b.refresh(known, now)
	open := b.open(known, query.Exclude, query.Versions, now)
	if len(open) == 0 {
		return true
	}
	bound, typical := b.limitOf(query, meanLoad(open)).most, known.speedsAt(now)
	b.mark(open)
	for _, holder := range b.holders.of(shortOf(query.Parts[len(query.Parts)-1])) {
		target := b.byShort[holder.target]
		if holder.sure && target != nil && target.choice == b.choices && fits(target, bound, typical) {
			return true
		}
	}
	return false
}

// hasSource says whether a target is known that holds a part, serves, and has the same
// weights as one that was open at the last look; b.mu is held.
func (b *Balancer) hasSource(part uint32, now time.Time) bool {
	for _, holder := range b.holders.of(part) {
		if target := b.byShort[holder.target]; holder.sure && target != nil && target.serves(now) && b.isOfUse(target) {
			return true
		}
	}
	return false
}

// isOfUse says whether what a target has read is of use to an open one; b.mu is held.
func (b *Balancer) isOfUse(holder *state) bool {
	return slices.ContainsFunc(b.scratch.healthy, func(open *state) bool { return open.Weights == holder.Weights })
}

// Holds says whether a target is known to hold a part.
func (b *Balancer) Holds(placement Placement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.surely(placement.Part, placement.Target)
}

// Cached is what is known of where a part is: the targets that hold it, and the
// one that is reading it, if any.
func (b *Balancer) Cached(part uint32, now time.Time) (holders, filling []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holder := range b.holders.of(part) {
		target := b.byShort[holder.target]
		if holder.sure && target != nil && target.serves(now) {
			holders = append(holders, Placement{Part: part, Target: holder.target})
		}
	}
	b.fills.expire(now)
	if fill, ok := b.fills[part]; ok {
		filling = append(filling, Placement{Part: part, Target: fill.target})
	}
	return holders, filling
}
