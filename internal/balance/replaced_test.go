package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// TestReplacedTargetsNeverFillIn guards against requests to targets whose addresses belong to other
// targets: while most targets were ejected, these were chosen because their ejections were the
// shortest.
func TestReplacedTargetsNeverFillIn(t *testing.T) {
	query := balance.Query{Service: "s"}
	cases := map[string]struct {
		replaced, failing int
		open              int
	}{
		"most are ejected":          {replaced: 3, failing: 5, open: 3},
		"all are ejected":           {replaced: 3, failing: 6, open: 3},
		"all others fail at once":   {replaced: 1, failing: 8, open: 4},
		"some are replaced":         {replaced: 3, failing: 0, open: 6},
		"all targets were replaced": {replaced: 9, failing: 0, open: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(9)
			for i := range tc.replaced {
				b.Release(target(i).ID, balance.Replaced, start)
			}
			for i := range tc.failing {
				for range 8 {
					b.Release(target(tc.replaced+i).ID, balance.Bad, start)
				}
			}
			for range 30 {
				pick, ok := b.Choose(query, start.Add(100*time.Millisecond))
				is.Equal(ok, tc.open > 0)
				is.Equal(pick.Candidates, tc.open)
				for i := range tc.replaced {
					is.True(pick.Target.ID != target(i).ID)
				}
			}
			is.Equal(b.Has(query, start.Add(100*time.Millisecond)), tc.open > 0)
		})
	}
}

// TestReplacedTargetIsTriedAgain checks that a target that was found replaced is tried again after
// its ejection, and may fill in for others once it has answered.
func TestReplacedTargetIsTriedAgain(t *testing.T) {
	is := is.New(t)
	b := newBalancer(2)
	b.Release("t0", balance.Replaced, start)
	is.Equal(openAt(b, start.Add(799*time.Millisecond)), 1)
	is.Equal(openAt(b, start.Add(800*time.Millisecond)), 2)
	b.Release("t0", balance.Good, start.Add(800*time.Millisecond))
	for _, id := range []string{"t0", "t1"} {
		b.Release(id, balance.Unreachable, start.Add(time.Second))
	}
	is.Equal(openAt(b, start.Add(time.Second)), 1)
}
