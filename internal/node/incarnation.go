package node

import "time"

// newIncarnation is a number above those of earlier runs of the process: the
// time of its start in ms. A run that starts with a clock set back is put
// right by the members, which make it raise its number above the one they
// remember.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixMilli())
}
