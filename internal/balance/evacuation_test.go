package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// placed is a balancer with targets in two data centres, two in "far" and two
// in "near".
func placed() *balance.Balancer {
	b := balance.New(balance.DefaultOptions())
	for i, place := range []string{"far", "far", "near", "near"} {
		made := target(i)
		made.DataCenter = place
		b.Put(made, start)
	}
	return b
}

// chosenIn counts by data centre where choices that are released at once go.
func chosenIn(b *balance.Balancer, query func(i int) balance.Query, now time.Time) map[string]int {
	places := make(map[string]int)
	for i := range 60 {
		pick, ok := b.Choose(query(i), now)
		if !ok {
			places[""]++
			continue
		}
		places[pick.Target.DataCenter]++
		b.Release(pick.Target.ID, balance.Good, now)
	}
	return places
}

// TestAnEvacuatedDataCentreGetsNothing: nothing read the operators' request, and
// EVAC was broken on each day that had one.
func TestAnEvacuatedDataCentreGetsNothing(t *testing.T) {
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
		"sessions held there": {query: session, also: func(b *balance.Balancer) {
			for i := range 60 {
				b.Learn([]balance.Placement{{Part: shortPart(i), Target: uint32(policy.HashName("t0") >> 32)}})
			}
		}},
		"targets that failed elsewhere": {query: plain, also: func(b *balance.Balancer) {
			fail(b, "t2")
			fail(b, "t3")
		}},
		"its entries change":  {query: plain, also: func(b *balance.Balancer) { b.Put(far(0), start) }},
		"a target is added":   {query: plain, also: func(b *balance.Balancer) { b.Put(far(7), start) }},
		"said a second time":  {query: plain, also: func(b *balance.Balancer) { b.SetEvacuated("far", true, start) }},
		"its entries lapse":   {query: plain, also: func(b *balance.Balancer) { b.Drop("t0", start); b.Drop("t1", start) }},
		"another one is back": {query: plain, also: func(b *balance.Balancer) { b.SetEvacuated("near", true, start); b.SetEvacuated("near", false, start) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := placed()
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

// fail has a target left out for its failures.
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

func TestWhenAllIsEvacuatedNothingIsChosen(t *testing.T) {
	is := is.New(t)
	b := placed()
	b.SetEvacuated("far", true, start)
	b.SetEvacuated("near", true, start)
	_, ok := b.Choose(balance.Query{Service: "s"}, start)
	is.True(!ok)
	is.True(!b.Has(balance.Query{Service: "s"}, start))
	b.SetEvacuated("near", false, start)
	is.Equal(chosenIn(b, session, start), map[string]int{"near": 60})
	is.Equal(b.Evacuated(), []string{"far"})
}

// TestAnEvacuatedHolderIsASource: no request goes there, but what it holds need
// not be read again.
func TestAnEvacuatedHolderIsASource(t *testing.T) {
	is := is.New(t)
	b := placed()
	b.Learn([]balance.Placement{{Part: shortPart(1), Target: uint32(policy.HashName("t0") >> 32)}})
	b.SetEvacuated("far", true, start)
	pick, ok := b.Choose(session(1), start)
	is.True(ok)
	is.Equal(pick.Target.DataCenter, "near")
	is.Equal(pick.FetchFrom, target(0).Address)
	is.Equal(pick.Source, balance.SourceKnown)
}

// TestTheBoundIsOnTheMeanOfAll: found as LIMIT on a day with a data centre evacuated and
// a surge: the targets that were left filled up to the bound on their own mean.
func TestTheBoundIsOnTheMeanOfAll(t *testing.T) {
	cases := map[string]struct {
		evacuated bool
		held      int
		stays     bool
	}{
		"all serve, below the bound":          {false, 30, true},
		"a third is idle, above what is left": {true, 30, false},
		"a third is idle, below it":           {true, 24, true},
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

// longPrompt is a prompt's length in tokens that makes it dear to move.
const longPrompt = 5000
