package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// TestHeartbeatsReachAllPeersAtStart: of 385 gateways that began together all sent their
// first beats to those whose ids come first; the last heard nobody for seconds, took themselves
// for alone, and read and watched the store. Pattern: all processes of a large fleet begin at
// the same moment, and bytes suffice for a sixth of them a second.
func TestHeartbeatsReachAllPeersAtStart(t *testing.T) {
	is := is.New(t)
	const count, perRound = 385, 64
	received := make(map[string]int)
	for self := range count {
		known := newTable(fmt.Sprint(self), nil, "", 7000)
		for other := range count {
			if other != self {
				heartbeat := heartbeatFrom(fmt.Sprint(other), 1)
				heartbeat.Life = uint64(other + 2)
				known.record(heartbeat, start)
			}
		}
		live := known.live(start)
		sortForBroadcast(live, policy.HashName(known.self))
		for _, to := range live[:perRound] {
			received[to.id]++
		}
	}
	is.Equal(len(received), count)
	for _, times := range received {
		is.True(times >= perRound/3)
	}
}

// TestLongestWaitComesFirst whatever the gateway's own order is.
func TestLongestWaitComesFirst(t *testing.T) {
	is := is.New(t)
	known := tables(30)["0"]
	live := known.live(start)
	for place, to := range live {
		to.heartbeatSentAt = start
		if place == 11 {
			to.heartbeatSentAt = start.Add(-10 * known.heartbeatInterval())
		}
	}
	longest := live[11]
	sortForBroadcast(live, 12345)
	is.Equal(live[0], longest)
}

// TestIsolatedPeersComeFirst: a gateway that the settings name as a seed hears hundreds
// at once that hear nobody but it. They are answered before those that hear others, and their
// addresses are passed on before others', so that more gateways call them.
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
	for _, known := range live {
		if known.alone {
			known.heartbeatSentAt = now // even so
		}
	}
	sortForBroadcast(live, n.hash)
	for place, known := range live {
		is.Equal(known.alone, place < 6)
	}
	addresses := n.sampleAddresses(now, "")
	is.Equal(len(addresses), maxKnownAddresses)
	for _, address := range addresses {
		is.True(strings.HasSuffix(address, "0")) // theirs
	}
	heartbeat := heartbeatFrom("0", 2)
	heartbeat.Life = 2
	known, _ := n.table.record(heartbeat, now)
	is.True(!known.alone) // it has heard somebody since
}
