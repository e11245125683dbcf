package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// lifeOf is one life of the target t of these tests.
func lifeOf(born int64) Target {
	return Target{ID: "t", Born: born, Service: "s", Address: "a", Slots: 8}
}

func shortLife(target Target) uint32 {
	return shortHash(policy.HashName(target.Incarnation()))
}

// TestAnotherLifeBeginsAnew: whatever was known of a target's life, by whomever, says
// nothing of the next one under the same id, and what comes late of the first does not either.
func TestAnotherLifeBeginsAnew(t *testing.T) {
	first, second := lifeOf(1000), lifeOf(2000)
	part := Query{Service: "s", Parts: []uint64{7 << 32}, Tokens: []int{1000}}
	cases := map[string]func(b *Balancer, now time.Time){
		"prompts that it held":       func(b *Balancer, _ time.Time) { b.Confirm(first.Incarnation(), part) },
		"prompts that others placed": func(b *Balancer, _ time.Time) { b.Learn([]Placement{{Part: 7, Target: shortLife(first)}}) },
		"requests of others": func(b *Balancer, now time.Time) {
			b.Observe("g", []Count{{Target: policy.HashName(first.Incarnation()), Count: 9}}, now)
		},
		"suspicions of others":       func(b *Balancer, now time.Time) { suspectBoth(b, first, now) },
		"a refused connection":       func(b *Balancer, now time.Time) { b.Choose(part, now); b.Release(first.Incarnation(), Refused, now) },
		"refused at another gateway": func(b *Balancer, now time.Time) { b.NoteRefused(shortLife(first), now) },
		"failures":                   func(b *Balancer, now time.Time) { failRow(b, first, now) },
		"that it is cold":            func(b *Balancer, now time.Time) { b.Put(coldFor(first, time.Hour), now) },
		"that it leaves":             func(b *Balancer, now time.Time) { b.Put(leaving(first), now) },
		"that it said that it leaves": func(b *Balancer, _ time.Time) {
			b.ObserveNotice(first.Incarnation(), Notice{Leaving: true}, time.Time{})
		},
		"that its entry was gone":      func(b *Balancer, now time.Time) { b.Drop("t", now) },
		"that its entry named nothing": func(b *Balancer, _ time.Time) { b.SetUnusable("t") },
	}
	for name, happens := range cases {
		for _, late := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "", true: ", learnt late"}[late], func(t *testing.T) {
				is := is.New(t)
				now := time.Now()
				b := New(DefaultOptions())
				b.Put(first, now)
				happens(b, now)
				is.True(b.Put(second, now).Any)
				if late && saysWhichLife(name) {
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

// saysWhichLife says whether the news names a life, and not only a target.
func saysWhichLife(news string) bool {
	switch news {
	case "that it is cold", "that it leaves", "that its entry was gone", "that its entry named nothing", "a refused connection", "failures":
		return false
	}
	return true
}

func suspectBoth(b *Balancer, target Target, now time.Time) {
	b.ObserveSuspects("g", []uint32{shortLife(target)}, now)
	b.ObserveSuspects("h", []uint32{shortLife(target)}, now)
}

func failRow(b *Balancer, target Target, now time.Time) {
	for range alwaysEjectRow {
		b.Choose(Query{Service: "s"}, now)
		b.Release(target.Incarnation(), Bad, now)
	}
}

func coldFor(target Target, left time.Duration) Target {
	target.ColdFor = left
	return target
}

func leaving(target Target) Target {
	target.Leaving = true
	return target
}

// TestRequestsOfALifeBefore: they end where they began, and the count of the service's
// requests stays right, also when the first life's entry comes back.
func TestRequestsOfALifeBefore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	first, second := lifeOf(1000), lifeOf(2000)
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
	b.Put(first, now) // a clock at the target's host was set back, or another writer
	is.Equal(b.InFlight(), []Count{{Target: policy.HashName(first.Incarnation()), Count: 1}})
	b.Release(first.Incarnation(), Good, now)
	b.Release(second.Incarnation(), Good, now)
	is.Equal(own(), 0)
	is.Equal(len(b.InFlight()), 0)
	b.Drop("t", now)
	b.Drop("other", now.Add(2*forgetAfter))
	is.Equal(len(b.targets)+len(b.current)+len(b.byHash)+len(b.byShort), 0)
}

// TestAnEntryThatLacksTheStart: of a target that has stated it, such an entry is not its own. It
// was taken for another life, and what was under way at the target was broken off.
func TestAnEntryThatLacksTheStart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(lifeOf(1000), now)
	b.Choose(Query{Service: "s"}, now)
	change := b.Put(lifeOf(0), now)
	is.Equal(change.Superseded, "")
	is.True(change.Unusable)
	is.True(!b.Put(lifeOf(0), now).Any) // nor is it news again
	_, ok := b.Choose(Query{Service: "s"}, now)
	is.True(!ok) // it gets nothing until its entry is whole
	is.True(!b.EndOf(lifeOf(1000).Incarnation()).Known())
	is.True(b.Put(lifeOf(1000), now).Any)
	pick, ok := b.Choose(Query{Service: "s"}, now)
	is.True(ok)
	is.Equal(pick.Load, 1) // the request before is still under way
}

// TestAnotherService: an entry that names another service takes the target there.
func TestAnotherService(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(lifeOf(0), now)
	b.Choose(Query{Service: "s"}, now)
	moved := lifeOf(0)
	moved.Service = "other"
	b.Put(moved, now)
	_, ok := b.Choose(Query{Service: "s"}, now)
	is.True(!ok)
	pick, ok := b.Choose(Query{Service: "other"}, now)
	is.True(ok)
	is.Equal(pick.Load, 1) // the one under way went along
	b.Release("t", Good, now)
	b.Release("t", Good, now)
	is.Equal(b.serviceOf("s").load.own+b.serviceOf("other").load.own, 0)
}

// TestEnds: a life ends without a plan when nothing listens any more, its entry goes or
// another life begins, and by plan when it said so or its entry went before.
func TestEnds(t *testing.T) {
	first := lifeOf(1000)
	cases := map[string]struct {
		before, happens func(b *Balancer, now time.Time)
		ended           bool
	}{
		"refused here": {nil, func(b *Balancer, now time.Time) {
			b.Choose(Query{Service: "s"}, now)
			b.Release(first.Incarnation(), Refused, now)
		}, true},
		"refused elsewhere":         {nil, func(b *Balancer, now time.Time) { b.NoteRefused(shortLife(first), now) }, true},
		"refused without a request": {nil, func(b *Balancer, now time.Time) { b.NoteSilentPort(first.Incarnation(), now) }, true},
		"its entry goes":            {nil, func(b *Balancer, now time.Time) { b.Drop("t", now) }, true},
		"another life":              {nil, func(b *Balancer, now time.Time) { b.Put(lifeOf(2000), now) }, true},
		"a lost answer": {nil, func(b *Balancer, now time.Time) {
			b.Choose(Query{Service: "s"}, now)
			b.Release(first.Incarnation(), Lost, now)
		}, false},
		"no way there": {nil, func(b *Balancer, now time.Time) {
			b.Choose(Query{Service: "s"}, now)
			b.Release(first.Incarnation(), Unreachable, now)
		}, false},
		"refused, leaving": {func(b *Balancer, now time.Time) { b.Put(leaving(first), now) }, func(b *Balancer, now time.Time) { b.NoteRefused(shortLife(first), now) }, false},
		"gone, leaving":    {func(b *Balancer, now time.Time) { b.Put(leaving(first), now) }, func(b *Balancer, now time.Time) { b.Drop("t", now) }, false},
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

// TestLivesInAnyOrder: whatever comes of a few lives, the requests under way add up, and no
// life but the last is chosen.
func TestLivesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		b := New(DefaultOptions())
		underWay := map[string]int{}
		present := Target{}
		total := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			life := lifeOf(int64(rapid.IntRange(0, 3).Draw(t, "born")))
			life.Service = rapid.SampledFrom([]string{"s", "s", "other"}).Draw(t, "service")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Put(life, now)
				present = life
			case 1:
				b.Drop("t", now)
			case 2:
				if pick, ok := b.Choose(Query{Service: "s"}, now); ok {
					if pick.Target != present {
						t.Fatalf("%+v was chosen, and %+v is the present life", pick.Target, present)
					}
					underWay[pick.Target.Incarnation()]++
					total++
				}
			case 3:
				if underWay[life.Incarnation()] > 0 {
					underWay[life.Incarnation()]--
					total--
					b.Release(life.Incarnation(), Good, now)
				}
			}
			if own := b.serviceOf("s").load.own + b.serviceOf("other").load.own; own != total {
				t.Fatalf("%d requests are under way, %d are counted", total, own)
			}
		}
	})
}

// TestALifeThatGoesOn: an entry that lapsed with the store and came back, and a refusal after
// which the target answers, were no ends; the real one after them counts.
func TestALifeThatGoesOn(t *testing.T) {
	first := lifeOf(1000)
	cases := map[string]func(b *Balancer, now time.Time) time.Time{
		"its entry came back": func(b *Balancer, now time.Time) time.Time {
			b.Drop("t", now)
			b.Put(first, now.Add(time.Second))
			return now.Add(time.Second)
		},
		"it answers after a refusal": func(b *Balancer, now time.Time) time.Time {
			b.NoteRefused(shortLife(first), now)
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
			b.NoteRefused(shortLife(first), now)
			is.Equal(b.EndOf(first.Incarnation()), End{At: now})
		})
	}
}

// TestALateAnswerIsNoSignOfLife: one that the target gave before its end may be taken after it.
func TestALateAnswerIsNoSignOfLife(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(lifeOf(1000), now)
	b.Choose(Query{Service: "s"}, now)
	b.NoteRefused(shortLife(lifeOf(1000)), now)
	b.Release(lifeOf(1000).Incarnation(), Good, now.Add(10*time.Millisecond))
	is.True(b.EndOf(lifeOf(1000).Incarnation()).Known())
}
