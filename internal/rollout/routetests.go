package rollout

import (
	"fmt"
)

// tests are the two tests of a route, or of several together, and what they are about.
type tests struct {
	// what is what they are about, in words.
	what            string
	failures, slow  evidence
	version, others Counts
}

// take takes answers of one target. What failed has no pace.
func (t *tests) take(target uint32, counts Counts, failureOdds, slowOdds odds) {
	t.version = t.version.plus(counts)
	t.failures.add(target, counts.Answers, failureOdds.weight(counts.Answers, counts.Failed))
	if whole := counts.whole(); whole > 0 {
		t.slow.add(target, whole, slowOdds.weight(whole, counts.Slow))
	}
}

func (t *tests) settle() {
	t.failures.settle()
	t.slow.settle()
}

func (t *tests) passed() bool {
	return t.failures.passed && t.slow.passed
}

// doubted says whether either test speaks against the version.
func (t *tests) doubted() bool {
	return max(t.failures.sound, t.slow.sound) > doubtWeight
}

func (t *tests) bad() bool {
	return t.failures.bad() || t.slow.bad()
}

// busy says whether the others' answers show traffic that is worth a test.
func (t *tests) busy() bool {
	return t.others.Answers >= routeTraffic
}

// why is why the tests make the version bad, with the sums since the order.
func (t *tests) why() string {
	if t.failures.bad() {
		return fmt.Sprintf("%s: %d of %d answers failed at %d targets of the version, %d of %d at the others",
			t.what, t.version.Failed, t.version.Answers, len(t.failures.targets), t.others.Failed, t.others.Answers)
	}
	return fmt.Sprintf("%s: %d of %d whole answers were slow at %d targets of the version, %d of %d at the others",
		t.what, t.version.Slow, t.version.whole(), len(t.slow.targets), t.others.Slow, t.others.whole())
}
