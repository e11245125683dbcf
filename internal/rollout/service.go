package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
)

const (
	// maxReportTallies bounds a report: two datagrams hold as many, and services have fewer
	// routes times targets of one version, or those with news come first.
	maxReportTallies = 64
	// maxCanaryPart is how much of the share the canary may use at most: the rest, with
	// the slack, pays for the move, in which the version gets everything.
	maxCanaryPart = 0.8
	// minCanaryPart is what it may use where the order's time is so short that the
	// move needs most of the share: less would give the judge too few answers.
	minCanaryPart = 0.4
	// typicalMove is how long a move usually lasts: gateways hear of it with their next
	// report, and the store answers.
	typicalMove = 600 * time.Millisecond
	// hurry is how many times more often gateways report from shortly before a move on,
	// where the order's time is short: twice the messages, for a few seconds.
	shortOrderReportFactor = 2
	// minHeadStartSlack is the least slack, in requests, with which gateways begin as if they
	// had sent some requests before. Together they stay at the share on average, and
	// above it by a handful at most (the root of a twelfth of their number, times three).
	minHeadStartSlack = 16
	// reportRetryDelay is after what time a report is repeated whose answer is missing, up to
	// maxReportRetries times: packets get lost, and a move is short. Answers take a round trip.
	reportRetryDelay = 100 * time.Millisecond
	maxReportRetries = 2
	// recordLag is how long the record of a move may be on its way to gateways: the old
	// targets stop as soon as the store has it.
	recordLag = 5 * time.Second
	// changeLag is how long the store's changes may be on their way to a gateway.
	changeLag = 300 * time.Millisecond
	// servedWindow is how long after its last request a version that the first order
	// doesn't name counts as serving: entries that lapsed are back by then, and versions
	// that were replaced without an order are forgotten.
	servedWindow = time.Minute
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
	unrecordedEnds []Order
	// trial is that of the running order; nil for none.
	trial *trial
	// base says which versions take what the version on trial doesn't.
	baseVersions balance.Versions
	// flight counts the requests under way by version, since the process began: an
	// order may come while they are.
	inFlight map[string]int
	// chosen is when each version last got a request, before any order was known.
	lastUsed map[string]time.Time
	// served are the versions that served when the first order came, by chosen.
	initialVersions []string
	pace            *Pace
	// noTargetSince is when a request first found no target besides those of the version on trial;
	// zero if the last one found some.
	noTargetSince time.Time
}

func newService(name string, options Options, random func() float64) *service {
	return &service{
		name: name, options: options, random: random, pace: NewPace(),
		inFlight: make(map[string]int), lastUsed: make(map[string]time.Time),
	}
}

// running says whether the order has not ended, by all that is known.
func (s *service) running() bool {
	switch {
	case s.order.Revision == 0 || s.order.Revision < s.record.Order.Revision:
		return false
	case s.order.Revision == s.record.Order.Revision:
		return !s.record.isFinal()
	}
	return true
}

// settle brings trial and base in line with order and record.
func (s *service) reconcile(now time.Time) {
	before := s.trial
	s.reconcileTrial(now)
	if before != nil && before != s.trial {
		s.unrecordedEnds = append(s.unrecordedEnds, before.order)
	}
	s.unrecordedEnds = slices.DeleteFunc(s.unrecordedEnds, func(order Order) bool {
		same := order.Revision == s.record.Order.Revision
		return order.Revision < s.record.Order.Revision || same && s.record.isFinal()
	})
	if s.trial != nil && s.record.Order.Revision == s.trial.order.Revision {
		s.trial.noteAge(s.record.Elapsed, now)
	}
	excluded := s.refused()
	if s.trial != nil && !s.isCurrent() {
		excluded = sortedVersions(append(excluded, s.trial.order.Version))
	}
	if len(excluded) == 0 {
		excluded = nil
	}
	s.baseVersions = balance.Versions{Not: excluded, Rather: s.record.Current}
	if s.trial != nil && s.trial.current {
		s.baseVersions.Rather = s.trial.order.Version
	}
}

// noteUse notes which versions serve, as long as nothing was ordered.
func (s *service) noteUse(version string, now time.Time) {
	if s.lastOrder > 0 || s.revision > 0 {
		return
	}
	if _, known := s.lastUsed[version]; !known {
		maps.DeleteFunc(s.lastUsed, func(_ string, at time.Time) bool { return now.Sub(at) > servedWindow })
	}
	s.lastUsed[version] = now
}

// noteInitialVersions takes up the first order. Its version has served if no other has, and none
// has targets: beside others it may be unproven, with targets that were started for the
// order.
func (s *service) noteInitialVersions(order Order, listed map[string]int, now time.Time) {
	if s.lastOrder > 0 || s.revision > 0 {
		return
	}
	maps.DeleteFunc(s.lastUsed, func(version string, at time.Time) bool {
		return version != order.Version && now.Sub(at) > servedWindow
	})
	s.initialVersions = sortedVersions(slices.Collect(maps.Keys(s.lastUsed)))
	if len(s.lastUsed) > 1 || listed[order.Version] == 0 || len(listed) > 1 {
		s.initialVersions = sortedVersions(s.initialVersions, order.Version)
	}
	clear(s.lastUsed)
}

// serving are the versions that have nothing to prove since they served before the first
// order; none once a roll-out has completed.
func (s *service) provenVersions() []string {
	switch {
	case s.record.Current != "":
		return nil
	case len(s.record.Served) > 0:
		return s.record.Served
	}
	return sortedVersions(s.initialVersions, s.record.Refused...)
}

func (s *service) reconcileTrial(now time.Time) {
	if !s.running() {
		s.trial = nil
		return
	}
	t := s.trial
	switch {
	case t == nil || t.order.Version != s.order.Version:
		s.trial = newTrial(s.order, s.options, s.random, now)
	case s.record.isFinal() && s.record.Order.Revision >= t.firstRevision:
		// The order before it ended after all: this one begins anew.
		s.trial = newTrial(s.order, s.options, s.random, now)
	case t.order.Revision != s.order.Revision:
		t.extend(s.order, now)
	}
	s.trial.current = s.isCurrent()
}

// isCurrent says whether the running order is for a version that has nothing to prove: the
// current one, or one that served before the first order.
func (s *service) isCurrent() bool {
	return s.order.Version == s.record.Current || slices.Contains(s.provenVersions(), s.order.Version)
}

// refused are the versions that get nothing, but for the one on trial.
func (s *service) refused() []string {
	all := slices.Clone(s.record.Refused)
	if s.record.State == Running {
		all = append(all, s.record.Order.Version)
	}
	for _, order := range s.unrecordedEnds {
		all = append(all, order.Version)
	}
	onTrial := ""
	if s.trial != nil {
		onTrial = s.trial.order.Version
	}
	return sortedVersions(all, append([]string{s.record.Current, onTrial}, s.provenVersions()...)...)
}

// report is what there is to say about the trial.
func (s *service) report(now time.Time) Report {
	t := s.trial
	requests, exposed := t.totals()
	others := 0
	for version, count := range s.inFlight {
		if version != t.order.Version {
			others += count
		}
	}
	return Report{
		Service:  NameHash(s.name),
		Order:    t.order.Revision,
		Age:      now.Sub(t.knownSince),
		Stage:    t.stageAt(now),
		Others:   others,
		Requests: requests,
		Exposed:  exposed,
		Tallies:  t.tallies.List(maxReportTallies),
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
	provenVersions []string
	// running says that there is an order that has not ended; the next fields are its.
	running bool
	order   Order
	// first is the revision of the first order of the trial.
	firstRevision int64
	knownSince    time.Time
	// notBefore is the deadline of an earlier order for the same version; zero for none.
	notBefore time.Time
	halted    bool
	stage     Stage
	requests  int
	exposed   int
	// left is an order that was withdrawn before its end was recorded; zero for none.
	withdrawnOrder Order
	// withdrawalSeen says that the withdrawal itself was seen.
	withdrawalSeen bool
}

func (s *service) view(now time.Time) view {
	v := view{
		service: s.name, record: s.record, revision: s.revision, recordedAt: s.recordedAt,
		refused: s.refused(), provenVersions: s.provenVersions(), withdrawalSeen: s.withdrawn,
	}
	if t := s.trial; t != nil {
		v.running, v.order, v.firstRevision = true, t.order, t.firstRevision
		v.knownSince, v.notBefore = t.knownSince, t.notBefore
		v.halted, v.stage = t.halted, t.stageAt(now)
		v.requests, v.exposed = t.totals()
		return v
	}
	if s.order.Revision != 0 {
		return v
	}
	if s.record.State == Running {
		v.withdrawnOrder = s.record.Order
	}
	for _, order := range s.unrecordedEnds {
		if order.Revision > v.withdrawnOrder.Revision {
			v.withdrawnOrder = order
		}
	}
	return v
}

// proved says whether the order's version has nothing to prove.
func (v view) isProven() bool {
	return v.order.Version == v.record.Current || slices.Contains(v.provenVersions, v.order.Version)
}
