// Package originstore saves in the platform's store which versions began the streams that may be running,
// for gateways that begin after all of them were lost at once. One gateway saves for all, and only while
// several versions may have begun streams: otherwise the records are not needed.
//
// Source: docs/design/stream-versions.md.
package originstore

import (
	"context"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// saveEvery is the time between two saves. A stream that began since the last one is lost with the
	// gateways.
	saveEvery = 300 * time.Millisecond
	// saveTimeout limits one call to the store.
	saveTimeout = 800 * time.Millisecond
	// maxRecords limits what is saved, at some nine bytes each.
	maxRecords = 1 << 15
)

// Store stores the records of gateways.
type Store interface {
	// SaveStreams replaces the records that the gateway has saved. The store deletes them some minutes
	// after the last call.
	SaveStreams(ctx context.Context, gateway string, data []byte) error
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
	options Options
	// saved are the records that the store has.
	saved  map[origin.Stream]origin.Version
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a saver; Start starts it.
func New(options Options) *Saver {
	return &Saver{options: options}
}

// Start starts saving.
func (s *Saver) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(func() {
		for wait.For(ctx, saveEvery) {
			s.save(ctx)
		}
	})
	return nil
}

// Close stops saving and waits for the end of a call in progress.
func (s *Saver) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.wait.Wait()
	return nil
}

// save saves the records if some are new. The next call makes up for a failed one.
func (s *Saver) save(ctx context.Context) {
	if s.options.Table.Len() == 0 {
		return
	}
	if !s.options.IsWriter() {
		s.saved = nil
		return
	}
	records := latest(s.options.Table.Records(clock.Now()), maxRecords)
	if !s.hasNew(records) {
		return
	}
	data, err := Encode(records)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		err = s.options.Store.SaveStreams(callCtx, s.options.Gateway, data)
	}
	s.options.OnCall(err)
	if err != nil {
		s.saved = nil
		return
	}
	s.saved = make(map[origin.Stream]origin.Version, len(records))
	for _, record := range records {
		s.saved[record.Stream] = record.Version
	}
}

// hasNew reports whether the store lacks a record, or has another version of one.
func (s *Saver) hasNew(records []origin.Record) bool {
	for _, record := range records {
		if version, ok := s.saved[record.Stream]; !ok || version != record.Version {
			return true
		}
	}
	return false
}
