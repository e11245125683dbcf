package once

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// HostClock reads the clocks of the host that the process runs on.
type HostClock struct{}

// Wall returns the time of day.
func (HostClock) Wall() time.Time {
	return time.Now()
}

// Boot returns the time since the host started, including suspended time.
func (HostClock) Boot() time.Duration {
	return clock.Boot()
}
