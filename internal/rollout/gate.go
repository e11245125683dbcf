package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// Options are the operators' bounds.
type Options struct {
	// Share of the requests to a service, plus Slack requests, is what a version may get
	// before it has proved good, over all gateways.
	Share float64
	Slack float64
	// Rollback is how long after its failures have shown a bad version may still get
	// requests.
	Rollback time.Duration
}

// Gate is one gateway's part in all roll-outs: which versions may get a request, and
// how they answer. It is safe for concurrent use.
type Gate struct {
	options Options
	// random is in [0, 1); no two gateways are to do the same at the same time.
	random func() float64

	mu       sync.Mutex
	services map[string]*service
	// byHash are the services by the upper half of the hash of their name.
	byHash map[uint32]*service
	// news is closed, and another one made, when an order or a record becomes known.
	changed chan struct{}
}

// NewGate returns a gate that knows of no order.
func NewGate(options Options) *Gate {
	return &Gate{
		options: options, random: rand.Float64,
		services: make(map[string]*service), byHash: make(map[uint32]*service),
		changed: make(chan struct{}),
	}
}

// announce wakes those that wait for news; g.mu is held.
func (g *Gate) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Await is for a request that has found no target though the version of a running order may
// have some: the order may be completed, and the news of that on its way. It gives a channel
// that is closed when an order or a record becomes known, and until when to wait for that;
// false where there is nothing to wait for, or no more.
func (g *Gate) Await(service string, now time.Time) (changed <-chan struct{}, until time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.trial == nil || s.trial.halted || s.trial.current {
		return nil, time.Time{}, false
	}
	if s.noTargetSince.IsZero() {
		s.noTargetSince = now
	}
	until = s.noTargetSince.Add(changeLag)
	return g.changed, until, now.Before(until)
}

// Ask is a request that needs a target.
type AssignRequest struct {
	Service string
	Route   string
	// Again says that another target has had it before.
	Retry bool
	// Left says whether all targets of some versions have left by plan; nil is never.
	HaveLeft func(versions balance.Versions) bool
}

// Assignment is which versions a request may go to.
type Assignment struct {
	Versions balance.Versions
	// Otherwise takes its place where no target of Versions is open; nil for nothing.
	Fallback *balance.Versions
	service  string
	isRetry  bool
	// reserved is the trial whose share holds a part for the request; nil for none.
	reserved *trial
}

// Assign says where a request may go. Each is followed by one call of Chosen, or of
// Unused if no target was found.
func (g *Gate) Assign(ask AssignRequest, now time.Time) Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	assignment := Assignment{service: ask.Service, isRetry: ask.Retry}
	s := g.services[ask.Service]
	if s == nil {
		return assignment
	}
	assignment.Versions = s.baseVersions
	if s.trial == nil {
		return assignment
	}
	if s.trial.recentlyMoved(now) || s.trial.replacesOthers(ask, s.baseVersions) {
		assignment.Fallback = &balance.Versions{Only: s.trial.order.Version}
	}
	switch s.trial.stageAt(now) {
	case Move:
		assignment.Fallback = nil
		assignment.Versions = balance.Versions{Only: s.trial.order.Version}
	case Canary:
		if ask.Retry || !s.trial.reserve(NameHash(ask.Route)) {
			break
		}
		base := s.baseVersions
		assignment.Fallback = &base
		assignment.reserved = s.trial
		assignment.Versions = balance.Versions{
			Only:  s.trial.order.Version,
			Share: s.trial.ratio,
			Seed:  s.trial.seed,
		}
	case Hold:
	}
	return assignment
}

// Chosen counts a sending to a target of a version. Each is followed by one Observe.
func (g *Gate) RecordSend(assignment Assignment, version string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(assignment.service)
	s.inFlight[version]++
	s.noteUse(version, now)
	t := s.trial
	if t == nil || version != t.order.Version {
		s.noTargetSince = time.Time{}
	}
	reserved := assignment.reserved
	if reserved != nil && (reserved != t || version != reserved.order.Version) {
		reserved.share.Release()
		reserved = nil
	}
	if t == nil {
		return
	}
	if !assignment.isRetry {
		t.share.CountRequest()
	}
	if version == t.order.Version && reserved == nil {
		t.moveSends++
	}
}

// Unused gives an assignment back.
func (g *Gate) Release(assignment Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if assignment.reserved != nil {
		assignment.reserved.share.Release()
	}
}

// Admitting says which versions take requests of a service at all, as far as is known
// now: what counts for the room that it has.
func (g *Gate) AdmittedVersions(service string, now time.Time) balance.Versions {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return balance.Versions{}
	}
	if s.trial != nil && s.trial.stageAt(now) == Move {
		return balance.Versions{Only: s.trial.order.Version}
	}
	return s.baseVersions
}

// Ending is how a sending ended, as far as it says something of the target's version.
type Ending int

// The endings.
const (
	// Neutral: the caller left, nothing arrived at the target, or the fault was ours.
	Neutral Ending = iota
	// Answered: whole, as it should be.
	Answered
	// Failed: a failure of the target's own, no answer, one broken off or spoilt.
	Failed
)

// Outcome is how a sending ended.
type Outcome struct {
	Service string
	Route   string
	// Target is its id, and Version its version.
	Target  string
	Version string
	Ending  Ending
	// Head is the time to the head of the answer, or to the first event; zero if none came.
	Head time.Duration
	// Unread are the tokens of the prompt that the target probably had to read; zero for
	// plain requests.
	Unread int
	// Events is how many events came, and Span the time from the first to the last.
	Events int
	Span   time.Duration
	// Cold says that the target had just started.
	Cold bool
}

// Observe ends a sending that Chosen counted.
func (g *Gate) Observe(outcome Outcome, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(outcome.Service)
	s.inFlight[outcome.Version]--
	if s.inFlight[outcome.Version] <= 0 {
		delete(s.inFlight, outcome.Version)
	}
	if outcome.Ending == Neutral {
		return
	}
	failed := outcome.Ending == Failed
	onTrial := s.trial != nil && outcome.Version == s.trial.order.Version
	if !failed && !onTrial {
		s.pace.Learn(outcome)
	}
	if s.trial == nil {
		return
	}
	slow := false
	if !failed {
		slow, _ = s.pace.Slow(outcome)
	}
	target := ""
	if onTrial {
		target = outcome.Target
	}
	s.trial.tallies.Add(outcome.Route, target, failed, slow)
}

// service is the part of a service, made at need; g.mu is held.
func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = newService(name, g.options, g.random)
		g.services[name] = s
		g.byHash[NameHash(name)] = s
	}
	return s
}

// Ordered takes an order, and says whether it is new.
func (g *Gate) Ordered(order Order, now time.Time) bool {
	return g.ordered(order, nil, now)
}

// ordered is Ordered, with the numbers of the service's targets by version; nil if they
// are unknown.
func (g *Gate) ordered(order Order, listed map[string]int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(order.Service)
	if order.Revision <= s.lastOrder {
		return false
	}
	s.noteInitialVersions(order, listed, now)
	s.lastOrder = order.Revision
	s.order = order
	s.withdrawn = false
	s.reconcile(now)
	g.notifyChange()
	return true
}

// Withdrawn says that the store holds no order for a service any more.
func (g *Gate) Withdrawn(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return
	}
	s.order = Order{}
	s.withdrawn = true
	s.reconcile(now)
	g.notifyChange()
}

// Recorded takes a record with its revision in the store, and says whether it is new.
func (g *Gate) Recorded(record Record, revision int64, now time.Time) bool {
	_, taken := g.recorded(record, revision, now)
	return taken
}

// recorded is Recorded, and tells the record before.
func (g *Gate) recorded(record Record, revision int64, now time.Time) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(record.Order.Service)
	before := s.record
	if revision <= s.revision {
		return before, false
	}
	s.record, s.revision, s.recordedAt = record, revision, now
	s.reconcile(now)
	g.notifyChange()
	return before, true
}

// obey takes a grant, or a notice if sentAt is the zero time. It says whether that has
// halted an order's version.
func (g *Gate) obey(grant Grant, sentAt, now time.Time) (Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.byHash[grant.Service]
	if s == nil || s.trial == nil || s.trial.order.Revision != grant.Order {
		return Order{}, false
	}
	return s.trial.order, s.trial.apply(grant, sentAt, now)
}

// report is what there is to say about a service; false for no running order.
func (g *Gate) report(service string, now time.Time) (Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.trial == nil {
		return Report{}, false
	}
	return s.report(now), true
}

// due are the reports to be sent now, but for services that are left out.
func (g *Gate) due(now time.Time, every time.Duration, include func(service string) bool) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	for name, s := range g.services {
		if s.trial == nil || !include(name) {
			continue
		}
		if !s.trial.reportDue(now, every) {
			continue
		}
		s.trial.reportNow, s.trial.reportedAt = false, now
		s.trial.unanswered++
		reports = append(reports, s.report(now))
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(int64(a.Service) - int64(b.Service)) })
	return reports
}

// nameOf is the service of a hash, if it has or had an order or a request.
func (g *Gate) nameOf(hash uint32) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.byHash[hash]
	if s == nil {
		return "", false
	}
	return s.name, true
}

// views are the services that an order or a record says something of, by name.
func (g *Gate) views(now time.Time) []view {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []view
	for _, s := range g.services {
		if s.lastOrder > 0 || s.revision > 0 {
			all = append(all, s.view(now))
		}
	}
	slices.SortFunc(all, func(a, b view) int {
		if a.service < b.service {
			return -1
		}
		return 1
	})
	return all
}
