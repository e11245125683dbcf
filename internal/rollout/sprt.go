package rollout

import "math"

// The sequential probability ratio test (Wald, "Sequential Tests of Statistical
// Hypotheses", Annals of Mathematical Statistics 16, 1945) adds up, answer by answer,
// the logarithm of how many times likelier the answer is of a bad version than of a good
// one. All weights here are such logarithms, natural ones.
const (
	// falseBad is the chance that one test calls a good version bad: a service has some
	// ten tests, so that one good roll-out in a hundred at most is lost to it.
	falseBad = 0.001
	// falseGood is the chance that one test passes a bad version by its first sample; with
	// several targets, whose parts are cut, it is half as large again. The test goes on
	// watching, so that few of them last until the end. A smaller chance takes a larger
	// sample than a tenth of the requests of a short order holds.
	falseGood = 0.02
	// badStep is what a bad version adds, at least, to the share of troubled answers:
	// a fifth of its answers, less a little for luck.
	badStep = 0.18
	// watchWeight is where the weight is cut from below once a test has passed: what turns
	// bad later needn't outweigh what was good. Nearer to zero, luck alone would come to
	// badWeight in a long order.
	watchWeight = -2.0
	// suspectWeight is where a passed test is no longer so. One test of some ten weighs more
	// than this against one good version in eight, and none says which it would be.
	suspectWeight = 2.0
	// maxBase is the largest share of troubled answers that a good version is thought
	// to have: it leaves room for the step above it.
	maxBase = 0.75
)

const (
	// minLoneAnswers is how many answers it takes while one target alone has answered: its
	// neighbours' may only be late. A version with a single target has them soon.
	minLoneAnswers = 10
	// capFactor is what as many targets as are needed may weigh together, in parts of
	// what makes a version bad: above one, so that they do, and so little above that one
	// less of them doesn't even if a good neighbour fails once.
	capFactor = 1.2
	// manyTargets is from how many targets on it takes manyNeeded instead of fewNeeded of
	// them: a crash and a grey target at the same time happen, three seldom do.
	manyTargets = 4
	manyNeeded  = 3
	fewNeeded   = 2
	// minTargetAnswers is how many answers make a target one of many: one that has
	// had fewer can't bear its part of the evidence.
	minTargetAnswers = 4
)

var (
	// badWeight is where a version is bad, and goodWeight where a test is passed.
	badWeight  = math.Log((1 - falseGood) / falseBad)
	goodWeight = -math.Log((1 - falseBad) / falseGood)
)

// odds are the weights of single answers.
type logOdds struct {
	troubled, fine float64
}

// newLogOdds are the weights of answers where a share of a good version's are troubled.
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

// evidence is one test. Its weight is cut from below, as in the cumulative sum test (Page,
// "Continuous Inspection Schemes", Biometrika 41, 1954): good answers don't pile up that
// what turns bad later would have to outweigh. Each target's part is cut from above, so
// that one target alone can't make a version bad.
type sequentialTest struct {
	targets []targetWeight
	// at is where in targets each one is, by its name.
	index map[uint32]int
	// answers are those of all targets, and many is how many targets have minTargetAnswers
	// of them.
	answers, qualified int
	// weight is the sum over the targets, and sound the sum without those that are
	// broken, if they are too few to make the version bad.
	weight, soundWeight float64
	// passed is set at goodWeight, and unset as soon as the sound targets speak against
	// the version.
	passed bool
}

type targetWeight struct {
	answers int
	// weight is that of its answers alone; at badWeight, where it is cut, the target is
	// broken whatever the version is.
	weight float64
}

// add takes answers of one target; settle must follow before the test is asked.
func (e *sequentialTest) add(target uint32, answers int, weight float64) {
	at, ok := e.index[target]
	if !ok {
		if e.index == nil {
			e.index = make(map[uint32]int)
		}
		at = len(e.targets)
		e.index[target] = at
		e.targets = append(e.targets, targetWeight{})
	}
	known := &e.targets[at]
	e.answers += answers
	previous := known.answers
	known.answers += answers
	known.weight += weight
	if previous < minTargetAnswers && known.answers >= minTargetAnswers {
		e.qualified++
	}
}

// settle sums up and cuts.
func (e *sequentialTest) update() {
	e.sum()
	if e.soundWeight <= goodWeight {
		e.passed = true
	}
	if e.soundWeight > suspectWeight {
		e.passed = false
	}
	least := goodWeight
	if e.passed {
		least = watchWeight
	}
	if e.soundWeight < least {
		e.raiseTo(least)
	}
}

// sum cuts what single targets weigh, and sums up.
func (e *sequentialTest) sum() {
	limit, needed := e.targetLimit()
	broken := 0
	e.weight = 0
	for i := range e.targets {
		target := &e.targets[i]
		if target.weight >= badWeight {
			target.weight = badWeight
			broken++
		}
		e.weight += min(target.weight, limit)
	}
	e.soundWeight = e.weight
	if broken < needed {
		e.soundWeight -= float64(broken) * limit
	}
}

// raise takes what speaks in favour back, for all targets by the same part, until the
// sound ones weigh so much together.
func (e *sequentialTest) raiseTo(floor float64) {
	inFavour := 0.0
	for _, target := range e.targets {
		inFavour += min(target.weight, 0)
	}
	excess := floor - e.soundWeight
	for i := range e.targets {
		if e.targets[i].weight < 0 {
			e.targets[i].weight *= 1 + excess/inFavour
		}
	}
	e.soundWeight += excess
	e.weight += excess
}

// targetLimit is how much a single target may weigh against the version, and how many
// are needed to make it bad.
func (e *sequentialTest) targetLimit() (most float64, needed int) {
	switch {
	case len(e.targets) == 1:
		return badWeight, 1
	case e.qualified >= manyTargets:
		return capFactor * badWeight / manyNeeded, manyNeeded
	default:
		return capFactor * badWeight / fewNeeded, fewNeeded
	}
}

// bad says whether it is enough to call the version bad.
func (e *sequentialTest) bad() bool {
	if len(e.targets) == 1 && e.answers < minLoneAnswers {
		return false
	}
	return e.weight >= badWeight
}
