package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/retrybudget"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/routing"
	"github.com/capersaddle/capersaddle/internal/shutdown"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// Options sets limits of the gateway and connects it to the state of its process and its peers.
type Options struct {
	// KeyFreshness is the maximum age of the proof of the newest configuration when a request with
	// a key is sent; zero means no limit.
	KeyFreshness time.Duration
	// DenyFreshness is the maximum age of that proof when a request is denied for an unknown route
	// or key. With an older proof the request is refused as retryable instead.
	DenyFreshness time.Duration
	// PeersReachable reports whether heartbeats of other gateways arrive; nil means never.
	PeersReachable func() bool
	// ProcessLate reports whether this process is short of CPU time now, so that its own time
	// limits pass before it has read what a target sent; nil means never.
	ProcessLate func() bool
	// StreamDelay is how soon after its creation callers want each event of a stream; zero passes
	// on each event at once.
	StreamDelay time.Duration
	// PeersConfigured reports whether another live gateway, one that isn't stopping, has a
	// configuration; nil means always.
	PeersConfigured func() bool
}

// Directory tracks, across all gateways, where parts of prompts are cached and which targets have
// ended.
type Directory interface {
	// Find lets the balancer learn where parts are cached. It returns when that is known, or after
	// a short time anyway.
	Find(ctx context.Context, parts []uint32) balance.Finding
	// Filling reports the parts that targets have begun to prefill for requests of this process,
	// and Placed the parts that they have finished.
	Filling(placements []balance.Placement)
	Placed(placements []balance.Placement)
	// Refused reports the ID of a target whose address refuses connections.
	Refused(target string)
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	Sender   Sender
	Balancer *balance.Balancer
	Budgets  *retrybudget.Budgets
	// Directory is nil if there are no other gateways.
	Directory Directory
	// Rollouts decides which versions of targets may get a request; nil allows all.
	Rollouts *rollout.Gate
	// Crashes tracks the requests that are held because targets ended while running them; nil holds
	// none.
	Crashes *Crashes
	// Origins records which versions began streams; nil if streams are not resumed at other gateways.
	Origins *Origins
	// Limiters limits what is sent to each service; nil means no limit.
	Limiters *admission.Limiters
	Proof    *freshness.Proof
	// Prove makes the proof cover a time, and reports whether it does. Nil if no newer proof than the present
	// one can be had.
	Prove   func(ctx context.Context, since time.Time) bool
	Events  Recorder
	Options Options
	// Stop is the planned stop of the process.
	Stop shutdown.Stop
	// Spools buffers what callers have not read yet; if nil, a slow caller delays its target.
	Spools *spool.Spools
	// HeldBudget bounds the bytes that the process holds for its callers; nil means no bound.
	HeldBudget *spool.Budget
	inFlight   inFlightAttempts
	// stalls counts packet losses that streams have shown.
	stalls stalls
	// contacts and firstEventTimes serve streams whose target may be unresponsive.
	contacts        contacts
	firstEventTimes routeTimes
	// answerTimes are the times from the arrival of requests to the ends of their answers.
	answerTimes routeTimes
	// table is nil until a configuration is known.
	table atomic.Pointer[routing.Table]
	// moves holds when configurations moved the streams of routes to other services.
	moves streamMoves
}

// Apply puts a configuration in force unless it is no newer than the present one. It reports
// whether the configuration was applied.
func (g *Gateway) Apply(config *routing.Config) bool {
	next := routing.NewTable(config)
	for {
		current := g.table.Load()
		if current != nil && current.Version() >= config.Version {
			return false
		}
		if current != nil {
			g.moves.record(next.MovedStreams(current), clock.Now())
		}
		if g.table.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Table returns the configuration in force, or nil if none is known yet.
func (g *Gateway) Table() *routing.Table {
	return g.table.Load()
}

// Version returns the version of the configuration in force, or zero if none is known yet.
func (g *Gateway) Version() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// Retry-After times in refusals.
const (
	// retryAfterOtherRouter applies if another router can probably serve the request now.
	retryAfterOtherRouter = 20 * time.Millisecond
	// retryAfterStoreOutage applies if no live gateway can vouch for keys, or none has a
	// configuration. Outages of the store last seconds. Callers who have less time retry sooner by
	// themselves.
	retryAfterStoreOutage = time.Second
	// retryAfterShortage applies if the service briefly has no capacity or no target.
	retryAfterShortage = 150 * time.Millisecond
)

// Serve answers a request. It returns when the caller has its final answer or has disconnected.
func (g *Gateway) Serve(ctx context.Context, request *Request, responder Responder) {
	call := &call{gateway: g, request: request, responder: responder}
	if refusal := call.admit(); refusal != nil {
		call.refuse(refusal)
	} else {
		call.run(ctx)
	}
	g.Events.Request(call.record())
}

// admit finds the route and the workspace, or returns why the request can't be served.
func (c *call) admit() *fault.Error {
	if refusal := c.checkAccepting(clock.Check()); refusal != nil {
		return refusal
	}
	table := c.gateway.table.Load()
	if table == nil {
		return fault.New(fault.NotReady, fault.NotRun, "no configuration is known yet").After(c.gateway.retryAfterUnready())
	}
	c.table = table
	route, ok := table.Match(c.request.Host, c.request.Path)
	if !ok {
		return c.deny(fault.New(fault.UnknownRoute, fault.NotRun, "no route for this host and path"))
	}
	c.route = route
	if maxBytes := table.Limits().BodyBytes; maxBytes > 0 && int64(len(c.request.Body)) > maxBytes {
		return fault.New(fault.TooLarge, fault.NotRun, "the body is over %d bytes", maxBytes)
	}
	if !route.Public {
		workspace, ok := table.Workspace(c.request.Key)
		if !ok {
			return c.deny(fault.New(fault.BadKey, fault.NotRun, "unknown API key"))
		}
		c.workspace = workspace
		if stale := c.checkKeyFreshness(clock.Check()); stale != nil {
			return stale
		}
	}
	c.prepare()
	if refusal := c.checkStop(clock.Now()); refusal != nil {
		return refusal
	}
	now := clock.Now()
	if held := c.currentHold(now); held.held() && !c.mayRunTrial(held, now) {
		return c.heldError(held, fault.NotRun, now)
	}
	return nil
}

// deny returns the denial, or a retryable refusal if a newer configuration may allow the request.
func (c *call) deny(denial *fault.Error) *fault.Error {
	if c.gateway.Proof.Within(c.gateway.Options.DenyFreshness, clock.Check()) {
		return denial
	}
	return fault.New(fault.StoreAway, fault.NotRun, "the configuration may be out of date: %s", denial.Message).After(c.gateway.retryAfterStale())
}

// checkKeyFreshness refuses a request with a key if the key may have been revoked since the
// configuration was last proven to be the newest.
func (c *call) checkKeyFreshness(now time.Time) *fault.Error {
	maxAge := c.gateway.Options.KeyFreshness
	if c.workspace == nil || maxAge == 0 || c.gateway.Proof.Within(maxAge, now) {
		return nil
	}
	return fault.New(fault.StoreAway, fault.NotRun, "disconnected from the configuration store for too long to verify the key").After(c.gateway.retryAfterStale())
}

// provenAt returns until when the known targets are proven to be the newest; zero if they never were.
func (g *Gateway) provenAt() time.Time {
	now := clock.Now()
	age, known := g.Proof.Age(now)
	if !known {
		return time.Time{}
	}
	return now.Add(-age)
}

// retryAfterUnready returns when to retry at a gateway that has no configuration yet or is stopping:
// at once if another gateway can serve. If all gateways are starting, an immediate retry would be
// refused again.
func (g *Gateway) retryAfterUnready() time.Duration {
	if g.peersServe() {
		return retryAfterOtherRouter
	}
	return retryAfterStoreOutage
}

// peersServe reports whether another gateway can serve requests.
func (g *Gateway) peersServe() bool {
	return g.Options.PeersConfigured == nil || g.Options.PeersConfigured()
}

// retryAfterStale returns when to retry at a gateway whose proof is too old. Another gateway can
// serve only if this one is cut off from its peers: otherwise their newer proofs would have arrived
// with their heartbeats.
func (g *Gateway) retryAfterStale() time.Duration {
	if g.Options.PeersReachable != nil && g.Options.PeersReachable() {
		return retryAfterStoreOutage
	}
	return retryAfterOtherRouter
}
