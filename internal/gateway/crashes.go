package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// A request may crash every target that runs it. Its caller retries it at any gateway, and
// excluding the targets that have ended only sends it to the next ones. So a gateway that loses a
// request together with its connection finds out whether the target ended. A lost connection alone
// is no proof of that; neither is a planned stop, a caller that disconnected or a failure that was
// answered. If the target ended, that end counts against all requests that were in flight there. A
// request that was in flight at several such ends is held. The same goes for the parts of prompts that
// other requests may share. Source: docs/design/quarantine.md.

// PortProber finds out whether a process listens at a target's address.
type PortProber interface {
	// ProbePort returns true if a new connection was refused. A connection that was established is
	// kept for requests.
	ProbePort(ctx context.Context, target balance.Target) (refused bool)
	// AskHealth asks the target for its health over a new connection, which is kept for requests.
	AskHealth(ctx context.Context, target balance.Target) Health
}

// PeerNotifier sends what is known of a request to other gateways.
type PeerNotifier interface {
	Spread(change quarantine.Change)
	// TrialPlace returns the position of this process among those that may run the trial of a
	// request; 0 is the first.
	TrialPlace(fingerprint quarantine.Fingerprint) int
	// Refused reports the incarnation of a target whose address refuses connections.
	Refused(incarnation string)
}

// CrashWatcher is notified when targets end while running requests.
type CrashWatcher interface {
	// CrashNoted reports that a target ended unplanned while a request was in flight there.
	CrashNoted(target string, change quarantine.Change)
	// TargetEnded reports that a target ended unplanned while requests of this gateway were in flight
	// there.
	TargetEnded(end TargetEnd)
	// QuarantineChanged reports that a request is held from now on, or no longer; peer is the
	// gateway that reported it, empty for none.
	QuarantineChanged(change quarantine.Change, peer string)
	// PartHeld reports that requests with a part are held back from now on, as this process has found.
	// The workspace is that of the request that was held back first.
	PartHeld(part, workspace string, change quarantine.Change)
	// TrialBegan reports that one copy of a held request, or one request with a held part, is sent to a
	// target.
	TrialBegan(target string, change quarantine.Change)
	// RequestSuspected reports that a target fell silent while it ran a request.
	RequestSuspected(target string, change quarantine.Change)
	// HealthAsked reports how a target answered a question about its health.
	HealthAsked(health Health)
}

// Crashes finds out which requests were in flight when targets ended. It is safe for concurrent
// use.
type Crashes struct {
	Table    *quarantine.Table
	Balancer *balance.Balancer
	Prober   PortProber
	// Peers is nil if there are no other gateways.
	Peers   PeerNotifier
	Watcher CrashWatcher

	mu sync.Mutex
	// losses holds the recent losses by incarnation of the target.
	losses map[string]*incarnationLosses
	// incarnations is the size of losses, so that other goroutines can see without locking whether
	// there are any.
	incarnations atomic.Int32
	// inFlight holds the attempts of each request.
	inFlight map[quarantine.Fingerprint]map[*attempt]struct{}
	// partsInFlight holds the attempts of requests with each part that other requests may share.
	partsInFlight map[quarantine.Fingerprint]map[*attempt]struct{}
	// heldParts describes the parts for which requests were held back here.
	heldParts *lru.Cache[quarantine.Fingerprint, *HeldPart]
	// asks limits the questions about the health of targets.
	asks askBudget
	wake chan struct{}
	// ctx ends when Close is called; nil before Start.
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewCrashes returns a Crashes that begins to work with Start.
func NewCrashes(table *quarantine.Table, balancer *balance.Balancer, prober PortProber, watcher CrashWatcher) *Crashes {
	return &Crashes{
		Table:         table,
		Balancer:      balancer,
		Prober:        prober,
		Watcher:       watcher,
		losses:        make(map[string]*incarnationLosses),
		inFlight:      make(map[quarantine.Fingerprint]map[*attempt]struct{}),
		partsInFlight: make(map[quarantine.Fingerprint]map[*attempt]struct{}),
		heldParts:     newHeldParts(),
		asks:          newAskBudget(),
		wake:          make(chan struct{}, 1),
	}
}

// Start begins to check the targets of lost requests.
func (c *Crashes) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.ctx, c.cancel = ctx, cancel
	c.mu.Unlock()
	c.wait.Go(func() { c.run(ctx) })
	return nil
}

// Close stops the checks and waits for them to end.
func (c *Crashes) Close() error {
	c.mu.Lock()
	if c.cancel != nil {
		c.cancel()
	}
	c.mu.Unlock()
	c.wait.Wait()
	return nil
}

// spawn runs a function concurrently, unless the checks have not started or have ended. It reports
// whether it does.
func (c *Crashes) spawn(do func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spawnLocked(do)
}

// spawnLocked is spawn for callers that hold c.mu.
func (c *Crashes) spawnLocked(do func()) bool {
	if c.ctx == nil || c.ctx.Err() != nil {
		return false
	}
	c.wait.Go(do)
	return true
}

// run checks repeatedly while there are undecided losses, and otherwise waits for one.
func (c *Crashes) run(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for c.check(ctx, clock.Now()) {
			timer := time.NewTimer(c.untilNextCheck(clock.Now()))
			select {
			case <-timer.C:
			case <-c.wake:
			case <-ctx.Done():
			}
			timer.Stop()
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// checkSoon triggers a check now.
func (c *Crashes) checkSoon() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// recordAnswered records that a target has answered a request completely.
func (c *Crashes) recordAnswered(fingerprint quarantine.Fingerprint, now time.Time) {
	c.publish(c.Table.Answered(fingerprint, now))
}

// Lift clears a request that operators want to have sent again. It returns false if no crashes
// were recorded for it.
func (c *Crashes) Lift(fingerprint quarantine.Fingerprint, now time.Time) bool {
	change := c.Table.Lift(fingerprint, now)
	c.publish(change)
	return change.Changed
}

// Merge applies a record that another process has stored. Other gateways read the store too, so
// they are sent a change only if this process has cleared the crashes that the record contains.
// Of a record that is loaded at the start of this process, all evidence was known before.
func (c *Crashes) Merge(record quarantine.Record, atStart bool, now time.Time) {
	merge := c.Table.Merge
	if atStart {
		merge = c.Table.Restore
	}
	change := merge(record, now)
	if change.ClearedOnMerge() {
		c.publish(change)
		return
	}
	if change.HoldStarted() || change.HoldEnded() {
		c.Watcher.QuarantineChanged(change, "")
	}
}

// publish reports a change to the watcher and the other gateways.
func (c *Crashes) publish(change quarantine.Change) {
	if !change.Changed {
		return
	}
	if change.HoldStarted() || change.HoldEnded() {
		c.Watcher.QuarantineChanged(change, "")
	}
	if c.Peers != nil {
		c.Peers.Spread(change)
	}
}

// quarantineIncarnation returns the identifier of an incarnation in quarantine records.
func quarantineIncarnation(incarnation string) quarantine.Incarnation {
	return quarantine.Incarnation(policy.HashName(incarnation) >> 32)
}
