package rollout

import (
	"cmp"
	"slices"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// maxTallyRoutes is the number of routes of one order that are counted separately. Further ones
// are counted together. It limits memory on small hosts. A service has a few dozen routes.
const maxTallyRoutes = 512

// otherRoutes stands in tallies for all routes beyond maxTallyRoutes together.
const otherRoutes uint32 = 0

// NameHash returns the identifier of routes and targets in tallies: the upper half of the name's
// hash.
func NameHash(name string) uint32 {
	return uint32(policy.HashName(name) >> 32)
}

// Tallies holds a gateway's counts over one order. It is not safe for concurrent use.
type Tallies struct {
	counts map[tallyKey]*tallyCount
	// knownRoutes are the routes that are counted separately, at most maxTallyRoutes.
	knownRoutes map[uint32]bool
	// listCalls counts the calls of List.
	listCalls int
}

type tallyKey struct {
	// target is zero for all versions that are not on trial.
	route, target uint32
}

type tallyCount struct {
	tally Tally
	// listedAnswers is tally.Answers when it was last listed, and listCall the number of that
	// call.
	listedAnswers, listCall int
}

// NewTallies returns empty tallies.
func NewTallies() *Tallies {
	return &Tallies{counts: make(map[tallyKey]*tallyCount), knownRoutes: make(map[uint32]bool)}
}

// Add counts an answer on a route, of a target of the version on trial or, with an empty name, of
// another version. An answer that failed is not also counted as slow, since the time of a failure
// says nothing about the pace.
func (t *Tallies) Add(route string, target string, failed, slow bool) {
	key := tallyKey{route: t.routeOf(route)}
	if target != "" {
		key.target = NameHash(target)
	}
	count, ok := t.counts[key]
	if !ok {
		count = &tallyCount{tally: Tally{Route: key.route, Target: key.target}}
		t.counts[key] = count
	}
	count.tally.Answers++
	switch {
	case failed:
		count.tally.Failed++
	case slow:
		count.tally.Slow++
	}
}

func (t *Tallies) routeOf(name string) uint32 {
	route := NameHash(name)
	if t.knownRoutes[route] {
		return route
	}
	if len(t.knownRoutes) >= maxTallyRoutes {
		return otherRoutes
	}
	t.knownRoutes[route] = true
	return route
}

// List returns at most limit totals. Those with the most new answers since they were last listed
// come first, then those listed longest ago. So a total that was lost, or that another gateway
// needs now, is sent again.
func (t *Tallies) List(limit int) []Tally {
	t.listCalls++
	counts := make([]*tallyCount, 0, len(t.counts))
	for _, count := range t.counts {
		counts = append(counts, count)
	}
	slices.SortFunc(counts, compareTallyCounts)
	counts = counts[:min(len(counts), max(limit, 0))]
	tallies := make([]Tally, len(counts))
	for i, count := range counts {
		count.listedAnswers = count.tally.Answers
		count.listCall = t.listCalls
		tallies[i] = count.tally
	}
	return tallies
}

func compareTallyCounts(a, b *tallyCount) int {
	return cmp.Or(
		cmp.Compare(b.tally.Answers-b.listedAnswers, a.tally.Answers-a.listedAnswers),
		cmp.Compare(a.listCall, b.listCall),
		cmp.Compare(a.tally.Route, b.tally.Route),
		cmp.Compare(a.tally.Target, b.tally.Target),
	)
}
