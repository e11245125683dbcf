package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// stepEvery is the time between two looks at all roll-outs: short beside the time
	// between reports.
	stepEvery = 100 * time.Millisecond
	// stepLate is after what time without a look no report is answered: the process was
	// held up, and another one may decide.
	stepLate = 500 * time.Millisecond
	// commitAgain is the time between a commit that failed and the next one: short, since
	// a move's time costs exposure.
	commitAgain = 200 * time.Millisecond
	// commitAgainMost is what it grows to while the store is away, but in a move: a record
	// that is late by so much costs nothing, and the store is tried at once when it answers
	// anything.
	commitAgainMost = 5 * time.Second
	// mostFailures is how many are counted: the pause has grown by then.
	mostFailures = 8
	// outdatedAgain is the same where the store holds something else than was known,
	// which the replica brings soon.
	outdatedAgain = time.Second
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

// duty is what a controller keeps of a service besides its gate.
type duty struct {
	// decides says whether this process decides about the service.
	decides bool
	// decider is nil before this process has ever decided about the running order.
	decider *decider
	// stage and halted are those that the watcher was told.
	stage  Stage
	halted bool
	// writing says that the store has not answered a commit yet.
	writing bool
	// failed is how the last commit ended, and over the record that it built on; it is
	// tried again at again, or when another record is known.
	failed error
	over   int64
	again  time.Time
	// againInMove is again in a move, whose time costs exposure.
	againInMove time.Time
	// failures counts the commits that failed since the store answered last, and told is
	// the last one that the watcher was told.
	failures int
	told     string
	// away says that the store didn't answer at the last look.
	away bool
	// unsure is a completion that the store has not answered, and may still take; nil
	// for none. A newer record or order ends the doubt.
	unsure *Commit
	// completing says that it was the last commit.
	completing bool
}

// writing is a commit that the store is to take within a time.
type writing struct {
	commit Commit
	within time.Duration
	// reason is in plain words.
	reason string
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
		ticker := time.NewTicker(stepEvery)
		defer ticker.Stop()
		for c.ctx.Err() == nil {
			c.step(clock.Check())
			select {
			case <-ticker.C:
			case <-c.wake:
			case <-c.ctx.Done():
			}
		}
	})
	return nil
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

// doubts says whether the store may still take a completion that it has not answered.
func (d *duty) doubts(v view) bool {
	if d.unsure != nil && (v.revision != d.unsure.Over || v.order.Revision != d.unsure.Record.Order.Revision) {
		d.unsure = nil
	}
	return d.unsure != nil
}

// back has a commit tried at once if the store answers again.
func (d *duty) back(reachable bool) {
	if reachable && d.away {
		d.failures, d.again = 0, time.Time{}
	}
	d.away = !reachable
}

// fail takes that a commit failed, and says whether that is news.
func (d *duty) fail(state State, err error, now time.Time) bool {
	if errors.Is(err, ErrOutdated) {
		d.failures = 0
		d.again, d.againInMove = now.Add(outdatedAgain), now.Add(outdatedAgain)
	} else {
		pause := commitAgain
		for range d.failures {
			pause = min(2*pause, commitAgainMost)
		}
		d.failures = min(d.failures+1, mostFailures)
		d.again, d.againInMove = now.Add(pause), now.Add(commitAgain)
	}
	said := string(state) + " " + err.Error()
	news := said != d.told
	d.told = said
	return news
}

// due is the commit to be begun now, if one is wanted.
func (d *duty) due(decision decision, revision int64, now time.Time) (writing, bool) {
	within := decision.by.Sub(now)
	if decision.commit == nil || d.writing || within <= 0 {
		return writing{}, false
	}
	renewed := errors.Is(d.failed, ErrOutdated) && d.over != revision
	voids := d.completing && d.unsure != nil && decision.commit.Record.State != Completed
	again := d.again
	if d.decider != nil && d.decider.stage == Move {
		again = d.againInMove
	}
	if now.Before(again) && !renewed && !voids {
		return writing{}, false
	}
	d.writing = true
	return writing{commit: *decision.commit, within: within, reason: decision.reason}, true
}

// commitBeside writes in a goroutine of its own.
func (c *Controller) commitBeside(w writing) {
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, w.within)
		defer cancel()
		revision, err := c.options.Store.Commit(ctx, w.commit)
		c.committed(w, revision, err, clock.Now())
	})
}

// committed takes the store's answer.
func (c *Controller) committed(w writing, revision int64, err error, now time.Time) {
	record := w.commit.Record
	c.mu.Lock()
	d := c.duty(record.Order.Service)
	d.writing, d.failed, d.over = false, err, w.commit.Over
	d.again, d.againInMove = time.Time{}, time.Time{}
	d.completing = record.State == Completed
	if err != nil && d.completing && !errors.Is(err, ErrOutdated) {
		d.unsure = &w.commit
	}
	if err == nil && d.completing {
		// The old targets stop now, and the record takes a while to reach the others.
		c.notifyHeld(Grant{
			Service: TallyName(record.Order.Service), Order: record.Order.Revision,
			Stage: Move, Age: record.Elapsed, End: Done,
		}, now)
	}
	if err == nil {
		d.failures, d.told = 0, ""
	}
	if err != nil && d.fail(record.State, err, now) {
		c.tellHeld(Step{
			Kind: StepCommitFailed, Service: record.Order.Service, Version: record.Order.Version,
			Order: record.Order.Revision, State: record.State, Reason: w.reason, Age: record.Elapsed, Err: err,
		})
	}
	c.mu.Unlock()
	if err == nil {
		c.recorded(record, revision, w.reason, now)
	}
	c.urge()
}

// Reports are those that are due to the gateways that decide.
func (c *Controller) Reports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.due(now, c.every, func(service string) bool {
		d := c.duties[service]
		return d != nil && !d.decides
	})
}

// Report takes another gateway's report and answers it; false for no answer.
func (c *Controller) Report(from string, report Report, now time.Time) (Grant, bool) {
	name, ok := c.gate.nameOf(report.Service)
	if !ok {
		return Grant{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.duties[name]
	if d == nil || !d.decides || d.decider == nil || d.decider.order.Revision != report.Order {
		return Grant{}, false
	}
	d.decider.hear(from, report, now)
	if d.decider.stage == Move {
		c.urge()
	}
	if now.Sub(c.steppedAt) > stepLate {
		return Grant{}, false
	}
	return d.decider.answer(report.Service, now), true
}

// Grant takes the answer to a report that was sent at sentAt, or a notice if that is
// the zero time.
func (c *Controller) Grant(from string, grant Grant, sentAt, now time.Time) {
	order, halted := c.gate.obey(grant, sentAt, now)
	if !halted {
		return
	}
	c.tell(Step{
		Kind: StepHalted, Service: order.Service, Version: order.Version, Order: order.Revision,
		Age: grant.Age, Reason: "gateway " + from + " has halted the version; its log has the reason",
	})
	c.urge()
}

// Notices are to be sent to all other gateways at once; each is given out once.
func (c *Controller) Notices(now time.Time) []Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []Grant
	c.notices = slices.DeleteFunc(c.notices, func(n notice) bool {
		if now.Before(n.at) {
			return false
		}
		due = append(due, n.grant)
		return true
	})
	return due
}

// ServiceOf is the name of a service with an order, by the upper half of its hash.
func (c *Controller) ServiceOf(hash uint32) (string, bool) {
	return c.gate.nameOf(hash)
}

// Services are those with a running order, by name.
func (c *Controller) Services() []string {
	var names []string
	for _, v := range c.gate.views(clock.Now()) {
		if v.running {
			names = append(names, v.service)
		}
	}
	return names
}
