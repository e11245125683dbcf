package rollout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTalliesList(t *testing.T) {
	type answer struct {
		route, target string
		failed, slow  bool
	}
	chat, order := NameHash("chat"), NameHash("order")
	one, two := NameHash("one"), NameHash("two")
	tests := map[string]struct {
		// listed is added before the first list, and added after it.
		listed, added []answer
		limit         int
		want          []Tally
	}{
		"nothing": {limit: 9, want: []Tally{}},
		"other versions together": {
			added: []answer{{"chat", "", false, false}, {"chat", "", true, false}, {"chat", "", false, true}},
			limit: 9,
			want:  []Tally{{chat, 0, 3, 1, 1}},
		},
		"a failure isn't slow": {
			added: []answer{{"chat", "one", true, true}},
			limit: 9,
			want:  []Tally{{chat, one, 1, 1, 0}},
		},
		"the most new answers first, as totals": {
			listed: []answer{{"chat", "one", false, false}, {"chat", "one", true, false}, {"order", "two", false, false}},
			added:  []answer{{"order", "two", false, false}},
			limit:  9,
			want:   []Tally{{order, two, 2, 0, 0}, {chat, one, 2, 1, 0}},
		},
		"limited": {
			added: []answer{{"chat", "one", false, false}, {"order", "two", false, false}, {"order", "two", false, false}},
			limit: 1,
			want:  []Tally{{order, two, 2, 0, 0}},
		},
		"a negative limit is zero": {
			added: []answer{{"chat", "one", false, false}},
			limit: -1,
			want:  []Tally{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tallies := NewTallies()
			for _, a := range test.listed {
				tallies.Add(a.route, a.target, a.failed, a.slow)
			}
			tallies.List(9)
			for _, a := range test.added {
				tallies.Add(a.route, a.target, a.failed, a.slow)
			}
			is.Equal(tallies.List(test.limit), test.want)
		})
	}
}

// TestTalliesRotate checks that totals without new answers are listed in turn, as another gateway
// may need them.
func TestTalliesRotate(t *testing.T) {
	is := is.New(t)
	tallies := NewTallies()
	for i := range 10 {
		tallies.Add(fmt.Sprint("route-", i), "", false, false)
	}
	tallies.List(10)
	seen := make(map[uint32]bool)
	for range 5 {
		for _, tally := range tallies.List(2) {
			seen[tally.Route] = true
		}
	}
	is.Equal(len(seen), 10)
}

// TestTalliesAreBounded checks that routes beyond the limit are counted together, and that no
// answer is lost.
func TestTalliesAreBounded(t *testing.T) {
	is := is.New(t)
	tallies := NewTallies()
	for i := range maxTallyRoutes + 50 {
		for range 2 {
			tallies.Add(fmt.Sprint("route-", i), "", false, false)
		}
	}
	listed := tallies.List(10 * maxTallyRoutes)
	is.Equal(len(listed), maxTallyRoutes+1)
	is.Equal(listed[0], Tally{Route: otherRoutes, Answers: 100})
}

// TestTalliesAreTotals checks that the totals match a plain count, whatever was listed in
// between.
func TestTalliesAreTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tallies := NewTallies()
		want := make(map[tallyKey]Counts)
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			route := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route")
			target := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "target")
			failed := rapid.Bool().Draw(t, "failed")
			slow := rapid.Bool().Draw(t, "slow")
			tallies.Add(route, target, failed, slow)
			key := tallyKey{route: NameHash(route)}
			if target != "" {
				key.target = NameHash(target)
			}
			counts := Counts{Answers: 1}
			if failed {
				counts.Failed = 1
			} else if slow {
				counts.Slow = 1
			}
			want[key] = want[key].add(counts)
			if rapid.Bool().Draw(t, "list") {
				tallies.List(rapid.IntRange(0, 4).Draw(t, "most"))
			}
		}
		got := make(map[tallyKey]Counts)
		for _, tally := range tallies.List(100) {
			got[tallyKey{tally.Route, tally.Target}] = Counts{tally.Answers, tally.Failed, tally.Slow}
		}
		is.New(t).Equal(got, want)
	})
}

func BenchmarkTalliesAdd(b *testing.B) {
	tallies := NewTallies()
	routes, targets := make([]string, 30), make([]string, 17)
	for i := range routes {
		routes[i] = fmt.Sprint("route-", i)
	}
	for i := range 16 {
		targets[i] = fmt.Sprint("target-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tallies.Add(routes[i%len(routes)], targets[i%len(targets)], i%50 == 0, false)
	}
}

func BenchmarkTalliesList(b *testing.B) {
	tallies := NewTallies()
	for route := range 30 {
		for target := range 16 {
			tallies.Add(fmt.Sprint("route-", route), fmt.Sprint("target-", target), false, false)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		tallies.List(64)
	}
}
