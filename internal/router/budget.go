package router

import "sync"

const (
	// refusalRetryRatio is how many further attempts each request adds to the budget for
	// refused requests, whose attempts are cheap.
	refusalRetryRatio = 2.0
	// rerunRatio is the same for attempts that make a target do the work again.
	rerunRatio = 0.2
	// maxRefusalRetries and maxRerunRetries limit the saved attempts. The end of a work
	// shift sends hundreds of requests to one router at once.
	maxRefusalRetries = 2000
	maxRerunRetries   = 100
)

// retryBudget limits retries to a share of the requests, so that retries never multiply
// an overload.
type retryBudget struct {
	ratio float64
	limit float64

	mu      sync.Mutex
	balance float64
}

func newRetryBudget(ratio, limit float64) *retryBudget {
	return &retryBudget{ratio: ratio, limit: limit, balance: limit}
}

// earn adds one request's share to the budget.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.limit)
}

// spend takes one retry from the budget and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
