package router

import "sync"

const (
	// spillRatio is how many further attempts a request earns for requests
	// that were refused: these cost little.
	spillRatio = 2.0
	// rerunRatio is the same for attempts that make a target work again.
	rerunRatio = 0.2
	// spillMost and rerunMost bound what is saved up: a shift's close brings
	// hundreds of requests to one router at once.
	spillMost = 2000
	rerunMost = 100
)

// budget bounds retries to a share of requests, so that retries never
// multiply an overload.
type budget struct {
	ratio float64
	most  float64

	mu    sync.Mutex
	saved float64
}

func newBudget(ratio, most float64) *budget {
	return &budget{ratio: ratio, most: most, saved: most}
}

// earn is called for each request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.ratio, b.most)
}

// spend takes one retry; false if there is none to take.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// busy counts the requests in flight by workspace.
type busy struct {
	mu    sync.Mutex
	count map[string]int
}

func newBusy() *busy {
	return &busy{count: make(map[string]int)}
}

// enter takes a place of a workspace; most zero is no bound.
func (b *busy) enter(workspace string, most int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if most > 0 && b.count[workspace] >= most {
		return false
	}
	b.count[workspace]++
	return true
}

func (b *busy) leave(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count[workspace]--
	if b.count[workspace] == 0 {
		delete(b.count, workspace)
	}
}
