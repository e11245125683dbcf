package config

import (
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/external/fakestore"
)

// TestRemovalReachesProcessesBehind guards against a removed document, such as a workspace with its keys, that
// stays in force for good at a process which lagged: it got the revision after the removal from a process that
// had never known the document, so that no removal came with it.
func TestRemovalReachesProcessesBehind(t *testing.T) {
	cases := map[string]struct {
		// asked are the revisions at which the process that is asked reads the store, and behind the one
		// at which the other process last did. The document is added at 2 and removed at 3.
		asked  []uint64
		behind uint64
		// others is the number of commands between the removal and the last one.
		others uint64
		// fromPeer reports whether the process that is asked then gets what it lacks from one that has just
		// begun.
		fromPeer bool
		// whole reports whether the answer is the whole configuration.
		whole bool
	}{
		"each revision was read":              {asked: []uint64{1, 2, 3, 4}, behind: 2},
		"began with the first":                {asked: []uint64{1, 2, 3}, behind: 2},
		"began after the removal":             {asked: []uint64{4}, behind: 2},
		"began at the removal":                {asked: []uint64{3}, behind: 2},
		"both were passed over":               {asked: []uint64{1, 4}, behind: 2},
		"both were passed over at once":       {asked: []uint64{1, 3}, behind: 2},
		"the other is behind the addition":    {asked: []uint64{1, 4}, behind: 1},
		"the other is at the removal":         {asked: []uint64{3, 4}, behind: 3},
		"the removal was passed over":         {asked: []uint64{2, 4}, behind: 2},
		"began after many commands":           {asked: []uint64{4 + maxCommands}, behind: 2, others: maxCommands, whole: true},
		"many commands were passed over":      {asked: []uint64{1, 4 + maxCommands}, behind: 2, others: maxCommands, whole: true},
		"began with the content of a peer":    {behind: 2, fromPeer: true, whole: true},
		"whole content of a peer, was behind": {asked: []uint64{1}, behind: 2, others: maxCommands, fromPeer: true, whole: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			commands := [][]Change{
				{{Name: "workspace/kept", Value: workspace(1)}},
				{{Name: "workspace/removed", Value: workspace(1)}},
				{{Name: "workspace/removed"}},
			}
			for number := range tc.others {
				change := Change{Name: fmt.Sprintf("workspace/other-%d", number/2)}
				if number%2 == 0 {
					change.Value = workspace(1)
				}
				commands = append(commands, []Change{change})
			}
			commands = append(commands, []Change{{Name: "workspace/later", Value: workspace(1)}})
			store := fakestore.New()
			editor := NewEditor(store, NewState())
			asked, behind, peer := NewState(), NewState(), NewState()
			followers := make(map[*State]*Follower)
			for _, state := range []*State{asked, behind, peer} {
				followers[state] = NewFollower(state, store, nil, log.New(io.Discard))
			}
			for i, changes := range commands {
				_, err := editor.Do(t.Context(), Command{ID: fmt.Sprint(i), Changes: changes})
				is.NoErr(err)
				revision := uint64(i + 1)
				if slices.Contains(tc.asked, revision) {
					is.NoErr(followers[asked].Fetch(t.Context()))
				}
				if revision <= tc.behind {
					is.NoErr(followers[behind].Fetch(t.Context()))
				}
			}
			if tc.fromPeer {
				is.NoErr(followers[peer].Fetch(t.Context()))
				_, err := asked.Apply(peer.DeltaSince(asked.Revision()))
				is.NoErr(err)
			}
			is.Equal(behind.Revision(), tc.behind)
			delta := asked.DeltaSince(behind.Revision())
			is.Equal(delta.GetWhole(), tc.whole)
			_, err := behind.Apply(delta)
			is.NoErr(err)
			is.Equal(behind.Revision(), asked.Revision())
			is.Equal(fmt.Sprint(behind.Documents()), fmt.Sprint(asked.Documents()))
		})
	}
}
