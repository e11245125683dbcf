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

func (behavior versionBehavior) bad() bool { return behavior.failures > 0 || behavior.slow > 0 }

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
	cluster        *cluster
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

func newCluster(t testingT, gateways int, behavior versionBehavior, seed uint64) *cluster {
	cl := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), behavior: behavior, rate: 250,
		loss: 0.01, delay: 4 * time.Millisecond, targets: map[string]int{oldVersion: 10}, finalStates: make(map[int64]State),
	}
	cl.start = cl.now
	cl.store.cluster = cl
	for i := range gateways {
		n := &node{cluster: cl, id: fmt.Sprintf("g%03d", i), heartbeats: make(map[string]time.Time)}
		n.start()
		cl.nodes = append(cl.nodes, n)
	}
	cl.run(heartbeatTimeout)
	return cl
}

func (n *node) start() {
	n.incarnation++
	n.dead, n.frozen, n.pendingChanges, n.queued = false, false, nil, nil
	n.record, n.order = Record{}, Order{}
	control := NewController(ControllerOptions{
		Options: testOptions, Store: nodeStore{n}, Peers: n, Registry: n, Watcher: n,
	})
	control.startCommit = func(pending pendingCommit) { n.cluster.store.commit(n, control, pending) }
	control.gate.random = n.cluster.random.Float64
	n.control = control
	for _, apply := range n.cluster.store.history {
		apply(n)
	}
}

// resume continues a frozen gateway, with all the messages that have arrived in the meantime.
func (n *node) resume() {
	n.frozen = false
	messages := n.queued
	n.queued = nil
	for _, do := range messages {
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
		if n.cluster.now.Sub(at) < heartbeatTimeout {
			live = append(live, id)
		}
	}
	sort.Strings(live)
	return live
}

func (n *node) Versions(string) map[string]int { return n.cluster.targets }

func (n *node) RolloutStep(step Step) {
	if n.cluster.injectFault != nil && !n.cluster.faultInjected {
		n.cluster.faultInjected = n.cluster.injectFault(n, step)
	}
	if step.Requests > 0 || step.Kind == StepHalted {
		n.cluster.logStep(n, step)
	}
	if step.Kind == StepHalted && n.cluster.haltedAt.IsZero() && step.Order == n.cluster.store.order {
		n.cluster.haltedAt = n.cluster.now
	}
}

func (cl *cluster) logStep(n *node, step Step) {
	n.cluster.log = append(n.cluster.log, fmt.Sprintf("%6.2fs %s %s %s stage=%s state=%s %s sent %d of %d %v",
		n.cluster.now.Sub(n.cluster.orderedAt).Seconds(), n.id, step.Kind, step.Version, step.Stage, step.State, step.Reason, step.Exposed, step.Requests, step.Err))
}

// after schedules a function.
func (cl *cluster) after(d time.Duration, fn func()) {
	at := cl.now.Add(d)
	cl.seq++
	i := sort.Search(len(cl.events), func(i int) bool { return cl.events[i].at.After(at) })
	cl.events = slices.Insert(cl.events, i, event{at, cl.seq, fn})
}

// send delivers a message between gateways.
func (cl *cluster) send(from, to *node, deliver func()) {
	if cl.random.Float64() < cl.loss || !reaches(from, to) {
		return
	}
	incarnation := to.incarnation
	cl.after(time.Duration(cl.random.Int64N(int64(cl.delay))), func() {
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

func (cl *cluster) node(id string) *node {
	for _, n := range cl.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// decider returns the gateway that decides.
func (cl *cluster) decider() *node {
	return cl.nodes[slices.IndexFunc(cl.nodes, func(n *node) bool { return !n.dead && n.Decides(testService) })]
}

// inMove reports whether the gateway decides, and has begun a move.
func (n *node) inMove() bool {
	d := n.control.deciders[testService]
	return d != nil && d.decider != nil && d.decider.stage == Move
}

func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); {
		cl.now = cl.now.Add(tick)
		for len(cl.events) > 0 && !cl.events[0].at.After(cl.now) {
			next := cl.events[0]
			cl.events = cl.events[1:]
			next.do()
		}
		count := int(cl.now.Sub(cl.start) / tick)
		for i, n := range cl.nodes {
			if n.dead || n.frozen {
				continue
			}
			n.replicate()
			n.traffic()
			if (count+i)%10 == 0 {
				n.control.step(cl.now)
				n.sendHeartbeats()
			}
			if (count+i)%5 == 0 {
				n.exchange()
			}
		}
		cl.check()
	}
}

func (n *node) sendHeartbeats() {
	for _, other := range n.cluster.nodes {
		if other != n && !other.dead && !other.frozen && reaches(n, other) {
			other.heartbeats[n.id] = n.cluster.now
		}
	}
}

// exchange sends the reports and notices that are due to the other gateways.
func (n *node) exchange() {
	cl := n.cluster
	decides := policy.First(testService, append(n.LiveIDs(), n.id))
	to := cl.node(decides)
	for _, report := range n.control.Reports(cl.now) {
		sent := cl.now
		cl.send(n, to, func() {
			grant, ok := to.control.Report(n.id, report, cl.now)
			if ok {
				cl.send(to, n, func() { n.control.Grant(to.id, grant, sent, cl.now) })
			}
		})
	}
	for _, notice := range n.control.Notices(cl.now) {
		for _, other := range cl.nodes {
			if other != n {
				cl.send(n, other, func() { other.control.Grant(n.id, notice, time.Time{}, cl.now) })
			}
		}
	}
}

// replicate applies pending changes of the store if the gateway is connected to it, directly or
// by others.
func (n *node) replicate() {
	if n.cutStore && n.cutOff || n.cluster.store.down && len(n.pendingChanges) > 0 && n.cutOff {
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
	for n.requestsDue += n.cluster.rate * tick.Seconds() / float64(len(n.cluster.nodes)); n.requestsDue >= 1; n.requestsDue-- {
		n.request(string("abc"[n.cluster.random.IntN(3)]), false)
	}
}

func (n *node) request(route string, retry bool) {
	cl := n.cluster
	gate := n.control.Gate()
	assignment := gate.Assign(AssignRequest{Service: testService, Route: route, Retry: retry, HaveLeft: cl.haveLeft}, cl.now)
	version := cl.pick(assignment.Versions)
	if version == "" && assignment.Fallback != nil {
		version = cl.pick(*assignment.Fallback)
	}
	if version == "" {
		if cl.targets[oldVersion] > 0 || cl.targets[cl.movedTo] > 0 && !n.cutOff {
			cl.addViolation("%s finds no target although there are some; its order is %v, its record %v", n.id, n.order, n.record)
		}
		gate.Release(assignment)
		return
	}
	gate.RecordSend(assignment, version, cl.now)
	cl.checkSend(n, version, retry)
	target := cl.random.IntN(max(cl.targets[version], 1))
	duration := 50 * time.Millisecond
	if cl.random.IntN(10) == 0 {
		duration = 1500 * time.Millisecond
	}
	incarnation := n.incarnation
	cl.after(duration, func() {
		if n.dead || n.incarnation != incarnation {
			return
		}
		outcome := cl.answer(route, version, target)
		gate.Observe(outcome, cl.now)
		if outcome.Ending == Failed && !retry {
			n.request(route, true)
		}
	})
}

// haveLeft reports whether all targets of some versions have stopped as planned, as those of the
// other versions do after a completion.
func (cl *cluster) haveLeft(v balance.Versions) bool {
	for version, count := range cl.targets {
		if count > 0 && v.Admits(version) {
			return false
		}
	}
	return slices.ContainsFunc(cl.stopped, v.Admits)
}

func (cl *cluster) pick(v balance.Versions) string {
	if v.Preferred != "" && cl.targets[v.Preferred] > 0 {
		return v.Preferred
	}
	var open []string
	for version, count := range cl.targets {
		if count > 0 && v.Admits(version) {
			open = append(open, version)
		}
	}
	if len(open) == 0 {
		return ""
	}
	sort.Strings(open)
	return open[cl.random.IntN(len(open))]
}

// answer returns the outcome of a request at a target.
func (cl *cluster) answer(route, version string, target int) Outcome {
	behavior := cl.behavior
	outcome := Outcome{
		Service: testService, Route: route, Version: version, Target: fmt.Sprint(version, "-", target),
		Ending: Answered, Head: 50 * time.Millisecond,
	}
	failures := behavior.baseFailures
	if version == newVersion && (behavior.route == "" || behavior.route == route) && cl.now.Sub(cl.orderedAt) >= behavior.badAfter && (!behavior.onlyUnderLoad || cl.loaded()) {
		failures = max(failures, behavior.failures)
		if cl.random.Float64() < behavior.slow {
			outcome.Head *= 8
		}
	}
	if version == newVersion && target < behavior.brokenTargets {
		failures = 1
	}
	if cl.random.Float64() < failures {
		outcome.Ending = Failed
	}
	if version == newVersion && behavior.bad() && (outcome.Ending == Failed || outcome.Head > 100*time.Millisecond) {
		cl.badAnswers++
		if cl.badAnswers == 50 {
			cl.badShownAt = cl.now
		}
	}
	return outcome
}

// loaded reports whether a good part of the last requests went to the new version: more than its
// share, as in a move.
func (cl *cluster) loaded() bool {
	return cl.newVersionShare > 0.3
}

// checkSend checks where a request was sent.
func (cl *cluster) checkSend(n *node, version string, retry bool) {
	newVersionPart := 0.0
	if version == newVersion {
		newVersionPart = 1
	}
	cl.newVersionShare += 0.1 * (newVersionPart - cl.newVersionShare)
	for _, win := range cl.windows {
		if cl.now.After(win.until) {
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
		cl.addViolation("%s sends to %s, which is refused by the record %v", n.id, version, n.record)
	}
	if n.record.State == Completed && !later && version != n.record.Current && cl.targets[n.record.Current] > 0 {
		cl.addViolation("%s sends to %s after the record of the completion", n.id, version)
	}
	if version != newVersion || cl.newCompleted {
		return // a completion is final, even if its order is withdrawn later
	}
	if !cl.badShownAt.IsZero() && cl.behavior.bad() && cl.now.Sub(cl.badShownAt) > testOptions.Rollback {
		cl.addViolation("%s sends to the bad version %s after its failures have shown", n.id, cl.now.Sub(cl.badShownAt))
	}
	if !cl.haltedAt.IsZero() && cl.now.Sub(cl.haltedAt) > testOptions.Rollback {
		cl.addViolation("%s sends to the version %s after the halt", n.id, cl.now.Sub(cl.haltedAt))
	}
}

func (cl *cluster) check() {
	if cl.newCompleted {
		return // each test checks for itself whether it may be completed
	}
	for _, win := range cl.windows {
		bound := testOptions.Share*float64(win.requests) + testOptions.Slack
		if cl.behavior.bad() && win.version == newVersion && float64(win.exposed) > bound {
			cl.addViolation("%d of %d requests sent to the version exceed the bound", win.exposed, win.requests)
		}
	}
}

func (cl *cluster) addViolation(format string, args ...any) {
	if len(cl.violations) < 3 {
		cl.violations = append(cl.violations, fmt.Sprintf("%6.2fs ", cl.now.Sub(cl.orderedAt).Seconds())+fmt.Sprintf(format, args...))
	}
}

// order gives an order for a version, whose targets register soon. Operators can't order while
// the store is down.
func (cl *cluster) order(version string, duration time.Duration) {
	if cl.store.down {
		return
	}
	cl.orderedAt, cl.badAnswers, cl.badShownAt, cl.haltedAt = cl.now, 0, time.Time{}, time.Time{}
	cl.windows = append(cl.windows, &window{version: version, until: cl.now.Add(duration)})
	// The targets register after the order, which is also their order in the store.
	cl.after(registrationDelay, func() {
		if cl.targets != nil {
			cl.targets[version] = max(cl.targets[version], 10)
		}
	})
	cl.store.putOrder(Order{Service: testService, Version: version, Duration: duration})
}

// checkViolations fails the test if there are violations.
func (cl *cluster) checkViolations() {
	cl.t.Helper()
	if len(cl.violations) > 0 {
		cl.t.Fatalf("violations:\n%s\nsteps:\n%s", strings.Join(cl.violations, "\n"), strings.Join(cl.log, "\n"))
	}
}

// wantState fails the test if the order didn't end in the given state.
func (cl *cluster) wantState(state State) {
	cl.t.Helper()
	cl.checkViolations()
	if got := cl.store.record.State; got != state {
		cl.t.Fatalf("got state %q, want %q\nsteps:\n%s", got, state, strings.Join(cl.log, "\n"))
	}
}

// memStore is an in-memory store of one order and one record.
type memStore struct {
	cluster        *cluster
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

func (s nodeStore) Reachable() bool { return !s.n.cluster.store.down && !s.n.cutStore }

// publish delivers a change to all gateways.
func (s *memStore) publish(apply func(n *node)) {
	s.history = append(s.history, apply)
	for _, n := range s.cluster.nodes {
		incarnation := n.incarnation
		// Changes arrive in the store's order.
		n.replicaAt = laterTime(n.replicaAt, s.cluster.now.Add(time.Duration(20+s.cluster.random.IntN(150))*time.Millisecond))
		s.cluster.after(n.replicaAt.Sub(s.cluster.now), func() {
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
		n.control.ordered(order, s.cluster.now)
	})
}

func (s *memStore) withdraw() {
	if s.down || s.order == 0 {
		return
	}
	s.revision++
	s.order = 0
	s.publish(func(n *node) { n.control.withdrawn(testService, s.cluster.now) })
}

func (s *memStore) commit(n *node, control *Controller, pending pendingCommit) {
	if s.cluster.random.IntN(2) == 0 {
		data, err := Encode(pending.commit.Record)
		if err == nil {
			_, err = Decode(data)
		}
		if err != nil {
			s.cluster.addViolation("record does not encode and decode: %v", err)
		}
	}
	answer := func(d time.Duration, revision int64, err error) {
		s.cluster.after(d, func() {
			if n.control != control || n.dead {
				return
			}
			do := func() { control.commitDone(pending, revision, err, s.cluster.now) }
			if n.frozen {
				n.queued = append(n.queued, do)
				return
			}
			do()
		})
	}
	if s.down || n.cutStore {
		answer(pending.timeout, 0, errNoAnswer)
		return
	}
	latency := 4*time.Millisecond + s.slow
	lostAnswers := s.lostAnswers
	s.cluster.after(latency/2, func() {
		switch lostAnswers {
		case "not":
			answer(pending.timeout, 0, errNoAnswer)
		case "later":
			s.cluster.after(2*time.Second, func() { _, _ = s.apply(pending.commit) })
			answer(pending.timeout, 0, errNoAnswer)
		default:
			revision, err := s.apply(pending.commit)
			if lostAnswers == "done" || latency > pending.timeout {
				answer(pending.timeout, 0, errNoAnswer)
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
	if state, over := s.cluster.finalStates[revision]; over {
		s.cluster.addViolation("order %d that ended as %s is recorded as %s", revision, state, c.Record.State)
	}
	if revision < s.record.Order.Revision {
		s.cluster.addViolation("the record goes back from order %d to %d", s.record.Order.Revision, revision)
	}
	s.revision++
	s.record, s.recordRevision = c.Record, s.revision
	record, at := c.Record, s.revision
	if record.isFinal() {
		s.cluster.finalStates[revision] = record.State
		s.cluster.log = append(s.cluster.log, fmt.Sprintf("%6.2fs store has %s", s.cluster.now.Sub(s.cluster.orderedAt).Seconds(), record.State))
	}
	if record.State == Completed {
		s.cluster.newCompleted = s.cluster.newCompleted || record.Current == newVersion
		for version := range s.cluster.targets {
			if version != record.Current {
				s.cluster.movedTo = record.Current
				s.cluster.stopped = append(s.cluster.stopped, version)
				delete(s.cluster.targets, version)
			}
		}
	}
	s.publish(func(n *node) {
		n.control.recorded(record, at, "", s.cluster.now)
		n.record = record
	})
	return s.revision, nil
}

func (s nodeStore) Commit(context.Context, Commit) (int64, error) { panic("the world commits") }
