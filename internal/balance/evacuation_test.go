package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// newTwoDataCenters returns a balancer with two targets in the data centre "far" and two in
// "near".
func newTwoDataCenters() *balance.Balancer {
	b := balance.New(balance.DefaultOptions())
	for i, dataCenter := range []string{"far", "far", "near", "near"} {
		made := target(i)
		made.DataCenter = dataCenter
		b.Put(made, start)
	}
	return b
}

// chosenIn counts choices by data centre. Each choice is released immediately.
func chosenIn(b *balance.Balancer, query func(i int) balance.Query, now time.Time) map[string]int {
	counts := make(map[string]int)
	for i := range 60 {
		pick, ok := b.Choose(query(i), now)
		if !ok {
			counts[""]++
			continue
		}
		counts[pick.Target.DataCenter]++
		b.Release(pick.Target.ID, balance.Good, now)
	}
	return counts
}

// TestEvacuatedDataCenter guards against ignoring the operators' evacuation, which broke EVAC
// on each day with an evacuation.
func TestEvacuatedDataCenter(t *testing.T) {
	plain := func(int) balance.Query { return balance.Query{Service: "s"} }
	cases := map[string]struct {
		query func(i int) balance.Query
		also  func(b *balance.Balancer)
	}{
		"plain requests": {query: plain},
		"sessions":       {query: session},
		"a second attempt": {query: func(int) balance.Query {
			return balance.Query{Service: "s", Exclude: []string{"t2"}}
		}},
		"sessions held in the data centre": {query: session, also: func(b *balance.Balancer) {
			for i := range 60 {
				b.Learn([]balance.Placement{{Part: shortPart(i), Target: uint32(policy.HashName("t0") >> 32)}})
			}
		}},
		"targets elsewhere have failed": {query: plain, also: func(b *balance.Balancer) {
			fail(b, "t2")
			fail(b, "t3")
		}},
		"an entry changes":        {query: plain, also: func(b *balance.Balancer) { b.Put(far(0), start) }},
		"a target is added":       {query: plain, also: func(b *balance.Balancer) { b.Put(far(7), start) }},
		"evacuated again":         {query: plain, also: func(b *balance.Balancer) { b.SetEvacuated("far", true, start) }},
		"its entries expire":      {query: plain, also: func(b *balance.Balancer) { b.Drop("t0", start); b.Drop("t1", start) }},
		"another evacuation ends": {query: plain, also: func(b *balance.Balancer) { b.SetEvacuated("near", true, start); b.SetEvacuated("near", false, start) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTwoDataCenters()
			chosenIn(b, tc.query, start)
			is.True(b.SetEvacuated("far", true, start))
			if tc.also != nil {
				tc.also(b)
			}
			is.Equal(chosenIn(b, tc.query, start)["far"], 0)
		})
	}
}

func far(i int) balance.Target {
	made := target(i)
	made.DataCenter = "far"
	return made
}

func shortPart(i int) uint32 { return uint32(session(i).Parts[0] >> 32) }

// fail ejects a target for its failures.
func fail(b *balance.Balancer, id string) {
	for range 10 {
		var others []string
		for i := range 9 {
			if other := fmt.Sprintf("t%d", i); other != id {
				others = append(others, other)
			}
		}
		if _, ok := b.Choose(balance.Query{Service: "s", Exclude: others}, start); !ok {
			return
		}
		b.Release(id, balance.Refused, start)
	}
}

func TestAllDataCentersEvacuated(t *testing.T) {
	is := is.New(t)
	b := newTwoDataCenters()
	b.SetEvacuated("far", true, start)
	b.SetEvacuated("near", true, start)
	_, ok := b.Choose(balance.Query{Service: "s"}, start)
	is.True(!ok)
	is.True(!b.Has(balance.Query{Service: "s"}, start))
	b.SetEvacuated("near", false, start)
	is.Equal(chosenIn(b, session, start), map[string]int{"near": 60})
	is.Equal(b.Evacuated(), []string{"far"})
}

// TestEvacuatedHolderIsSource checks that an evacuated holder gets no request, but that the
// prompts it holds are fetched and not prefilled again.
func TestEvacuatedHolderIsSource(t *testing.T) {
	is := is.New(t)
	b := newTwoDataCenters()
	b.Learn([]balance.Placement{{Part: shortPart(1), Target: uint32(policy.HashName("t0") >> 32)}})
	b.SetEvacuated("far", true, start)
	pick, ok := b.Choose(session(1), start)
	is.True(ok)
	is.Equal(pick.Target.DataCenter, "near")
	is.Equal(pick.FetchFrom, target(0).Address)
	is.Equal(pick.Source, balance.SourceKnown)
}

// TestBoundWithIdleTargets guards against applying the bound to the mean of the remaining
// targets only: on a day with an evacuated data centre and a surge they filled up to that
// bound, which broke LIMIT.
func TestBoundWithIdleTargets(t *testing.T) {
	cases := map[string]struct {
		evacuated bool
		held      int
		stays     bool
	}{
		"all targets serve, below the bound": {false, 30, true},
		"a third is idle, above the bound":   {true, 30, false},
		"a third is idle, below the bound":   {true, 24, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(6)
			for i := range 2 {
				b.Put(far(i), start)
			}
			long := session(1)
			long.Tokens = []int{longPrompt}
			home := "t5"
			b.Learn([]balance.Placement{{Part: shortPart(1), Target: short(home)}})
			var counts []balance.Count
			for i := 2; i < 6; i++ {
				load := 20
				if target(i).ID == home {
					load = tc.held
				}
				counts = append(counts, balance.Count{Target: policy.HashName(target(i).ID), Count: load})
			}
			if !tc.evacuated {
				counts = append(counts, balance.Count{Target: policy.HashName("t0"), Count: 20}, balance.Count{Target: policy.HashName("t1"), Count: 20})
			}
			b.Observe("other", counts, start)
			b.SetEvacuated("far", tc.evacuated, start)
			pick, ok := b.Choose(long, start)
			is.True(ok)
			is.Equal(pick.Target.ID == home, tc.stays)
		})
	}
}

// longPrompt is a prompt length in tokens at which moving the prompt is expensive.
const longPrompt = 5000
