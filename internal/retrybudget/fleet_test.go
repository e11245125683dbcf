package retrybudget_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/retrybudget"
)

const (
	// step is the resolution of the simulated time.
	step = 50 * time.Millisecond
	// window is the window of the fleet's budget, and half half of it, in steps.
	window = int(10 * time.Second / step)
	half   = window / 2
	// maxAttempts is how often a request is sent at most.
	maxAttempts = 4
	// growth is the number of routers that the slack is divided by per router, and unsure the
	// lowest one for a router that has only just started.
	growth     = 1.3
	unsure     = 32
	unsureTime = 5 * time.Second
)

// simulatedRouter is a place in a fleet whose router restarts and stands still at times.
type simulatedRouter struct {
	budgets *retrybudget.Budgets
	started time.Time
	// downUntil and frozenUntil are steps.
	downUntil, frozenUntil int
	// arrived are requests that a router that stands still has not read yet.
	arrived int
}

// conditions are what happens to a fleet in one second.
type conditions struct {
	// surge is the number of times the usual requests that callers send.
	surge int
	// killed and frozen are the shares of the routers that restart and that stand still, for
	// down and still steps.
	killed, frozen float64
	down, still    int
}

// simulatedFleet counts what callers send to a service and what its targets receive repeatedly, by
// step.
type simulatedFleet struct {
	routers  []*simulatedRouter
	random   *rand.Rand
	slack    float64
	requests []int
	repeats  []int
	// failsFrom is the step from which all requests fail; none does before.
	failsFrom int
}

// newSimulatedFleet returns a fleet whose routers have just started.
func newSimulatedFleet(routers int, slack float64, seed uint64) *simulatedFleet {
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), slack: slack}
	for range routers {
		fleet.routers = append(fleet.routers, new(simulatedRouter))
	}
	for _, router := range fleet.routers {
		fleet.restart(router, 0, 0)
	}
	return fleet
}

// play lets callers send so many requests in each second of usual traffic.
func (f *simulatedFleet) play(perSecond, seconds int, conditionsAt func(second int) conditions) {
	const perStep = int(time.Second / step)
	f.requests, f.repeats = make([]int, seconds*perStep), make([]int, seconds*perStep)
	var current conditions
	for at := range f.requests {
		if at%perStep == 0 {
			current = conditionsAt(at / perStep)
			f.disturb(at, current)
		}
		f.send(at, perSecond*current.surge/perStep)
		for _, router := range f.routers {
			f.serve(router, at)
		}
	}
}

// disturb restarts routers and lets others stand still.
func (f *simulatedFleet) disturb(at int, current conditions) {
	for _, router := range f.routers {
		if f.random.Float64() < current.killed {
			f.restart(router, at, current.down)
		} else if f.random.Float64() < current.frozen {
			router.frozenUntil = at + current.still
		}
	}
}

// excess returns by how much the repeats of the worst window exceed what is allowed; zero or less
// if none does.
func (f *simulatedFleet) excess() float64 {
	worst := math.Inf(-1)
	for from := range len(f.requests) - window {
		worst = max(worst, float64(sum(f.repeats, from))-f.allowed(from))
	}
	return worst
}

func (f *simulatedFleet) options(now, started time.Time) retrybudget.Options {
	sharedBy := growth * float64(len(f.routers))
	if now.Sub(started) < unsureTime {
		sharedBy = max(sharedBy, unsure)
	}
	return retrybudget.Options{Ratio: 0.2, Slack: f.slack / sharedBy, Window: 10 * time.Second}
}

// restart ends a router's life, and with it all that it knows.
func (f *simulatedFleet) restart(router *simulatedRouter, at, down int) {
	router.downUntil, router.frozenUntil, router.arrived = at+down, 0, 0
	router.started = start.Add(time.Duration(at+down) * step)
	router.budgets = retrybudget.New(f.options(router.started, router.started), router.started)
}

// send plays the requests of one step. Callers whose router is down use another one.
func (f *simulatedFleet) send(at, count int) {
	f.requests[at] += count
	for range count {
		router := f.routers[f.random.IntN(len(f.routers))]
		for try := 0; router.downUntil > at && try < len(f.routers); try++ {
			router = f.routers[f.random.IntN(len(f.routers))]
		}
		if router.downUntil <= at {
			router.arrived++
		}
	}
}

// serve lets a router read what has arrived and send it on, again and again.
func (f *simulatedFleet) serve(router *simulatedRouter, at int) {
	if router.downUntil > at || router.frozenUntil > at {
		return
	}
	now := start.Add(time.Duration(at) * step)
	router.budgets.SetSlack(f.options(now, router.started).Slack)
	for ; router.arrived > 0; router.arrived-- {
		router.budgets.Request("s", now)
		for range maxAttempts - 1 {
			if at >= f.failsFrom && router.budgets.Spend("s", now) {
				f.repeats[at]++
			}
		}
	}
}

// sum adds up the counts of a window that begins at a step.
func sum(counts []int, from int) int {
	total := 0
	for at := max(from, 0); at < min(from+window, len(counts)); at++ {
		total += counts[at]
	}
	return total
}

// allowed is the fleet's budget in a window that begins at a step: a share of the requests in that
// window, in the one before it or in the one half a window earlier, whichever has the most, and the
// slack.
func (f *simulatedFleet) allowed(from int) float64 {
	requests := max(sum(f.requests, from), sum(f.requests, from-half), sum(f.requests, from-window))
	return 0.2*float64(requests) + f.slack
}

// TestFleetStaysWithinBudget guards against retries beyond the fleet's budget when routers restart:
// each life spent a budget of its own, and what the one before it had spent was forgotten.
func TestFleetStaysWithinBudget(t *testing.T) {
	const seconds = 40
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		perSecond := rapid.IntRange(5, 40).Draw(t, "requests per router and second") * routers
		fleet := newSimulatedFleet(routers, 2.5*float64(routers), rapid.Uint64().Draw(t, "seed"))
		failsFrom := rapid.IntRange(0, seconds/2).Draw(t, "fails from")
		fleet.failsFrom = failsFrom * int(time.Second/step)
		fleet.play(perSecond, seconds, func(second int) conditions {
			drawn := conditions{
				surge:  rapid.IntRange(1, 9).Draw(t, "surge"),
				killed: rapid.SampledFrom([]float64{0, 0, 0.75, 1}).Draw(t, "killed"),
				frozen: rapid.SampledFrom([]float64{0, 0, 0, 0.3}).Draw(t, "frozen"),
				down:   rapid.IntRange(0, 12).Draw(t, "down"),
				still:  rapid.IntRange(1, 20).Draw(t, "still"),
			}
			if second < failsFrom {
				drawn.killed = 0
			}
			return drawn
		})
		if excess := fleet.excess(); excess > 0 {
			t.Fatalf("%.1f repeats too many in a window", excess)
		}
	})
}

// TestFleetStaysWithinBudgetInSurges checks the budget when all targets begin to fail at the end of
// a surge, whose requests were counted before the window, and another surge follows.
func TestFleetStaysWithinBudgetInSurges(t *testing.T) {
	const failsFrom, perSecond = 15, 240
	cases := map[string]struct {
		surge, first, second, killed int
	}{
		"steady":                         {surge: 1},
		"a short surge":                  {surge: 9, first: 1},
		"two short surges":               {surge: 9, first: 1, second: 1},
		"two long surges":                {surge: 9, first: 4, second: 4},
		"two surges and restarts":        {surge: 5, first: 2, second: 2, killed: 4},
		"two short surges, all restart":  {surge: 9, first: 1, second: 1, killed: 6},
		"steady, all restart every time": {surge: 1, killed: 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newSimulatedFleet(4, 54, 7)
			fleet.failsFrom = failsFrom * int(time.Second/step)
			fleet.play(perSecond, 3*failsFrom, func(second int) conditions {
				current := conditions{surge: 1, down: 4}
				sinceFailing := second - failsFrom
				if -tc.first <= sinceFailing && sinceFailing < 0 || 6 <= sinceFailing && sinceFailing < 6+tc.second {
					current.surge = tc.surge
				}
				if sinceFailing >= 0 && sinceFailing < tc.killed {
					current.killed = 1
				}
				return current
			})
			is.New(t).True(fleet.excess() <= 0)
		})
	}
}

// TestFleetUsesItsBudget checks that a fleet without restarts spends most of the ratio.
func TestFleetUsesItsBudget(t *testing.T) {
	is := is.New(t)
	fleet := newSimulatedFleet(8, 0, 1)
	fleet.play(100, 20, func(int) conditions { return conditions{surge: 1} })
	is.True(float64(sum(fleet.repeats, window)) >= 0.15*float64(sum(fleet.requests, window)))
}
