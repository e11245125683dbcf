package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/external/fakestore"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/rapidseed"
	"github.com/capersaddle/capersaddle/internal/wire"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func workspace(share int) json.RawMessage {
	data, _ := json.Marshal(Workspace{Share: share})
	return data
}

// Processes pull from each other in any order, with deltas that arrive late or twice. Their
// revisions never decrease, and all hold the same documents once all have pulled.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := []*State{NewState(), NewState(), NewState()}
		var delayed []*wire.Delta
		highest := make([]uint64, len(states))
		checkNotDecreased := func(i int) {
			if current := states[i].Revision(); current < highest[i] {
				rt.Fatalf("process %d went from revision %d to %d", i, highest[i], current)
			}
			highest[i] = states[i].Revision()
		}
		revision := uint64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(rt *rapid.T) {
				name := fmt.Sprintf("workspace/w%d", rapid.IntRange(0, 5).Draw(rt, "name"))
				document := &wire.Document{Name: name, Revision: revision + 1}
				if rapid.Bool().Draw(rt, "set") {
					document.Value = workspace(int(revision))
				}
				if states[0].Revision() != revision {
					rt.Skip("the first process does not hold the latest revision")
				}
				revision++
				_, err := states[0].Apply(&wire.Delta{From: revision - 1, To: revision, Documents: []*wire.Document{document}})
				if err != nil {
					rt.Fatal(err)
				}
				checkNotDecreased(0)
			},
			"pull": func(rt *rapid.T) {
				from := rapid.IntRange(0, 2).Draw(rt, "from")
				to := rapid.IntRange(0, 2).Draw(rt, "to")
				delta := states[from].DeltaSince(states[to].Revision())
				if rapid.Bool().Draw(rt, "late") {
					delayed = append(delayed, delta)
					return
				}
				_, _ = states[to].Apply(delta)
				checkNotDecreased(to)
			},
			"late": func(rt *rapid.T) {
				if len(delayed) == 0 {
					rt.Skip("no delta is delayed")
				}
				to := rapid.IntRange(0, 2).Draw(rt, "to")
				_, _ = states[to].Apply(delayed[rapid.IntRange(0, len(delayed)-1).Draw(rt, "which")])
				checkNotDecreased(to)
			},
		})
		for i := range states {
			_, err := states[i].Apply(states[0].DeltaSince(states[i].Revision()))
			if err != nil {
				rt.Fatal(err)
			}
			if states[i].Revision() < revision {
				continue
			}
			if got, want := fmt.Sprint(states[i].Documents()), fmt.Sprint(states[0].Documents()); got != want {
				rt.Fatalf("process %d holds %s, the first one %s", i, got, want)
			}
		}
	})
}

// faultyStore loses the answers of writes for which lose returns true.
type faultyStore struct {
	*fakestore.Store
	lose func() bool
}

func (s *faultyStore) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	version, err := s.Store.Put(ctx, key, data, base)
	if err == nil && s.lose() {
		return 0, fakestore.ErrLost
	}
	return version, err
}

// Whichever answers are lost, an accepted command took effect exactly once, a refused one not at
// all, and sending an unsettled one again settles it.
func TestCommandsWithLostStoreAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runInBubble(func() {
			store := &faultyStore{Store: fakestore.New(), lose: func() bool { return rapid.IntRange(0, 2).Draw(rt, "lose") == 0 }}
			editor := NewEditor(store, NewState())
			accepted := 0
			for i := range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				command := Command{ID: fmt.Sprint(i), Changes: []Change{{Name: fmt.Sprintf("workspace/w%d", i), Value: workspace(1)}}}
				result, err := editor.Do(ctx, command)
				cancel()
				if fault.KindOf(err) == fault.Unsettled && err != nil {
					store.lose = func() bool { return false }
					result, err = editor.Do(context.Background(), command)
				}
				if err != nil && fault.From(err).State != fault.NotRun {
					rt.Fatalf("command %d: %v", i, err)
				}
				if err == nil {
					accepted++
					if result.Revision != uint64(accepted) {
						rt.Fatalf("command %d got revision %d after %d accepted commands", i, result.Revision, accepted)
					}
				}
			}
			manifest, err := editor.repository.manifest(context.Background())
			if err != nil || int(manifest.Revision) != accepted {
				rt.Fatalf("the store is at revision %d after %d accepted commands: %v", manifest.Revision, accepted, err)
			}
		})
	})
}

func runInBubble(work func()) {
	synctest.Test(new(testing.T), func(*testing.T) { work() })
}

// Operators that change many documents at the same time are all accepted or refused, and each
// accepted change is stored.
func TestConcurrentOperators(t *testing.T) {
	is := is.New(t)
	store := fakestore.New()
	const operators = 12
	var wait sync.WaitGroup
	results := make([]error, operators)
	for i := range operators {
		wait.Go(func() {
			editor := NewEditor(store, NewState())
			for range 20 {
				_, results[i] = editor.Do(t.Context(), Command{ID: fmt.Sprint(i), Changes: []Change{{Name: fmt.Sprintf("workspace/w%d", i), Value: workspace(1)}}})
				if results[i] == nil {
					return
				}
			}
		})
	}
	wait.Wait()
	state := NewState()
	follower := NewFollower(state, store, nil, nil)
	manifest, err := follower.repository.manifest(t.Context())
	is.NoErr(err)
	delta, err := follower.repository.load(t.Context(), &manifest, state, nil)
	is.NoErr(err)
	_, err = state.Apply(delta)
	is.NoErr(err)
	for i, err := range results {
		is.NoErr(err)
		_, ok := state.View().Workspaces[fmt.Sprintf("w%d", i)]
		is.True(ok)
	}
	is.Equal(state.Revision(), uint64(operators))
}

func TestInvalidCommandsAreRefused(t *testing.T) {
	tests := map[string]struct {
		command Command
		kind    fault.Kind
	}{
		"no id":          {Command{Changes: []Change{{Name: "model/m", Value: json.RawMessage(`{}`)}}}, fault.BadRequest},
		"no change":      {Command{ID: "a"}, fault.BadRequest},
		"unknown kind":   {Command{ID: "a", Changes: []Change{{Name: "meter/m", Value: json.RawMessage(`{}`)}}}, fault.BadRequest},
		"unknown field":  {Command{ID: "a", Changes: []Change{{Name: "model/m", Value: json.RawMessage(`{"color":1}`)}}}, fault.BadRequest},
		"short key hash": {Command{ID: "a", Changes: []Change{{Name: "workspace/w", Value: json.RawMessage(`{"key_hashes":["abc"]}`)}}}, fault.BadRequest},
		"wrong revision": {Command{ID: "a", IfRevision: 9, Changes: []Change{{Name: "model/m", Value: json.RawMessage(`{}`)}}}, fault.Conflict},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := fakestore.New()
			_, err := NewEditor(store, NewState()).Do(t.Context(), tt.command)
			is.Equal(fault.KindOf(err), tt.kind)
			is.Equal(fault.From(err).State, fault.NotRun)
			_, err = store.Get(t.Context(), ManifestKey)
			is.True(err != nil) // nothing was written
		})
	}
}

// A command with the ID of another command is refused rather than taken for a repeat.
func TestReusedCommandIDIsRefused(t *testing.T) {
	is := is.New(t)
	editor := NewEditor(fakestore.New(), NewState())
	first := Command{ID: "a", Changes: []Change{{Name: "model/m", Value: json.RawMessage(`{}`)}}}
	_, err := editor.Do(t.Context(), first)
	is.NoErr(err)
	repeat, err := editor.Do(t.Context(), first)
	is.NoErr(err)
	is.True(repeat.Repeat)
	_, err = editor.Do(t.Context(), Command{ID: "a", Changes: []Change{{Name: "model/n", Value: json.RawMessage(`{}`)}}})
	is.Equal(fault.KindOf(err), fault.Conflict)
}

// A dry run changes nothing and reports whether the command would be accepted.
func TestDryRun(t *testing.T) {
	is := is.New(t)
	store := fakestore.New()
	result, err := NewEditor(store, NewState()).Do(t.Context(), Command{ID: "a", DryRun: true, Changes: []Change{{Name: "model/m", Value: json.RawMessage(`{}`)}}})
	is.NoErr(err)
	is.True(result.DryRun)
	is.Equal(store.Counts().Writes, 0)
}

func FuzzDocument(f *testing.F) {
	f.Add("workspace/w", []byte(`{"share":2}`))
	f.Add("service/s", []byte(`{"slots":64,"not_repeatable":["/"]}`))
	f.Add("x", []byte(`null`))
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		if CheckDocument(name, value) != nil {
			return
		}
		state := NewState()
		if _, err := state.Apply(&wire.Delta{To: 1, Whole: true, Documents: []*wire.Document{{Name: name, Value: value, Revision: 1}}}); err != nil && !errors.Is(err, ErrGap) {
			t.Fatal(err)
		}
	})
}

// stateWithWorkspaces returns a state with n workspaces.
func stateWithWorkspaces(n int) (*State, *wire.Delta) {
	delta := &wire.Delta{To: 1, Whole: true}
	for i := range n {
		value, _ := json.Marshal(Workspace{KeyHashes: []string{HashKey(fmt.Sprint(i)), HashKey(fmt.Sprint("b", i))}, Share: 1 + i%5})
		delta.Documents = append(delta.Documents, &wire.Document{Name: fmt.Sprintf("workspace/customer-%05d", i), Value: value, Revision: 1})
	}
	state := NewState()
	_, _ = state.Apply(delta)
	return state, delta
}

var configSizes = []int{10, 2500, 5000}

// BenchmarkApply measures applying one change.
func BenchmarkApply(b *testing.B) {
	for _, n := range configSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			state, _ := stateWithWorkspaces(n)
			revision := uint64(1)
			for b.Loop() {
				revision++
				_, _ = state.Apply(&wire.Delta{From: revision - 1, To: revision, Documents: []*wire.Document{{Name: "workspace/customer-00001", Value: workspace(int(revision % 7)), Revision: revision}}})
			}
		})
	}
}

// BenchmarkSince measures the answer to a peer's pull of one change.
func BenchmarkSince(b *testing.B) {
	for _, n := range configSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			state, whole := stateWithWorkspaces(n)
			_, _ = state.Apply(&wire.Delta{From: 1, To: 2, Documents: []*wire.Document{{Name: "workspace/customer-00001", Value: workspace(3), Revision: 2}}})
			bytes := 0
			for b.Loop() {
				bytes = proto.Size(state.DeltaSince(1))
			}
			b.ReportMetric(float64(bytes), "delta-bytes")
			b.ReportMetric(float64(proto.Size(whole)), "whole-bytes")
		})
	}
}

// BenchmarkByKey measures the lookup of a caller's workspace.
func BenchmarkByKey(b *testing.B) {
	for _, n := range configSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			state, _ := stateWithWorkspaces(n)
			for b.Loop() {
				state.View().WorkspaceByKey("3")
			}
		})
	}
}

// BenchmarkStateMemory measures the memory of a configuration.
func BenchmarkStateMemory(b *testing.B) {
	for _, n := range configSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				state, _ := stateWithWorkspaces(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(state)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}

// BenchmarkChangeCalls measures the store calls for one accepted change.
func BenchmarkChangeCalls(b *testing.B) {
	store := fakestore.New()
	editor := NewEditor(store, NewState())
	i := 0
	for b.Loop() {
		i++
		if _, err := editor.Do(b.Context(), Command{ID: fmt.Sprint(i), Changes: []Change{{Name: "workspace/w", Value: workspace(i % 9)}}}); err != nil {
			b.Fatal(err)
		}
	}
	counts := store.Counts()
	b.ReportMetric(float64(counts.Reads)/float64(i), "reads/change")
	b.ReportMetric(float64(counts.Writes)/float64(i), "writes/change")
}
