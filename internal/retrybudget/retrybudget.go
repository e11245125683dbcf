// Package retrybudget bounds, over sliding windows, how many further attempts
// a router may add to a service's requests, so that retries never multiply an
// overload. It does no I/O; the clock is handed in.
package retrybudget

import (
	"sync"
	"time"
)

// Options bound the retries of one router.
type Options struct {
	// Ratio is how many retries one request of this router earns.
	Ratio float64
	// Slack is how many retries a window may hold besides; this router's
	// share of what all routers may spend together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// buckets is how many parts a window is counted in.
const buckets = 20

// counter counts events in a sliding window, a little longer than asked.
type counter struct {
	width  time.Duration
	first  time.Time
	counts [buckets + 1]int
	// at is the number, from first, of the newest bucket.
	at int64
}

func (c *counter) advance(now time.Time) {
	if c.first.IsZero() {
		c.first = now
	}
	at := int64(now.Sub(c.first) / c.width)
	for steps := 0; c.at < at && steps <= buckets; steps++ {
		c.at++
		c.counts[c.at%int64(len(c.counts))] = 0
	}
	c.at = max(c.at, at)
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.counts[c.at%int64(len(c.counts))]++
}

func (c *counter) sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, count := range c.counts {
		total += count
	}
	return total
}

// budget counts one service's requests and retries.
type budget struct {
	requests counter
	retries  counter
}

// Budgets holds a budget for each service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	options   Options
	byService map[string]*budget
}

// New returns budgets in which nothing was spent yet.
func New(options Options) *Budgets {
	return &Budgets{options: options, byService: make(map[string]*budget)}
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

func (b *Budgets) of(service string) *budget {
	known, ok := b.byService[service]
	if !ok {
		width := b.options.Window / buckets
		known = &budget{requests: counter{width: width}, retries: counter{width: width}}
		b.byService[service] = known
	}
	return known
}

// Request counts a caller's request for a service.
func (b *Budgets) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).requests.add(now)
}

// Spend takes one retry; false if the window has none left.
func (b *Budgets) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.of(service)
	allowed := b.options.Ratio*float64(known.requests.sum(now)) + b.options.Slack
	if float64(known.retries.sum(now)+1) > allowed {
		return false
	}
	known.retries.add(now)
	return true
}
