package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// crashTogether records crashes under a request at one moment.
func crashTogether(table *quarantine.Table, fingerprint quarantine.Fingerprint, from, count int, now time.Time) {
	for incarnation := range count {
		table.Crashed(fingerprint, quarantine.Incarnation(from+incarnation), now.Add(time.Duration(incarnation)*time.Millisecond))
	}
}

// TestCrashesAtOneMoment guards against a sound request that is refused for good because several targets
// with copies of it crashed together, and against a fatal one that goes on crashing targets for that
// reason.
func TestCrashesAtOneMoment(t *testing.T) {
	now := time.Now()
	together := func() *quarantine.Table {
		table := quarantine.New()
		crashTogether(table, shared, 1, 3, now)
		return table
	}
	received := func(moments uint32) func() *quarantine.Table {
		return func() *quarantine.Table {
			record := together().Records(now)[0]
			record.Moments = moments
			table := quarantine.New()
			table.Merge(record, now)
			return table
		}
	}
	cases := map[string]struct {
		table func() *quarantine.Table
		want  quarantine.Verdict
	}{
		"together":                                {together, quarantine.Doubtful},
		"together, as another gateway says":       {received(1), quarantine.Doubtful},
		"at two moments, as another gateway says": {received(2), quarantine.Fatal},
		"another gateway doesn't say":             {received(0), quarantine.Fatal},
		"one more later": {func() *quarantine.Table {
			table := together()
			table.Crashed(shared, 9, now.Add(time.Second))
			return table
		}, quarantine.Fatal},
		"one of them learned later": {func() *quarantine.Table {
			table := quarantine.New()
			crashTogether(table, shared, 1, 2, now)
			table.Crashed(shared, 3, now.Add(time.Second))
			return table
		}, quarantine.Fatal},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, later := test.table(), now.Add(2*quiet)
			is.True(table.Held(shared, later))
			is.Equal(table.Verdict(shared, later), test.want)
			is.Equal(table.MayStartTrial(shared, 0, later), test.want == quarantine.Doubtful)
		})
	}
}

// TestTrialAfterOneMoment checks that the trial of a request whose crashes happened together decides.
func TestTrialAfterOneMoment(t *testing.T) {
	for name, test := range map[string]struct {
		outcome func(table *quarantine.Table, now time.Time)
		held    bool
		want    quarantine.Verdict
	}{
		"it is answered":            {func(table *quarantine.Table, now time.Time) { table.Answered(shared, now) }, false, quarantine.Sendable},
		"it crashes its target too": {func(table *quarantine.Table, now time.Time) { table.Crashed(shared, 9, now) }, true, quarantine.Fatal},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			table := quarantine.New()
			crashTogether(table, shared, 1, 3, now)
			now = now.Add(2 * time.Second)
			_, started := table.StartTrial(shared, 0, 9, now)
			is.True(started)
			is.True(!table.MayStartTrial(shared, 0, now)) // one copy only
			test.outcome(table, now.Add(time.Second))
			now = now.Add(quiet)
			is.Equal(table.Held(shared, now), test.held)
			is.Equal(table.Verdict(shared, now), test.want)
		})
	}
}
