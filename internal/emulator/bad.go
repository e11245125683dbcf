package emulator

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"
)

// Bad describes how the servers of a bad version fail. Fields that are not set have no effect.
type Bad struct {
	// Share is the share of the requests that fail with Fails, or with Error if Fails is not
	// set.
	Share float64
	Fails Mode
	// Slower is the factor by which responses are slower than a good server's.
	Slower float64
	// Path is the path prefix of the requests that are affected.
	Path string
	// After is the time from the server's start, or from TurnBad, to the first fault.
	After time.Duration
	// Above limits the fault to requests that bring the number in flight, the request itself
	// included, above this value.
	Above int
	Seed  uint64
}

// flaw is the fault of one server; a nil flaw has no effect.
type flaw struct {
	Bad
	start time.Time
	rng   *rand.Rand
}

// newFlaw returns a flaw with random draws of its own for each server ID.
func newFlaw(bad *Bad, id string) *flaw {
	if bad == nil {
		return nil
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // hash.Hash never returns an error
	return &flaw{Bad: *bad, start: time.Now(), rng: rand.New(rand.NewPCG(bad.Seed, hash.Sum64()))}
}

// apply returns the mode of a request that brings the number in flight to inFlight, and the
// factor by which its response is slowed down.
func (f *flaw) apply(run Run, inFlight int) (Mode, float64) {
	if f == nil || inFlight <= f.Above || !strings.HasPrefix(run.URI, f.Path) || time.Since(f.start) < f.After {
		return Sound, 1
	}
	mode := Sound
	if f.rng.Float64() < f.Share {
		mode = f.Fails
		if mode == Sound {
			mode = Error
		}
	}
	return mode, max(f.Slower, 1)
}

// scaleDuration multiplies a duration by a factor.
func scaleDuration(base time.Duration, slower float64) time.Duration {
	return time.Duration(float64(base) * slower)
}
