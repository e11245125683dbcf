package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
)

const (
	// maxReportTallies limits a report. Two datagrams hold this many. Services have fewer
	// combinations of routes and targets of one version, or else those with the most new answers
	// come first.
	maxReportTallies = 64
	// maxCanaryPart is the largest part of the share that the canary may use. The rest, with the
	// slack, pays for the move, in which the version gets all requests.
	maxCanaryPart = 0.8
	// minCanaryPart is the part it may use if the order's time is so short that the move needs
	// most of the share. With less, the judge would get too few answers.
	minCanaryPart = 0.4
	// typicalMove is the typical duration of a move: gateways receive its grant with their next
	// report, and the store answers.
	typicalMove = 600 * time.Millisecond
	// shortOrderReportFactor is how many times more often gateways report from shortly before a
	// move on, if the order's time is short. That doubles the messages for a few seconds.
	shortOrderReportFactor = 2
	// minHeadStartSlack is the smallest slack, in requests, with which gateways start as if they
	// had already sent some requests. Together they stay at the share on average, and exceed it
	// by a handful at most (three times the root of a twelfth of their number).
	minHeadStartSlack = 16
	// reportRetryDelay is the time after which an unanswered report is repeated, up to
	// maxReportRetries times, since packets get lost and a move is short. Answers take one round
	// trip.
	reportRetryDelay = 100 * time.Millisecond
	maxReportRetries = 2
	// recordLag is how long the record of a move may take to reach the gateways. The old targets
	// stop as soon as the store has it.
	recordLag = 5 * time.Second
	// changeLag is how long a change in the store may take to reach a gateway.
	changeLag = 300 * time.Millisecond
	// servedWindow is how long after its last request a version that the first order doesn't name
	// counts as serving. Expired entries are back by then, and versions that were replaced
	// without an order are forgotten.
	servedWindow = time.Minute
)

// service is one gateway's part in the rollouts of a service.
type service struct {
	name    string
	options Options
	// random returns a number in [0, 1).
	random func() float64
	// order is the one in the store, as far as is known; zero for none.
	order Order
	// lastOrder is the largest order revision seen.
	lastOrder int64
	// withdrawn is set if the store held an order and no longer does.
	withdrawn bool
	// record is the one in the store, with its revision; zero for none.
	record     Record
	revision   int64
	recordedAt time.Time
	// unrecordedEnds are orders that ended here before a record of their end was seen.
	unrecordedEnds []Order
	// trial is the trial of the running order; nil for none.
	trial *trial
	// baseVersions selects the versions for the requests that the version on trial doesn't get.
	baseVersions balance.Versions
	// inFlight counts the requests in flight by version since the process started, since an order
	// may arrive while they are.
	inFlight map[string]int
	// lastUsed is when each version last got a request, before any order was known.
	lastUsed map[string]time.Time
	// initialVersions are the versions that served when the first order came, according to
	// lastUsed.
	initialVersions []string
	pace            *Pace
	// noTargetSince is when a request first found no target besides those of the version on
	// trial; zero if the last request found one.
	noTargetSince time.Time
}

func newService(name string, options Options, random func() float64) *service {
	return &service{
		name: name, options: options, random: random, pace: NewPace(),
		inFlight: make(map[string]int), lastUsed: make(map[string]time.Time),
	}
}

// running reports whether the order has not ended, as far as is known.
func (s *service) running() bool {
	switch {
	case s.order.Revision == 0 || s.order.Revision < s.record.Order.Revision:
		return false
	case s.order.Revision == s.record.Order.Revision:
		return !s.record.isFinal()
	}
	return true
}

// reconcile brings trial and baseVersions in line with order and record.
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
	s.baseVersions = balance.Versions{Excluded: excluded, Preferred: s.record.Current}
	if s.trial != nil && s.trial.current {
		s.baseVersions.Preferred = s.trial.order.Version
	}
}

// noteUse records which versions serve until the first order.
func (s *service) noteUse(version string, now time.Time) {
	if s.lastOrder > 0 || s.revision > 0 {
		return
	}
	if _, known := s.lastUsed[version]; !known {
		maps.DeleteFunc(s.lastUsed, func(_ string, at time.Time) bool { return now.Sub(at) > servedWindow })
	}
	s.lastUsed[version] = now
}

// noteInitialVersions takes up the first order. The order's version counts as having served only
// if no other one has served or has targets. Beside others it may be unproven, with targets that
// were started for the order.
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

// provenVersions returns the versions that need no trial since they served before the first
// order; none once a rollout has completed.
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
		// The previous order has ended after all, so this one starts a new trial.
		s.trial = newTrial(s.order, s.options, s.random, now)
	case t.order.Revision != s.order.Revision:
		t.extend(s.order, now)
	}
	s.trial.current = s.isCurrent()
}

// isCurrent reports whether the running order is for a version that needs no trial: the current
// one, or one that served before the first order.
func (s *service) isCurrent() bool {
	return s.order.Version == s.record.Current || slices.Contains(s.provenVersions(), s.order.Version)
}

// refused returns the versions that get no requests, except for the one on trial.
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

// report returns the report about the trial.
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

// view is the state of a service that a controller needs.
type view struct {
	service  string
	record   Record
	revision int64
	// recordedAt is when the record was read.
	recordedAt time.Time
	// refused are the versions that get no requests, except for the one on trial.
	refused []string
	// provenVersions are the versions that served before the first order; none once a rollout
	// has completed.
	provenVersions []string
	// running is set if there is an order that has not ended, which the next fields describe.
	running bool
	order   Order
	// firstRevision is the revision of the first order of the trial.
	firstRevision int64
	knownSince    time.Time
	// notBefore is the deadline of an earlier order for the same version; zero for none.
	notBefore time.Time
	halted    bool
	stage     Stage
	requests  int
	exposed   int
	// withdrawnOrder is an order that was withdrawn before its end was recorded; zero for none.
	withdrawnOrder Order
	// withdrawalSeen is set if the withdrawal itself was seen.
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

// isProven reports whether the order's version needs no trial.
func (v view) isProven() bool {
	return v.order.Version == v.record.Current || slices.Contains(v.provenVersions, v.order.Version)
}
