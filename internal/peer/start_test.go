package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// startingFleet are the tables of gateways that begin together, each with a copy of the store
// but for the first ones, who read it, and that send each other beats as fast as their bytes
// allow.
type startingFleet struct {
	tables []*table
	// readers are the first ones, that have read the store.
	readers int
	// next is to whom each of them sends next.
	next []int
	now  time.Time
	rng  *rand.Rand
}

// beatsPerSecond is how many beats of 110 bytes 7,000 bytes a second allow.
const beatsPerSecond = 64

func newStartingFleet(count, readers int) *startingFleet {
	f := &startingFleet{readers: readers, now: start, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range count {
		t := newTable(fmt.Sprint(i), nil, "", 7000)
		t.markStarted(start.Add(time.Duration(f.rng.IntN(300)) * time.Millisecond))
		t.loaded = true
		f.tables = append(f.tables, t)
		f.next = append(f.next, f.rng.IntN(count))
	}
	// A few hear each other by the settings' seeds, and each gets its copy from one that has it.
	for i := range count {
		for range fullMeshLimit + 2 {
			f.sendHeartbeat(f.rng.IntN(count), i)
		}
		if i >= readers {
			source := f.rng.IntN(i)
			f.sendHeartbeat(source, i)
			f.tables[i].setSource(fmt.Sprint(source))
		}
	}
	return f
}

// beat has one gateway send a beat to another.
func (f *startingFleet) sendHeartbeat(from, to int) {
	if from == to {
		return
	}
	heartbeat := heartbeatFrom(fmt.Sprint(from), uint64(f.now.Sub(start)/time.Millisecond)+1)
	heartbeat.Life = uint64(from + 2)
	if from < f.readers || f.tables[from].source != nil {
		heartbeat.Revision = 1
	}
	heartbeat.Follows = f.tables[from].activeSource(f.now) != nil
	f.tables[to].record(heartbeat, f.now)
}

// step passes some time; it returns how many ask the store at its end.
func (f *startingFleet) step(elapsed time.Duration) int {
	f.now = f.now.Add(elapsed)
	for from := range f.tables {
		for range int(beatsPerSecond * elapsed.Seconds()) {
			f.next[from] = (f.next[from] + 1) % len(f.tables)
			f.sendHeartbeat(from, f.next[from])
		}
	}
	asking := 0
	for _, known := range f.tables {
		if known.newView(f.now).asksStore() {
			asking++
		}
	}
	return asking
}

// TestStoreWatchesAtFleetStart: 385 gateways that began together made 1,600 watches
// of the store in their first five seconds, since each knew of too few others. Pattern: all
// processes of a large fleet begin at the same moment.
func TestStoreWatchesAtFleetStart(t *testing.T) {
	cases := map[string]struct {
		count          int
		step, duration time.Duration
	}{
		"60 gateways":  {60, 500 * time.Millisecond, 12 * time.Second},
		"385 gateways": {385, time.Second, 16 * time.Second},
		"770 gateways": {770, 3 * time.Second, 30 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const readers = 40
			f := newStartingFleet(tc.count, readers)
			// As a watch lasts a second, so many of them are made at most: one of each that has
			// read the store, and a few times those of the two that are to go on with it.
			asked := 0
			last := 0
			for range tc.duration / tc.step {
				last = f.step(tc.step)
				asked += last
				is.True(last >= 1) // somebody always asks
			}
			watches := float64(asked) * tc.step.Seconds()
			if limit := 4*watchers*tc.duration.Seconds() + readers; watches > limit {
				t.Errorf("%v watches, at most %v", watches, limit)
			}
			is.Equal(last, watchers)
		})
	}
}

// TestParentsAreAcyclicAtStart: whom the gateways ask for proofs leads to one that asks the
// store, at each moment of a start but for the one between the first gateway that goes by the
// order of all and the last: a proof is good for longer.
func TestParentsAreAcyclicAtStart(t *testing.T) {
	f := newStartingFleet(200, 20)
	circles := 0
	const step = 500 * time.Millisecond
	for range 12 * time.Second / step {
		f.step(step)
		parents := make(map[string]*peer)
		for _, known := range f.tables {
			parents[known.self] = known.newView(f.now).parent()
		}
		for self := range parents {
			steps := 0
			for ancestor := self; parents[ancestor] != nil; ancestor = parents[ancestor].id {
				if steps++; steps > len(f.tables) {
					circles++
					break
				}
			}
		}
		if since := f.now.Sub(start); circles > 0 && (since < minSettleTime || since > minSettleTime+step) {
			t.Fatalf("%d ask in a circle at %v", circles, since)
		}
		circles = 0
	}
}

// TestFollowingEnds: one whose source leaves, ends, begins anew or no longer answers goes by
// what it knows of the others.
func TestFollowingEnds(t *testing.T) {
	cases := map[string]struct {
		event   func(known *table)
		follows bool
	}{
		"nothing": {func(*table) {}, true},
		"it leaves": {func(known *table) {
			heartbeat := heartbeatFrom("1", 9)
			heartbeat.Life, heartbeat.Leaving = 3, true
			known.record(heartbeat, start)
		}, false},
		"another life": {func(known *table) {
			heartbeat := heartbeatFrom("1", 1)
			heartbeat.Life = 99
			known.record(heartbeat, start)
		}, false},
		"no answers": {func(known *table) { known.peers["1"].unanswered = maxUnanswered }, false},
		"settled":    {func(known *table) { known.startedAt = start.Add(-time.Minute) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			known := tables(20)["0"]
			known.markStarted(start)
			known.setSource("1")
			tc.event(known)
			current := known.newView(start)
			is.Equal(current.source != nil, tc.follows)
			if tc.follows {
				is.Equal(current.parent().id, "1")
				is.True(!current.asksStore())
				is.Equal(len(current.children()), 0)
			}
		})
	}
}

// TestFollowersAreNotCandidates: who has just begun is not taken for one that asks the store.
func TestFollowersAreNotCandidates(t *testing.T) {
	is := is.New(t)
	known := tables(20)["0"]
	first := known.newView(start).candidates[0]
	known.record(&wire.GatewayBeat{Id: first.id, Life: first.incarnation, Address: first.address, Sequence: 2, StoreReachable: true, Follows: true}, start)
	is.True(known.newView(start).candidates[0] != first)
}
