package once

import (
	"container/list"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// State is the state of a key.
type State uint32

// The states of a key. A key without a record was never admitted.
const (
	// Running means that the key was admitted and its run has not ended.
	Running State = iota + 1
	// Done means that the key ran and its outcome is known.
	Done
	// InDoubt means that the request was sent to the target and its outcome is lost.
	InDoubt
	// Closed means that the key never ran and never will.
	Closed
	// Reopened means that this run was abandoned before it reached the target and that the key may
	// run again. Only waiters see it.
	Reopened
)

// Outcome is the recorded response of a run.
type Outcome struct {
	Head *wire.Head
	Body []byte
	// Trimmed means that the body was too large to keep.
	Trimmed bool
}

// Record is what an owner keeps of one key.
type Record struct {
	Key string
	// At is the key's own time.
	At time.Time
	// Fingerprint is a hash of the request. A repeated request must match it.
	Fingerprint uint64
	State       State
	// Outcome is set when State is Done.
	Outcome Outcome
	// Cause is set when State is Reopened.
	Cause *fault.Error
	// ended is closed when State leaves Running.
	ended chan struct{}
	// element is the record's element in the order of its slot's records.
	element *list.Element
}

// records holds one slot's records in the order in which they were first seen.
type records struct {
	byKey map[string]*Record
	order *list.List
	// running counts the records in state Running.
	running int
}

func newRecords() *records {
	return &records{byKey: make(map[string]*Record), order: list.New()}
}

func (r *records) add(record *Record) {
	record.ended = make(chan struct{})
	record.element = r.order.PushBack(record)
	r.byKey[record.Key] = record
	if record.State == Running {
		r.running++
		return
	}
	close(record.ended)
}

func (r *records) finish(record *Record, state State, outcome Outcome) {
	record.State = state
	record.Outcome = outcome
	r.running--
	close(record.ended)
}

func (r *records) remove(record *Record) {
	r.order.Remove(record.element)
	delete(r.byKey, record.Key)
}

// forget drops records whose key can no longer be admitted and whose outcome need not be kept. It
// returns how many it dropped.
func (r *records) forget(before time.Time) int {
	removed := 0
	for element := r.order.Front(); element != nil; {
		next := element.Next()
		record := element.Value.(*Record)
		if !record.At.Before(before) {
			break
		}
		if record.State != Running {
			r.remove(record)
			removed++
		}
		element = next
	}
	return removed
}
