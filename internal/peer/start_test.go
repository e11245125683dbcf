package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// startingFleet holds the tables of gateways that start together and send each other heartbeats as
// fast as their bytes allow. The first ones have read the store; the others have pulled a copy.
type startingFleet struct {
	tables []*table
	// readers is the number of gateways at the beginning of tables that have read the store.
	readers int
	// next holds the index of the gateway that each one sends to next.
	next []int
	now  time.Time
	rng  *rand.Rand
}

// beatsPerSecond is the number of heartbeats of 110 bytes that 7,000 bytes a second allow.
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
	// Each gateway hears a few others, as through the settings' seeds, and pulls its copy from one
	// that has it.
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

// sendHeartbeat sends a heartbeat from one gateway to another.
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

// step advances the time, and returns the number of gateways that ask the store afterwards.
func (f *startingFleet) step(elapsed time.Duration) int {
	f.now = f.now.Add(elapsed)
	for from := range f.tables {
		for range int(beatsPerSecond * elapsed.Seconds()) {
			f.next[from] = (f.next[from] + 1) % len(f.tables)
			f.sendHeartbeat(from, f.next[from])
		}
	}
	asking := 0
	for _, tbl := range f.tables {
		if tbl.newView(f.now).asksStore() {
			asking++
		}
	}
	return asking
}

// TestStoreWatchesAtFleetStart guards against a load peak on the store when all gateways of a
// large fleet start together. Since each knew too few others, 385 gateways made 1,600 watches of
// the store in their first five seconds.
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
			// A watch lasts a second. The limit is one watch for each gateway that has read the
			// store, and a few times those of the two permanent watchers.
			asked := 0
			last := 0
			for range tc.duration / tc.step {
				last = f.step(tc.step)
				asked += last
				is.True(last >= 1) // there is always one that asks
			}
			watches := float64(asked) * tc.step.Seconds()
			if limit := 4*watchers*tc.duration.Seconds() + readers; watches > limit {
				t.Errorf("%v watches, want at most %v", watches, limit)
			}
			is.Equal(last, watchers)
		})
	}
}

// TestParentsAreAcyclicAtStart checks that the chain of parents ends at a gateway that asks the
// store at each moment of a start. The exception is the time between the first and the last
// gateway that switches to the shared order, which is shorter than a proof is valid.
func TestParentsAreAcyclicAtStart(t *testing.T) {
	f := newStartingFleet(200, 20)
	cycles := 0
	const step = 500 * time.Millisecond
	for range 12 * time.Second / step {
		f.step(step)
		parents := make(map[string]*peer)
		for _, tbl := range f.tables {
			parents[tbl.self] = tbl.newView(f.now).parent()
		}
		for self := range parents {
			steps := 0
			for ancestor := self; parents[ancestor] != nil; ancestor = parents[ancestor].id {
				if steps++; steps > len(f.tables) {
					cycles++
					break
				}
			}
		}
		if since := f.now.Sub(start); cycles > 0 && (since < minSettleTime || since > minSettleTime+step) {
			t.Fatalf("%d gateways in a cycle of parents at %v", cycles, since)
		}
		cycles = 0
	}
}

// TestFollowingEnds checks that a gateway whose source leaves, stops, restarts or no longer
// answers relies on its own view of the fleet.
func TestFollowingEnds(t *testing.T) {
	cases := map[string]struct {
		event   func(tbl *table)
		follows bool
	}{
		"no event": {func(*table) {}, true},
		"source leaves": {func(tbl *table) {
			heartbeat := heartbeatFrom("1", 9)
			heartbeat.Life, heartbeat.Leaving = 3, true
			tbl.record(heartbeat, start)
		}, false},
		"source restarts": {func(tbl *table) {
			heartbeat := heartbeatFrom("1", 1)
			heartbeat.Life = 99
			tbl.record(heartbeat, start)
		}, false},
		"source doesn't answer": {func(tbl *table) { tbl.peers["1"].unanswered = maxUnanswered }, false},
		"settled":               {func(tbl *table) { tbl.startedAt = start.Add(-time.Minute) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tbl := tables(20)["0"]
			tbl.markStarted(start)
			tbl.setSource("1")
			tc.event(tbl)
			current := tbl.newView(start)
			is.Equal(current.source != nil, tc.follows)
			if tc.follows {
				is.Equal(current.parent().id, "1")
				is.True(!current.asksStore())
				is.Equal(len(current.children()), 0)
			}
		})
	}
}

// TestFollowersAreNotCandidates checks that a gateway that follows another one is not counted
// among those that ask the store.
func TestFollowersAreNotCandidates(t *testing.T) {
	is := is.New(t)
	tbl := tables(20)["0"]
	first := tbl.newView(start).candidates[0]
	tbl.record(&wire.GatewayBeat{Id: first.id, Life: first.incarnation, Address: first.address, Sequence: 2, StoreReachable: true, Follows: true}, start)
	is.True(tbl.newView(start).candidates[0] != first)
}
