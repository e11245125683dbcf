// Package admission decides whether, when and in which order requests go to
// targets. It does no I/O. Gate stands at one target's agent: it counts what it
// admits exactly, so its bound holds whatever routers believe. Limiter stands
// at a gateway before all targets of a service.
package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Options are the gate's bounds.
type Options struct {
	// Factor is c: no target holds more than ceil(c x mean) requests.
	Factor float64
	// Floor is the bound while the mean is low or not known.
	Floor int
	// Most bounds the load whatever the mean.
	MaxInFlight int
	// MeanAge is how long a reported mean is used.
	MeanAge time.Duration
	// QueueCount and QueueBytes bound what waits.
	QueueCount int
	QueueBytes int64
	// Patience is how long a deferrable request waits before it counts as
	// urgent.
	Patience time.Duration
}

// DefaultOptions are the bounds used unless settings say otherwise.
func DefaultOptions() Options {
	return Options{
		Factor:     1.25,
		Floor:      8,
		MaxInFlight:       256,
		MeanAge:    10 * time.Second,
		QueueCount: 512,
		QueueBytes: 64 << 20,
		Patience:   10 * time.Second,
	}
}

// Ticket is one request at the gate.
type Ticket struct {
	Workspace string
	// Share is the workspace's weight; at least 1.
	Share int
	// Deferrable requests come after urgent ones.
	Deferrable bool
	// Bytes is what the request holds in memory while it waits.
	Bytes int64
	// Wait says that the request may queue; else a full gate refuses it.
	Wait bool
	// HomeWait lets a request queue without Wait if its turn is expected
	// within this time, and refuses it when its turn has not come by then. It
	// is what a wait here is worth to a chat whose prefix the target holds.
	HomeWait time.Duration
}

// Load is the gate's exact state.
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
	// foreign counts requests that run at the target without having been
	// admitted by this process, such as those from before its restart.
	foreign int
	mean    float64
	meanAt  time.Time
	leaving bool
	rest    rest
	queues  *queues
	// pace is the smoothed time between two places that come free.
	releaseInterval     time.Duration
	lastRelease time.Time
	// empty is closed when the gate is leaving and nothing is in flight.
	drainDone   chan struct{}
	drained bool
}

// NewGate returns an open gate.
func NewGate(options Options) *Gate {
	return &Gate{options: options, queues: newQueues(options.Patience), drainDone: make(chan struct{})}
}

// Limit is the most requests that may be in flight: the larger of the floor
// and ceil(factor x mean), where the mean is the pool's as last reported.
func Limit(options Options, mean float64) int {
	// A hair is taken off so that 1.25 x 4 does not become 6 by rounding.
	const epsilon = 1e-9
	bound := int(math.Ceil(options.Factor*mean - epsilon))
	return min(max(bound, options.Floor), options.MaxInFlight)
}

// SetMean reports the mean load of the target's pool.
func (g *Gate) SetMean(mean float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mean = mean
	g.meanAt = time.Now()
	g.admitWaiting()
}

// SetForeign reports how many requests run at the target unknown to the gate.
func (g *Gate) SetForeign(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.foreign = max(count, 0)
	g.admitWaiting()
}

// limit is the bound now; a mean that is too old is not used.
func (g *Gate) currentLimit() int {
	if time.Since(g.meanAt) > g.options.MeanAge {
		return Limit(g.options, 0)
	}
	return Limit(g.options, g.mean)
}

func (g *Gate) hasRoom() bool {
	if g.rest.probing {
		return false
	}
	return g.inFlight+g.foreign < g.currentLimit()
}

// Place is one admitted request; Release gives it back.
type Place struct {
	gate *Gate
	// tries says that the request is the first after a rest of the target.
	probe bool
	once  sync.Once
}

// take admits one request; g.mu is held.
func (g *Gate) admitOne() *Place {
	g.inFlight++
	g.rest.probing = g.rest.needsProbe()
	return &Place{gate: g, probe: g.rest.probing}
}

// Admit takes a place. A refusal means that the request was never admitted.
func (g *Gate) Admit(ctx context.Context, ticket Ticket) (*Place, *fault.Error) {
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return nil, errLeaving()
	}
	if remaining := g.rest.remaining(); remaining > 0 {
		g.mu.Unlock()
		return nil, errResting(remaining)
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

// enqueue puts a request into its queue, or says when to come back.
func (g *Gate) enqueue(ctx context.Context, ticket Ticket) (*waiter, *fault.Error) {
	expected := g.estimate(ticket)
	full := g.queues.len() >= g.options.QueueCount || g.queues.bytes+ticket.Bytes > g.options.QueueBytes
	mayWait := ticket.Wait || ticket.HomeWait > 0 && expected <= ticket.HomeWait
	if !mayWait || full {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the target is at its bound of %d", g.currentLimit()).After(expected)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the queue is longer than the request may wait").After(expected)
	}
	return g.queues.push(ticket), nil
}

const (
	// minRetryAfter and maxRetryAfter bound the time to come back.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter  = 60 * time.Second
)

// estimate is the time until a request that queues now would be admitted.
func (g *Gate) estimate(ticket Ticket) time.Duration {
	ahead := g.queues.ahead(ticket)
	wait := g.releaseInterval * time.Duration(ahead+1)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// await waits for the place, for leaving, or for the end of bounded, which is
// the request's own context or a shorter one.
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
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the target is at its bound of %d", g.currentLimit()).After(g.estimate(w.ticket))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, fault.New(fault.Deadline, fault.NotRun, "the time ran out in the queue").After(g.estimate(w.ticket))
	}
	return nil, fault.New(fault.Canceled, fault.NotRun, "the caller went away in the queue")
}

// releaseIntervalWeight is the share of the newest interval in the smoothed pace.
const releaseIntervalWeight = 0.1

// Release gives a place back and admits who waits.
func (p *Place) Release() {
	p.once.Do(func() {
		g := p.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		g.inFlight--
		if p.probe {
			g.rest.probing = false
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

// admitWaiting gives free places to waiters; g.mu is held.
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

// Leave refuses all that is new and all that waits; what is in flight goes on.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.refuseWaiting(errLeaving())
	g.checkDrained()
}

// refuseWaiting refuses all that waits; g.mu is held.
func (g *Gate) refuseWaiting(refusal *fault.Error) {
	for w := g.queues.pop(); w != nil; w = g.queues.pop() {
		w.state, w.refusal = waiterRefused, refusal
		close(w.decided)
	}
}

// errLeaving is the refusal of a request while the target is leaving.
func errLeaving() *fault.Error {
	return fault.New(fault.Leaving, fault.NotRun, "the target is leaving")
}

// Return opens a gate again whose target is no longer leaving.
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

// Drained is closed when the gate is leaving and nothing is in flight.
func (g *Gate) Drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainDone
}

// Own counts the requests in flight that this gate admitted.
func (g *Gate) OwnInFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Load is the state now.
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
