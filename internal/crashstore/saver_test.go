package crashstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

const (
	once, twice, other = quarantine.Fingerprint(1), quarantine.Fingerprint(2), quarantine.Fingerprint(3)
)

// memoryStore keeps what was saved last, or fails.
type memoryStore struct {
	records []quarantine.Record
	saves   int
	err     error
}

func (m *memoryStore) SaveCrashes(_ context.Context, _ string, data []byte) error {
	m.saves++
	if m.err != nil {
		return m.err
	}
	records, err := quarantine.Decode(data)
	m.records = records
	return err
}

// world is a saver with its table and store.
type world struct {
	saver *Saver
	table *quarantine.Table
	store *memoryStore
	turn  Scope
	calls []error
}

func newWorld() *world {
	w := &world{table: quarantine.New(), store: new(memoryStore)}
	w.saver = New(Options{
		Gateway: "gateway",
		Table:   w.table,
		Store:   w.store,
		Scope:   func() Scope { return w.turn },
		OnCall:  func(err error) { w.calls = append(w.calls, err) },
	})
	return w
}

// crash has a life of a target end under a request.
func (w *world) crash(print quarantine.Fingerprint, life quarantine.Life) {
	w.table.Crashed(print, life, time.Now())
}

// saved are the requests that the store has, with their ends.
func (w *world) saved() map[quarantine.Fingerprint]int {
	ends := make(map[quarantine.Fingerprint]int)
	for _, record := range w.store.records {
		ends[record.Print] = len(record.Lives)
	}
	return ends
}

// TestWhatIsSaved: a process saves what its turn asks for, and nothing while all are heard.
func TestWhatIsSaved(t *testing.T) {
	cases := map[string]struct {
		turn Scope
		want map[quarantine.Fingerprint]int
	}{
		"all are heard":              {Nothing, map[quarantine.Fingerprint]int{}},
		"many hear each other":       {OnlySuspicious, map[quarantine.Fingerprint]int{twice: 2}},
		"only a few hear each other": {All, map[quarantine.Fingerprint]int{once: 1, twice: 2}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld()
				w.crash(once, 1)
				w.crash(twice, 1)
				w.crash(twice, 2)
				w.crash(other, 1)
				w.table.Answered(other, time.Now())
				w.turn = test.turn
				is.NoErr(w.saver.Start(t.Context()))
				time.Sleep(10 * saveEvery)
				is.NoErr(w.saver.Close())
				is.Equal(w.saved(), test.want)
				is.True(w.store.saves <= 1) // nothing was new after the first
				is.Equal(len(w.calls), w.store.saves)
			})
		})
	}
}

// TestAClearIsSaved: who has read that ends are held against a request is to learn that it was
// answered.
func TestAClearIsSaved(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.turn = OnlySuspicious
	w.crash(twice, 1)
	w.crash(twice, 2)
	w.saver.save(t.Context())
	w.table.Answered(twice, time.Now())
	w.saver.save(t.Context())
	is.Equal(w.store.records, []quarantine.Record{{Print: twice, Epoch: 1}})
}

// TestAFailedSaveIsMadeUpFor by the next look.
func TestAFailedSaveIsMadeUpFor(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.turn = All
	w.crash(once, 1)
	w.store.err = errors.New("the store is away")
	w.saver.save(t.Context())
	is.Equal(w.calls, []error{w.store.err})
	w.store.err = nil
	w.saver.save(t.Context())
	w.saver.save(t.Context())
	is.Equal(w.saved(), map[quarantine.Fingerprint]int{once: 1})
	is.Equal(w.store.saves, 2)
}

// TestAnotherCutSavesAnew: the store may have dropped what was saved in the one before.
func TestAnotherCutSavesAnew(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.crash(once, 1)
	for _, turn := range []Scope{All, Nothing, All} {
		w.turn = turn
		w.saver.save(t.Context())
	}
	is.Equal(w.store.saves, 2)
}

// TestSavedIsBounded: those with the most ends stay.
func TestSavedIsBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.turn = All
	for print := range quarantine.Fingerprint(2 * mostRecords) {
		w.crash(print, 1)
	}
	w.crash(2*mostRecords-1, 2)
	w.saver.save(t.Context())
	is.Equal(len(w.store.records), mostRecords)
	is.Equal(w.saved()[2*mostRecords-1], 2)
}
