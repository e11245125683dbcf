// Package router implements the process in front of the targets. It accepts callers'
// requests over HTTP, selects targets from inexpensive and possibly stale load hints, and
// delivers each answer either completely or with an error. Agents make the guarantees
// about a request; the router only forwards what it can verify.
package router

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/shutdown"
	"github.com/capersaddle/capersaddle/internal/wait"
)

// Options configures a router.
type Options struct {
	ID      string
	Members *member.List
	Config  *config.State
	Dialer  link.Dialer
	Log     *log.Logger
	Metrics Metrics
	// Timeout limits a request whose caller asks for no shorter timeout.
	Timeout time.Duration
	// MaxBodyBytes limits a request's body, in bytes.
	MaxBodyBytes int64
	// Seed is the seed of the router's random choices; zero picks a random seed.
	Seed uint64
}

// Defaults for options that are zero.
const (
	defaultTimeout      = 120 * time.Second
	defaultMaxBodyBytes = 4 << 20
)

// Metrics records finished requests and their attempts.
type Metrics interface {
	// Request records the end of a request; kind is empty for a complete answer.
	Request(workspace, class, kind string, total time.Duration)
	// First records the time to the first piece.
	First(workspace, class string, wait time.Duration)
	// Retry records a further attempt.
	Retry(reason string)
	// Pieces records the number of pieces sent to a caller.
	Pieces(count int)
}

// Router forwards requests from callers to targets.
type Router struct {
	options Options
	log     *log.Logger
	table   *table
	// refusalRetries limits attempts after refusals, rerunRetries those after interrupted
	// answers.
	refusalRetries *retryBudget
	rerunRetries   *retryBudget
	// ownerCache caches which agent owns a service's slot.
	ownerCache *ownerCache

	randomMu sync.Mutex
	random   *rand.Rand

	// stop is the planned stop. It fails /readyz, so that the load balancer sends nothing more, and
	// ends the accepting of requests. draining rejects new requests at any time.
	stop     shutdown.Stop
	draining atomic.Bool
	inFlight sync.WaitGroup
	limiter  *workspaceLimiter
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a router. Start begins its loops.
func New(options Options) *Router {
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	options.MaxBodyBytes = cmp.Or(options.MaxBodyBytes, defaultMaxBodyBytes)
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	return &Router{
		options:        options,
		log:            options.Log,
		table:          newTable(options.Members),
		refusalRetries: newRetryBudget(refusalRetryRatio, maxRefusalRetries),
		rerunRetries:   newRetryBudget(rerunRatio, maxRerunRetries),
		ownerCache:     newOwnerCache(),
		random:         rand.New(rand.NewPCG(options.Seed, options.Seed)),
		limiter:        newWorkspaceLimiter(),
	}
}

const (
	// refreshInterval is the time between two reads of the members' loads.
	refreshInterval = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between two reads caused by changes of
	// members.
	minRefreshInterval = 100 * time.Millisecond
)

// Start begins to follow the membership list.
func (r *Router) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(func() { r.refreshLoop(ctx) })
	return nil
}

func (r *Router) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		changed := r.options.Members.Changed()
		r.table.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if !wait.For(ctx, minRefreshInterval) {
				return
			}
		case <-ticker.C:
		}
	}
}

// Stop begins a planned stop: /readyz fails while requests are still served, for as long as the plan
// says.
func (r *Router) Stop(plan shutdown.Plan) {
	r.stop.Begin(plan)
}

// Drain rejects new requests and waits for those in flight.
func (r *Router) Drain(ctx context.Context) error {
	r.draining.Store(true)
	done := make(chan struct{})
	r.wg.Go(func() {
		r.inFlight.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Targets returns the number of targets that this router can send requests to.
func (r *Router) Targets() int {
	return r.table.count()
}

// Draining reports whether the router rejects new requests.
func (r *Router) Draining() bool {
	return r.draining.Load() || !r.stop.Accepts(clock.Check())
}

// drainingError is the refusal of a request that this process doesn't accept any more.
func drainingError() *fault.Error {
	return fault.New(fault.NotReady, fault.NotRun, "the router is draining; another router will answer").After(time.Second)
}

// Close stops the loops and waits for requests in flight.
func (r *Router) Close() error {
	r.draining.Store(true)
	r.cancel()
	r.inFlight.Wait()
	r.wg.Wait()
	return nil
}

// NoMetrics is a Metrics that records nothing.
type NoMetrics struct{}

// Request does nothing.
func (NoMetrics) Request(string, string, string, time.Duration) {}

// First does nothing.
func (NoMetrics) First(string, string, time.Duration) {}

// Retry does nothing.
func (NoMetrics) Retry(string) {}

// Pieces does nothing.
func (NoMetrics) Pieces(int) {}
