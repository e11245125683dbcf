// Package retrybudget limits, over sliding windows, how many additional attempts a router may
// add to a service's requests, so that retries never multiply an overload. It does no I/O; the
// caller passes in the time.
package retrybudget

import (
	"sync"
	"time"
)

// Options limits the retries of one router.
type Options struct {
	// Ratio is how many retries one request of this router earns.
	Ratio float64
	// Slack is how many retries a window may contain in addition; it is this router's share of
	// what all routers together may spend.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// buckets is the number of buckets that a window is counted in.
const buckets = 20

// counter counts events in a sliding window that is slightly longer than requested.
type counter struct {
	width  time.Duration
	start  time.Time
	counts [buckets + 1]int
	// newest is the number of the newest bucket, counted from start.
	newest int64
}

func (c *counter) advance(now time.Time) {
	if c.start.IsZero() {
		c.start = now
	}
	at := int64(now.Sub(c.start) / c.width)
	for steps := 0; c.newest < at && steps <= buckets; steps++ {
		c.newest++
		c.counts[c.newest%int64(len(c.counts))] = 0
	}
	c.newest = max(c.newest, at)
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.counts[c.newest%int64(len(c.counts))]++
}

func (c *counter) sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, count := range c.counts {
		total += count
	}
	return total
}

// serviceBudget counts one service's requests and retries.
type serviceBudget struct {
	requests counter
	retries  counter
}

// Budgets holds a retry budget for each service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	options   Options
	byService map[string]*serviceBudget
}

// New returns budgets in which nothing has been spent.
func New(options Options) *Budgets {
	return &Budgets{options: options, byService: make(map[string]*serviceBudget)}
}

// SetSlack changes this router's share of the slack.
func (b *Budgets) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Slack = slack
}

// SetRatio changes how many retries a request earns.
func (b *Budgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio = ratio
}

func (b *Budgets) of(service string) *serviceBudget {
	budget, ok := b.byService[service]
	if !ok {
		width := b.options.Window / buckets
		budget = &serviceBudget{requests: counter{width: width}, retries: counter{width: width}}
		b.byService[service] = budget
	}
	return budget
}

// Request counts a caller's request for a service.
func (b *Budgets) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).requests.add(now)
}

// Spend takes one retry from the budget; false if the window has none left.
func (b *Budgets) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(service)
	allowed := b.options.Ratio*float64(budget.requests.sum(now)) + b.options.Slack
	if float64(budget.retries.sum(now)+1) > allowed {
		return false
	}
	budget.retries.add(now)
	return true
}
