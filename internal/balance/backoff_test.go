package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// backoffOf returns a notice that requests a backoff.
func backoffOf(length time.Duration) Notice { return Notice{RetryAfter: length} }

// TestBackoff checks that a backoff applies until its end, whatever else becomes known about
// the target.
func TestBackoff(t *testing.T) {
	t1 := incarnationOf(1000)
	later := time.Now()
	cases := map[string]func(b *Balancer, now time.Time){
		"nothing happens":   func(*Balancer, time.Time) {},
		"a shorter backoff": func(b *Balancer, now time.Time) { b.ObserveNotice(t1.Incarnation(), backoffOf(time.Second), now) },
		"an answer to another request": func(b *Balancer, now time.Time) {
			b.ObserveNotice(t1.Incarnation(), Notice{}, now)
			b.Release(t1.Incarnation(), Good, now)
		},
		"an earlier probe is answered":     func(b *Balancer, now time.Time) { b.EndProbe(t1.Incarnation(), true, now) },
		"an earlier probe is lost":         func(b *Balancer, now time.Time) { b.EndProbe(t1.Incarnation(), false, now) },
		"the entry is put again":           func(b *Balancer, now time.Time) { b.Put(t1, now) },
		"the entry disappears and returns": func(b *Balancer, now time.Time) { b.Drop("t", now); b.Put(t1, now) },
		"the entry disappears":             func(b *Balancer, now time.Time) { b.Drop("t", now) },
		"all entries expire":               func(b *Balancer, now time.Time) { b.Drop("t", now); b.Drop("other", now) },
		"the other target leaves":          func(b *Balancer, now time.Time) { b.ObserveNotice("other@1000", Notice{Leaving: true}, now) },
		"failure records are cleared":      func(b *Balancer, _ time.Time) { b.ClearFailures() },
		"an evacuation ends":               func(b *Balancer, now time.Time) { b.SetEvacuated("", true, now); b.SetEvacuated("", false, now) },
		"the service changes and returns":  func(b *Balancer, now time.Time) { moved := t1; moved.Service = "x"; b.Put(moved, now); b.Put(t1, now) },
		"the entry states the start time":  func(b *Balancer, now time.Time) { b.Put(t1, now) },
	}
	for name, happens := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newWithTwoTargets(later)
			is.True(b.ObserveNotice(t1.Incarnation(), backoffOf(3*time.Second), later).BackingOff)
			is.True(!b.ObserveNotice(t1.Incarnation(), backoffOf(3*time.Second+time.Millisecond), later).BackingOff) // nothing new
			happens(b, later.Add(time.Second))
			for _, after := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
				is.True(!isChosen(b, later.Add(after)))
				is.True(b.Closed(t1.Incarnation(), later.Add(after)))
			}
			is.True(!b.Closed(t1.Incarnation(), later.Add(4*time.Second)))
		})
	}
}

// TestBackoffAfterEntryExpired checks that a backoff still applies when an entry comes back
// that had expired for longer than targets are kept.
func TestBackoffAfterEntryExpired(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := newWithTwoTargets(now)
	b.ObserveNotice("t@1000", backoffOf(time.Hour), now)
	b.Drop("t", now)
	b.Drop("t", now.Add(2*forgetAfter))
	is.Equal(len(b.pastAnnouncements), 1)
	b.Put(incarnationOf(1000), now.Add(3*forgetAfter))
	is.True(!isChosen(b, now.Add(59*time.Minute)))
	is.Equal(probes(b, now.Add(61*time.Minute)), 1)
}

// TestNewIncarnationEndsBackoff checks that a backoff applies only to the incarnation that
// requested it.
func TestNewIncarnationEndsBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := newWithTwoTargets(now)
	b.ObserveNotice("t@1000", backoffOf(time.Hour), now)
	b.Put(incarnationOf(2000), now)
	is.True(isChosen(b, now))
}

// probes counts how often t is chosen for one of many requests of which none ends.
func probes(b *Balancer, now time.Time) int {
	count := 0
	for range 40 {
		if pick, ok := b.Choose(Query{Service: "s"}, now); ok && pick.Target.ID == "t" {
			count++
		}
	}
	return count
}

// TestProbeAfterBackoff checks that one request probes the target after a backoff, and that
// its outcome decides whether others follow.
func TestProbeAfterBackoff(t *testing.T) {
	begin := time.Now()
	back := begin.Add(4 * time.Second)
	cases := map[string]struct {
		ends func(b *Balancer)
		// first and later are how many requests are chosen at once after the probe and a
		// second later. Values above 1 are lower limits.
		first, later int
	}{
		"in flight": {func(*Balancer) {}, 0, 1},
		"answered":  {func(b *Balancer) { b.EndProbe("t@1000", true, back) }, 20, 20},
		"lost":      {func(b *Balancer) { b.EndProbe("t@1000", false, back) }, 1, 1},
		"lost with a new backoff": {func(b *Balancer) {
			b.ObserveNotice("t@1000", backoffOf(3*time.Second), back)
			b.EndProbe("t@1000", false, back)
		}, 0, 0},
		"answered after a backoff to an older request": {func(b *Balancer) {
			b.ObserveNotice("t@1000", backoffOf(3*time.Second), back)
			b.EndProbe("t@1000", true, back)
		}, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newWithTwoTargets(begin)
			b.ObserveNotice("t@1000", backoffOf(3*time.Second), begin)
			is.Equal(probes(b, back), 1)
			test.ends(b)
			is.Equal(min(probes(b, back.Add(time.Millisecond)), test.first), test.first)
			if test.first <= 1 {
				is.Equal(probes(b, back.Add(2*time.Millisecond)), 0)
			}
			is.Equal(min(probes(b, back.Add(probeTimeout+10*time.Millisecond)), test.later), test.later)
		})
	}
}

// TestProbesAreSpreadOverGateways checks that gateways that were asked to back off at the same
// time do not probe at the same time.
func TestProbesAreSpreadOverGateways(t *testing.T) {
	for name, count := range map[string]int{"few": 4, "a hundred": 103, "hundreds": 370} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var offsets []time.Duration
			for place := range count {
				b := newWithTwoTargets(now)
				b.SetGateways(Gateways{Count: count, Place: place})
				b.ObserveNotice("t@1000", backoffOf(time.Second), now)
				offsets = append(offsets, b.current["t"].announced.backoff.probeAt.Sub(now)-time.Second)
			}
			slices.Sort(offsets)
			is.True(offsets[0] >= 0)
			is.True(offsets[count-1] <= maxProbeOffset)
			for i := 1; i < count; i++ {
				is.True(offsets[i]-offsets[i-1] >= probeInterval*9/10)
			}
		})
	}
}

// TestBoundDuringBackoff checks that the other targets take over the load, within the bound on
// the mean of all targets.
func TestBoundDuringBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		b.Put(Target{ID: id, Service: "s", Slots: 64}, now)
	}
	for _, id := range ids[:2] {
		b.ObserveNotice(id, backoffOf(time.Minute), now)
	}
	const requests = 120
	loads := make(map[string]int)
	for number := range requests {
		pick, ok := b.Choose(Query{Service: "s", Parts: []uint64{uint64(number%3) << 40}, Tokens: []int{5000}}, now)
		is.True(ok)
		loads[pick.Target.ID]++
	}
	whole := Bound{Multiple: 2, Extra: 3}.limitAt(float64(requests) / float64(len(ids)))
	for _, load := range loads {
		is.True(float64(load) <= whole)
	}
	is.Equal(len(loads), 4)
}

// TestRoomDuringBackoff checks that the room is that of the other targets. If there are none,
// or the first probe is due, no request has to wait.
func TestRoomDuringBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	for _, id := range []string{"a", "b"} {
		b.Put(Target{ID: id, Service: "s", Slots: 8}, now)
	}
	whole := b.Room("s", Versions{}, 100, now)
	b.ObserveNotice("a", backoffOf(time.Second), now)
	is.Equal(b.Room("s", Versions{}, 100, now), whole/2)
	b.ObserveNotice("b", backoffOf(time.Second), now)
	is.Equal(b.Room("s", Versions{}, 100, now), 100)
	back := now.Add(1100 * time.Millisecond)
	is.Equal(b.Room("s", Versions{}, 100, back), 100)
	b.Choose(Query{Service: "s"}, back)
	b.EndProbe("a", true, back)
	b.EndProbe("b", true, back)
	is.True(b.Room("s", Versions{}, 100, back) < whole+1)
}

// TestRetryIn checks that callers for whom no target is open get the time when the first one
// is available again, spread over a range.
func TestRetryIn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := newWithTwoTargets(now)
	query := Query{Service: "s"}
	_, ok := b.RetryIn(query, now)
	is.True(!ok)
	b.ObserveNotice("t@1000", backoffOf(4*time.Second), now)
	_, ok = b.RetryIn(query, now)
	is.True(!ok) // the other one is open
	b.ObserveNotice("other@1000", backoffOf(8*time.Second), now)
	delays := make(map[time.Duration]bool)
	for range 50 {
		back, ok := b.RetryIn(query, now.Add(time.Second))
		is.True(ok)
		is.True(back >= 3*time.Second && back < 4*time.Second)
		delays[back] = true
	}
	is.True(len(delays) > 10)
	b.ObserveNotice("t@1000", Notice{Leaving: true}, now)
	back, ok := b.RetryIn(query, now)
	is.True(ok)
	is.True(back >= 8*time.Second)
	b.ObserveNotice("other@1000", backoffOf(time.Hour), now)
	back, ok = b.RetryIn(query, now)
	is.True(ok)
	is.True(back >= maxRetryIn && back <= maxRetryIn+maxRetrySpread) // another target may join
	b.ObserveNotice("other@1000", Notice{Leaving: true}, now)
	_, ok = b.RetryIn(query, now)
	is.True(!ok) // no target is expected back
}

// TestBackoffInAnyOrder checks that for any sequence of events a target that is backing off is
// not chosen, and that at most one request at a time probes it.
func TestBackoffInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		b := New(DefaultOptions())
		until := make(map[string]time.Time)
		probing := make(map[string]time.Time)
		id := rapid.SampledFrom([]string{"a", "b"})
		born := rapid.SampledFrom([]int64{1, 2})
		drawTarget := func(t *rapid.T) Target {
			return Target{ID: id.Draw(t, "id"), Born: born.Draw(t, "born"), Service: "s", DataCenter: "d"}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { b.Put(drawTarget(t), now) },
			"drop":    func(t *rapid.T) { b.Drop(id.Draw(t, "id"), now) },
			"odd":     func(t *rapid.T) { b.SetUnusable(id.Draw(t, "id")) },
			"restore": func(t *rapid.T) { b.Restore([]Target{drawTarget(t)}, now) },
			"forgive": func(*rapid.T) { b.ClearFailures() },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"evacuate": func(t *rapid.T) { b.SetEvacuated("d", rapid.Bool().Draw(t, "evacuated"), now) },
			"choose": func(t *rapid.T) {
				pick, ok := b.Choose(Query{Service: "s"}, now)
				if !ok {
					return
				}
				incarnation := pick.Target.Incarnation()
				if now.Before(until[incarnation]) {
					t.Fatalf("%s was chosen during its backoff", incarnation)
				}
				if pick.Probe && now.Sub(probing[incarnation]) < probeTimeout {
					t.Fatalf("%s is probed by two requests at once", incarnation)
				}
				requested := time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest")) * time.Millisecond
				switch {
				case rapid.Bool().Draw(t, "unanswered"):
					probing[incarnation] = now
				case requested > 0:
					b.ObserveNotice(incarnation, backoffOf(requested), now)
					if end := now.Add(requested); end.After(until[incarnation]) {
						until[incarnation] = end
					}
					delete(probing, incarnation)
				case pick.Probe:
					b.EndProbe(incarnation, true, now)
					delete(probing, incarnation)
				}
				b.Release(incarnation, rapid.SampledFrom([]Result{Good, Bad, Neutral}).Draw(t, "result"), now)
			},
		})
	})
}

// TestTargetStatuses checks each reason for which a target gets no requests, in the order in
// which the reasons are checked.
func TestTargetStatuses(t *testing.T) {
	now := time.Now()
	t1 := incarnationOf(1000)
	cases := map[string]struct {
		happens   func(b *Balancer)
		want      Reason
		remaining time.Duration
	}{
		"open":             {func(*Balancer) {}, ReasonNone, 0},
		"leaving by entry": {func(b *Balancer) { b.Put(leaving(t1), now) }, ReasonEntry, 0},
		"leaving by answer": {func(b *Balancer) {
			b.ObserveNotice(t1.Incarnation(), backoffOf(time.Minute), now)
			b.ObserveNotice(t1.Incarnation(), Notice{Leaving: true}, now)
		}, ReasonAnswer, 0},
		"unlisted":              {func(b *Balancer) { b.Drop("t", now) }, ReasonUnlisted, 0},
		"data centre evacuated": {func(b *Balancer) { b.SetEvacuated("", true, now) }, ReasonEvacuated, 0},
		"backing off":           {func(b *Balancer) { b.ObserveNotice(t1.Incarnation(), backoffOf(time.Minute), now) }, ReasonBackoff, time.Minute},
		"backoff over":          {func(b *Balancer) { b.ObserveNotice(t1.Incarnation(), backoffOf(time.Second), now.Add(-2*time.Second)) }, ReasonProbed, 0},
		"refused connection":    {func(b *Balancer) { b.NoteRefused(shortIncarnation(t1), now) }, ReasonEjected, unreachableFor},
		"suspected by peers":    {func(b *Balancer) { suspectBoth(b, t1, now) }, ReasonSuspected, 0},
		"cold":                  {func(b *Balancer) { b.Put(coldFor(t1, time.Minute), now) }, ReasonCold, time.Minute},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newWithTwoTargets(now)
			test.happens(b)
			statuses := b.TargetStatuses(now)
			is.Equal(len(statuses), 2)
			is.Equal(statuses[1].Incarnation, t1.Incarnation())
			is.Equal(statuses[1].Reason, test.want)
			is.Equal(statuses[1].Remaining, test.remaining)
		})
	}
}

// BenchmarkObserveNotice measures an answer with a notice, among many targets.
func BenchmarkObserveNotice(b *testing.B) {
	now := time.Now()
	balancer := New(DefaultOptions())
	incarnations := make([]string, 1900)
	for i := range incarnations {
		target := Target{ID: fmt.Sprint("t-", i), Born: 1, Service: "s", Slots: 64}
		incarnations[i] = target.Incarnation()
		balancer.Put(target, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		balancer.ObserveNotice(incarnations[i%len(incarnations)], backoffOf(time.Second), now)
	}
}

// BenchmarkClosed measures the check right before the first byte is sent.
func BenchmarkClosed(b *testing.B) {
	now := time.Now()
	balancer := newWithTwoTargets(now)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Closed("t@1000", now)
	}
}
