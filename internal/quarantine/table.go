package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// FirstTerm is how long a request is held the first time. The hold expires because the defect
	// may have been fixed meanwhile, and because the request may have been held by mistake. A
	// request that is still fatal then costs one target after each term.
	FirstTerm = 10 * time.Minute
	// termGrowth is the factor by which each further crash extends the term, up to MaxTerm: 10
	// minutes, 2 hours, a day. At most three targets then crash after the third one within a day;
	// doubling the term allowed seven.
	termGrowth = 12
	// MaxTerm is the longest that a request is held without another crash.
	MaxTerm = 24 * time.Hour
	// suspectTTL is how long a crash is remembered if no further one follows. A request that is
	// sent less often than that starts from zero each time.
	suspectTTL = time.Hour
	// clearedTTL is how long a clearing is remembered. It is longer than any record of the
	// request's crashes is in transit between gateways.
	clearedTTL = 10 * time.Minute
	// maxRecords limits the records in the table, at 150 bytes each. A data centre that loses power
	// has about a thousand requests in flight, each of them once.
	maxRecords = 8192
	// maxAnswered limits the requests that are remembered as fully answered, and answeredTTL is how
	// long they are: enough for the last minute at 60 requests a second.
	maxAnswered = 4096
	answeredTTL = time.Minute
)

// entry is a record with the table's own data about it.
type entry struct {
	Record
	// limitAt is when the record reached its limit.
	limitAt time.Time
	// changedAt is when the last crash, suspicion or clearing was recorded.
	changedAt time.Time
	// restored reports whether the record was loaded from the store, so that all evidence of which
	// request is at fault was known before.
	restored bool
}

// term returns how long the request is held.
func (e *entry) term() time.Duration {
	if e.heldForSilence() {
		return suspectTerm
	}
	term := FirstTerm
	for range len(e.Incarnations) - e.limit() {
		term = min(termGrowth*term, MaxTerm)
	}
	return term
}

// isHeld reports whether the request is held now.
func (e *entry) isHeld(now time.Time) bool {
	return e.limited() && now.Sub(e.changedAt) < e.term()
}

// expired reports whether the record no longer has any effect.
func (e *entry) expired(now time.Time) bool {
	ttl := suspectTTL
	switch {
	case len(e.Incarnations) == 0 && e.Suspected() > 0:
		ttl = suspectTerm
	case len(e.Incarnations) == 0:
		ttl = clearedTTL
	case e.AtLimit():
		// After the term the request is on probation for the same time again, or at least for an
		// hour.
		ttl = e.term() + max(e.term(), suspectTTL)
	}
	return now.Sub(e.changedAt) >= ttl
}

// Table holds this process's records of requests under which targets crashed. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// digest covers the records at the limit. Each heartbeat contains it.
	digest uint64
	// limited holds the entries at their limit. partsAtLimit is how many of them are of parts, so that
	// other goroutines can see without locking whether there are any.
	limited      map[Fingerprint]*entry
	partsAtLimit atomic.Int64
	// changes counts the records that were added or changed.
	changes uint64
	// suspects counts the records in which an incarnation is suspected and may have ended, and
	// suspected is the sum, so that other goroutines can see without locking whether there are any.
	suspects  map[Incarnation]int
	suspected atomic.Int64
	// answered holds the time at which recent requests were fully answered. It is local to this
	// process.
	answered *lru.Cache[Fingerprint, time.Time]
	// answeredParts holds the time at which parts were last answered here, and heard the time at which
	// this process learned of each crash.
	answeredParts *lru.Cache[Fingerprint, time.Time]
	heard         *lru.Cache[Incarnation, time.Time]
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries:       make(map[Fingerprint]*entry),
		limited:       make(map[Fingerprint]*entry),
		suspects:      make(map[Incarnation]int),
		answered:      newTimes[Fingerprint](maxAnswered),
		answeredParts: newTimes[Fingerprint](maxAnsweredParts),
		heard:         newTimes[Incarnation](maxHeardCrashes),
	}
}

// newTimes returns a cache of the times of the last events by key.
func newTimes[K comparable](size int) *lru.Cache[K, time.Time] {
	times, err := lru.New[K, time.Time](size)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return times
}

// Crashed records that an incarnation of a target crashed while a request was in flight there.
//
// If this process has just received an answer to the same request from another target, as happens
// to requests that many callers send alike, the answer excuses one crash. A request that crashes
// every target that runs it is never answered.
func (t *Table) Crashed(fingerprint Fingerprint, incarnation Incarnation, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.consumeAnswer(fingerprint, now) {
		return Change{}
	}
	return t.apply(Record{Fingerprint: fingerprint, Epoch: t.epochOf(fingerprint), Incarnations: []Incarnation{incarnation}}, now)
}

// consumeAnswer reports whether the request was fully answered here within answeredTTL. One answer
// excuses one crash: a request that was harmless then may be fatal now. The caller must hold t.mu.
func (t *Table) consumeAnswer(fingerprint Fingerprint, now time.Time) bool {
	answeredAt, ok := t.answered.Peek(fingerprint)
	if ok {
		t.answered.Remove(fingerprint)
	}
	return ok && now.Sub(answeredAt) < answeredTTL
}

// Answered records that a target answered a request completely, which clears its record.
func (t *Table) Answered(fingerprint Fingerprint, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.Add(fingerprint, now)
	return t.clear(fingerprint, now)
}

// Lift clears a request that operators want to have sent again.
func (t *Table) Lift(fingerprint Fingerprint, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(fingerprint, now)
}

// clear clears a request if any crashes are recorded for it. The caller must hold t.mu.
func (t *Table) clear(fingerprint Fingerprint, now time.Time) Change {
	e, ok := t.entries[fingerprint]
	if !ok || len(e.Incarnations) == 0 && len(e.Suspects) == 0 {
		return Change{}
	}
	return t.apply(Record{Fingerprint: fingerprint, Epoch: e.Epoch + 1}, now)
}

// Merge applies another gateway's record. If the request is about to be held, or is held already,
// and was answered here a moment ago, the answer clears it: a request that many callers send alike
// may have been in flight at several targets that crashed at once. An answer clears all suspicions.
func (t *Table) Merge(other Record, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.apply(other, now)
	if !change.Changed || !t.answerClears(change.Record, now) {
		return change
	}
	before, previous := change.Before, change.previous
	change = t.clear(other.Fingerprint, now)
	change.Before, change.previous, change.NewToSender, change.clearedOnMerge = before, previous, true, true
	return change
}

// answerClears reports whether an answer that was received here lately clears a record. The caller
// must hold t.mu.
func (t *Table) answerClears(record Record, now time.Time) bool {
	if record.Fingerprint.IsPart() {
		return record.Suspicious() && t.partAnsweredLately(record.Fingerprint, now)
	}
	if record.Suspicious() {
		return t.consumeAnswer(record.Fingerprint, now)
	}
	return record.Suspected() > 0 && t.answeredLately(record.Fingerprint, now)
}

// Restore merges a record that was loaded from the store.
func (t *Table) Restore(stored Record, now time.Time) Change {
	change := t.Merge(stored, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[stored.Fingerprint]; ok && e.Equal(stored) {
		e.restored = true
	}
	return change
}

// apply joins a record with the known one. The caller must hold t.mu.
func (t *Table) apply(other Record, now time.Time) Change {
	e, ok := t.entries[other.Fingerprint]
	if ok && e.expired(now) {
		t.remove(e)
		ok = false
	}
	if !ok {
		e = &entry{Record: Record{Fingerprint: other.Fingerprint}}
	}
	joined := e.join(other)
	joined.Moments = t.hearCrashes(joined, now)
	change := Change{Record: joined, Before: len(e.Incarnations), previous: e.Record, Changed: !joined.Equal(e.Record) || joined.Moments != e.Moments, NewToSender: !joined.Equal(other) || other.Moments > 0 && joined.Moments != other.Moments}
	if !change.Changed {
		return change
	}
	if !ok {
		t.evict(now)
		t.entries[other.Fingerprint] = e
	}
	if joined.AtLimit() && (!e.AtLimit() || joined.Epoch != e.Epoch) {
		e.limitAt = now
	}
	t.digest ^= e.digest() ^ joined.digest()
	t.countSuspects(e.Record, -1)
	t.countSuspects(joined, 1)
	if joined.Epoch != e.Epoch || joined.ends() >= e.ends() {
		e.changedAt = now // an answer of a suspect doesn't extend the hold
	}
	e.Record, e.restored = joined, false
	t.setLimited(e, e.AtLimit())
	t.changes++
	return change
}

// setLimited records whether an entry is at its limit. The caller must hold t.mu.
func (t *Table) setLimited(e *entry, limited bool) {
	_, before := t.limited[e.Fingerprint]
	if limited == before {
		return
	}
	change := int64(1)
	if limited {
		t.limited[e.Fingerprint] = e
	} else {
		delete(t.limited, e.Fingerprint)
		change = -1
	}
	if e.Fingerprint.IsPart() {
		t.partsAtLimit.Add(change)
	}
}

func (t *Table) epochOf(fingerprint Fingerprint) uint32 {
	if e, ok := t.entries[fingerprint]; ok {
		return e.Epoch
	}
	return 0
}

// evict removes an eighth of the records if the table is full: those with the fewest crashes first,
// and of these the oldest. Held requests are evicted last. The caller must hold t.mu.
func (t *Table) evict(now time.Time) {
	if len(t.entries) < maxRecords {
		return
	}
	t.expire(now)
	if len(t.entries) < maxRecords {
		return
	}
	const share = 8
	all := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.ends(), b.ends()), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, e := range all[:len(all)/share] {
		t.remove(e)
	}
}

// remove deletes a record. The caller must hold t.mu.
func (t *Table) remove(e *entry) {
	t.digest ^= e.digest()
	t.setLimited(e, false)
	t.countSuspects(e.Record, -1)
	delete(t.entries, e.Fingerprint)
}

// expire removes records that no longer have any effect. The caller must hold t.mu.
func (t *Table) expire(now time.Time) {
	for _, e := range t.entries {
		if e.expired(now) {
			t.remove(e)
		}
	}
}

// Held reports whether a request must not be sent to any target now.
func (t *Table) Held(fingerprint Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && e.isHeld(now)
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Changes returns the number of records that were added or changed so far.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Records returns all records, those with the most crashes first.
func (t *Table) Records(now time.Time) []Record {
	return t.records(now, func(Record) bool { return true })
}

// AtLimit returns the records of requests and parts that are held or were recently, those with the
// most crashes first.
func (t *Table) AtLimit(now time.Time) []Record {
	return t.records(now, Record.AtLimit)
}

// records returns the selected records.
func (t *Table) records(now time.Time, selected func(Record) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	records := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		if selected(e.Record) {
			records = append(records, e.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.ends(), a.ends()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return records
}

// Digest is equal for two tables with the same records at the limit; it is zero if there are none.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// HeldRequest is a held request, or a held part of prompts, as operators see it.
type HeldRequest struct {
	Fingerprint Fingerprint
	// Crashes is the number of targets that crashed under it, and Suspected that of those that fell
	// silent and may have ended.
	Crashes, Suspected int
	// Remaining is how much longer it is held.
	Remaining time.Duration
}

// HeldRequests returns the requests and the parts that are held now, the most recent hold first.
func (t *Table) HeldRequests(now time.Time) []HeldRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cases []HeldRequest
	for _, e := range t.entries {
		if e.isHeld(now) && (e.Confirmed || !e.Fingerprint.IsPart()) {
			cases = append(cases, HeldRequest{Fingerprint: e.Fingerprint, Crashes: len(e.Incarnations), Suspected: e.Suspected(), Remaining: e.term() - now.Sub(e.changedAt)})
		}
	}
	slices.SortFunc(cases, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return cases
}
