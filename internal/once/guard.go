package once

import (
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Guard is one agent's part in a service's slots: as owner it decides about
// keys, as witness it gives promises. It is safe for concurrent use.
type Guard struct {
	options Options
	clock   Clock
	self    Holder

	mu    sync.Mutex
	table Table
	// owned has an entry for each slot whose row names this incarnation.
	owned map[int]*ownedSlot
	// promises are the ends, on the boot clock, of promises received, by
	// witness.
	promises map[Holder]time.Duration
	// sentOn is the version of the table on which a change was sent that may
	// still take effect; nil when none is open.
	sentOn *uint64
	// longUntil is the end of this agent's long lease on the boot clock.
	longUntil time.Duration
	// given are the ends, on the boot clock, of promises given, by owner.
	given map[Holder]time.Duration
	// witnessed are the slots whose row names this agent as witness, with
	// their owners.
	witnessed map[int]Holder
	// since is when this agent learnt, on the boot clock, that it is the
	// witness of an owner.
	since map[Holder]time.Duration
	// taking names owners to whom no promise is given any more.
	taking map[Holder]bool
	// lost are the epochs of slots that this agent gave up, by slot.
	lost map[int]uint64
	// imports are records handed over for slots not yet owned.
	imports map[int]handed
	// wallHigh is the highest wall time seen: it never goes back.
	wallHigh time.Time
	count    int
	mutation mutation
}

type ownedSlot struct {
	epoch uint64
	start time.Time
	// frozen says that the slot is being handed over: nothing new runs.
	frozen  bool
	records *records
}

// NewGuard returns the guard of one service at one agent.
func NewGuard(options Options, clock Clock) *Guard {
	options.Keep = max(options.Keep, options.MaxKeyAge)
	return &Guard{
		options:  options,
		clock:    clock,
		self:     Holder{Agent: options.Agent, Incarnation: options.Incarnation},
		owned:    make(map[int]*ownedSlot),
		promises: make(map[Holder]time.Duration),
		given:    make(map[Holder]time.Duration),
		since:    make(map[Holder]time.Duration),
		taking:   make(map[Holder]bool),
		imports:  make(map[int]handed),
		lost:     make(map[int]uint64),
	}
}

// Self is the holder that this guard acts as.
func (g *Guard) Self() Holder {
	return g.self
}

// mutation takes out one guard, so that tests can show that it is needed. Only
// test files can set one.
type mutation int

// The guards that a test can take out.
const (
	noMutation mutation = iota
	// skipPromise runs keys without a valid promise.
	skipPromise
	// skipFence admits keys from before the epoch's start plus the fence.
	skipFence
	// skipAhead admits keys however far ahead of the clock.
	skipAhead
	// skipBack admits old keys whose records may be forgotten.
	skipBack
	// wallAfterLease reads the wall clock after the lease was checked.
	wallAfterLease
	// skipWitnessWait takes over before the promises given have run out.
	skipWitnessWait
	// skipSince lets a new witness take over at once.
	skipSince
	// skipTombstone says not run without closing the key.
	skipTombstone
	// skipUnsettled uses promises while a change of the table is open.
	skipUnsettled
	// skipImportCheck trusts a row's start without the records for it.
	skipImportCheck
	// skipFreeze goes on running keys while a slot is handed over.
	skipFreeze
	// skipIncarnation treats a restarted agent as the one before.
	skipIncarnation
	// skipLapse lets an owner go on whose long lease had run out meanwhile.
	skipLapse
	// skipLongLease lets anyone take slots whose long lease has not ended.
	skipLongLease
)

// Begun is the answer to Begin.
type BeginResult struct {
	// Run says that the caller must run the request now and call End.
	Run bool
	// Record is the key's record: to be ended if Run, else to be waited for.
	Record *Record
}

// Begin decides about a key seen in a request. A refusal with run state
// NotRun means that the key is closed for ever.
func (g *Guard) Begin(fullKey string, at time.Time, print uint64) (BeginResult, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The wall clock is read before the lease is checked: a pause between
	// the two then only makes the key look younger than it is.
	wall := g.wall()
	slot, refusal := g.slotFor(fullKey)
	if refusal != nil {
		return BeginResult{}, refusal
	}
	if g.mutation == wallAfterLease {
		wall = g.wall()
	}
	if record, ok := slot.records.byKey[fullKey]; ok {
		if record.Fingerprint != print && record.State != Closed {
			return BeginResult{}, fault.New(fault.KeyConflict, fault.Unknown, "this key belongs to another request")
		}
		return BeginResult{Record: record}, nil
	}
	if refusal := g.mayAdmit(slot, at, wall); refusal != nil {
		return BeginResult{}, refusal
	}
	record := &Record{Key: fullKey, At: at, Fingerprint: print, State: Running}
	slot.records.add(record)
	g.count++
	return BeginResult{Run: true, Record: record}, nil
}

// wall reads the wall clock; it never goes back.
func (g *Guard) wall() time.Time {
	now := g.clock.Wall()
	if now.After(g.wallHigh) {
		g.wallHigh = now
	}
	return g.wallHigh
}

// slotFor finds the owned slot of a key and checks the right to decide.
func (g *Guard) slotFor(fullKey string) (*ownedSlot, *fault.Error) {
	if len(g.table.Slots) == 0 {
		return nil, fault.New(fault.NoOwner, fault.Unknown, "no slot table yet").After(time.Second)
	}
	number := SlotOf(fullKey, len(g.table.Slots))
	slot, ok := g.owned[number]
	if !ok {
		return nil, fault.New(fault.NotOwner, fault.Unknown, "slot %d belongs to %s", number, g.table.Slots[number].Owner.Agent)
	}
	if slot.frozen && g.mutation != skipFreeze {
		return nil, fault.New(fault.NotOwner, fault.Unknown, "slot %d is being handed over", number).After(frozenRetry)
	}
	if !g.holds(number) {
		return nil, fault.New(fault.NoOwner, fault.Unknown, "lease of slot %d has run out", number).After(g.options.Promise)
	}
	return slot, nil
}

// frozenRetry is when to ask again for a slot that is being handed over.
const frozenRetry = 200 * time.Millisecond

// holds says whether this agent may decide about keys of a slot now.
func (g *Guard) holds(number int) bool {
	if g.mutation == skipPromise {
		return true
	}
	now := g.clock.Boot()
	if now >= g.longUntil {
		return false
	}
	witness := g.table.Slots[number].Witness
	if witness == (Holder{}) {
		return true
	}
	return now < g.promises[witness]
}

// mayAdmit checks a key that has no record.
func (g *Guard) mayAdmit(slot *ownedSlot, at, wall time.Time) *fault.Error {
	if g.mutation != skipFence && !at.After(slot.start.Add(g.options.Fence())) {
		return fault.New(fault.KeyInDoubt, fault.Unknown, "the key is from before this owner's time and may have run under the one before")
	}
	if g.mutation != skipAhead && at.After(wall.Add(g.options.MaxAhead)) {
		return fault.New(fault.BadRequest, fault.Unknown, "the key's time is %v ahead of this host's clock", at.Sub(wall).Round(time.Millisecond))
	}
	if g.mutation != skipBack && at.Before(wall.Add(-g.options.MaxKeyAge)) {
		return fault.New(fault.KeyInDoubt, fault.Unknown, "the key is older than %v and its record may be forgotten", g.options.MaxKeyAge)
	}
	if g.count >= g.options.MaxRecords {
		g.forget(wall)
	}
	if g.count >= g.options.MaxRecords {
		return fault.New(fault.Overloaded, fault.Unknown, "too many keys are remembered; the key is open, send it again").After(time.Minute)
	}
	return nil
}

// End records what became of a run.
func (g *Guard) End(record *Record, state State, outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slot, ok := g.owned[SlotOf(record.Key, len(g.table.Slots))]
	if len(outcome.Body) > g.options.MaxBody {
		outcome.Body = nil
		outcome.Trimmed = true
	}
	if !ok || slot.records.byKey[record.Key] != record {
		// The slot has gone to another owner meanwhile; waiters here still
		// get the outcome.
		record.State = state
		record.Outcome = outcome
		close(record.ended)
		return
	}
	slot.records.end(record, state, outcome)
}

// Reopen takes back a record whose run surely never reached the target. If
// its slot has gone meanwhile, the key stays closed for ever instead.
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
		// A successor may hold the key as in doubt already.
		record.State = Closed
		return
	}
	slot.records.remove(record)
	g.count--
	record.State = Reopened
}

// Owns says whether the slot of a key is this agent's by the table it holds.
func (g *Guard) Owns(fullKey string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.table.Slots) == 0 {
		return false
	}
	_, ok := g.owned[SlotOf(fullKey, len(g.table.Slots))]
	return ok
}

// OwnerOf names the agent that owns the slot of a key; empty if unknown.
func (g *Guard) OwnerOf(fullKey string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.table.Slots) == 0 {
		return ""
	}
	return g.table.Slots[SlotOf(fullKey, len(g.table.Slots))].Owner.Agent
}

// OwnedSlots counts the slots that this agent owns.
func (g *Guard) OwnedSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.owned)
}

// Ended is closed when the record's run has ended.
func (r *Record) Ended() <-chan struct{} {
	return r.ended
}

// Settle says what became of a key. A key that never ran is closed first and
// then answered with state Closed. A running key is returned as it is.
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
	g.count++
	return record, nil
}

// Snapshot copies a record's state and outcome under the guard's lock.
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
		g.count -= slot.records.forget(before)
	}
}

// Records counts the records kept.
func (g *Guard) Records() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
