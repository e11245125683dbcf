package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// stepEvery is the time between two looks at all roll-outs: short beside the time
	// between reports.
	stepEvery = 100 * time.Millisecond
	// moveStepEvery is the same in a move, whose last moment for a commit may not be missed:
	// commitReserve leaves the store some 150 ms after it, which a look every 100 ms made 50.
	moveStepEvery = 20 * time.Millisecond
	// stepLate is after what time without a look no report is answered: the process was
	// held up, and another one may decide.
	stepLate = 500 * time.Millisecond
	// noticeEvery and noticeTimes have an end told again: datagrams get lost.
	noticeEvery = 250 * time.Millisecond
	noticeTimes = 4
	// rememberPeers is how long a controller remembers how many gateways there were: long
	// beside orders and cuts of the network. A fleet that shrinks to less than half has to
	// wait so long for its next completion.
	rememberPeers = time.Hour
	// mostSteps bounds the steps kept for the watcher between two looks.
	mostSteps = 256
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
	commit func(w writing)
	wake   chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
	wait   sync.WaitGroup

	mu     sync.Mutex
	duties map[string]*duty
	every  time.Duration
	// most other gateways were heard at mostAt.
	most   int
	mostAt time.Time
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
		options: options,
		gate:    NewGate(options.Options),
		wake:    make(chan struct{}, 1),
		duties:  make(map[string]*duty),
		every:   reportEvery(options.Options, 1),
	}
	c.commit = c.commitBeside
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
			timer := time.NewTimer(c.untilStep())
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

// untilStep is the time until the next look at all roll-outs.
func (c *Controller) untilStep() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := stepEvery
	for _, d := range c.duties {
		if d.decides && d.decider != nil {
			next = min(next, d.decider.stepEvery())
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
func (c *Controller) urge() {
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
	c.tell(Step{Kind: StepOrdered, Service: order.Service, Version: order.Version, Order: order.Revision})
	c.urge()
}

// Withdrawn says that the store holds no order for a service any more.
func (c *Controller) Withdrawn(service string) {
	c.withdrawn(service, clock.Now())
}

func (c *Controller) withdrawn(service string, now time.Time) {
	c.gate.Withdrawn(service, now)
	c.urge()
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
	c.urge()
	if before.Order.Revision == record.Order.Revision && before.State == record.State {
		return // only the time since the order is another one
	}
	c.tell(Step{
		Kind: StepRecorded, Service: record.Order.Service, Version: record.Order.Version,
		Order: record.Order.Revision, State: record.State, Reason: reason, Age: record.Elapsed,
	})
}

// tell keeps a step for the watcher.
func (c *Controller) tell(step Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tellHeld(step)
}

// tellHeld is tell while c.mu is held.
func (c *Controller) tellHeld(step Step) {
	if d := c.duties[step.Service]; d != nil && d.decider != nil {
		step.Requests, step.Exposed = d.decider.sums()
	}
	if len(c.steps) < mostSteps {
		c.steps = append(c.steps, step)
	}
}

// outside is what the other parts say about a service.
type outside struct {
	view     view
	decides  bool
	versions map[string]int
}

// step looks at all roll-outs. While none is under way it only counts the gateways.
func (c *Controller) step(now time.Time) {
	var all []outside
	for _, v := range c.gate.views(now) {
		if !v.running && v.left.Revision == 0 {
			continue
		}
		one := outside{view: v, decides: c.options.Peers == nil || c.options.Peers.Decides(v.service)}
		if v.running {
			one.versions = c.options.Registry.Versions(v.service)
		}
		all = append(all, one)
	}
	var live []string
	if c.options.Peers != nil {
		live = c.options.Peers.LiveIDs()
	}
	steps, writings := c.stepAll(all, live, c.options.Store.Reachable(), now)
	for _, step := range steps {
		c.options.Watcher.RolloutStep(step)
	}
	for _, w := range writings {
		c.commit(w)
	}
}

// stepAll decides about the services whose roll-outs are under way.
func (c *Controller) stepAll(all []outside, live []string, reachable bool, now time.Time) ([]Step, []writing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steppedAt = now
	for name, d := range c.duties {
		under := slices.ContainsFunc(all, func(one outside) bool { return one.view.service == name })
		if !under && !d.writing {
			delete(c.duties, name)
		}
	}
	var writings []writing
	few := c.fewer(len(live), now)
	if len(all) > 0 {
		c.every = reportEvery(c.options.Options, len(live)+1)
	}
	for _, one := range all {
		d := c.duty(one.view.service)
		one.decides = one.decides && (reachable || !few)
		d.back(reachable)
		begun := one.decides && !d.decides
		d.decides = one.decides
		if !one.decides {
			continue
		}
		decision := c.stepOne(d, one, begun, situation{
			view: one.view, every: c.every, live: live, few: few, most: c.most, reachable: reachable,
			versions: one.versions, committing: d.writing, unsure: d.doubts(one.view),
		}, now)
		if w, ok := d.due(decision, one.view.revision, now); ok {
			writings = append(writings, w)
		}
	}
	steps := c.steps
	c.steps = nil
	return steps, writings
}

// duty is that of a service, made at need; c.mu is held.
func (c *Controller) duty(service string) *duty {
	d := c.duties[service]
	if d == nil {
		d = new(duty)
		c.duties[service] = d
	}
	return d
}

// fewer says whether this process hears less than half of the gateways that there were.
// It is probably the one that is cut off then: it begins no move, completes nothing, and
// judges nothing for lack of evidence. If it doesn't reach the store either nobody could
// tell it of a halt, so it allows itself nothing. c.mu is held.
func (c *Controller) fewer(live int, now time.Time) bool {
	if live >= c.most || now.Sub(c.mostAt) > rememberPeers {
		c.most, c.mostAt = live, now
	}
	return 2*(live+1) < c.most+1
}

// stepOne decides about one service; c.mu is held.
func (c *Controller) stepOne(d *duty, one outside, begun bool, s situation, now time.Time) decision {
	report, running := c.gate.report(one.view.service, now)
	if !one.view.running || !running {
		return c.stepWithdrawn(one.view, now)
	}
	s.report = report
	if d.decider == nil || d.decider.order.Version != one.view.order.Version || d.decider.first != one.view.first {
		d.decider = newDecider(c.options.Options, one.view, now)
		d.stage, d.halted = Hold, false
	}
	if begun {
		d.decider.rest(now)
	}
	decision := d.decider.step(s, now)
	c.noteStage(d, decision, now)
	// Nobody answers the own reports; what is granted holds as if they had been sent.
	c.gate.obey(d.decider.answer(TallyName(one.view.service), now), now, now)
	return decision
}

// noteStage tells of a change of what is allowed; c.mu is held.
func (c *Controller) noteStage(d *duty, decision decision, now time.Time) {
	step := Step{
		Kind: StepStage, Service: d.decider.order.Service, Version: d.decider.order.Version,
		Order: d.decider.order.Revision, Stage: d.decider.stage, Reason: decision.reason,
		Age: now.Sub(d.decider.since),
	}
	halted := d.decider.reason != ""
	switch {
	case halted && !d.halted:
		step.Kind = StepHalted
		c.notifyHeld(d.decider.answer(TallyName(step.Service), now), now)
	case d.stage == d.decider.stage || halted:
		return
	}
	d.stage, d.halted = d.decider.stage, halted
	c.tellHeld(step)
}

// notifyHeld has all other gateways told of an order's end; c.mu is held.
func (c *Controller) notifyHeld(grant Grant, now time.Time) {
	for i := range noticeTimes {
		c.notices = append(c.notices, notice{grant: grant, at: now.Add(time.Duration(i) * noticeEvery)})
	}
}

// stepWithdrawn has the end of an order written that was withdrawn before it.
func (c *Controller) stepWithdrawn(v view, now time.Time) decision {
	sure := v.seenGone || now.Sub(v.recordedAt) >= settleFor
	if v.left.Revision == 0 || !sure {
		return decision{}
	}
	return decision{commit: withdraw(v, now), by: now.Add(commitTimeout), reason: "the order was withdrawn"}
}
