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
	// Multiple times the mean load, plus Extra, is the most that a session's
	// home may hold before the session goes to its next home.
	Multiple float64
	Extra    float64
	// MaxEjected is the largest share of a service's targets left out for
	// their failures.
	MaxEjected float64
}

// DefaultOptions leave room below a bound of twice the mean plus 3.
func DefaultOptions() Options {
	return Options{Multiple: 1.5, Extra: 1.5, MaxEjected: 0.5}
}

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu       sync.Mutex
	targets  map[string]*state
	services map[string][]*state
	sessions *sessions
}

// New returns a balancer without targets.
func New(options Options) *Balancer {
	return &Balancer{
		options:  options,
		targets:  make(map[string]*state),
		services: make(map[string][]*state),
		sessions: newSessions(),
	}
}

// Query says for what a target is wanted.
type Query struct {
	Service string
	// Session names the deepest shared part of the prompt; empty for none.
	Session string
	// Exclude are targets that were tried already.
	Exclude []string
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
	if query.Session == "" {
		chosen = b.lightest(open, now)
	} else {
		chosen, fetchFrom = b.home(query.Session, listed, open, mean, now)
	}
	pick := Pick{Target: chosen.Target, FetchFrom: fetchFrom, Load: chosen.load(now), Mean: mean, Candidates: len(open)}
	chosen.inFlight++
	return pick, true
}

// open are the targets that may take the request: listed, not leaving, not
// tried and not ejected. When all others are ejected the ejected ones serve;
// when the list has dropped all of a service at once, the dropped ones do.
func (b *Balancer) open(listed []*state, exclude []string, now time.Time) []*state {
	var healthy, ejected, dropped []*state
	for _, target := range listed {
		switch {
		case target.Leaving || slices.Contains(exclude, target.ID):
		case !target.goneAt.IsZero():
			dropped = append(dropped, target)
		case target.health.ejected(now):
			ejected = append(ejected, target)
		default:
			healthy = append(healthy, target)
		}
	}
	present := len(healthy) + len(ejected)
	if present == 0 {
		return dropped
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

// home is the first target in the session's rendezvous order that is below
// the bound; when all are above it, the least loaded. The second result is
// where a cached prefix may be fetched from.
func (b *Balancer) home(session string, listed, open []*state, mean float64, now time.Time) (*state, string) {
	hash := policy.HashName(session)
	order := slices.Clone(open)
	slices.SortFunc(order, func(x, y *state) int {
		return cmp.Or(
			cmp.Compare(policy.Score(hash, y.hash), policy.Score(hash, x.hash)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	typical := typicalLatency(open)
	chosen := order[0]
	found := false
	for _, target := range order {
		if float64(target.load(now)) <= b.bound(mean, target, typical) {
			chosen, found = target, true
			break
		}
	}
	if !found {
		chosen = b.lightest(open, now)
	}
	return chosen, b.fetchFrom(session, hash, listed, chosen)
}

// bound is the most that a target may hold before a session goes elsewhere. A
// target that answers much more slowly than the others holds less.
func (b *Balancer) bound(mean float64, target *state, typical float64) float64 {
	bound := b.options.Multiple*mean + b.options.Extra
	if slow := slowness(target, typical); slow > slowFactor {
		bound /= slow / slowFactor
	}
	return bound
}

// slowFactor is the delay, against the typical one, above which a target
// holds less.
const slowFactor = 2.5

// fetchFrom is the target, other than the chosen one, that most probably
// holds the session's prefix: where this process last sent it, else the next
// in the rendezvous order over all that still serve.
func (b *Balancer) fetchFrom(session string, hash uint64, listed []*state, chosen *state) string {
	last := b.sessions.last(session)
	b.sessions.note(session, chosen.ID)
	if last != chosen.ID {
		if target, ok := b.targets[last]; ok && target.goneAt.IsZero() {
			return target.Address
		}
	}
	best := ""
	var bestScore uint64
	for _, target := range listed {
		if target == chosen || !target.goneAt.IsZero() {
			continue
		}
		if score := policy.Score(hash, target.hash); best == "" || score > bestScore {
			best, bestScore = target.Address, score
		}
	}
	return best
}

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
		return target.health.bad(now)
	case Unreachable:
		target.health.unreachable(now)
		return true
	case Neutral:
	}
	return false
}

// Sample notes how long a target took to the head of its answer.
func (b *Balancer) Sample(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[id]; ok {
		target.sample(took)
	}
}

// Observe notes another router's counts by target id.
func (b *Balancer) Observe(router string, counts map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, target := range b.targets {
		count, ok := counts[id]
		if !ok {
			delete(target.others, router)
			continue
		}
		target.others[router] = reading{count: count, at: now}
	}
}

// InFlight are this process's own counts by target id, without zeros.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int)
	for id, target := range b.targets {
		if target.inFlight > 0 {
			counts[id] = target.inFlight
		}
	}
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
