package spool

import "sync/atomic"

// Budget limits the bytes that a process holds for its callers. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes; zero means no limit.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Acquire takes size bytes. It returns false and takes nothing if fewer are left.
func (b *Budget) Acquire(size int) bool {
	if held := b.held.Add(int64(size)); b.limit == 0 || held <= b.limit {
		return true
	}
	b.held.Add(-int64(size))
	return false
}

// Release returns size bytes.
func (b *Budget) Release(size int) {
	b.held.Add(-int64(size))
}

// Held returns the number of bytes taken.
func (b *Budget) Held() int64 {
	return b.held.Load()
}
