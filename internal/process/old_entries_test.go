package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamsAtTargetsWithOldEntries guards against streams of two versions that began, or went on, at
// targets which had begun again at another version under their IDs before their entries showed it: a gateway
// without an open connection to such a target saw no sign of it.
func TestStreamsAtTargetsWithOldEntries(t *testing.T) {
	const streams = 150
	cases := map[string]struct {
		gateways, cutEvery, loseEvery int
		// entriesAfter is when the entries show the new incarnations; zero for not in this test.
		entriesAfter time.Duration
	}{
		"callers lose connections":                          {4, 0, 2, 0},
		"targets break streams off":                         {4, 4, 0, 0},
		"callers lose connections, entries come":            {4, 0, 2, time.Second},
		"targets break streams off, one gateway":            {1, 4, 0, 0},
		"both, many gateways":                               {11, 4, 2, 0},
		"targets break streams off, entries come meanwhile": {4, 4, 0, time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			versions := []string{"v1", "v2"}
			f := streamFleet(t, test.gateways, test.cutEvery, versions...)
			var replaced []int
			for number := 0; number < len(f.engines); number += streamTargets {
				f.replaceEngineBeforeEntry(t, number, versions[1-number/streamTargets])
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
			// Those that began at the other six targets, or later, can go on.
			is.True(2*counts.Continued >= counts.Resumed)
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
