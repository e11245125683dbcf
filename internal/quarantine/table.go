package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// FirstTerm is how long a request is held back at first. It has an end since what is wrong
	// may be mended meanwhile, and since holding it back may be wrong. A request that is still
	// fatal then costs one target each time.
	FirstTerm = 10 * time.Minute
	// termGrowth is by how much each further end prolongs the term, up to MaxTerm, the longest
	// one: 10 minutes, 2 hours, a day, so that no more than three targets end later than the
	// third in a day. Terms that doubled let seven.
	termGrowth = 12
	// MaxTerm is the longest a request is held back without another end.
	MaxTerm = 24 * time.Hour
	// suspectLife is how long an end counts if no further one follows. A request that comes
	// less often than that is a new one each time.
	suspectLife = time.Hour
	// clearedLife is how long it is known that a request was cleared: for longer than any
	// record of its ends is on its way between gateways.
	clearedLife = 10 * time.Minute
	// mostRecords bounds the requests that are known, at 150 bytes each. A data centre that
	// loses power has some thousand under way, each once.
	mostRecords = 8192
	// answerMemory is how many requests that were answered whole are remembered, and
	// answerLife for how long: those of the last minute at 60 a second.
	answerMemory = 4096
	answerLife   = time.Minute
)

// entry is a record as the table keeps it.
type entry struct {
	Record
	// changedAt is when the last end became known, or the last clearing.
	changedAt time.Time
	// settled says that all that may show who is to blame was known before: the record was
	// kept in the store.
	settled bool
}

// term is how long the request is held back.
func (e *entry) term() time.Duration {
	term := FirstTerm
	for range len(e.Instances) - Limit {
		term = min(termGrowth*term, MaxTerm)
	}
	return term
}

// held says whether the request is held back now.
func (e *entry) held(now time.Time) bool {
	return e.atLimit() && now.Sub(e.changedAt) < e.term()
}

// over says whether the record says nothing any more.
func (e *entry) over(now time.Time) bool {
	life := suspectLife
	switch {
	case len(e.Instances) == 0:
		life = clearedLife
	case e.atLimit():
		// Behind its term it is on trial for as long again, or for an hour.
		life = e.term() + max(e.term(), suspectLife)
	}
	return now.Sub(e.changedAt) >= life
}

// Table is what this process knows of requests under which targets ended. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// digest is that of the records at the limit: each beat has it.
	digest uint64
	// changes counts the records that became known or changed.
	changes uint64
	// answered are requests that were answered whole a moment ago, with the time. It is
	// nobody's but this process's.
	answered *lru.Cache[Fingerprint, time.Time]
}

// New returns an empty table.
func New() *Table {
	answered, err := lru.New[Fingerprint, time.Time](answerMemory)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Table{entries: make(map[Fingerprint]*entry), answered: answered}
}

// Crashed notes that a life of a target ended without a plan while a request was under way
// there.
//
// Whoever sent a request that many send alike has just had it answered elsewhere: that
// excuses one end. A request that ends whatever runs it is never answered.
func (t *Table) Crashed(print Fingerprint, life Instance, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.excuse(print, now) {
		return Change{}
	}
	return t.take(Record{Fingerprint: print, Epoch: t.epochOf(print), Instances: []Instance{life}}, now)
}

// excuse says whether the request was answered whole here a moment ago. An answer excuses it
// once: what was sound then may be fatal now. t.mu is held.
func (t *Table) excuse(print Fingerprint, now time.Time) bool {
	at, ok := t.answered.Peek(print)
	if ok {
		t.answered.Remove(print)
	}
	return ok && now.Sub(at) < answerLife
}

// Answered notes that a target answered a request whole, which clears it.
func (t *Table) Answered(print Fingerprint, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.Add(print, now)
	return t.clear(print, now)
}

// Lift clears a request that operators want sent again.
func (t *Table) Lift(print Fingerprint, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(print, now)
}

// clear clears a request, if ends are held against it; t.mu is held.
func (t *Table) clear(print Fingerprint, now time.Time) Change {
	known, ok := t.entries[print]
	if !ok || len(known.Instances) == 0 {
		return Change{}
	}
	return t.take(Record{Fingerprint: print, Epoch: known.Epoch + 1}, now)
}

// Merge takes another gateway's record. If the request is about to be held back, or is
// already, and was answered here a moment ago, that clears it: one that many send alike may
// have been under way at several targets that ended at once.
func (t *Table) Merge(other Record, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[other.Fingerprint]
	before := 0
	if ok {
		before = len(known.Instances)
	}
	change := t.take(other, now)
	if !change.Changed || !change.Suspicious() || !t.excuse(other.Fingerprint, now) {
		return change
	}
	change = t.clear(other.Fingerprint, now)
	change.Before, change.NewToSender, change.clearedOnMerge = before, true, true
	return change
}

// Restore is Merge for a record that the store has kept.
func (t *Table) Restore(kept Record, now time.Time) Change {
	change := t.Merge(kept, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.entries[kept.Fingerprint]; ok && known.Equal(kept) {
		known.settled = true
	}
	return change
}

// take joins a record with what is known; t.mu is held.
func (t *Table) take(other Record, now time.Time) Change {
	known, ok := t.entries[other.Fingerprint]
	if ok && known.over(now) {
		t.forget(known)
		ok = false
	}
	if !ok {
		known = &entry{Record: Record{Fingerprint: other.Fingerprint}}
	}
	joined := known.join(other)
	change := Change{Record: joined, Before: len(known.Instances), Changed: !joined.Equal(known.Record), NewToSender: !joined.Equal(other)}
	if !change.Changed {
		return change
	}
	if !ok {
		t.makeRoom(now)
		t.entries[other.Fingerprint] = known
	}
	t.digest ^= known.digest() ^ joined.digest()
	known.Record, known.changedAt, known.settled = joined, now, false
	t.changes++
	return change
}

func (t *Table) epochOf(print Fingerprint) uint32 {
	if known, ok := t.entries[print]; ok {
		return known.Epoch
	}
	return 0
}

// makeRoom forgets an eighth of the records if there are as many as may be: those with the
// fewest ends first, and of these the oldest. Requests that are held back are the last to
// go. t.mu is held.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < mostRecords {
		return
	}
	t.expire(now)
	if len(t.entries) < mostRecords {
		return
	}
	const share = 8
	all := make([]*entry, 0, len(t.entries))
	for _, known := range t.entries {
		all = append(all, known)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Instances), len(b.Instances)), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, known := range all[:len(all)/share] {
		t.forget(known)
	}
}

// forget forgets a record; t.mu is held.
func (t *Table) forget(known *entry) {
	t.digest ^= known.digest()
	delete(t.entries, known.Fingerprint)
}

// expire forgets records that say nothing any more; t.mu is held.
func (t *Table) expire(now time.Time) {
	for _, known := range t.entries {
		if known.over(now) {
			t.forget(known)
		}
	}
}

// Held says whether a request is to be sent to no target now.
func (t *Table) Held(print Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[print]
	return ok && known.held(now)
}

// Suspicious says whether a request was under way at so many ends that one more holds it
// back.
func (t *Table) Suspicious(print Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[print]
	return ok && known.Suspicious()
}

// Empty says whether nothing is held against any request.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Changes counts the records that became known or changed so far.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Records are what is known of all requests, those with the most ends first.
func (t *Table) Records(now time.Time) []Record {
	return t.records(now, 0)
}

// AtLimit are the records of requests that are held back, or were until lately, those with
// the most ends first.
func (t *Table) AtLimit(now time.Time) []Record {
	return t.records(now, Limit)
}

// records are those with so many ends at least.
func (t *Table) records(now time.Time, least int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	records := make([]Record, 0, len(t.entries))
	for _, known := range t.entries {
		if len(known.Instances) >= least {
			records = append(records, known.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Instances), len(a.Instances)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return records
}

// Digest is the same for two tables with the same records at the limit; zero without any.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Case is a request that is held back, as operators see it.
type HeldRequest struct {
	Fingerprint Fingerprint
	// Ends is how many targets ended under it.
	Crashes int
	// Left is how long it is still held back.
	Remaining time.Duration
}

// Cases are the requests that are held back now, the latest first.
func (t *Table) HeldRequests(now time.Time) []HeldRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cases []HeldRequest
	for _, known := range t.entries {
		if known.held(now) {
			cases = append(cases, HeldRequest{Fingerprint: known.Fingerprint, Crashes: len(known.Instances), Remaining: known.term() - now.Sub(known.changedAt)})
		}
	}
	slices.SortFunc(cases, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return cases
}
