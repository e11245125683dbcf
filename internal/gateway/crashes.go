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
	// knockFirst is how long after a loss its target's address is tried: a process that dies
	// closes what it has within a moment. knockAgain is how long after that once more. Until
	// the end is known the request may come again, and end the next target.
	knockFirst = 5 * time.Millisecond
	knockAgain = 100 * time.Millisecond
	// mostKnocks is how often it is tried after the last loss there. Left to the callers'
	// connections, the first one was refused 1.7 s after an end.
	mostKnocks = 2
	// knockTimeout bounds one try.
	knockTimeout = 300 * time.Millisecond
	// lookEvery is the time between two looks at whether targets have ended, while that is
	// open for some.
	lookEvery = 50 * time.Millisecond
	// lossLife is for how long after a loss the end of its target counts: entries lapse
	// three heartbeats after the last, which is 3.6 s, and are known a moment later.
	lossLife = 6 * time.Second
	// mostLosses bounds the losses at one life of a target; that many requests are rarely
	// under way at one from one gateway.
	mostLosses = 256
)

// Knocker finds out whether something listens at a target's address.
type Knocker interface {
	// Knock returns true if a new connection was refused. One that came up is kept for
	// requests.
	Knock(ctx context.Context, target balance.Target) (refused bool)
}

// Spreader passes on what is known of a request to other gateways.
type Spreader interface {
	Spread(change quarantine.Change)
	// TrialPlace is the place of this process among those that may try a request, 0 for
	// the first.
	TrialPlace(print quarantine.Fingerprint) int
	// Refused takes the life of a target at whose address nothing listens.
	Refused(life string)
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
	Knocker  Knocker
	// Spreader is nil where no other gateways are.
	Spreader Spreader
	Watcher  CrashWatcher

	mu sync.Mutex
	// lives are those of targets at which requests were lost a moment ago, by name.
	lives map[string]*losses
	// open is how many of them there are, for who only wants to know whether any is.
	open   atomic.Int32
	wake   chan struct{}
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// losses are the requests that were lost at one life of a target.
type losses struct {
	target balance.Target
	all    []loss
	// knocks counts the tries of its address since the last loss, and knockAt is when the
	// next one is due; knocking says that one is under way.
	knocks   int
	knockAt  time.Time
	knocking bool
}

// loss is a request that was lost.
type loss struct {
	print     quarantine.Fingerprint
	began, at time.Time
	// broke says that its connection ended.
	broke bool
}

// under says whether the request was under way when its target ended. Where the
// target's entry went first and its connections later, it served on, as one does that leaves.
func (l loss) under(end balance.End) bool {
	if end.Unlisted && l.broke && !l.at.Before(end.At) {
		return false
	}
	return l.began.Before(end.At)
}

// NewCrashes returns a watch that Start begins.
func NewCrashes(table *quarantine.Table, balancer *balance.Balancer, knocker Knocker, watcher CrashWatcher) *Crashes {
	return &Crashes{Table: table, Balancer: balancer, Knocker: knocker, Watcher: watcher, lives: make(map[string]*losses), wake: make(chan struct{}, 1)}
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
		for c.look(ctx, clock.Now()) {
			timer := time.NewTimer(c.nextLook(clock.Now()))
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

// nextLook is the time until the next look is due.
func (c *Crashes) nextLook(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := lookEvery
	for _, known := range c.lives {
		if known.knocks < mostKnocks && !known.knocking {
			next = min(next, known.knockAt.Sub(now))
		}
	}
	return max(next, 0)
}

// lookSoon has a look begin now.
func (c *Crashes) lookSoon() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// lost notes an attempt that was lost at its target. If its connection ended, whether
// anything listens there is worth a try.
func (c *Crashes) lost(a *attempt, now time.Time) {
	life, broke := a.life, a.loss == brokeOff
	if !c.Balancer.Serving(life) {
		return // its end, if it comes, is a planned one
	}
	c.mu.Lock()
	known, ok := c.lives[life]
	if !ok {
		known = &losses{target: a.pick.Target, knocks: mostKnocks}
		c.lives[life] = known
		c.open.Add(1)
	}
	if len(known.all) < mostLosses {
		known.all = append(known.all, loss{print: a.call.print, began: a.started, at: now, broke: broke})
	}
	if broke && known.knocks > 0 {
		known.knocks, known.knockAt = 0, now.Add(knockFirst)
	}
	c.mu.Unlock()
	c.lookSoon()
}

// heard notes an answer of a target to a request that was sent at a moment: who was lost
// before that was not lost with the target.
func (c *Crashes) heard(life string, sent time.Time) {
	if c.open.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.lives[life]
	if !ok {
		return
	}
	kept := known.all[:0]
	for _, lost := range known.all {
		if !lost.at.Before(sent) {
			kept = append(kept, lost)
		}
	}
	known.all = kept
}

// answered notes that a target has answered a request whole.
func (c *Crashes) answered(print quarantine.Fingerprint, now time.Time) {
	c.changed(c.Table.Answered(print, now))
}

// Lift has a request sent again that was held back; false if it was not.
func (c *Crashes) Lift(print quarantine.Fingerprint, now time.Time) bool {
	change := c.Table.Lift(print, now)
	c.changed(change)
	return change.Changed
}

// Merge takes what another process has kept in the store of a request. Other gateways read it
// there too, and get only what is held against it.
func (c *Crashes) Merge(record quarantine.Record, now time.Time) {
	change := c.Table.Restore(record, now)
	if change.ClearedOnMerge() {
		c.changed(change)
		return
	}
	if change.HoldStarted() || change.HoldEnded() {
		c.Watcher.QuarantineChanged(change, "")
	}
}

// changed passes on what is new.
func (c *Crashes) changed(change quarantine.Change) {
	if !change.Changed {
		return
	}
	if change.HoldStarted() || change.HoldEnded() {
		c.Watcher.QuarantineChanged(change, "")
	}
	if c.Spreader != nil {
		c.Spreader.Spread(change)
	}
}

// look takes what has come out since the last look; it returns false once nothing is open.
func (c *Crashes) look(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for life, known := range c.lives {
		if end := c.Balancer.EndOf(life); end.Known() {
			c.settle(life, known, end, now)
			known.all = nil
		}
		known.forget(now)
		if len(known.all) == 0 && !known.knocking {
			delete(c.lives, life)
			c.open.Add(-1)
			continue
		}
		if known.knocks < mostKnocks && !known.knocking && !now.Before(known.knockAt) {
			c.knock(ctx, life, known)
		}
	}
	return len(c.lives) > 0
}

// forget drops losses whose target has not ended in time.
func (l *losses) forget(now time.Time) {
	kept := l.all[:0]
	for _, lost := range l.all {
		if now.Sub(lost.at) < lossLife {
			kept = append(kept, lost)
		}
	}
	l.all = kept
}

// settle holds the end of a target against all requests that were under way there; c.mu is
// held.
func (c *Crashes) settle(life string, known *losses, end balance.End, now time.Time) {
	name := lifeName(life)
	for _, lost := range known.all {
		if !lost.under(end) {
			continue
		}
		change := c.Table.Crashed(lost.print, name, now)
		if change.Changed {
			c.Watcher.CrashNoted(known.target.ID, change)
		}
		c.changed(change)
	}
}

// lifeName names a life of a target in records.
func lifeName(life string) quarantine.Instance {
	return quarantine.Instance(policy.HashName(life) >> 32)
}

// knock tries a target's address; c.mu is held.
func (c *Crashes) knock(ctx context.Context, life string, known *losses) {
	known.knocking = true
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, knockTimeout)
		defer cancel()
		refused := c.Knocker.Knock(ctx, known.target)
		defer c.lookSoon()
		now := clock.Now()
		if refused && c.Balancer.NoteSilentPort(life, now) && c.Spreader != nil {
			c.Spreader.Refused(life)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		known.knocking = false
		known.knocks++
		known.knockAt = now.Add(knockAgain)
		if refused {
			known.knocks = mostKnocks
		}
	})
}

// lossKind is how an attempt was lost.
type lossKind int

const (
	// notLost: it was answered, was not sent, or ended for a reason of this process or the
	// caller.
	notLost lossKind = iota
	// wentSilent: nothing came any more.
	wentSilent
	// brokeOff: its connection ended.
	brokeOff
)

// judge says what the attempt shows of its target's life.
func (a *attempt) judge(ctx context.Context, now time.Time) {
	crashes := a.call.gateway.Crashes
	switch {
	case crashes == nil:
	case a.result == balance.Good || a.failedItself:
		crashes.answered(a.call.print, now)
	case a.loss == notLost || a.call.callerLeft(ctx):
	default:
		crashes.lost(a, now)
	}
}
