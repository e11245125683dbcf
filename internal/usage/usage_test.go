package usage

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRead checks that a process knows what it uses when it ends.
func TestRead(t *testing.T) {
	is := is.New(t)
	used, err := Read()
	is.NoErr(err)
	is.True(used.PeakMemory > 1<<20)
	is.True(used.Descriptors > 2)
}

func TestPeakMemory(t *testing.T) {
	cases := map[string]struct {
		status string
		want   int64
		fails  bool
	}{
		"usual":         {"Name:\tx\nVmHWM:\t   21508 kB\nVmRSS:\t 1 kB\n", 21508 << 10, false},
		"no such line":  {"Name:\tx\n", 0, true},
		"not a number":  {"VmHWM:\tmuch kB\n", 0, true},
		"an empty file": {"", 0, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := peakMemory(test.status)
			is.Equal(err != nil, test.fails)
			is.Equal(got, test.want)
		})
	}
}

// TestMonitor checks that a high use of memory is reported once, and its end too.
func TestMonitor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reports []bool
		var held atomic.Int64
		monitor := NewMonitor(100, func(_ int64, high bool) { reports = append(reports, high) })
		monitor.held = held.Load
		is.NoErr(monitor.Start(t.Context()))
		time.Sleep(monitorInterval / 2) // each check falls between two changes
		for _, used := range []int64{10, 76, 90, 75, 99} {
			held.Store(used)
			time.Sleep(monitorInterval)
		}
		is.NoErr(monitor.Close())
		is.Equal(reports, []bool{true, false, true})
		is.True(heldByRuntime() > 0)
	})
}
