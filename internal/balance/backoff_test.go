package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// restOf is a wish for rest.
func restOf(length time.Duration) Notice { return Notice{RetryAfter: length} }

// TestARestHolds: until its end, against whatever becomes known of the target by other ways.
func TestARestHolds(t *testing.T) {
	t1 := lifeOf(1000)
	later := time.Now()
	cases := map[string]func(b *Balancer, now time.Time){
		"nothing happens":  func(*Balancer, time.Time) {},
		"it asks for less": func(b *Balancer, now time.Time) { b.ObserveNotice(t1.Incarnation(), restOf(time.Second), now) },
		"it answers others": func(b *Balancer, now time.Time) {
			b.ObserveNotice(t1.Incarnation(), Notice{}, now)
			b.Release(t1.Incarnation(), Good, now)
		},
		"an earlier try is answered":          func(b *Balancer, now time.Time) { b.EndProbe(t1.Incarnation(), true, now) },
		"an earlier try is lost":              func(b *Balancer, now time.Time) { b.EndProbe(t1.Incarnation(), false, now) },
		"its entry says that it takes work":   func(b *Balancer, now time.Time) { b.Put(t1, now) },
		"its entry goes and comes back":       func(b *Balancer, now time.Time) { b.Drop("t", now); b.Put(t1, now) },
		"its entry goes, and it is not back":  func(b *Balancer, now time.Time) { b.Drop("t", now) },
		"all entries lapse":                   func(b *Balancer, now time.Time) { b.Drop("t", now); b.Drop("other", now) },
		"all others leave":                    func(b *Balancer, now time.Time) { b.ObserveNotice("other@1000", Notice{Leaving: true}, now) },
		"records are cleared":                 func(b *Balancer, _ time.Time) { b.Forgive() },
		"its data centre returns":             func(b *Balancer, now time.Time) { b.SetEvacuated("", true, now); b.SetEvacuated("", false, now) },
		"it changes its service and back":     func(b *Balancer, now time.Time) { moved := t1; moved.Service = "x"; b.Put(moved, now); b.Put(t1, now) },
		"the start of its life is stated now": func(b *Balancer, now time.Time) { b.Put(t1, now) },
	}
	for name, happens := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := saying(later)
			is.True(b.ObserveNotice(t1.Incarnation(), restOf(3*time.Second), later).BackingOff)
			is.True(!b.ObserveNotice(t1.Incarnation(), restOf(3*time.Second+time.Millisecond), later).BackingOff) // no news
			happens(b, later.Add(time.Second))
			for _, after := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
				is.True(!chosen(b, later.Add(after)))
				is.True(b.Closed(t1.Incarnation(), later.Add(after)))
			}
			is.True(!b.Closed(t1.Incarnation(), later.Add(4*time.Second)))
		})
	}
}

// TestARestOutlivesWhatIsForgotten: an entry that lapsed for longer than targets are kept comes
// back while the target still rests.
func TestARestOutlivesWhatIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := saying(now)
	b.ObserveNotice("t@1000", restOf(time.Hour), now)
	b.Drop("t", now)
	b.Drop("t", now.Add(2*forgetAfter))
	is.Equal(len(b.pastAnnouncements), 1)
	b.Put(lifeOf(1000), now.Add(3*forgetAfter))
	is.True(!chosen(b, now.Add(59*time.Minute)))
	is.Equal(tries(b, now.Add(61*time.Minute)), 1)
}

// TestAnotherLifeDoesNotRest: what was asked for was for the one before.
func TestAnotherLifeDoesNotRest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := saying(now)
	b.ObserveNotice("t@1000", restOf(time.Hour), now)
	b.Put(lifeOf(2000), now)
	is.True(chosen(b, now))
}

// tries counts how often t is chosen for one of many requests of which none ends.
func tries(b *Balancer, now time.Time) int {
	count := 0
	for range 40 {
		if pick, ok := b.Choose(Query{Service: "s"}, now); ok && pick.Target.ID == "t" {
			count++
		}
	}
	return count
}

// TestOneRequestTriesFirst: after a rest, and others follow by its answer.
func TestOneRequestTriesFirst(t *testing.T) {
	begin := time.Now()
	back := begin.Add(4 * time.Second)
	cases := map[string]struct {
		ends func(b *Balancer)
		// first and later are how many are chosen at once after that and a second later; at
		// most, if they may be many.
		first, later int
	}{
		"it is under way": {func(*Balancer) {}, 0, 1},
		"it is answered":  {func(b *Balancer) { b.EndProbe("t@1000", true, back) }, 20, 20},
		"it is lost":      {func(b *Balancer) { b.EndProbe("t@1000", false, back) }, 1, 1},
		"the target rests again": {func(b *Balancer) {
			b.ObserveNotice("t@1000", restOf(3*time.Second), back)
			b.EndProbe("t@1000", false, back)
		}, 0, 0},
		"an older one is told rest": {func(b *Balancer) {
			b.ObserveNotice("t@1000", restOf(3*time.Second), back)
			b.EndProbe("t@1000", true, back)
		}, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := saying(begin)
			b.ObserveNotice("t@1000", restOf(3*time.Second), begin)
			is.Equal(tries(b, back), 1)
			test.ends(b)
			is.Equal(min(tries(b, back.Add(time.Millisecond)), test.first), test.first)
			if test.first <= 1 {
				is.Equal(tries(b, back.Add(2*time.Millisecond)), 0)
			}
			is.Equal(min(tries(b, back.Add(probeTimeout+10*time.Millisecond)), test.later), test.later)
		})
	}
}

// TestTriesOfManyGatewaysAreSpread: they were all asked at the same moment.
func TestTriesOfManyGatewaysAreSpread(t *testing.T) {
	for name, count := range map[string]int{"few": 4, "a hundred": 103, "hundreds": 370} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var offsets []time.Duration
			for place := range count {
				b := saying(now)
				b.SetGateways(Gateways{Count: count, Place: place})
				b.ObserveNotice("t@1000", restOf(time.Second), now)
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

// TestTheOthersBearTheShareOfTargetsThatRest: within the bound on the mean of all.
func TestTheOthersBearTheShareOfTargetsThatRest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		b.Put(Target{ID: id, Service: "s", Slots: 64}, now)
	}
	for _, id := range ids[:2] {
		b.ObserveNotice(id, restOf(time.Minute), now)
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

// TestRoomWhileTargetsRest: it is that of the others. Where none is left, and where the first
// try is due, nobody is to wait.
func TestRoomWhileTargetsRest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := New(DefaultOptions())
	for _, id := range []string{"a", "b"} {
		b.Put(Target{ID: id, Service: "s", Slots: 8}, now)
	}
	whole := b.Room("s", Versions{}, 100, now)
	b.ObserveNotice("a", restOf(time.Second), now)
	is.Equal(b.Room("s", Versions{}, 100, now), whole/2)
	b.ObserveNotice("b", restOf(time.Second), now)
	is.Equal(b.Room("s", Versions{}, 100, now), 100)
	back := now.Add(1100 * time.Millisecond)
	is.Equal(b.Room("s", Versions{}, 100, back), 100)
	b.Choose(Query{Service: "s"}, back)
	b.EndProbe("a", true, back)
	b.EndProbe("b", true, back)
	is.True(b.Room("s", Versions{}, 100, back) < whole+1)
}

// TestBackIn: callers for whom nobody is open are told when the first one is back, and not all
// the same.
func TestBackIn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := saying(now)
	query := Query{Service: "s"}
	_, ok := b.RetryIn(query, now)
	is.True(!ok)
	b.ObserveNotice("t@1000", restOf(4*time.Second), now)
	_, ok = b.RetryIn(query, now)
	is.True(!ok) // the other one is open
	b.ObserveNotice("other@1000", restOf(8*time.Second), now)
	told := make(map[time.Duration]bool)
	for range 50 {
		back, ok := b.RetryIn(query, now.Add(time.Second))
		is.True(ok)
		is.True(back >= 3*time.Second && back < 4*time.Second)
		told[back] = true
	}
	is.True(len(told) > 10)
	b.ObserveNotice("t@1000", Notice{Leaving: true}, now)
	back, ok := b.RetryIn(query, now)
	is.True(ok)
	is.True(back >= 8*time.Second)
	b.ObserveNotice("other@1000", restOf(time.Hour), now)
	back, ok = b.RetryIn(query, now)
	is.True(ok)
	is.True(back >= maxRetryIn && back <= maxRetryIn+maxRetrySpread) // somebody else may join
	b.ObserveNotice("other@1000", Notice{Leaving: true}, now)
	_, ok = b.RetryIn(query, now)
	is.True(!ok) // nobody is known to come back
}

// TestATargetThatRestsIsNeverChosen: whatever comes in whichever order; and no more than one
// request at a time tries.
func TestATargetThatRestsIsNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		b := New(DefaultOptions())
		until := make(map[string]time.Time)
		trying := make(map[string]time.Time)
		id := rapid.SampledFrom([]string{"a", "b"})
		born := rapid.SampledFrom([]int64{1, 2})
		drawn := func(t *rapid.T) Target {
			return Target{ID: id.Draw(t, "id"), Born: born.Draw(t, "born"), Service: "s", DataCenter: "d"}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { b.Put(drawn(t), now) },
			"drop":    func(t *rapid.T) { b.Drop(id.Draw(t, "id"), now) },
			"odd":     func(t *rapid.T) { b.SetUnusable(id.Draw(t, "id")) },
			"restore": func(t *rapid.T) { b.Restore([]Target{drawn(t)}, now) },
			"forgive": func(*rapid.T) { b.Forgive() },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"evacuate": func(t *rapid.T) { b.SetEvacuated("d", rapid.Bool().Draw(t, "evacuated"), now) },
			"choose": func(t *rapid.T) {
				pick, ok := b.Choose(Query{Service: "s"}, now)
				if !ok {
					return
				}
				life := pick.Target.Incarnation()
				if now.Before(until[life]) {
					t.Fatalf("%s was chosen and rests", life)
				}
				if pick.Probe && now.Sub(trying[life]) < probeTimeout {
					t.Fatalf("%s is tried by two at once", life)
				}
				asks := time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest")) * time.Millisecond
				switch {
				case rapid.Bool().Draw(t, "unanswered"):
					trying[life] = now
				case asks > 0:
					b.ObserveNotice(life, restOf(asks), now)
					if end := now.Add(asks); end.After(until[life]) {
						until[life] = end
					}
					delete(trying, life)
				case pick.Probe:
					b.EndProbe(life, true, now)
					delete(trying, life)
				}
				b.Release(life, rapid.SampledFrom([]Result{Good, Bad, Neutral}).Draw(t, "result"), now)
			},
		})
	})
}

// TestStandings: each reason for which a target gets nothing, in the order in which they hold.
func TestStandings(t *testing.T) {
	now := time.Now()
	t1 := lifeOf(1000)
	cases := map[string]struct {
		happens func(b *Balancer)
		want    Reason
		left    time.Duration
	}{
		"nothing":                     {func(*Balancer) {}, ReasonNone, 0},
		"its entry says that it ends": {func(b *Balancer) { b.Put(leaving(t1), now) }, ReasonEntry, 0},
		"its answers say so": {func(b *Balancer) {
			b.ObserveNotice(t1.Incarnation(), restOf(time.Minute), now)
			b.ObserveNotice(t1.Incarnation(), Notice{Leaving: true}, now)
		}, ReasonAnswer, 0},
		"its entry is gone":           {func(b *Balancer) { b.Drop("t", now) }, ReasonUnlisted, 0},
		"its data centre is emptied":  {func(b *Balancer) { b.SetEvacuated("", true, now) }, ReasonEvacuated, 0},
		"it rests":                    {func(b *Balancer) { b.ObserveNotice(t1.Incarnation(), restOf(time.Minute), now) }, ReasonBackoff, time.Minute},
		"its rest is over":            {func(b *Balancer) { b.ObserveNotice(t1.Incarnation(), restOf(time.Second), now.Add(-2*time.Second)) }, ReasonProbed, 0},
		"it has refused a connection": {func(b *Balancer) { b.NoteRefused(shortLife(t1), now) }, ReasonEjected, unreachableFor},
		"others get no answer":        {func(b *Balancer) { suspectBoth(b, t1, now) }, ReasonSuspected, 0},
		"it has just started":         {func(b *Balancer) { b.Put(coldFor(t1, time.Minute), now) }, ReasonCold, time.Minute},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := saying(now)
			test.happens(b)
			found := b.TargetStatuses(now)
			is.Equal(len(found), 2)
			is.Equal(found[1].Incarnation, t1.Incarnation())
			is.Equal(found[1].Reason, test.want)
			is.Equal(found[1].Remaining, test.left)
		})
	}
}

// BenchmarkHeed is what an answer costs that says something, among many targets.
func BenchmarkHeed(b *testing.B) {
	now := time.Now()
	made := New(DefaultOptions())
	lives := make([]string, 1900)
	for i := range lives {
		target := Target{ID: fmt.Sprint("t-", i), Born: 1, Service: "s", Slots: 64}
		lives[i] = target.Incarnation()
		made.Put(target, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		made.ObserveNotice(lives[i%len(lives)], restOf(time.Second), now)
	}
}

// BenchmarkClosed is what the look right before a first byte costs.
func BenchmarkClosed(b *testing.B) {
	now := time.Now()
	made := saying(now)
	b.ReportAllocs()
	for b.Loop() {
		made.Closed("t@1000", now)
	}
}
