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

// coldFleet is a set of gateways that know only a cold target and a full one, so that all
// requests go to the cold one.
type coldFleet struct {
	gateways []*balance.Balancer
	// sent holds the times at which the cold target got a request.
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
		learned := start
		if spread > 0 {
			learned = start.Add(time.Duration(random.Int64N(int64(spread))))
		}
		b.Put(cold, learned)
		f.gateways = append(f.gateways, b)
	}
	return f
}

// step lets each gateway offer a request.
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

// maxPerSecond returns the largest number of requests in any second.
func (f *coldFleet) maxPerSecond() int {
	highest, from := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[from]) >= time.Second {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// TestColdTargetRate guards against gateways sending to a cold target without coordination: it
// got 25 requests in a second where 18 were allowed. This broke FAILBACK on days with cold
// returns and a burst.
func TestColdTargetRate(t *testing.T) {
	for _, count := range []int{1, 2, 4, 8, 9, 18, 26, 103, 370} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			f := newColdFleet(count, 300*time.Millisecond, rand.New(rand.NewPCG(1, uint64(count))))
			span := max(12*time.Second, time.Duration(count)*250*time.Millisecond)
			for at := time.Duration(0); at < span; at += 20 * time.Millisecond {
				f.step(start.Add(400*time.Millisecond + at))
			}
			is.True(float64(f.maxPerSecond()) <= coldBound.Multiple*coldRate+coldBound.Extra)
			// The allowed rate is used: at least two thirds while all gateways have requests.
			is.True(float64(len(f.sent)) >= 2.0/3*coldRate*span.Seconds())
		})
	}
}

// TestColdTargetRateInSurge checks that gateways that had nothing to send for a while do not
// catch up at the same time.
func TestColdTargetRateInSurge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "gateways")
		f := newColdFleet(count, 300*time.Millisecond, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)))
		surge := start.Add(400*time.Millisecond + time.Duration(rapid.IntRange(0, 20000).Draw(t, "surge"))*time.Millisecond)
		for at := time.Duration(0); at < 3*time.Second; at += 20 * time.Millisecond {
			f.step(surge.Add(at))
		}
		if limit := coldBound.Multiple*coldRate + coldBound.Extra; float64(f.maxPerSecond()) > limit {
			t.Fatalf("%d gateways sent %d within a second; %.1f are allowed", count, f.maxPerSecond(), limit)
		}
	})
}

// TestColdPeriod checks when a target becomes cold, by its entry or after an evacuation, and
// until when.
func TestColdPeriod(t *testing.T) {
	cold := func(remaining time.Duration) balance.Target {
		made := target(0)
		made.ColdFor = remaining
		return made
	}
	cases := map[string]struct {
		happens func(b *balance.Balancer)
		cold    bool
	}{
		"warm entry":                               {func(b *balance.Balancer) { b.Put(cold(0), start) }, false},
		"cold entry":                               {func(b *balance.Balancer) { b.Put(cold(2*time.Second), start) }, true},
		"cold period over":                         {func(b *balance.Balancer) { b.Put(cold(2*time.Second), start.Add(-2*time.Second)) }, false},
		"cold, then warm":                          {func(b *balance.Balancer) { b.Put(cold(time.Minute), start); b.Put(cold(0), start) }, false},
		"during an evacuation":                     {func(b *balance.Balancer) { b.SetEvacuated("a", true, start) }, true},
		"after an evacuation":                      {func(b *balance.Balancer) { evacuate(b, start) }, true},
		"long after an evacuation":                 {func(b *balance.Balancer) { evacuate(b, start.Add(-4*time.Second)) }, false},
		"cold for longer than after an evacuation": {func(b *balance.Balancer) { b.Put(cold(time.Minute), start); evacuate(b, start.Add(-4*time.Second)) }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			b.SetGateways(balance.Gateways{Count: 1})
			b.SetCold("s", balance.ColdBound{Rate: 2, Start: 3 * time.Second})
			b.Put(target(0), start)
			tc.happens(b)
			chosen := 0
			for i := range 20 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				if pick, ok := b.Choose(balance.Query{Service: "s"}, now); ok {
					chosen++
					b.Release(pick.Target.ID, balance.Good, now)
				}
			}
			is.Equal(chosen <= 1, tc.cold)
		})
	}
}

// evacuate evacuates a data centre and ends the evacuation at a given time.
func evacuate(b *balance.Balancer, end time.Time) {
	b.SetEvacuated("a", true, end.Add(-time.Second))
	b.SetEvacuated("a", false, end)
}

// TestColdTargetWithoutBound checks that cold targets of a service without a bound get as many
// requests as others.
func TestColdTargetWithoutBound(t *testing.T) {
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

// TestTurnedCold checks that only the first cold entry is reported as a change to cold; later
// ones merely update the remaining time.
func TestTurnedCold(t *testing.T) {
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
