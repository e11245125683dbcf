package rollout

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// Options are the limits that the operators set.
type Options struct {
	// Share and Slack limit the requests that a version may get from all gateways together before
	// it has proved good: to Share, as a fraction of the requests to the service, plus Slack
	// requests.
	Share float64
	Slack float64
	// Rollback is the time within which a bad version stops getting requests after its failures
	// have shown.
	Rollback time.Duration
}

// Gate is one gateway's part in all rollouts: it selects the versions that may get a request,
// and counts how they answer. It is safe for concurrent use.
type Gate struct {
	options Options
	// random returns a number in [0, 1). It keeps gateways from acting in step.
	random func() float64

	mu       sync.Mutex
	services map[string]*service
	// byHash holds the services by the upper half of the hash of their name.
	byHash map[uint32]*service
	// changed is closed and replaced when an order or a record becomes known.
	changed chan struct{}
}

// NewGate returns a gate that knows no orders.
func NewGate(options Options) *Gate {
	return &Gate{
		options: options, random: rand.Float64,
		services: make(map[string]*service), byHash: make(map[uint32]*service),
		changed: make(chan struct{}),
	}
}

// notifyChange wakes the requests that wait for a change. The caller must hold g.mu.
func (g *Gate) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Await is for a request that has found no target although the version of a running order may
// have some: the order may be completed, with its record still in transit. It returns a channel
// that is closed when an order or a record becomes known, and the time until which to wait for it.
// ok is false if there is nothing to wait for, or the wait is over.
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

// AssignRequest describes a request that needs a target.
type AssignRequest struct {
	Service string
	Route   string
	// Retry is set if the request was sent to another target before.
	Retry bool
	// Version is the only version that may take the request, because it began the request's
	// stream; empty if any may.
	Version string
	// HaveLeft reports whether all targets of some versions have left as planned. A nil function
	// means they haven't.
	HaveLeft func(versions balance.Versions) bool
}

// Assignment holds the versions that a request may go to.
type Assignment struct {
	Versions balance.Versions
	// Fallback replaces Versions if none of their targets is available; nil for no fallback.
	Fallback *balance.Versions
	service  string
	isRetry  bool
	// reserved is the trial whose share has a reservation for the request; nil for none.
	reserved *trial
}

// Assign returns the versions that a request may go to. Each call is followed by one call of
// RecordSend, or of Release if no target was found.
func (g *Gate) Assign(request AssignRequest, now time.Time) Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	assignment := Assignment{service: request.Service, isRetry: request.Retry}
	s := g.services[request.Service]
	if request.Version != "" {
		s.assignVersion(request, &assignment, now)
		return assignment
	}
	if s == nil {
		return assignment
	}
	assignment.Versions = s.baseVersions
	if s.trial == nil {
		return assignment
	}
	if s.trial.recentlyMoved(now) || s.trial.replacesOthers(request, s.baseVersions) {
		assignment.Fallback = &balance.Versions{Only: s.trial.order.Version}
	}
	switch s.trial.stageAt(now) {
	case Move:
		assignment.Fallback = nil
		assignment.Versions = balance.Versions{Only: s.trial.order.Version}
	case Canary:
		if request.Retry || !s.trial.reserve(NameHash(request.Route)) {
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

// assignVersion admits the only version that may take a request, unless that version gets no more
// requests. A version on trial gets it as part of its share or of a move. The service is nil if it
// never had an order.
func (s *service) assignVersion(request AssignRequest, assignment *Assignment, now time.Time) {
	assignment.Versions = balance.Versions{Only: request.Version}
	if s == nil || s.baseVersions.Admits(request.Version) {
		return
	}
	if t := s.trial; t != nil && t.order.Version == request.Version {
		switch stage := t.stageAt(now); {
		case stage == Move:
			return
		case stage == Canary && t.reserve(NameHash(request.Route)):
			assignment.reserved = t
			return
		}
	}
	assignment.Versions.Excluded = s.baseVersions.Excluded
}

// RecordSend counts a request sent to a target of a version. Each call is followed by one call of
// Observe.
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

// Release returns the reservation of an assignment that was not used.
func (g *Gate) Release(assignment Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if assignment.reserved != nil {
		assignment.reserved.share.Release()
	}
}

// AdmittedVersions returns the versions that currently take requests of a service, as far as is
// known. The capacity of the service is computed from them.
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

// Ending is how a request to a target ended, as far as that is evidence about the target's
// version.
type Ending int

// The endings.
const (
	// Neutral: the caller left, nothing reached the target, or the gateway was at fault.
	Neutral Ending = iota
	// Answered: the answer was complete and valid.
	Answered
	// Failed: the target failed, gave no answer, or its answer was cut off or corrupt.
	Failed
)

// Outcome describes the result of one request to a target.
type Outcome struct {
	Service string
	Route   string
	// Target is the target's ID, and Version its version.
	Target  string
	Version string
	Ending  Ending
	// Head is the time to the response head, or to the first event; zero if none came.
	Head time.Duration
	// Unread is the number of prompt tokens that the target probably had to process, rather than
	// find in its cache; zero for plain requests.
	Unread int
	// Events is the number of events, and Span the time from the first to the last.
	Events int
	Span   time.Duration
	// Cold is set if the target had just started.
	Cold bool
}

// Observe records the outcome of a request that RecordSend counted.
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

// service returns the state of a service, creating it if necessary. The caller must hold g.mu.
func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = newService(name, g.options, g.random)
		g.services[name] = s
		g.byHash[NameHash(name)] = s
	}
	return s
}
