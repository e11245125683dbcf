package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/wire"
)

var start = time.Unix(1000, 0)

func heartbeatFrom(id string, sequence uint64) *wire.GatewayBeat {
	return &wire.GatewayBeat{Id: id, Life: 1, Address: "10.0.0.1:" + id, Sequence: sequence, StoreReachable: true}
}

func TestRecordHeartbeat(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", []string{"10.0.0.1:1"}, "10.0.0.9:9", 7000)
	_, change := tbl.record(heartbeatFrom("1", 5), start)
	is.Equal(change, found)
	_, change = tbl.record(heartbeatFrom("1", 6), start)
	is.Equal(change, unchanged)
	_, change = tbl.record(heartbeatFrom("1", 6), start) // duplicate
	is.Equal(change, outdated)
	_, change = tbl.record(heartbeatFrom("1", 2), start) // reordered in transit
	is.Equal(change, outdated)
	restarted := heartbeatFrom("1", 1)
	restarted.Life = 2
	_, change = tbl.record(restarted, start)
	is.Equal(change, found) // a new incarnation starts its own sequence
}

func TestLossAndReturn(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", nil, "10.0.0.9:9", 7000)
	tbl.record(heartbeatFrom("1", 1), start)
	is.Equal(len(tbl.expire(start.Add(minLostAfter))), 0)
	later := start.Add(minLostAfter + time.Millisecond)
	is.Equal(len(tbl.expire(later)), 1)
	is.Equal(len(tbl.expire(later)), 0) // reported once
	is.Equal(len(tbl.live(later)), 0)
	is.Equal(tbl.dueAddresses(later), []string{"10.0.0.1:1"}) // it is still contacted
	_, change := tbl.record(heartbeatFrom("1", 2), later)
	is.Equal(change, found)
	is.Equal(len(tbl.live(later)), 1)
}

func TestSeedsAreRetriedForever(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", []string{"10.0.0.1:1", "10.0.0.9:9"}, "10.0.0.9:9", 7000)
	is.Equal(tbl.dueAddresses(start), []string{"10.0.0.1:1"}) // not its own address
	is.Equal(len(tbl.dueAddresses(start)), 0)
	tbl.record(heartbeatFrom("1", 1), start)
	tbl.expire(start.Add(forgetAfter + time.Second))
	is.Equal(tbl.dueAddresses(start.Add(forgetAfter+2*time.Second)), []string{"10.0.0.1:1"})
}

// TestStoreWatchers checks that among gateways that see each other exactly the required number ask
// the store, of those that reach it, and that one of them is the first.
func TestStoreWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "gateways")
		reaches := rapid.SliceOfN(rapid.Bool(), count, count).Draw(t, "reaches")
		asking, first, reaching := 0, 0, 0
		for self := range count {
			tbl := newTable(fmt.Sprint(self), nil, "", 7000)
			for other := range count {
				if other != self {
					heartbeat := heartbeatFrom(fmt.Sprint(other), 1)
					heartbeat.StoreReachable = reaches[other]
					tbl.record(heartbeat, start)
				}
			}
			if !reaches[self] {
				continue
			}
			reaching++
			if tbl.newView(start).asksStore() {
				asking++
			}
			if tbl.newView(start).rank == 0 {
				first++
			}
		}
		if asking != min(watchers, reaching) || first != min(1, reaching) {
			t.Fatalf("%d ask and %d are first of %d that reach the store", asking, first, reaching)
		}
	})
}

// TestPeerWithFailedPullComesLast guards against repeated pulls from a peer that is cut off in one
// direction while others hold the same revision. It was found in drain tests.
func TestPeerWithFailedPullComesLast(t *testing.T) {
	cases := map[string]struct {
		revisions [2]int64
		failed    [2]bool
		want      string
	}{
		"highest revision":             {[2]int64{8, 9}, [2]bool{false, false}, "1"},
		"highest revision has failed":  {[2]int64{8, 9}, [2]bool{false, true}, "0"},
		"both have failed":             {[2]int64{9, 8}, [2]bool{true, true}, "0"},
		"only one is ahead":            {[2]int64{7, 9}, [2]bool{false, true}, "1"},
		"one without a recent failure": {[2]int64{8, 9}, [2]bool{true, false}, "1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newTestService() // its replica is at revision 7
			for number, revision := range tc.revisions {
				heartbeat := heartbeatFrom(fmt.Sprint(number), 1)
				heartbeat.Life, heartbeat.Revision = uint64(number+2), revision
				service.table.record(heartbeat, start)
				if tc.failed[number] {
					service.table.peers[fmt.Sprint(number)].pullFailedAt = start
				}
			}
			is.Equal(service.peerAhead(start.Add(time.Second)).id, tc.want)
		})
	}
}

// TestSilentWatcherIsReplaced checks that the next gateway asks the store in place of a silent one
// before that counts as lost.
func TestSilentWatcherIsReplaced(t *testing.T) {
	cases := map[string]struct {
		others int
		silent time.Duration
		asks   bool
	}{
		"small fleet, heard":  {watchers, 500 * time.Millisecond, false},
		"small fleet, silent": {watchers, watcherTimeout + time.Millisecond, true},
		"large fleet, heard":  {fullMeshLimit + watchers, watcherTimeout + time.Millisecond, false},
		"large fleet, silent": {fullMeshLimit + watchers, watcherTimeoutLarge + time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tbl := newTable("self", nil, "", 7000)
			added := 0
			for number := 0; added < tc.others; number++ {
				id := fmt.Sprint(number)
				if askScore(id) <= askScore("self") {
					continue // it comes after this gateway
				}
				heartbeat := heartbeatFrom(id, 1)
				heartbeat.Life = uint64(number + 2)
				tbl.record(heartbeat, start)
				added++
			}
			is.Equal(tbl.newView(start.Add(tc.silent)).asksStore(), tc.asks)
		})
	}
}

// TestRetryBackoffToSilentAddress checks the delays between heartbeats to a silent address.
// Gateways that start together miss each other's first heartbeats; with one a second they found
// each other only 0.7 to 1.1 s after their start.
func TestRetryBackoffToSilentAddress(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", []string{"10.0.0.1:1"}, "10.0.0.9:9", 7000)
	sent := make(map[time.Duration]int)
	for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
		sent[at.Truncate(time.Second)] += len(tbl.dueAddresses(start.Add(at)))
	}
	is.True(sent[0] >= 4)
	is.Equal(sent[5*time.Second], 1)
	is.Equal(sent[9*time.Second], 1)
	// A peer that was heard and lost again is contacted soon, too, but not forever.
	tbl.record(heartbeatFrom("2", 1), start)
	is.Equal(len(tbl.addresses), 1)
	later := start.Add(minLostAfter + time.Millisecond)
	tbl.expire(later)
	is.True(slices.Contains(tbl.dueAddresses(later), "10.0.0.1:2"))
	is.True(slices.Contains(tbl.dueAddresses(later.Add(baseRetryDelay<<1)), "10.0.0.1:2"))
	tbl.expire(start.Add(forgetAfter + time.Second))
	is.True(!slices.Contains(tbl.dueAddresses(start.Add(forgetAfter+time.Minute)), "10.0.0.1:2"))
}

// TestStoredSeedsAreNeverForgotten guards against gateways that stay apart after a cut that lasted longer than
// an address is remembered, although the store lists them.
func TestStoredSeedsAreNeverForgotten(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", nil, "10.0.0.9:9", 7000)
	tbl.setStoredSeeds([]string{"10.0.0.1:1", "10.0.0.9:9"})
	is.Equal(len(tbl.dueAddresses(start)), 0) // a gateway that doesn't ask the store leaves it to the others
	tbl.contactStoredSeeds()
	is.Equal(tbl.dueAddresses(start), []string{"10.0.0.1:1"}) // not its own address
	tbl.record(heartbeatFrom("1", 1), start)
	later := start.Add(3*forgetAfter + time.Second)
	for at := start; at.Before(later); at = at.Add(time.Second) {
		tbl.expire(at)
		tbl.contactStoredSeeds()
		tbl.dueAddresses(at)
	}
	is.Equal(len(tbl.peers), 0)
	is.Equal(tbl.dueAddresses(later.Add(maxRetryDelay)), []string{"10.0.0.1:1"})
	is.Equal(tbl.census(0, later).Silent, 0) // it need not be a gateway that is cut off
}

// TestSilentAddressesAreForgotten guards against addresses that are contacted for ever because another gateway
// once named them.
func TestSilentAddressesAreForgotten(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", []string{"10.0.0.1:1"}, "10.0.0.9:9", 7000)
	tbl.discover([]string{"10.0.0.2:2"})
	is.Equal(tbl.dueAddresses(start), []string{"10.0.0.1:1", "10.0.0.2:2"})
	later := start.Add(forgetAfter + time.Second)
	is.Equal(tbl.census(0, later).Silent, 1)
	tbl.expire(later)
	is.Equal(tbl.dueAddresses(later), []string{"10.0.0.1:1"})
}

// TestSeedsAreReplaced checks that new settings add their seeds, and that the old ones are forgotten.
func TestSeedsAreReplaced(t *testing.T) {
	is := is.New(t)
	tbl := newTable("self", []string{"10.0.0.1:1"}, "10.0.0.9:9", 7000)
	tbl.dueAddresses(start)
	tbl.setSeeds([]string{"10.0.0.2:2"})
	is.Equal(tbl.dueAddresses(start.Add(maxRetryDelay)), []string{"10.0.0.1:1", "10.0.0.2:2"})
	later := start.Add(forgetAfter + time.Second)
	tbl.expire(later)
	is.Equal(tbl.dueAddresses(later), []string{"10.0.0.2:2"})
}
