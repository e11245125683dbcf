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

// memoryStore keeps the records saved last, or fails with err.
type memoryStore struct {
	records []origin.Record
	saves   int
	err     error
}

func (m *memoryStore) SaveStreams(_ context.Context, _ string, data []byte) error {
	m.saves++
	if m.err != nil {
		return m.err
	}
	records, err := Decode(data)
	m.records = records
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
	w := &fixture{table: origin.NewTable(), store: new(memoryStore), isWriter: true}
	w.saver = New(Options{Gateway: "g", Table: w.table, Store: w.store, IsWriter: func() bool { return w.isWriter }, OnCall: func(error) {}})
	return w
}

// begin adds the record of a stream that may run for so long.
func (w *fixture) begin(stream origin.Stream, version origin.Version, runs time.Duration) {
	now := time.Now()
	w.table.Put(origin.Record{Stream: stream, Version: version, Expires: now.Add(runs)}, now)
}

// streams returns the streams in the store.
func (w *fixture) streams() []origin.Stream {
	var streams []origin.Stream
	for _, record := range w.store.records {
		streams = append(streams, record.Stream)
	}
	slices.Sort(streams)
	return streams
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
		is.Equal(w.streams(), []origin.Stream{1, 2})
		step()
		step()
		is.Equal(w.store.saves, 1) // a record that has expired is no reason for a call
		w.begin(4, 7, time.Minute)
		step()
		is.Equal(w.streams(), []origin.Stream{1, 4})
		w.begin(1, 8, time.Minute) // it turns out to be uncertain
		w.begin(5, 8, time.Minute)
		step()
		is.Equal(w.streams(), []origin.Stream{4, 5})
		is.NoErr(w.saver.Close())
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
	is.Equal(w.streams(), []origin.Stream{1})
	w.isWriter = false
	w.begin(2, 7, time.Minute)
	w.saver.save(t.Context())
	is.Equal(w.streams(), []origin.Stream{1})
	w.isWriter = true
	w.saver.save(t.Context())
	is.Equal(w.streams(), []origin.Stream{1, 2})
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
