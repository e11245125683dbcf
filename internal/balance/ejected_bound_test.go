package balance_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// TestBoundCountsEjectedTargets guards against applying the bound to the mean of the targets
// that are not ejected: while half of them are, the others fill up to four times the mean.
func TestBoundCountsEjectedTargets(t *testing.T) {
	const targets, requests = 18, 200
	fail := func(b *balance.Balancer, ids []string) {
		for _, id := range ids {
			failRequests(b, id, targets, 3)
		}
	}
	suspect := func(b *balance.Balancer, ids []string) {
		var suspects []uint32
		for _, id := range ids {
			suspects = append(suspects, short(id))
		}
		b.ObserveSuspects("one", suspects, start)
		b.ObserveSuspects("other", suspects, start)
	}
	cases := map[string]struct {
		exclude  func(b *balance.Balancer, ids []string)
		excluded int
		// prompt is the length of the sessions' prompts, in tokens.
		prompt   int
		versions balance.Versions
	}{
		"half of them ejected, short prompts":      {fail, targets / 2, 500, balance.Versions{}},
		"half of them ejected, long prompts":       {fail, targets / 2, longPrompt, balance.Versions{}},
		"half of them ejected, versions preferred": {fail, targets / 2, longPrompt, balance.Versions{Preferred: "v"}},
		"a third ejected":                          {fail, targets / 3, longPrompt, balance.Versions{}},
		"some suspected by other gateways":         {suspect, 3, longPrompt, balance.Versions{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(targets)
			var ids []string
			for i := range targets {
				ids = append(ids, target(i).ID)
			}
			tc.exclude(b, ids[:tc.excluded])
			held := make(map[string]int)
			for i := range requests {
				query := session(i % 3)
				query.Tokens, query.Versions = []int{tc.prompt}, tc.versions
				pick, ok := b.Choose(query, start)
				is.True(ok)
				before := float64(held[pick.Target.ID])
				is.True(before <= 2*float64(i)/targets+3) // The bound of DefaultOptions.
				held[pick.Target.ID]++
			}
			for _, id := range ids[:tc.excluded] {
				is.Equal(held[id], 0)
			}
		})
	}
}

// failRequests fails requests at one of a service's targets.
func failRequests(b *balance.Balancer, id string, targets, count int) {
	var others []string
	for i := range targets {
		if other := target(i).ID; other != id {
			others = append(others, other)
		}
	}
	for range count {
		pick, _ := b.Choose(balance.Query{Service: "s", Exclude: others}, start)
		b.Release(pick.Target.ID, balance.Lost, start)
	}
}
