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
	// least is the shortest suspension that is noticed. Two clocks are read one after the
	// other; a process that loses its processor in between sees a difference too, which
	// reading again shows to be none.
	least = 50 * time.Millisecond
	// readings is how often they are read before a difference is believed.
	readings = 3
)

var (
	// suspended is how long the host was suspended since the process began, as it was read
	// last, in nanoseconds. It never shrinks.
	suspended atomic.Int64
	// simulated is added to what the host says, in nanoseconds.
	simulated atomic.Int64
	// ahead is by how much the clock that counts suspensions was ahead at the begin.
	ahead = difference()
)

// Now is the time by what is known of suspensions: cheap, and right as long as Check was
// called since the last one. The times of this package and of time.Now are never mixed.
func Now() time.Time {
	return time.Now().Add(time.Duration(suspended.Load()))
}

// Check looks whether the host was suspended, and gives the time. What must not happen too
// late, as the sending of a request, goes by it. It costs two system calls, 0.5 microseconds
// together (BenchmarkCheck).
func Check() time.Time {
	found := difference() - ahead
	for range readings - 1 {
		if found-Suspended() < least {
			break
		}
		found = min(found, difference()-ahead)
	}
	if found -= Suspended(); found >= least {
		suspended.Add(int64(found))
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

// difference is by how much the clock that counts suspensions is ahead of the one that
// does not.
func difference() time.Duration {
	return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC) + time.Duration(simulated.Load())
}

// read reads one of the host's clocks.
func read(which int32) time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(which, &spec); err != nil {
		// Linux has had both since 2.6.39; without them no age can be trusted.
		panic("clock: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
