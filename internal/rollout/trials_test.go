package rollout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// trialForm is how the answers of a version and of the others are in a trial.
type trialForm struct {
	base  func(at float64, route string) trouble
	added func(at float64, route string, target int, moving bool) trouble
}

// steady is trouble that strikes both sides at all times.
func steady(failed, slow float64) func(float64, string) trouble {
	return func(float64, string) trouble { return trouble{failed, slow} }
}

// spell is trouble that strikes both sides for two seconds.
func spell(failed, slow float64) func(float64, string) trouble {
	return func(at float64, _ string) trouble {
		if at > 4 && at < 6 {
			return trouble{failed, slow}
		}
		return trouble{0.004, 0.01}
	}
}

// always is what a version adds on all routes from a time on.
func always(failed, slow, from float64) func(float64, string, int, bool) trouble {
	return func(at float64, _ string, _ int, _ bool) trouble {
		if at < from {
			return trouble{}
		}
		return trouble{failed, slow}
	}
}

// onRoute is what a version adds on one route.
func onRoute(name string, failed, slow float64) func(float64, string, int, bool) trouble {
	return func(_ float64, route string, _ int, _ bool) trouble {
		if route != name {
			return trouble{}
		}
		return trouble{failed, slow}
	}
}

// trialSums are the ends of many trials.
type trialSums struct {
	bad, good, completed int
	mostBadAnswers       int
	meanBadAnswers       float64
	// overShare counts trials in which the canary took more than the share.
	overShare int
}

func playTrials(t simulation, form trialForm, count int) trialSums {
	t.base, t.added = form.base, form.added
	var sums trialSums
	for seed := range count {
		end := t.run(uint64(seed))
		if end.verdict == Bad {
			sums.bad++
		}
		if end.goodAt > 0 {
			sums.good++
		}
		if end.moved && end.verdict != Bad {
			sums.completed++
		}
		if !end.moved && float64(end.exposed) > t.share*float64(end.requests) {
			sums.overShare++
		}
		sums.mostBadAnswers = max(sums.mostBadAnswers, end.badAnswers)
		sums.meanBadAnswers += float64(end.badAnswers) / float64(count)
	}
	return sums
}

// Whole roll-outs of 12 s with a tenth of the requests, at the rates of four services: how
// often a good version is lost, a bad one completed, and what a bad one costs. The bounds
// are in hundredths of the trials, for the worst of the four, and leave room for luck.
func TestTrials(t *testing.T) {
	const count = 100
	services := map[string]simulation{
		"large, models": short(largeModels(), 5),
		"large, plain":  short(largePlain(), 2),
		"even, models":  short(evenModels(), 4),
		"even, plain":   short(evenPlain(), 1),
	}
	usualBase := steady(0.004, 0.01)
	none := always(0, 0, 0)
	forms := map[string]struct {
		trialForm
		// mostBad, leastBad, leastCompleted, mostCompleted are the bounds; mostAnswers is
		// that of the bad answers in any one trial, base included.
		mostBad, leastBad             int
		leastCompleted, mostCompleted int
		mostAnswers                   int
	}{
		"good":                            {trialForm{usualBase, none}, 0, 0, 99, 100, 12},
		"good, some fail everywhere":      {trialForm{steady(0.05, 0.05), none}, 3, 0, 93, 100, 55},
		"good, many fail everywhere":      {trialForm{steady(0.14, 0.02), none}, 3, 0, 93, 100, 80},
		"good, a spell of failures":       {trialForm{spell(0.4, 0), none}, 5, 0, 93, 100, 50},
		"good, a spell of slow answers":   {trialForm{spell(0, 0.6), none}, 9, 0, 90, 100, 60},
		"20 in 100 fail":                  {trialForm{usualBase, always(0.2, 0, 0)}, 100, 94, 0, 2, 50},
		"60 in 100 fail":                  {trialForm{usualBase, always(0.6, 0, 0)}, 100, 100, 0, 0, 50},
		"40 in 100 more than many fail":   {trialForm{steady(0.14, 0.02), always(0.4, 0, 0)}, 100, 95, 0, 1, 90},
		"20 in 100 slow":                  {trialForm{usualBase, always(0, 0.2, 0)}, 100, 70, 0, 8, 65},
		"40 in 100 slow":                  {trialForm{usualBase, always(0, 0.4, 0)}, 100, 99, 0, 0, 50},
		"20 in 100 fail on one route":     {trialForm{usualBase, onRoute("b", 0.2, 0)}, 100, 70, 0, 15, 50},
		"30 in 100 slow on one route":     {trialForm{usualBase, onRoute("a", 0, 0.3)}, 100, 90, 0, 3, 65},
		"50 in 100 fail after two thirds": {trialForm{usualBase, always(0.5, 0, 8)}, 100, 80, 0, 3, 60},
	}
	for name, form := range forms {
		for service, trial := range services {
			t.Run(name+"/"+service, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sums := playTrials(trial, form.trialForm, count)
				t.Logf("bad %d, good %d, completed %d of %d; bad answers %.1f, most %d",
					sums.bad, sums.good, sums.completed, count, sums.meanBadAnswers, sums.mostBadAnswers)
				is.True(100*sums.bad <= form.mostBad*count)
				is.True(100*sums.bad >= form.leastBad*count)
				is.True(100*sums.completed >= form.leastCompleted*count)
				is.True(100*sums.completed <= form.mostCompleted*count)
				is.True(sums.mostBadAnswers <= form.mostAnswers)
				is.Equal(sums.overShare, 0)
			})
		}
	}
}

// Where a third of the reports is lost and each has a few tallies only, the ends are the
// same, if later.
func TestTrialsWithLostReports(t *testing.T) {
	usualBase := steady(0.004, 0.01)
	lossy := short(largeModels(), 5)
	lossy.lost, lossy.most = 0.33, 6
	tests := map[string]struct {
		trialForm
		leastBad, leastCompleted int
	}{
		"good":                        {trialForm{usualBase, always(0, 0, 0)}, 0, 99},
		"good, a spell of failures":   {trialForm{spell(0.4, 0), always(0, 0, 0)}, 0, 93},
		"20 in 100 fail":              {trialForm{usualBase, always(0.2, 0, 0)}, 94, 0},
		"20 in 100 fail on one route": {trialForm{usualBase, onRoute("b", 0.2, 0)}, 90, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := playTrials(lossy, test.trialForm, 100)
			t.Logf("%+v", sums)
			is.True(sums.bad >= test.leastBad)
			is.True(sums.completed >= test.leastCompleted)
			is.True(sums.mostBadAnswers <= 50)
		})
	}
}

// Half a minute with thirty routes, none of which has much traffic, also with a spell of
// trouble on both sides every ten seconds.
func TestTrialsWithManyRoutes(t *testing.T) {
	var routes []trialRoute
	for i := range 30 {
		routes = append(routes, trialRoute{fmt.Sprint("route-", i), 8, 0.5, 0.5})
	}
	long := short(routes, 5)
	long.moveAt, long.until = 27, 30
	spells := func(at float64, _ string) trouble {
		if second := int(at) % 10; second == 4 || second == 5 {
			return trouble{0.6, 0}
		}
		return trouble{0.01, 0.02}
	}
	tests := map[string]struct {
		trialForm
		leastBad, leastCompleted int
	}{
		"good":                        {trialForm{spells, always(0, 0, 0)}, 0, 90},
		"20 in 100 fail":              {trialForm{steady(0.004, 0.01), always(0.2, 0, 0)}, 98, 0},
		"20 in 100 fail late":         {trialForm{steady(0.004, 0.01), always(0.2, 0, 15)}, 90, 0},
		"60 in 100 fail on one route": {trialForm{steady(0.004, 0.01), onRoute("route-3", 0.6, 0)}, 70, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := playTrials(long, test.trialForm, 50)
			t.Logf("%+v", sums)
			is.True(2*sums.bad >= test.leastBad)
			is.True(2*sums.completed >= test.leastCompleted)
		})
	}
}

// A broken target of several is no fault of the version.
func TestTrialsWithABrokenTarget(t *testing.T) {
	broken := trialForm{
		base: steady(0.004, 0.01),
		added: func(_ float64, _ string, target int, _ bool) trouble {
			if target == 0 {
				return trouble{failed: 0.9}
			}
			return trouble{}
		},
	}
	services := map[string]simulation{
		"five targets": short(largeModels(), 5),
		"four targets": short(evenModels(), 4),
		"two targets":  short(largePlain(), 2),
	}
	for name, trial := range services {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := playTrials(trial, broken, 100)
			t.Logf("%+v", sums)
			is.True(sums.bad <= 2)
			is.True(sums.completed >= 93)
		})
	}
}
