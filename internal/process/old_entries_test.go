package process_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamsAtTargetsWithOldEntries guards against streams of two versions that began, or went on, at
// targets which had begun again at another version under their IDs before their entries showed it: a gateway
// without an open connection to such a target saw no sign of it.
func TestStreamsAtTargetsWithOldEntries(t *testing.T) {
	const (
		streams = 150
		// soleAfter is how long gateways must have known one version only to be certain that no other one has
		// begun streams.
		soleAfter = 16 * time.Second
	)
	twoVersions := []string{"v1", "v2"}
	cases := map[string]struct {
		gateways, cutEvery, loseEvery int
		// versions are those in the entries. The first target of each begins again at the other one.
		versions []string
		// knownFor is for how long gateways have known the targets when these begin again.
		knownFor time.Duration
		// entriesAfter is when the entries show the new incarnations; zero for not in this test.
		entriesAfter time.Duration
	}{
		"callers lose connections":                          {4, 0, 2, twoVersions, 0, 0},
		"targets break streams off":                         {4, 4, 0, twoVersions, 0, 0},
		"callers lose connections, entries come":            {4, 0, 2, twoVersions, 0, time.Second},
		"targets break streams off, one gateway":            {1, 4, 0, twoVersions, 0, 0},
		"both, many gateways":                               {11, 4, 2, twoVersions, 0, 0},
		"callers lose connections, one version known":       {4, 0, 2, []string{"v1"}, soleAfter, 0},
		"callers lose connections, one version known, many": {11, 0, 2, []string{"v1"}, soleAfter, 0},
		"targets break streams off, entries come meanwhile": {4, 4, 0, twoVersions, 0, time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := streamFleet(t, test.gateways, test.cutEvery, test.versions...)
			keepRunning(t, test.knownFor)
			var replaced []int
			for number := 0; number < len(f.engines); number += streamTargets {
				f.replaceEngineBeforeEntry(t, number, twoVersions[1-number/streamTargets])
				replaced = append(replaced, number)
			}
			callers, stop := f.startStreamCallers(test.loseEvery)
			if test.entriesAfter > 0 {
				keepRunning(t, test.entriesAfter)
				for _, number := range replaced {
					is.NoErr(f.platform.Enter("engine", "zone", "ready", f.engines[number]))
				}
			}
			eventually(t, "enough streams have begun", func() bool { return callers.Counts().Begun >= streams })
			counts := stop()
			t.Logf("%+v %+v", counts, callers.Mixed())
			is.Equal(counts.Mixed, 0)      // streams with events of two versions
			is.Equal(counts.Disordered, 0) // streams that miss an event or have one twice
			// What began at the other targets can go on.
			resumed, continued := callers.ResumedFrom(func(stamp string) bool { return !slices.ContainsFunc(replaced, f.stamped(stamp)) })
			t.Logf("%d of %d streams from targets that did not begin again", continued, resumed)
			is.True(10*continued >= 9*resumed)
		})
	}
}

// replaceEngineBeforeEntry is replaceEngine, but the engine's entry still describes the previous incarnation.
func (f *fleet) replaceEngineBeforeEntry(t *testing.T, number int, version string) {
	t.Helper()
	restarted, err := f.platform.RestartBeforeEntry(f.engines[number], version)
	if err != nil {
		t.Fatal(err)
	}
	f.engines[number] = restarted
}

// stamped returns whether an engine, by its number, made a stamp.
func (f *fleet) stamped(stamp string) func(number int) bool {
	return func(number int) bool { return strings.HasPrefix(stamp, f.engines[number].ID()+".") }
}
