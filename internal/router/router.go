// Package router is the process before the targets: it takes callers' requests
// over HTTP, picks targets from cheap and stale hints, and carries each answer
// back whole or not at all. What is promised about a request is decided by
// agents; the router only passes on what it can vouch for.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/wait"
)

// Options are what a router works with.
type Options struct {
	ID      string
	Members *member.List
	Config  *config.State
	Dialer  link.Dialer
	Log     *log.Logger
	Metrics Metrics
	// Timeout bounds a request whose caller names no shorter time.
	Timeout time.Duration
	// MostBody bounds a request's body, in bytes.
	MostBody int64
	// Now is the seed of the router's random choices; zero takes any.
	Seed uint64
}

// Defaults for options left at zero.
const (
	defaultTimeout  = 120 * time.Second
	defaultMostBody = 4 << 20
)

// Metrics is told of each finished request.
type Metrics interface {
	// Request is told of a request's end; kind is empty for a whole answer.
	Request(workspace, class, kind string, total time.Duration)
	// First is told of the time to the first piece.
	First(workspace, class string, wait time.Duration)
	// Retry is told of each further attempt.
	Retry(reason string)
	// Pieces is told of pieces passed to callers.
	Pieces(count int)
}

// Router carries requests from callers to targets.
type Router struct {
	options Options
	log     *log.Logger
	table   *table
	// spill bounds attempts after refusals, rerun those after broken answers.
	spill *budget
	rerun *budget
	// owners remembers which agent owns a service's slot.
	owners *owners

	randomMu sync.Mutex
	random   *rand.Rand

	// unready tells the balancer to send nothing more; what comes all the
	// same is served. draining says that no new requests are taken.
	unready  atomic.Bool
	draining atomic.Bool
	inFlight sync.WaitGroup
	busy     *busy
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// New returns a router; Start begins its loops.
func New(options Options) *Router {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.MostBody == 0 {
		options.MostBody = defaultMostBody
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	return &Router{
		options: options,
		log:     options.Log,
		table:   newTable(options.Members),
		spill:   newBudget(spillRatio, spillMost),
		rerun:   newBudget(rerunRatio, rerunMost),
		owners:  newOwners(),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		busy:    newBusy(),
	}
}

const (
	// refreshEvery is how often words on load are taken in.
	refreshEvery = 500 * time.Millisecond
	// refreshPause is the least time between two takings-in of changes.
	refreshPause = 100 * time.Millisecond
)

// Start begins to follow the members.
func (r *Router) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wait.Go(func() { r.refreshLoop(ctx) })
	return nil
}

func (r *Router) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		changed := r.options.Members.Changed()
		r.table.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if !wait.For(ctx, refreshPause) {
				return
			}
		case <-ticker.C:
		}
	}
}

// Unready makes /readyz say no, while requests are still served.
func (r *Router) Unready() {
	r.unready.Store(true)
}

// Drain takes no new requests and waits for those in flight.
func (r *Router) Drain(ctx context.Context) error {
	r.draining.Store(true)
	done := make(chan struct{})
	r.wait.Go(func() {
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

// Targets counts the targets that this router sends requests to.
func (r *Router) Targets() int {
	return r.table.count()
}

// Draining says whether the router takes no new requests.
func (r *Router) Draining() bool {
	return r.draining.Load()
}

// Close ends the loops and waits for requests in flight.
func (r *Router) Close() error {
	r.draining.Store(true)
	r.cancel()
	r.inFlight.Wait()
	r.wait.Wait()
	return nil
}

// NoMetrics counts nothing.
type NoMetrics struct{}

// Request does nothing.
func (NoMetrics) Request(string, string, string, time.Duration) {}

// First does nothing.
func (NoMetrics) First(string, string, time.Duration) {}

// Retry does nothing.
func (NoMetrics) Retry(string) {}

// Pieces does nothing.
func (NoMetrics) Pieces(int) {}
