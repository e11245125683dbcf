package rollout

import (
	"fmt"
)

// routeTests are the two tests, for failures and for slow answers, of one route or of several
// routes together.
type routeTests struct {
	// scope names the routes that are tested, for operators.
	scope           string
	failures, slow  sequentialTest
	version, others Counts
}

// add takes in answers of one target. Failed answers have no pace.
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

// suspect reports whether either test speaks against the version.
func (t *routeTests) suspect() bool {
	return max(t.failures.soundWeight, t.slow.soundWeight) > suspectWeight
}

func (t *routeTests) bad() bool {
	return t.failures.bad() || t.slow.bad()
}

// hasTraffic reports whether the others' answers show enough traffic for a test.
func (t *routeTests) hasTraffic() bool {
	return t.others.Answers >= minRouteAnswers
}

// explain returns why the tests find the version bad, with the totals since the order.
func (t *routeTests) explain() string {
	if t.failures.bad() {
		return fmt.Sprintf("%s: %d of %d answers failed at %d targets of the version, %d of %d at the others",
			t.scope, t.version.Failed, t.version.Answers, len(t.failures.targets), t.others.Failed, t.others.Answers)
	}
	return fmt.Sprintf("%s: %d of %d successful answers were slow at %d targets of the version, %d of %d at the others",
		t.scope, t.version.Slow, t.version.succeeded(), len(t.slow.targets), t.others.Slow, t.others.succeeded())
}
