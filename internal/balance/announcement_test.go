package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newWithTwoTargets returns a balancer with two targets, of which t makes the announcements.
func newWithTwoTargets(now time.Time) *Balancer {
	b := New(DefaultOptions())
	b.Put(incarnationOf(1000), now)
	b.Put(Target{ID: "other", Born: 1000, Service: "s", Address: "b", Slots: 8}, now)
	return b
}

// isChosen reports whether t is chosen for one of many requests.
func isChosen(b *Balancer, now time.Time) bool {
	for number := range 40 {
		pick, ok := b.Choose(Query{Service: "s", Parts: []uint64{uint64(number) << 40}}, now)
		if ok {
			b.Release(pick.Target.Incarnation(), Good, now)
		}
		if ok && pick.Target.ID == "t" {
			return true
		}
	}
	return false
}

// TestLeavingAnnouncementPersists checks that an announced leave persists whatever else
// becomes known about the target, and in all situations in which excluded targets serve
// nevertheless.
func TestLeavingAnnouncementPersists(t *testing.T) {
	t1 := incarnationOf(1000)
	moved := t1
	moved.Service = "elsewhere"
	later := time.Now()
	cases := map[string]func(b *Balancer, now time.Time){
		"the entry is put again": func(b *Balancer, now time.Time) { b.Put(t1, now) },
		"the entry states leaving, then not": func(b *Balancer, now time.Time) {
			b.Put(leaving(t1), now)
			b.Put(t1, now)
		},
		"the entry is invalid, then valid": func(b *Balancer, now time.Time) {
			b.SetUnusable("t")
			b.Put(t1, now)
		},
		"the entry disappears and returns": func(b *Balancer, now time.Time) {
			b.Drop("t", now)
			b.Put(t1, now)
		},
		"the target is forgotten and returns": func(b *Balancer, now time.Time) {
			b.Drop("t", now)
			b.Drop("t", now.Add(2*forgetAfter))
			b.Put(t1, now)
		},
		"the target returns hours later": func(b *Balancer, now time.Time) {
			b.Drop("t", now)
			b.Drop("t", now.Add(2*forgetAfter))
			b.Drop("nobody", now.Add(20*time.Hour))
			b.Put(t1, now)
		},
		"restored from a checkpoint": func(b *Balancer, now time.Time) {
			b.Drop("t", now)
			b.Drop("t", now.Add(2*forgetAfter))
			b.Restore([]Target{t1}, now)
		},
		"all entries expire": func(b *Balancer, now time.Time) {
			b.Drop("t", now)
			b.Drop("other", now)
		},
		"the other target is ejected": func(b *Balancer, now time.Time) {
			for range 12 {
				b.Choose(Query{Service: "s"}, now)
				b.Release("other@1000", Lost, now)
			}
		},
		"the service changes and returns": func(b *Balancer, now time.Time) {
			b.Put(moved, now)
			b.Put(t1, now)
		},
		"the version changes": func(b *Balancer, now time.Time) {
			next := t1
			next.Version = "v2"
			b.Put(next, now)
		},
		"failure records are cleared":        func(b *Balancer, _ time.Time) { b.ClearFailures() },
		"a correct answer":                   func(b *Balancer, now time.Time) { b.Release(t1.Incarnation(), Good, now) },
		"an answer without the announcement": func(b *Balancer, _ time.Time) { b.ObserveNotice(t1.Incarnation(), Notice{}, time.Time{}) },
		"an evacuation begins and ends": func(b *Balancer, now time.Time) {
			b.SetEvacuated("", true, now)
			b.SetEvacuated("", false, now)
		},
		"the target turns cold and warm": func(b *Balancer, now time.Time) {
			b.Put(coldFor(t1, time.Millisecond), now)
			b.Put(t1, now)
		},
		"refused at another gateway": func(b *Balancer, now time.Time) { b.NoteRefused(shortIncarnation(t1), now) },
	}
	for name, happens := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newWithTwoTargets(later)
			is.True(isChosen(b, later)) // otherwise the test shows nothing
			is.True(b.ObserveNotice(t1.Incarnation(), Notice{Leaving: true}, time.Time{}).Leaving)
			is.True(!b.ObserveNotice(t1.Incarnation(), Notice{Leaving: true}, time.Time{}).Leaving) // nothing new
			happens(b, later)
			for _, after := range []time.Duration{0, time.Second, time.Minute} {
				is.True(!isChosen(b, later.Add(after)))
			}
			is.True(b.Closed(t1.Incarnation(), later) || !b.Serving(t1.Incarnation()))
		})
	}
}

// TestAnnouncedLeaveIsPlannedEnd checks that after an announced leave the disappearance of the
// entry, or a refused connection, is no unplanned end for the requests in flight, and that a
// checkpoint does not contain the target.
func TestAnnouncedLeaveIsPlannedEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := newWithTwoTargets(now)
	b.ObserveNotice("t@1000", Notice{Leaving: true}, time.Time{})
	is.True(!b.Serving("t@1000"))
	is.Equal(len(b.Working(now)), 1)
	b.NoteRefused(shortIncarnation(incarnationOf(1000)), now)
	is.True(!b.EndOf("t@1000").Known())
	b.Drop("t", now)
	is.True(!b.EndOf("t@1000").Known())
}

// TestAnnouncementBeforeStartTimeIsKnown checks that an announcement is kept when the start
// time of the incarnation is stated later, because it may be the same incarnation.
func TestAnnouncementBeforeStartTimeIsKnown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	b.Put(incarnationOf(0), now)
	b.ObserveNotice("t", Notice{Leaving: true}, time.Time{})
	b.Put(incarnationOf(1000), now)
	is.True(!isChosen(b, now))
	b.Put(incarnationOf(2000), now) // certainly another one
	is.True(isChosen(b, now))
}

// TestAnnouncementsAreForgotten checks that memory use is bounded.
func TestAnnouncementsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	for number := range 100 {
		made := Target{ID: fmt.Sprint(number), Born: 1, Service: "s"}
		b.Put(made, now)
		b.ObserveNotice(made.Incarnation(), Notice{Leaving: true}, time.Time{})
		b.Drop(made.ID, now)
	}
	is.Equal(len(b.pastAnnouncements), 100)
	is.Equal(len(b.targets), 0)
	b.Put(incarnationOf(1), now)
	b.ObserveNotice("t@1", Notice{Leaving: true}, time.Time{})
	b.Drop("t", now.Add(rememberFor+time.Second))
	is.Equal(len(b.pastAnnouncements), 1)
}

// TestLeavingInAnyOrder checks that a leaving incarnation is never chosen, for any sequence of
// events from entries, peers and requests.
func TestLeavingInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		b := New(DefaultOptions())
		announced := make(map[string]bool)
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		born := rapid.SampledFrom([]int64{1, 2})
		drawTarget := func(t *rapid.T) Target {
			return Target{
				ID: id.Draw(t, "id"), Born: born.Draw(t, "born"), Service: "s", DataCenter: "d",
				Leaving: rapid.Bool().Draw(t, "leaving"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { b.Put(drawTarget(t), now) },
			"drop":    func(t *rapid.T) { b.Drop(id.Draw(t, "id"), now) },
			"odd":     func(t *rapid.T) { b.SetUnusable(id.Draw(t, "id")) },
			"restore": func(t *rapid.T) { b.Restore([]Target{drawTarget(t)}, now) },
			"forgive": func(*rapid.T) { b.ClearFailures() },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "ms")) * time.Millisecond)
			},
			"evacuate": func(t *rapid.T) { b.SetEvacuated("d", rapid.Bool().Draw(t, "evacuated"), now) },
			"refused":  func(t *rapid.T) { b.NoteRefused(shortIncarnation(drawTarget(t)), now) },
			"choose": func(t *rapid.T) {
				pick, ok := b.Choose(Query{Service: "s"}, now)
				if !ok {
					return
				}
				incarnation := pick.Target.Incarnation()
				if announced[incarnation] {
					t.Fatalf("%s was chosen after it announced that it leaves", incarnation)
				}
				if rapid.Bool().Draw(t, "says") {
					b.ObserveNotice(incarnation, Notice{Leaving: true}, time.Time{})
					announced[incarnation] = true
				}
				b.Release(incarnation, rapid.SampledFrom([]Result{Good, Bad, Lost, Unreachable, Refused, Neutral}).Draw(t, "result"), now)
			},
		})
	})
}
