package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

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
	rapid.Check(t, func(t *rapid.T) {
		const seconds = 40
		steps := int(seconds * time.Second / step)
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		fleet := &simulatedFleet{
			random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			slack:    2.5 * float64(routers),
			requests: make([]int, steps),
			repeats:  make([]int, steps),
		}
		for range routers {
			fleet.routers = append(fleet.routers, new(simulatedRouter))
		}
		for _, router := range fleet.routers {
			fleet.restart(router, 0, 0)
		}
		perSecond := rapid.IntRange(5, 40).Draw(t, "requests per router and second") * routers
		fleet.failsFrom = rapid.IntRange(0, steps/2).Draw(t, "fails from")
		surge, killed, frozen := 1, 0.0, 0.0
		for at := range steps {
			if at%int(time.Second/step) == 0 {
				surge = rapid.IntRange(1, 9).Draw(t, "surge")
				killed = rapid.SampledFrom([]float64{0, 0, 0.75, 1}).Draw(t, "killed")
				if at < fleet.failsFrom {
					killed = 0
				}
				frozen = rapid.SampledFrom([]float64{0, 0, 0, 0.3}).Draw(t, "frozen")
				for _, router := range fleet.routers {
					if fleet.random.Float64() < killed {
						fleet.restart(router, at, rapid.IntRange(0, 12).Draw(t, "down"))
					} else if fleet.random.Float64() < frozen {
						router.frozenUntil = at + rapid.IntRange(1, 20).Draw(t, "stands still")
					}
				}
			}
			fleet.send(at, perSecond*surge/int(time.Second/step))
			for _, router := range fleet.routers {
				fleet.serve(router, at)
			}
		}
		for from := range steps - window {
			if spent := sum(fleet.repeats, from); float64(spent) > fleet.allowed(from) {
				t.Fatalf("%d repeats in the window from step %d, %.1f allowed", spent, from, fleet.allowed(from))
			}
		}
	})
}

// TestFleetUsesItsBudget checks that a fleet without restarts spends most of the ratio.
func TestFleetUsesItsBudget(t *testing.T) {
	const steps = 2 * int(10*time.Second/step)
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(1, 1)), requests: make([]int, steps), repeats: make([]int, steps)}
	for range 8 {
		fleet.routers = append(fleet.routers, new(simulatedRouter))
	}
	for _, router := range fleet.routers {
		fleet.restart(router, 0, 0)
	}
	for at := range steps {
		fleet.send(at, 5)
		for _, router := range fleet.routers {
			fleet.serve(router, at)
		}
	}
	if spent, requests := sum(fleet.repeats, window), sum(fleet.requests, window); float64(spent) < 0.15*float64(requests) {
		t.Fatalf("%d retries for %d requests", spent, requests)
	}
}
