package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// isHeldUp has a target say that its work takes so many times as long as usual.
func heldUp(b *balance.Balancer, life string, factor float64, now time.Time) {
	b.NoteLoad(life, balance.Load{Pace: factor}, now)
}

// TestPlainWorkGoesWhereItIsQuick: of two targets that are as busy the one whose host is held
// up by other work gets less, for as long as what it said is believed.
func TestPlainWorkGoesWhereItIsQuick(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		most int
	}{
		"told now":           {0, 9},
		"told a minute ago":  {time.Minute, 20},
		"told a second ago":  {time.Second, 14},
		"told in the future": {-time.Second, 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(2)
			heldUp(b, "t0", 3, start)
			got := 0
			for range 32 {
				pick, ok := b.Choose(balance.Query{Service: "s"}, start.Add(tc.age))
				is.True(ok)
				if pick.Target.ID == "t0" {
					got++
				}
			}
			is.True(got >= 1)
			is.True(got <= tc.most)
		})
	}
}

// TestAShortPromptLeavesAHeldUpHolder: its holder's host is held up, and another target reads
// it in less time than the holder takes to begin. A long one stays, since it is read for
// longer than that elsewhere.
func TestAShortPromptLeavesAHeldUpHolder(t *testing.T) {
	cases := map[string]struct {
		tokens int
		stays  bool
	}{
		"short": {699, false},
		"long":  {10_512, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(9)
			query := prompt(1, tc.tokens)
			holder, _ := b.Choose(query, start)
			b.Confirm(holder.Target.ID, query)
			b.Release(holder.Target.ID, balance.Good, start)
			heldUp(b, holder.Target.ID, 3, start)
			pick, _ := b.Choose(query, start)
			is.Equal(pick.Target.ID == holder.Target.ID, tc.stays)
			b.Release(pick.Target.ID, balance.Good, start)
			later, _ := b.Choose(query, start.Add(10*time.Second)) // what it said is old
			is.Equal(later.Target.ID, holder.Target.ID)
		})
	}
}

// TestNewPromptsAvoidHeldUpTargets: a prompt that nobody holds is not read where that takes
// several times as long; if all are held up alike, it is read all the same.
func TestNewPromptsAvoidHeldUpTargets(t *testing.T) {
	is := is.New(t)
	b := newBalancer(9)
	first, _ := b.Choose(prompt(1, 10_512), start)
	heldUp(b, first.Target.ID, 2.5, start)
	b = newBalancer(9)
	heldUp(b, first.Target.ID, 2.5, start)
	pick, _ := b.Choose(prompt(1, 10_512), start)
	is.True(pick.Target.ID != first.Target.ID)
	b = newBalancer(9)
	for i := range 9 {
		heldUp(b, fmt.Sprint("t", i), 2.5, start)
	}
	pick, ok := b.Choose(prompt(1, 10_512), start)
	is.True(ok)
	is.Equal(pick.Target.ID, first.Target.ID)
}

// TestNobodyRushesToTheFastest: targets that say that they are quicker than usual get no more
// than those that say nothing, so that gateways that all know of one don't pile up on it.
func TestNobodyRushesToTheFastest(t *testing.T) {
	is := is.New(t)
	b := newBalancer(8)
	heldUp(b, "t0", 0.2, start)
	got := 0
	for range 80 {
		pick, _ := b.Choose(balance.Query{Service: "s"}, start)
		if pick.Target.ID == "t0" {
			got++
		}
	}
	is.Equal(got, 10) // its share
}

// TestPacesAreReported: a pace reported to one gateway reaches the others, the most different first; one
// that changes nothing, or is old, is no news; and an older report changes nothing.
func TestPacesAreReported(t *testing.T) {
	is := is.New(t)
	one, other := newBalancer(4), newBalancer(4)
	heldUp(one, "t0", 1.1, start) // as good as usual
	heldUp(one, "t1", 2, start)
	heldUp(one, "t2", 4, start)
	news := one.ChangedPaces(1, start.Add(100*time.Millisecond))
	is.Equal(len(news), 1)
	is.Equal(news[0].Factor, 4.0)
	is.Equal(news[0].Age, 100*time.Millisecond)
	is.Equal(len(one.ChangedPaces(9, start.Add(100*time.Millisecond))), 2)
	other.ObservePaces(one.ChangedPaces(9, start.Add(100*time.Millisecond)), start.Add(200*time.Millisecond))
	for range 2 {
		pick, _ := other.Choose(balance.Query{Service: "s"}, start.Add(200*time.Millisecond))
		is.True(pick.Target.ID == "t0" || pick.Target.ID == "t3")
	}
	is.Equal(len(one.ChangedPaces(9, start.Add(time.Second))), 0)

	heldUp(other, "t3", 5, start.Add(time.Second))
	late := []balance.Pace{{Target: uint32(policy.HashName("t3") >> 32), Factor: 1, Age: 5 * time.Second}}
	other.ObservePaces(late, start.Add(1100*time.Millisecond))
	for range 9 {
		pick, _ := other.Choose(balance.Query{Service: "s"}, start.Add(1100*time.Millisecond))
		is.True(pick.Target.ID != "t3")
	}
}

// TestPacesKeepTheBound: whatever targets and gateways say of paces, a choice is made, and no
// target with a load above the bound gets a session while another is below it.
func TestPacesKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 6
		b := newBalancer(targets)
		loads := make(map[string]int)
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			life := fmt.Sprint("t", rapid.IntRange(0, targets-1).Draw(t, "target"))
			heldUp(b, life, rapid.Float64Range(0, 1000).Draw(t, "pace"), now)
			pick, ok := b.Choose(prompt(rapid.IntRange(0, 3).Draw(t, "session"), 1000), now)
			if !ok {
				t.Fatal("no target")
			}
			loads[pick.Target.ID]++
			total, most := 0, 0
			for _, load := range loads {
				total += load
				most = max(most, load)
			}
			if bound := 2*float64(total)/targets + 3 + 1; float64(most) > bound {
				t.Fatalf("%d at one target, %d in all", most, total)
			}
		}
	})
}
