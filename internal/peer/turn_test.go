package peer

import (
	"fmt"
	"testing"

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
