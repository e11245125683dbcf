package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// lose records lost requests of this process at a target.
func lose(b *balance.Balancer, id string, times int, now time.Time) {
	for range times {
		b.Release(id, balance.Lost, now)
	}
}

// getsRequests reports whether a target is chosen at a given time.
func getsRequests(b *balance.Balancer, id string, now time.Time) bool {
	for range 40 {
		pick, ok := b.Choose(balance.Query{Service: "s"}, now)
		if !ok {
			return false
		}
		defer b.Release(pick.Target.ID, balance.Neutral, now)
		if pick.Target.ID == id {
			return true
		}
	}
	return false
}

// TestSuspectedTargetIsExcluded guards against slow detection: 22 of 26 gateways found the
// first unreachable engine of a surge one by one, by the time-outs of their own callers, over
// 3 s.
func TestSuspectedTargetIsExcluded(t *testing.T) {
	suspect := []uint32{short("t1")}
	cases := map[string]struct {
		happens func(b *balance.Balancer)
		leftOut bool
	}{
		"no gateway":  {func(*balance.Balancer) {}, false},
		"one gateway": {func(b *balance.Balancer) { b.ObserveSuspects("g1", suspect, start) }, false},
		"one gateway, twice": {func(b *balance.Balancer) {
			b.ObserveSuspects("g1", suspect, start)
			b.ObserveSuspects("g1", suspect, start)
		}, false},
		"two gateways": {func(b *balance.Balancer) {
			b.ObserveSuspects("g1", suspect, start)
			b.ObserveSuspects("g2", suspect, start)
		}, true},
		"one gateway and this one": {func(b *balance.Balancer) { b.ObserveSuspects("g1", suspect, start); lose(b, "t1", 1, start) }, true},
		"only this gateway":        {func(b *balance.Balancer) { lose(b, "t1", 1, start) }, false},
		"one of two no longer suspects it": {func(b *balance.Balancer) {
			b.ObserveSuspects("g1", suspect, start)
			b.ObserveSuspects("g2", suspect, start)
			b.ObserveSuspects("g2", nil, start)
		}, false},
		"answered here since": {func(b *balance.Balancer) {
			b.ObserveSuspects("g1", suspect, start.Add(-time.Second))
			b.ObserveSuspects("g2", suspect, start.Add(-time.Second))
			b.Release("t1", balance.Good, start.Add(-time.Second/2))
		}, false},
		"expired": {func(b *balance.Balancer) {
			b.ObserveSuspects("g1", suspect, start.Add(-2*time.Second))
			b.ObserveSuspects("g2", suspect, start.Add(-2*time.Second))
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(6)
			tc.happens(b)
			is.Equal(!getsRequests(b, "t1", start), tc.leftOut)
		})
	}
}

// TestSuspicionsExcludeAtMostHalf checks that half of the targets keep serving. Otherwise
// gateways that are cut off together would leave none.
func TestSuspicionsExcludeAtMostHalf(t *testing.T) {
	is := is.New(t)
	b := newBalancer(6)
	suspects := []uint32{short("t0"), short("t1"), short("t2"), short("t3"), short("t4")}
	b.ObserveSuspects("g1", suspects, start)
	b.ObserveSuspects("g2", suspects, start)
	is.Equal(openAt(b, start), 3)
}

func TestSuspects(t *testing.T) {
	is := is.New(t)
	b := newBalancer(12)
	is.Equal(len(b.Suspects(start)), 0)
	lose(b, "t1", 2, start)
	b.Release("t2", balance.Unreachable, start)
	b.Release("t3", balance.Bad, start) // it has answered, although incorrectly
	is.Equal(len(b.Suspects(start)), 2)
	is.Equal(len(b.Suspects(start.Add(2*time.Second))), 0) // long ago
	b.Release("t1", balance.Good, start.Add(time.Millisecond))
	is.Equal(b.Suspects(start.Add(time.Second)), []uint32{short("t2")})
	for i := range 12 {
		lose(b, target(i).ID, 1, start.Add(time.Second))
	}
	is.Equal(len(b.Suspects(start.Add(time.Second))), 0) // the fault is more likely this gateway's
}

// TestSuspectedTargetReportedOnce checks that a suspected target is reported once, although
// each gateway's heartbeats repeat its suspicions.
func TestSuspectedTargetReportedOnce(t *testing.T) {
	is := is.New(t)
	b := newBalancer(4)
	suspect := []uint32{short("t1"), 12345}
	is.Equal(len(b.ObserveSuspects("g1", suspect, start)), 0)
	is.Equal(b.ObserveSuspects("g2", suspect, start), []string{"t1"})
	is.Equal(len(b.ObserveSuspects("g2", suspect, start.Add(time.Millisecond))), 0)
	is.Equal(len(b.ObserveSuspects("g3", suspect, start.Add(time.Millisecond))), 0)
}
