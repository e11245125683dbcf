package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// longSession is a query whose last part is long enough to ask for.
func longSession(i int) balance.Query {
	query := session(i)
	query.Tokens = []int{5000}
	return query
}

func TestPartsToLocate(t *testing.T) {
	cases := map[string]struct {
		prepare func(b *balance.Balancer) balance.Query
		ask     bool
	}{
		"unknown long part": {func(*balance.Balancer) balance.Query { return longSession(1) }, true},
		"short part": {func(*balance.Balancer) balance.Query {
			query := session(1)
			query.Tokens = []int{100}
			return query
		}, false},
		"no prompt": {func(*balance.Balancer) balance.Query { return balance.Query{Service: "s"} }, false},
		"no target": {func(*balance.Balancer) balance.Query {
			query := longSession(1)
			query.Service = "other"
			return query
		}, false},
		"known holder": {func(b *balance.Balancer) balance.Query {
			b.Confirm("t1", longSession(1))
			return longSession(1)
		}, false},
		"expected holder": {func(b *balance.Balancer) balance.Query {
			pick, _ := b.Choose(longSession(1), start)
			b.Release(pick.Target.ID, balance.Neutral, start)
			return longSession(1)
		}, true},
		"leaving holder": {func(b *balance.Balancer) balance.Query {
			b.Confirm("t1", longSession(1))
			leaving := target(1)
			leaving.Leaving = true
			b.Put(leaving, start)
			return longSession(1)
		}, true},
		"unlisted holder": {func(b *balance.Balancer) balance.Query {
			b.Confirm("t1", longSession(1))
			b.Drop("t1", start)
			return longSession(1)
		}, true},
		"holder above the bound": {func(b *balance.Balancer) balance.Query {
			b.Confirm("t1", longSession(1))
			b.Observe("other", []balance.Count{{Target: policy.HashName("t1"), Count: 30}}, start)
			return longSession(1)
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(9)
			query := tc.prepare(b)
			var want []uint32
			if tc.ask {
				want = []uint32{uint32(query.Parts[0] >> 32)}
			}
			is.Equal(b.PartsToLocate(query, start), want)
		})
	}
}

// TestPartsToLocateUpperParts guards against asking for the deepest part only: on scale-2 of
// the large site a million tokens of parts that many sessions share were prefilled again, because a
// gateway knew no holders of them until it had used them itself.
func TestPartsToLocateUpperParts(t *testing.T) {
	is := is.New(t)
	b := newBalancer(9)
	query := balance.Query{Service: "s", Parts: []uint64{1 << 32, 2 << 32, 3 << 32, 4 << 32}, Tokens: []int{500, 100, 600, 5000}}
	is.Equal(b.PartsToLocate(query, start), []uint32{4, 1, 3}) // the deepest first, no short one
	b.Confirm("t1", balance.Query{Service: "s", Parts: query.Parts[:1], Tokens: query.Tokens[:1]})
	is.Equal(b.PartsToLocate(query, start), []uint32{4, 3})
	b.NoteRefused(short("t1"), start)
	is.Equal(b.PartsToLocate(query, start), []uint32{4, 1, 3}) // its holder does not serve
	b.Confirm("t2", query)
	is.Equal(len(b.PartsToLocate(query, start)), 0)
}

// TestHolderEviction checks that if a part has many holders, crashed ones are forgotten first.
// On scale-2 of the large site live holders were forgotten instead.
func TestHolderEviction(t *testing.T) {
	is := is.New(t)
	b := newBalancer(12)
	query := longSession(1)
	for i := range 8 {
		b.Confirm(target(i).ID, query)
	}
	b.NoteRefused(short("t5"), start)
	b.Choose(balance.Query{Service: "s"}, start)
	b.Confirm("t8", query)
	b.Confirm("t9", query) // no crashed one is left: the oldest is forgotten
	holders, _ := b.Cached(uint32(query.Parts[0]>>32), start)
	var names []uint32
	for _, holder := range holders {
		names = append(names, holder.Target)
	}
	var want []uint32
	for _, i := range []int{1, 2, 3, 4, 6, 7, 8, 9} {
		want = append(want, short(target(i).ID))
	}
	is.Equal(names, want)
}

// TestCached checks that targets deregistered long ago are no holders any more, and that a
// prefill is reported until it is over.
func TestCached(t *testing.T) {
	is := is.New(t)
	b := newBalancer(3)
	query := longSession(1)
	part := uint32(query.Parts[0] >> 32)
	pick, _ := b.Choose(query, start)
	is.Equal(len(pick.Fills), 1)
	holders, filling := b.Cached(part, start)
	is.Equal(len(holders), 0)
	is.Equal(filling, pick.Fills)
	is.Equal(b.Confirm(pick.Target.ID, query), pick.Fills) // new, so worth reporting
	is.Equal(len(b.Confirm(pick.Target.ID, query)), 0)     // known
	holders, filling = b.Cached(part, start)
	is.Equal(holders, pick.Fills)
	is.Equal(len(filling), 0)
	is.True(b.Holds(pick.Fills[0]))
	b.Drop(pick.Target.ID, start)
	holders, _ = b.Cached(part, start.Add(time.Second))
	is.Equal(holders, pick.Fills) // it serves for a while
	holders, _ = b.Cached(part, start.Add(time.Minute))
	is.Equal(len(holders), 0)
}

// TestReportsExpire checks that the loads of a silent gateway soon stop counting, and that
// those of the others stay.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	b := newBalancer(2)
	count := []balance.Count{{Target: policy.HashName("t0"), Count: 5}, {Target: policy.HashName("t1"), Count: 5}}
	b.Observe("silent", count, start)
	b.Observe("lively", count, start)
	b.Observe("lively", count, start.Add(2*time.Second))
	pick, _ := b.Choose(balance.Query{Service: "s"}, start.Add(2*time.Second))
	is.Equal(pick.Load, 10)
	pick, _ = b.Choose(balance.Query{Service: "s"}, start.Add(3*time.Second))
	is.Equal(pick.Load, 5)
	b.Observe("lively", nil, start.Add(3*time.Second))
	pick, _ = b.Choose(balance.Query{Service: "s"}, start.Add(3*time.Second))
	is.True(pick.Load <= 1) // only this gateway's own requests
}

func TestSources(t *testing.T) {
	cases := map[string]struct {
		targets int
		prepare func(b *balance.Balancer, query balance.Query)
		want    balance.Source
	}{
		"nothing known":              {9, func(*balance.Balancer, balance.Query) {}, balance.SourceGuessed},
		"the only target":            {1, func(*balance.Balancer, balance.Query) {}, balance.SourceNone},
		"held":                       {9, func(b *balance.Balancer, query balance.Query) { b.Confirm("t1", query) }, balance.SourceHeld},
		"held by an unlisted target": {9, func(b *balance.Balancer, query balance.Query) { b.Confirm("t1", query); b.Drop("t1", start) }, balance.SourceKnown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(tc.targets)
			tc.prepare(b, longSession(1))
			pick, _ := b.Choose(longSession(1), start)
			is.Equal(pick.Source, tc.want)
		})
	}
}

// TestManyGatewaysSpreadOverHolders guards against a fault that broke LIMIT on two simulated
// days of the large site: a hundred gateways that all knew a prompt's holders sent to the
// first of them until they learned, a second later, that it was full.
func TestManyGatewaysSpreadOverHolders(t *testing.T) {
	cases := map[string]struct {
		peers int
		want  string
	}{
		"many gateways": {102, "t2"},
		"few gateways":  {3, "t1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(9)
			b.SetPeers(tc.peers)
			query := longSession(1)
			for _, id := range []string{"t1", "t2", "t3"} {
				b.Confirm(id, query)
			}
			b.Observe("other", []balance.Count{{Target: policy.HashName("t1"), Count: 2}, {Target: policy.HashName("t2"), Count: 1}, {Target: policy.HashName("t3"), Count: 2}}, start)
			pick, _ := b.Choose(query, start)
			is.Equal(pick.Target.ID, tc.want)
			is.Equal(pick.FetchFrom, "")
		})
	}
}

// TestBoundsForManyGateways checks that with more gateways, and thus older reports, a target
// may hold fewer requests before a prompt goes elsewhere.
func TestBoundsForManyGateways(t *testing.T) {
	cases := map[string]struct {
		peers int
		max   int
	}{
		// With nine targets that hold some 5.5 requests each: 1.65 times the mean plus 2, less
		// up to 12 in 100.
		"thirty":       {29, 11},
		"a hundred":    {102, 9},
		"hundreds":     {370, 9},
		"few gateways": {3, 14}, // 1.9 times the mean plus 2.6
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(9)
			b.SetPeers(tc.peers)
			addIdlePeers(b, tc.peers-1)
			query := longSession(1)
			b.Confirm("t1", query)
			for load := 20; load > 0; load-- {
				counts := []balance.Count{{Target: policy.HashName("t1"), Count: load}}
				others := 54 - load
				for i := range 9 {
					if i != 1 {
						counts = append(counts, balance.Count{Target: policy.HashName(target(i).ID), Count: others / 8})
					}
				}
				b.Observe("other", counts, start)
				pick, _ := b.Choose(query, start)
				b.Release(pick.Target.ID, balance.Neutral, start)
				if pick.Target.ID == "t1" {
					is.Equal(load, tc.max)
					return
				}
			}
			t.Fatal("the holder gets no request")
		})
	}
}
