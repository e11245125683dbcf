package once

import (
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Guard is one agent's part in a service's slots: as owner it decides about keys, as witness it
// grants promises. It is safe for concurrent use.
type Guard struct {
	options Options
	clock   Clock
	self    Holder

	mu    sync.Mutex
	table Table
	// owned has an entry for each slot whose table row names this incarnation as owner.
	owned map[int]*ownedSlot
	// promisesReceived holds, by witness, the ends of the promises received, on the boot clock.
	promisesReceived map[Holder]time.Duration
	// openChangeBase is the version of the table that a change sent by this agent is based on,
	// while that change may still take effect; nil if there is none.
	openChangeBase *uint64
	// longLeaseUntil is the end of this agent's long lease on the boot clock.
	longLeaseUntil time.Duration
	// promisesGiven holds, by owner, the ends of the promises granted, on the boot clock.
	promisesGiven map[Holder]time.Duration
	// witnessed holds the owners of the slots whose row names this agent as witness, by slot.
	witnessed map[int]Holder
	// witnessSince is when, on the boot clock, this agent learned that it is the witness of an
	// owner.
	witnessSince map[Holder]time.Duration
	// takingOver holds the owners that are granted no promise any more.
	takingOver map[Holder]bool
	// lostEpochs holds the epochs of the slots that this agent gave up, by slot.
	lostEpochs map[int]uint64
	// imports holds records handed over for slots that are not owned yet.
	imports map[int]importedSlot
	// maxWall is the latest wall time read, which keeps the clock from going back.
	maxWall     time.Time
	recordCount int
	mutation    mutation
}

type ownedSlot struct {
	epoch uint64
	start time.Time
	// frozen is set while the slot is handed over: no new key runs.
	frozen  bool
	records *records
}

// NewGuard returns the guard of one service in one agent.
func NewGuard(options Options, clock Clock) *Guard {
	options.Keep = max(options.Keep, options.MaxKeyAge)
	return &Guard{
		options:          options,
		clock:            clock,
		self:             Holder{Agent: options.Agent, Incarnation: options.Incarnation},
		owned:            make(map[int]*ownedSlot),
		promisesReceived: make(map[Holder]time.Duration),
		promisesGiven:    make(map[Holder]time.Duration),
		witnessSince:     make(map[Holder]time.Duration),
		takingOver:       make(map[Holder]bool),
		imports:          make(map[int]importedSlot),
		lostEpochs:       make(map[int]uint64),
	}
}

// Self returns the holder that this guard acts as.
func (g *Guard) Self() Holder {
	return g.self
}

// mutation disables one check, so that tests can show that the check is needed. Only test files
// set it.
type mutation int

// The checks that a test can disable.
const (
	noMutation mutation = iota
	// skipPromise runs keys without a valid promise.
	skipPromise
	// skipFence admits keys from before the epoch's start plus the fence.
	skipFence
	// skipAhead admits keys however far ahead of the clock they are.
	skipAhead
	// skipBack admits old keys whose records may have been dropped.
	skipBack
	// wallAfterLease reads the wall clock after the lease has been checked.
	wallAfterLease
	// skipWitnessWait takes over before the granted promises have expired.
	skipWitnessWait
	// skipSince lets a new witness take over at once.
	skipSince
	// skipTombstone reports a key as not run without closing it.
	skipTombstone
	// skipUnsettled uses promises while a change of the table is open.
	skipUnsettled
	// skipImportCheck trusts a row's start without having the records for it.
	skipImportCheck
	// skipFreeze keeps running keys while a slot is handed over.
	skipFreeze
	// skipIncarnation treats a restarted agent as its previous incarnation.
	skipIncarnation
	// skipLapse lets an owner continue after its long lease had expired.
	skipLapse
	// skipLongLease lets any agent take slots whose long lease has not expired.
	skipLongLease
)

// BeginResult is the result of Begin.
type BeginResult struct {
	// Run means that the caller must run the request now and then call End.
	Run bool
	// Record is the key's record. The caller ends it if Run is set, and waits for it otherwise.
	Record *Record
}

// Begin decides about the key of a request. A refusal with run state NotRun means that the key is
// closed for ever.
func (g *Guard) Begin(fullKey string, at time.Time, fingerprint uint64) (BeginResult, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The wall clock is read before the lease is checked, so that a pause between the two only
	// makes the key look younger than it is.
	wall := g.wall()
	slot, refusal := g.slotFor(fullKey)
	if refusal != nil {
		return BeginResult{}, refusal
	}
	if g.mutation == wallAfterLease {
		wall = g.wall()
	}
	if record, ok := slot.records.byKey[fullKey]; ok {
		if record.Fingerprint != fingerprint && record.State != Closed {
			return BeginResult{}, fault.New(fault.KeyConflict, fault.Unknown, "this key belongs to another request")
		}
		return BeginResult{Record: record}, nil
	}
	if refusal := g.mayAdmit(slot, at, wall); refusal != nil {
		return BeginResult{}, refusal
	}
	record := &Record{Key: fullKey, At: at, Fingerprint: fingerprint, State: Running}
	slot.records.add(record)
	g.recordCount++
	return BeginResult{Run: true, Record: record}, nil
}

// wall returns the wall time, which never goes back.
func (g *Guard) wall() time.Time {
	now := g.clock.Wall()
	if now.After(g.maxWall) {
		g.maxWall = now
	}
	return g.maxWall
}

// slotFor returns the owned slot of a key if this agent may decide about it.
func (g *Guard) slotFor(fullKey string) (*ownedSlot, *fault.Error) {
	if len(g.table.Slots) == 0 {
		return nil, fault.New(fault.NoOwner, fault.Unknown, "the slot table is not known yet").After(time.Second)
	}
	number := SlotOf(fullKey, len(g.table.Slots))
	slot, ok := g.owned[number]
	if !ok {
		return nil, fault.New(fault.NotOwner, fault.Unknown, "slot %d is owned by %s", number, g.table.Slots[number].Owner.Agent)
	}
	if slot.frozen && g.mutation != skipFreeze {
		return nil, fault.New(fault.NotOwner, fault.Unknown, "slot %d is being handed over", number).After(frozenRetryAfter)
	}
	if !g.holdsLease(number) {
		return nil, fault.New(fault.NoOwner, fault.Unknown, "the lease of slot %d has expired", number).After(g.options.Promise)
	}
	return slot, nil
}

// frozenRetryAfter is when to retry for a slot that is being handed over.
const frozenRetryAfter = 200 * time.Millisecond

// holdsLease reports whether this agent may decide about keys of a slot now.
func (g *Guard) holdsLease(number int) bool {
	if g.mutation == skipPromise {
		return true
	}
	now := g.clock.Boot()
	if now >= g.longLeaseUntil {
		return false
	}
	witness := g.table.Slots[number].Witness
	if witness == (Holder{}) {
		return true
	}
	return now < g.promisesReceived[witness]
}

// mayAdmit checks whether a key without a record may run.
func (g *Guard) mayAdmit(slot *ownedSlot, at, wall time.Time) *fault.Error {
	if g.mutation != skipFence && !at.After(slot.start.Add(g.options.Fence())) {
		return fault.New(fault.KeyInDoubt, fault.Unknown, "the key is older than this owner's epoch and may have run under the previous owner")
	}
	if g.mutation != skipAhead && at.After(wall.Add(g.options.MaxAhead)) {
		return fault.New(fault.BadRequest, fault.Unknown, "the key's time is %v ahead of this host's clock", at.Sub(wall).Round(time.Millisecond))
	}
	if g.mutation != skipBack && at.Before(wall.Add(-g.options.MaxKeyAge)) {
		return fault.New(fault.KeyInDoubt, fault.Unknown, "the key is older than %v and its record may have been dropped", g.options.MaxKeyAge)
	}
	if g.recordCount >= g.options.MaxRecords {
		g.forget(wall)
	}
	if g.recordCount >= g.options.MaxRecords {
		return fault.New(fault.Overloaded, fault.Unknown, "too many keys are recorded; the key can still run, send it again").After(time.Minute)
	}
	return nil
}

// End records the outcome of a run.
func (g *Guard) End(record *Record, state State, outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slot, ok := g.owned[SlotOf(record.Key, len(g.table.Slots))]
	if len(outcome.Body) > g.options.MaxBody {
		outcome.Body = nil
		outcome.Trimmed = true
	}
	if !ok || slot.records.byKey[record.Key] != record {
		// The slot has moved to another owner in the meantime. Waiters in this process still get
		// the outcome.
		record.State = state
		record.Outcome = outcome
		close(record.ended)
		return
	}
	slot.records.finish(record, state, outcome)
}

// Reopen removes the record of a run that certainly never reached the target, so that the key can
// run again. If its slot has moved or is being handed over, the key stays closed for ever instead.
func (g *Guard) Reopen(record *Record, why *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer close(record.ended)
	record.Cause = why
	slot, ok := g.owned[SlotOf(record.Key, len(g.table.Slots))]
	if !ok || slot.records.byKey[record.Key] != record {
		record.State = Closed
		return
	}
	slot.records.running--
	if slot.frozen {
		// The successor may already hold the key as in doubt.
		record.State = Closed
		return
	}
	slot.records.remove(record)
	g.recordCount--
	record.State = Reopened
}

// Owns reports whether this agent owns the slot of a key, by the table it holds.
func (g *Guard) Owns(fullKey string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.table.Slots) == 0 {
		return false
	}
	_, ok := g.owned[SlotOf(fullKey, len(g.table.Slots))]
	return ok
}

// OwnerOf returns the name of the agent that owns the slot of a key; empty if unknown.
func (g *Guard) OwnerOf(fullKey string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.table.Slots) == 0 {
		return ""
	}
	return g.table.Slots[SlotOf(fullKey, len(g.table.Slots))].Owner.Agent
}

// OwnedSlots returns the number of slots that this agent owns.
func (g *Guard) OwnedSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.owned)
}

// Ended returns a channel that is closed when the record's run has ended.
func (r *Record) Ended() <-chan struct{} {
	return r.ended
}

// Settle returns the record of a key. A key that never ran is closed first and returned with state
// Closed. The record of a running key is returned as it is.
func (g *Guard) Settle(fullKey string, at time.Time) (*Record, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wall := g.wall()
	slot, refusal := g.slotFor(fullKey)
	if refusal != nil {
		return nil, refusal
	}
	if record, ok := slot.records.byKey[fullKey]; ok {
		return record, nil
	}
	if refusal := g.mayAdmit(slot, at, wall); refusal != nil {
		return nil, refusal
	}
	record := &Record{Key: fullKey, At: at, State: Closed}
	if g.mutation == skipTombstone {
		newRecords().add(record)
		return record, nil
	}
	slot.records.add(record)
	g.recordCount++
	return record, nil
}

// Snapshot returns a copy of a record's state and outcome, read under the guard's lock.
func (g *Guard) Snapshot(record *Record) (State, Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return record.State, record.Outcome
}

// Forget drops records that are no longer needed.
func (g *Guard) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(g.wall())
}

func (g *Guard) forget(wall time.Time) {
	before := wall.Add(-g.options.Keep)
	for _, slot := range g.owned {
		g.recordCount -= slot.records.forget(before)
	}
}

// Records returns the number of records kept.
func (g *Guard) Records() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recordCount
}
