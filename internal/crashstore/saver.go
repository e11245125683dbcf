// Package crashstore saves in the platform's store what a gateway knows of requests during which
// targets crashed, for gateways that it can't reach. Gateways that are partitioned from each other
// may all reach the store and the targets. Without the store, each of them would allow as many
// crashes per request as all of them together may. What is held is saved in any case, since all
// gateways may be killed before the next checkpoint.
//
// Source: docs/design/quarantine.md.
package crashstore

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/periodic"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

const (
	// saveEvery is the interval of checks for something to save. A fatal request that is repeated
	// within it crashes one target more.
	saveEvery = 300 * time.Millisecond
	// saveTimeout limits one call to the store.
	saveTimeout = 800 * time.Millisecond
	// maxRecords limits what is saved, at 30 bytes per record. A gateway on its own has some
	// hundred requests in flight in a data centre that loses power.
	maxRecords = 512
)

// Store stores the records of gateways.
type Store interface {
	// SaveCrashes replaces the records that the gateway has saved. The store deletes them some
	// minutes after the last call.
	SaveCrashes(ctx context.Context, gateway string, data []byte) error
}

// Scope selects the records that a gateway saves.
type Scope int

const (
	// Nothing applies where the gateway reaches another one that saves.
	Nothing Scope = iota
	// OnlyHeld selects the requests and parts that are held, for gateways that all restart at once. It
	// applies where all gateways reach each other.
	OnlyHeld
	// OnlySuspicious selects what all gateways must know: requests with several crashes, and those
	// among them that were cleared since. Gateways that reach each other all have these records.
	OnlySuspicious
	// All selects every record. It applies where only a few gateways reach each other, each of
	// which has all of their records.
	All
)

// Options configure a Saver.
type Options struct {
	// Gateway is the name of this process.
	Gateway string
	Table   *quarantine.Table
	Store   Store
	// Scope returns what this process should save now.
	Scope func() Scope
	// OnCall is called with the result of each call to the store.
	OnCall func(err error)
}

// Saver saves new records while its scope asks for it. Only its own goroutine uses its fields.
type Saver struct {
	*periodic.Task
	options Options
	// checkedAt is the table's change counter when records were last selected.
	checkedAt uint64
	// saved is the data that the store holds since then, and savedFingerprints identify the
	// requests in it.
	saved             []byte
	savedFingerprints map[quarantine.Fingerprint]bool
}

// New returns a saver; Start starts it.
func New(options Options) *Saver {
	s := &Saver{options: options}
	s.Task = periodic.New(saveEvery, s.save)
	return s
}

// save saves new records according to the scope. A failed call is retried at the next check.
func (s *Saver) save(ctx context.Context) {
	if s.options.Table.Empty() {
		return
	}
	scope := s.options.Scope()
	if scope == Nothing {
		// The store may have deleted the records by the next time, so all of them are saved again
		// then.
		s.checkedAt, s.saved, s.savedFingerprints = 0, nil, nil
		return
	}
	changes := s.options.Table.Changes()
	if changes == s.checkedAt {
		return
	}
	records := s.recordsToSave(scope)
	data, err := quarantine.Encode(records)
	if err != nil {
		s.options.OnCall(err)
		return
	}
	if !bytes.Equal(data, s.saved) {
		callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		err = s.options.Store.SaveCrashes(callCtx, s.options.Gateway, data)
		s.options.OnCall(err)
	}
	if err == nil {
		s.checkedAt, s.saved, s.savedFingerprints = changes, data, fingerprintsOf(records)
	}
}

// recordsToSave returns the records to save. A request that was saved before remains among them,
// because it may have been cleared since.
func (s *Saver) recordsToSave(scope Scope) []quarantine.Record {
	records := slices.DeleteFunc(s.options.Table.Records(clock.Now()), func(record quarantine.Record) bool {
		return !scope.selects(record) && !s.savedFingerprints[record.Fingerprint]
	})
	return records[:min(len(records), maxRecords)]
}

// selects reports whether a record is to be saved.
func (s Scope) selects(record quarantine.Record) bool {
	switch s {
	case OnlyHeld:
		return record.AtLimit()
	case OnlySuspicious:
		return record.ConcernsAll()
	case All:
		return record.ConcernsAll() || len(record.Incarnations) > 0 || record.Suspected() > 0
	case Nothing:
	}
	return false
}

func fingerprintsOf(records []quarantine.Record) map[quarantine.Fingerprint]bool {
	fingerprints := make(map[quarantine.Fingerprint]bool, len(records))
	for _, record := range records {
		fingerprints[record.Fingerprint] = true
	}
	return fingerprints
}
