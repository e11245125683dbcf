package rollout

import "math"

// The sequential probability ratio test (Wald, "Sequential Tests of Statistical Hypotheses",
// Annals of Mathematical Statistics 16, 1945) adds up, answer by answer, the logarithm of how
// many times likelier the answer is from a bad version than from a good one. All weights here are
// such natural logarithms.
const (
	// falseBad is the probability that one test calls a good version bad. A service has some ten
	// tests, so at most one good rollout in a hundred is lost to it.
	falseBad = 0.001
	// falseGood is the probability that one test passes a bad version by its first sample. With
	// several targets, whose parts are capped, it is half as large again. The test keeps
	// watching, so few of those versions last until the end. A smaller probability would take a
	// larger sample than a tenth of the requests of a short order provides.
	falseGood = 0.02
	// badStep is the least that a bad version adds to the share of troubled answers: a fifth of
	// its answers, less a small allowance for chance.
	badStep = 0.18
	// watchWeight is the lower limit of the weight once a test has passed, so that a version that
	// turns bad later needn't outweigh its earlier good answers. Closer to zero, chance alone
	// would reach badWeight in a long order.
	watchWeight = -2.0
	// suspectWeight is the weight at which a test has no longer passed. For one good version in
	// eight, one of some ten tests exceeds it, and there is no telling which test it will be.
	suspectWeight = 2.0
	// maxBase is the largest share of troubled answers assumed of a good version. It leaves room
	// for badStep above it.
	maxBase = 0.75
)

const (
	// minLoneAnswers is the number of answers needed while only one target has answered, since
	// those of the other targets may just be late. A version with a single target soon has this
	// many.
	minLoneAnswers = 10
	// capFactor is the weight that the needed number of targets may have together, as a multiple
	// of badWeight. It is above one so that they suffice, but so little that one target fewer
	// doesn't, even if a good target fails once as well.
	capFactor = 1.2
	// From manyTargets targets on, manyNeeded of them are needed instead of fewNeeded. A crashed
	// and a degraded target at the same time do happen. Three rarely do.
	manyTargets = 4
	manyNeeded  = 3
	fewNeeded   = 2
	// minTargetAnswers is the number of answers that a target needs to count as one of many. With
	// fewer it can't contribute its part of the evidence.
	minTargetAnswers = 4
)

var (
	// badWeight is the weight at which a version is bad, and goodWeight the one at which a test
	// has passed.
	badWeight  = math.Log((1 - falseGood) / falseBad)
	goodWeight = -math.Log((1 - falseBad) / falseGood)
)

// logOdds are the weights of single answers.
type logOdds struct {
	troubled, fine float64
}

// newLogOdds returns the weights of answers, given the share of a good version's answers that are
// troubled.
func newLogOdds(base float64) logOdds {
	base = min(base, maxBase)
	bad := base + badStep
	return logOdds{
		troubled: math.Log(bad / base),
		fine:     math.Log((1 - bad) / (1 - base)),
	}
}

func (o logOdds) weight(answers, troubled int) float64 {
	return o.troubled*float64(troubled) + o.fine*float64(answers-troubled)
}

// sequentialTest is one test. Its weight is limited from below, as in the cumulative sum test
// (Page, "Continuous Inspection Schemes", Biometrika 41, 1954): good answers don't accumulate to
// a weight that a version turning bad later would have to outweigh. Each target's part is limited
// from above, so that one target alone can't make a version bad.
type sequentialTest struct {
	targets []targetWeight
	// index maps a target's name hash to its position in targets.
	index map[uint32]int
	// answers counts those of all targets, and qualified the targets with at least
	// minTargetAnswers of them.
	answers, qualified int
	// weight is the sum over the targets, and soundWeight the sum without broken targets if they
	// are too few to make the version bad.
	weight, soundWeight float64
	// passed is set at goodWeight, and cleared as soon as the sound targets speak against the
	// version.
	passed bool
}

type targetWeight struct {
	answers int
	// weight is that of the target's own answers. It is capped at badWeight, where the target is
	// considered broken regardless of the version.
	weight float64
}

// add takes in answers of one target; update must follow before the result is read.
func (t *sequentialTest) add(target uint32, answers int, weight float64) {
	at, ok := t.index[target]
	if !ok {
		if t.index == nil {
			t.index = make(map[uint32]int)
		}
		at = len(t.targets)
		t.index[target] = at
		t.targets = append(t.targets, targetWeight{})
	}
	known := &t.targets[at]
	t.answers += answers
	previous := known.answers
	known.answers += answers
	known.weight += weight
	if previous < minTargetAnswers && known.answers >= minTargetAnswers {
		t.qualified++
	}
}

// update recomputes the weights and applies the limits.
func (t *sequentialTest) update() {
	t.sum()
	if t.soundWeight <= goodWeight {
		t.passed = true
	}
	if t.soundWeight > suspectWeight {
		t.passed = false
	}
	floor := goodWeight
	if t.passed {
		floor = watchWeight
	}
	if t.soundWeight < floor {
		t.raiseTo(floor)
	}
}

// sum caps the weights of single targets and adds them up.
func (t *sequentialTest) sum() {
	limit, needed := t.targetLimit()
	broken := 0
	t.weight = 0
	for i := range t.targets {
		target := &t.targets[i]
		if target.weight >= badWeight {
			target.weight = badWeight
			broken++
		}
		t.weight += min(target.weight, limit)
	}
	t.soundWeight = t.weight
	if broken < needed {
		t.soundWeight -= float64(broken) * limit
	}
}

// raiseTo scales down the evidence in favour, for all targets by the same factor, until the sound
// targets together weigh floor.
func (t *sequentialTest) raiseTo(floor float64) {
	inFavour := 0.0
	for _, target := range t.targets {
		inFavour += min(target.weight, 0)
	}
	excess := floor - t.soundWeight
	for i := range t.targets {
		if t.targets[i].weight < 0 {
			t.targets[i].weight *= 1 + excess/inFavour
		}
	}
	t.soundWeight += excess
	t.weight += excess
}

// targetLimit returns the largest weight that a single target may have against the version, and
// how many targets are needed to make it bad.
func (t *sequentialTest) targetLimit() (limit float64, needed int) {
	switch {
	case len(t.targets) == 1:
		return badWeight, 1
	case t.qualified >= manyTargets:
		return capFactor * badWeight / manyNeeded, manyNeeded
	default:
		return capFactor * badWeight / fewNeeded, fewNeeded
	}
}

// bad reports whether the evidence is enough to call the version bad.
func (t *sequentialTest) bad() bool {
	if len(t.targets) == 1 && t.answers < minLoneAnswers {
		return false
	}
	return t.weight >= badWeight
}
