package rollout

import (
	"fmt"
)

// tests are the two tests of a route, or of several together, and what they are about.
type routeTests struct {
	// what is what they are about, in words.
	scope           string
	failures, slow  sequentialTest
	version, others Counts
}

// take takes answers of one target. What failed has no pace.
func (t *routeTests) add(target uint32, counts Counts, failureOdds, slowOdds logOdds) {
	t.version = t.version.add(counts)
	t.failures.add(target, counts.Answers, failureOdds.weight(counts.Answers, counts.Failed))
	if whole := counts.succeeded(); whole > 0 {
		t.slow.add(target, whole, slowOdds.weight(whole, counts.Slow))
	}
}

func (t *routeTests) update() {
	t.failures.update()
	t.slow.update()
}

func (t *routeTests) passed() bool {
	return t.failures.passed && t.slow.passed
}

// doubted says whether either test speaks against the version.
func (t *routeTests) suspect() bool {
	return max(t.failures.soundWeight, t.slow.soundWeight) > suspectWeight
}

func (t *routeTests) bad() bool {
	return t.failures.bad() || t.slow.bad()
}

// busy says whether the others' answers show traffic that is worth a test.
func (t *routeTests) hasTraffic() bool {
	return t.others.Answers >= minRouteAnswers
}

// why is why the tests make the version bad, with the sums since the order.
func (t *routeTests) explain() string {
	if t.failures.bad() {
		return fmt.Sprintf("%s: %d of %d answers failed at %d targets of the version, %d of %d at the others",
			t.scope, t.version.Failed, t.version.Answers, len(t.failures.targets), t.others.Failed, t.others.Answers)
	}
	return fmt.Sprintf("%s: %d of %d whole answers were slow at %d targets of the version, %d of %d at the others",
		t.scope, t.version.Slow, t.version.succeeded(), len(t.slow.targets), t.others.Slow, t.others.succeeded())
}
