package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// scriptedHost is a host whose clocks are read at times of the test's choice.
type scriptedHost struct {
	steady, suspended time.Duration
	// takes are how long the next readings take; those after take no time.
	takes []time.Duration
}

func (h *scriptedHost) read(which int32) time.Duration {
	if len(h.takes) > 0 {
		h.steady += h.takes[0]
		h.takes = h.takes[1:]
	}
	if which == unix.CLOCK_BOOTTIME {
		return h.steady + h.suspended
	}
	return h.steady
}

// TestReadingsTakeTime: a suspension was found shorter than it was by as much longer as the
// clocks took to read than at the begin, so that ages were too young by that.
func TestReadingsTakeTime(t *testing.T) {
	const quick, slow, away = time.Microsecond, 10 * time.Microsecond, 200 * time.Millisecond
	cases := map[string]struct {
		begin, later []time.Duration
		// uncertain is the most by which the bounds may differ.
		uncertain time.Duration
	}{
		"no time":              {nil, nil, 0},
		"longer later":         {[]time.Duration{quick, quick, quick}, []time.Duration{slow, slow, slow}, 2*quick + 2*slow},
		"longer at the begin":  {[]time.Duration{slow, slow, slow}, []time.Duration{quick, quick, quick}, 2*quick + 2*slow},
		"processor lost once":  {nil, []time.Duration{0, away, quick, quick, quick, quick}, 2 * quick},
		"lost after":           {nil, []time.Duration{0, quick, away, quick, quick, quick}, 2 * quick},
		"lost at the begin":    {[]time.Duration{0, away, quick, quick, quick, quick}, nil, 2 * quick},
		"lost in all but one":  {nil, []time.Duration{0, away, 0, 0, away, 0, 0, 0, away, 0, quick, quick}, 2 * quick},
		"lost each time later": {nil, []time.Duration{0, away, 0, 0, away, 0, 0, away, 0, 0, away, 0}, away},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			host := &scriptedHost{takes: test.begin}
			begin := compare(host.read)
			host.takes = test.later
			least, most := compare(host.read).since(begin)
			is.True(least <= 0) // a suspension where there was none
			is.True(most >= 0)
			host.takes, host.suspended = test.later, 10*time.Second
			least, most = compare(host.read).since(begin)
			is.True(least <= host.suspended)
			is.True(most >= host.suspended) // an age would be too young
			is.True(most-least <= test.uncertain)
		})
	}
}
