package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// stepInterval is the time between two looks at all roll-outs: short beside the time
	// between reports.
	stepInterval = 100 * time.Millisecond
	// moveStepInterval is the same in a move, whose last moment for a commit may not be missed:
	// commitReserve leaves the store some 150 ms after it, which a look every 100 ms made 50.
	moveStepInterval = 20 * time.Millisecond
	// maxStepGap is after what time without a look no report is answered: the process was
	// held up, and another one may decide.
	maxStepGap = 500 * time.Millisecond
	// noticeInterval and noticeRepeats have an end told again: datagrams get lost.
	noticeInterval = 250 * time.Millisecond
	noticeRepeats  = 4
	// maxPeersTTL is how long a controller remembers how many gateways there were: long
	// beside orders and cuts of the network. A fleet that shrinks to less than half has to
	// wait so long for its next completion.
	maxPeersTTL = time.Hour
	// maxPendingSteps bounds the steps kept for the watcher between two looks.
	maxPendingSteps = 256
)

// Registry says which targets there are.
type Registry interface {
	// Versions are how many targets of each version a service has; nil if it is unknown.
	Versions(service string) map[string]int
}

// ControllerOptions are what a controller is made of.
type ControllerOptions struct {
	Options Options
	Store   Store
	// Peers is nil for a single gateway, which decides about all services.
	Peers Peers
	// Registry may be nil where only orders are handed in, and Start isn't called.
	Registry Registry
	Watcher  Watcher
}

// Controller moves traffic as the operators order it: it decides about some services,
// and obeys those who decide about the others. It is safe for concurrent use. It calls
// none of its parts while it holds a lock, so that they may call it under theirs.
type Controller struct {
	options ControllerOptions
	gate    *Gate
	// commit begins to write, and has committed called with the answer.
	startCommit func(w pendingCommit)
	wake        chan struct{}
	cancel      context.CancelFunc
	ctx         context.Context
	wait        sync.WaitGroup

	mu             sync.Mutex
	deciders       map[string]*deciderState
	reportInterval time.Duration
	// most other gateways were heard at maxPeersAt.
	maxPeers   int
	maxPeersAt time.Time
	// steppedAt is when the roll-outs were last looked at.
	steppedAt time.Time
	notices   []notice
	// steps are those that the watcher has not been told yet.
	steps []Step
}

// notice is a grant that nobody asked for, to be sent at a time.
type notice struct {
	grant Grant
	at    time.Time
}

// NewController returns a controller that Start begins.
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

// Gate is this gateway's part in all roll-outs.
func (c *Controller) Gate() *Gate {
	return c.gate
}

// Start begins to decide.
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

// nextStepDelay is the time until the next look at all roll-outs.
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

// Close ends the work and waits for it.
func (c *Controller) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}

// urge has the roll-outs looked at soon.
func (c *Controller) requestStep() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Ordered takes an order from the replica of the store. It doesn't block, like
// Withdrawn and Recorded.
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

// Withdrawn says that the store holds no order for a service any more.
func (c *Controller) Withdrawn(service string) {
	c.withdrawn(service, clock.Now())
}

func (c *Controller) withdrawn(service string, now time.Time) {
	c.gate.Withdrawn(service, now)
	c.requestStep()
}

// Recorded takes a record and its revision from the replica of the store.
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
		return // only the time since the order is another one
	}
	c.addStep(Step{
		Kind: StepRecorded, Service: record.Order.Service, Version: record.Order.Version,
		Order: record.Order.Revision, State: record.State, Reason: reason, Age: record.Elapsed,
	})
}

// tell keeps a step for the watcher.
func (c *Controller) addStep(step Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addStepLocked(step)
}

// addStepLocked is tell while c.mu is held.
func (c *Controller) addStepLocked(step Step) {
	if d := c.deciders[step.Service]; d != nil && d.decider != nil {
		step.Requests, step.Exposed = d.decider.totals()
	}
	if len(c.steps) < maxPendingSteps {
		c.steps = append(c.steps, step)
	}
}

// outside is what the other parts say about a service.
type serviceInput struct {
	view     view
	decides  bool
	versions map[string]int
}

// step looks at all roll-outs. While none is under way it only counts the gateways.
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
	for _, w := range commits {
		c.startCommit(w)
	}
}

// stepAll decides about the services whose roll-outs are under way.
func (c *Controller) stepAll(inputs []serviceInput, livePeers []string, reachable bool, now time.Time) ([]Step, []pendingCommit) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
			view: input.view, reportInterval: c.reportInterval, livePeers: livePeers, minority: minority, maxPeers: c.maxPeers, reachable: reachable,
			versions: input.versions, committing: d.commitInFlight, completionUnresolved: d.hasUnresolved(input.view),
		}, now)
		if w, ok := d.nextCommit(decision, input.view.revision, now); ok {
			commits = append(commits, w)
		}
	}
	steps := c.steps
	c.steps = nil
	return steps, commits
}

// duty is that of a service, made at need; c.mu is held.
func (c *Controller) deciderFor(service string) *deciderState {
	d := c.deciders[service]
	if d == nil {
		d = new(deciderState)
		c.deciders[service] = d
	}
	return d
}

// fewer says whether this process hears less than half of the gateways that there were.
// It is probably the one that is cut off then: it begins no move, completes nothing, and
// judges nothing for lack of evidence. If it doesn't reach the store either nobody could
// tell it of a halt, so it allows itself nothing. c.mu is held.
func (c *Controller) inMinority(livePeers int, now time.Time) bool {
	if livePeers >= c.maxPeers || now.Sub(c.maxPeersAt) > maxPeersTTL {
		c.maxPeers, c.maxPeersAt = livePeers, now
	}
	return 2*(livePeers+1) < c.maxPeers+1
}

// stepOne decides about one service; c.mu is held.
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
	// Nobody answers the own reports; what is granted holds as if they had been sent.
	c.gate.obey(d.decider.answerReport(NameHash(input.view.service), now), now, now)
	return decision
}

// noteStage tells of a change of what is allowed; c.mu is held.
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

// notifyEndLocked has all other gateways told of an order's end; c.mu is held.
func (c *Controller) notifyEndLocked(grant Grant, now time.Time) {
	for i := range noticeRepeats {
		c.notices = append(c.notices, notice{grant: grant, at: now.Add(time.Duration(i) * noticeInterval)})
	}
}

// stepWithdrawn has the end of an order written that was withdrawn before it.
func (c *Controller) stepWithdrawn(v view, now time.Time) decision {
	confirmed := v.withdrawalSeen || now.Sub(v.recordedAt) >= replicaReadTime
	if v.withdrawnOrder.Revision == 0 || !confirmed {
		return decision{}
	}
	return decision{commit: withdrawalCommit(v, now), by: now.Add(commitTimeout), reason: "the order was withdrawn"}
}
