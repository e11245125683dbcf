// Package admission decides whether, when and in which order requests go to targets. It does no
// I/O. Gate runs in the agent of one target. It counts the requests that it admits exactly, so its
// limit holds whatever load the routers assume. Limiter runs in a gateway, in front of all targets
// of a service.
package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Options are the limits of a Gate.
type Options struct {
	// Factor is the load factor c: no target holds more than ceil(c x mean) requests.
	Factor float64
	// Floor is the limit while the mean is low or unknown.
	Floor int
	// MaxInFlight limits the load whatever the mean.
	MaxInFlight int
	// MeanAge is how long a reported mean remains valid.
	MeanAge time.Duration
	// QueueCount and QueueBytes limit the queued requests.
	QueueCount int
	QueueBytes int64
	// Patience is how long a deferrable request waits before it is served ahead of urgent ones.
	Patience time.Duration
}

// DefaultOptions returns the limits used unless settings override them.
func DefaultOptions() Options {
	return Options{
		Factor:      1.25,
		Floor:       8,
		MaxInFlight: 256,
		MeanAge:     10 * time.Second,
		QueueCount:  512,
		QueueBytes:  64 << 20,
		Patience:    10 * time.Second,
	}
}

// Ticket describes one request that asks for admission.
type Ticket struct {
	Workspace string
	// Share is the workspace's weight, at least 1.
	Share int
	// Deferrable requests are served after urgent ones.
	Deferrable bool
	// Bytes is the memory that the request uses while it waits.
	Bytes int64
	// Wait allows the request to queue; without it a full gate refuses the request.
	Wait bool
	// HomeWait lets a request queue without Wait if it is expected to be admitted within this
	// time, and refuses it once the time has passed. It is how long a wait is worthwhile for a
	// chat whose prefix this target has cached.
	HomeWait time.Duration
}

// Load is the gate's exact load.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	Leaving  bool
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	options Options

	mu       sync.Mutex
	inFlight int
	// foreign counts requests that run at the target without having been admitted by this process,
	// such as those admitted before it restarted.
	foreign int
	mean    float64
	meanAt  time.Time
	leaving bool
	backoff backoff
	queues  *queues
	// releaseInterval is the smoothed time between two releases.
	releaseInterval time.Duration
	lastRelease     time.Time
	// drainDone is closed when the gate is leaving and nothing is in flight.
	drainDone chan struct{}
	drained   bool
}

// NewGate returns a gate that admits requests.
func NewGate(options Options) *Gate {
	return &Gate{options: options, queues: newQueues(options.Patience), drainDone: make(chan struct{})}
}

// Limit returns the maximum number of requests in flight: the larger of the floor and ceil(factor
// x mean), capped at MaxInFlight. The mean is that of the pool as last reported.
func Limit(options Options, mean float64) int {
	// epsilon keeps rounding errors from raising 1.25 x 4 to 6.
	const epsilon = 1e-9
	bound := int(math.Ceil(options.Factor*mean - epsilon))
	return min(max(bound, options.Floor), options.MaxInFlight)
}

// SetMean sets the mean load of the target's pool.
func (g *Gate) SetMean(mean float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mean = mean
	g.meanAt = time.Now()
	g.admitWaiting()
}

// SetForeign sets how many requests run at the target without having been admitted by this gate.
func (g *Gate) SetForeign(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.foreign = max(count, 0)
	g.admitWaiting()
}

// currentLimit returns the limit that applies now. A mean older than MeanAge is ignored.
func (g *Gate) currentLimit() int {
	if time.Since(g.meanAt) > g.options.MeanAge {
		return Limit(g.options, 0)
	}
	return Limit(g.options, g.mean)
}

func (g *Gate) hasRoom() bool {
	if g.backoff.probing {
		return false
	}
	return g.inFlight+g.foreign < g.currentLimit()
}

// Place is the slot of one admitted request; Release frees it.
type Place struct {
	gate *Gate
	// probe marks the first request after a backoff that the target asked for.
	probe bool
	once  sync.Once
}

// admitOne admits one request. The caller must hold g.mu.
func (g *Gate) admitOne() *Place {
	g.inFlight++
	g.backoff.probing = g.backoff.needsProbe()
	return &Place{gate: g, probe: g.backoff.probing}
}

// Admit admits a request, waiting for a free place if the ticket allows it. A refusal means that
// the request was never admitted.
func (g *Gate) Admit(ctx context.Context, ticket Ticket) (*Place, *fault.Error) {
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return nil, errLeaving()
	}
	if remaining := g.backoff.remaining(); remaining > 0 {
		g.mu.Unlock()
		return nil, errBackingOff(remaining)
	}
	if g.hasRoom() && g.queues.len() == 0 {
		defer g.mu.Unlock()
		return g.admitOne(), nil
	}
	waiter, refusal := g.enqueue(ctx, ticket)
	g.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	if ticket.Wait {
		return g.await(ctx, ctx, waiter)
	}
	homeCtx, cancel := context.WithTimeout(ctx, ticket.HomeWait)
	defer cancel()
	return g.await(ctx, homeCtx, waiter)
}

// enqueue adds a request to its queue, or refuses it with a time after which to retry.
func (g *Gate) enqueue(ctx context.Context, ticket Ticket) (*waiter, *fault.Error) {
	expected := g.estimate(ticket)
	full := g.queues.len() >= g.options.QueueCount || g.queues.bytes+ticket.Bytes > g.options.QueueBytes
	mayWait := ticket.Wait || ticket.HomeWait > 0 && expected <= ticket.HomeWait
	if !mayWait || full {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the target is at its limit of %d requests", g.currentLimit()).After(expected)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the expected queue time exceeds the request's deadline").After(expected)
	}
	return g.queues.push(ticket), nil
}

const (
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller retries.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// estimate returns the expected time until a request that is queued now would be admitted.
func (g *Gate) estimate(ticket Ticket) time.Duration {
	ahead := g.queues.ahead(ticket)
	wait := g.releaseInterval * time.Duration(ahead+1)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// await waits until the request is admitted or refused, or until waitCtx ends. waitCtx is the
// request's own context or one with a shorter deadline.
func (g *Gate) await(ctx, waitCtx context.Context, w *waiter) (*Place, *fault.Error) {
	select {
	case <-w.decided:
	case <-waitCtx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch w.state {
	case waiterAdmitted:
		return w.place, nil
	case waiterRefused:
		return nil, w.refusal
	}
	g.queues.remove(w)
	if ctx.Err() == nil {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the target is at its limit of %d requests", g.currentLimit()).After(g.estimate(w.ticket))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, fault.New(fault.Deadline, fault.NotRun, "the request's deadline expired in the queue").After(g.estimate(w.ticket))
	}
	return nil, fault.New(fault.Canceled, fault.NotRun, "the caller canceled the request in the queue")
}

// releaseIntervalWeight is the weight of the latest interval in the smoothed one.
const releaseIntervalWeight = 0.1

// Release frees the place and admits queued requests.
func (p *Place) Release() {
	p.once.Do(func() {
		g := p.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		g.inFlight--
		if p.probe {
			g.backoff.probing = false
		}
		g.updateReleaseInterval()
		g.admitWaiting()
		g.checkDrained()
	})
}

func (g *Gate) updateReleaseInterval() {
	now := time.Now()
	if !g.lastRelease.IsZero() {
		interval := now.Sub(g.lastRelease)
		g.releaseInterval += time.Duration(releaseIntervalWeight * float64(interval-g.releaseInterval))
	}
	g.lastRelease = now
}

// admitWaiting admits queued requests while there is room. The caller must hold g.mu.
func (g *Gate) admitWaiting() {
	for g.hasRoom() {
		w := g.queues.pop()
		if w == nil {
			return
		}
		w.place = g.admitOne()
		w.state = waiterAdmitted
		close(w.decided)
	}
}

// Leave refuses new and queued requests. Requests in flight continue.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.refuseWaiting(errLeaving())
	g.checkDrained()
}

// refuseWaiting refuses all queued requests. The caller must hold g.mu.
func (g *Gate) refuseWaiting(refusal *fault.Error) {
	for w := g.queues.pop(); w != nil; w = g.queues.pop() {
		w.state, w.refusal = waiterRefused, refusal
		close(w.decided)
	}
}

// errLeaving returns the refusal of a request while the target is leaving.
func errLeaving() *fault.Error {
	return fault.New(fault.Leaving, fault.NotRun, "the target is leaving")
}

// Return reopens a gate whose target is no longer leaving.
func (g *Gate) Return() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = false
	if g.drained {
		g.drained = false
		g.drainDone = make(chan struct{})
	}
}

func (g *Gate) checkDrained() {
	if g.leaving && !g.drained && g.inFlight == 0 {
		g.drained = true
		close(g.drainDone)
	}
}

// Drained returns a channel that is closed when the gate is leaving and nothing is in flight.
func (g *Gate) Drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainDone
}

// OwnInFlight returns the number of requests in flight that this gate admitted.
func (g *Gate) OwnInFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		InFlight: g.inFlight + g.foreign,
		Queued:   g.queues.len(),
		Limit:    g.currentLimit(),
		Leaving:  g.leaving,
	}
}
