package rollout

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// slowFactor is the multiple of the usual time from which an answer is slow. It is above the
	// factor of two that differences of hardware, load and placement explain, and below the three
	// or more of a slow version.
	slowFactor = 2.25
	// slowSlack is added to the usual time, so that scheduling delays on a busy host don't make
	// answers of a few milliseconds count as slow.
	slowSlack = 2 * time.Millisecond
	// paceWindow is the number of answers that a usual time is averaged over. A gateway with a
	// few answers per second on a route follows changes of load within half a minute.
	paceWindow = 64
	// minPaceAnswers is the number of answers from which a usual time is known; among fewer, a
	// single outlier would weigh too much.
	minPaceAnswers = 8
	// maxPaceDeviation limits the deviation of one answer from the usual time, in natural
	// logarithms, so that a stalled stream doesn't make slow answers usual.
	maxPaceDeviation = math.Ln2
	// minGapEvents is the smallest number of events whose mean gap is judged. It makes two gaps,
	// since the shortest answers have three events.
	minGapEvents = 3
	// minPaceTime is the shortest time that is distinguished from zero, since logarithms need a
	// positive value.
	minPaceTime = 100 * time.Microsecond
	// maxPaceRoutes is the number of routes kept, at some 150 bytes each, so that thousands of
	// routes with little traffic can't exhaust the memory of a small host.
	maxPaceRoutes = 2048
	// minTokenSeconds is the smallest cost of processing a token, in seconds. It is far below any
	// engine's, but positive, since costs are corrected by factors.
	minTokenSeconds = 1e-7
)

// Pace learns how long answers usually take, by route, from the versions that are not on trial,
// and detects slow ones. It works on a log scale, since response times vary by factors. It is not
// safe for concurrent use.
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

// NewPace returns a Pace that has learned nothing.
func NewPace() *Pace {
	routes, err := simplelru.NewLRU[routeKey, *routePace](maxPaceRoutes, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	return &Pace{routes: routes}
}

// Learn takes in the times of an answer of a version that is not on trial. It ignores answers
// that failed, that their caller abandoned, or that came from a newly started target, since they
// don't show the usual times.
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

// Slow reports whether an answer of any version is slow, and whether that is known. It isn't
// known for failures, for newly started targets, and until enough answers of the route were
// learned. An answer must be judged before it is learned.
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

// gap returns the mean time between events; false if there were too few.
func (o Outcome) gap() (time.Duration, bool) {
	if o.Events < minGapEvents {
		return 0, false
	}
	return o.Span / time.Duration(o.Events-1), true
}

// exceedsUsual reports whether an answer was too slow compared with the usual time in seconds.
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

// headModel predicts the time to the response head as a constant part plus the time to process
// the prompt's uncached tokens.
type headModel struct {
	// base is in seconds, and perToken in seconds per uncached token; zero means unknown.
	base, perToken float64
	answers        int
}

// ready reports whether enough was learned to predict the time.
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
	// Each part is corrected in proportion to its share of the whole. The parts separate as
	// prompts with few and with many uncached tokens are seen.
	ofBase := u.base / expected
	u.base *= math.Exp(step * ofBase)
	u.perToken *= math.Exp(step * (1 - ofBase))
	u.answers++
}

// initialize sets the parts that are still unknown.
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

// learningRate returns the weight of the next answer after the given number of answers.
func learningRate(answers int) float64 {
	return 1 / float64(min(answers+1, paceWindow))
}

func clampDeviation(distance float64) float64 {
	return min(max(distance, -maxPaceDeviation), maxPaceDeviation)
}
