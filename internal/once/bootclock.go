package once

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// HostClock reads the clocks of the host that the process runs on.
type HostClock struct{}

// Wall is the time of day.
func (HostClock) Wall() time.Time {
	return time.Now()
}

// Boot is the time since the host started, suspensions included.
func (HostClock) Boot() time.Duration {
	return clock.Boot()
}
