package once

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) Pick(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(c.t, label)
}

type seededChooser struct{ source *rand.Rand }

func (c seededChooser) Pick(n int, _ string) int {
	return c.source.IntN(n)
}

func newSeeded(seed uint64) seededChooser {
	return seededChooser{source: rand.New(rand.NewPCG(seed, seed))}
}

const modelSteps = 250

// No key runs twice, and no key runs that was reported as not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, broken := runModel(rapidChooser{rt}, noMutation, modelSteps)
		if broken != "" {
			rt.Fatalf("%s\n%s", broken, strings.Join(w.trace, "\n"))
		}
	})
}

// Runs many more models than rapid can draw in the same time.
func TestAtMostOnceManySeeds(t *testing.T) {
	models := 4000
	if testing.Short() {
		models = 400
	}
	ran, settled := 0, 0
	for seed := range models {
		w, broken := runModel(newSeeded(uint64(seed)), noMutation, modelSteps)
		if broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, broken, strings.Join(w.trace, "\n"))
		}
		ran += len(w.runCounts)
		settled += len(w.notRun)
	}
	is := is.New(t)
	is.True(ran > models)       // the models must run keys
	is.True(settled > models/8) // and settle some as not run
	t.Logf("%d models, %d keys ran, %d settled as not run", models, ran, settled)
}

// Each check is disabled in turn; some model must then break a guarantee.
func TestEachCheckIsNeeded(t *testing.T) {
	tests := map[string]mutation{
		"promise":      skipPromise,
		"fence":        skipFence,
		"ahead":        skipAhead,
		"back":         skipBack,
		"tombstone":    skipTombstone,
		"import check": skipImportCheck,
		"freeze":       skipFreeze,
		"incarnation":  skipIncarnation,
		"long lease":   skipLongLease,
	}
	const maxModels = 6000
	for name, disabled := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxModels) {
				if _, broken := runModel(newSeeded(seed), disabled, modelSteps); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Fatalf("none of %d models fails without this check", maxModels)
		})
	}
}
