package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// incarnationOf returns an incarnation of the target t, which these tests use.
func incarnationOf(born int64) Target {
	return Target{ID: "t", Born: born, Service: "s", Address: "a", Slots: 8}
}

func shortIncarnation(target Target) uint32 {
	return shortHash(policy.HashName(target.Incarnation()))
}

// TestNewIncarnationStartsFresh checks that nothing known about an incarnation of a target,
// here or at other gateways, applies to the next one with the same ID, and that late reports
// about the first one do not either.
func TestNewIncarnationStartsFresh(t *testing.T) {
	first, second := incarnationOf(1000), incarnationOf(2000)
	part := Query{Service: "s", Parts: []uint64{7 << 32}, Tokens: []int{1000}}
	cases := map[string]func(b *Balancer, now time.Time){
		"confirmed prompts":       func(b *Balancer, _ time.Time) { b.Confirm(first.Incarnation(), part) },
		"prompts placed by peers": func(b *Balancer, _ time.Time) { b.Learn([]Placement{{Part: 7, Target: shortIncarnation(first)}}) },
		"requests of peers": func(b *Balancer, now time.Time) {
			b.Observe("g", []Count{{Target: policy.HashName(first.Incarnation()), Count: 9}}, now)
		},
		"suspicions of peers": func(b *Balancer, now time.Time) { suspectBoth(b, first, now) },
		"refused connection":  func(b *Balancer, now time.Time) { b.Choose(part, now); b.Release(first.Incarnation(), Refused, now) },
		"refused at a peer":   func(b *Balancer, now time.Time) { b.NoteRefused(shortIncarnation(first), now) },
		"failures":            func(b *Balancer, now time.Time) { failInRow(b, first, now) },
		"cold":                func(b *Balancer, now time.Time) { b.Put(coldFor(first, time.Hour), now) },
		"leaving by entry":    func(b *Balancer, now time.Time) { b.Put(leaving(first), now) },
		"leaving by answer": func(b *Balancer, _ time.Time) {
			b.ObserveNotice(first.Incarnation(), Notice{Leaving: true}, time.Time{})
		},
		"unlisted":      func(b *Balancer, now time.Time) { b.Drop("t", now) },
		"invalid entry": func(b *Balancer, _ time.Time) { b.SetUnusable("t") },
	}
	for name, happens := range cases {
		for _, late := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "", true: ", learned late"}[late], func(t *testing.T) {
				is := is.New(t)
				now := time.Now()
				b := New(DefaultOptions())
				b.Put(first, now)
				happens(b, now)
				is.True(b.Put(second, now).Any)
				if late && namesIncarnation(name) {
					happens(b, now)
				}
				pick, ok := b.Choose(part, now)
				is.True(ok)
				is.Equal(pick.Target, second)
				is.Equal(pick.Load, 0)
				is.Equal(pick.Source, SourceNone) // held nowhere
				is.True(!pick.Cold)
			})
		}
	}
}

// namesIncarnation reports whether the report of a case names an incarnation, and not only a
// target.
func namesIncarnation(report string) bool {
	switch report {
	case "cold", "leaving by entry", "unlisted", "invalid entry", "refused connection", "failures":
		return false
	}
	return true
}

func suspectBoth(b *Balancer, target Target, now time.Time) {
	b.ObserveSuspects("g", []uint32{shortIncarnation(target)}, now)
	b.ObserveSuspects("h", []uint32{shortIncarnation(target)}, now)
}

func failInRow(b *Balancer, target Target, now time.Time) {
	for range alwaysEjectAfter {
		b.Choose(Query{Service: "s"}, now)
		b.Release(target.Incarnation(), Bad, now)
	}
}

func coldFor(target Target, remaining time.Duration) Target {
	target.ColdFor = remaining
	return target
}

func leaving(target Target) Target {
	target.Leaving = true
	return target
}

// TestRequestsOfPreviousIncarnation checks that requests end at the incarnation where they
// began, and that the service's count of requests stays correct, also when the first
// incarnation's entry comes back.
func TestRequestsOfPreviousIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	first, second := incarnationOf(1000), incarnationOf(2000)
	own := func() int { return b.serviceOf("s").load.own }
	b.Put(first, now)
	b.Choose(Query{Service: "s"}, now)
	b.Choose(Query{Service: "s"}, now)
	b.Put(second, now)
	b.Choose(Query{Service: "s"}, now)
	is.Equal(own(), 3)
	is.Equal(b.InFlight(), []Count{{Target: policy.HashName(second.Incarnation()), Count: 1}})
	b.Release(first.Incarnation(), Good, now)
	is.Equal(own(), 2)
	b.Put(first, now) // the clock of the target's host was set back, or another writer wrote the entry
	is.Equal(b.InFlight(), []Count{{Target: policy.HashName(first.Incarnation()), Count: 1}})
	b.Release(first.Incarnation(), Good, now)
	b.Release(second.Incarnation(), Good, now)
	is.Equal(own(), 0)
	is.Equal(len(b.InFlight()), 0)
	b.Drop("t", now)
	b.Drop("other", now.Add(2*forgetAfter))
	is.Equal(len(b.targets)+len(b.current)+len(b.byHash)+len(b.byShort), 0)
}

// TestEntryWithoutStartTime guards against taking an entry without a start time for a new
// incarnation of a target that has stated its start: the requests in flight at the target were
// cancelled. Such an entry comes from another writer.
func TestEntryWithoutStartTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(incarnationOf(1000), now)
	b.Choose(Query{Service: "s"}, now)
	change := b.Put(incarnationOf(0), now)
	is.Equal(change.Superseded, "")
	is.True(change.Unusable)
	is.True(!b.Put(incarnationOf(0), now).Any) // the same entry again changes nothing
	_, ok := b.Choose(Query{Service: "s"}, now)
	is.True(!ok) // it gets nothing until its entry is complete
	is.True(!b.EndOf(incarnationOf(1000).Incarnation()).Known())
	is.True(b.Put(incarnationOf(1000), now).Any)
	pick, ok := b.Choose(Query{Service: "s"}, now)
	is.True(ok)
	is.Equal(pick.Load, 1) // the earlier request is still in flight
}

// TestServiceChange checks that an entry with another service moves the target to that
// service.
func TestServiceChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(incarnationOf(0), now)
	b.Choose(Query{Service: "s"}, now)
	moved := incarnationOf(0)
	moved.Service = "other"
	b.Put(moved, now)
	_, ok := b.Choose(Query{Service: "s"}, now)
	is.True(!ok)
	pick, ok := b.Choose(Query{Service: "other"}, now)
	is.True(ok)
	is.Equal(pick.Load, 1) // the request in flight moved along
	b.Release("t", Good, now)
	b.Release("t", Good, now)
	is.Equal(b.serviceOf("s").load.own+b.serviceOf("other").load.own, 0)
}

// TestUnplannedEnds checks that an incarnation ends unplanned when nothing listens any more,
// its entry disappears or another incarnation begins, and as planned when it announced that
// before or its entry had disappeared before.
func TestUnplannedEnds(t *testing.T) {
	first := incarnationOf(1000)
	cases := map[string]struct {
		before, happens func(b *Balancer, now time.Time)
		ended           bool
	}{
		"refused here": {nil, func(b *Balancer, now time.Time) {
			b.Choose(Query{Service: "s"}, now)
			b.Release(first.Incarnation(), Refused, now)
		}, true},
		"refused at a peer":         {nil, func(b *Balancer, now time.Time) { b.NoteRefused(shortIncarnation(first), now) }, true},
		"refused without a request": {nil, func(b *Balancer, now time.Time) { b.NoteSilentPort(first.Incarnation(), now) }, true},
		"entry disappears":          {nil, func(b *Balancer, now time.Time) { b.Drop("t", now) }, true},
		"new incarnation":           {nil, func(b *Balancer, now time.Time) { b.Put(incarnationOf(2000), now) }, true},
		"lost answer": {nil, func(b *Balancer, now time.Time) {
			b.Choose(Query{Service: "s"}, now)
			b.Release(first.Incarnation(), Lost, now)
		}, false},
		"unreachable": {nil, func(b *Balancer, now time.Time) {
			b.Choose(Query{Service: "s"}, now)
			b.Release(first.Incarnation(), Unreachable, now)
		}, false},
		"refused while leaving":          {func(b *Balancer, now time.Time) { b.Put(leaving(first), now) }, func(b *Balancer, now time.Time) { b.NoteRefused(shortIncarnation(first), now) }, false},
		"entry disappears while leaving": {func(b *Balancer, now time.Time) { b.Put(leaving(first), now) }, func(b *Balancer, now time.Time) { b.Drop("t", now) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			b := New(DefaultOptions())
			b.Put(first, now)
			is.True(b.Serving(first.Incarnation()))
			if tc.before != nil {
				tc.before(b, now)
				is.True(!b.Serving(first.Incarnation()))
			}
			tc.happens(b, now)
			is.Equal(b.EndOf(first.Incarnation()).Known(), tc.ended)
		})
	}
}

// TestIncarnationsInAnyOrder checks that for any sequence of events of a few incarnations the
// requests in flight add up, and that only the current incarnation is chosen.
func TestIncarnationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		b := New(DefaultOptions())
		inFlight := map[string]int{}
		current := Target{}
		total := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			incarnation := incarnationOf(int64(rapid.IntRange(0, 3).Draw(t, "born")))
			incarnation.Service = rapid.SampledFrom([]string{"s", "s", "other"}).Draw(t, "service")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Put(incarnation, now)
				current = incarnation
			case 1:
				b.Drop("t", now)
			case 2:
				if pick, ok := b.Choose(Query{Service: "s"}, now); ok {
					if pick.Target != current {
						t.Fatalf("%+v was chosen, but %+v is the current incarnation", pick.Target, current)
					}
					inFlight[pick.Target.Incarnation()]++
					total++
				}
			case 3:
				if inFlight[incarnation.Incarnation()] > 0 {
					inFlight[incarnation.Incarnation()]--
					total--
					b.Release(incarnation.Incarnation(), Good, now)
				}
			}
			if own := b.serviceOf("s").load.own + b.serviceOf("other").load.own; own != total {
				t.Fatalf("%d requests are in flight, %d are counted", total, own)
			}
		}
	})
}

// TestIncarnationSurvivesAssumedEnd checks that an entry that expired with the store and came
// back, and a refusal after which the target answers, do not count as ends, and that the real
// end after them does.
func TestIncarnationSurvivesAssumedEnd(t *testing.T) {
	first := incarnationOf(1000)
	cases := map[string]func(b *Balancer, now time.Time) time.Time{
		"entry returns": func(b *Balancer, now time.Time) time.Time {
			b.Drop("t", now)
			b.Put(first, now.Add(time.Second))
			return now.Add(time.Second)
		},
		"answer after a refusal": func(b *Balancer, now time.Time) time.Time {
			b.NoteRefused(shortIncarnation(first), now)
			later := now.Add(5 * time.Second)
			b.Choose(Query{Service: "s"}, later)
			b.Release(first.Incarnation(), Good, later)
			return later
		},
	}
	for name, goesOn := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			b := New(DefaultOptions())
			b.Put(first, now)
			now = goesOn(b, now)
			is.True(!b.EndOf(first.Incarnation()).Known())
			b.NoteRefused(shortIncarnation(first), now)
			is.Equal(b.EndOf(first.Incarnation()), End{At: now})
		})
	}
}

// TestLateAnswerDoesNotCancelEnd checks that an answer sent before the target's end may arrive
// after it.
func TestLateAnswerDoesNotCancelEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(incarnationOf(1000), now)
	b.Choose(Query{Service: "s"}, now)
	b.NoteRefused(shortIncarnation(incarnationOf(1000)), now)
	b.Release(incarnationOf(1000).Incarnation(), Good, now.Add(10*time.Millisecond))
	is.True(b.EndOf(incarnationOf(1000).Incarnation()).Known())
}
