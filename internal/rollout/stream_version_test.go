package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamOfOneVersion guards against streams that go on at a version which gets no more requests,
// or beyond the share of a version on trial, and against those that end although their version may
// serve.
func TestStreamOfOneVersion(t *testing.T) {
	grant := func(stage Stage) func(g *Gate) {
		return func(g *Gate) {
			g.Ordered(newOrder("v2", 1), testTime)
			g.applyGrant(newGrant(1, stage, time.Hour), testTime, testTime)
		}
	}
	cases := map[string]struct {
		setup   func(g *Gate)
		version string
		// admitted is how many of a hundred streams may go on, at most.
		admitted int
	}{
		"no order":                        {func(*Gate) {}, "v2", 100},
		"the old version, canary":         {grant(Canary), "v1", 100},
		"the old version, move":           {grant(Move), "v1", 100},
		"the version on trial, no grant":  {func(g *Gate) { g.Ordered(newOrder("v2", 1), testTime) }, "v2", 0},
		"the version on trial, canary":    {grant(Canary), "v2", 10},
		"the version on trial, move":      {grant(Move), "v2", 100},
		"the version on trial was halted": {func(g *Gate) { grant(Move)(g); g.applyGrant(haltNotice(1), time.Time{}, testTime) }, "v2", 0},
		"the version was rolled back": {func(g *Gate) {
			g.Recorded(Record{Order: newOrder("v2", 1), State: RolledBack, Refused: []string{"v2"}}, 2, testTime)
		}, "v2", 0},
		"the order for it was completed": {func(g *Gate) {
			g.Recorded(Record{Order: newOrder("v2", 1), State: Completed, Current: "v2", Refused: []string{"v1"}}, 2, testTime)
		}, "v2", 100},
		"another one has been ordered": {func(g *Gate) {
			g.Recorded(Record{Order: newOrder("v2", 1), State: Completed, Current: "v2", Refused: []string{"v1"}}, 2, testTime)
		}, "v1", 0},
		"a third version, while one moves": {grant(Move), "v3", 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(Options{Share: 0.1, Slack: 0, Rollback: 5 * time.Second})
			tc.setup(g)
			admitted := 0
			for range 100 {
				assignment := g.Assign(AssignRequest{Service: testService, Route: "a", Retry: true, Version: tc.version}, testTime)
				is.Equal(assignment.Versions.Only, tc.version)
				is.True(assignment.Fallback == nil)
				if !assignment.Versions.Admits(tc.version) {
					g.Release(assignment)
					continue
				}
				admitted++
				g.RecordSend(assignment, tc.version, testTime)
				g.Observe(Outcome{Service: testService, Route: "a", Version: tc.version, Target: "t", Ending: Answered}, testTime)
			}
			is.True(admitted <= tc.admitted)
			is.True(tc.admitted != 100 || admitted == tc.admitted)
		})
	}
}
