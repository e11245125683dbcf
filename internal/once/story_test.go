package once

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lastChooser always takes the last possibility: nothing is lost, nobody
// pauses, nobody is leaving.
type lastChooser struct{}

func (lastChooser) Pick(n int, _ string) int { return n - 1 }

// cast is three agents: the owner of both slots, its witness, and a spare.
type cast struct {
	*world
	owner, witness, spare *modelProcess
	key                   modelKey
}

func newCast(skipped mutation) *cast {
	w := newWorld(lastChooser{}, skipped)
	for _, host := range w.hosts {
		host.wrong = 0
	}
	c := &cast{world: w}
	c.owner, c.witness, c.spare = w.hosts[0].current(), w.hosts[1].current(), w.hosts[2].current()
	w.store.Slots = []Slot{c.row(1), c.row(1)}
	w.store.Version = 10
	for _, p := range []*modelProcess{c.owner, c.witness, c.spare} {
		p.guard.Apply(w.store)
	}
	c.pass(20 * time.Second)
	for _, p := range []*modelProcess{c.owner, c.witness, c.spare} {
		w.leaseUp(p)
	}
	c.promise()
	return c
}

func (c *cast) row(epoch uint64) Slot {
	return Slot{Owner: c.owner.guard.self, Witness: c.witness.guard.self, Epoch: epoch, StartMS: modelStart.UnixMilli()}
}

// promise renews the owner's promise from the witness.
func (c *cast) promise() {
	promise := &modelPromise{owner: c.owner, witness: c.witness.guard.self, sentAt: c.owner.guard.BootNow()}
	c.deliverPromise(promise)
	if promise.granted {
		c.owner.guard.PromiseReceived(promise.witness, promise.sentAt)
	}
}

// change has a process plan with those it believes live; the store takes it.
func (c *cast) change(p *modelProcess, live ...*modelProcess) {
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

// keyAt makes a key whose time is ahead of now.
func (c *cast) keyAt(ahead time.Duration) {
	c.key = modelKey{name: "w/k", at: modelStart.Add(c.now + ahead)}
}

// tryBoth runs the key wherever it is admitted.
func (c *cast) tryBoth(first, second *modelProcess, between time.Duration) {
	c.submit(first, c.key)
	c.pass(between)
	c.witness.guard.Apply(c.store)
	c.spare.guard.Apply(c.store)
	c.healthy(second)
	c.submit(second, c.key)
	for len(c.runs) > 0 {
		c.finishRun()
	}
}

// Each story holds with all guards, and breaks when its own is taken out.
func TestStoriesThatNeedOneGuard(t *testing.T) {
	tests := map[string]struct {
		skipped mutation
		story   func(c *cast)
	}{
		"a witness takes over while its promise still holds": {skipWitnessWait, func(c *cast) {
			c.change(c.witness, c.witness, c.spare)
			c.witness.guard.Apply(c.store)
			c.pass(2500 * time.Millisecond)
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.witness, 3*time.Second)
		}},
		"a new witness takes over while the old one's promise still holds": {skipSince, func(c *cast) {
			c.change(c.owner, c.owner, c.spare)
			c.spare.guard.Apply(c.store)
			c.change(c.spare, c.spare, c.witness)
			c.spare.guard.Apply(c.store)
			c.pass(2500 * time.Millisecond)
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.spare, 3*time.Second)
		}},
		"an owner whose change is unsettled goes on with the old witness": {skipUnsettled, func(c *cast) {
			c.change(c.owner, c.owner, c.spare)
			c.spare.guard.Apply(c.store)
			for range 5 {
				c.pass(time.Second)
				c.promise()
			}
			c.change(c.spare, c.spare, c.witness)
			c.spare.guard.Apply(c.store)
			c.pass(2500 * time.Millisecond)
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.spare, 3*time.Second)
		}},
		"an owner pauses between its lease check and its clock": {wallAfterLease, func(c *cast) {
			c.keyAt(12500 * time.Millisecond)
			reads := 0
			c.owner.onWall = func() {
				if reads++; reads != 2 {
					return
				}
				c.pass(6 * time.Second)
				c.change(c.witness, c.witness, c.spare)
				c.witness.guard.Apply(c.store)
				c.pass(6 * time.Second)
			}
			c.submit(c.owner, c.key)
			c.owner.onWall = nil
			for c.now < 32*time.Second {
				c.pass(time.Second)
			}
			c.change(c.witness, c.witness, c.spare)
			c.tryBoth(c.witness, c.witness, time.Second)
		}},
		"an owner whose long lease ran out renews it while a claim is under way": {skipLapse, func(c *cast) {
			c.pass(60 * time.Second)
			c.leaseUp(c.spare)
			claimed, _ := c.spare.guard.Plan(PlanInput{Peers: []Peer{{Holder: c.spare.guard.self}}, Leases: c.leases})
			c.spare.guard.BeginChange(claimed.Base, nil)
			c.leaseUp(c.owner)
			c.store = claimed.Table
			c.store.Version++
			c.spare.guard.Apply(c.store)
			c.pass(3 * time.Second)
			c.promise()
			c.keyAt(1900 * time.Millisecond)
			c.tryBoth(c.owner, c.spare, 3*time.Second)
		}},
		"an owner without a promise goes on": {skipPromise, func(c *cast) {
			c.pass(10 * time.Second)
			c.change(c.witness, c.witness, c.spare)
			c.witness.guard.Apply(c.store)
			c.pass(5 * time.Second)
			c.keyAt(0)
			c.tryBoth(c.owner, c.witness, time.Second)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			whole := newCast(noMutation)
			tt.story(whole)
			is.Equal(whole.violation(), "") // with all guards
			broken := newCast(tt.skipped)
			tt.story(broken)
			is.Equal(broken.violation(), "key w/k ran 2 times") // without the one
		})
	}
}
