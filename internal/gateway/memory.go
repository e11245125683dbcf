package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/spool"
)

// An event is passed on once it is complete, and so is a small answer. Only the target decides when that
// is, and many answers may grow at the same time: what they take beyond a small part each comes from the
// budget of the bytes that the process holds for its callers.

// freeBuffer is what each answer may keep without taking from the budget, in bytes.
const freeBuffer = 64 << 10

// errNoMemory ends an answer that is not complete while the budget has no more room.
var errNoMemory = errors.New("no memory for the rest of an answer that is kept until it is complete")

// reservation is what the buffer of one answer has taken from a budget.
type reservation struct {
	// budget is nil if there is no bound.
	budget *spool.Budget
	// size is the number of bytes taken.
	size int
}

// grow takes what a buffer of a size needs. It returns errNoMemory if the budget has no room for it.
func (r *reservation) grow(size int) error {
	if r.budget == nil || size <= max(freeBuffer, r.size) {
		return nil
	}
	if !r.budget.Acquire(size - r.size) {
		return errNoMemory
	}
	r.size = size
	return nil
}

// release returns what was taken.
func (r *reservation) release() {
	if r.size > 0 {
		r.budget.Release(r.size)
		r.size = 0
	}
}

// hasRoom reports whether an answer of a size, negative if it is not known, could be kept now.
func hasRoom(budget *spool.Budget, size int64) bool {
	trial := reservation{budget: budget}
	defer trial.release()
	return trial.grow(int(size)) == nil
}
