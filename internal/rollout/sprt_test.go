package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLogOdds(t *testing.T) {
	tests := map[string]struct {
		base           float64
		troubled, fine float64
	}{
		"few failures":      {0.02, math.Log(0.2 / 0.02), math.Log(0.8 / 0.98)},
		"some failures":     {0.14, math.Log(0.32 / 0.14), math.Log(0.68 / 0.86)},
		"nearly all failed": {0.99, math.Log(0.93 / 0.75), math.Log(0.07 / 0.25)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := newLogOdds(test.base)
			is.True(math.Abs(got.troubled-test.troubled) < 1e-9)
			is.True(math.Abs(got.fine-test.fine) < 1e-9)
			is.True(math.Abs(got.weight(5, 2)-(2*test.troubled+3*test.fine)) < 1e-9)
		})
	}
}

// runTest adds answers with a share of troubled ones to a test, one by one over some targets,
// until the version is bad or, unless watch is set, the test has passed.
func runTest(random *rand.Rand, base, share float64, targets, answers int, watch bool) (test sequentialTest, at int) {
	weights := newLogOdds(base)
	for at = 1; at <= answers; at++ {
		troubled := 0
		if random.Float64() < share {
			troubled = 1
		}
		test.add(uint32(random.IntN(targets)+1), 1, weights.weight(1, troubled))
		test.update()
		if test.bad() || test.passed && !watch {
			break
		}
	}
	return test, at
}

// TestErrorProbabilities checks that one test gives wrong results no more often than its
// constants say, and needs no larger sample than designed for, which is what a tenth of the
// requests of a short order provides.
func TestErrorProbabilities(t *testing.T) {
	const trials = 20_000
	tests := map[string]struct {
		base    float64
		targets int
		// sample is the largest mean number of answers that a good version may need.
		sample float64
	}{
		"hardly any failures, one target":      {0.02, 1, 28},
		"hardly any failures, many targets":    {0.02, 5, 28},
		"failures on both sides, one target":   {0.14, 1, 60},
		"failures on both sides, many targets": {0.14, 5, 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(17, 4))
			falselyBad, falselyGood, sample := 0, 0, 0
			for range trials {
				good, at := runTest(random, test.base, test.base, test.targets, 1000, false)
				sample += at
				if good.bad() {
					falselyBad++
				}
				bad, _ := runTest(random, test.base, test.base+badStep, test.targets, 1000, false)
				if bad.passed {
					falselyGood++
				}
			}
			t.Logf("falsely bad %d, falsely good %d of %d, sample %.1f",
				falselyBad, falselyGood, trials, float64(sample)/trials)
			is.True(float64(falselyBad) <= falseBad*trials)
			limit := falseGood * trials
			if test.targets > 1 {
				limit *= 1.5
			}
			is.True(float64(falselyGood) <= limit)
			is.True(float64(sample)/trials <= test.sample)
		})
	}
}

// TestBadAfterPassing checks that a version that turns bad after the test has passed is found
// about as soon as one that is bad from the start, since good answers don't accumulate. Watching
// for long doesn't make a good version bad.
func TestBadAfterPassing(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(18, 4))
	const trials = 2000
	answers, falselyBad := 0, 0
	for range trials {
		test, _ := runTest(random, 0.02, 0.02, 5, 500, true)
		if test.bad() {
			falselyBad++
			continue
		}
		weights := newLogOdds(0.02)
		for !test.bad() {
			troubled := 0
			if random.Float64() < 0.5 {
				troubled = 1
			}
			test.add(uint32(random.IntN(5)+1), 1, weights.weight(1, troubled))
			test.update()
			answers++
		}
	}
	t.Logf("falsely bad %d of %d, found after %.1f answers", falselyBad, trials, float64(answers)/trials)
	is.True(falselyBad <= trials*2/100)
	is.True(answers <= 14*trials)
}

// TestTooFewBadTargets checks that fewer bad targets than needed, however bad, neither make a
// version bad nor keep it from passing by the answers of the others.
func TestTooFewBadTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(2, 16).Draw(t, "targets")
		needed := fewNeeded
		if targets >= manyTargets {
			needed = manyNeeded
		}
		weights := newLogOdds(minBaseFailures)
		var test sequentialTest
		// Each target answers well before the first ones fail.
		for target := range targets {
			test.add(uint32(target+1), minTargetAnswers, weights.weight(minTargetAnswers, 0))
		}
		test.update()
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for target := range targets {
				answers := rapid.IntRange(0, 3).Draw(t, "answers")
				troubled := 0
				if target < needed-1 {
					troubled = answers
				}
				test.add(uint32(target+1), answers, weights.weight(answers, troubled))
			}
			test.update()
			if test.bad() {
				t.Fatalf("called bad for %d of %d targets", needed-1, targets)
			}
		}
		for target := range targets {
			share := 40
			if target < needed-1 {
				test.add(uint32(target+1), share, weights.weight(share, share))
			} else {
				test.add(uint32(target+1), share, weights.weight(share, 0))
			}
		}
		test.update()
		if !test.passed {
			t.Fatalf("not passed with %d sound targets, weight %g", targets-needed+1, test.soundWeight)
		}
	})
}

// TestEnoughBadTargets checks that the needed number of bad targets makes a version bad, which is
// one for a version with a single target.
func TestEnoughBadTargets(t *testing.T) {
	for targets, needed := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 16: 3} {
		is := is.New(t)
		weights := newLogOdds(minBaseFailures)
		var test sequentialTest
		for target := range targets {
			test.add(uint32(target+1), minTargetAnswers, weights.weight(minTargetAnswers, 0))
		}
		test.update()
		for target := range needed {
			is.True(!test.bad())
			test.add(uint32(target+1), 30, weights.weight(30, 30))
			test.update()
		}
		// The good answers of the other targets have some weight, too.
		is.True(test.weight >= badWeight || targets > needed)
		for target := range targets {
			test.add(uint32(target+1), 5, weights.weight(5, 2))
		}
		test.update()
		is.True(test.bad()) // targets
	}
}

// TestBrokenTargetsAndFailure checks that two broken targets of four, and one failure at a
// third, are put down to chance.
func TestBrokenTargetsAndFailure(t *testing.T) {
	is := is.New(t)
	weights := newLogOdds(minBaseFailures)
	var test sequentialTest
	for target := range manyTargets {
		test.add(uint32(target+1), minTargetAnswers, weights.weight(minTargetAnswers, 0))
	}
	test.add(1, 30, weights.weight(30, 30))
	test.add(2, 30, weights.weight(30, 30))
	test.add(3, 1, weights.weight(1, 1))
	test.update()
	is.True(!test.bad())
}

// TestFirstAnswersOfOneTarget checks that a target that answers before the others do isn't taken
// for the only one.
func TestFirstAnswersOfOneTarget(t *testing.T) {
	is := is.New(t)
	weights := newLogOdds(minBaseFailures)
	var test sequentialTest
	test.add(1, minLoneAnswers-1, weights.weight(minLoneAnswers-1, minLoneAnswers-1))
	test.update()
	is.True(!test.bad())
	test.add(2, 1, weights.weight(1, 0))
	test.update()
	is.True(!test.bad())
}
