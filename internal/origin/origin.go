// Package origin records which software version of which service began each stream. A caller may
// resume a stream at any gateway, and only a target of the version that began it can continue it.
// It does no I/O. Source: docs/design/stream-versions.md.
package origin

import (
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Stream identifies a stream.
type Stream uint64

// StreamOf returns the identifier of a workspace's stream, given the ID of the caller's attempt that
// brought its first event.
func StreamOf(workspace, attempt string) Stream {
	return Stream(policy.HashName(workspace + "\x00" + attempt))
}

// Version identifies a version of a service's targets by the upper half of a hash. A service has a
// few versions at a time, so that no two of them have the same.
type Version uint32

// Uncertain stands for a stream that several versions may have begun.
const Uncertain Version = 0

// VersionOf returns the identifier of a version of a service. It is never Uncertain.
func VersionOf(service, version string) Version {
	const halfBits = 32
	return max(Version(policy.HashName(service+"\x00"+version)>>halfBits), 1)
}

// Record says which version began a stream.
type Record struct {
	Stream  Stream
	Version Version
	// Expires is when the caller no longer resumes the stream.
	Expires time.Time
}

// Finding is what other gateways told of the version that began a stream.
type Finding struct {
	// Known means that a gateway has a record of the stream, which may be Uncertain, or knows the only
	// version. Without it Version is Uncertain.
	Known   bool
	Version Version
	// Sole means that the gateway which told it has no record of the stream: the stream's service has had no
	// other version.
	Sole bool
	// Answered is the number of gateways that answered.
	Answered int
}

// WhileRunning returns the record as it is kept while the stream may still be running: a caller may resume a
// stream for at least twice the time that it may take.
func (r Record) WhileRunning(now time.Time) Record {
	const share = 0.5
	r.Expires = now.Add(time.Duration(share * float64(r.Expires.Sub(now))))
	return r
}

// maxRecords bounds a table. At the size that the fleet is designed for a gateway has some 6,000.
const maxRecords = 1 << 16

// sweepInterval is the time between two removals of expired records.
const sweepInterval = time.Second

// Table holds records until they expire. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Stream]Record
	sweptAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Stream]Record)}
}

// Put adds a record or merges it into a known one, and returns the result. It is Uncertain if the two
// name different versions, and expires with the later one. A full table takes no new records: such
// streams can't be resumed.
func (t *Table) Put(record Record, now time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	known, ok := t.records[record.Stream]
	if ok && known.Expires.After(now) {
		if known.Version != record.Version {
			record.Version = Uncertain
		}
		if known.Expires.After(record.Expires) {
			record.Expires = known.Expires
		}
	}
	if ok || len(t.records) < maxRecords {
		t.records[record.Stream] = record
	}
	return record
}

// Get returns the record of a stream. Its absence proves nothing about the stream.
func (t *Table) Get(stream Stream, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, ok := t.records[stream]
	return record, ok && record.Expires.After(now)
}

// Records returns all records that have not expired, in no order.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		if record.Expires.After(now) {
			records = append(records, record)
		}
	}
	return records
}

// Len returns the number of records, including those that expired a moment ago.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// sweep removes expired records from time to time. The caller must hold t.mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for stream, record := range t.records {
		if !record.Expires.After(now) {
			delete(t.records, stream)
		}
	}
}
