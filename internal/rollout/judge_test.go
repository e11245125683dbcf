package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// otherVersionsTally returns the tally of other versions whose answers on a route were all good.
func otherVersionsTally(route uint32, answers int) Tally {
	return Tally{Route: route, Answers: answers}
}

// addRounds adds a gateway's report often enough that nothing stays deferred.
func addRounds(judge *Judge, tallies ...Tally) {
	for range maxDeferRounds + 1 {
		judge.AddReport("gateway", tallies)
	}
}

func TestJudge(t *testing.T) {
	const a, b, rare = 11, 12, 13
	good := []Tally{otherVersionsTally(a, 400), otherVersionsTally(b, 400), {a, 1, 30, 0, 0}, {a, 2, 30, 0, 0}, {b, 1, 30, 0, 0}, {b, 2, 30, 0, 0}}
	tests := map[string]struct {
		tallies      []Tally
		verdict      Verdict
		reason       string
		undersampled []uint32
		clean        bool
	}{
		"nothing is known": {verdict: Undecided, reason: "0 of 0 routes"},
		"no answers of the version": {
			tallies: []Tally{otherVersionsTally(a, 400), otherVersionsTally(b, 400)},
			verdict: Undecided, reason: "0 of 2 routes", undersampled: []uint32{a, b},
		},
		"good on all routes": {
			tallies: good,
			verdict: Good, reason: "2 of 2 routes", clean: true,
		},
		"a small sample on one route": {
			tallies: []Tally{otherVersionsTally(a, 400), otherVersionsTally(b, 400), {a, 1, 30, 0, 0}, {b, 2, 8, 0, 0}},
			verdict: Undecided, reason: "1 of 2 routes", undersampled: []uint32{b}, clean: true,
		},
		"a route without traffic needs no sample": {
			tallies: append(slices.Clone(good), otherVersionsTally(rare, minRouteAnswers-1)),
			verdict: Good, reason: "2 of 2 routes", clean: true,
		},
		"bad on one route": {
			tallies: []Tally{otherVersionsTally(a, 400), otherVersionsTally(b, 400), {a, 1, 30, 0, 0}, {a, 2, 30, 0, 0}, {b, 1, 20, 8, 0}, {b, 2, 20, 8, 0}},
			verdict: Bad, reason: "route 0000000c: 16 of 40 answers failed at 2 targets of the version, 0 of 400 at the others",
		},
		"slow on one route": {
			tallies: []Tally{otherVersionsTally(a, 400), otherVersionsTally(b, 400), {a, 1, 30, 0, 0}, {a, 2, 30, 0, 0}, {b, 1, 20, 0, 9}, {b, 2, 20, 0, 9}},
			verdict: Bad, reason: "route 0000000c: 18 of 40 successful answers were slow at 2 targets of the version, 0 of 400 at the others",
		},
		"as many failures as the others have": {
			tallies: []Tally{{a, 0, 400, 56, 0}, {a, 1, 50, 7, 0}, {a, 2, 50, 7, 0}},
			verdict: Good, reason: "1 of 1 routes", clean: true,
		},
		"many failures need a larger sample": {
			tallies: []Tally{{a, 0, 400, 56, 0}, {a, 1, 12, 2, 0}, {a, 2, 12, 2, 0}},
			verdict: Undecided, reason: "0 of 1 routes", undersampled: []uint32{a}, clean: true,
		},
		"more failures than the others have": {
			tallies: []Tally{{a, 0, 400, 56, 0}, {a, 1, 50, 30, 0}, {a, 2, 50, 30, 0}},
			verdict: Bad, reason: "60 of 100 answers failed at 2 targets of the version, 56 of 400",
		},
		"one broken target of two": {
			tallies: []Tally{otherVersionsTally(a, 400), {a, 1, 40, 36, 0}, {a, 2, 40, 0, 0}},
			verdict: Good, reason: "1 of 1 routes", clean: true,
		},
		"two broken targets of five": {
			tallies: []Tally{otherVersionsTally(a, 400), {a, 1, 20, 18, 0}, {a, 2, 20, 18, 0}, {a, 3, 20, 0, 0}, {a, 4, 20, 0, 0}, {a, 5, 20, 0, 0}},
			verdict: Good, reason: "1 of 1 routes", clean: true,
		},
		"a single target": {
			tallies: []Tally{otherVersionsTally(a, 400), {a, 1, 20, 9, 0}},
			verdict: Bad, reason: "9 of 20 answers failed at 1 targets",
		},
		"rare routes share a combined sample": {
			tallies: append(slices.Clone(good), otherVersionsTally(rare, 20), otherVersionsTally(rare+1, 20), Tally{rare, 1, 15, 0, 0}, Tally{rare + 1, 1, 15, 0, 0}),
			verdict: Good, reason: "4 of 4 routes", clean: true,
		},
		"rare routes without any sample": {
			tallies: append(slices.Clone(good), otherVersionsTally(rare, 20), otherVersionsTally(rare+1, 20)),
			verdict: Undecided, reason: "2 of 4 routes", undersampled: []uint32{rare, rare + 1}, clean: true,
		},
		"bad on rare routes together": {
			tallies: append(slices.Clone(good), otherVersionsTally(rare, 20), otherVersionsTally(rare+1, 20), Tally{rare, 1, 4, 2, 0}, Tally{rare + 1, 2, 4, 2, 0}),
			verdict: Bad, reason: "routes with few requests together: 4 of 8 answers failed",
		},
		"suspect on one route": {
			tallies: []Tally{otherVersionsTally(a, 400), otherVersionsTally(b, 400), {a, 1, 40, 0, 0}, {a, 2, 40, 0, 0}, {b, 1, 4, 1, 0}, {b, 2, 4, 1, 0}},
			verdict: Undecided, reason: "1 of 2 routes", undersampled: []uint32{b},
		},
		"suspect on rare routes together": {
			tallies: append(slices.Clone(good), otherVersionsTally(rare, 20), otherVersionsTally(rare+1, 20), Tally{rare, 1, 5, 1, 0}, Tally{rare + 1, 1, 5, 1, 0}),
			verdict: Undecided, reason: "2 of 4 routes", undersampled: []uint32{rare, rare + 1},
		},
		"suspect on the only route": {
			tallies: []Tally{otherVersionsTally(a, 400), {a, 1, 4, 1, 0}, {a, 2, 4, 1, 0}},
			verdict: Undecided, reason: "0 of 1 routes", undersampled: []uint32{a},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			judge := NewJudge()
			addRounds(judge, test.tallies...)
			verdict, reason := judge.Verdict()
			t.Log(verdict, reason)
			is.Equal(verdict, test.verdict)
			is.True(strings.Contains(reason, test.reason))
			is.Equal(judge.UndersampledRoutes(), test.undersampled)
			is.Equal(judge.Clean(), test.clean)
			is.Equal(judge.Ignored(), 0)
		})
	}
}

// TestBadAfterGood checks that a good version that turns bad is found, and stays bad.
func TestBadAfterGood(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	addRounds(judge, otherVersionsTally(1, 900), Tally{1, 1, 200, 0, 0}, Tally{1, 2, 200, 0, 0})
	verdict, _ := judge.Verdict()
	is.Equal(verdict, Good)
	addRounds(judge, otherVersionsTally(1, 900), Tally{1, 1, 202, 1, 0}, Tally{1, 2, 202, 1, 0})
	verdict, _ = judge.Verdict()
	is.Equal(verdict, Undecided)
	is.Equal(judge.UndersampledRoutes(), []uint32{1})
	addRounds(judge, otherVersionsTally(1, 900), Tally{1, 1, 206, 4, 0}, Tally{1, 2, 206, 4, 0})
	verdict, _ = judge.Verdict()
	is.Equal(verdict, Bad)
	addRounds(judge, otherVersionsTally(1, 900), Tally{1, 1, 900, 4, 0}, Tally{1, 2, 900, 4, 0})
	verdict, reason := judge.Verdict()
	is.Equal(verdict, Bad)
	is.Equal(reason, "route 00000001: 8 of 412 answers failed at 2 targets of the version, 0 of 900 at the others")
	is.True(!judge.Clean())
	is.Equal(judge.UndersampledRoutes(), nil)
}

// TestFailuresAcrossRoutes checks that one failure on each route, which may be chance for a
// single route but not for all together, makes larger samples necessary again.
func TestFailuresAcrossRoutes(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	addRounds(judge, otherVersionsTally(1, 400), otherVersionsTally(2, 400), Tally{1, 1, 99, 0, 0}, Tally{1, 2, 99, 0, 0}, Tally{2, 1, 99, 0, 0})
	verdict, _ := judge.Verdict()
	is.Equal(verdict, Good)
	is.Equal(judge.UndersampledRoutes(), nil)
	addRounds(judge, Tally{1, 1, 100, 1, 0}, Tally{2, 1, 100, 1, 0})
	verdict, _ = judge.Verdict()
	is.Equal(verdict, Undecided)
	is.Equal(judge.UndersampledRoutes(), []uint32{1, 2})
	addRounds(judge, Tally{1, 1, 150, 1, 0}, Tally{2, 1, 150, 1, 0})
	verdict, _ = judge.Verdict()
	is.Equal(verdict, Good)
}

// TestDeferredUntilEnoughOtherAnswers checks that with many gateways the version's answers are
// evaluated once the others have given enough answers, before all gateways have reported.
func TestDeferredUntilEnoughOtherAnswers(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	for gateway := range 100 {
		judge.AddReport(fmt.Sprint("gateway-", gateway), []Tally{otherVersionsTally(1, 4)})
	}
	judge.AddReport("gateway-0", []Tally{{1, 1, 3, 3, 0}, {1, 2, 3, 3, 0}})
	judge.AddReport("gateway-1", []Tally{otherVersionsTally(1, 4+maxDeferOthers-1)})
	judge.AddReport("gateway-2", []Tally{otherVersionsTally(1, 4)})
	verdict, _ := judge.Verdict()
	is.Equal(verdict, Undecided)
	judge.AddReport("gateway-2", []Tally{otherVersionsTally(1, 5)})
	verdict, _ = judge.Verdict()
	is.Equal(verdict, Bad)
}

// TestDeferredForOtherVersions checks that the version's answers are deferred until those of the
// others show whether they have the same trouble.
func TestDeferredForOtherVersions(t *testing.T) {
	trouble := []Tally{{1, 1, 103, 3, 0}, {1, 2, 103, 3, 0}}
	tests := map[string]struct {
		others  []Tally
		verdict Verdict
	}{
		"the others have the same trouble": {[]Tally{{1, 0, 440, 20, 0}}, Good},
		"the others answer well":           {[]Tally{{1, 0, 440, 0, 0}}, Bad},
		"the others answer no more":        {nil, Bad},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			judge := NewJudge()
			addRounds(judge, otherVersionsTally(1, 400), Tally{1, 1, 100, 0, 0}, Tally{1, 2, 100, 0, 0})
			judge.AddReport("gateway", trouble)
			verdict, _ := judge.Verdict()
			is.Equal(verdict, Good) // the answers are still deferred
			addRounds(judge, test.others...)
			verdict, _ = judge.Verdict()
			is.Equal(verdict, test.verdict)
		})
	}
}

// TestNotDeferredDuringMove checks that the version's answers are evaluated at once in a move,
// when the others get no requests.
func TestNotDeferredDuringMove(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	addRounds(judge, otherVersionsTally(1, 400), Tally{1, 1, 100, 0, 0}, Tally{1, 2, 100, 0, 0})
	judge.AddReport("gateway", []Tally{{1, 1, 120, 10, 0}, {1, 2, 120, 10, 0}})
	verdict, _ := judge.Verdict()
	is.Equal(verdict, Bad)
}

// TestLostAndReorderedReports checks that each answer counts once, and the result is the same,
// whatever reports are lost, repeated or reordered.
func TestLostAndReorderedReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			gateway string
			tallies []Tally
		}
		var reports []report
		want := make(map[uint32]RouteSum)
		last := make(map[string]report)
		for gateway := range rapid.IntRange(1, 3).Draw(t, "gateways") {
			tallies := NewTallies()
			name := fmt.Sprint("gateway-", gateway)
			for range rapid.IntRange(0, 30).Draw(t, "answers") {
				route := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route")
				target := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "target")
				failed := rapid.IntRange(0, 9).Draw(t, "failed") == 0
				tallies.Add(route, target, failed, false)
				counts := Counts{Answers: 1}
				if failed {
					counts.Failed = 1
				}
				sum := want[NameHash(route)]
				sum.Route = NameHash(route)
				if target == "" {
					sum.Others = sum.Others.add(counts)
				} else {
					sum.Version = sum.Version.add(counts)
				}
				want[NameHash(route)] = sum
				last[name] = report{name, tallies.List(99)}
				reports = append(reports, last[name])
			}
		}
		judge := NewJudge()
		for range rapid.IntRange(0, 40).Draw(t, "deliveries") {
			if len(reports) == 0 {
				break
			}
			delivered := rapid.SampledFrom(reports).Draw(t, "report")
			judge.AddReport(delivered.gateway, delivered.tallies)
		}
		for range maxDeferRounds + 1 {
			for _, delivered := range last {
				judge.AddReport(delivered.gateway, delivered.tallies)
			}
		}
		got := make(map[uint32]RouteSum)
		for _, sum := range judge.Routes() {
			sum.Passed = false
			got[sum.Route] = sum
		}
		is.New(t).Equal(got, want)
	})
}

// TestEvaluatedTalliesAreDropped checks that tallies aren't kept after their evaluation.
func TestEvaluatedTalliesAreDropped(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	for i := range 1000 {
		judge.AddReport("gateway", []Tally{otherVersionsTally(1, 10*i), {1, 1, i, 0, 0}})
	}
	is.True(len(judge.routes[1].deferred) <= maxDeferRounds+1)
}

func TestIgnoredTotals(t *testing.T) {
	tests := map[string]struct {
		tally   Tally
		ignored int
		answers int
	}{
		"later":                      {Tally{1, 2, 12, 2, 1}, 0, 12},
		"the same":                   {Tally{1, 2, 10, 2, 1}, 0, 10},
		"earlier":                    {Tally{1, 2, 9, 2, 1}, 1, 10},
		"fewer failures":             {Tally{1, 2, 12, 1, 1}, 1, 10},
		"fewer slow ones":            {Tally{1, 2, 12, 2, 0}, 1, 10},
		"negative":                   {Tally{1, 3, 0, -1, 0}, 1, 10},
		"more failures than answers": {Tally{1, 3, 2, 2, 1}, 1, 10},
		"of another target":          {Tally{1, 3, 5, 0, 0}, 0, 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			judge := NewJudge()
			addRounds(judge, Tally{1, 2, 10, 2, 1})
			judge.AddReport("gateway", []Tally{test.tally})
			addRounds(judge)
			is.Equal(judge.Ignored(), test.ignored)
			is.Equal(judge.Routes()[0].Version.Answers, test.answers)
		})
	}
}

// TestRestartedGateway checks that a gateway's next incarnation counts from zero, under another
// name.
func TestRestartedGateway(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	judge.AddReport("gateway/1", []Tally{otherVersionsTally(1, 40)})
	judge.AddReport("gateway/2", []Tally{otherVersionsTally(1, 5)})
	is.Equal(judge.Routes()[0].Others, Counts{Answers: 45})
	is.Equal(judge.Ignored(), 0)
}

func TestVerdictString(t *testing.T) {
	is := is.New(t)
	is.Equal(fmt.Sprint(Undecided, Good, Bad, Verdict(7)), "undecided good bad verdict 7")
}

// BenchmarkJudgeAddReport measures one report of one of 30 gateways, with new answers on each of
// 30 routes at each of 16 targets.
func BenchmarkJudgeAddReport(b *testing.B) {
	const gateways, routes, targets = 30, 30, 16
	random := rand.New(rand.NewPCG(2, 2))
	judge := NewJudge()
	sums := make([][]Tally, gateways)
	names := make([]string, gateways)
	for gateway := range gateways {
		names[gateway] = fmt.Sprint("gateway-", gateway)
		for route := range routes {
			for target := range targets + 1 {
				sums[gateway] = append(sums[gateway], Tally{Route: uint32(route + 1), Target: uint32(target)})
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		report := sums[i%gateways]
		for at := range report {
			report[at].Answers++
			if random.IntN(50) == 0 {
				report[at].Failed++
			}
		}
		judge.AddReport(names[i%gateways], report)
	}
}

func BenchmarkJudgeUndersampledRoutes(b *testing.B) {
	judge := NewJudge()
	for route := range 30 {
		judge.AddReport("gateway", []Tally{otherVersionsTally(uint32(route+1), 100), {uint32(route + 1), 1, 5, 0, 0}})
	}
	b.ReportAllocs()
	for b.Loop() {
		judge.UndersampledRoutes()
		judge.Verdict()
	}
}
