package observe

import "sync/atomic"

// skipCounter counts lines that were not written since the last one that says
// so.
type skipCounter struct {
	count atomic.Int64
}

func (s *skipCounter) add() {
	s.count.Add(1)
}

func (s *skipCounter) reset() int64 {
	return s.count.Swap(0)
}
