package node

import "time"

// newIncarnation returns a number above those of earlier runs of the process: the time of its
// start in ms. If the clock was set back, the members make the process raise its number above
// the one that they remember.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixMilli())
}
