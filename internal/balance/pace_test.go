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

// setPace reports a pace of a target: how many times as long as usual its work takes.
func setPace(b *balance.Balancer, incarnation string, factor float64, now time.Time) {
	b.NoteLoad(incarnation, balance.Load{Pace: factor}, now)
}

// TestTargetOnSlowHostGetsFewerRequests checks that of two equally loaded targets, one whose host
// is slowed down by other work gets fewer requests for as long as its reported pace is valid.
func TestTargetOnSlowHostGetsFewerRequests(t *testing.T) {
	cases := map[string]struct {
		age time.Duration
		max int
	}{
		"received now":           {0, 9},
		"received a minute ago":  {time.Minute, 20},
		"received a second ago":  {time.Second, 14},
		"received in the future": {-time.Second, 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(2)
			setPace(b, "t0", 3, start)
			got := 0
			for range 32 {
				pick, ok := b.Choose(balance.Query{Service: "s"}, start.Add(tc.age))
				is.True(ok)
				if pick.Target.ID == "t0" {
					got++
				}
			}
			is.True(got >= 1)
			is.True(got <= tc.max)
		})
	}
}

// TestShortPromptLeavesHolderOnSlowHost checks that a short prompt leaves a holder whose host is
// slowed down, because another target prefills it in less time than the holder takes to begin. A
// long prompt stays, because prefilling it elsewhere takes longer.
func TestShortPromptLeavesHolderOnSlowHost(t *testing.T) {
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
			setPace(b, holder.Target.ID, 3, start)
			pick, _ := b.Choose(query, start)
			is.Equal(pick.Target.ID == holder.Target.ID, tc.stays)
			b.Release(pick.Target.ID, balance.Good, start)
			later, _ := b.Choose(query, start.Add(10*time.Second)) // the reported pace is old
			is.Equal(later.Target.ID, holder.Target.ID)
		})
	}
}

// TestNewPromptsAvoidSlowHosts checks that a prompt without a holder is not prefilled by a
// target that takes several times as long; if all targets are equally slow, it is prefilled anyway.
func TestNewPromptsAvoidSlowHosts(t *testing.T) {
	is := is.New(t)
	b := newBalancer(9)
	first, _ := b.Choose(prompt(1, 10_512), start)
	setPace(b, first.Target.ID, 2.5, start)
	b = newBalancer(9)
	setPace(b, first.Target.ID, 2.5, start)
	pick, _ := b.Choose(prompt(1, 10_512), start)
	is.True(pick.Target.ID != first.Target.ID)
	b = newBalancer(9)
	for i := range 9 {
		setPace(b, fmt.Sprint("t", i), 2.5, start)
	}
	pick, ok := b.Choose(prompt(1, 10_512), start)
	is.True(ok)
	is.Equal(pick.Target.ID, first.Target.ID)
}

// TestFastTargetGetsOnlyItsShare checks that targets reporting a better pace than usual get no
// more requests than those that report none, so that gateways that all know of one do not
// overload it.
func TestFastTargetGetsOnlyItsShare(t *testing.T) {
	is := is.New(t)
	b := newBalancer(8)
	setPace(b, "t0", 0.2, start)
	got := 0
	for range 80 {
		pick, _ := b.Choose(balance.Query{Service: "s"}, start)
		if pick.Target.ID == "t0" {
			got++
		}
	}
	is.Equal(got, 10) // its share
}

// TestPaceReports checks that a pace received by one gateway reaches the others, the largest
// differences first. A pace that changes little or is old is not reported, and an older report
// does not replace a newer one.
func TestPaceReports(t *testing.T) {
	is := is.New(t)
	one, other := newBalancer(4), newBalancer(4)
	setPace(one, "t0", 1.1, start) // almost the usual pace
	setPace(one, "t1", 2, start)
	setPace(one, "t2", 4, start)
	reports := one.ChangedPaces(1, start.Add(100*time.Millisecond))
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Factor, 4.0)
	is.Equal(reports[0].Age, 100*time.Millisecond)
	is.Equal(len(one.ChangedPaces(9, start.Add(100*time.Millisecond))), 2)
	other.ObservePaces(one.ChangedPaces(9, start.Add(100*time.Millisecond)), start.Add(200*time.Millisecond))
	for range 2 {
		pick, _ := other.Choose(balance.Query{Service: "s"}, start.Add(200*time.Millisecond))
		is.True(pick.Target.ID == "t0" || pick.Target.ID == "t3")
	}
	is.Equal(len(one.ChangedPaces(9, start.Add(time.Second))), 0)

	setPace(other, "t3", 5, start.Add(time.Second))
	late := []balance.Pace{{Target: uint32(policy.HashName("t3") >> 32), Factor: 1, Age: 5 * time.Second}}
	other.ObservePaces(late, start.Add(1100*time.Millisecond))
	for range 9 {
		pick, _ := other.Choose(balance.Query{Service: "s"}, start.Add(1100*time.Millisecond))
		is.True(pick.Target.ID != "t3")
	}
}

// TestBoundWithPaces checks that for any paces reported by targets and gateways a choice is
// made, and that no target above the bound gets a session while another is below it.
func TestBoundWithPaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 6
		b := newBalancer(targets)
		loads := make(map[string]int)
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			incarnation := fmt.Sprint("t", rapid.IntRange(0, targets-1).Draw(t, "target"))
			setPace(b, incarnation, rapid.Float64Range(0, 1000).Draw(t, "pace"), now)
			pick, ok := b.Choose(prompt(rapid.IntRange(0, 3).Draw(t, "session"), 1000), now)
			if !ok {
				t.Fatal("no target")
			}
			loads[pick.Target.ID]++
			total, highest := 0, 0
			for _, load := range loads {
				total += load
				highest = max(highest, load)
			}
			if bound := 2*float64(total)/targets + 3 + 1; float64(highest) > bound {
				t.Fatalf("%d at one target, %d in total", highest, total)
			}
		}
	})
}
