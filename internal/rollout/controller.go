package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// stepInterval is the time between two evaluations of all rollouts. It is short compared
	// with the time between reports.
	stepInterval = 100 * time.Millisecond
	// moveStepInterval is the same during a move, whose last moment for a commit must not be
	// missed: commitReserve leaves the store some 150 ms after that moment. Steps every 100 ms
	// reduced this to 50 ms.
	moveStepInterval = 20 * time.Millisecond
	// maxStepGap is the time since the last step after which reports are no longer answered: the
	// process was stalled, and another gateway may have become the decider.
	maxStepGap = 500 * time.Millisecond
	// noticeInterval and noticeRepeats control how often the end of an order is announced again,
	// since datagrams get lost.
	noticeInterval = 250 * time.Millisecond
	noticeRepeats  = 4
	// maxPeersTTL is how long a controller remembers the largest number of gateways seen. It is
	// long compared with orders and network partitions. A fleet that shrinks to less than half
	// has to wait this long for its next completion.
	maxPeersTTL = time.Hour
	// maxPendingSteps limits the steps queued for the watcher between two evaluations.
	maxPendingSteps = 256
)

// Registry lists the registered targets.
type Registry interface {
	// Versions returns the number of targets per version of a service, or nil if the service is
	// unknown.
	Versions(service string) map[string]int
}

// ControllerOptions holds the options and dependencies of a controller.
type ControllerOptions struct {
	Options Options
	Store   Store
	// Peers is nil for a single gateway, which decides about all services.
	Peers Peers
	// Registry may be nil if only orders are passed in and Start isn't called.
	Registry Registry
	Watcher  Watcher
}

// Controller moves traffic as the operators order it. It decides about some services, and follows
// the gateways that decide about the others. It is safe for concurrent use. It calls none of its
// dependencies while it holds a lock, so that they may call it while holding theirs.
type Controller struct {
	options ControllerOptions
	gate    *Gate
	// startCommit begins a write, and arranges for commitDone to be called with the result.
	startCommit func(pending pendingCommit)
	wake        chan struct{}
	cancel      context.CancelFunc
	ctx         context.Context
	wait        sync.WaitGroup

	mu             sync.Mutex
	deciders       map[string]*deciderState
	reportInterval time.Duration
	// maxPeers is the largest number of other gateways seen recently, and maxPeersAt is when they
	// were seen.
	maxPeers   int
	maxPeersAt time.Time
	// steppedAt is the time of the last evaluation of the rollouts.
	steppedAt time.Time
	notices   []notice
	// steps are queued for the watcher.
	steps []Step
}

// notice is an unsolicited grant to be sent at a given time.
type notice struct {
	grant Grant
	at    time.Time
}

// NewController returns a controller, which Start runs.
func NewController(options ControllerOptions) *Controller {
	c := &Controller{
		options:        options,
		gate:           NewGate(options.Options),
		wake:           make(chan struct{}, 1),
		deciders:       make(map[string]*deciderState),
		reportInterval: reportInterval(options.Options, 1),
	}
	c.startCommit = c.commitAsync
	return c
}

// Gate returns this gateway's gate, which applies all rollouts to its requests.
func (c *Controller) Gate() *Gate {
	return c.gate
}

// Start begins to evaluate the rollouts in the background.
func (c *Controller) Start(context.Context) error {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wait.Go(func() {
		for c.ctx.Err() == nil {
			c.step(clock.Check())
			timer := time.NewTimer(c.nextStepDelay())
			select {
			case <-timer.C:
			case <-c.wake:
			case <-c.ctx.Done():
			}
			timer.Stop()
		}
	})
	return nil
}

// nextStepDelay returns the time until the next evaluation of all rollouts.
func (c *Controller) nextStepDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := stepInterval
	for _, d := range c.deciders {
		if d.decides && d.decider != nil {
			next = min(next, d.decider.stepInterval())
		}
	}
	return next
}

// Close stops the background work and waits for it to end.
func (c *Controller) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}

// requestStep triggers an evaluation of the rollouts soon.
func (c *Controller) requestStep() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Ordered handles an order from the replica of the store. Like Withdrawn and Recorded, it doesn't
// block.
func (c *Controller) Ordered(order Order) {
	c.ordered(order, clock.Now())
}

func (c *Controller) ordered(order Order, now time.Time) {
	var listed map[string]int
	if c.options.Registry != nil {
		listed = c.options.Registry.Versions(order.Service)
	}
	if !c.gate.ordered(order, listed, now) {
		return
	}
	c.addStep(Step{Kind: StepOrdered, Service: order.Service, Version: order.Version, Order: order.Revision})
	c.requestStep()
}

// Withdrawn handles the removal of a service's order from the store.
func (c *Controller) Withdrawn(service string) {
	c.withdrawn(service, clock.Now())
}

func (c *Controller) withdrawn(service string, now time.Time) {
	c.gate.Withdrawn(service, now)
	c.requestStep()
}

// Recorded handles a record and its revision from the replica of the store.
func (c *Controller) Recorded(record Record, revision int64) {
	c.recorded(record, revision, "", clock.Now())
}

func (c *Controller) recorded(record Record, revision int64, reason string, now time.Time) {
	before, taken := c.gate.recorded(record, revision, now)
	if !taken {
		return
	}
	c.requestStep()
	if before.Order.Revision == record.Order.Revision && before.State == record.State {
		return // only the time elapsed since the order has changed
	}
	c.addStep(Step{
		Kind: StepRecorded, Service: record.Order.Service, Version: record.Order.Version,
		Order: record.Order.Revision, State: record.State, Reason: reason, Age: record.Elapsed,
	})
}

// addStep queues a step for the watcher.
func (c *Controller) addStep(step Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addStepLocked(step)
}

// addStepLocked is addStep with c.mu held.
func (c *Controller) addStepLocked(step Step) {
	if d := c.deciders[step.Service]; d != nil && d.decider != nil {
		step.Requests, step.Exposed = d.decider.totals()
	}
	if len(c.steps) < maxPendingSteps {
		c.steps = append(c.steps, step)
	}
}

// serviceInput is what the dependencies report about a service.
type serviceInput struct {
	view     view
	decides  bool
	versions map[string]int
}

// step evaluates all rollouts. While none is running it only counts the gateways.
func (c *Controller) step(now time.Time) {
	var inputs []serviceInput
	for _, v := range c.gate.views(now) {
		if !v.running && v.withdrawnOrder.Revision == 0 {
			continue
		}
		input := serviceInput{view: v, decides: c.options.Peers == nil || c.options.Peers.Decides(v.service)}
		if v.running {
			input.versions = c.options.Registry.Versions(v.service)
		}
		inputs = append(inputs, input)
	}
	var livePeers []string
	if c.options.Peers != nil {
		livePeers = c.options.Peers.LiveIDs()
	}
	steps, commits := c.stepAll(inputs, livePeers, c.options.Store.Reachable(), now)
	for _, step := range steps {
		c.options.Watcher.RolloutStep(step)
	}
	for _, pending := range commits {
		c.startCommit(pending)
	}
}

// stepAll decides about the services whose rollouts are running.
func (c *Controller) stepAll(inputs []serviceInput, livePeers []string, reachable bool, now time.Time) ([]Step, []pendingCommit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stoodStill := !c.steppedAt.IsZero() && now.Sub(c.steppedAt) > maxSoleGap
	c.steppedAt = now
	for name, d := range c.deciders {
		active := slices.ContainsFunc(inputs, func(input serviceInput) bool { return input.view.service == name })
		if !active && !d.commitInFlight {
			delete(c.deciders, name)
		}
	}
	var commits []pendingCommit
	minority := c.inMinority(len(livePeers), now)
	if len(inputs) > 0 {
		c.reportInterval = reportInterval(c.options.Options, len(livePeers)+1)
	}
	for _, input := range inputs {
		d := c.deciderFor(input.view.service)
		input.decides = input.decides && (reachable || !minority)
		d.noteReachable(reachable)
		tookOver := input.decides && !d.decides
		d.decides = input.decides
		if !input.decides {
			continue
		}
		decision := c.stepOne(d, input, tookOver, stepInput{
			view: input.view, reportInterval: c.reportInterval, livePeers: livePeers, minority: minority, maxPeers: c.maxPeers, reachable: reachable, stoodStill: stoodStill,
			versions: input.versions, committing: d.commitInFlight, completionUnresolved: d.hasUnresolved(input.view),
		}, now)
		if pending, ok := d.nextCommit(decision, input.view.revision, now); ok {
			commits = append(commits, pending)
		}
	}
	steps := c.steps
	c.steps = nil
	return steps, commits
}

// deciderFor returns a service's state, creating it if necessary. The caller must hold c.mu.
func (c *Controller) deciderFor(service string) *deciderState {
	d := c.deciders[service]
	if d == nil {
		d = new(deciderState)
		c.deciders[service] = d
	}
	return d
}

// inMinority reports whether this process is in contact with less than half of the gateways that
// there were. It is probably the one that is partitioned off then, so it begins no move, completes
// nothing, and halts no version for lack of evidence. If it can't reach the store either, no other
// gateway could tell it of a halt, so it grants itself nothing. The caller must hold c.mu.
func (c *Controller) inMinority(livePeers int, now time.Time) bool {
	if livePeers >= c.maxPeers || now.Sub(c.maxPeersAt) > maxPeersTTL {
		c.maxPeers, c.maxPeersAt = livePeers, now
	}
	return 2*(livePeers+1) < c.maxPeers+1
}

// stepOne decides about one service. The caller must hold c.mu.
func (c *Controller) stepOne(d *deciderState, input serviceInput, tookOver bool, s stepInput, now time.Time) decision {
	report, running := c.gate.report(input.view.service, now)
	if !input.view.running || !running {
		return c.stepWithdrawn(input.view, now)
	}
	s.report = report
	if d.decider == nil || d.decider.order.Version != input.view.order.Version || d.decider.firstRevision != input.view.firstRevision {
		d.decider = newDecider(c.options.Options, input.view, now)
		d.stage, d.halted = Hold, false
	}
	if tookOver {
		d.decider.reset(now)
	}
	decision := d.decider.step(s, now)
	c.noteStage(d, decision, now)
	// No peer answers the gateway's own reports, so its grant is applied as if they had been
	// sent.
	c.gate.applyGrant(d.decider.answerReport(NameHash(input.view.service), now), now, now)
	return decision
}

// noteStage queues a step for the watcher if the allowed stage has changed. The caller must hold
// c.mu.
func (c *Controller) noteStage(d *deciderState, decision decision, now time.Time) {
	step := Step{
		Kind: StepStage, Service: d.decider.order.Service, Version: d.decider.order.Version,
		Order: d.decider.order.Revision, Stage: d.decider.stage, Reason: decision.reason,
		Age: now.Sub(d.decider.knownSince),
	}
	halted := d.decider.haltReason != ""
	switch {
	case halted && !d.halted:
		step.Kind = StepHalted
		c.notifyEndLocked(d.decider.answerReport(NameHash(step.Service), now), now)
	case d.stage == d.decider.stage || halted:
		return
	}
	d.stage, d.halted = d.decider.stage, halted
	c.addStepLocked(step)
}

// notifyEndLocked schedules notices of an order's end to all other gateways. The caller must hold
// c.mu.
func (c *Controller) notifyEndLocked(grant Grant, now time.Time) {
	for i := range noticeRepeats {
		c.notices = append(c.notices, notice{grant: grant, at: now.Add(time.Duration(i) * noticeInterval)})
	}
}

// stepWithdrawn commits the end of an order that was withdrawn while it was running.
func (c *Controller) stepWithdrawn(v view, now time.Time) decision {
	confirmed := v.withdrawalSeen || now.Sub(v.recordedAt) >= replicaReadTime
	if v.withdrawnOrder.Revision == 0 || !confirmed {
		return decision{}
	}
	return decision{commit: withdrawalCommit(v, now), by: now.Add(commitTimeout), reason: "the order was withdrawn"}
}
