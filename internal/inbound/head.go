package inbound

import "bytes"

// The head of a request is kept until it is complete, and with it until the request has been answered. Only
// the caller decides when that is, and many heads may grow at the same time.

const (
	// freeHead is what the head of each request may take without taking from the budget, in bytes.
	freeHead = 8 << 10
	// lineBytes is what each line of a head takes beside its own bytes: its place in a map, and the strings
	// and slices there.
	lineBytes = 160
)

// Budget is memory that all connections share, in bytes. It is safe for concurrent use.
type Budget interface {
	// Acquire takes size bytes. It returns false and takes nothing if fewer are left.
	Acquire(size int) bool
	// Release returns size bytes.
	Release(size int)
}

// head counts the bytes of one request's head.
type head struct {
	// budget is nil if there is no bound.
	budget Budget
	// reading means that the head is not complete yet.
	reading bool
	// size is the memory that its bytes received so far take, and taken what was taken from the budget.
	size, taken int
}

// begin starts the head of the next request.
func (h *head) begin() {
	h.reading, h.size = true, 0
}

// received counts data that may belong to the head. It returns false if there is no memory for it.
func (h *head) received(data []byte) bool {
	if !h.reading || h.budget == nil {
		return true
	}
	h.size += len(data) + lineBytes*bytes.Count(data, []byte{'\n'})
	more := h.size - freeHead - h.taken
	if more <= 0 {
		return true
	}
	if !h.budget.Acquire(more) {
		return false
	}
	h.taken += more
	return true
}

// complete ends the count; the memory stays taken.
func (h *head) complete() {
	h.reading = false
}

// release returns the memory when the request has ended.
func (h *head) release() {
	if h.taken > 0 {
		h.budget.Release(h.taken)
	}
	h.reading, h.size, h.taken = false, 0, 0
}
