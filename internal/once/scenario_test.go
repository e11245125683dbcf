package once

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lastChooser always picks the last possibility, by which nothing is lost and no process pauses or
// leaves.
type lastChooser struct{}

func (lastChooser) Pick(n int, _ string) int { return n - 1 }

// scenario has three agents: the owner of both slots, its witness, and a spare one.
type scenario struct {
	*world
	owner, witness, spare *modelProcess
	key                   modelKey
}

func newScenario(disabled mutation) *scenario {
	w := newWorld(lastChooser{}, disabled)
	for _, host := range w.hosts {
		host.clockError = 0
	}
	c := &scenario{world: w}
	c.owner, c.witness, c.spare = w.hosts[0].current(), w.hosts[1].current(), w.hosts[2].current()
	w.store.Slots = []Slot{c.row(1), c.row(1)}
	w.store.Version = 10
	for _, p := range []*modelProcess{c.owner, c.witness, c.spare} {
		p.guard.Apply(w.store)
	}
	c.advance(20 * time.Second)
	for _, p := range []*modelProcess{c.owner, c.witness, c.spare} {
		w.renewLease(p)
	}
	c.promise()
	return c
}

func (c *scenario) row(epoch uint64) Slot {
	return Slot{Owner: c.owner.guard.self, Witness: c.witness.guard.self, Epoch: epoch, StartMS: modelStart.UnixMilli()}
}

// promise renews the promise that the witness grants to the owner.
func (c *scenario) promise() {
	promise := &modelPromise{owner: c.owner, witness: c.witness.guard.self, sentAt: c.owner.guard.BootNow()}
	c.deliverPromise(promise)
	if promise.granted {
		c.owner.guard.PromiseReceived(promise.witness, promise.sentAt)
	}
}

// planAndWrite lets a process plan with the peers that it believes to be live, and writes the plan
// to the store.
func (c *scenario) planAndWrite(p *modelProcess, live ...*modelProcess) {
	peers := make([]Peer, 0, len(live))
	for _, other := range live {
		peers = append(peers, Peer{Holder: other.guard.self})
	}
	plan, ok := p.guard.Plan(PlanInput{Peers: peers, Leases: c.leases})
	if !ok {
		return
	}
	p.guard.BeginChange(plan.Base, plan.TakesOver)
	if plan.Base == c.store.Version {
		c.store = plan.Table
		c.store.Version++
	}
}

// keyAt makes a key whose time is ahead of the model's time.
func (c *scenario) keyAt(ahead time.Duration) {
	c.key = modelKey{name: "w/k", at: modelStart.Add(c.now + ahead)}
}

// tryBoth submits the key to two processes, one after the other, and ends all runs.
func (c *scenario) tryBoth(first, second *modelProcess, between time.Duration) {
	c.submit(first, c.key)
	c.advance(between)
	c.witness.guard.Apply(c.store)
	c.spare.guard.Apply(c.store)
	c.healthyRound(second)
	c.submit(second, c.key)
	for len(c.runs) > 0 {
		c.finishRun()
	}
}

// Each scenario runs the key once with all checks, and twice with its own check disabled.
func TestScenariosNeedTheirCheck(t *testing.T) {
	tests := map[string]struct {
		disabled mutation
		run      func(c *scenario)
	}{
		"witness takes over before its promise expires": {skipWitnessWait, func(c *scenario) {
			c.planAndWrite(c.witness, c.witness, c.spare)
			c.witness.guard.Apply(c.store)
			c.advance(2500 * time.Millisecond)
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.witness, 3*time.Second)
		}},
		"new witness takes over before the old one's promise expires": {skipSince, func(c *scenario) {
			c.planAndWrite(c.owner, c.owner, c.spare)
			c.spare.guard.Apply(c.store)
			c.planAndWrite(c.spare, c.spare, c.witness)
			c.spare.guard.Apply(c.store)
			c.advance(2500 * time.Millisecond)
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.spare, 3*time.Second)
		}},
		"owner with an open change keeps using the old witness": {skipUnsettled, func(c *scenario) {
			c.planAndWrite(c.owner, c.owner, c.spare)
			c.spare.guard.Apply(c.store)
			for range 5 {
				c.advance(time.Second)
				c.promise()
			}
			c.planAndWrite(c.spare, c.spare, c.witness)
			c.spare.guard.Apply(c.store)
			c.advance(2500 * time.Millisecond)
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.spare, 3*time.Second)
		}},
		"owner pauses between lease check and clock reading": {wallAfterLease, func(c *scenario) {
			c.keyAt(12500 * time.Millisecond)
			reads := 0
			c.owner.onWall = func() {
				if reads++; reads != 2 {
					return
				}
				c.advance(6 * time.Second)
				c.planAndWrite(c.witness, c.witness, c.spare)
				c.witness.guard.Apply(c.store)
				c.advance(6 * time.Second)
			}
			c.submit(c.owner, c.key)
			c.owner.onWall = nil
			for c.now < 32*time.Second {
				c.advance(time.Second)
			}
			c.planAndWrite(c.witness, c.witness, c.spare)
			c.tryBoth(c.witness, c.witness, time.Second)
		}},
		"owner renews its expired long lease during a claim": {skipLapse, func(c *scenario) {
			c.advance(60 * time.Second)
			c.renewLease(c.spare)
			claimed, _ := c.spare.guard.Plan(PlanInput{Peers: []Peer{{Holder: c.spare.guard.self}}, Leases: c.leases})
			c.spare.guard.BeginChange(claimed.Base, nil)
			c.renewLease(c.owner)
			c.store = claimed.Table
			c.store.Version++
			c.spare.guard.Apply(c.store)
			c.advance(3 * time.Second)
			c.promise()
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.spare, 3*time.Second)
		}},
		"owner continues without a promise": {skipPromise, func(c *scenario) {
			c.advance(10 * time.Second)
			c.planAndWrite(c.witness, c.witness, c.spare)
			c.witness.guard.Apply(c.store)
			c.advance(5 * time.Second)
			c.keyAt(0)
			c.tryBoth(c.owner, c.witness, time.Second)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unmodified := newScenario(noMutation)
			tt.run(unmodified)
			is.Equal(unmodified.violation(), "") // with all checks
			mutated := newScenario(tt.disabled)
			tt.run(mutated)
			is.Equal(mutated.violation(), "key w/k ran 2 times") // without this check
		})
	}
}
