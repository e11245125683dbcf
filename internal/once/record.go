package once

import (
	"container/list"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// State is what became of a key.
type State uint32

// The states of a key; an absent record means that it was never admitted.
const (
	// Running: admitted, and its run has not ended.
	Running State = iota + 1
	// Done: it ran and the outcome is known.
	Done
	// InDoubt: it was sent to the target and the outcome is lost.
	InDoubt
	// Closed: it never ran and never will.
	Closed
	// Reopened: this run was given up before it reached the target, and the
	// key is open again. Only waiters see it.
	Reopened
)

// Outcome is the recorded answer of a run.
type Outcome struct {
	Head *wire.Head
	Body []byte
	// Trimmed says that the body was too large to keep.
	Trimmed bool
}

// Record is what an owner remembers of one key.
type Record struct {
	Key string
	// At is the key's own time.
	At time.Time
	// Print is a hash of the request; a repeat must match it.
	Fingerprint uint64
	State       State
	// Outcome is set when State is Done.
	Outcome Outcome
	// Why is set when State is Reopened.
	Cause *fault.Error
	// ended is closed when State leaves Running.
	ended chan struct{}
	// place is the record's element in its slot's order.
	place *list.Element
}

// records holds one slot's records, oldest first seen first.
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
	record.place = r.order.PushBack(record)
	r.byKey[record.Key] = record
	if record.State == Running {
		r.running++
		return
	}
	close(record.ended)
}

func (r *records) end(record *Record, state State, outcome Outcome) {
	record.State = state
	record.Outcome = outcome
	r.running--
	close(record.ended)
}

func (r *records) remove(record *Record) {
	r.order.Remove(record.place)
	delete(r.byKey, record.Key)
}

// forget drops records whose key can no longer be admitted and whose outcome
// need not be kept; it returns how many went.
func (r *records) forget(before time.Time) int {
	gone := 0
	for element := r.order.Front(); element != nil; {
		next := element.Next()
		record := element.Value.(*Record)
		if !record.At.Before(before) {
			break
		}
		if record.State != Running {
			r.remove(record)
			gone++
		}
		element = next
	}
	return gone
}
