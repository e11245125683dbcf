package rollout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// answerProfile is how the versions answer in a simulation.
type answerProfile struct {
	base  func(at float64, route string) faultRates
	added func(at float64, route string, target int, moving bool) faultRates
}

// steadyBase returns trouble that affects all versions at all times.
func steadyBase(failed, slow float64) func(float64, string) faultRates {
	return func(float64, string) faultRates { return faultRates{failed, slow} }
}

// burstBase returns trouble that affects all versions for two seconds.
func burstBase(failed, slow float64) func(float64, string) faultRates {
	return func(at float64, _ string) faultRates {
		if at > 4 && at < 6 {
			return faultRates{failed, slow}
		}
		return faultRates{0.004, 0.01}
	}
}

// addedEverywhere returns what a version adds on all routes from a given time on.
func addedEverywhere(failed, slow, from float64) func(float64, string, int, bool) faultRates {
	return func(at float64, _ string, _ int, _ bool) faultRates {
		if at < from {
			return faultRates{}
		}
		return faultRates{failed, slow}
	}
}

// addedOnRoute returns what a version adds on one route.
func addedOnRoute(name string, failed, slow float64) func(float64, string, int, bool) faultRates {
	return func(_ float64, route string, _ int, _ bool) faultRates {
		if route != name {
			return faultRates{}
		}
		return faultRates{failed, slow}
	}
}

// simTotals summarizes the results of many simulations.
type simTotals struct {
	bad, good, completed int
	maxBadAnswers        int
	meanBadAnswers       float64
	// overShare counts the simulations in which the canary took more than the share.
	overShare int
}

func runSimulations(s simulation, form answerProfile, count int) simTotals {
	s.base, s.added = form.base, form.added
	var sums simTotals
	for seed := range count {
		end := s.run(uint64(seed))
		if end.verdict == Bad {
			sums.bad++
		}
		if end.goodAt > 0 {
			sums.good++
		}
		if end.moved && end.verdict != Bad {
			sums.completed++
		}
		if !end.moved && float64(end.exposed) > s.share*float64(end.requests) {
			sums.overShare++
		}
		sums.maxBadAnswers = max(sums.maxBadAnswers, end.badAnswers)
		sums.meanBadAnswers += float64(end.badAnswers) / float64(count)
	}
	return sums
}

// TestSimulatedRollouts simulates whole rollouts of 12 s with a tenth of the requests, at the
// rates of four services. It checks how often a good version is lost, how often a bad one is
// completed, and what a bad one costs. The bounds are in hundredths of the simulations, for the
// worst of the four services, and leave room for chance.
func TestSimulatedRollouts(t *testing.T) {
	const count = 100
	services := map[string]simulation{
		"large, models": shortOrder(largeModels(), 5),
		"large, plain":  shortOrder(largePlain(), 2),
		"even, models":  shortOrder(evenModels(), 4),
		"even, plain":   shortOrder(evenPlain(), 1),
	}
	usualBase := steadyBase(0.004, 0.01)
	none := addedEverywhere(0, 0, 0)
	profiles := map[string]struct {
		answerProfile
		// maxBad, minBad, minCompleted and maxCompleted are the bounds. maxBadAnswers is that of
		// the bad answers in any one simulation, including those of the base.
		maxBad, minBad             int
		minCompleted, maxCompleted int
		maxBadAnswers              int
	}{
		"good":                            {answerProfile{usualBase, none}, 0, 0, 99, 100, 12},
		"good, some fail everywhere":      {answerProfile{steadyBase(0.05, 0.05), none}, 3, 0, 93, 100, 55},
		"good, many fail everywhere":      {answerProfile{steadyBase(0.14, 0.02), none}, 3, 0, 93, 100, 80},
		"good, a spell of failures":       {answerProfile{burstBase(0.4, 0), none}, 5, 0, 93, 100, 50},
		"good, a spell of slow answers":   {answerProfile{burstBase(0, 0.6), none}, 9, 0, 90, 100, 60},
		"20 in 100 fail":                  {answerProfile{usualBase, addedEverywhere(0.2, 0, 0)}, 100, 94, 0, 2, 50},
		"60 in 100 fail":                  {answerProfile{usualBase, addedEverywhere(0.6, 0, 0)}, 100, 100, 0, 0, 50},
		"40 in 100 more than many fail":   {answerProfile{steadyBase(0.14, 0.02), addedEverywhere(0.4, 0, 0)}, 100, 95, 0, 1, 90},
		"20 in 100 slow":                  {answerProfile{usualBase, addedEverywhere(0, 0.2, 0)}, 100, 70, 0, 8, 65},
		"40 in 100 slow":                  {answerProfile{usualBase, addedEverywhere(0, 0.4, 0)}, 100, 99, 0, 0, 50},
		"20 in 100 fail on one route":     {answerProfile{usualBase, addedOnRoute("b", 0.2, 0)}, 100, 70, 0, 15, 50},
		"30 in 100 slow on one route":     {answerProfile{usualBase, addedOnRoute("a", 0, 0.3)}, 100, 90, 0, 3, 65},
		"50 in 100 fail after two thirds": {answerProfile{usualBase, addedEverywhere(0.5, 0, 8)}, 100, 80, 0, 3, 60},
	}
	for name, profile := range profiles {
		for service, trial := range services {
			t.Run(name+"/"+service, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sums := runSimulations(trial, profile.answerProfile, count)
				t.Logf("bad %d, good %d, completed %d of %d; bad answers %.1f, most %d",
					sums.bad, sums.good, sums.completed, count, sums.meanBadAnswers, sums.maxBadAnswers)
				is.True(100*sums.bad <= profile.maxBad*count)
				is.True(100*sums.bad >= profile.minBad*count)
				is.True(100*sums.completed >= profile.minCompleted*count)
				is.True(100*sums.completed <= profile.maxCompleted*count)
				is.True(sums.maxBadAnswers <= profile.maxBadAnswers)
				is.Equal(sums.overShare, 0)
			})
		}
	}
}

// TestSimulatedRolloutsWithLostReports checks that the results are the same, if later, when a
// third of the reports are lost and each has only a few tallies.
func TestSimulatedRolloutsWithLostReports(t *testing.T) {
	usualBase := steadyBase(0.004, 0.01)
	lossy := shortOrder(largeModels(), 5)
	lossy.reportLoss, lossy.maxTallies = 0.33, 6
	tests := map[string]struct {
		answerProfile
		minBad, minCompleted int
	}{
		"good":                        {answerProfile{usualBase, addedEverywhere(0, 0, 0)}, 0, 99},
		"good, a spell of failures":   {answerProfile{burstBase(0.4, 0), addedEverywhere(0, 0, 0)}, 0, 93},
		"20 in 100 fail":              {answerProfile{usualBase, addedEverywhere(0.2, 0, 0)}, 94, 0},
		"20 in 100 fail on one route": {answerProfile{usualBase, addedOnRoute("b", 0.2, 0)}, 90, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := runSimulations(lossy, test.answerProfile, 100)
			t.Logf("%+v", sums)
			is.True(sums.bad >= test.minBad)
			is.True(sums.completed >= test.minCompleted)
			is.True(sums.maxBadAnswers <= 50)
		})
	}
}

// TestSimulatedRolloutsWithManyRoutes simulates half a minute with thirty routes with little
// traffic each, also with a burst of trouble in all versions every ten seconds.
func TestSimulatedRolloutsWithManyRoutes(t *testing.T) {
	var routes []simRoute
	for i := range 30 {
		routes = append(routes, simRoute{fmt.Sprint("route-", i), 8, 0.5, 0.5})
	}
	long := shortOrder(routes, 5)
	long.moveAt, long.until = 27, 30
	spells := func(at float64, _ string) faultRates {
		if second := int(at) % 10; second == 4 || second == 5 {
			return faultRates{0.6, 0}
		}
		return faultRates{0.01, 0.02}
	}
	tests := map[string]struct {
		answerProfile
		minBad, minCompleted int
	}{
		"good":                        {answerProfile{spells, addedEverywhere(0, 0, 0)}, 0, 90},
		"20 in 100 fail":              {answerProfile{steadyBase(0.004, 0.01), addedEverywhere(0.2, 0, 0)}, 98, 0},
		"20 in 100 fail late":         {answerProfile{steadyBase(0.004, 0.01), addedEverywhere(0.2, 0, 15)}, 90, 0},
		"60 in 100 fail on one route": {answerProfile{steadyBase(0.004, 0.01), addedOnRoute("route-3", 0.6, 0)}, 70, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := runSimulations(long, test.answerProfile, 50)
			t.Logf("%+v", sums)
			is.True(2*sums.bad >= test.minBad)
			is.True(2*sums.completed >= test.minCompleted)
		})
	}
}

// TestSimulatedRolloutsWithBrokenTarget checks that a broken target among several isn't held
// against the version.
func TestSimulatedRolloutsWithBrokenTarget(t *testing.T) {
	broken := answerProfile{
		base: steadyBase(0.004, 0.01),
		added: func(_ float64, _ string, target int, _ bool) faultRates {
			if target == 0 {
				return faultRates{failed: 0.9}
			}
			return faultRates{}
		},
	}
	services := map[string]simulation{
		"five targets": shortOrder(largeModels(), 5),
		"four targets": shortOrder(evenModels(), 4),
		"two targets":  shortOrder(largePlain(), 2),
	}
	for name, trial := range services {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := runSimulations(trial, broken, 100)
			t.Logf("%+v", sums)
			is.True(sums.bad <= 2)
			is.True(sums.completed >= 93)
		})
	}
}
