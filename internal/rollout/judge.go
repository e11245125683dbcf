package rollout

import (
	"fmt"
	"slices"
)

const (
	// minRouteAnswers is the number of the others' answers from which a route counts as one with
	// traffic. With fewer requests, the version can't have received a share of them.
	minRouteAnswers = 4
	// rareRoutePart is the part of the service's answers below which a route is rare: a tenth of
	// the requests of a short order doesn't contain a sample of its own for it.
	rareRoutePart = 0.05
	// maxDeferOthers and maxDeferRounds limit how long the version's answers are deferred in
	// favour of the others': until the others have given this many answers on the route, or all
	// gateways have had time for this many reports. Trouble that starts on both sides only shows
	// in the others' shares by then.
	maxDeferOthers = 30
	maxDeferRounds = 2
	// maxDeferExcess is by how many answers the deferred ones may exceed those of the others
	// since. The excess is only larger during the move, when the others get no requests.
	maxDeferExcess = 6
	// cleanWeight is the least weight in favour of a version that the tests of all routes together
	// must reach to call it clean, which is that of some three good answers. Without any answers
	// nothing is known.
	cleanWeight = -1.0
)

// Verdict is the judgement of a version.
type Verdict int

// The verdicts. Bad is final; Good is revoked if the version turns bad.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String returns the verdict in lower case.
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

// Counts counts answers. Failed and Slow are included in Answers, and no answer is both.
type Counts struct {
	Answers, Failed, Slow int
}

func (c Counts) add(other Counts) Counts {
	return Counts{c.Answers + other.Answers, c.Failed + other.Failed, c.Slow + other.Slow}
}

// delta returns the answers since an earlier total; false if c is not a later total of the same
// counter.
func (c Counts) delta(earlier Counts) (Counts, bool) {
	delta := Counts{c.Answers - earlier.Answers, c.Failed - earlier.Failed, c.Slow - earlier.Slow}
	return delta, delta.valid()
}

// succeeded returns the number of answers that did not fail, which are the ones that have a pace.
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
	// Passed is set if the version's sample is large enough and good.
	Passed bool `json:"passed"`
}

// Judge compares the answers of the version on trial with those of the others, by route, based on
// the tallies of all gateways. It is not safe for concurrent use.
type Judge struct {
	// known holds the last totals of each gateway's counters.
	known  map[string]map[tallyKey]Counts
	routes map[uint32]*judgedRoute
	// routeKeys holds the sorted keys of routes.
	routeKeys []uint32
	// rareRoutes are the combined tests of the routes with few requests. allRoutes are those of
	// all routes, which are the first to detect trouble that affects all of them.
	rareRoutes, allRoutes routeTests
	// failureBaseline and slowBaseline are the recent troubles of the others over all routes.
	failureBaseline, slowBaseline baseline
	// bad is why the version is bad; empty until it is.
	bad string
	// reports counts the reports taken in, and ignored the totals that were stale or invalid.
	reports, ignored int
}

type judgedRoute struct {
	routeTests
	failureBaseline, slowBaseline baseline
	// deferred[head:] are the version's answers that are not evaluated yet, oldest first, and
	// deferredAnswers is their number.
	deferred              []deferredTally
	head, deferredAnswers int
}

// deferredTally is kept until the others' answers show how things were at its time.
type deferredTally struct {
	tally Tally
	// othersAnswers is the number of answers that the others had given on the route when the
	// tally arrived, and report the number of the report that brought it.
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

// AddReport takes in the totals that a gateway has reported. A restarted gateway needs another
// name. Lost reports do no harm, as the next totals include their answers, and neither do late or
// repeated ones: a total that is no later one of its counter is ignored.
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

// update recomputes tests that have new answers. The first ones to find the version bad give the
// reason.
func (j *Judge) update(t *routeTests) {
	t.update()
	if j.bad == "" && t.bad() {
		j.bad = t.explain()
	}
}

// increments returns what the totals add to the known ones, as tallies of the added answers
// alone.
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

// Ignored returns the number of totals that were older than the known ones or impossible.
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

// deferTally queues the version's answers for later evaluation.
func (r *judgedRoute) deferTally(tally Tally, report int) {
	r.deferred = append(r.deferred, deferredTally{tally: tally, othersAnswers: r.others.Answers, report: report})
	r.deferredAnswers += tally.Answers
}

// ready reports whether the oldest deferred tally can be evaluated: the others have answered
// since, all gateways have had time to report that, or the others answer no more.
func (r *judgedRoute) ready(dueReport int) bool {
	if r.head == len(r.deferred) {
		return false
	}
	oldest := r.deferred[r.head]
	others := r.others.Answers - oldest.othersAnswers
	return others >= maxDeferOthers || dueReport >= oldest.report || r.deferredAnswers > others+maxDeferExcess
}

// pop removes the oldest deferred tally; compact must follow.
func (r *judgedRoute) pop() Tally {
	tally := r.deferred[r.head].tally
	r.deferredAnswers -= tally.Answers
	r.head++
	return tally
}

func (r *judgedRoute) compact() {
	r.deferred = slices.Delete(r.deferred, 0, r.head)
	r.head = 0
}

// evaluate weighs the deferred answers of a route that are ready; false if none are.
func (j *Judge) evaluate(route *judgedRoute) bool {
	dueReport := j.reports - maxDeferRounds*len(j.known)
	if !route.ready(dueReport) {
		return false
	}
	failureOdds := newLogOdds(route.failureBaseline.tolerated(&j.failureBaseline, minBaseFailures))
	slowOdds := newLogOdds(route.slowBaseline.tolerated(&j.slowBaseline, minBaseSlow))
	rare := j.isRare(route)
	for route.ready(dueReport) {
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

// isRare reports whether a route has few of the service's requests.
func (j *Judge) isRare(route *judgedRoute) bool {
	return float64(route.others.Answers) < rareRoutePart*float64(j.allRoutes.others.Answers)
}

// passed reports whether a route with traffic is good by its own tests or, if it is rare, by the
// combined ones.
func (j *Judge) passed(route *judgedRoute) bool {
	return route.passed() || j.isRare(route) && j.rareRoutes.passed()
}

// Verdict returns the current verdict and its reason, in plain language with the figures. A
// version is good when each route with traffic has passed both tests.
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

// UndersampledRoutes returns the routes with traffic whose samples of the version are still too
// small, sorted. It returns all routes if only their combined answers speak against the version.
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

// Clean reports whether nothing speaks against the version so far, and something in favour of it,
// even if the samples are small. It is the criterion when time is running out.
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

// Routes returns the totals of each route for operators, sorted by name.
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
