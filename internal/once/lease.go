package once

import (
	"cmp"
	"slices"
	"time"
)

// Table returns the table as last applied.
func (g *Guard) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Clone()
}

// Apply takes in the table as read from the store, or as written by this
// agent and confirmed. An older one is ignored.
func (g *Guard) Apply(table Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if table.Version < g.table.Version {
		return
	}
	g.table = table.Clone()
	if g.sentOn != nil && table.Version > *g.sentOn {
		g.sentOn = nil
		clear(g.taking)
	}
	g.applyOwned()
	g.applyWitness()
}

// applyOwned begins the slots that have come and ends those that have gone.
func (g *Guard) applyOwned() {
	for number, row := range g.table.Slots {
		slot, have := g.owned[number]
		mine := g.sameHolder(row.Owner, g.self)
		switch {
		case !mine && have:
			g.count -= slot.records.order.Len()
			delete(g.owned, number)
		case mine && (!have || slot.epoch != row.Epoch) && !g.isLost(number, row):
			g.begin(number, row)
		}
	}
}

// isLost says whether this agent gave up its right to a row's epoch.
func (g *Guard) isLost(number int, row Slot) bool {
	epoch, ok := g.lost[number]
	return ok && epoch == row.Epoch
}

// firstEpoch is that of a slot's first owner ever.
const firstEpoch = 1

// begin takes up a slot. Records handed over for this very epoch are used and
// the old start holds; without them, nothing from before now can be vouched
// for, whatever start the row names.
func (g *Guard) begin(number int, row Slot) {
	if old, ok := g.owned[number]; ok {
		g.count -= old.records.order.Len()
	}
	slot := &ownedSlot{epoch: row.Epoch, records: newRecords()}
	handed, ok := g.imports[number]
	delete(g.imports, number)
	if row.Epoch == firstEpoch {
		g.owned[number] = slot
		return
	}
	if ok && handed.epoch+1 == row.Epoch && handed.start.UnixMilli() == row.StartMS {
		slot.start = handed.start
		slot.records = handed.records
		g.count += handed.records.order.Len()
	} else {
		slot.start = later(time.UnixMilli(row.StartMS), g.wall())
	}
	if g.mutation == skipImportCheck {
		slot.start = time.UnixMilli(row.StartMS)
	}
	g.owned[number] = slot
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sameHolder compares holders; the incarnation counts.
func (g *Guard) sameHolder(a, b Holder) bool {
	if g.mutation == skipIncarnation {
		return a.Agent == b.Agent
	}
	return a == b
}

// applyWitness notes since when this agent is the witness of each owner. A row
// that newly names it restarts the owner's time: until a promise's length has
// passed, the owner may still rest on the word of the witness before.
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
		if before, ok := g.witnessed[number]; !ok || before != row.Owner {
			g.since[row.Owner] = now
		}
	}
	g.witnessed = rows
	for owner := range g.since {
		if !owners[owner] {
			delete(g.since, owner)
		}
	}
}

// SetLongLease notes a long lease whose renewal was sent at a boot time and
// has now been confirmed by the store. If the lease before had run out by then,
// another agent may have seen it over and be taking the slots: this agent
// gives them up and has to take them again through the table.
func (g *Guard) SetLongLease(sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lapsed := g.longUntil != 0 && g.clock.Boot() >= g.longUntil
	if lapsed && g.mutation != skipLapse {
		g.giveUp()
	}
	g.longUntil = max(g.longUntil, sentAt+shorter(g.options.LongLease))
}

// GiveUp drops all owned slots until the table names this agent anew.
func (g *Guard) GiveUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.giveUp()
}

// giveUp drops all owned slots until the table names this agent anew.
func (g *Guard) giveUp() {
	for number, slot := range g.owned {
		g.lost[number] = slot.epoch
		g.count -= slot.records.order.Len()
		delete(g.owned, number)
	}
}

// BootNow reads the boot clock, for the times of requests sent.
func (g *Guard) BootNow() time.Duration {
	return g.clock.Boot()
}

// NewLongLease is the value to write for a long lease renewed now.
func (g *Guard) NewLongLease() LongLease {
	until := g.clock.Wall().Add(g.options.LongLease)
	return LongLease{Incarnation: g.self.Incarnation, UntilMS: until.UnixMilli()}
}

// leaseOver says whether another agent's long lease has surely ended; g.mu is
// held.
func (g *Guard) leaseOver(lease LongLease) bool {
	if g.mutation == skipLongLease {
		return true
	}
	until := time.UnixMilli(lease.UntilMS)
	return g.clock.Wall().After(until.Add(2 * g.options.ClockError))
}

// Witnesses lists the witnesses whose promises this agent needs.
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

// Promised takes in a promise whose request was sent at a boot time. It is
// ignored while a change of the table that this agent has sent is unsettled,
// because the witness may no longer be the one whose word counts.
func (g *Guard) PromiseReceived(witness Holder, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sentOn != nil && g.mutation != skipUnsettled {
		return
	}
	until := sentAt + shorter(g.options.Promise)
	g.promises[witness] = max(g.promises[witness], until)
}

// GrantPromise answers an owner's request as its witness. It is refused when
// this agent is not the owner's witness by the table it holds, and once a
// take-over has been sent.
func (g *Guard) GrantPromise(owner, witness Holder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if witness != g.self {
		return false
	}
	if _, ok := g.since[owner]; !ok || g.taking[owner] {
		return false
	}
	g.given[owner] = g.clock.Boot() + longer(g.options.Promise)
	return true
}

// Sending must be called before a changed table is sent to the store, with
// the owners that it takes over. Until a table later than the one it changes
// has been read, the change may still take effect: promises are neither used
// nor given to these owners.
func (g *Guard) BeginChange(base uint64, takes []Holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentOn = &base
	for _, owner := range takes {
		g.taking[owner] = true
	}
}

// lapsed lists the owners whose slots this agent, as their witness, may take
// over: all promises given have run out, also those that a witness before it
// may have given. g.mu is held.
func (g *Guard) lapsed() []Holder {
	now := g.clock.Boot()
	var lapsed []Holder
	for owner, since := range g.since {
		free := now > g.given[owner]+grace || g.mutation == skipWitnessWait
		waited := now > since+longer(g.options.Promise)+grace || g.mutation == skipSince
		if free && waited {
			lapsed = append(lapsed, owner)
		}
	}
	slices.SortFunc(lapsed, compareHolders)
	return lapsed
}

func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
}

// grace gives an owner a little time beyond its promise to renew it, so that
// a late message does not cost a change of owner.
const grace = time.Second
