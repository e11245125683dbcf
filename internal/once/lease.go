package once

import (
	"cmp"
	"slices"
	"time"
)

// Table returns a copy of the table that was last applied.
func (g *Guard) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Clone()
}

// Apply applies a table that was read from the store, or that this agent wrote and the store
// confirmed. An older one is ignored.
func (g *Guard) Apply(table Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if table.Version < g.table.Version {
		return
	}
	g.table = table.Clone()
	if g.openChangeBase != nil && table.Version > *g.openChangeBase {
		g.openChangeBase = nil
		clear(g.takingOver)
	}
	g.applyOwnership()
	g.applyWitness()
}

// applyOwnership starts the slots that this agent now owns and drops those that it no longer owns.
func (g *Guard) applyOwnership() {
	for number, row := range g.table.Slots {
		slot, owned := g.owned[number]
		mine := g.sameHolder(row.Owner, g.self)
		switch {
		case !mine && owned:
			g.recordCount -= slot.records.order.Len()
			delete(g.owned, number)
		case mine && (!owned || slot.epoch != row.Epoch) && !g.gaveUp(number, row):
			g.beginEpoch(number, row)
		}
	}
}

// gaveUp reports whether this agent gave up its right to a row's epoch.
func (g *Guard) gaveUp(number int, row Slot) bool {
	epoch, ok := g.lostEpochs[number]
	return ok && epoch == row.Epoch
}

// firstEpoch is the epoch of a slot's first owner.
const firstEpoch = 1

// beginEpoch starts a slot. If the records for exactly this epoch were handed over, they are used
// and the previous start remains. Without them this agent can't vouch for any key from before now,
// whatever start the row states.
func (g *Guard) beginEpoch(number int, row Slot) {
	if old, ok := g.owned[number]; ok {
		g.recordCount -= old.records.order.Len()
	}
	slot := &ownedSlot{epoch: row.Epoch, records: newRecords()}
	imported, ok := g.imports[number]
	delete(g.imports, number)
	if row.Epoch == firstEpoch {
		g.owned[number] = slot
		return
	}
	if ok && imported.epoch+1 == row.Epoch && imported.start.UnixMilli() == row.StartMS {
		slot.start = imported.start
		slot.records = imported.records
		g.recordCount += imported.records.order.Len()
	} else {
		slot.start = laterTime(time.UnixMilli(row.StartMS), g.wall())
	}
	if g.mutation == skipImportCheck {
		slot.start = time.UnixMilli(row.StartMS)
	}
	g.owned[number] = slot
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sameHolder reports whether two holders are equal, incarnation included.
func (g *Guard) sameHolder(a, b Holder) bool {
	if g.mutation == skipIncarnation {
		return a.Agent == b.Agent
	}
	return a == b
}

// applyWitness records since when this agent has been the witness of each owner. A row that newly
// names this agent restarts the owner's time: until a promise's duration has passed, the owner may
// still hold a promise of the previous witness.
func (g *Guard) applyWitness() {
	now := g.clock.Boot()
	rows := make(map[int]Holder)
	owners := make(map[Holder]bool)
	for number, row := range g.table.Slots {
		if row.Witness != g.self {
			continue
		}
		rows[number] = row.Owner
		owners[row.Owner] = true
		if previous, ok := g.witnessed[number]; !ok || previous != row.Owner {
			g.witnessSince[row.Owner] = now
		}
	}
	g.witnessed = rows
	for owner := range g.witnessSince {
		if !owners[owner] {
			delete(g.witnessSince, owner)
		}
	}
}

// SetLongLease records that the store has confirmed a long lease whose renewal was sent at the
// given boot time. If the previous lease had expired by then, another agent may have seen that and
// be taking the slots. In that case this agent gives them up and must claim them again through the
// table.
func (g *Guard) SetLongLease(sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	expired := g.longLeaseUntil != 0 && g.clock.Boot() >= g.longLeaseUntil
	if expired && g.mutation != skipLapse {
		g.dropOwned()
	}
	g.longLeaseUntil = max(g.longLeaseUntil, sentAt+minusDrift(g.options.LongLease))
}

// GiveUp drops all owned slots until the table names this agent in a new epoch.
func (g *Guard) GiveUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOwned()
}

// dropOwned drops all owned slots until the table names this agent in a new epoch. The caller must
// hold g.mu.
func (g *Guard) dropOwned() {
	for number, slot := range g.owned {
		g.lostEpochs[number] = slot.epoch
		g.recordCount -= slot.records.order.Len()
		delete(g.owned, number)
	}
}

// BootNow returns the boot clock's reading, to note when a request was sent.
func (g *Guard) BootNow() time.Duration {
	return g.clock.Boot()
}

// NewLongLease returns the value to write for a long lease that is renewed now.
func (g *Guard) NewLongLease() LongLease {
	until := g.clock.Wall().Add(g.options.LongLease)
	return LongLease{Incarnation: g.self.Incarnation, UntilMS: until.UnixMilli()}
}

// leaseExpired reports whether another agent's long lease has certainly expired. The caller must
// hold g.mu.
func (g *Guard) leaseExpired(lease LongLease) bool {
	if g.mutation == skipLongLease {
		return true
	}
	until := time.UnixMilli(lease.UntilMS)
	return g.clock.Wall().After(until.Add(2 * g.options.ClockError))
}

// Witnesses returns the witnesses whose promises this agent needs.
func (g *Guard) Witnesses() []Holder {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[Holder]bool)
	var witnesses []Holder
	for number := range g.owned {
		witness := g.table.Slots[number].Witness
		if witness != (Holder{}) && !seen[witness] {
			seen[witness] = true
			witnesses = append(witnesses, witness)
		}
	}
	return witnesses
}

// PromiseReceived records a promise whose request was sent at the given boot time. It is ignored
// while a change of the table that this agent sent is open, because the sender may no longer be
// the witness.
func (g *Guard) PromiseReceived(witness Holder, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.openChangeBase != nil && g.mutation != skipUnsettled {
		return
	}
	until := sentAt + minusDrift(g.options.Promise)
	g.promisesReceived[witness] = max(g.promisesReceived[witness], until)
}

// GrantPromise answers an owner's request to its witness. It refuses if this agent is not the
// owner's witness by the table it holds, or once this agent has sent a change that takes over from
// the owner.
func (g *Guard) GrantPromise(owner, witness Holder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if witness != g.self {
		return false
	}
	if _, ok := g.witnessSince[owner]; !ok || g.takingOver[owner] {
		return false
	}
	g.promisesGiven[owner] = g.clock.Boot() + plusDrift(g.options.Promise)
	return true
}

// BeginChange must be called before a changed table is sent to the store, with the owners from
// whom it takes slots over. Until a table later than the base version has been read, the change
// may still take effect, so that promises are neither used nor granted to these owners.
func (g *Guard) BeginChange(base uint64, takesOver []Holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openChangeBase = &base
	for _, owner := range takesOver {
		g.takingOver[owner] = true
	}
}

// expiredOwners returns the owners whose slots this agent may take over as their witness: all
// promises granted to them have expired, including those that a previous witness may have granted.
// The caller must hold g.mu.
func (g *Guard) expiredOwners() []Holder {
	now := g.clock.Boot()
	var expired []Holder
	for owner, since := range g.witnessSince {
		promiseEnded := now > g.promisesGiven[owner]+renewalGrace || g.mutation == skipWitnessWait
		witnessedLongEnough := now > since+plusDrift(g.options.Promise)+renewalGrace || g.mutation == skipSince
		if promiseEnded && witnessedLongEnough {
			expired = append(expired, owner)
		}
	}
	slices.SortFunc(expired, compareHolders)
	return expired
}

func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
}

// renewalGrace gives an owner some time beyond the end of its promise to renew it, so that a late
// message does not cause a change of owner.
const renewalGrace = time.Second
