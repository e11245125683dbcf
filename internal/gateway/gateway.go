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
	"github.com/capersaddle/capersaddle/internal/spool"
)

// Options bound what the gateway does by itself.
type Options struct {
	// KeyFreshness is how old the proof of the newest configuration may be
	// when a request with a key is sent; zero sets no bound.
	KeyFreshness time.Duration
	// DenyFreshness is how old it may be when a request is denied for an
	// unknown route or key; past it the request is put off instead.
	DenyFreshness time.Duration
	// Accompanied says whether other gateways are heard; nil is never.
	PeersReachable func() bool
	// Late says whether this process lacks processor time now, so that its own
	// time limits pass before it has read what a target sent; nil is never.
	ProcessLate func() bool
	// Pass is within which time of its making callers want each event of a stream; zero
	// passes on each at once.
	StreamDelay time.Duration
	// PeersConfigured says whether another live gateway has a configuration; nil is
	// always.
	PeersConfigured func() bool
}

// Directory keeps track, over all gateways, of where parts of prompts are
// cached, and of targets that have ended.
type Directory interface {
	// Find has the balancer learn where parts are cached; it returns when that
	// is known, or after a moment anyway.
	Find(ctx context.Context, parts []uint32) balance.Finding
	// Filling takes the parts that targets have begun to read for requests of
	// this process, and Placed those that they have read.
	Filling(placements []balance.Placement)
	Placed(placements []balance.Placement)
	// Refused takes the id of a target at whose address nothing listens.
	Refused(target string)
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	Sender   Sender
	Balancer *balance.Balancer
	Budgets  *retrybudget.Budgets
	// Directory is nil where no other gateways are.
	Directory Directory
	// Rollouts says which versions of targets may get a request; nil for all.
	Rollouts *rollout.Gate
	// Crashes says which requests are held back since targets ended under them; nil for none.
	Crashes *Crashes
	// Limiters bound what is sent to each service; nil for no bound.
	Limiters *admission.Limiters
	Proof    *freshness.Proof
	Events   Recorder
	Options  Options
	// Spools hold what callers have not read yet; nil has each of them keep its target
	// waiting.
	Spools   *spool.Spools
	inFlight inFlightAttempts
	// stalls are losses of packets that streams have shown.
	stalls stalls
	// contacts and firstEventTimes are for streams whose target may be dark.
	contacts        contacts
	firstEventTimes firstEventTimes
	// table is nil until a configuration is known.
	table atomic.Pointer[routing.Table]
}

// Apply puts a configuration in force. One that is not newer is passed over;
// the result says whether it was taken.
func (g *Gateway) Apply(config *routing.Config) bool {
	next := routing.NewTable(config)
	for {
		current := g.table.Load()
		if current != nil && current.Version() >= config.Version {
			return false
		}
		if g.table.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Table is the configuration in force; nil until one is known.
func (g *Gateway) Table() *routing.Table {
	return g.table.Load()
}

// Version is that of the configuration in force; zero until one is known.
func (g *Gateway) Version() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// Times to come back after, in refusals.
const (
	// retryAfterOtherRouter: another router can probably serve the request now.
	retryAfterOtherRouter = 20 * time.Millisecond
	// retryAfterStoreOutage: no live gateway can vouch for keys, or none has a
	// configuration. Outages of the store last seconds; callers who have less
	// time come back sooner by themselves.
	retryAfterStoreOutage = time.Second
	// retryAfterShortage: the service has no room, or no target, for a moment.
	retryAfterShortage = 150 * time.Millisecond
)

// Serve has a request answered. It returns when the caller has its final
// answer, or has left.
func (g *Gateway) Serve(ctx context.Context, request *Request, responder Responder) {
	call := &call{gateway: g, request: request, responder: responder}
	if refusal := call.admit(); refusal != nil {
		call.refuse(refusal)
	} else {
		call.run(ctx)
	}
	g.Events.Request(call.record())
}

// admit finds route and workspace, or says why the request can't be served.
func (c *call) admit() *fault.Error {
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
	if now := clock.Now(); c.isHeldBack(now) && !c.mayRunTrial(now) {
		return c.heldBackError(fault.NotRun, now)
	}
	return nil
}

// deny gives a denial, or puts the request off when a newer configuration may
// allow it.
func (c *call) deny(denial *fault.Error) *fault.Error {
	if c.gateway.Proof.Within(c.gateway.Options.DenyFreshness, clock.Check()) {
		return denial
	}
	return fault.New(fault.StoreAway, fault.NotRun, "the configuration may be out of date: %s", denial.Message).After(c.gateway.retryAfterStale())
}

// checkKeyFreshness refuses a request with a key when the key may have been taken
// away since the configuration was last proven to be the newest.
func (c *call) checkKeyFreshness(now time.Time) *fault.Error {
	maxAge := c.gateway.Options.KeyFreshness
	if c.workspace == nil || maxAge == 0 || c.gateway.Proof.Within(maxAge, now) {
		return nil
	}
	return fault.New(fault.StoreAway, fault.NotRun, "cut off from the configuration for too long to vouch for the key").After(c.gateway.retryAfterStale())
}

// retryAfterUnready is when to come back to a gateway that knows no configuration
// yet: at once if another one can serve. Where all begin anew, who came back at
// once would be refused again.
func (g *Gateway) retryAfterUnready() time.Duration {
	if g.Options.PeersConfigured == nil || g.Options.PeersConfigured() {
		return retryAfterOtherRouter
	}
	return retryAfterStoreOutage
}

// retryAfterStale is when to come back to a gateway whose proof is too old. Another
// one can serve only if this one is cut off from the others: their proofs
// would have come with their beats.
func (g *Gateway) retryAfterStale() time.Duration {
	if g.Options.PeersReachable != nil && g.Options.PeersReachable() {
		return retryAfterStoreOutage
	}
	return retryAfterOtherRouter
}
