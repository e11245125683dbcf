package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// coldBound is what a cold target may get in any second.
var coldBound = balance.Bound{Multiple: 1.5, Extra: 5}

const coldRate = 8.9

// coldFleet are gateways that know a cold target and a full one, so that all that
// they have would go to the cold one.
type coldFleet struct {
	gateways []*balance.Balancer
	// sent are the moments at which the cold target got a request.
	sent []time.Time
}

func newColdFleet(count int, spread time.Duration, random *rand.Rand) *coldFleet {
	f := new(coldFleet)
	for i := range count {
		options := balance.DefaultOptions()
		options.Cold = coldBound
		b := balance.New(options)
		b.SetPeers(count - 1)
		b.SetGateways(balance.Gateways{Count: count, Place: i})
		b.SetCold("s", balance.ColdBound{Rate: coldRate, Start: 3 * time.Second})
		warm := target(1)
		warm.Slots = 1
		b.Put(warm, start)
		cold := target(0)
		cold.Slots, cold.ColdFor = 64, time.Hour
		learnt := start
		if spread > 0 {
			learnt = start.Add(time.Duration(random.Int64N(int64(spread))))
		}
		b.Put(cold, learnt)
		f.gateways = append(f.gateways, b)
	}
	return f
}

// step has each gateway offer a request.
func (f *coldFleet) step(now time.Time) {
	for _, b := range f.gateways {
		pick, ok := b.Choose(balance.Query{Service: "s", Exclude: []string{"t1"}}, now)
		if !ok {
			continue
		}
		if pick.Target.ID == "t0" {
			f.sent = append(f.sent, now)
		}
		b.Release(pick.Target.ID, balance.Good, now)
	}
}

// most is the largest number of requests in any second.
func (f *coldFleet) most() int {
	most, from := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestAColdTargetIsNotOverrun: found as FAILBACK on days with cold returns and a
// burst: each gateway sent as it liked, 25 requests in a second where 18 were allowed.
func TestAColdTargetIsNotOverrun(t *testing.T) {
	for _, count := range []int{1, 2, 4, 8, 9, 18, 26, 103, 370} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			f := newColdFleet(count, 300*time.Millisecond, rand.New(rand.NewPCG(1, uint64(count))))
			span := max(12*time.Second, time.Duration(count)*250*time.Millisecond)
			for at := time.Duration(0); at < span; at += 20 * time.Millisecond {
				f.step(start.Add(400*time.Millisecond + at))
			}
			is.True(float64(f.most()) <= coldBound.Multiple*coldRate+coldBound.Extra)
			// What it bears is used: while all ask for it, at least two thirds.
			is.True(float64(len(f.sent)) >= 2.0/3*coldRate*span.Seconds())
		})
	}
}

// TestAColdTargetIsNotOverrunByASurge: gateways that had nothing to send for a
// while don't catch up together.
func TestAColdTargetIsNotOverrunByASurge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "gateways")
		f := newColdFleet(count, 300*time.Millisecond, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)))
		surge := start.Add(400*time.Millisecond + time.Duration(rapid.IntRange(0, 20000).Draw(t, "surge"))*time.Millisecond)
		for at := time.Duration(0); at < 3*time.Second; at += 20 * time.Millisecond {
			f.step(surge.Add(at))
		}
		if limit := coldBound.Multiple*coldRate + coldBound.Extra; float64(f.most()) > limit {
			t.Fatalf("%d gateways sent %d within a second; %.1f are allowed", count, f.most(), limit)
		}
	})
}

// TestWhenATargetIsCold: by its entry, after an evacuation, and until when.
func TestWhenATargetIsCold(t *testing.T) {
	cold := func(left time.Duration) balance.Target {
		made := target(0)
		made.ColdFor = left
		return made
	}
	cases := map[string]struct {
		happens func(b *balance.Balancer)
		cold    bool
	}{
		"a warm entry":              {func(b *balance.Balancer) { b.Put(cold(0), start) }, false},
		"a cold entry":              {func(b *balance.Balancer) { b.Put(cold(2*time.Second), start) }, true},
		"its time is over":          {func(b *balance.Balancer) { b.Put(cold(2*time.Second), start.Add(-2*time.Second)) }, false},
		"cold, then warm":           {func(b *balance.Balancer) { b.Put(cold(time.Minute), start); b.Put(cold(0), start) }, false},
		"still evacuated":           {func(b *balance.Balancer) { b.SetEvacuated("a", true, start) }, true},
		"the end of an evacuation":  {func(b *balance.Balancer) { evacuate(b, start) }, true},
		"a while after it":          {func(b *balance.Balancer) { evacuate(b, start.Add(-4*time.Second)) }, false},
		"colder than an evacuation": {func(b *balance.Balancer) { b.Put(cold(time.Minute), start); evacuate(b, start.Add(-4*time.Second)) }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			b.SetGateways(balance.Gateways{Count: 1})
			b.SetCold("s", balance.ColdBound{Rate: 2, Start: 3 * time.Second})
			b.Put(target(0), start)
			tc.happens(b)
			taken := 0
			for i := range 20 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				if pick, ok := b.Choose(balance.Query{Service: "s"}, now); ok {
					taken++
					b.Release(pick.Target.ID, balance.Good, now)
				}
			}
			is.Equal(taken <= 1, tc.cold)
		})
	}
}

// evacuate has a data centre evacuated, and taken back at a moment.
func evacuate(b *balance.Balancer, end time.Time) {
	b.SetEvacuated("a", true, end.Add(-time.Second))
	b.SetEvacuated("a", false, end)
}

// TestAServiceWithoutABound: its cold targets get what others do.
func TestAServiceWithoutABound(t *testing.T) {
	is := is.New(t)
	b := balance.New(balance.DefaultOptions())
	cold := target(0)
	cold.ColdFor = time.Minute
	b.Put(cold, start)
	for range 50 {
		_, ok := b.Choose(balance.Query{Service: "s"}, start)
		is.True(ok)
	}
}

// TestOnlyTheFirstColdEntryIsUrgent: the others only say that time goes by.
func TestOnlyTheFirstColdEntryIsUrgent(t *testing.T) {
	is := is.New(t)
	b := balance.New(balance.DefaultOptions())
	cold := target(0)
	cold.ColdFor = 3 * time.Second
	is.True(b.Put(cold, start).TurnedCold)
	cold.ColdFor = 2 * time.Second
	is.True(!b.Put(cold, start.Add(time.Second)).TurnedCold)
	cold.ColdFor = 0
	is.True(!b.Put(cold, start.Add(3*time.Second)).TurnedCold)
	cold.ColdFor = 3 * time.Second
	is.True(b.Put(cold, start.Add(9*time.Second)).TurnedCold)
}
