package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// envLateSeeds names the variable with the number of seeds to run.
	envLateSeeds = "CAPERSADDLE_SOAK_LATE_SEEDS"
	// maxLateShare is the largest share of writes that are late, soonestWrite and latestWrite are how late, and
	// lateFor is how long writes are late.
	maxLateShare = 0.35
	soonestWrite = time.Second
	latestWrite  = 6 * time.Second
	lateFor      = 4500 * time.Millisecond
	// afterLateWrites is the time from the last late write until all gateways are killed.
	afterLateWrites = 900 * time.Millisecond
	// lateStreamGap makes streams of 8.7 s, which last from late writes until after the loss.
	lateStreamGap = 300 * time.Millisecond
	latePerSecond = 20
	// saveInterval and saveLimit are the interval of the saves of records and the time limit of one, as in
	// internal/originstore.
	saveInterval = 300 * time.Millisecond
	saveLimit    = 800 * time.Millisecond
	// oldestUnsaved is the age from which a stream must go on after the loss of all gateways: its record is in the
	// store even if one save failed.
	oldestUnsaved   = 2 * (saveInterval + saveLimit)
	streamsRecordIn = "capersaddle/streams/"
)

// lateWrites draws which writes the store does late: some of all at random, or the first, second or later ones
// of each key's turn.
type lateWrites struct {
	rng *rand.Rand
	// share is the share of writes that are late, and turn the number from 0 of those in a key's turn that are;
	// negative for any.
	share float64
	turn  int
	// by is how late they are, max at most.
	by  func() time.Duration
	max time.Duration

	lastKey string
	inTurn  int
}

func drawLateWrites(rng *rand.Rand) *lateWrites {
	l := &lateWrites{rng: rng, share: maxLateShare * (0.5 + rng.Float64()/2), turn: rng.IntN(4) - 1, max: latestWrite}
	fixed := soonestWrite + time.Duration(rng.Int64N(int64(time.Second)))
	l.by = func() time.Duration { return soonestWrite + time.Duration(rng.Int64N(int64(latestWrite-soonestWrite))) }
	if l.turn >= 0 {
		l.by, l.max = func() time.Duration { return fixed }, fixed
	}
	return l
}

// late returns how late a write is.
func (l *lateWrites) late(key string) time.Duration {
	if l.turn < 0 {
		if l.rng.Float64() < l.share {
			return l.by()
		}
		return 0
	}
	if !strings.HasPrefix(key, streamsRecordIn) {
		return 0
	}
	l.inTurn++
	if key != l.lastKey {
		l.lastKey, l.inTurn = key, 0
	}
	if l.inTurn == l.turn {
		return l.by()
	}
	return 0
}

func (l *lateWrites) String() string {
	return fmt.Sprintf("share %.2f, turn %d", l.share, l.turn)
}

// TestStreamsAfterLateWrites guards against records of streams, saved for a loss of all gateways, that an older
// write replaces which the store does seconds after it was sent. Gateways are killed and restarted meanwhile,
// and in half of the seeds their settings name no running gateway.
func TestStreamsAfterLateWrites(t *testing.T) {
	binary := buildBinary(t)
	first := envNumber(t, envFirst, 1)
	for i := range envNumber(t, envLateSeeds, 3) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runLateWrites(t, binary, seed) })
	}
}

func runLateWrites(t *testing.T, binary string, seed uint64) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(seed, 2))
	gateways, kills, stale := 2+rng.IntN(4), rng.IntN(3), rng.IntN(2) == 0
	late := drawLateWrites(rand.New(rand.NewPCG(seed, 3)))
	s := &soak{t: t, binary: binary, seed: seed, grace: stopGrace, streamGap: lateStreamGap, staleSeeds: stale}
	s.startVersionedSystem(gateways, 2+rng.IntN(2))
	defer s.stopSystem()
	_, stop := s.startStreamCallers(time.Second / latePerSecond)
	time.Sleep(seriesWarmUp)
	s.platform.Store.SetFaults(emulator.StoreFaults{Late: late.late})
	ends := time.Now().Add(lateFor)
	for range kills {
		time.Sleep(time.Duration(rng.Int64N(int64(lateFor) / 4)))
		g := s.gateways[rng.IntN(len(s.gateways))]
		s.killGateways(g)
		time.Sleep(downTime)
		s.restart(g)
		s.awaitServing(g)
	}
	time.Sleep(time.Until(ends))
	s.platform.Store.SetFaults(emulator.StoreFaults{})
	time.Sleep(late.max + afterLateWrites)
	s.loseAll()
	time.Sleep(lossInterval)
	counts := stop()
	t.Logf("seed %d, %d gateways, %d killed, stale seeds %v, late: %s: %.3f of the resumed streams went on: %+v", seed, gateways, kills, stale, late, float64(counts.Continued)/float64(max(counts.Resumed, 1)), counts)
	is.True(counts.Resumed > 0)
	is.Equal(counts.Mixed, 0)
	is.Equal(counts.Disordered, 0)
	is.True(counts.OldestEnded < oldestUnsaved)
	is.True(float64(counts.Continued) >= minContinuedAfterLoss*float64(counts.Resumed))
}
