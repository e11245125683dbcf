package policy

import (
	"cmp"
	"slices"
)

const (
	// Slots is the number of chat slots: chats of one slot prefer the same
	// targets. It is the same on every process and never changes, so that a
	// change of targets moves few chats.
	Slots = 1 << 16
	// Choices is how many targets are ordered for each slot.
	Choices = 8
	// none marks an empty place in the table.
	none = ^uint32(0)
)

// Places orders the targets of one pool for every chat slot by rendezvous, so
// that a decision is a look-up. A change of targets costs work only for the
// slots that it touches. It is not safe for concurrent use; readers take a
// Clone.
type Places struct {
	// names and hashes are by target number; an empty name is free.
	names  []string
	hashes []uint64
	number map[string]uint32
	// order holds Choices target numbers for each slot, best first.
	order []uint32
	// least is the score of each slot's last choice; a target with a lower
	// one is not among them. Zero while a place is free.
	least []uint64
}

// NewPlaces builds the table for a set of targets, in any order.
func NewPlaces(names []string) *Places {
	p := &Places{
		number: make(map[string]uint32),
		order:  make([]uint32, Slots*Choices),
		least:  make([]uint64, Slots),
	}
	for i := range p.order {
		p.order[i] = none
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	for _, name := range slices.Compact(sorted) {
		p.Add(name)
	}
	return p
}

// SlotOf gives the chat slot of a hashed chat.
func SlotOf(chat uint64) int {
	return int(mix(chat) % Slots)
}

// Len counts the targets.
func (p *Places) Len() int {
	return len(p.number)
}

// Has says whether a target is in the table.
func (p *Places) Has(name string) bool {
	_, ok := p.number[name]
	return ok
}

// Name gives the name of a target number.
func (p *Places) Name(number uint32) string {
	return p.names[number]
}

// Add brings a target in; it takes its place in the slots that prefer it.
func (p *Places) Add(name string) {
	if p.Has(name) {
		return
	}
	number := p.take(name)
	hash := p.hashes[number]
	for slot := range Slots {
		if score := Score(slotHash(slot), hash); score >= p.least[slot] {
			p.insert(slot, number, score)
		}
	}
}

func (p *Places) take(name string) uint32 {
	free := slices.Index(p.names, "")
	if free < 0 {
		free = len(p.names)
		p.names = append(p.names, "")
		p.hashes = append(p.hashes, 0)
	}
	number := uint32(free)
	p.names[number] = name
	p.hashes[number] = HashName(name)
	p.number[name] = number
	return number
}

func slotHash(slot int) uint64 {
	return mix(uint64(slot) + 1)
}

// insert puts a target into a slot's order if it is among the first.
func (p *Places) insert(slot int, number uint32, score uint64) {
	row := p.order[slot*Choices : (slot+1)*Choices]
	hash := slotHash(slot)
	at := Choices
	for at > 0 && p.before(hash, number, score, row[at-1]) {
		at--
	}
	if at == Choices {
		return
	}
	copy(row[at+1:], row[at:Choices-1])
	row[at] = number
	if last := row[Choices-1]; last != none {
		p.least[slot] = Score(hash, p.hashes[last])
	}
}

// before says whether a target comes before another in a slot's order.
func (p *Places) before(hash uint64, number uint32, score uint64, other uint32) bool {
	if other == none {
		return true
	}
	otherScore := Score(hash, p.hashes[other])
	if score != otherScore {
		return score > otherScore
	}
	return p.names[number] < p.names[other]
}

// Remove takes a target out; only slots that named it are ordered again.
func (p *Places) Remove(name string) {
	number, ok := p.number[name]
	if !ok {
		return
	}
	delete(p.number, name)
	p.names[number] = ""
	for slot := range Slots {
		row := p.order[slot*Choices : (slot+1)*Choices]
		if slices.Contains(row, number) {
			p.refill(slot, row)
		}
	}
}

// refill orders one slot anew.
func (p *Places) refill(slot int, row []uint32) {
	for i := range row {
		row[i] = none
	}
	p.least[slot] = 0
	hash := slotHash(slot)
	for number, name := range p.names {
		if name == "" {
			continue
		}
		if score := Score(hash, p.hashes[number]); score >= p.least[slot] {
			p.insert(slot, uint32(number), score)
		}
	}
}

// Order gives the ordered target numbers of a slot; the result is the table's
// own memory and must not be changed.
func (p *Places) Order(slot int) []uint32 {
	row := p.order[slot*Choices : (slot+1)*Choices]
	for i, number := range row {
		if number == none {
			return row[:i]
		}
	}
	return row
}

// Clone copies the table.
func (p *Places) Clone() *Places {
	number := make(map[string]uint32, len(p.number))
	for name, n := range p.number {
		number[name] = n
	}
	return &Places{
		names:  slices.Clone(p.names),
		hashes: slices.Clone(p.hashes),
		number: number,
		order:  slices.Clone(p.order),
		least:  slices.Clone(p.least),
	}
}

// Names lists the targets in order of name.
func (p *Places) Names() []string {
	names := make([]string, 0, len(p.number))
	for name := range p.number {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Numbers is one more than the highest target number in use or free.
func (p *Places) Numbers() int {
	return len(p.names)
}

// Number gives the number of a target.
func (p *Places) Number(name string) (uint32, bool) {
	number, ok := p.number[name]
	return number, ok
}
