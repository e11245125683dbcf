package rollout

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// slowFactor is how many times the usual time makes an answer slow: above the
	// twofold that hardware, load and placement explain, below the threefold and more
	// of a version that is slow.
	slowFactor = 2.25
	// slowSlack is added to the usual time, so that the scheduling of a busy host
	// doesn't make answers slow that take a few milliseconds.
	slowSlack = 2 * time.Millisecond
	// paceWindow is how many answers a usual time is the mean of: a gateway with a few
	// answers of a route a second follows the load within half a minute.
	paceWindow = 64
	// minPaceAnswers is how many answers make a usual time known; of fewer, one stray answer
	// would be a large part.
	minPaceAnswers = 8
	// maxPaceDeviation is the most, in natural logarithms, that one answer counts as being
	// away from the usual: a stream that was stuck must not make slow ones usual.
	maxPaceDeviation = math.Ln2
	// minGapEvents is the fewest events whose mean gap is judged: two gaps, as the
	// shortest answers have three events.
	minGapEvents = 3
	// minPaceTime is the shortest time that is told from none; logarithms need one.
	minPaceTime = 100 * time.Microsecond
	// maxPaceRoutes is how many routes are kept; some 150 bytes each, so that thousands of
	// routes with little traffic can't fill the memory of a small host.
	maxPaceRoutes = 2048
	// minTokenSeconds is the least cost of reading a token, in seconds: far below any engine's,
	// but above zero, as costs are corrected by factors.
	minTokenSeconds = 1e-7
)

// Pace knows how long answers usually take, by route, from the answers of versions that
// are not on trial, and says which are slow. All of it is by factors, that is on a log
// scale, as times of answers are spread. It is not safe for concurrent use.
type Pace struct {
	routes *simplelru.LRU[routeKey, *routePace]
}

type routeKey struct {
	service, route string
}

type routePace struct {
	gap  meanTime
	head headModel
}

// NewPace returns a pace that has learned nothing.
func NewPace() *Pace {
	routes, err := simplelru.NewLRU[routeKey, *routePace](maxPaceRoutes, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Pace{routes: routes}
}

// Learn takes the times of an answer of a version that is not on trial. What failed, was
// left by its caller or came from a target that had just started says nothing of the usual.
func (p *Pace) Learn(outcome Outcome) {
	if outcome.Cold || outcome.Ending != Answered {
		return
	}
	key := routeKey{outcome.Service, outcome.Route}
	known, ok := p.routes.Get(key)
	if !ok {
		known = &routePace{}
		p.routes.Add(key, known)
	}
	if outcome.Head > 0 {
		known.head.learn(outcome.Head, outcome.Unread)
	}
	if gap, ok := outcome.gap(); ok {
		known.gap.learn(gap)
	}
}

// Slow says whether an answer of any version is slow, and whether that is known: it
// isn't for failures, for targets that have just started, and before enough was learned
// of the route. An answer is judged before it is learned.
func (p *Pace) Slow(outcome Outcome) (slow, known bool) {
	if outcome.Cold || outcome.Ending == Failed {
		return false, false
	}
	usual, ok := p.routes.Get(routeKey{outcome.Service, outcome.Route})
	if !ok {
		return false, false
	}
	if outcome.Head > 0 && usual.head.ready(outcome.Unread) {
		known = true
		slow = exceedsUsual(outcome.Head, usual.head.expected(outcome.Unread))
	}
	if gap, ok := outcome.gap(); ok && usual.gap.answers >= minPaceAnswers {
		known = true
		slow = slow || exceedsUsual(gap, usual.gap.seconds())
	}
	return slow, known
}

// gap is the mean time between events; false if there were too few.
func (o Outcome) gap() (time.Duration, bool) {
	if o.Events < minGapEvents {
		return 0, false
	}
	return o.Span / time.Duration(o.Events-1), true
}

// exceedsUsual compares a time with the usual one, in seconds.
func exceedsUsual(took time.Duration, usual float64) bool {
	return took.Seconds() > slowFactor*usual+slowSlack.Seconds()
}

// meanTime is a running mean of logarithms of seconds.
type meanTime struct {
	mean    float64
	answers int
}

func (u *meanTime) learn(took time.Duration) {
	value := math.Log(max(took, minPaceTime).Seconds())
	if u.answers == 0 {
		u.mean = value
	}
	u.mean += clampDeviation(value-u.mean) * learningRate(u.answers)
	u.answers++
}

func (u *meanTime) seconds() float64 {
	return math.Exp(u.mean)
}

// headModel is the time to the head of an answer: a part that is always there, and the
// reading of the prompt's unread tokens.
type headModel struct {
	// base is in seconds, and perToken in seconds for each unread token; zero is unknown.
	base, perToken float64
	answers        int
}

// knows says whether enough was learned to expect anything.
func (u *headModel) ready(unread int) bool {
	return u.answers >= minPaceAnswers && (unread == 0 || u.perToken > 0)
}

func (u *headModel) expected(unread int) float64 {
	return u.base + u.perToken*float64(unread)
}

func (u *headModel) learn(took time.Duration, unread int) {
	seconds := max(took, minPaceTime).Seconds()
	u.initialize(seconds, unread)
	expected := u.expected(unread)
	step := clampDeviation(math.Log(seconds/expected)) * learningRate(u.answers)
	// Each part is corrected as far as it makes up the whole: the parts come apart
	// as prompts with few and with many unread tokens are seen.
	ofBase := u.base / expected
	u.base *= math.Exp(step * ofBase)
	u.perToken *= math.Exp(step * (1 - ofBase))
	u.answers++
}

// begin sets the parts that are unknown yet.
func (u *headModel) initialize(seconds float64, unread int) {
	if u.base == 0 {
		u.base = seconds
		if unread > 0 {
			u.base = seconds / 2
		}
	}
	if u.perToken == 0 && unread > 0 {
		u.perToken = max((seconds-u.base)/float64(unread), minTokenSeconds)
	}
}

// learningRate is the weight of the next answer after so many.
func learningRate(answers int) float64 {
	return 1 / float64(min(answers+1, paceWindow))
}

func clampDeviation(distance float64) float64 {
	return min(max(distance, -maxPaceDeviation), maxPaceDeviation)
}
