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
	crashedOnce, crashedTwice, answered, held = quarantine.Fingerprint(1), quarantine.Fingerprint(2), quarantine.Fingerprint(3), quarantine.Fingerprint(4)
)

// memoryStore keeps the records saved last, or fails with err.
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

// fixture is a saver with its table and store.
type fixture struct {
	saver *Saver
	table *quarantine.Table
	store *memoryStore
	scope Scope
	calls []error
}

func newFixture() *fixture {
	w := &fixture{table: quarantine.New(), store: new(memoryStore)}
	w.saver = New(Options{
		Gateway: "gateway",
		Table:   w.table,
		Store:   w.store,
		Scope:   func() Scope { return w.scope },
		OnCall:  func(err error) { w.calls = append(w.calls, err) },
	})
	return w
}

// crash records the crash of a target's incarnation during a request.
func (w *fixture) crash(fingerprint quarantine.Fingerprint, incarnation quarantine.Incarnation) {
	w.table.Crashed(fingerprint, incarnation, time.Now())
}

// saved returns the number of crashes of each request in the store.
func (w *fixture) saved() map[quarantine.Fingerprint]int {
	ends := make(map[quarantine.Fingerprint]int)
	for _, record := range w.store.records {
		ends[record.Fingerprint] = len(record.Incarnations)
	}
	return ends
}

// A process saves what its scope asks for, and nothing while it reaches all others.
func TestSavedRecordsByScope(t *testing.T) {
	cases := map[string]struct {
		scope Scope
		want  map[quarantine.Fingerprint]int
	}{
		"another one saves":    {Nothing, map[quarantine.Fingerprint]int{}},
		"all reachable":        {OnlyHeld, map[quarantine.Fingerprint]int{held: 3}},
		"many reachable":       {OnlySuspicious, map[quarantine.Fingerprint]int{crashedTwice: 2, held: 3}},
		"only a few reachable": {All, map[quarantine.Fingerprint]int{crashedOnce: 1, crashedTwice: 2, held: 3}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture()
				w.crash(crashedOnce, 1)
				w.crash(crashedTwice, 1)
				w.crash(crashedTwice, 2)
				for target := range quarantine.Incarnation(quarantine.Limit) {
					w.crash(held, 1+target)
				}
				w.crash(answered, 1)
				w.table.Answered(answered, time.Now())
				w.scope = test.scope
				is.NoErr(w.saver.Start(t.Context()))
				time.Sleep(10 * saveEvery)
				is.NoErr(w.saver.Close())
				is.Equal(w.saved(), test.want)
				is.True(w.store.saves <= 1) // there was nothing new after the first save
				is.Equal(len(w.calls), w.store.saves)
			})
		})
	}
}

// A gateway that has read the crashes of a request must learn that the request was answered since.
func TestClearedRequestIsSaved(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scope = OnlySuspicious
	w.crash(crashedTwice, 1)
	w.crash(crashedTwice, 2)
	w.saver.save(t.Context())
	w.table.Answered(crashedTwice, time.Now())
	w.saver.save(t.Context())
	is.Equal(w.store.records, []quarantine.Record{{Fingerprint: crashedTwice, Epoch: 1}})
}

// A save that fails is made up for at the next check.
func TestFailedSaveIsRetried(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scope = All
	w.crash(crashedOnce, 1)
	w.store.err = errors.New("store unreachable")
	w.saver.save(t.Context())
	is.Equal(w.calls, []error{w.store.err})
	w.store.err = nil
	w.saver.save(t.Context())
	w.saver.save(t.Context())
	is.Equal(w.saved(), map[quarantine.Fingerprint]int{crashedOnce: 1})
	is.Equal(w.store.saves, 2)
}

// After a time without saving, everything is saved again, since the store may have deleted it.
func TestReenabledSaverSavesAgain(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.crash(crashedOnce, 1)
	for _, scope := range []Scope{All, Nothing, All} {
		w.scope = scope
		w.saver.save(t.Context())
	}
	is.Equal(w.store.saves, 2)
}

// Of more records than the maximum, those with the most crashes are saved.
func TestSavedRecordsAreLimited(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scope = All
	for fingerprint := range quarantine.Fingerprint(2 * maxRecords) {
		w.crash(fingerprint, 1)
	}
	w.crash(2*maxRecords-1, 2)
	w.saver.save(t.Context())
	is.Equal(len(w.store.records), maxRecords)
	is.Equal(w.saved()[2*maxRecords-1], 2)
}
