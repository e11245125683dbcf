package rollout

import (
	"fmt"
	"slices"
)

const (
	// minRouteAnswers is how many answers of the others make a route one with traffic: of
	// fewer requests, the version can't have got a share.
	minRouteAnswers = 4
	// rareRoutePart is the part of the service's answers below which a route is rare: a tenth
	// of the requests of a short order holds no sample of its own for it.
	rareRoutePart = 0.05
	// maxDeferOthers and maxDeferRounds are how long the version's news waits for the others':
	// until they gave so many answers on the route, or all gateways have had time for so
	// many reports. Trouble that begins on both sides shows in the others' shares only then.
	maxDeferOthers = 30
	maxDeferRounds = 2
	// maxDeferExcess is by how many answers what waits may exceed what the others gave since:
	// there are more only in the move, when the others get no requests.
	maxDeferExcess = 6
	// cleanWeight is the least that the tests of all routes together must say in favour
	// of a version that is called clean: that of some three good answers. Without any,
	// nothing is known.
	cleanWeight = -1.0
)

// Verdict is what is known of a version.
type Verdict int

// The verdicts. Bad is never taken back; Good is, when the version turns bad.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String is the verdict in a word.
func (v Verdict) String() string {
	switch v {
	case Undecided:
		return "undecided"
	case Good:
		return "good"
	case Bad:
		return "bad"
	}
	return fmt.Sprintf("verdict %d", int(v))
}

// Counts are answers; Failed and Slow are among them, and no answer is both.
type Counts struct {
	Answers, Failed, Slow int
}

func (c Counts) add(other Counts) Counts {
	return Counts{c.Answers + other.Answers, c.Failed + other.Failed, c.Slow + other.Slow}
}

// since is what came after an earlier sum; false if this one isn't a later sum of the
// same counter.
func (c Counts) delta(earlier Counts) (Counts, bool) {
	delta := Counts{c.Answers - earlier.Answers, c.Failed - earlier.Failed, c.Slow - earlier.Slow}
	return delta, delta.valid()
}

// whole are the answers that did not fail: those that have a pace.
func (c Counts) succeeded() int {
	return c.Answers - c.Failed
}

func (c Counts) valid() bool {
	return c.Failed >= 0 && c.Slow >= 0 && c.Answers >= c.Failed+c.Slow
}

// RouteSum is how the versions have answered on one route since the order.
type RouteSum struct {
	// Route is the upper half of the hash of the route's name.
	Route   uint32 `json:"route"`
	Version Counts `json:"of_version"`
	Others  Counts `json:"of_others"`
	// Passed says that the version's sample is large enough and good.
	Passed bool `json:"passed"`
}

// Judge compares the answers of the version on trial with those of the others, by route,
// from the tallies of all gateways. It is not safe for concurrent use.
type Judge struct {
	// known are the last sums of each gateway's counters.
	known  map[string]map[tallyKey]Counts
	routes map[uint32]*judgedRoute
	// names are the keys of routes, in order.
	routeKeys []uint32
	// rare are the common tests of the routes with few requests, and whole those of all
	// routes: they find soonest what strikes all of them.
	rareRoutes, allRoutes routeTests
	// failures and slow are the troubles of the others lately, on all routes.
	failureBaseline, slowBaseline baseline
	// bad is why the version is bad; empty until it is.
	bad string
	// takes is how many reports were taken, and ignored how many sums were of no use.
	reports, ignored int
}

type judgedRoute struct {
	routeTests
	failureBaseline, slowBaseline baseline
	// waiting is, from the first on, the version's news that is not judged yet, the oldest
	// first, and deferredAnswers how many answers that is.
	deferred              []deferredTally
	head, deferredAnswers int
}

// deferredTally waits until the others' answers show how it was at its time.
type deferredTally struct {
	tally Tally
	// others is how many answers the others had given on the route when it came, and
	// takes the number of Judge.Take that brought it.
	othersAnswers, report int
}

// NewJudge returns a judge that has seen no answers.
func NewJudge() *Judge {
	return &Judge{
		known:      make(map[string]map[tallyKey]Counts),
		routes:     make(map[uint32]*judgedRoute),
		rareRoutes: routeTests{scope: "routes with few requests together"},
		allRoutes:  routeTests{scope: "all routes together"},
	}
}

// Take takes the sums that a gateway has reported. A gateway that has begun anew needs
// another name. Lost reports do no harm, as the next sums hold their news, and neither do
// those that come late or twice: a sum that is no later one of its counter is ignored.
func (j *Judge) AddReport(gateway string, tallies []Tally) {
	known, ok := j.known[gateway]
	if !ok {
		known = make(map[tallyKey]Counts)
		j.known[gateway] = known
	}
	j.reports++
	for _, tally := range j.increments(known, tallies) {
		if tally.Target == 0 {
			j.addOthers(tally)
		} else {
			j.routeFor(tally.Route).deferTally(tally, j.reports)
		}
	}
	evaluated := false
	for _, name := range j.routeKeys {
		if route := j.routes[name]; j.evaluate(route) {
			j.update(&route.routeTests)
			evaluated = true
		}
	}
	if evaluated {
		j.update(&j.rareRoutes)
		j.update(&j.allRoutes)
	}
}

// settle sums up tests that have news; the first that make the version bad say why.
func (j *Judge) update(t *routeTests) {
	t.update()
	if j.bad == "" && t.bad() {
		j.bad = t.explain()
	}
}

// increments is what is new in sums, as tallies of the news alone.
func (j *Judge) increments(known map[tallyKey]Counts, tallies []Tally) []Tally {
	increments := make([]Tally, 0, len(tallies))
	for _, tally := range tallies {
		key := tallyKey{tally.Route, tally.Target}
		sum := Counts{tally.Answers, tally.Failed, tally.Slow}
		delta, ok := sum.delta(known[key])
		if !ok {
			j.ignored++
			continue
		}
		if delta.Answers == 0 {
			continue
		}
		known[key] = sum
		increments = append(increments, Tally{tally.Route, tally.Target, delta.Answers, delta.Failed, delta.Slow})
	}
	return increments
}

// Ignored is how many sums were of no use: older than what was known, or impossible.
func (j *Judge) Ignored() int {
	return j.ignored
}

func (j *Judge) routeFor(name uint32) *judgedRoute {
	route, ok := j.routes[name]
	if !ok {
		route = &judgedRoute{routeTests: routeTests{scope: fmt.Sprintf("route %08x", name)}}
		j.routes[name] = route
		index, _ := slices.BinarySearch(j.routeKeys, name)
		j.routeKeys = slices.Insert(j.routeKeys, index, name)
	}
	return route
}

func (j *Judge) addOthers(tally Tally) {
	route := j.routeFor(tally.Route)
	counts := Counts{tally.Answers, tally.Failed, tally.Slow}
	route.others = route.others.add(counts)
	j.allRoutes.others = j.allRoutes.others.add(counts)
	if j.isRare(route) {
		j.rareRoutes.others = j.rareRoutes.others.add(counts)
	}
	route.failureBaseline.add(counts.Answers, counts.Failed)
	route.slowBaseline.add(counts.succeeded(), counts.Slow)
	j.failureBaseline.add(counts.Answers, counts.Failed)
	j.slowBaseline.add(counts.succeeded(), counts.Slow)
}

// wait puts the version's news off.
func (r *judgedRoute) deferTally(tally Tally, report int) {
	r.deferred = append(r.deferred, deferredTally{tally: tally, othersAnswers: r.others.Answers, report: report})
	r.deferredAnswers += tally.Answers
}

// due says whether the oldest of what waits can be judged: the others have answered since,
// or all gateways have had time to say so, or they answer no more.
func (r *judgedRoute) ready(oldestRound int) bool {
	if r.head == len(r.deferred) {
		return false
	}
	oldest := r.deferred[r.head]
	others := r.others.Answers - oldest.othersAnswers
	return others >= maxDeferOthers || oldestRound >= oldest.report || r.deferredAnswers > others+maxDeferExcess
}

// next takes the oldest of what waits; compact must follow.
func (r *judgedRoute) pop() Tally {
	news := r.deferred[r.head].tally
	r.deferredAnswers -= news.Answers
	r.head++
	return news
}

func (r *judgedRoute) compact() {
	r.deferred = slices.Delete(r.deferred, 0, r.head)
	r.head = 0
}

// judge weighs the news of a route that is due; false if none is.
func (j *Judge) evaluate(route *judgedRoute) bool {
	oldestRound := j.reports - maxDeferRounds*len(j.known)
	if !route.ready(oldestRound) {
		return false
	}
	failureOdds := newLogOdds(route.failureBaseline.tolerated(&j.failureBaseline, minBaseFailures))
	slowOdds := newLogOdds(route.slowBaseline.tolerated(&j.slowBaseline, minBaseSlow))
	rare := j.isRare(route)
	for route.ready(oldestRound) {
		tally := route.pop()
		counts := Counts{tally.Answers, tally.Failed, tally.Slow}
		route.add(tally.Target, counts, failureOdds, slowOdds)
		j.allRoutes.add(tally.Target, counts, failureOdds, slowOdds)
		if rare {
			j.rareRoutes.add(tally.Target, counts, failureOdds, slowOdds)
		}
	}
	route.compact()
	return true
}

// isRare says whether a route has few of the service's requests.
func (j *Judge) isRare(route *judgedRoute) bool {
	return float64(route.others.Answers) < rareRoutePart*float64(j.allRoutes.others.Answers)
}

// passed says whether a route with traffic is good by its own tests or, if it is rare, by
// the common ones.
func (j *Judge) passed(route *judgedRoute) bool {
	return route.passed() || j.isRare(route) && j.rareRoutes.passed()
}

// Verdict is what is known now, and why, in plain words with the figures. A version is
// good when each route with traffic has passed both tests.
func (j *Judge) Verdict() (Verdict, string) {
	if j.bad != "" {
		return Bad, j.bad
	}
	withTraffic, passed := 0, 0
	for _, route := range j.routes {
		if !route.hasTraffic() {
			continue
		}
		withTraffic++
		if j.passed(route) {
			passed++
		}
	}
	reason := fmt.Sprintf("%d of %d routes with traffic have passed", passed, withTraffic)
	if withTraffic > 0 && passed == withTraffic && j.allRoutes.passed() {
		return Good, reason
	}
	return Undecided, reason
}

// Wanted are the routes with traffic whose samples on the version are too small yet, in
// order. They are all routes if only what they show together speaks against the version.
func (j *Judge) UndersampledRoutes() []uint32 {
	if j.bad != "" {
		return nil
	}
	var withTraffic, wanted []uint32
	for _, name := range j.routeKeys {
		route := j.routes[name]
		if !route.hasTraffic() {
			continue
		}
		withTraffic = append(withTraffic, name)
		if !j.passed(route) {
			wanted = append(wanted, name)
		}
	}
	if len(wanted) == 0 && !j.allRoutes.passed() {
		return withTraffic
	}
	return wanted
}

// Clean says that nothing speaks against the version so far, and something in favour of
// it, although samples may be small. It is what can be said when the time is over.
func (j *Judge) Clean() bool {
	if j.bad != "" || j.rareRoutes.suspect() {
		return false
	}
	for _, route := range j.routes {
		if route.suspect() {
			return false
		}
	}
	return j.allRoutes.failures.soundWeight+j.allRoutes.slow.soundWeight <= cleanWeight
}

// Routes are the sums of each route, for operators, in the order of their names.
func (j *Judge) Routes() []RouteSum {
	sums := make([]RouteSum, 0, len(j.routeKeys))
	for _, name := range j.routeKeys {
		route := j.routes[name]
		sums = append(sums, RouteSum{
			Route:   name,
			Version: route.version,
			Others:  route.others,
			Passed:  j.passed(route),
		})
	}
	return sums
}
