package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// TestAFleetThatBeginsHearsItselfAtOnce: of 385 gateways that began together all sent their
// first beats to those whose ids come first; the last heard nobody for seconds, took themselves
// for alone, and read and watched the store. Pattern: all processes of a large fleet begin at
// the same moment, and bytes suffice for a sixth of them a second.
func TestAFleetThatBeginsHearsItselfAtOnce(t *testing.T) {
	is := is.New(t)
	const count, beats = 385, 64
	heard := make(map[string]int)
	for self := range count {
		known := newTable(fmt.Sprint(self), nil, "", 7000)
		for other := range count {
			if other != self {
				beat := beatOf(fmt.Sprint(other), 1)
				beat.Life = uint64(other + 2)
				known.take(beat, start)
			}
		}
		live := known.live(start)
		inTurn(live, policy.HashName(known.self))
		for _, to := range live[:beats] {
			heard[to.id]++
		}
	}
	is.Equal(len(heard), count)
	for _, times := range heard {
		is.True(times >= beats/3)
	}
}

// TestWhoHasWaitedLongestComesFirst whatever the gateway's own order is.
func TestWhoHasWaitedLongestComesFirst(t *testing.T) {
	is := is.New(t)
	known := tables(30)["0"]
	live := known.live(start)
	for place, to := range live {
		to.reportedAt = start
		if place == 11 {
			to.reportedAt = start.Add(-10 * known.beatInterval())
		}
	}
	longest := live[11]
	inTurn(live, 12345)
	is.Equal(live[0], longest)
}

// TestThoseThatHearNobodyComeFirst: a gateway that the settings name as a seed hears hundreds
// at once that hear nobody but it. They are answered before those that hear others, and their
// addresses are passed on before others', so that more gateways call them.
func TestThoseThatHearNobodyComeFirst(t *testing.T) {
	is := is.New(t)
	n := treeNode(t, "self", 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for i := range 60 {
		beat := beatOf(fmt.Sprint(i), 1)
		beat.Life, beat.Alone = uint64(i+2), i%10 == 0
		n.table.take(beat, now)
	}
	n.seen = nil
	live := n.table.live(now)
	for _, known := range live {
		if known.alone {
			known.reportedAt = now // even so
		}
	}
	inTurn(live, n.hash)
	for place, known := range live {
		is.Equal(known.alone, place < 6)
	}
	addresses := n.someAddresses(now, "")
	is.Equal(len(addresses), mostKnown)
	for _, address := range addresses {
		is.True(strings.HasSuffix(address, "0")) // theirs
	}
	beat := beatOf("0", 2)
	beat.Life = 2
	known, _ := n.table.take(beat, now)
	is.True(!known.alone) // it has heard somebody since
}
