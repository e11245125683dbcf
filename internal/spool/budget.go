package spool

import "sync/atomic"

// Budget is how many bytes a process holds for its callers. It is safe for concurrent use.
type Budget struct {
	most int64
	held atomic.Int64
}

// NewBudget returns a budget of so many bytes; zero is without bound.
func NewBudget(most int64) *Budget {
	return &Budget{most: most}
}

// Take takes bytes; false, and nothing is taken, if there are not as many.
func (b *Budget) Acquire(size int) bool {
	if held := b.held.Add(int64(size)); b.most == 0 || held <= b.most {
		return true
	}
	b.held.Add(-int64(size))
	return false
}

// Give gives bytes back.
func (b *Budget) Release(size int) {
	b.held.Add(-int64(size))
}

// Held is how many bytes are taken.
func (b *Budget) Held() int64 {
	return b.held.Load()
}
