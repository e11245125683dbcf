// Package usage tells what a process uses of its host, and limits what it may use.
package usage

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Usage is what the process uses.
type Usage struct {
	// PeakMemory is the most resident memory that it has used so far, in bytes.
	PeakMemory int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Read returns what the process uses. Source: proc(5).
func Read() (Usage, error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the process's memory")
	}
	peak, err := peakMemory(string(status))
	if err != nil {
		return Usage{}, err
	}
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return Usage{}, errors.Wrap(err, "count the process's descriptors")
	}
	return Usage{PeakMemory: peak, Descriptors: len(open)}, nil
}

// MaxDescriptors returns the number of file descriptors that the process may have.
func MaxDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// peakMemory returns the peak of the resident memory in /proc/PID/status, in bytes.
func peakMemory(status string) (int64, error) {
	const kilobyte = 1 << 10
	for line := range strings.Lines(status) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kilobyte * number, errors.Wrap(err, "read the process's memory")
	}
	return 0, errors.New("read the process's memory: no line VmHWM")
}

// EnvMemoryLimit is the environment variable by which operators set the runtime's memory limit.
const EnvMemoryLimit = "GOMEMLIMIT"

// runtimeShare is the share of a process's memory that the Go runtime may use before it collects garbage
// more often. The rest is for the program's code, for the C library, and for what the kernel counts
// besides.
const runtimeShare = 0.8

// LimitMemory makes the garbage collector work harder as the process comes near a memory limit in bytes,
// unless the operators have set a limit of their own. Zero means no limit.
func LimitMemory(limit int64) {
	if _, set := os.LookupEnv(EnvMemoryLimit); set || limit <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(runtimeShare * float64(limit)))
}
