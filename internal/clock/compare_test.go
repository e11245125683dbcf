package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// scriptedHost is a host whose clock readings take the durations that a test chooses.
type scriptedHost struct {
	monotonic, suspended time.Duration
	// durations are the durations of the next readings; later ones take no time.
	durations []time.Duration
}

func (h *scriptedHost) read(clockID int32) time.Duration {
	if len(h.durations) > 0 {
		h.monotonic += h.durations[0]
		h.durations = h.durations[1:]
	}
	if clockID == unix.CLOCK_BOOTTIME {
		return h.monotonic + h.suspended
	}
	return h.monotonic
}

// TestSlowReadings guards against a suspension that is measured too short. If reading the clocks
// took longer than at the start, ages were too small by the difference.
func TestSlowReadings(t *testing.T) {
	const quick, slow, preempted = time.Microsecond, 10 * time.Microsecond, 200 * time.Millisecond
	cases := map[string]struct {
		begin, later []time.Duration
		// maxWidth is the maximum difference between the bounds.
		maxWidth time.Duration
	}{
		"instant readings":                         {nil, nil, 0},
		"slower later":                             {[]time.Duration{quick, quick, quick}, []time.Duration{slow, slow, slow}, 2*quick + 2*slow},
		"slower at the start":                      {[]time.Duration{slow, slow, slow}, []time.Duration{quick, quick, quick}, 2*quick + 2*slow},
		"processor lost before the second reading": {nil, []time.Duration{0, preempted, quick, quick, quick, quick}, 2 * quick},
		"processor lost before the third reading":  {nil, []time.Duration{0, quick, preempted, quick, quick, quick}, 2 * quick},
		"processor lost at the start":              {[]time.Duration{0, preempted, quick, quick, quick, quick}, nil, 2 * quick},
		"processor lost in all but one comparison": {nil, []time.Duration{0, preempted, 0, 0, preempted, 0, 0, 0, preempted, 0, quick, quick}, 2 * quick},
		"processor lost in each later comparison":  {nil, []time.Duration{0, preempted, 0, 0, preempted, 0, 0, preempted, 0, 0, preempted, 0}, preempted},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			host := &scriptedHost{durations: test.begin}
			begin := compare(host.read)
			host.durations = test.later
			lower, upper := compare(host.read).suspendedSince(begin)
			is.True(lower <= 0) // no suspension is reported where there was none
			is.True(upper >= 0)
			host.durations, host.suspended = test.later, 10*time.Second
			lower, upper = compare(host.read).suspendedSince(begin)
			is.True(lower <= host.suspended)
			is.True(upper >= host.suspended) // otherwise an age would be too small
			is.True(upper-lower <= test.maxWidth)
		})
	}
}
