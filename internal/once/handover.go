package once

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// importedSlot holds what a successor has received of a slot before the table names it as owner.
type importedSlot struct {
	epoch   uint64
	start   time.Time
	records *records
}

// Freeze stops decisions in slots that are to be handed over. They resume only when a later
// table still names this agent as owner, see Unfreeze.
func (g *Guard) Freeze(numbers []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, number := range numbers {
		if slot, ok := g.owned[number]; ok {
			slot.frozen = true
		}
	}
}

// Unfreeze resumes frozen slots after a handover was abandoned. It returns false, and does
// nothing, while a change of the table is open.
func (g *Guard) Unfreeze(numbers []int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.openChangeBase != nil {
		return false
	}
	for _, number := range numbers {
		if slot, ok := g.owned[number]; ok {
			slot.frozen = false
		}
	}
	return true
}

// Export returns the records of frozen slots for a successor. A key that is still running is
// exported as in doubt; ExportOutcome sends its outcome later.
func (g *Guard) Export(numbers []int) *wire.HandOver {
	g.mu.Lock()
	defer g.mu.Unlock()
	message := &wire.HandOver{Service: g.options.Service, From: g.self.Agent}
	for _, number := range numbers {
		slot, ok := g.owned[number]
		if !ok || !slot.frozen {
			continue
		}
		message.Slots = append(message.Slots, exportSlot(number, slot))
	}
	return message
}

func exportSlot(number int, slot *ownedSlot) *wire.SlotRecords {
	out := &wire.SlotRecords{
		Slot:    uint32(number),
		Epoch:   slot.epoch,
		StartMs: slot.start.UnixMilli(),
	}
	for element := slot.records.order.Front(); element != nil; element = element.Next() {
		out.Records = append(out.Records, exportRecord(element.Value.(*Record)))
	}
	return out
}

func exportRecord(record *Record) *wire.KeyRecord {
	state := record.State
	if state == Running {
		state = InDoubt
	}
	return &wire.KeyRecord{
		Key:     record.Key,
		AtMs:    record.At.UnixMilli(),
		State:   uint32(state),
		Head:    record.Outcome.Head,
		Body:    record.Outcome.Body,
		Print:   record.Fingerprint,
		Trimmed: record.Outcome.Trimmed,
	}
}

// ExportOutcome returns the outcome of a finished run for the successor that now owns its slot.
func (g *Guard) ExportOutcome(record *Record) *wire.HandOver {
	g.mu.Lock()
	defer g.mu.Unlock()
	number := SlotOf(record.Key, len(g.table.Slots))
	return &wire.HandOver{
		Service: g.options.Service,
		From:    g.self.Agent,
		Slots:   []*wire.SlotRecords{{Slot: uint32(number), Records: []*wire.KeyRecord{exportRecord(record)}}},
	}
}

// Import accepts records from an owner that hands slots over, or the outcome of a run that ended
// after its slot was handed over.
func (g *Guard) Import(message *wire.HandOver) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, slot := range message.GetSlots() {
		number := int(slot.GetSlot())
		if slot.GetEpoch() == 0 {
			g.resolveInDoubt(number, slot)
			continue
		}
		imported := newRecords()
		for _, record := range slot.GetRecords() {
			imported.add(importRecord(record))
		}
		g.imports[number] = importedSlot{
			epoch:   slot.GetEpoch(),
			start:   time.UnixMilli(slot.GetStartMs()),
			records: imported,
		}
	}
}

// resolveInDoubt replaces keys in doubt by their outcomes.
func (g *Guard) resolveInDoubt(number int, slot *wire.SlotRecords) {
	var existing *records
	if owned, ok := g.owned[number]; ok {
		existing = owned.records
	} else if slot, ok := g.imports[number]; ok {
		existing = slot.records
	} else {
		return
	}
	for _, message := range slot.GetRecords() {
		record, ok := existing.byKey[message.GetKey()]
		if !ok || record.State != InDoubt {
			continue
		}
		ended := importRecord(message)
		record.State = ended.State
		record.Outcome = ended.Outcome
	}
}

func importRecord(message *wire.KeyRecord) *Record {
	return &Record{
		Key:         message.GetKey(),
		At:          time.UnixMilli(message.GetAtMs()),
		Fingerprint: message.GetPrint(),
		State:       State(message.GetState()),
		Outcome:     Outcome{Head: message.GetHead(), Body: message.GetBody(), Trimmed: message.GetTrimmed()},
	}
}
