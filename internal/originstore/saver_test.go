package originstore

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// memoryStore keeps the records saved last in each slot, or fails with err.
type memoryStore struct {
	records map[int][]origin.Record
	saves   int
	err     error
}

func (m *memoryStore) SaveStreams(_ context.Context, _ string, slot int, data []byte) error {
	m.saves++
	if m.err != nil {
		return m.err
	}
	records, err := Decode(data)
	m.records[slot] = records
	return err
}

// fixture is a saver with its table and store.
type fixture struct {
	saver    *Saver
	table    *origin.Table
	store    *memoryStore
	isWriter bool
}

func newFixture() *fixture {
	w := &fixture{table: origin.NewTable(), store: &memoryStore{records: make(map[int][]origin.Record)}, isWriter: true}
	w.saver = New(Options{Gateway: "g", Table: w.table, Store: w.store, IsWriter: func() bool { return w.isWriter }, OnCall: func(error) {}})
	return w
}

// begin adds the record of a stream that may run for so long.
func (w *fixture) begin(stream origin.Stream, version origin.Version, runs time.Duration) {
	now := time.Now()
	w.table.Put(origin.Record{Stream: stream, Version: version, Expires: now.Add(runs)}, now)
}

// restored returns the versions of the streams as a process that starts reads them.
func (w *fixture) restored() map[origin.Stream]origin.Version {
	table, now := origin.NewTable(), time.Now()
	for _, records := range w.store.records {
		for _, record := range records {
			record.Expires = now.Add(time.Minute)
			table.Put(record, now)
		}
	}
	versions := make(map[origin.Stream]origin.Version)
	for _, record := range table.Records(now) {
		versions[record.Stream] = record.Version
	}
	return versions
}

// TestRecordsAreSaved guards against streams that are lost with all gateways, and against calls to the
// store that change nothing.
func TestRecordsAreSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture()
		is.NoErr(w.saver.Start(t.Context()))
		step := func() {
			time.Sleep(saveEvery)
			synctest.Wait()
		}
		step()
		is.Equal(w.store.saves, 0) // there is nothing to save
		w.begin(1, 7, time.Minute)
		w.begin(2, 8, 3*saveEvery/2)
		w.begin(3, origin.Uncertain, time.Minute)
		step()
		is.Equal(w.restored(), map[origin.Stream]origin.Version{1: 7, 2: 8})
		step()
		step()
		is.Equal(w.store.saves, 1) // a record that has expired is no reason for a call
		w.begin(4, 7, time.Minute)
		step()
		w.begin(1, 8, time.Minute) // it turns out to be uncertain
		w.begin(5, 8, time.Minute)
		step()
		is.Equal(w.restored(), map[origin.Stream]origin.Version{1: origin.Uncertain, 2: 8, 4: 7, 5: 8})
		is.NoErr(w.saver.Close())
	})
}

// TestSteadyStreams guards against records that are overwritten while their streams are running, and
// against writing them again and again.
func TestSteadyStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture()
		is.NoErr(w.saver.Start(t.Context()))
		const perStep, runs = 30, 25 * time.Second // longer than the slots last
		written, began := 0, origin.Stream(0)
		for range int(time.Minute / saveEvery) {
			for range perStep {
				began++
				w.begin(began, origin.Version(1+began%3), runs)
			}
			time.Sleep(saveEvery)
			synctest.Wait()
			written += len(w.store.records[w.saver.slot])
		}
		is.NoErr(w.saver.Close())
		is.True(written <= 5*int(began)) // each record is written a few times only
		versions := w.restored()
		for _, record := range w.table.Records(time.Now()) {
			is.Equal(versions[record.Stream], record.Version)
		}
	})
}

// TestFailedSaveIsMadeUpFor guards against records that are taken for saved although the store was away,
// or although another gateway has saved meanwhile.
func TestFailedSaveIsMadeUpFor(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.begin(1, 7, time.Minute)
	w.store.err = errors.New("store unreachable")
	w.saver.save(t.Context())
	w.store.err = nil
	w.saver.save(t.Context())
	is.Equal(w.restored(), map[origin.Stream]origin.Version{1: 7})
	w.isWriter = false
	w.begin(2, 7, time.Minute)
	w.saver.save(t.Context())
	is.Equal(w.restored(), map[origin.Stream]origin.Version{1: 7})
	w.isWriter = true
	w.saver.save(t.Context())
	is.Equal(w.restored(), map[origin.Stream]origin.Version{1: 7, 2: 7})
}

// TestEncode checks that a record keeps its version, whatever the others are.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var records []origin.Record
		for range rapid.IntRange(0, 50).Draw(t, "records") {
			records = append(records, origin.Record{
				Stream:  origin.Stream(rapid.Uint64().Draw(t, "stream")),
				Version: origin.Version(rapid.Uint32Range(0, 5).Draw(t, "version")),
			})
		}
		data, err := Encode(records)
		is.NoErr(err)
		decoded, err := Decode(data)
		is.NoErr(err)
		is.True(slices.Equal(decoded, records))
	})
}

// FuzzDecode checks that no value of another writer ends the process or names a version that it lacks.
func FuzzDecode(f *testing.F) {
	data, err := Encode([]origin.Record{{Stream: 1, Version: 2}, {Stream: 3, Version: 4}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x0a\x08aaaaaaaa\x12\x01\x05"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
	})
}

// TestTimeOfDayJumpsBack guards against records that are replaced seconds after they were saved, because the time
// of day names a slot again.
func TestTimeOfDayJumpsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture()
		now := time.Now()
		w.begin(1, 7, time.Minute)
		w.saver.saveIn(t.Context(), 5, now)
		w.begin(2, 8, time.Minute)
		w.saver.saveIn(t.Context(), 6, now.Add(time.Second))
		w.begin(3, 9, time.Minute)
		w.saver.saveIn(t.Context(), 5, now.Add(2*time.Second)) // instead of slot 7
		is.Equal(w.restored(), map[origin.Stream]origin.Version{1: 7, 2: 8, 3: 9})
	})
}
