package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// newTwoPaths returns a balancer with two targets in each of the data centres a and b.
func newTwoPaths() *balance.Balancer {
	b := balance.New(balance.DefaultOptions())
	for i := range 4 {
		made := target(i)
		made.DataCenter = string("ab"[i/2])
		b.Put(made, start)
	}
	return b
}

// TestStalledPathsAreAvoided checks that paths on which most streams stall are avoided. On
// days with heavy packet loss most streams between data centres stalled for longer than
// callers accept.
func TestStalledPathsAreAvoided(t *testing.T) {
	cases := map[string]struct {
		// stalledA and stalledB are how many in ten streams from each data centre stall.
		stalledA, stalledB int
		after              time.Duration
		busy               int // requests in flight at each target of a
		want               string
	}{
		"none stall":           {want: "ab"},
		"streams from b stall": {stalledB: 9, want: "a"},
		"all stall equally":    {stalledA: 9, stalledB: 9, want: "ab"},
		"few stall":            {stalledB: 2, want: "ab"},
		"old stalls":           {stalledB: 9, after: 8 * time.Second, want: "ab"},
		"a at the bound":       {stalledB: 9, busy: 9, want: "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTwoPaths()
			for i := range 30 {
				b.NoteStream("t0", i%10 < tc.stalledA, start)
				b.NoteStream("t2", i%10 < tc.stalledB, start)
			}
			b.NoteStream("unknown", true, start)
			var counts []balance.Count
			for i := range 2 {
				counts = append(counts, balance.Count{Target: hashOf(fmt.Sprintf("t%d", i)), Count: tc.busy})
			}
			now := start.Add(tc.after)
			b.Observe("other", counts, now)
			got := make(map[string]bool)
			for i := range 40 {
				pick, ok := b.Choose(session(i), now)
				is.True(ok)
				got[pick.Target.DataCenter] = true
				b.Release(pick.Target.ID, balance.Good, now)
			}
			dataCenters := ""
			for _, dataCenter := range []string{"a", "b"} {
				if got[dataCenter] {
					dataCenters += dataCenter
				}
			}
			is.Equal(dataCenters, tc.want)
		})
	}
}

func hashOf(id string) uint64 { return policy.HashName(id) }
