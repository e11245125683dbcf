// Package originstore saves in the platform's store which versions began the streams that may be running,
// for gateways that begin after all of them were lost at once. One gateway saves for all, and only while
// several versions may have begun streams: otherwise the records are not needed.
//
// Source: docs/design/stream-versions.md.
package originstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/periodic"
)

const (
	// saveEvery is the time between two saves. A stream that began since the last one is lost with the
	// gateways.
	saveEvery = 300 * time.Millisecond
	// saveTimeout limits one call to the store.
	saveTimeout = 800 * time.Millisecond
	// Each record is written with those of the same second only, into one of several slots that are used
	// in turn: writing all of them each time would take fifty times the bytes. slots is their number, and
	// slotTime how long one is written to. The time of day names the slot, so that a process that starts
	// does not replace what the one before it saved last.
	slots    = 20
	slotTime = time.Second
	// keptFor is how long after it was written a record is surely in the store.
	keptFor = (slots - 1) * slotTime
)

// Store stores the records of gateways.
type Store interface {
	// SaveStreams replaces the records that the gateway has saved in a slot. The store deletes them some
	// minutes after the last call.
	SaveStreams(ctx context.Context, gateway string, slot int, data []byte) error
}

// Options configure a Saver.
type Options struct {
	// Gateway is the name of this process.
	Gateway string
	// Table holds the records of streams that may be running.
	Table *origin.Table
	Store Store
	// IsWriter reports whether this process is to save now.
	IsWriter func() bool
	// OnCall is called with the result of each call to the store.
	OnCall func(err error)
}

// Saver saves new records. Only its own goroutine uses its fields.
type Saver struct {
	*periodic.Task
	options Options
	// saved are the records that the store has.
	saved map[origin.Stream]savedRecord
	// slot is the current one, and inSlot what it holds.
	slot   int
	inSlot []origin.Record
}

// savedRecord is what the store has of a record since a time, and the slot that holds it.
type savedRecord struct {
	version origin.Version
	at      time.Time
	slot    int
}

// New returns a saver; Start starts it.
func New(options Options) *Saver {
	s := &Saver{options: options, saved: make(map[origin.Stream]savedRecord), slot: -1}
	s.Task = periodic.New(saveEvery, s.save)
	return s
}

// save saves the records that the store lacks. The next call makes up for a failed one.
func (s *Saver) save(ctx context.Context) {
	if s.options.Table.Len() == 0 {
		return
	}
	if !s.options.IsWriter() {
		clear(s.saved)
		return
	}
	now := clock.Now()
	s.saveIn(ctx, slotAt(now), now)
}

// saveIn saves the records that the store lacks into a slot.
func (s *Saver) saveIn(ctx context.Context, slot int, now time.Time) {
	running := s.options.Table.Records(now)
	s.forget(running)
	s.enterSlot(slot)
	missing := s.missing(running, now)
	if len(missing) == 0 {
		return
	}
	records := slices.Concat(s.inSlot, missing)
	err := s.write(ctx, records)
	s.options.OnCall(err)
	if err != nil {
		return
	}
	s.inSlot = records
	for _, record := range missing {
		s.saved[record.Stream] = savedRecord{record.Version, now, s.slot}
	}
}

// enterSlot makes a slot the current one. The next write replaces what it holds, which is old unless the time of
// day has jumped back.
func (s *Saver) enterSlot(slot int) {
	if slot == s.slot {
		return
	}
	s.slot, s.inSlot = slot, nil
	maps.DeleteFunc(s.saved, func(_ origin.Stream, record savedRecord) bool { return record.slot == slot })
}

// slotAt returns the slot of a time.
func slotAt(now time.Time) int {
	return int(now.UnixNano() / int64(slotTime) % slots)
}

// write writes the records of the current slot.
func (s *Saver) write(ctx context.Context, records []origin.Record) error {
	data, err := Encode(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return s.options.Store.SaveStreams(ctx, s.options.Gateway, s.slot, data)
}

// forget drops what is known of records that have expired.
func (s *Saver) forget(running []origin.Record) {
	kept := make(map[origin.Stream]bool, len(running))
	for _, record := range running {
		kept[record.Stream] = true
	}
	maps.DeleteFunc(s.saved, func(stream origin.Stream, _ savedRecord) bool { return !kept[stream] })
}

// missing returns the records that the store lacks, or has with another version. One that is uncertain is
// needed only to contradict that: a stream without a record is refused as well.
func (s *Saver) missing(running []origin.Record, now time.Time) []origin.Record {
	return slices.DeleteFunc(slices.Clone(running), func(record origin.Record) bool {
		known, saved := s.saved[record.Stream]
		if !saved {
			return record.Version == origin.Uncertain
		}
		return known.version == record.Version && now.Sub(known.at) < keptFor
	})
}
