package once

import (
	"time"

	"golang.org/x/sys/unix"
)

// HostClock reads the clocks of the host that the process runs on.
type HostClock struct{}

// Wall is the time of day.
func (HostClock) Wall() time.Time {
	return time.Now()
}

// Boot is the time since the host started, suspensions included.
func (HostClock) Boot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// CLOCK_BOOTTIME has been in Linux since 2.6.39; without it, no lease
		// can be trusted.
		panic("once: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
