package policy

import (
	"cmp"
	"slices"
)

const (
	// Slots is the number of chat slots. Chats of one slot prefer the same targets. It is the
	// same in every process and never changes, so that a change of targets moves few chats.
	Slots = 1 << 16
	// Choices is the number of targets that are ranked for each slot.
	Choices = 8
	// none marks an empty place in the table.
	none = ^uint32(0)
)

// SlotTable ranks the targets of one pool for every chat slot by rendezvous hashing, so that a
// decision is a table look-up. A change of targets costs work only for the slots that it
// affects. It is not safe for concurrent use; readers use a Clone.
type SlotTable struct {
	// names and hashes are indexed by target number; an empty name marks a free number.
	names   []string
	hashes  []uint64
	numbers map[string]uint32
	// order holds Choices target numbers for each slot, best first.
	order []uint32
	// minScore is the score of each slot's last choice; a target with a lower score is not
	// among the choices. It is zero while the slot has a free place.
	minScore []uint64
}

// NewSlotTable builds the table for a set of targets, in any order.
func NewSlotTable(names []string) *SlotTable {
	t := &SlotTable{
		numbers:  make(map[string]uint32),
		order:    make([]uint32, Slots*Choices),
		minScore: make([]uint64, Slots),
	}
	for i := range t.order {
		t.order[i] = none
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	for _, name := range slices.Compact(sorted) {
		t.Add(name)
	}
	return t
}

// SlotOf returns the chat slot of a chat's hash.
func SlotOf(chat uint64) int {
	return int(mix(chat) % Slots)
}

// Len returns the number of targets.
func (t *SlotTable) Len() int {
	return len(t.numbers)
}

// Has reports whether a target is in the table.
func (t *SlotTable) Has(name string) bool {
	_, ok := t.numbers[name]
	return ok
}

// Name returns the name of a target number.
func (t *SlotTable) Name(number uint32) string {
	return t.names[number]
}

// Add adds a target to the table and to the slots that prefer it.
func (t *SlotTable) Add(name string) {
	if t.Has(name) {
		return
	}
	number := t.assignNumber(name)
	hash := t.hashes[number]
	for slot := range Slots {
		if score := Score(slotHash(slot), hash); score >= t.minScore[slot] {
			t.insert(slot, number, score)
		}
	}
}

func (t *SlotTable) assignNumber(name string) uint32 {
	free := slices.Index(t.names, "")
	if free < 0 {
		free = len(t.names)
		t.names = append(t.names, "")
		t.hashes = append(t.hashes, 0)
	}
	number := uint32(free)
	t.names[number] = name
	t.hashes[number] = HashName(name)
	t.numbers[name] = number
	return number
}

func slotHash(slot int) uint64 {
	return mix(uint64(slot) + 1)
}

// insert adds a target to a slot's order if it is among the best.
func (t *SlotTable) insert(slot int, number uint32, score uint64) {
	row := t.order[slot*Choices : (slot+1)*Choices]
	hash := slotHash(slot)
	at := Choices
	for at > 0 && t.precedes(hash, number, score, row[at-1]) {
		at--
	}
	if at == Choices {
		return
	}
	copy(row[at+1:], row[at:Choices-1])
	row[at] = number
	if last := row[Choices-1]; last != none {
		t.minScore[slot] = Score(hash, t.hashes[last])
	}
}

// precedes reports whether a target comes before another in a slot's order.
func (t *SlotTable) precedes(hash uint64, number uint32, score uint64, other uint32) bool {
	if other == none {
		return true
	}
	otherScore := Score(hash, t.hashes[other])
	if score != otherScore {
		return score > otherScore
	}
	return t.names[number] < t.names[other]
}

// Remove removes a target. Only the slots that contained it are ranked again.
func (t *SlotTable) Remove(name string) {
	number, ok := t.numbers[name]
	if !ok {
		return
	}
	delete(t.numbers, name)
	t.names[number] = ""
	for slot := range Slots {
		row := t.order[slot*Choices : (slot+1)*Choices]
		if slices.Contains(row, number) {
			t.rebuild(slot, row)
		}
	}
}

// rebuild ranks the targets of one slot again.
func (t *SlotTable) rebuild(slot int, row []uint32) {
	for i := range row {
		row[i] = none
	}
	t.minScore[slot] = 0
	hash := slotHash(slot)
	for number, name := range t.names {
		if name == "" {
			continue
		}
		if score := Score(hash, t.hashes[number]); score >= t.minScore[slot] {
			t.insert(slot, uint32(number), score)
		}
	}
}

// Order returns the ranked target numbers of a slot. The result is the table's own memory and
// must not be modified.
func (t *SlotTable) Order(slot int) []uint32 {
	row := t.order[slot*Choices : (slot+1)*Choices]
	for i, number := range row {
		if number == none {
			return row[:i]
		}
	}
	return row
}

// Clone returns a copy of the table.
func (t *SlotTable) Clone() *SlotTable {
	numbers := make(map[string]uint32, len(t.numbers))
	for name, n := range t.numbers {
		numbers[name] = n
	}
	return &SlotTable{
		names:    slices.Clone(t.names),
		hashes:   slices.Clone(t.hashes),
		numbers:  numbers,
		order:    slices.Clone(t.order),
		minScore: slices.Clone(t.minScore),
	}
}

// Names returns the sorted names of the targets.
func (t *SlotTable) Names() []string {
	names := make([]string, 0, len(t.numbers))
	for name := range t.numbers {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Numbers returns one more than the highest target number, used or free.
func (t *SlotTable) Numbers() int {
	return len(t.names)
}

// Number returns the number of a target.
func (t *SlotTable) Number(name string) (uint32, bool) {
	number, ok := t.numbers[name]
	return number, ok
}
