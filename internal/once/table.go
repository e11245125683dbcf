package once

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Holder is one incarnation of an agent; the zero value means no holder.
type Holder struct {
	Agent       string `json:"agent,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
}

// Slot is one row of the slot table.
type Slot struct {
	Owner Holder `json:"owner"`
	// Witness is zero when the owner has no witness. The owner's right then depends on its long
	// lease alone.
	Witness Holder `json:"witness"`
	// Epoch increases with each change of owner.
	Epoch uint64 `json:"epoch"`
	// StartMS is the wall time, in ms, from which the records of the slot are complete, because
	// each owner since then passed them to the next. Keys that may be older are in doubt. It is
	// zero if the records go back to the slot's first owner.
	StartMS int64 `json:"start_ms"`
}

// Table is the slot table of one service, stored as one value.
type Table struct {
	// Version is the store's version of the value; zero if there is none.
	Version uint64 `json:"-"`
	Slots   []Slot `json:"slots"`
}

// NewTable returns a table of n slots without owners.
func NewTable(n int) Table {
	return Table{Slots: make([]Slot, n)}
}

// ParseTable decodes a table as stored.
func ParseTable(data []byte, version uint64) (Table, error) {
	var table Table
	if err := json.Unmarshal(data, &table); err != nil {
		return Table{}, errors.Wrap(err, "read slot table")
	}
	if len(table.Slots) == 0 {
		return Table{}, errors.New("slot table has no slots")
	}
	table.Version = version
	return table, nil
}

// Encode encodes the table as stored.
func (t *Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	return data, errors.Wrap(err, "write slot table")
}

// Clone returns a copy of the table.
func (t *Table) Clone() Table {
	return Table{Version: t.Version, Slots: append([]Slot(nil), t.Slots...)}
}

// LongLease is the value that an agent writes to the store every few minutes.
type LongLease struct {
	Incarnation string `json:"incarnation"`
	// UntilMS is the time, in ms on the holder's wall clock, at which the lease ends.
	UntilMS int64 `json:"until_ms"`
}
