package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Choose picks a target and counts one request at it, which Release ends.
// It returns false if the service has no target that may take work.
func (b *Balancer) Choose(query Query, now time.Time) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	known := b.serviceOf(query.Service)
	b.refresh(known, now)
	open := b.open(known, query.Exclude, query.Versions, now)
	if len(open) == 0 {
		return Pick{}, false
	}
	mean := meanLoad(open)
	candidates := len(open)
	open = b.withRoom(open, known.pacing.headroom())
	limit := b.limitOf(query, mean)
	open = b.overGoodPaths(open, limit.most, now)
	pick := Pick{Mean: mean, Candidates: candidates}
	var chosen *state
	if len(query.Parts) == 0 {
		chosen = b.lightest(open, known.speedsAt(now))
	} else {
		chosen = b.home(query, open, limit, known.speedsAt(now))
		pick.FetchFrom, pick.Source, pick.Unread = b.fetchFrom(query, known.targets, chosen, now)
		pick.Fills = b.noteFills(query, chosen, now)
		b.expect(query.Parts, chosen)
	}
	pick.Target, pick.Load, pick.Cold = chosen.Target, int(math.Round(chosen.load())), chosen.cold.yet
	chosen.count(1)
	if chosen.cold.yet {
		chosen.cold.sentAt = now
	}
	if chosen.said.rest.untried() {
		pick.Try = true
		chosen.said.rest.triedAt = now
	}
	return pick, true
}

// leastLapsed is how many targets a service must have lost, at about the same
// time, for their entries to be taken as lapsed and not as removed.
const leastLapsed = 2

func meanLoad(targets []*state) float64 {
	total := 0.0
	for _, target := range targets {
		total += target.load()
	}
	return total / float64(len(targets))
}

// lightest is the target with the least expected wait: requests in flight,
// weighed by how slowly it answers. Ties go to this data centre.
func (b *Balancer) lightest(open []*state, typical speeds) *state {
	best, bestCost := open[0], math.Inf(1)
	start := rand.IntN(len(open))
	for i := range open {
		target := open[(start+i)%len(open)]
		cost := (target.load() + 1) * typical.slowness(target)
		if target.DataCenter != b.options.DataCenter {
			cost += farCost
		}
		if cost < bestCost {
			best, bestCost = target, cost
		}
	}
	return best
}

// farCost breaks ties in favour of the near.
const farCost = 0.05

// home is where a request of a session goes: a target that holds the session's
// prefix if one is below the bound, else the first target in the session's
// rendezvous order that is, else the least loaded. Targets in a holder's data
// centre come first in that order: to move a prefix between data centres costs
// twice as much. A target on a host that is held up gets no prompt that it doesn't hold,
// and no short one at all while another has room: that is read elsewhere in less time than
// the first event takes there. b.mu is held.
func (b *Balancer) home(query Query, open []*state, limit sessionLimit, typical speeds) *state {
	session, bound := query.Parts[len(query.Parts)-1], limit.most
	b.mark(open)
	if limit.tight && len(b.holders.of(shortOf(session))) > 0 {
		return b.lighter(session, open, bound, typical)
	}
	holder := b.holderFor(shortOf(session), bound, typical)
	if holder != nil && (query.long() || !typical.heldUp(holder)) {
		return holder
	}
	if quick := b.firstOf(session, open, func(target *state) bool { return fits(target, bound, typical) && !typical.heldUp(target) }); quick != nil {
		return quick
	}
	if holder != nil {
		return holder
	}
	if first := b.firstOf(session, open, func(target *state) bool { return fits(target, bound, typical) }); first != nil {
		return first
	}
	return b.lightest(open, typical)
}

// firstOf is the first of the targets in a session's order that may be taken; nil if none
// may. b.mu is held.
func (b *Balancer) firstOf(session uint64, open []*state, may func(target *state) bool) *state {
	near := b.nearHolders(shortOf(session))
	var best preference
	for _, target := range open {
		if !may(target) {
			continue
		}
		next := preference{target: target, near: slices.Contains(near, target.DataCenter), score: policy.Score(session, target.hash)}
		if best.target == nil || next.before(best) {
			best = next
		}
	}
	return best.target
}

// mark notes which targets are open to the choice under way; b.mu is held.
func (b *Balancer) mark(open []*state) {
	b.choices++
	for _, target := range open {
		target.choice = b.choices
	}
}

// holderFor is a target of the choice under way that holds a part, or soon will,
// and is below a bound; nil if there is none. Few gateways see each other's
// requests at once, and go on with the first one, so that other copies may give
// way. Among many, all would go to the same one until reports show that it is
// full: there the least loaded one gets the request, one that surely holds the
// part before all others. b.mu is held.
func (b *Balancer) holderFor(part uint32, bound float64, typical speeds) *state {
	var best *state
	bestSure := false
	for _, known := range b.holders.of(part) {
		target := b.byShort[known.target]
		if target == nil || target.choice != b.choices || !fits(target, bound, typical) {
			continue
		}
		if !b.manyPeers {
			return target
		}
		if best == nil || known.sure && !bestSure || known.sure == bestSure && target.load() < best.load() {
			best, bestSure = target, known.sure
		}
	}
	return best
}

// lighter is the less loaded of two that are drawn from a part's holders below a bound,
// or from all open targets if there are none. Where the limit is tight and each gateway
// learns late of what the others send, all of them would go to the least loaded one at
// once; of two that each draws anew it is another one each time (Mitzenmacher, 2001).
// b.mu is held.
func (b *Balancer) lighter(part uint64, open []*state, bound float64, typical speeds) *state {
	from := b.scratch.drawn[:0]
	for _, known := range b.holders.of(shortOf(part)) {
		target := b.byShort[known.target]
		if target != nil && target.choice == b.choices && fits(target, bound, typical) {
			from = append(from, target)
		}
	}
	b.scratch.drawn = from
	if len(from) == 0 {
		from = open
	}
	draw, count := policy.Score(part, b.choices), uint64(len(from))
	one, other := from[(draw>>32)%count], from[uint64(uint32(draw))%count]
	if other.load()*typical.slowness(other) < one.load()*typical.slowness(one) {
		return other
	}
	return one
}

// nearHolders are the data centres of the targets that hold a part, or soon will;
// valid until the next choice. b.mu is held.
func (b *Balancer) nearHolders(part uint32) []string {
	near := b.scratch.near[:0]
	for _, known := range b.holders.of(part) {
		if target := b.byShort[known.target]; target != nil {
			near = append(near, target.DataCenter)
		}
	}
	b.scratch.near = near
	return near
}

// preference is a target's place in a session's order.
type preference struct {
	target *state
	// near says that it is in the data centre of a target that holds the
	// session's prefix.
	near  bool
	score uint64
}

// before says whether one target comes before another in the session's order:
// those in near data centres first, then by rendezvous.
func (p preference) before(other preference) bool {
	if p.near != other.near {
		return p.near
	}
	return cmp.Or(cmp.Compare(other.score, p.score), cmp.Compare(p.target.ID, other.target.ID)) < 0
}

// fits says whether a target's load is below a bound, less for a slow target.
func fits(target *state, bound float64, typical speeds) bool {
	return target.load() <= lessForSlow(bound, target, typical)
}

// boundOf is the bound on a target's load for a session.
func (b *Balancer) boundOf(query Query) Bound {
	switch {
	case b.manyPeers && query.long():
		return b.options.LongOfMany.times(b.tightness)
	case b.manyPeers:
		return b.options.ShortOfMany.times(b.tightness)
	case query.long():
		return b.options.Long
	}
	return b.options.Short
}

// lessForSlow lowers the bound for a target that answers much more slowly than
// the others.
func lessForSlow(bound float64, target *state, typical speeds) float64 {
	if slow := typical.slowness(target); slow > slowFactor {
		return bound * slowFactor / slow
	}
	return bound
}

// slowFactor is the delay, against the typical one, above which a target
// holds less.
const slowFactor = 2.5

// Has says whether Choose would find a target.
func (b *Balancer) Has(query Query, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open(b.serviceOf(query.Service), query.Exclude, query.Versions, now)) > 0
}
