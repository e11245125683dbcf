package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// TestHeartbeatsReachAllPeersAtStart guards against a shared order of first heartbeats when all
// gateways of a large fleet start together and have bytes for a sixth of their peers a second. All
// 385 gateways of a fleet sent their first heartbeats to the gateways with the lowest ids; the
// last ones heard none for seconds, took themselves for alone, and read and watched the store.
func TestHeartbeatsReachAllPeersAtStart(t *testing.T) {
	is := is.New(t)
	const count, perRound = 385, 64
	received := make(map[string]int)
	for self := range count {
		tbl := newTable(fmt.Sprint(self), nil, "", 7000)
		for other := range count {
			if other != self {
				heartbeat := heartbeatFrom(fmt.Sprint(other), 1)
				heartbeat.Life = uint64(other + 2)
				tbl.record(heartbeat, start)
			}
		}
		live := tbl.live(start)
		sortForBroadcast(live, policy.HashName(tbl.self))
		for _, to := range live[:perRound] {
			received[to.id]++
		}
	}
	is.Equal(len(received), count)
	for _, times := range received {
		is.True(times >= perRound/3)
	}
}

// TestLongestWaitComesFirst checks that waiting time precedes the gateway's own order.
func TestLongestWaitComesFirst(t *testing.T) {
	is := is.New(t)
	tbl := tables(30)["0"]
	live := tbl.live(start)
	for index, to := range live {
		to.heartbeatSentAt = start
		if index == 11 {
			to.heartbeatSentAt = start.Add(-10 * tbl.heartbeatInterval())
		}
	}
	longest := live[11]
	sortForBroadcast(live, 12345)
	is.Equal(live[0], longest)
}

// TestIsolatedPeersComeFirst checks the order at a gateway that the settings name as a seed, which
// hears hundreds of gateways at once that hear no other. They get heartbeats before those that
// hear others, and their addresses are passed on first, so that more gateways contact them.
func TestIsolatedPeersComeFirst(t *testing.T) {
	is := is.New(t)
	n := newUnstartedService(t, "self", 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for i := range 60 {
		heartbeat := heartbeatFrom(fmt.Sprint(i), 1)
		heartbeat.Life, heartbeat.Alone = uint64(i+2), i%10 == 0
		n.table.record(heartbeat, now)
	}
	n.cachedView = nil
	live := n.table.live(now)
	for _, p := range live {
		if p.alone {
			p.heartbeatSentAt = now // they come first all the same
		}
	}
	sortForBroadcast(live, n.hash)
	for index, p := range live {
		is.Equal(p.alone, index < 6)
	}
	addresses := n.sampleAddresses(now, "")
	is.Equal(len(addresses), maxKnownAddresses)
	for _, address := range addresses {
		is.True(strings.HasSuffix(address, "0")) // an address of an isolated peer
	}
	heartbeat := heartbeatFrom("0", 2)
	heartbeat.Life = 2
	p, _ := n.table.record(heartbeat, now)
	is.True(!p.alone) // it has heard another gateway since
}
