// Package clock is the one clock for whatever others rely on: ages, leases, grants, proofs,
// deadlines. Go's own steady clock stands still while the host is suspended, so that each
// age would be too young by that time. This one goes on, and no step of the time of day
// moves it.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// shortest is the shortest suspension that is noticed. What is shorter moves no bound that
	// others rely on.
	shortest = 50 * time.Millisecond
	// mostReadings is how often the clocks are read to find the difference between them, and
	// sharp is the uncertainty that is good enough: a process that loses its processor between
	// two clocks can't tell what it was away from a suspension.
	mostReadings = 4
	sharp        = 20 * time.Microsecond
)

var (
	// suspended is how long the host was suspended since the process began, as it was read
	// last, in nanoseconds. It never shrinks.
	suspended atomic.Int64
	// simulated is added to what the host says, in nanoseconds.
	simulated atomic.Int64
	// atBegin is by how much the clock that counts suspensions was ahead at the begin.
	atBegin = compare(read)
)

// Now is the time by what is known of suspensions: cheap, and right as long as Check was
// called since the last one. The times of this package and of time.Now are never mixed.
func Now() time.Time {
	return time.Now().Add(time.Duration(suspended.Load()))
}

// Check looks whether the host was suspended, and gives the time. What must not happen too
// late, as the sending of a request, goes by it. It costs three system calls, 0.64
// microseconds together (BenchmarkCheck).
func Check() time.Time {
	least, most := compare(read).since(atBegin)
	known := Suspended()
	if least-known >= shortest {
		suspended.Add(int64(most - known))
	}
	return Now()
}

// Since is the time from a moment until now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until is the time from now until a moment.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Suspended is how long the host was suspended since the process began, as far as was
// checked.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// Boot is the time since the host started, suspensions included.
func Boot() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Simulate has the clock go on as if the host had been suspended for a while, until back is
// called. It is for tests, which hand times in that know of no suspension.
func Simulate(away time.Duration) (back func()) {
	before := suspended.Load()
	simulated.Add(int64(away))
	return func() {
		simulated.Add(-int64(away))
		suspended.Store(before)
	}
}

// ahead bounds by how much the clock that counts suspensions is ahead of the one that does
// not: they are read one after the other, and time passes between them.
type ahead struct {
	// most is at least least.
	least, most time.Duration
}

// compare reads the clocks until it knows the difference between them sharply, or has tried
// often enough.
func compare(read func(which int32) time.Duration) ahead {
	best := compareOnce(read)
	for range mostReadings - 1 {
		if best.uncertainty() <= sharp {
			break
		}
		if next := compareOnce(read); next.uncertainty() < best.uncertainty() {
			best = next
		}
	}
	return best
}

// compareOnce reads the steady clock before and after the other one.
func compareOnce(read func(which int32) time.Duration) ahead {
	before := read(unix.CLOCK_MONOTONIC)
	counting := read(unix.CLOCK_BOOTTIME)
	after := read(unix.CLOCK_MONOTONIC)
	return ahead{least: counting - after, most: counting - before}
}

func (a ahead) uncertainty() time.Duration { return a.most - a.least }

// since bounds how long the host was suspended between an earlier comparison and this one.
// Who adds the most makes no age too young, and adds an uncertainty at worst.
func (a ahead) since(earlier ahead) (least, most time.Duration) {
	return a.least - earlier.most, a.most - earlier.least
}

// read reads one of the host's clocks, and adds what is simulated to the one that counts
// suspensions.
func read(which int32) time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(which, &spec); err != nil {
		// Linux has had both since 2.6.39; without them no age can be trusted.
		panic("clock: " + err.Error())
	}
	reading := time.Duration(spec.Nano())
	if which == unix.CLOCK_BOOTTIME {
		reading += time.Duration(simulated.Load())
	}
	return reading
}
