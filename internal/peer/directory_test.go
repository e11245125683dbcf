package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// largeFleet is a number of gateways that makes a fleet large.
const largeFleet = fullMeshLimit + 4

// newLargeFleet starts largeFleet gateways that have discovered each other.
func newLargeFleet(t *testing.T) []*node {
	t.Helper()
	network := link.NewMemory()
	nodes := []*node{newNode(t, "node-0", network)}
	for i := 1; i < largeFleet; i++ {
		nodes = append(nodes, newNode(t, fmt.Sprintf("node-%d", i), network, nodes[0].service.options.Address))
	}
	waitFor(t, "all gateways see all others", func() bool {
		for _, n := range nodes {
			if n.service.Live() != largeFleet-1 {
				return false
			}
		}
		return true
	})
	return nodes
}

// keeperOf returns the one gateway that considers itself the keeper of a part.
func keeperOf(t *testing.T, nodes []*node, part uint32) int {
	t.Helper()
	keeper := -1
	for i, n := range nodes {
		n.service.mu.Lock()
		isKeeper := n.service.currentView(time.Now()).keeper(part, n.service.hash) == nil
		n.service.mu.Unlock()
		if isKeeper && keeper >= 0 {
			t.Fatalf("part %d has two keepers, %d and %d", part, keeper, i)
		}
		if isKeeper {
			keeper = i
		}
	}
	if keeper < 0 {
		t.Fatalf("part %d has no keeper", part)
	}
	return keeper
}

// otherThan returns two gateways that don't keep a part.
func otherThan(keeper int) (one, other int) {
	return (keeper + 1) % largeFleet, (keeper + 2) % largeFleet
}

func placementOf(part uint32) balance.Placement {
	return balance.Placement{Part: part, Target: uint32(policy.HashName("t") >> 32)}
}

func holds(n *node, part uint32) func() bool {
	return func() bool { return n.balancer.Holds(placementOf(part)) }
}

// TestFindPlacement checks that a gateway finds another one's placement by asking the keeper.
func TestFindPlacement(t *testing.T) {
	is := is.New(t)
	nodes := newLargeFleet(t)
	const part = 42
	keeper := keeperOf(t, nodes, part)
	placer, asker := otherThan(keeper)
	query := balance.Query{Service: "s", Parts: []uint64{part << 32}, Tokens: []int{5000}}
	waitFor(t, "the keeper holds the placement", func() bool {
		placed := nodes[placer].balancer.Confirm("t", query)
		nodes[placer].service.Placed(placed)
		return holds(nodes[keeper], part)()
	})
	waitFor(t, "the asker finds the placement", func() bool {
		return nodes[asker].service.Find(t.Context(), []uint32{part}) == balance.Answered && holds(nodes[asker], part)()
	})
	is.Equal(nodes[keeper].service.Find(t.Context(), []uint32{part}), balance.NotAsked) // it is the keeper itself
}

// TestWaitersAreNotified checks that a gateway that looks up a part which is still being prefilled
// is notified as soon as it has been prefilled.
func TestWaitersAreNotified(t *testing.T) {
	nodes := newLargeFleet(t)
	const part = 43
	keeper := keeperOf(t, nodes, part)
	placer, asker := otherThan(keeper)
	query := balance.Query{Service: "s", Parts: []uint64{part << 32}, Tokens: []int{5000}}
	var done <-chan struct{}
	waitFor(t, "the asker learns that the part is being read", func() bool {
		pick, _ := nodes[placer].balancer.Choose(query, time.Now())
		nodes[placer].service.Filling(pick.Fills)
		nodes[asker].service.Find(t.Context(), []uint32{part})
		filled, filling := nodes[asker].balancer.Filling(query, time.Now())
		if !filling {
			nodes[placer].balancer.Withdraw("t", query.Parts)
		}
		done = filled
		return filling
	})
	nodes[placer].service.Placed(nodes[placer].balancer.Confirm("t", query))
	waitFor(t, "the asker is notified", holds(nodes[asker], part))
	<-done
}

// TestLostKeeperIsReplaced checks that a lookup without an answer ends, and that another gateway
// is asked after a few of them.
func TestLostKeeperIsReplaced(t *testing.T) {
	is := is.New(t)
	nodes := newLargeFleet(t)
	const part = 44
	keeper := keeperOf(t, nodes, part)
	asker, _ := otherThan(keeper)
	is.NoErr(nodes[keeper].service.Close())
	is.Equal(nodes[asker].service.Find(t.Context(), []uint32{part}), balance.Unanswered)
	waitFor(t, "another gateway answers, or this one is the keeper", func() bool {
		return nodes[asker].service.Find(t.Context(), []uint32{part}) != balance.Unanswered
	})
}

// TestFindInSmallFleet checks that no lookups are sent in a small fleet, where heartbeats carry
// all placements.
func TestFindInSmallFleet(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	one := newNode(t, "one", network)
	two := newNode(t, "two", network, one.service.options.Address)
	waitFor(t, "both gateways see each other", func() bool { return one.service.Live() == 1 && two.service.Live() == 1 })
	is.Equal(two.service.Find(t.Context(), []uint32{1}), balance.NotAsked)
}

// TestKeepersAreBalanced checks that each gateway of a large fleet keeps about its share of the
// parts, and that all agree on the keepers.
func TestKeepersAreBalanced(t *testing.T) {
	is := is.New(t)
	const gateways, parts = 103, 5000
	all := tables(gateways)
	kept := make(map[string]int)
	for part := range uint32(parts) {
		keeper := all["0"].newView(start).keeper(part<<8, policy.HashName("0"))
		id := "0"
		if keeper != nil {
			id = keeper.id
		}
		kept[id]++
		for _, self := range []string{"1", "50", "102"} {
			other := all[self].newView(start).keeper(part<<8, policy.HashName(self))
			is.True(other == nil && id == self || other != nil && other.id == id) // all agree
		}
	}
	for _, count := range kept {
		is.True(count < 3*parts/gateways) // no gateway keeps three times its share
	}
	is.Equal(len(kept), gateways)
}

// TestDirectoryBudget guards against lookups and placements that use up the byte budget. In a
// surge on a large site loads were no longer reported, gateways lost each other and took targets
// with 150 requests in flight for nearly empty.
func TestDirectoryBudget(t *testing.T) {
	is := is.New(t)
	nodes := newLargeFleet(t)
	service := nodes[0].service
	service.mu.Lock()
	service.directoryBucket = rate.NewLimiter(0, 100) // room for a few datagrams
	service.mu.Unlock()
	parts := make([]uint32, 200)
	for i := range parts {
		parts[i] = uint32(i) << 20
	}
	asked := service.sendLookups(parts)
	is.True(len(asked) > 0)
	is.True(len(asked) < 10)
	service.finishLookups(asked, false)
	service.mu.Lock()
	is.Equal(len(service.directory.lookups), 0) // lookups that were not sent are not kept open
	service.mu.Unlock()
}

// TestBareHeartbeatKeepsReportedState checks that a heartbeat without the sender's state doesn't
// overwrite it.
func TestBareHeartbeatKeepsReportedState(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", nil, "", 7000)
	full := heartbeatFrom("other", 1)
	full.StoreReachable, full.Revision, full.HasProof, full.ProofAgeMs = true, 9, true, 70
	tbl.record(full, start)
	tbl.peers["other"].unanswered, tbl.peers["other"].unansweredLookups = 2, 2
	sender, change := tbl.record(&wire.GatewayBeat{Life: full.GetLife(), Sequence: 2, Brief: true, Bare: true}, start.Add(time.Second))
	is.Equal(change, unchanged)
	is.True(sender.reachesStore)
	is.Equal(sender.revision, int64(9))
	is.Equal(sender.proofAge, 70*time.Millisecond)
	is.Equal(sender.lastHeartbeat, start.Add(time.Second)) // but the peer is alive
	is.Equal(sender.unanswered, 0)
	is.Equal(sender.unansweredLookups, 0)
	is.Equal(sender.sequence, uint64(2))
	_, change = tbl.record(&wire.GatewayBeat{Life: 777, Sequence: 1, Brief: true, Bare: true}, start)
	is.Equal(change, outdated) // the sender is unknown
}

// TestUnansweredLookupsKeepTreeRank checks that a peer that answers no lookups, as in a surge, is
// sent no more of them but keeps its rank in the tree. When it lost its rank as well, more than
// two gateways took themselves for the first and asked the store.
func TestUnansweredLookupsKeepTreeRank(t *testing.T) {
	is := is.New(t)
	tbl := tables(30)["0"]
	before := tbl.newView(start)
	const part = 7
	keeper := before.keeper(part, policy.HashName("0"))
	is.True(keeper != nil)
	keeper.unansweredLookups = maxUnanswered
	after := tbl.newView(start)
	is.True(after.keeper(part, policy.HashName("0")) != keeper)
	is.Equal(len(after.candidates), len(before.candidates))
	is.Equal(after.rank, before.rank)
}
