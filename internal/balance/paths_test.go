package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// twoPlaces has two targets in each of the data centres a and b.
func twoPlaces() *balance.Balancer {
	b := balance.New(balance.DefaultOptions())
	for i := range 4 {
		made := target(i)
		made.DataCenter = string("ab"[i/2])
		b.Put(made, start)
	}
	return b
}

// TestPathsThatHaltAreAvoided: found on strong days with lost packets, where
// most streams between data centres halted for longer than callers want.
func TestPathsThatHaltAreAvoided(t *testing.T) {
	cases := map[string]struct {
		// haltA and haltB are how many in ten streams from each place halt.
		haltA, haltB int
		after        time.Duration
		busy         int // requests in flight at each target of a
		want         string
	}{
		"none halt":                  {want: "ab"},
		"those from b halt":          {haltB: 9, want: "a"},
		"all halt alike":             {haltA: 9, haltB: 9, want: "ab"},
		"few halt":                   {haltB: 2, want: "ab"},
		"tried again after a while":  {haltB: 9, after: 8 * time.Second, want: "ab"},
		"the good ones are at bound": {haltB: 9, busy: 9, want: "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := twoPlaces()
			for i := range 30 {
				b.NoteStream("t0", i%10 < tc.haltA, start)
				b.NoteStream("t2", i%10 < tc.haltB, start)
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
			places := ""
			for _, place := range []string{"a", "b"} {
				if got[place] {
					places += place
				}
			}
			is.Equal(places, tc.want)
		})
	}
}

func hashOf(id string) uint64 { return policy.HashName(id) }
