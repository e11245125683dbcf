// Package crashstore keeps in the platform's store what a gateway knows of requests under
// which targets ended, for gateways that do not hear it. Gateways that are cut off from each
// other may all reach the store and the targets; each would let as many targets end as
// all of them together may.
//
// Source: docs/design/quarantine.md.
package crashstore

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// saveEvery is the time between two looks at whether there is something to save: a fatal
	// request that comes again within it ends one target more.
	saveEvery = 300 * time.Millisecond
	// saveTimeout bounds one call to the store.
	saveTimeout = 800 * time.Millisecond
	// mostRecords bounds what is saved, at 30 bytes each: a gateway alone has some hundred requests
	// under way in a data centre that loses power.
	mostRecords = 512
)

// Store keeps what a gateway saves.
type Store interface {
	// SaveCrashes replaces what the gateway has saved. The store drops it some minutes
	// after the last time.
	SaveCrashes(ctx context.Context, gateway string, data []byte) error
}

// Turn is what a gateway is to save.
type Scope int

const (
	// Nothing where it hears all others, or hears another one that saves.
	Nothing Scope = iota
	// Spread is what all gateways are to know: requests with several ends, and those that were
	// cleared. The gateways that hear each other know of all of them.
	OnlySuspicious
	// All is every record: where only a few gateways hear each other, each has them.
	All
)

// Options are what the saver works with.
type Options struct {
	// Gateway names this process.
	Gateway string
	Table   *quarantine.Table
	Store   Store
	// Turn says what this process is to save now.
	Scope func() Scope
	// Called is notified of each call to the store.
	OnCall func(err error)
}

// Saver saves what is new while it is this process's turn. Another goroutine than its own
// uses nothing of it.
type Saver struct {
	options Options
	// looked is the table's count of changes when what was to be saved was.
	looked uint64
	// saved is what the store has since, and prints are the requests in it.
	saved  []byte
	prints map[quarantine.Fingerprint]bool
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a saver that Start begins.
func New(options Options) *Saver {
	return &Saver{options: options}
}

// Start begins to save.
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

// Close ends the saving and waits.
func (s *Saver) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.wait.Wait()
	return nil
}

// save saves what is new, if it is this process's turn. A failed call is made up for by the
// next look.
func (s *Saver) save(ctx context.Context) {
	if s.options.Table.Empty() {
		return
	}
	turn := s.options.Scope()
	if turn == Nothing {
		// With the next turn all is saved again: the store may have dropped it by then.
		s.looked, s.saved, s.prints = 0, nil, nil
		return
	}
	changes := s.options.Table.Changes()
	if changes == s.looked {
		return
	}
	records := s.choose(turn)
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
		s.looked, s.saved, s.prints = changes, data, printsOf(records)
	}
}

// choose gives the records that are to be saved. One that was saved stays among them: it may
// have been cleared since.
func (s *Saver) choose(turn Scope) []quarantine.Record {
	records := slices.DeleteFunc(s.options.Table.Records(clock.Now()), func(record quarantine.Record) bool {
		wanted := record.Suspicious() || turn == All && len(record.Lives) > 0
		return !wanted && !s.prints[record.Print]
	})
	return records[:min(len(records), mostRecords)]
}

func printsOf(records []quarantine.Record) map[quarantine.Fingerprint]bool {
	prints := make(map[quarantine.Fingerprint]bool, len(records))
	for _, record := range records {
		prints[record.Print] = true
	}
	return prints
}
