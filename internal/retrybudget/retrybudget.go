// Package retrybudget limits how many attempts all routers together may add to a service's
// requests within a sliding window, so that retries never multiply an overload. The routers share
// no state, and a router that restarts knows nothing of what it spent before. It does no I/O; the
// caller passes in the time.
//
// Source: docs/design/platform.md, "Retry budget".
package retrybudget

import (
	"sync"
	"time"
)

// Options limits the retries of one router.
type Options struct {
	// Ratio is how many retries per request the whole fleet may make in a window.
	Ratio float64
	// Slack is how many retries a window may contain in addition; it is this router's share of
	// what all routers together may spend.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// earnedLife is how long an earned retry may be spent, as a share of the window. What is
	// spent in a window was then earned by requests in it or shortly before it, whichever router
	// received them and however often it has restarted since.
	earnedLife = 0.05
	// maxDelay allows for requests that are counted later than callers sent them, and for retries
	// that arrive later than they were taken, as a share of the window.
	maxDelay = 0.2
	// earnShare is the part of the ratio that requests earn, so that those of the window,
	// earnedLife and maxDelay stay within the ratio times those of the window.
	earnShare = 1 / (1 + earnedLife + maxDelay)
	// slackParts is the number of equal parts of the slack. One accrues per window, one is the
	// most that is saved up, of slack and of earned retries that have expired, and one covers the
	// fraction of a retry that each router has earned before a window.
	slackParts = 3
)

// Budgets holds a retry budget for each service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	options   Options
	started   time.Time
	byService map[string]*budget
}

// New returns the budgets of a router that started at a time. Slack accrues from then on.
func New(options Options, started time.Time) *Budgets {
	return &Budgets{options: options, started: started, byService: make(map[string]*budget)}
}

// SetSlack changes this router's share of the slack.
func (b *Budgets) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Slack = slack
}

// SetRatio changes how many retries per request the fleet may make.
func (b *Budgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio = ratio
}

// Request counts a caller's request for a service.
func (b *Budgets) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(service)
	budget.advance(b.options, now)
	budget.earn(earnShare * b.options.Ratio)
}

// Spend takes one retry from the budget; false if there is none left.
func (b *Budgets) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(service)
	budget.advance(b.options, now)
	return budget.earned.take() || budget.takeSaved()
}

// of returns the budget of a service, creating it if necessary. The caller must hold b.mu.
func (b *Budgets) of(service string) *budget {
	found, ok := b.byService[service]
	if !ok {
		life := time.Duration(earnedLife * float64(b.options.Window))
		found = &budget{earned: expiringCount{width: max(life/expiringBuckets, 1), start: b.started}, accruedAt: b.started}
		b.byService[service] = found
	}
	return found
}

// budget holds what may be spent on one service's requests.
type budget struct {
	// fraction is the part of the next whole retry that requests have earned; below 1.
	fraction float64
	// earned are the whole retries that requests have earned.
	earned expiringCount
	// saved is slack that has accrued up to accruedAt and earned retries that have expired, at
	// most a part of the slack.
	saved     float64
	accruedAt time.Time
}

// advance saves the slack that has accrued since the last call and the retries that have expired.
func (b *budget) advance(options Options, now time.Time) {
	part := options.Slack / slackParts
	if elapsed := now.Sub(b.accruedAt); elapsed > 0 {
		b.saved += part * elapsed.Seconds() / options.Window.Seconds()
		b.accruedAt = now
	}
	b.saved = min(b.saved+float64(b.earned.expire(now)), part)
}

// earn adds a part of a retry.
func (b *budget) earn(part float64) {
	b.fraction += part
	for b.fraction >= 1 {
		b.fraction--
		b.earned.add()
	}
}

// takeSaved completes the earned part of a retry with what is saved, and takes it.
func (b *budget) takeSaved() bool {
	missing := 1 - b.fraction
	if b.saved < missing {
		return false
	}
	b.saved -= missing
	b.fraction = 0
	return true
}
