package rollout

import (
	"fmt"
	"slices"
)

const (
	// routeTraffic is how many answers of the others make a route one with traffic: of
	// fewer requests, the version can't have got a share.
	routeTraffic = 4
	// rarePart is the part of the service's answers below which a route is rare: a tenth
	// of the requests of a short order holds no sample of its own for it.
	rarePart = 0.05
	// waitOthers and waitRounds are how long the version's news waits for the others':
	// until they gave so many answers on the route, or all gateways have had time for so
	// many reports. Trouble that begins on both sides shows in the others' shares only then.
	waitOthers = 30
	waitRounds = 2
	// waitMost is by how many answers what waits may exceed what the others gave since:
	// there are more only in the move, when the others get no requests.
	waitMost = 6
	// cleanEvidence is the least that the tests of all routes together must say in favour
	// of a version that is called clean: that of some three good answers. Without any,
	// nothing is known.
	cleanEvidence = -1.0
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

func (c Counts) plus(more Counts) Counts {
	return Counts{c.Answers + more.Answers, c.Failed + more.Failed, c.Slow + more.Slow}
}

// since is what came after an earlier sum; false if this one isn't a later sum of the
// same counter.
func (c Counts) since(earlier Counts) (Counts, bool) {
	news := Counts{c.Answers - earlier.Answers, c.Failed - earlier.Failed, c.Slow - earlier.Slow}
	return news, news.valid()
}

// whole are the answers that did not fail: those that have a pace.
func (c Counts) whole() int {
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
	names []uint32
	// rare are the common tests of the routes with few requests, and whole those of all
	// routes: they find soonest what strikes all of them.
	rare, whole tests
	// failures and slow are the troubles of the others lately, on all routes.
	failures, slow baseline
	// bad is why the version is bad; empty until it is.
	bad string
	// takes is how many reports were taken, and ignored how many sums were of no use.
	takes, ignored int
}

type judgedRoute struct {
	tests
	failuresBase, slowBase baseline
	// waiting is, from the first on, the version's news that is not judged yet, the oldest
	// first, and waitingAnswers how many answers that is.
	waiting               []waitingNews
	first, waitingAnswers int
}

// waitingNews waits until the others' answers show how it was at its time.
type waitingNews struct {
	news Tally
	// others is how many answers the others had given on the route when it came, and
	// takes the number of Judge.Take that brought it.
	others, takes int
}

// NewJudge returns a judge that has seen no answers.
func NewJudge() *Judge {
	return &Judge{
		known:  make(map[string]map[tallyKey]Counts),
		routes: make(map[uint32]*judgedRoute),
		rare:   tests{what: "routes with few requests together"},
		whole:  tests{what: "all routes together"},
	}
}

// Take takes the sums that a gateway has reported. A gateway that has begun anew needs
// another name. Lost reports do no harm, as the next sums hold their news, and neither do
// those that come late or twice: a sum that is no later one of its counter is ignored.
func (j *Judge) Take(gateway string, tallies []Tally) {
	known, ok := j.known[gateway]
	if !ok {
		known = make(map[tallyKey]Counts)
		j.known[gateway] = known
	}
	j.takes++
	for _, tally := range j.newsOf(known, tallies) {
		if tally.Target == 0 {
			j.takeOthers(tally)
		} else {
			j.routeOf(tally.Route).wait(tally, j.takes)
		}
	}
	weighed := false
	for _, name := range j.names {
		if route := j.routes[name]; j.judge(route) {
			j.settle(&route.tests)
			weighed = true
		}
	}
	if weighed {
		j.settle(&j.rare)
		j.settle(&j.whole)
	}
}

// settle sums up tests that have news; the first that make the version bad say why.
func (j *Judge) settle(t *tests) {
	t.settle()
	if j.bad == "" && t.bad() {
		j.bad = t.why()
	}
}

// newsOf is what is new in sums, as tallies of the news alone.
func (j *Judge) newsOf(known map[tallyKey]Counts, tallies []Tally) []Tally {
	news := make([]Tally, 0, len(tallies))
	for _, tally := range tallies {
		key := tallyKey{tally.Route, tally.Target}
		sum := Counts{tally.Answers, tally.Failed, tally.Slow}
		fresh, ok := sum.since(known[key])
		if !ok {
			j.ignored++
			continue
		}
		if fresh.Answers == 0 {
			continue
		}
		known[key] = sum
		news = append(news, Tally{tally.Route, tally.Target, fresh.Answers, fresh.Failed, fresh.Slow})
	}
	return news
}

// Ignored is how many sums were of no use: older than what was known, or impossible.
func (j *Judge) Ignored() int {
	return j.ignored
}

func (j *Judge) routeOf(name uint32) *judgedRoute {
	route, ok := j.routes[name]
	if !ok {
		route = &judgedRoute{tests: tests{what: fmt.Sprintf("route %08x", name)}}
		j.routes[name] = route
		at, _ := slices.BinarySearch(j.names, name)
		j.names = slices.Insert(j.names, at, name)
	}
	return route
}

func (j *Judge) takeOthers(news Tally) {
	route := j.routeOf(news.Route)
	counts := Counts{news.Answers, news.Failed, news.Slow}
	route.others = route.others.plus(counts)
	j.whole.others = j.whole.others.plus(counts)
	if j.isRare(route) {
		j.rare.others = j.rare.others.plus(counts)
	}
	route.failuresBase.add(counts.Answers, counts.Failed)
	route.slowBase.add(counts.whole(), counts.Slow)
	j.failures.add(counts.Answers, counts.Failed)
	j.slow.add(counts.whole(), counts.Slow)
}

// wait puts the version's news off.
func (r *judgedRoute) wait(news Tally, takes int) {
	r.waiting = append(r.waiting, waitingNews{news: news, others: r.others.Answers, takes: takes})
	r.waitingAnswers += news.Answers
}

// due says whether the oldest of what waits can be judged: the others have answered since,
// or all gateways have had time to say so, or they answer no more.
func (r *judgedRoute) due(takes int) bool {
	if r.first == len(r.waiting) {
		return false
	}
	oldest := r.waiting[r.first]
	others := r.others.Answers - oldest.others
	return others >= waitOthers || takes >= oldest.takes || r.waitingAnswers > others+waitMost
}

// next takes the oldest of what waits; compact must follow.
func (r *judgedRoute) next() Tally {
	news := r.waiting[r.first].news
	r.waitingAnswers -= news.Answers
	r.first++
	return news
}

func (r *judgedRoute) compact() {
	r.waiting = slices.Delete(r.waiting, 0, r.first)
	r.first = 0
}

// judge weighs the news of a route that is due; false if none is.
func (j *Judge) judge(route *judgedRoute) bool {
	earliest := j.takes - waitRounds*len(j.known)
	if !route.due(earliest) {
		return false
	}
	failureOdds := oddsOver(route.failuresBase.of(&j.failures, baseFailures))
	slowOdds := oddsOver(route.slowBase.of(&j.slow, baseSlow))
	rare := j.isRare(route)
	for route.due(earliest) {
		news := route.next()
		counts := Counts{news.Answers, news.Failed, news.Slow}
		route.take(news.Target, counts, failureOdds, slowOdds)
		j.whole.take(news.Target, counts, failureOdds, slowOdds)
		if rare {
			j.rare.take(news.Target, counts, failureOdds, slowOdds)
		}
	}
	route.compact()
	return true
}

// isRare says whether a route has few of the service's requests.
func (j *Judge) isRare(route *judgedRoute) bool {
	return float64(route.others.Answers) < rarePart*float64(j.whole.others.Answers)
}

// passed says whether a route with traffic is good by its own tests or, if it is rare, by
// the common ones.
func (j *Judge) passed(route *judgedRoute) bool {
	return route.passed() || j.isRare(route) && j.rare.passed()
}

// Verdict is what is known now, and why, in plain words with the figures. A version is
// good when each route with traffic has passed both tests.
func (j *Judge) Verdict() (Verdict, string) {
	if j.bad != "" {
		return Bad, j.bad
	}
	busy, passed := 0, 0
	for _, route := range j.routes {
		if !route.busy() {
			continue
		}
		busy++
		if j.passed(route) {
			passed++
		}
	}
	reason := fmt.Sprintf("%d of %d routes with traffic have passed", passed, busy)
	if busy > 0 && passed == busy && j.whole.passed() {
		return Good, reason
	}
	return Undecided, reason
}

// Wanted are the routes with traffic whose samples on the version are too small yet, in
// order. They are all routes if only what they show together speaks against the version.
func (j *Judge) Wanted() []uint32 {
	if j.bad != "" {
		return nil
	}
	var busy, wanted []uint32
	for _, name := range j.names {
		route := j.routes[name]
		if !route.busy() {
			continue
		}
		busy = append(busy, name)
		if !j.passed(route) {
			wanted = append(wanted, name)
		}
	}
	if len(wanted) == 0 && !j.whole.passed() {
		return busy
	}
	return wanted
}

// Clean says that nothing speaks against the version so far, and something in favour of
// it, although samples may be small. It is what can be said when the time is over.
func (j *Judge) Clean() bool {
	if j.bad != "" || j.rare.doubted() {
		return false
	}
	for _, route := range j.routes {
		if route.doubted() {
			return false
		}
	}
	return j.whole.failures.sound+j.whole.slow.sound <= cleanEvidence
}

// Routes are the sums of each route, for operators, in the order of their names.
func (j *Judge) Routes() []RouteSum {
	sums := make([]RouteSum, 0, len(j.names))
	for _, name := range j.names {
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
