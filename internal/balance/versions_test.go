package balance_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// versioned returns a target with a version.
func versioned(id, version string) balance.Target {
	return balance.Target{ID: id, Service: "s", Address: id, DataCenter: "a", Version: version}
}

// twoVersions returns a balancer with the same number of targets of an old and of a new
// version.
func twoVersions(each int) *balance.Balancer {
	b := balance.New(balance.DefaultOptions())
	for i := range each {
		b.Put(versioned(fmt.Sprint("old", i), "old"), start)
		b.Put(versioned(fmt.Sprint("new", i), "new"), start)
	}
	return b
}

// chosenOf returns the sorted targets that get requests restricted to the given versions, all
// of them in flight together.
func chosenOf(b *balance.Balancer, versions balance.Versions, now time.Time, exclude ...string) []string {
	ids := make(map[string]bool)
	var picks []string
	for i := range 300 {
		query := balance.Query{Service: "s", Versions: versions, Exclude: exclude}
		if i%2 == 0 {
			query.Parts = session(i).Parts
		}
		if pick, ok := b.Choose(query, now); ok {
			ids[pick.Target.ID] = true
			picks = append(picks, pick.Target.ID)
		}
	}
	for _, id := range picks {
		b.Release(id, balance.Neutral, now)
	}
	return slices.Sorted(maps.Keys(ids))
}

// eject ejects a target.
func eject(b *balance.Balancer, id string) {
	b.NoteRefused(short(id), start)
}

func TestVersions(t *testing.T) {
	onlyNew, onlyOld := balance.Versions{Only: "new"}, balance.Versions{Only: "old"}
	notNew, preferNew := balance.Versions{Excluded: []string{"new"}}, balance.Versions{Preferred: "new"}
	oldIDs, newIDs := []string{"old0", "old1", "old2", "old3"}, []string{"new0", "new1", "new2", "new3"}
	cases := map[string]struct {
		versions balance.Versions
		before   func(b *balance.Balancer)
		exclude  []string
		want     []string
	}{
		"all":             {want: slices.Concat(newIDs, oldIDs)},
		"only one":        {versions: onlyNew, want: newIDs},
		"excluding one":   {versions: notNew, want: oldIDs},
		"preferring one":  {versions: preferNew, want: newIDs},
		"unknown version": {versions: balance.Versions{Only: "newer"}},
		"second attempt":  {versions: notNew, exclude: []string{"old0", "new1"}, want: oldIDs[1:]},
		"ejected target":  {versions: onlyNew, before: func(b *balance.Balancer) { eject(b, "new1") }, want: []string{"new0", "new2", "new3"}},
		"most of the version ejected": {versions: onlyNew, before: func(b *balance.Balancer) {
			for _, id := range newIDs[1:] {
				eject(b, id)
			}
		}, want: newIDs[:2]},
		"other version ejected": {versions: onlyNew, before: func(b *balance.Balancer) {
			for _, id := range oldIDs {
				eject(b, id)
			}
		}, want: newIDs},
		"preferring one that is leaving": {versions: preferNew, before: func(b *balance.Balancer) {
			for i := range 4 {
				leaving := versioned(fmt.Sprint("new", i), "new")
				leaving.Leaving = true
				b.Put(leaving, start)
			}
		}, want: oldIDs},
		"preferring one with an ejected target": {versions: preferNew, before: func(b *balance.Balancer) { eject(b, "new1") }, want: []string{"new0", "new2", "new3"}},
		"all entries expire": {versions: onlyOld, before: func(b *balance.Balancer) {
			for _, id := range slices.Concat(oldIDs, newIDs) {
				b.Drop(id, start)
			}
		}, want: oldIDs},
		"other version unlisted": {versions: onlyNew, before: func(b *balance.Balancer) {
			for _, id := range oldIDs {
				b.Drop(id, start)
			}
		}, want: newIDs},
		"other version and one target unlisted": {versions: onlyNew, before: func(b *balance.Balancer) {
			for _, id := range append(slices.Clone(oldIDs), "new3") {
				b.Drop(id, start)
			}
		}, want: newIDs[:3]},
		"version stated later": {versions: onlyNew, before: func(b *balance.Balancer) { b.Put(versioned("old2", "new"), start) }, want: append(slices.Clone(newIDs), "old2")},
		"evacuated":            {versions: onlyNew, before: func(b *balance.Balancer) { b.SetEvacuated("a", true, start) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := twoVersions(4)
			chosenOf(b, balance.Versions{}, start)
			if tc.before != nil {
				tc.before(b)
			}
			is.Equal(b.Has(balance.Query{Service: "s", Versions: tc.versions, Exclude: tc.exclude}, start), tc.want != nil)
			is.Equal(chosenOf(b, tc.versions, start, tc.exclude...), tc.want)
		})
	}
}

// firstNew returns the first new targets in the order of a seed, without the given ones.
func firstNew(seed uint64, each, count int, without ...string) []string {
	var ids []string
	for i := range each {
		if id := fmt.Sprint("new", i); !slices.Contains(without, id) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Compare(policy.Score(seed, policy.HashName(y)), policy.Score(seed, policy.HashName(x)))
	})
	ids = ids[:min(count, len(ids))]
	slices.Sort(ids)
	return ids
}

// TestVersionShare checks that as many targets take the share as make each of them as loaded
// as the others, and that they are the first in an order that all gateways share.
func TestVersionShare(t *testing.T) {
	const seed = 5
	cases := map[string]struct {
		each   int
		share  float64
		before func(b *balance.Balancer)
		want   []string
	}{
		"a tenth of fifty":            {each: 50, share: 0.1, want: firstNew(seed, 50, 5)},
		"more than a tenth":           {each: 50, share: 0.11, want: firstNew(seed, 50, 6)},
		"of four":                     {each: 4, share: 0.1, want: firstNew(seed, 4, 2)},
		"of one":                      {each: 1, share: 0.1, want: []string{"new0"}},
		"no share":                    {each: 6, share: 0, want: firstNew(seed, 6, 6)},
		"more targets than available": {each: 6, share: 1, want: firstNew(seed, 6, 6)},
		"ejected target is replaced": {each: 50, share: 0.1, before: func(b *balance.Balancer) {
			eject(b, firstNew(seed, 50, 1)[0])
		}, want: firstNew(seed, 50, 5, firstNew(seed, 50, 1)...)},
		"evacuated target is replaced": {each: 50, share: 0.1, before: func(b *balance.Balancer) {
			moved := versioned(firstNew(seed, 50, 1)[0], "new")
			moved.DataCenter = "b"
			b.Put(moved, start)
			b.SetEvacuated("b", true, start)
		}, want: firstNew(seed, 50, 5, firstNew(seed, 50, 1)...)},
		"cold target is replaced": {each: 50, share: 0.1, before: func(b *balance.Balancer) {
			b.SetCold("s", balance.ColdBound{Rate: 0.0001, Start: time.Minute})
			b.SetGateways(balance.Gateways{Count: 1000, Place: 500})
			cold := versioned(firstNew(seed, 50, 1)[0], "new")
			cold.ColdFor = time.Minute
			b.Put(cold, start)
		}, want: firstNew(seed, 50, 5, firstNew(seed, 50, 1)...)},
		"leaving targets of the other version": {each: 50, share: 0.1, before: func(b *balance.Balancer) {
			for i := range 20 {
				leaving := versioned(fmt.Sprint("old", i), "old")
				leaving.Leaving = true
				b.Put(leaving, start)
			}
		}, want: firstNew(seed, 50, 3)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := twoVersions(tc.each)
			if tc.before != nil {
				tc.before(b)
			}
			is.New(t).Equal(chosenOf(b, balance.Versions{Only: "new", Share: tc.share, Seed: seed}, start), tc.want)
		})
	}
}

// TestRoomOfVersions checks that the room for a request is that of the targets that may take
// it.
func TestRoomOfVersions(t *testing.T) {
	cases := map[string]struct {
		versions balance.Versions
		peers    int
		want     int
	}{
		"all":                     {want: 18},
		"only one":                {versions: balance.Versions{Only: "new"}, want: 8},
		"excluding one":           {versions: balance.Versions{Excluded: []string{"new"}}, want: 10},
		"all, many gateways":      {peers: 20, want: 18},
		"only one, many gateways": {versions: balance.Versions{Only: "new"}, peers: 20, want: 8},
		"unknown version":         {versions: balance.Versions{Only: "newer"}, want: 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			b.SetPeers(tc.peers)
			for i := range 4 {
				made := versioned(fmt.Sprint("t", i), []string{"old", "new"}[i%2])
				made.Slots = 4
				b.Put(made, start)
			}
			for range 2 {
				_, ok := b.Choose(balance.Query{Service: "s", Versions: balance.Versions{Only: "new"}}, start)
				is.True(ok)
			}
			is.Equal(b.Room("s", tc.versions, 100, start), tc.want)
		})
	}
}

// TestSourcesWithOtherWeights checks that a cached prompt is used only by targets with the
// same weights, whether or not its holder takes requests itself.
func TestSourcesWithOtherWeights(t *testing.T) {
	cases := map[string]struct {
		holder, chosen, bystander string
		source                    balance.Source
		from                      string
	}{
		"not stated":                      {"", "", "", balance.SourceKnown, "old0"},
		"same weights":                    {"w1", "w1", "w1", balance.SourceKnown, "old0"},
		"others":                          {"w1", "w2", "w2", balance.SourceGuessed, "new1"},
		"holder states none":              {"", "w2", "w2", balance.SourceGuessed, "new1"},
		"other weights, nothing to guess": {"w1", "w2", "w1", balance.SourceNone, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			for id, weights := range map[string]string{"old0": tc.holder, "new0": tc.chosen, "new1": tc.bystander} {
				made := versioned(id, id[:3])
				made.Weights = weights
				b.Put(made, start)
			}
			b.Learn([]balance.Placement{{Part: shortPart(1), Target: short("old0")}})
			query := session(1)
			query.Versions, query.Exclude = balance.Versions{Only: "new"}, []string{"new1"}
			pick, ok := b.Choose(query, start)
			is.True(ok)
			is.Equal(pick.Target.ID, "new0")
			is.Equal(pick.Source, tc.source)
			is.Equal(pick.FetchFrom, tc.from)
		})
	}
}

// TestFillWithOtherWeights checks that a long part held only by targets with other weights is
// prefilled again, and that other requests wait for that prefill.
func TestFillWithOtherWeights(t *testing.T) {
	for name, tc := range map[string]struct {
		weights string
		fills   int
	}{"same weights": {"w1", 0}, "others": {"w2", 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			old, made := versioned("old0", "old"), versioned("new0", "new")
			old.Weights, made.Weights = "w1", tc.weights
			b.Put(old, start)
			b.Put(made, start)
			query := prompt(1, 5000)
			query.Versions = balance.Versions{Only: "new"}
			b.Learn([]balance.Placement{{Part: uint32(query.Parts[0] >> 32), Target: short("old0")}})
			pick, ok := b.Choose(query, start)
			is.True(ok)
			is.Equal(len(pick.Fills), tc.fills)
		})
	}
}

// TestPartsToLocateWithVersions checks that holders are asked for even if a known holder
// exists that may not take the request.
func TestPartsToLocateWithVersions(t *testing.T) {
	cases := map[string]struct {
		versions balance.Versions
		asked    int
	}{
		"all":                            {asked: 0},
		"version of the holder":          {versions: balance.Versions{Only: "old"}, asked: 0},
		"another":                        {versions: balance.Versions{Only: "new"}, asked: 1},
		"excluding the holder's version": {versions: balance.Versions{Excluded: []string{"old"}}, asked: 1},
		"preferring another version":     {versions: balance.Versions{Preferred: "new"}, asked: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := twoVersions(3)
			query := longSession(1)
			query.Versions = tc.versions
			b.Learn([]balance.Placement{{Part: uint32(query.Parts[len(query.Parts)-1] >> 32), Target: short("old0")}})
			is.New(t).Equal(len(b.PartsToLocate(query, start)), tc.asked)
		})
	}
}

func TestVersionsOf(t *testing.T) {
	is := is.New(t)
	b := twoVersions(3)
	b.Put(versioned("plain", ""), start)
	leaving := versioned("old0", "old")
	leaving.Leaving = true
	b.Put(leaving, start)
	b.Drop("new1", start)
	is.Equal(b.VersionsOf("s"), map[string]int{"old": 2, "new": 2, "": 1})
	is.True(b.VersionsOf("unknown") == nil)
	for i := range 3 {
		b.Drop(fmt.Sprint("new", i), start)
	}
	b.Drop("plain", start.Add(2*time.Minute)) // targets unlisted for long are forgotten
	b.Put(versioned("newest0", "newest"), start)
	is.Equal(b.VersionsOf("s"), map[string]int{"old": 2, "newest": 1})
	is.Equal(chosenOf(b, balance.Versions{Only: "newest"}, start), []string{"newest0"})
}

// TestChooseVersionsAllocs checks that a choice, which is made for each request, does not
// allocate.
func TestChooseVersionsAllocs(t *testing.T) {
	for name, versions := range map[string]balance.Versions{
		"all": {}, "not": {Excluded: []string{"new"}}, "preferring another version": {Preferred: "new"}, "few": {Only: "new", Share: 0.1, Seed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := twoVersions(50)
			query := session(1)
			query.Versions = versions
			choose := func() {
				pick, _ := b.Choose(query, start)
				b.Release(pick.Target.ID, balance.Good, start)
			}
			choose()
			is.New(t).Equal(testing.AllocsPerRun(100, choose), 0.0)
		})
	}
}

// TestUnread checks the number of tokens after the deepest part that the target holds or
// fetches.
func TestUnread(t *testing.T) {
	query := balance.Query{Service: "s", Parts: []uint64{11 << 32, 12 << 32, 13 << 32}, Tokens: []int{100, 200, 400}, Exclude: []string{"t1"}}
	placement := func(part uint32, target string) balance.Placement {
		return balance.Placement{Part: part, Target: short(target)}
	}
	cases := map[string]struct {
		known  []balance.Placement
		source balance.Source
		unread int
	}{
		"no holder":                     {nil, balance.SourceGuessed, 700},
		"held by the target":            {[]balance.Placement{placement(13, "t0")}, balance.SourceHeld, 0},
		"held by another":               {[]balance.Placement{placement(13, "t1")}, balance.SourceKnown, 0},
		"first part held by the target": {[]balance.Placement{placement(11, "t0")}, balance.SourceHeld, 600},
		"more held by another":          {[]balance.Placement{placement(11, "t0"), placement(12, "t1")}, balance.SourceKnown, 400},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(2)
			b.Learn(tc.known)
			pick, ok := b.Choose(query, start)
			is.True(ok)
			is.Equal(pick.Source, tc.source)
			is.Equal(pick.Unread, tc.unread)
			is.True(!pick.Cold)
		})
	}
}

// TestColdPick checks that a pick of a cold target is marked, because its answers say less
// about its version.
func TestColdPick(t *testing.T) {
	is := is.New(t)
	b := balance.New(balance.DefaultOptions())
	cold := target(0)
	cold.ColdFor = time.Second
	b.Put(cold, start)
	pick, ok := b.Choose(balance.Query{Service: "s"}, start)
	is.True(ok)
	is.True(pick.Cold)
	pick, ok = b.Choose(balance.Query{Service: "s"}, start.Add(2*time.Second))
	is.True(ok)
	is.True(!pick.Cold)
}

// TestUncountedTotalsWithVersions checks that requests that others report only in their totals
// are attributed to the targets of the versions that take the service's requests.
func TestUncountedTotalsWithVersions(t *testing.T) {
	cases := map[string]struct {
		admitting balance.Versions
		old, load int
	}{
		"all":                            {load: 6},
		"a single version, all admitted": {admitting: balance.Versions{Excluded: []string{"older"}, Preferred: "new"}, load: 6},
		"one of two versions":            {admitting: balance.Versions{Excluded: []string{"old"}}, old: 2, load: 6},
		"both versions":                  {admitting: balance.Versions{Excluded: []string{"older"}}, old: 2, load: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			b.SetPeers(20)
			for i := range 2 {
				b.Put(versioned(fmt.Sprint("new", i), "new"), start)
			}
			for i := range tc.old {
				b.Put(versioned(fmt.Sprint("old", i), "old"), start)
			}
			b.Room("s", tc.admitting, 1, start)
			before, ok := b.Choose(balance.Query{Service: "s", Versions: balance.Versions{Only: "old", Share: 0.1}}, start)
			is.Equal(ok, tc.old > 0)
			b.Release(before.Target.ID, balance.Neutral, start)
			b.ObserveTotals("other", []balance.Total{{Service: short("s"), Count: 12}}, start)
			later := start.Add(time.Second)
			pick, ok := b.Choose(balance.Query{Service: "s", Versions: balance.Versions{Only: "new"}}, later)
			is.True(ok)
			is.Equal(pick.Load, tc.load)
		})
	}
}

// TestFillingWithOtherWeights checks that requests do not wait for a prefill whose result the
// targets that may take them cannot use.
func TestFillingWithOtherWeights(t *testing.T) {
	cases := map[string]struct {
		weights  string
		versions balance.Versions
		waits    bool
	}{
		"same weights":                         {"w1", balance.Versions{Only: "new"}, true},
		"others":                               {"w2", balance.Versions{Only: "new"}, false},
		"other weights, all versions admitted": {"w2", balance.Versions{}, true},
		"other weights, only the reader's version": {"w2", balance.Versions{Excluded: []string{"new"}}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := balance.New(balance.DefaultOptions())
			old, made := versioned("old0", "old"), versioned("new0", "new")
			old.Weights, made.Weights = "w1", tc.weights
			b.Put(old, start)
			b.Put(made, start)
			query := prompt(1, 5000)
			b.LearnFills([]balance.Placement{{Part: uint32(query.Parts[0] >> 32), Target: short("old0")}}, start)
			query.Versions = tc.versions
			_, filling := b.Filling(query, start)
			is.New(t).Equal(filling, tc.waits)
		})
	}
}
