package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// A request may end every target that begins to run it. It comes again, at any gateway, and
// to leave out the targets that ended only sends it to the next ones. So a gateway that
// loses a request with a connection finds out whether the target ended: a lost connection
// alone is no end of a target, and a planned stop, a caller that left and a failure that was
// answered are none either. If it ended, all requests that were under way there were at
// an end. One that was at several is held back. Source: docs/design/quarantine.md.

const (
	// firstProbeDelay is how long after a loss its target's address is tried: a process that dies
	// closes what it has within a moment. probeInterval is how long after that once more. Until
	// the end is known the request may come again, and end the next target.
	firstProbeDelay = 5 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	// maxProbes is how often it is tried after the last loss there. Left to the callers'
	// connections, the first one was refused 1.7 s after an end.
	maxProbes = 2
	// probeTimeout bounds one try.
	probeTimeout = 300 * time.Millisecond
	// checkInterval is the time between two looks at whether targets have ended, while that is
	// open for some.
	checkInterval = 50 * time.Millisecond
	// lossTTL is for how long after a loss the end of its target counts: entries lapse
	// three heartbeats after the last, which is 3.6 s, and are known a moment later.
	lossTTL = 6 * time.Second
	// maxLosses bounds the losses at one life of a target; that many requests are rarely
	// under way at one from one gateway.
	maxLosses = 256
)

// Knocker finds out whether something listens at a target's address.
type PortProber interface {
	// Knock returns true if a new connection was refused. One that came up is kept for
	// requests.
	ProbePort(ctx context.Context, target balance.Target) (refused bool)
}

// Spreader passes on what is known of a request to other gateways.
type PeerNotifier interface {
	Spread(change quarantine.Change)
	// TrialPlace is the place of this process among those that may try a request, 0 for
	// the first.
	TrialPlace(fingerprint quarantine.Fingerprint) int
	// Refused takes the life of a target at whose address nothing listens.
	Refused(incarnation string)
}

// CrashWatcher is notified of ends of targets under requests.
type CrashWatcher interface {
	// CrashNoted: a target ended without a plan while a request was under way there.
	CrashNoted(target string, change quarantine.Change)
	// QuarantineChanged: a request is held back from now on, or no more; the peer is the one
	// that said so, empty for none.
	QuarantineChanged(change quarantine.Change, peer string)
	// TrialBegan: one copy of a request that is held back is sent to a target.
	TrialBegan(target string, change quarantine.Change)
}

// Crashes finds out which requests were under way when targets ended. It is safe for
// concurrent use.
type Crashes struct {
	Table    *quarantine.Table
	Balancer *balance.Balancer
	Prober   PortProber
	// Spreader is nil where no other gateways are.
	Peers   PeerNotifier
	Watcher CrashWatcher

	mu sync.Mutex
	// lives are those of targets at which requests were lost a moment ago, by name.
	losses map[string]*incarnationLosses
	// open is how many of them there are, for who only wants to know whether any is.
	incarnations atomic.Int32
	wake         chan struct{}
	cancel       context.CancelFunc
	wait         sync.WaitGroup
}

// losses are the requests that were lost at one life of a target.
type incarnationLosses struct {
	target   balance.Target
	requests []lostRequest
	// knocks counts the tries of its address since the last loss, and nextProbe is when the
	// next one is due; knocking says that one is under way.
	probes    int
	nextProbe time.Time
	probing   bool
}

// loss is a request that was lost.
type lostRequest struct {
	fingerprint quarantine.Fingerprint
	began, at   time.Time
	// broke says that its connection ended.
	disconnected bool
}

// under says whether the request was under way when its target ended. Where the
// target's entry went first and its connections later, it served on, as one does that leaves.
func (l lostRequest) inFlightAt(end balance.End) bool {
	if end.Unlisted && l.disconnected && !l.at.Before(end.At) {
		return false
	}
	return l.began.Before(end.At)
}

// NewCrashes returns a watch that Start begins.
func NewCrashes(table *quarantine.Table, balancer *balance.Balancer, knocker PortProber, watcher CrashWatcher) *Crashes {
	return &Crashes{Table: table, Balancer: balancer, Prober: knocker, Watcher: watcher, losses: make(map[string]*incarnationLosses), wake: make(chan struct{}, 1)}
}

// Start begins to look at what is lost.
func (c *Crashes) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wait.Go(func() { c.run(ctx) })
	return nil
}

// Close ends that and waits.
func (c *Crashes) Close() error {
	if c.cancel != nil {
		c.cancel()
	}
	c.wait.Wait()
	return nil
}

// run looks again and again while something is open, and rests otherwise.
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

// untilNextCheck is the time until the next look is due.
func (c *Crashes) untilNextCheck(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := checkInterval
	for _, known := range c.losses {
		if known.probes < maxProbes && !known.probing {
			next = min(next, known.nextProbe.Sub(now))
		}
	}
	return max(next, 0)
}

// checkSoon has a look begin now.
func (c *Crashes) checkSoon() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// lost notes an attempt that was lost at its target. If its connection ended, whether
// anything listens there is worth a try.
func (c *Crashes) recordLoss(a *attempt, now time.Time) {
	incarnation, disconnected := a.incarnation, a.loss == lossDisconnected
	if !c.Balancer.Serving(incarnation) {
		return // its end, if it comes, is a planned one
	}
	c.mu.Lock()
	known, ok := c.losses[incarnation]
	if !ok {
		known = &incarnationLosses{target: a.pick.Target, probes: maxProbes}
		c.losses[incarnation] = known
		c.incarnations.Add(1)
	}
	if len(known.requests) < maxLosses {
		known.requests = append(known.requests, lostRequest{fingerprint: a.call.fingerprint, began: a.started, at: now, disconnected: disconnected})
	}
	if disconnected && known.probes > 0 {
		known.probes, known.nextProbe = 0, now.Add(firstProbeDelay)
	}
	c.mu.Unlock()
	c.checkSoon()
}

// heard notes an answer of a target to a request that was sent at a moment: who was lost
// before that was not lost with the target.
func (c *Crashes) recordHead(incarnation string, sent time.Time) {
	if c.incarnations.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.losses[incarnation]
	if !ok {
		return
	}
	kept := known.requests[:0]
	for _, lost := range known.requests {
		if !lost.at.Before(sent) {
			kept = append(kept, lost)
		}
	}
	known.requests = kept
}

// answered notes that a target has answered a request whole.
func (c *Crashes) recordAnswered(fingerprint quarantine.Fingerprint, now time.Time) {
	c.publish(c.Table.Answered(fingerprint, now))
}

// Lift has a request sent again that was held back; false if it was not.
func (c *Crashes) Lift(fingerprint quarantine.Fingerprint, now time.Time) bool {
	change := c.Table.Lift(fingerprint, now)
	c.publish(change)
	return change.News
}

// Merge takes what another process has kept in the store of a request. Other gateways read it
// there too, and get only what is held against it.
func (c *Crashes) Merge(record quarantine.Record, now time.Time) {
	change := c.Table.Restore(record, now)
	if change.Objects() {
		c.publish(change)
		return
	}
	if change.Begins() || change.Ends() {
		c.Watcher.QuarantineChanged(change, "")
	}
}

// changed passes on what is new.
func (c *Crashes) publish(change quarantine.Change) {
	if !change.News {
		return
	}
	if change.Begins() || change.Ends() {
		c.Watcher.QuarantineChanged(change, "")
	}
	if c.Peers != nil {
		c.Peers.Spread(change)
	}
}

// look takes what has come out since the last look; it returns false once nothing is open.
func (c *Crashes) check(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, known := range c.losses {
		if end := c.Balancer.EndOf(incarnation); end.Known() {
			c.recordCrashes(incarnation, known, end, now)
			known.requests = nil
		}
		known.dropExpired(now)
		if len(known.requests) == 0 && !known.probing {
			delete(c.losses, incarnation)
			c.incarnations.Add(-1)
			continue
		}
		if known.probes < maxProbes && !known.probing && !now.Before(known.nextProbe) {
			c.probe(ctx, incarnation, known)
		}
	}
	return len(c.losses) > 0
}

// forget drops losses whose target has not ended in time.
func (l *incarnationLosses) dropExpired(now time.Time) {
	kept := l.requests[:0]
	for _, lost := range l.requests {
		if now.Sub(lost.at) < lossTTL {
			kept = append(kept, lost)
		}
	}
	l.requests = kept
}

// settle holds the end of a target against all requests that were under way there; c.mu is
// held.
func (c *Crashes) recordCrashes(incarnation string, known *incarnationLosses, end balance.End, now time.Time) {
	name := quarantineLife(incarnation)
	for _, lost := range known.requests {
		if !lost.inFlightAt(end) {
			continue
		}
		change := c.Table.Crashed(lost.fingerprint, name, now)
		if change.News {
			c.Watcher.CrashNoted(known.target.ID, change)
		}
		c.publish(change)
	}
}

// quarantineLife names a life of a target in records.
func quarantineLife(incarnation string) quarantine.Life {
	return quarantine.Life(policy.HashName(incarnation) >> 32)
}

// knock tries a target's address; c.mu is held.
func (c *Crashes) probe(ctx context.Context, incarnation string, known *incarnationLosses) {
	known.probing = true
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		refused := c.Prober.ProbePort(ctx, known.target)
		defer c.checkSoon()
		now := clock.Now()
		if refused && c.Balancer.NoteSilentPort(incarnation, now) && c.Peers != nil {
			c.Peers.Refused(incarnation)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		known.probing = false
		known.probes++
		known.nextProbe = now.Add(probeInterval)
		if refused {
			known.probes = maxProbes
		}
	})
}

// lossKind is how an attempt was lost.
type lossKind int

const (
	// lossNone: it was answered, was not sent, or ended for a reason of this process or the
	// caller.
	lossNone lossKind = iota
	// lossSilent: nothing came any more.
	lossSilent
	// lossDisconnected: its connection ended.
	lossDisconnected
)

// judge says what the attempt shows of its target's life.
func (a *attempt) reportToCrashes(ctx context.Context, now time.Time) {
	crashes := a.call.gateway.Crashes
	switch {
	case crashes == nil:
	case a.result == balance.Good || a.failedItself:
		crashes.recordAnswered(a.call.fingerprint, now)
	case a.loss == lossNone || a.call.callerLeft(ctx):
	default:
		crashes.recordLoss(a, now)
	}
}
