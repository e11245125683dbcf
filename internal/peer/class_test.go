package peer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

func TestClassOf(t *testing.T) {
	cases := map[string]struct {
		cores, linkMbps float64
		class           Class
	}{
		"unknown":                    {0, 0, 0},
		"unknown cores":              {0, 200, 0},
		"unknown link":               {0.8, 0, 0},
		"not a number":               {math.NaN(), 10, 0},
		"below the smallest class":   {0.01, 1, 1},
		"a tenth of a core":          {0.101, 10, 2},
		"a seventh of a core":        {0.144, 10, 2},
		"a fast host on a slow link": {0.8, 10, 2},
		"a slow host on a fast link": {0.12, 1000, 2},
		"a large host":               {0.8, 200, 5},
		"above the largest class":    {64, 100000, 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(ClassOf(tc.cores, tc.linkMbps), tc.class)
		})
	}
}

// classTables returns the table of each of a number of gateways on hosts of the given classes.
func classTables(classes []Class) map[string]*table {
	all := make(map[string]*table, len(classes))
	for self, class := range classes {
		tbl := newTable(fmt.Sprint(self), nil, "", 7000)
		tbl.class = class
		for other, class := range classes {
			if other != self {
				tbl.record(heartbeatOfClass(fmt.Sprint(other), uint64(other+2), class), start)
			}
		}
		all[tbl.self] = tbl
	}
	return all
}

func heartbeatOfClass(id string, incarnation uint64, class Class) *wire.GatewayBeat {
	heartbeat := heartbeatFrom(id, 1)
	heartbeat.Life, heartbeat.HostClass = incarnation, uint32(class)
	return heartbeat
}

// hostClasses returns the classes of count hosts, the first few of which are large.
func hostClasses(count, large int) []Class {
	classes := make([]Class, count)
	for i := range classes {
		classes[i] = 2
		if i < large {
			classes[i] = 5
		}
	}
	return classes
}

// TestLargerHostsAskStoreFirst checks that all gateways agree that those on the largest hosts ask
// the store, and that no large host has a small host as its parent.
func TestLargerHostsAskStoreFirst(t *testing.T) {
	cases := map[string]struct {
		classes []Class
		askers  Class
	}{
		"28 hosts, 8 large":                   {hostClasses(28, 8), 5},
		"300 hosts, 84 large":                 {hostClasses(300, 84), 5},
		"two large hosts":                     {hostClasses(100, 2), 5},
		"equal hosts":                         {hostClasses(30, 0), 2},
		"some older gateways without a class": {append(make([]Class, 20), 2, 2), 2},
		"only older gateways":                 {make([]Class, 20), 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asking := 0
			for id, p := range classTables(tc.classes) {
				current := p.newView(start)
				if current.asksStore() {
					asking++
					is.Equal(p.class, tc.askers)
				}
				if parent := current.parent(); parent != nil {
					is.True(parent.class >= p.class)
				}
				for _, other := range current.candidates[:current.rank] {
					is.True(other.class >= p.class)
				}
				is.Equal(len(current.candidates), len(tc.classes)-1)
				_ = id
			}
			is.Equal(asking, watchers)
		})
	}
}

// TestLossOfLastLargeHost checks that a host of the next class replaces a large host once that is
// silent, and that the large host takes over again when it returns.
func TestLossOfLastLargeHost(t *testing.T) {
	is := is.New(t)
	tables := classTables(hostClasses(30, 1))
	asking := func(now time.Time, silentID string) (ids []string) {
		for id, tbl := range tables {
			if id != silentID && tbl.newView(now).asksStore() {
				ids = append(ids, id)
			}
		}
		return ids
	}
	is.Equal(len(asking(start, "")), watchers)
	is.True(tables["0"].newView(start).rank == 0)
	later := start.Add(watcherTimeoutLarge + time.Millisecond)
	for id, tbl := range tables {
		for other := 1; other < len(tables); other++ {
			if fmt.Sprint(other) != id {
				heartbeat := heartbeatOfClass(fmt.Sprint(other), uint64(other+2), 2)
				heartbeat.Sequence = 2
				tbl.record(heartbeat, later)
			}
		}
	}
	is.Equal(len(asking(later, "0")), watchers)
	for id, tbl := range tables {
		heartbeat := heartbeatOfClass("0", 2, 5)
		heartbeat.Sequence = 3
		if id != "0" {
			tbl.record(heartbeat, later)
			is.True(tbl.newView(later).candidates[0].id == "0")
		}
	}
	is.Equal(len(asking(later, "")), watchers)
}

// TestHeartbeatWithoutSenderKeepsClass checks that a heartbeat without its sender's identity, as
// most are, keeps the class.
func TestHeartbeatWithoutSenderKeepsClass(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", nil, "", 7000)
	tbl.record(heartbeatOfClass("1", 7, 5), start)
	sender, _ := tbl.record(&wire.GatewayBeat{Life: 7, Sequence: 2, StoreReachable: true}, start)
	is.Equal(sender.class, Class(5))
	replaced := heartbeatOfClass("1", 7, 3) // the host was replaced
	replaced.Sequence = 3
	sender, _ = tbl.record(replaced, start)
	is.Equal(sender.class, Class(3))
	tooLarge := heartbeatOfClass("1", 7, 1<<30)
	tooLarge.Sequence = 4
	sender, _ = tbl.record(tooLarge, start)
	is.Equal(sender.class, Class(maxClass))
}

// TestWholeCopiesComeFromLargeHosts checks that a starting gateway asks any one of the large hosts
// that have a copy, and a small host only while the large ones refuse.
func TestWholeCopiesComeFromLargeHosts(t *testing.T) {
	const refused = time.Second
	cases := map[string]struct {
		own      int64
		refusing int // large hosts that refused a moment ago
		classes  []Class
		sources  int
	}{
		"an empty replica":                      {0, 0, []Class{5}, 3},
		"one large host refuses":                {0, 1, []Class{5}, 2},
		"all large hosts refuse":                {0, 3, []Class{2}, 5},
		"a replica that lacks the last changes": {5, 0, []Class{2}, 1}, // the peer with the highest revision
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newTestService()
			service.options.Replica = &fakeReplica{revision: tc.own}
			now := time.Now()
			for number, class := range hostClasses(fullMeshLimit, 3) { // too few for a tree
				heartbeat := heartbeatOfClass(fmt.Sprint(number), uint64(number+2), class)
				heartbeat.Revision = 9
				if number == fullMeshLimit-1 {
					heartbeat.Revision = 10 // a small host is ahead of all
				}
				p, _ := service.table.record(heartbeat, now)
				if number < tc.refusing {
					p.pullFailedAt = now.Add(-refused)
				}
			}
			sources := make(map[string]bool)
			for range 400 {
				service.cachedView = nil
				ahead := service.peerAhead(now)
				sources[ahead.id] = true
				is.Equal(ahead.class, tc.classes[0])
			}
			is.Equal(len(sources), tc.sources)
		})
	}
}

// TestDirectoryShareByClass checks that hosts keep parts in proportion to class + 1, and that all
// gateways agree on the keepers.
func TestDirectoryShareByClass(t *testing.T) {
	is := is.New(t)
	const parts, large = 20000, 8
	all := classTables(hostClasses(28, large))
	kept := make(map[bool]int)
	for part := range uint32(parts) {
		keeper := all["0"].newView(start).keeper(part<<8, policy.HashName("0"))
		other := all["20"].newView(start).keeper(part<<8, policy.HashName("20"))
		kept[keeper == nil || keeper.class == 5]++
		is.True(keeper == nil && other.id == "0" || keeper != nil && (other == nil && keeper.id == "20" || other != nil && other.id == keeper.id))
	}
	each := float64(kept[true]) / large / (float64(kept[false]) / (28 - large))
	is.True(each > 1.8)
	is.True(each < 2.2) // (5 + 1) / (2 + 1)
}

// TestWeightedScoreKeepsOrderOfEqualShares checks that among equal hosts the keepers are the same
// as without classes.
func TestWeightedScoreKeepsOrderOfEqualShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
		share := Class(rapid.IntRange(0, maxClass).Draw(t, "class")).share()
		if a < b && weightedScore(a, share) > weightedScore(b, share) {
			t.Fatalf("%d comes before %d", a, b)
		}
		if w := weightedScore(a, share); math.IsNaN(w) || w < 0 {
			t.Fatalf("%d weighs %v", a, w)
		}
	})
}
