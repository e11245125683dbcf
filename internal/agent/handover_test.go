package agent

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/external/fakestore"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// keyPerSlot returns one key for each slot.
func keyPerSlot(slots int) []string {
	keys := make([]string, slots)
	for found, number := 0, 0; found < slots; number++ {
		key := fmt.Sprint("key-", number)
		if slot := once.SlotOf(key, slots); keys[slot] == "" {
			keys[slot] = key
			found++
		}
	}
	return keys
}

// countUnserved counts the keys about which no agent may decide.
func countUnserved(agents []*Agent, keys []string) int {
	count := 0
	for _, key := range keys {
		served := slices.ContainsFunc(agents, func(a *Agent) bool {
			_, refusal := a.slotManagers["topup"].guard.Begin(key, time.Now(), 0)
			return refusal == nil
		})
		if !served {
			count++
		}
	}
	return count
}

// TestHandOverLeavesNoGap checks that a slot is never without a deciding agent for long.
// Three agents start together and discover each other step by step, so that slots move
// from the first to the second and on to the third. No agent decides between the old
// owner and the new one. If that lasted until the next round of the slot managers, the
// gaps of several moves would add up to the time for which a router searches for an
// owner.
func TestHandOverLeavesNoGap(t *testing.T) {
	const (
		sampleInterval = 10 * time.Millisecond
		simulatedTime  = 20 * time.Second
	)
	// startDelays are the agents' start times and discoveryDelays the times at which each
	// discovers the others, in ms.
	startDelays := []int{65, 19, 10}
	discoveryDelays := [][]int{{0, 500, 2100}, {1200, 0, 1700}, {2700, 2200, 0}}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := link.NewMemory()
		agents := newFleet(len(startDelays), fakestore.New(), network)
		for i, a := range agents {
			for j, delay := range discoveryDelays[i] {
				if i != j {
					discoverAfter(a, agents[j], time.Duration(delay)*time.Millisecond)
				}
			}
			time.AfterFunc(time.Duration(startDelays[i])*time.Millisecond, func() { is.NoErr(a.Start(context.Background())) })
		}
		time.Sleep(time.Second)
		keys := keyPerSlot(64)
		is.Equal(countUnserved(agents, keys), 0)
		unservedFor, longest := make(map[string]time.Duration), time.Duration(0)
		for range int(simulatedTime / sampleInterval) {
			time.Sleep(sampleInterval)
			for _, key := range keys {
				unservedFor[key] += sampleInterval
				if countUnserved(agents, []string{key}) == 0 {
					unservedFor[key] = 0
				}
				longest = max(longest, unservedFor[key])
			}
		}
		for _, a := range agents {
			is.True(a.slotManagers["topup"].guard.OwnedSlots() > 0)
		}
		for _, a := range agents {
			is.NoErr(a.Close())
		}
		is.NoErr(network.Close())
		t.Logf("the longest time without a deciding agent for a slot was %v", longest)
		is.True(longest < slotRoundInterval/2)
	})
}

// discoverAfter makes an agent discover another one after a delay.
func discoverAfter(a, other *Agent, delay time.Duration) {
	a.options.Members.Merge([]*wire.Member{memberOf(other, wire.Standing_STANDING_DEAD)})
	time.AfterFunc(delay, func() {
		a.options.Members.Merge([]*wire.Member{memberOf(other, wire.Standing_STANDING_ALIVE)})
	})
}

// memberOf returns the membership entry of an agent as seen by others.
func memberOf(a *Agent, standing wire.Standing) *wire.Member {
	id := a.options.ID
	incarnation := uint64(1)
	if standing == wire.Standing_STANDING_ALIVE {
		incarnation = 3
	}
	return &wire.Member{
		Id: id, Role: "agent", DataCenter: a.options.DataCenter, LinkAddress: id, Incarnation: incarnation,
		Standing: standing, Session: "1",
		Targets: []*wire.TargetState{{Id: "t-" + id, Pool: "topup", Service: true}},
	}
}

// TestStoreOutageLeavesSlotsServed guards against slots that nobody serves until the store is
// back, because a change of the slot table was begun while the store was away.
func TestStoreOutageLeavesSlotsServed(t *testing.T) {
	const (
		sampleInterval = 100 * time.Millisecond
		quietTime      = 10 * time.Second
		outage         = 2 * time.Minute
		recoveryTime   = 2 * maxStoreBackoff
	)
	// Each case changes one of three agents two seconds into the outage.
	cases := map[string]struct {
		changed int
		// unknownBefore says that the others don't know the agent before the outage.
		unknownBefore bool
		change        func(changed *Agent, others []*Agent)
		// lost says that the slots that the agent owns or witnesses wait for the store.
		lost bool
	}{
		"a target is discovered":   {changed: 2, unknownBefore: true, change: discoverTarget},
		"a target leaves":          {changed: 2, change: leaveTarget},
		"the first target is lost": {changed: 0, change: loseTarget, lost: true},
		"the third target is lost": {changed: 2, change: loseTarget, lost: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network, store := link.NewMemory(), fakestore.New()
				agents := newFleet(3, store, network)
				changed := agents[c.changed]
				others := slices.Delete(slices.Clone(agents), c.changed, c.changed+1)
				if c.unknownBefore {
					mergeEverywhere(others, memberOf(changed, wire.Standing_STANDING_DEAD))
				}
				defer func() {
					for _, a := range agents {
						is.NoErr(a.Close())
					}
					is.NoErr(network.Close())
				}()
				for _, a := range agents {
					is.NoErr(a.Start(context.Background()))
				}
				time.Sleep(quietTime)
				keys := keyPerSlot(64)
				is.Equal(countUnserved(agents, keys), 0)
				store.SetAway(true)
				time.Sleep(2 * time.Second)
				if c.lost {
					keys = keysWithout(keys, others[0].slotManagers["topup"].guard.Table(), changed.options.ID)
				}
				is.True(len(keys) > 0)
				c.change(changed, others)
				unserved := 0
				for range int(outage / sampleInterval) {
					time.Sleep(sampleInterval)
					unserved = max(unserved, countUnserved(agents, keys))
				}
				t.Logf("%d of %d slots were served by nobody during the outage", unserved, len(keys))
				is.Equal(unserved, 0)
				store.SetAway(false)
				time.Sleep(recoveryTime)
				is.Equal(countUnserved(agents, keys), 0)
			})
		})
	}
}

func mergeEverywhere(agents []*Agent, m *wire.Member) {
	for _, a := range agents {
		a.options.Members.Merge([]*wire.Member{m})
	}
}

func discoverTarget(changed *Agent, others []*Agent) {
	mergeEverywhere(others, memberOf(changed, wire.Standing_STANDING_ALIVE))
}

func leaveTarget(changed *Agent, others []*Agent) {
	leaving := memberOf(changed, wire.Standing_STANDING_ALIVE)
	leaving.Leaving = true
	mergeEverywhere(append(others, changed), leaving)
}

func loseTarget(changed *Agent, others []*Agent) {
	dead := memberOf(changed, wire.Standing_STANDING_DEAD)
	dead.Incarnation = math.MaxInt64
	mergeEverywhere(others, dead)
	_ = changed.Close()
}

// keysWithout returns the keys whose slots have an agent neither as owner nor as witness.
func keysWithout(keys []string, table once.Table, agent string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool {
		row := table.Slots[once.SlotOf(key, len(table.Slots))]
		return row.Owner.Agent == agent || row.Witness.Agent == agent
	})
}
