package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
)

const (
	// mostTallies bounds a report: two datagrams hold as many, and services have fewer
	// routes times targets of one version, or those with news come first.
	mostTallies = 64
	// canaryShare is how much of the share the canary may use at most: the rest, with
	// the slack, pays for the move, in which the version gets everything.
	canaryShare = 0.8
	// leastCanaryShare is what it may use where the order's time is so short that the
	// move needs most of the share: less would give the judge too few answers.
	leastCanaryShare = 0.4
	// usualMove is how long a move usually lasts: gateways hear of it with their next
	// report, and the store answers.
	usualMove = 600 * time.Millisecond
	// hurry is how many times more often gateways report from shortly before a move on,
	// where the order's time is short: twice the messages, for a few seconds.
	hurry = 2
	// headStartSlack is the least slack, in requests, with which gateways begin as if they
	// had sent some requests before. Together they stay at the share on average, and
	// above it by a handful at most (the root of a twelfth of their number, times three).
	headStartSlack = 16
	// reportAgain is after what time a report is repeated whose answer is missing, up to
	// mostAgain times: packets get lost, and a move is short. Answers take a round trip.
	reportAgain = 100 * time.Millisecond
	mostAgain   = 2
	// recordLag is how long the record of a move may be on its way to gateways: the old
	// targets stop as soon as the store has it.
	recordLag = 5 * time.Second
	// newsLag is how long the store's changes may be on their way to a gateway.
	newsLag = 300 * time.Millisecond
	// servedWithin is how long after its last request a version that the first order
	// doesn't name counts as serving: entries that lapsed are back by then, and versions
	// that were replaced without an order are forgotten.
	servedWithin = time.Minute
)

// service is one gateway's part in the roll-outs of a service.
type service struct {
	name    string
	options Options
	// random is in [0, 1).
	random func() float64
	// order is the one in the store, as far as is known; zero for none.
	order Order
	// lastOrder is the largest revision of an order that was seen.
	lastOrder int64
	// withdrawn says that the store held an order, and holds none any more.
	withdrawn bool
	// record is the one in the store, with its revision; zero for none.
	record     Record
	revision   int64
	recordedAt time.Time
	// overtaken are orders that ended here before a record of their end was seen.
	overtaken []Order
	// trial is that of the running order; nil for none.
	trial *probation
	// base says which versions take what the version on trial doesn't.
	base balance.Versions
	// flight counts the requests under way by version, since the process began: an
	// order may come while they are.
	flight map[string]int
	// chosen is when each version last got a request, before any order was known.
	chosen map[string]time.Time
	// served are the versions that served when the first order came, by chosen.
	served []string
	pace   *Pace
	// bareSince is when a request first found no target besides those of the version on trial;
	// zero if the last one found some.
	bareSince time.Time
}

func newService(name string, options Options, random func() float64) *service {
	return &service{
		name: name, options: options, random: random, pace: NewPace(),
		flight: make(map[string]int), chosen: make(map[string]time.Time),
	}
}

// running says whether the order has not ended, by all that is known.
func (s *service) running() bool {
	switch {
	case s.order.Revision == 0 || s.order.Revision < s.record.Order.Revision:
		return false
	case s.order.Revision == s.record.Order.Revision:
		return !s.record.final()
	}
	return true
}

// settle brings trial and base in line with order and record.
func (s *service) settle(now time.Time) {
	before := s.trial
	s.settleTrial(now)
	if before != nil && before != s.trial {
		s.overtaken = append(s.overtaken, before.order)
	}
	s.overtaken = slices.DeleteFunc(s.overtaken, func(order Order) bool {
		same := order.Revision == s.record.Order.Revision
		return order.Revision < s.record.Order.Revision || same && s.record.final()
	})
	if s.trial != nil && s.record.Order.Revision == s.trial.order.Revision {
		s.trial.known(s.record.Elapsed, now)
	}
	not := s.refused()
	if s.trial != nil && !s.isCurrent() {
		not = namesOf(append(not, s.trial.order.Version))
	}
	if len(not) == 0 {
		not = nil
	}
	s.base = balance.Versions{Excluded: not, Preferred: s.record.Current}
	if s.trial != nil && s.trial.current {
		s.base.Preferred = s.trial.order.Version
	}
}

// noteChosen notes which versions serve, as long as nothing was ordered.
func (s *service) noteChosen(version string, now time.Time) {
	if s.lastOrder > 0 || s.revision > 0 {
		return
	}
	if _, known := s.chosen[version]; !known {
		maps.DeleteFunc(s.chosen, func(_ string, at time.Time) bool { return now.Sub(at) > servedWithin })
	}
	s.chosen[version] = now
}

// noteServed takes up the first order. Its version has served if no other has, and none
// has targets: beside others it may be unproven, with targets that were started for the
// order.
func (s *service) noteServed(order Order, listed map[string]int, now time.Time) {
	if s.lastOrder > 0 || s.revision > 0 {
		return
	}
	maps.DeleteFunc(s.chosen, func(version string, at time.Time) bool {
		return version != order.Version && now.Sub(at) > servedWithin
	})
	s.served = namesOf(slices.Collect(maps.Keys(s.chosen)))
	if len(s.chosen) > 1 || listed[order.Version] == 0 || len(listed) > 1 {
		s.served = namesOf(s.served, order.Version)
	}
	clear(s.chosen)
}

// serving are the versions that have nothing to prove since they served before the first
// order; none once a roll-out has completed.
func (s *service) serving() []string {
	switch {
	case s.record.Current != "":
		return nil
	case len(s.record.Served) > 0:
		return s.record.Served
	}
	return namesOf(s.served, s.record.Refused...)
}

func (s *service) settleTrial(now time.Time) {
	if !s.running() {
		s.trial = nil
		return
	}
	t := s.trial
	switch {
	case t == nil || t.order.Version != s.order.Version:
		s.trial = newProbation(s.order, s.options, s.random, now)
	case s.record.final() && s.record.Order.Revision >= t.first:
		// The order before it ended after all: this one begins anew.
		s.trial = newProbation(s.order, s.options, s.random, now)
	case t.order.Revision != s.order.Revision:
		t.goOn(s.order, now)
	}
	s.trial.current = s.isCurrent()
}

// isCurrent says whether the running order is for a version that has nothing to prove: the
// current one, or one that served before the first order.
func (s *service) isCurrent() bool {
	return s.order.Version == s.record.Current || slices.Contains(s.serving(), s.order.Version)
}

// refused are the versions that get nothing, but for the one on trial.
func (s *service) refused() []string {
	all := slices.Clone(s.record.Refused)
	if s.record.State == Running {
		all = append(all, s.record.Order.Version)
	}
	for _, order := range s.overtaken {
		all = append(all, order.Version)
	}
	onTrial := ""
	if s.trial != nil {
		onTrial = s.trial.order.Version
	}
	return namesOf(all, append([]string{s.record.Current, onTrial}, s.serving()...)...)
}

// report is what there is to say about the trial.
func (s *service) report(now time.Time) Report {
	t := s.trial
	requests, exposed := t.sent()
	others := 0
	for version, count := range s.flight {
		if version != t.order.Version {
			others += count
		}
	}
	return Report{
		Service:  TallyName(s.name),
		Order:    t.order.Revision,
		Age:      now.Sub(t.since),
		Stage:    t.stageAt(now),
		Others:   others,
		Requests: requests,
		Exposed:  exposed,
		Tallies:  t.tallies.List(mostTallies),
	}
}

// view is what a controller needs to know of a service.
type view struct {
	service  string
	record   Record
	revision int64
	// recordedAt is when the record was read.
	recordedAt time.Time
	// refused are the versions that get nothing, but for the one on trial.
	refused []string
	// served are the versions that served before the first order; none once a roll-out
	// has completed.
	served []string
	// running says that there is an order that has not ended; the next fields are its.
	running bool
	order   Order
	// first is the revision of the first order of the trial.
	first int64
	since time.Time
	// notBefore is the deadline of an earlier order for the same version; zero for none.
	notBefore time.Time
	halted    bool
	stage     Stage
	requests  int
	exposed   int
	// left is an order that was withdrawn before its end was recorded; zero for none.
	left Order
	// seenGone says that the withdrawal itself was seen.
	seenGone bool
}

func (s *service) view(now time.Time) view {
	v := view{
		service: s.name, record: s.record, revision: s.revision, recordedAt: s.recordedAt,
		refused: s.refused(), served: s.serving(), seenGone: s.withdrawn,
	}
	if t := s.trial; t != nil {
		v.running, v.order, v.first = true, t.order, t.first
		v.since, v.notBefore = t.since, t.notBefore
		v.halted, v.stage = t.halted, t.stageAt(now)
		v.requests, v.exposed = t.sent()
		return v
	}
	if s.order.Revision != 0 {
		return v
	}
	if s.record.State == Running {
		v.left = s.record.Order
	}
	for _, order := range s.overtaken {
		if order.Revision > v.left.Revision {
			v.left = order
		}
	}
	return v
}

// proved says whether the order's version has nothing to prove.
func (v view) proved() bool {
	return v.order.Version == v.record.Current || slices.Contains(v.served, v.order.Version)
}
