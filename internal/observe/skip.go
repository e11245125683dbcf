package observe

import "sync/atomic"

// skipCounter counts the lines that were left out since the last log line that reports their
// number.
type skipCounter struct {
	count atomic.Int64
}

func (s *skipCounter) add() {
	s.count.Add(1)
}

func (s *skipCounter) reset() int64 {
	return s.count.Swap(0)
}
