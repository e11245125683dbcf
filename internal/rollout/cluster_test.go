package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// The tests run a cluster of gateways with all their parts, a store, and a network, in simulated
// time.
const (
	tick             = 10 * time.Millisecond
	testService      = "s"
	oldVersion       = "v1"
	newVersion       = "v2"
	heartbeatTimeout = 2 * time.Second
	// registrationDelay is longer than the lag of a replica.
	registrationDelay = 300 * time.Millisecond
)

var testOptions = Options{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// versionBehavior is how the targets of the new version answer.
type versionBehavior struct {
	// failures and slow are fractions of the answers; baseFailures is that of all versions.
	failures, slow, baseFailures float64
	// route is the only bad one, if it isn't empty.
	route string
	// badAfter is the time from the order until the version turns bad.
	badAfter time.Duration
	// onlyUnderLoad is set if the version is bad only while it gets a good part of all requests.
	onlyUnderLoad bool
	// brokenTargets is the number of its targets that always fail.
	brokenTargets int
}

var versionBehaviors = map[string]versionBehavior{
	"good":                     {},
	"good, base failures":      {baseFailures: 0.14},
	"good, one broken target":  {brokenTargets: 1},
	"fails at once":            {failures: 0.4},
	"slow":                     {slow: 1},
	"bad on one route":         {failures: 0.6, route: "b"},
	"turns bad":                {failures: 0.4, badAfter: 5 * orderTime / 12},
	"fails under load":         {failures: 0.4, onlyUnderLoad: true},
	"fails, and others do too": {failures: 0.5, baseFailures: 0.14},
}

func (f versionBehavior) bad() bool { return f.failures > 0 || f.slow > 0 }

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type cluster struct {
	t        testingT
	random   *rand.Rand
	now      time.Time
	start    time.Time
	events   []event
	seq      int
	nodes    []*node
	store    memStore
	behavior versionBehavior
	rate     float64
	// loss is the fraction of packets lost, and delay the longest delay of a packet.
	loss  float64
	delay time.Duration
	// targets is the number of targets per version.
	targets map[string]int
	// orderedAt is when the last order was given; windows holds those of all orders.
	orderedAt time.Time
	windows   []*window
	// badAnswers counts those of the new version; badShownAt is when the 50th came.
	badAnswers int
	badShownAt time.Time
	haltedAt   time.Time
	// newCompleted is set if the new version has ever been completed.
	newCompleted bool
	// movedTo is the version of the last completion that stopped the targets of the others.
	movedTo string
	// stopped are the versions whose targets stopped at a completion.
	stopped     []string
	finalStates map[int64]State
	violations  []string
	// newVersionShare is the moving average of the share of requests to the new version.
	newVersionShare float64
	log             []string
	// injectFault is called with each step until it returns true.
	injectFault   func(n *node, step Step) bool
	faultInjected bool
}

// window is the time from an order to its deadline.
type window struct {
	version           string
	until             time.Time
	requests, exposed int
}

// node is a gateway and its part of the network.
type node struct {
	w              *cluster
	id             string
	incarnation    int
	control        *Controller
	dead, frozen   bool
	cutOff         bool // from the other gateways
	cutStore       bool
	heartbeats     map[string]time.Time
	requestsDue    float64
	replicaAt      time.Time
	pendingChanges []func(n *node) // of the replica
	// record and order are those in its replica.
	record        Record
	order         Order
	queued        []func()
	partition     int
	alwaysDecides bool // even if other gateways would decide
}

func newCluster(t testingT, gateways int, f versionBehavior, seed uint64) *cluster {
	w := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), behavior: f, rate: 250,
		loss: 0.01, delay: 4 * time.Millisecond, targets: map[string]int{oldVersion: 10}, finalStates: make(map[int64]State),
	}
	w.start = w.now
	w.store.w = w
	for i := range gateways {
		n := &node{w: w, id: fmt.Sprintf("g%03d", i), heartbeats: make(map[string]time.Time)}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	w.run(heartbeatTimeout)
	return w
}

func (n *node) start() {
	n.incarnation++
	n.dead, n.frozen, n.pendingChanges, n.queued = false, false, nil, nil
	n.record, n.order = Record{}, Order{}
	control := NewController(ControllerOptions{
		Options: testOptions, Store: nodeStore{n}, Peers: n, Registry: n, Watcher: n,
	})
	control.startCommit = func(w pendingCommit) { n.w.store.commit(n, control, w) }
	control.gate.random = n.w.random.Float64
	n.control = control
	for _, apply := range n.w.store.history {
		apply(n)
	}
}

// resume continues a frozen gateway, with all the messages that have arrived in the meantime.
func (n *node) resume() {
	n.frozen = false
	thawed := n.queued
	n.queued = nil
	for _, do := range thawed {
		do()
	}
}

// Decides goes by the heartbeats received, like LiveIDs.
func (n *node) Decides(service string) bool {
	return n.alwaysDecides || policy.First(service, append(n.LiveIDs(), n.id)) == n.id
}

func (n *node) LiveIDs() []string {
	var live []string
	for id, at := range n.heartbeats {
		if n.w.now.Sub(at) < heartbeatTimeout {
			live = append(live, id)
		}
	}
	sort.Strings(live)
	return live
}

func (n *node) Versions(string) map[string]int { return n.w.targets }

func (n *node) RolloutStep(step Step) {
	if n.w.injectFault != nil && !n.w.faultInjected {
		n.w.faultInjected = n.w.injectFault(n, step)
	}
	if step.Requests > 0 || step.Kind == StepHalted {
		n.w.logStep(n, step)
	}
	if step.Kind == StepHalted && n.w.haltedAt.IsZero() && step.Order == n.w.store.order {
		n.w.haltedAt = n.w.now
	}
}

func (w *cluster) logStep(n *node, step Step) {
	n.w.log = append(n.w.log, fmt.Sprintf("%6.2fs %s %s %s stage=%s state=%s %s sent %d of %d %v",
		n.w.now.Sub(n.w.orderedAt).Seconds(), n.id, step.Kind, step.Version, step.Stage, step.State, step.Reason, step.Exposed, step.Requests, step.Err))
}

// after schedules a function.
func (w *cluster) after(d time.Duration, fn func()) {
	at := w.now.Add(d)
	w.seq++
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at.After(at) })
	w.events = slices.Insert(w.events, i, event{at, w.seq, fn})
}

// send delivers a message between gateways.
func (w *cluster) send(from, to *node, deliver func()) {
	if w.random.Float64() < w.loss || !reaches(from, to) {
		return
	}
	incarnation := to.incarnation
	w.after(time.Duration(w.random.Int64N(int64(w.delay))), func() {
		switch {
		case to.dead || to.incarnation != incarnation || !reaches(from, to):
		case to.frozen:
			to.queued = append(to.queued, deliver)
		default:
			deliver()
		}
	})
}

func reaches(a, b *node) bool {
	return !a.cutOff && !b.cutOff && a.partition == b.partition
}

func (w *cluster) node(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// decider returns the gateway that decides.
func (w *cluster) decider() *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return !n.dead && n.Decides(testService) })]
}

// inMove reports whether the gateway decides, and has begun a move.
func (n *node) inMove() bool {
	d := n.control.deciders[testService]
	return d != nil && d.decider != nil && d.decider.stage == Move
}

func (w *cluster) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			next := w.events[0]
			w.events = w.events[1:]
			next.do()
		}
		count := int(w.now.Sub(w.start) / tick)
		for i, n := range w.nodes {
			if n.dead || n.frozen {
				continue
			}
			n.replicate()
			n.traffic()
			if (count+i)%10 == 0 {
				n.control.step(w.now)
				n.sendHeartbeats()
			}
			if (count+i)%5 == 0 {
				n.exchange()
			}
		}
		w.check()
	}
}

func (n *node) sendHeartbeats() {
	for _, other := range n.w.nodes {
		if other != n && !other.dead && !other.frozen && reaches(n, other) {
			other.heartbeats[n.id] = n.w.now
		}
	}
}

// exchange sends the reports and notices that are due to the other gateways.
func (n *node) exchange() {
	w := n.w
	decides := policy.First(testService, append(n.LiveIDs(), n.id))
	to := w.node(decides)
	for _, report := range n.control.Reports(w.now) {
		sent := w.now
		w.send(n, to, func() {
			grant, ok := to.control.Report(n.id, report, w.now)
			if ok {
				w.send(to, n, func() { n.control.Grant(to.id, grant, sent, w.now) })
			}
		})
	}
	for _, notice := range n.control.Notices(w.now) {
		for _, other := range w.nodes {
			if other != n {
				w.send(n, other, func() { other.control.Grant(n.id, notice, time.Time{}, w.now) })
			}
		}
	}
}

// replicate applies pending changes of the store if the gateway is connected to it, directly or
// by others.
func (n *node) replicate() {
	if n.cutStore && n.cutOff || n.w.store.down && len(n.pendingChanges) > 0 && n.cutOff {
		return
	}
	missed := n.pendingChanges
	n.pendingChanges = nil
	for _, apply := range missed {
		apply(n)
	}
}

// traffic sends the requests that are due.
func (n *node) traffic() {
	for n.requestsDue += n.w.rate * tick.Seconds() / float64(len(n.w.nodes)); n.requestsDue >= 1; n.requestsDue-- {
		n.request(string("abc"[n.w.random.IntN(3)]), false)
	}
}

func (n *node) request(route string, retry bool) {
	w := n.w
	gate := n.control.Gate()
	assignment := gate.Assign(AssignRequest{Service: testService, Route: route, Retry: retry, HaveLeft: w.haveLeft}, w.now)
	version := w.pick(assignment.Versions)
	if version == "" && assignment.Fallback != nil {
		version = w.pick(*assignment.Fallback)
	}
	if version == "" {
		if w.targets[oldVersion] > 0 || w.targets[w.movedTo] > 0 && !n.cutOff {
			w.addViolation("%s finds no target, but those that served are there; it knows of %v and %v", n.id, n.order, n.record)
		}
		gate.Release(assignment)
		return
	}
	gate.RecordSend(assignment, version, w.now)
	w.checkSend(n, version, retry)
	target := w.random.IntN(max(w.targets[version], 1))
	duration := 50 * time.Millisecond
	if w.random.IntN(10) == 0 {
		duration = 1500 * time.Millisecond
	}
	incarnation := n.incarnation
	w.after(duration, func() {
		if n.dead || n.incarnation != incarnation {
			return
		}
		outcome := w.answer(route, version, target)
		gate.Observe(outcome, w.now)
		if outcome.Ending == Failed && !retry {
			n.request(route, true)
		}
	})
}

// haveLeft reports whether all targets of some versions have stopped as planned, as those of the
// other versions do after a completion.
func (w *cluster) haveLeft(v balance.Versions) bool {
	for version, count := range w.targets {
		if count > 0 && v.Admits(version) {
			return false
		}
	}
	return slices.ContainsFunc(w.stopped, v.Admits)
}

func (w *cluster) pick(v balance.Versions) string {
	if v.Rather != "" && w.targets[v.Rather] > 0 {
		return v.Rather
	}
	var open []string
	for version, count := range w.targets {
		if count > 0 && v.Admits(version) {
			open = append(open, version)
		}
	}
	if len(open) == 0 {
		return ""
	}
	sort.Strings(open)
	return open[w.random.IntN(len(open))]
}

// answer returns the outcome of a request at a target.
func (w *cluster) answer(route, version string, target int) Outcome {
	f := w.behavior
	outcome := Outcome{
		Service: testService, Route: route, Version: version, Target: fmt.Sprint(version, "-", target),
		Ending: Answered, Head: 50 * time.Millisecond,
	}
	failures := f.baseFailures
	if version == newVersion && (f.route == "" || f.route == route) && w.now.Sub(w.orderedAt) >= f.badAfter && (!f.onlyUnderLoad || w.loaded()) {
		failures = max(failures, f.failures)
		if w.random.Float64() < f.slow {
			outcome.Head *= 8
		}
	}
	if version == newVersion && target < f.brokenTargets {
		failures = 1
	}
	if w.random.Float64() < failures {
		outcome.Ending = Failed
	}
	if version == newVersion && f.bad() && (outcome.Ending == Failed || outcome.Head > 100*time.Millisecond) {
		w.badAnswers++
		if w.badAnswers == 50 {
			w.badShownAt = w.now
		}
	}
	return outcome
}

// loaded reports whether a good part of the last requests went to the new version: more than its
// share, as in a move.
func (w *cluster) loaded() bool {
	return w.newVersionShare > 0.3
}

// checkSend checks where a request was sent.
func (w *cluster) checkSend(n *node, version string, retry bool) {
	newVersionPart := 0.0
	if version == newVersion {
		newVersionPart = 1
	}
	w.newVersionShare += 0.1 * (newVersionPart - w.newVersionShare)
	for _, win := range w.windows {
		if w.now.After(win.until) {
			continue
		}
		if !retry {
			win.requests++
		}
		if version == win.version {
			win.exposed++
		}
	}
	later := n.order.Revision > n.record.Order.Revision
	named := later && n.order.Version == version
	if slices.Contains(n.record.Refused, version) && !named {
		w.addViolation("%s sends to %s, which is refused by %v", n.id, version, n.record)
	}
	if n.record.State == Completed && !later && version != n.record.Current && w.targets[n.record.Current] > 0 {
		w.addViolation("%s sends to %s after it knew of the completion", n.id, version)
	}
	if version != newVersion || w.newCompleted {
		return // a completion is final, even if its order is withdrawn later
	}
	if !w.badShownAt.IsZero() && w.behavior.bad() && w.now.Sub(w.badShownAt) > testOptions.Rollback {
		w.addViolation("%s sends to the bad version %s after it was shown", n.id, w.now.Sub(w.badShownAt))
	}
	if !w.haltedAt.IsZero() && w.now.Sub(w.haltedAt) > testOptions.Rollback {
		w.addViolation("%s sends to the version %s after the halt", n.id, w.now.Sub(w.haltedAt))
	}
}

func (w *cluster) check() {
	if w.newCompleted {
		return // each test checks for itself whether it may be completed
	}
	for _, win := range w.windows {
		bound := testOptions.Share*float64(win.requests) + testOptions.Slack
		if w.behavior.bad() && win.version == newVersion && float64(win.exposed) > bound {
			w.addViolation("%d of %d requests to the version", win.exposed, win.requests)
		}
	}
}

func (w *cluster) addViolation(format string, args ...any) {
	if len(w.violations) < 3 {
		w.violations = append(w.violations, fmt.Sprintf("%6.2fs ", w.now.Sub(w.orderedAt).Seconds())+fmt.Sprintf(format, args...))
	}
}

// order gives an order for a version, whose targets register soon. Operators can't order while
// the store is down.
func (w *cluster) order(version string, duration time.Duration) {
	if w.store.down {
		return
	}
	w.orderedAt, w.badAnswers, w.badShownAt, w.haltedAt = w.now, 0, time.Time{}, time.Time{}
	w.windows = append(w.windows, &window{version: version, until: w.now.Add(duration)})
	// The targets register after the order, which is also their order in the store.
	w.after(registrationDelay, func() {
		if w.targets != nil {
			w.targets[version] = max(w.targets[version], 10)
		}
	})
	w.store.putOrder(Order{Service: testService, Version: version, Duration: duration})
}

// checkViolations fails the test if there are violations.
func (w *cluster) checkViolations() {
	w.t.Helper()
	if len(w.violations) > 0 {
		w.t.Fatalf("broken:\n%s\nsteps:\n%s", strings.Join(w.violations, "\n"), strings.Join(w.log, "\n"))
	}
}

// wantState fails the test if the order didn't end in the given state.
func (w *cluster) wantState(state State) {
	w.t.Helper()
	w.checkViolations()
	if got := w.store.record.State; got != state {
		w.t.Fatalf("%q in place of %q\nsteps:\n%s", got, state, strings.Join(w.log, "\n"))
	}
}

// memStore is an in-memory store of one order and one record.
type memStore struct {
	w              *cluster
	revision       int64
	order          int64
	record         Record
	recordRevision int64
	down           bool
	slow           time.Duration
	// lostAnswers makes the store lose answers: "done" after the commit, "not" without it, or
	// "later" with the commit after a delay.
	lostAnswers string
	history     []func(n *node)
}

var errNoAnswer = errors.New("no answer")

type nodeStore struct{ n *node }

func (s nodeStore) Reachable() bool { return !s.n.w.store.down && !s.n.cutStore }

// publish delivers a change to all gateways.
func (s *memStore) publish(apply func(n *node)) {
	s.history = append(s.history, apply)
	for _, n := range s.w.nodes {
		incarnation := n.incarnation
		// Changes arrive in the store's order.
		n.replicaAt = laterTime(n.replicaAt, s.w.now.Add(time.Duration(20+s.w.random.IntN(150))*time.Millisecond))
		s.w.after(n.replicaAt.Sub(s.w.now), func() {
			if n.incarnation == incarnation {
				n.pendingChanges = append(n.pendingChanges, apply)
			}
		})
	}
}

func (s *memStore) putOrder(order Order) {
	s.revision++
	order.Revision, s.order = s.revision, s.revision
	s.publish(func(n *node) {
		n.order = order
		n.control.ordered(order, s.w.now)
	})
}

func (s *memStore) withdraw() {
	if s.down || s.order == 0 {
		return
	}
	s.revision++
	s.order = 0
	s.publish(func(n *node) { n.control.withdrawn(testService, s.w.now) })
}

func (s *memStore) commit(n *node, control *Controller, w pendingCommit) {
	if s.w.random.IntN(2) == 0 {
		data, err := Encode(w.commit.Record)
		if err == nil {
			_, err = Decode(data)
		}
		if err != nil {
			s.w.addViolation("a record that can't be kept: %v", err)
		}
	}
	answer := func(d time.Duration, revision int64, err error) {
		s.w.after(d, func() {
			if n.control != control || n.dead {
				return
			}
			do := func() { control.commitDone(w, revision, err, s.w.now) }
			if n.frozen {
				n.queued = append(n.queued, do)
				return
			}
			do()
		})
	}
	if s.down || n.cutStore {
		answer(w.timeout, 0, errNoAnswer)
		return
	}
	latency := 4*time.Millisecond + s.slow
	lostAnswers := s.lostAnswers
	s.w.after(latency/2, func() {
		switch lostAnswers {
		case "not":
			answer(w.timeout, 0, errNoAnswer)
		case "later":
			s.w.after(2*time.Second, func() { _, _ = s.apply(w.commit) })
			answer(w.timeout, 0, errNoAnswer)
		default:
			revision, err := s.apply(w.commit)
			if lostAnswers == "done" || latency > w.timeout {
				answer(w.timeout, 0, errNoAnswer)
				return
			}
			answer(latency/2, revision, err)
		}
	})
}

// apply writes a record if its conditions hold.
func (s *memStore) apply(c Commit) (int64, error) {
	order := c.Record.Order.Revision
	if c.Withdrawn {
		order = 0
	}
	if s.order != order || s.recordRevision != c.Over {
		return 0, ErrOutdated
	}
	revision := c.Record.Order.Revision
	if state, over := s.w.finalStates[revision]; over {
		s.w.addViolation("order %d ended as %s is recorded as %s", revision, state, c.Record.State)
	}
	if revision < s.record.Order.Revision {
		s.w.addViolation("the record goes back from order %d to %d", s.record.Order.Revision, revision)
	}
	s.revision++
	s.record, s.recordRevision = c.Record, s.revision
	record, at := c.Record, s.revision
	if record.isFinal() {
		s.w.finalStates[revision] = record.State
		s.w.log = append(s.w.log, fmt.Sprintf("%6.2fs store has %s", s.w.now.Sub(s.w.orderedAt).Seconds(), record.State))
	}
	if record.State == Completed {
		s.w.newCompleted = s.w.newCompleted || record.Current == newVersion
		for version := range s.w.targets {
			if version != record.Current {
				s.w.movedTo = record.Current
				s.w.stopped = append(s.w.stopped, version)
				delete(s.w.targets, version)
			}
		}
	}
	s.publish(func(n *node) {
		n.control.recorded(record, at, "", s.w.now)
		n.record = record
	})
	return s.revision, nil
}

func (s nodeStore) Commit(context.Context, Commit) (int64, error) { panic("the world commits") }
