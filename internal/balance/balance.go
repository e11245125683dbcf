package balance

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Options are the balancer's bounds.
type Options struct {
	// DataCenter is this process's own; ties go to targets in it.
	DataCenter string
	// Short and Long bound what a session's home may hold before the session
	// goes to its next home, for sessions with a short and with a long prompt.
	// A long one costs more to move, so short ones make room for it.
	Short, Long Bound
	// ShortOfMany and LongOfMany are the same where more than a few gateways
	// share the targets.
	ShortOfMany, LongOfMany Bound
	// MaxEjected is the largest share of a service's targets left out for
	// their failures.
	MaxEjected float64
}

// Bound is Multiple times the mean load of a service's targets plus Extra, in
// requests.
type Bound struct {
	Multiple float64
	Extra    float64
}

// at is the bound at a mean load.
func (b Bound) at(mean float64) float64 {
	return b.Multiple*mean + b.Extra
}

// longPrompt is from how many tokens in the parts that it shares a prompt is
// long.
const longPrompt = 4000

// DefaultOptions leave room below a bound of twice the mean plus 3.
func DefaultOptions() Options {
	return Options{
		Short:       Bound{1.6, 1.6},
		Long:        Bound{1.9, 2.6},
		ShortOfMany: Bound{1.5, 1.6},
		LongOfMany:  Bound{1.65, 2},
		MaxEjected:  0.5,
	}
}

// fewPeers is how many other gateways can tell each other their loads almost
// at once.
const fewPeers = 8

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu       sync.Mutex
	targets  map[string]*state
	byHash   map[uint64]*state
	byShort  map[uint32]*state
	services map[string][]*state
	holders  *holders
	fills    fills
	// manyPeers says that more than a few other gateways share the targets.
	manyPeers bool
}

// New returns a balancer without targets.
func New(options Options) *Balancer {
	return &Balancer{
		options:  options,
		targets:  make(map[string]*state),
		byHash:   make(map[uint64]*state),
		byShort:  make(map[uint32]*state),
		services: make(map[string][]*state),
		holders:  newHolders(),
		fills:    make(fills),
	}
}

// Query says for what a target is wanted.
type Query struct {
	Service string
	// Parts are hashes of the prompt's shared parts in order; each is cached
	// only behind those before it. Empty for none.
	Parts []uint64
	// Tokens are the lengths of the parts, in the same order; nil if unknown.
	Tokens []int
	// Exclude are targets that were tried already.
	Exclude []string
}

// long says whether the parts that the prompt shares are long together.
func (q Query) long() bool {
	total := 0
	for _, tokens := range q.Tokens {
		total += tokens
	}
	return total >= longPrompt
}

// Pick is a choice.
type Pick struct {
	Target Target
	// FetchFrom is the address of a target that may hold the session's
	// cached prefix, if the chosen one may lack it; empty for none.
	FetchFrom string
	// Load and Mean are what decided: requests in flight at the target and
	// the mean over the service's targets.
	Load int
	Mean float64
	// Candidates is how many targets were open to the choice.
	Candidates int
}

// Choose picks a target and counts one request at it, which Release ends.
// It returns false if the service has no target that may take work.
func (b *Balancer) Choose(query Query, now time.Time) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := b.services[query.Service]
	open := b.open(listed, query.Exclude, now)
	if len(open) == 0 {
		return Pick{}, false
	}
	mean := meanLoad(open, now)
	var chosen *state
	fetchFrom := ""
	if len(query.Parts) == 0 {
		chosen = b.lightest(open, now)
	} else {
		chosen = b.home(query, open, mean, now)
		fetchFrom = b.fetchFrom(query.Parts, listed, chosen, now)
		b.noteFills(query, chosen, now)
		b.expect(query.Parts, chosen)
	}
	pick := Pick{Target: chosen.Target, FetchFrom: fetchFrom, Load: chosen.load(now), Mean: mean, Candidates: len(open)}
	chosen.inFlight++
	return pick, true
}

// open are the targets that may take the request: listed, not leaving, not
// tried and not ejected. When all others are ejected the ejected ones serve.
// When the list has dropped every target of a service, those that it dropped
// last serve on: entries lapse while the store is down.
func (b *Balancer) open(listed []*state, exclude []string, now time.Time) []*state {
	var healthy, ejected, lapsed []*state
	present := 0
	for _, target := range listed {
		gone := !target.goneAt.IsZero()
		if !gone {
			present++
		}
		switch {
		case target.Leaving || slices.Contains(exclude, target.ID):
		case gone:
			lapsed = append(lapsed, target)
		case target.health.ejected(now):
			ejected = append(ejected, target)
		default:
			healthy = append(healthy, target)
		}
	}
	if present == 0 && len(listed) >= leastLapsed {
		return lapsed
	}
	if most := int(b.options.MaxEjected * float64(present)); len(ejected) > most {
		// Too many look bad: those whose time out ends first come back.
		slices.SortFunc(ejected, func(x, y *state) int {
			return x.health.ejectedUntil.Compare(y.health.ejectedUntil)
		})
		healthy = append(healthy, ejected[:len(ejected)-most]...)
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// leastLapsed is how many targets a service must have lost, all at once, for
// their entries to be taken as lapsed and not as removed.
const leastLapsed = 2

func meanLoad(targets []*state, now time.Time) float64 {
	total := 0
	for _, target := range targets {
		total += target.load(now)
	}
	return float64(total) / float64(len(targets))
}

// lightest is the target with the least expected wait: requests in flight,
// weighed by how slowly it answers. Ties go to this data centre.
func (b *Balancer) lightest(open []*state, now time.Time) *state {
	typical := typicalLatency(open)
	best, bestCost := open[0], math.Inf(1)
	start := rand.IntN(len(open))
	for i := range open {
		target := open[(start+i)%len(open)]
		cost := float64(target.load(now)+1) * slowness(target, typical)
		if target.DataCenter != b.options.DataCenter {
			cost += farCost
		}
		if cost < bestCost {
			best, bestCost = target, cost
		}
	}
	return best
}

const (
	// farCost breaks ties in favour of the near.
	farCost = 0.05
	// coldFactor is how much slower a target is taken to be from its start.
	coldFactor = 1.6
	// mostSlowness bounds the weight of one target's delay.
	mostSlowness = 8
)

// typicalLatency is the median of the targets' moving means; zero if none is
// known.
func typicalLatency(targets []*state) float64 {
	var known []float64
	for _, target := range targets {
		if target.latency > 0 {
			known = append(known, target.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// slowness is how many times as long as typical a target takes, at least a
// half.
func slowness(target *state, typical float64) float64 {
	factor := 1.0
	if target.latency > 0 && typical > 0 {
		factor = min(max(target.latency/typical, 0.5), mostSlowness)
	}
	if target.ColdFor > 0 {
		factor *= coldFactor
	}
	return factor
}

// home is where a request of a session goes: a target that holds the session's
// prefix if one is below the bound, else the first target in the session's
// rendezvous order that is, else the least loaded. Targets in a holder's data
// centre come first in that order: to move a prefix between data centres costs
// twice as much.
func (b *Balancer) home(query Query, open []*state, mean float64, now time.Time) *state {
	session := query.Parts[len(query.Parts)-1]
	typical := typicalLatency(open)
	bound := b.boundOf(query).at(mean)
	fits := func(target *state) bool {
		return float64(target.load(now)) <= lessForSlow(bound, target, typical)
	}
	near := make(map[string]bool)
	for _, known := range b.holders.of(shortOf(session)) {
		target := b.byShort[known.target]
		if target == nil {
			continue
		}
		if slices.Contains(open, target) && fits(target) {
			return target
		}
		near[target.DataCenter] = true
	}
	for _, target := range rendezvousOrder(session, open, near) {
		if fits(target) {
			return target
		}
	}
	return b.lightest(open, now)
}

// rendezvousOrder is the session's order of the targets, those in near data
// centres first.
func rendezvousOrder(session uint64, targets []*state, near map[string]bool) []*state {
	order := slices.Clone(targets)
	slices.SortFunc(order, func(x, y *state) int {
		return cmp.Or(
			compareFirst(near[x.DataCenter], near[y.DataCenter]),
			cmp.Compare(policy.Score(session, y.hash), policy.Score(session, x.hash)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return order
}

// compareFirst puts what holds before what doesn't.
func compareFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// boundOf is the bound on a target's load for a session.
func (b *Balancer) boundOf(query Query) Bound {
	switch {
	case b.manyPeers && query.long():
		return b.options.LongOfMany
	case b.manyPeers:
		return b.options.ShortOfMany
	case query.long():
		return b.options.Long
	}
	return b.options.Short
}

// lessForSlow lowers the bound for a target that answers much more slowly than
// the others.
func lessForSlow(bound float64, target *state, typical float64) float64 {
	if slow := slowness(target, typical); slow > slowFactor {
		return bound * slowFactor / slow
	}
	return bound
}

// slowFactor is the delay, against the typical one, above which a target
// holds less.
const slowFactor = 2.5

// Result is how a request at a target ended.
type Result int

// The results.
const (
	// Good: answered as it should be.
	Good Result = iota
	// Bad: failed, broke off, or gave bytes that are no answer.
	Bad
	// Unreachable: no connection could be made.
	Unreachable
	// Neutral says nothing of the target.
	Neutral
)

// Release ends a request that Choose counted. It returns true if the target
// was ejected for the result.
func (b *Balancer) Release(id string, result Result, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[id]
	if !ok {
		return false
	}
	target.inFlight--
	switch result {
	case Good:
		target.health.good()
	case Bad:
		return target.health.bad(now, b.typicalFailures(target))
	case Unreachable:
		target.health.unreachable(now)
		return true
	case Neutral:
	}
	return false
}

// typicalFailures is the median failure rate of the service's other targets.
func (b *Balancer) typicalFailures(except *state) float64 {
	var rates []float64
	for _, target := range b.services[except.Service] {
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

// Sample notes how long a target took to the head of its answer.
func (b *Balancer) Sample(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[id]; ok {
		target.sample(took)
	}
}

// Count is a number of requests in flight at a target, named by its hash; the
// upper half of the hash is enough.
type Count struct {
	Target uint64
	Count  int
}

// Observe notes another gateway's requests in flight, without zeros.
func (b *Balancer) Observe(gateway string, counts []Count, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, target := range b.targets {
		delete(target.others, gateway)
	}
	for _, count := range counts {
		if target, ok := b.byShort[shortOf(count.Target)]; ok {
			target.others[gateway] = reading{count: count.Count, at: now}
		}
	}
}

// shortOf is the upper half of a target's hash: gateways name targets by it
// in what they tell each other of their loads.
func shortOf(hash uint64) uint32 {
	return uint32(hash >> 32)
}

// SetPeers tells how many other gateways share their loads with this one:
// with more of them words are older, and the bound keeps more room.
func (b *Balancer) SetPeers(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.manyPeers = count > fewPeers
}

// InFlight are this process's own requests in flight, without zeros.
func (b *Balancer) InFlight() []Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counts []Count
	for hash, target := range b.byHash {
		if target.inFlight > 0 {
			counts = append(counts, Count{Target: hash, Count: target.inFlight})
		}
	}
	slices.SortFunc(counts, func(x, y Count) int { return cmp.Compare(x.Target, y.Target) })
	return counts
}

// Targets are the known targets in the order of their ids.
func (b *Balancer) Targets() []Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var targets []Target
	for _, id := range slices.Sorted(maps.Keys(b.targets)) {
		targets = append(targets, b.targets[id].Target)
	}
	return targets
}

// Has says whether Choose would find a target.
func (b *Balancer) Has(query Query, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open(b.services[query.Service], query.Exclude, now)) > 0
}
