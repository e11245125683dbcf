package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestDecider(options Options) *decider {
	v := view{service: testService, running: true, order: newOrder("v2", 1), knownSince: testTime}
	return newDecider(options, v, testTime)
}

// TestTotalsAcrossIncarnations checks that what a gateway had sent before it restarted still
// counts, and that released reservations aren't taken for a restart.
func TestTotalsAcrossIncarnations(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(testOptions)
	report := func(requests, exposed int) (int, int) {
		d.addReport("a", Report{Order: 1, Requests: requests, Exposed: exposed}, testTime)
		return d.totals()
	}
	report(100, 10)
	requests, exposed := report(100, 9)
	is.Equal([]int{requests, exposed}, []int{100, 9})
	requests, exposed = report(5, 1)
	is.Equal([]int{requests, exposed}, []int{105, 10})
	d.addReport("a", Report{Order: 2, Requests: 900}, testTime) // another order
	requests, _ = d.totals()
	is.Equal(requests, 105)
}

// TestOrderAgeOfEarliestGateway checks that the deadline counts from the gateway that knew the
// order first.
func TestOrderAgeOfEarliestGateway(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(testOptions)
	d.addReport("a", Report{Order: 1, Age: 20 * time.Second}, testTime)
	d.addReport("b", Report{Order: 1, Age: 5 * time.Second}, testTime)
	is.Equal(d.knownSince, testTime.Add(-20*time.Second))
	is.Equal(d.answerReport(1, testTime).Age, 20*time.Second)
}

// TestReportIntervals checks that reports become less frequent with more gateways, but that a
// grant still expires before the rollback time.
func TestReportIntervals(t *testing.T) {
	cases := map[string]struct {
		gateways        int
		rollback        time.Duration
		interval, grant time.Duration
	}{
		"one":             {1, 5 * time.Second, 250 * time.Millisecond, 1200 * time.Millisecond},
		"28":              {28, 5 * time.Second, 250 * time.Millisecond, 1200 * time.Millisecond},
		"128":             {128, 5 * time.Second, 500 * time.Millisecond, 1250 * time.Millisecond},
		"a thousand":      {1000, 5 * time.Second, 1250 * time.Millisecond, 3 * time.Second},
		"a short bound":   {28, 800 * time.Millisecond, 200 * time.Millisecond, 480 * time.Millisecond},
		"no bound stated": {28, 0, 250 * time.Millisecond, 1200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			options := Options{Rollback: c.rollback}
			interval := reportInterval(options, c.gateways)
			is.Equal(interval, c.interval)
			is.Equal(grantDuration(options, interval), c.grant)
		})
	}
}

// TestGrantsEndAtDeadline checks that no grant outlasts the order or its move.
func TestGrantsEndAtDeadline(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(testOptions)
	d.reportInterval, d.stage, d.deadline = baseReportInterval, Canary, testTime.Add(time.Second)
	is.Equal(d.answerReport(1, testTime).For, time.Second)
	grant := d.answerReport(1, testTime.Add(time.Second))
	is.Equal(grant.Stage, Hold)
	is.True(grant.For > 0) // it is no halt
	d.stage, d.moveUntil = Move, testTime.Add(300*time.Millisecond)
	is.Equal(d.answerReport(1, testTime).For, 300*time.Millisecond)
	d.haltReason = "bad"
	grant = d.answerReport(1, testTime)
	is.Equal(grant.Stage, Hold)
	is.Equal(grant.For, time.Duration(0))
	is.Equal(grant.End, Halted)
}

// newStepInput returns the input of a step with two gateways of ten requests in 250 ms each.
func newStepInput(d *decider, now time.Time) stepInput {
	d.addReport("b", Report{Order: 1, Stage: d.stage, Requests: int(now.Sub(testTime) / (25 * time.Millisecond))}, now)
	return stepInput{
		view:           view{service: testService, running: true, order: d.order, knownSince: testTime, record: Record{Order: d.order, State: Running}},
		report:         Report{Order: 1, Stage: d.stage, Requests: int(now.Sub(testTime) / (25 * time.Millisecond))},
		reportInterval: baseReportInterval,
		livePeers:      []string{"b"},
		reachable:      true,
		versions:       map[string]int{"v1": 1, "v2": 1},
	}
}

// runSteps makes the steps of a decider from one time to another, for a version that answers
// well.
func runSteps(d *decider, from, to time.Duration, change func(s *stepInput)) {
	for at := from; at < to; at += baseReportInterval {
		now := testTime.Add(at)
		answers := int(at/baseReportInterval) + 1
		d.judge.AddReport("c", []Tally{
			{Route: 5, Answers: 20 * answers},
			{Route: 5, Target: 1, Answers: answers},
			{Route: 5, Target: 2, Answers: answers},
		})
		s := newStepInput(d, now)
		change(&s)
		d.step(s, now)
	}
}

// TestMoveLeavesTimeForCommit checks that the completion of the shortest move leaves the store
// time to answer, at whatever phase the decider's steps fall. A commit with less time was not
// made, the move was wasted, and the share did not allow another one before the deadline: a good
// version was rolled back in three of five runs after the deciding gateway had restarted.
func TestMoveLeavesTimeForCommit(t *testing.T) {
	const storeTakes = 100 * time.Millisecond
	for phase := time.Duration(0); phase < stepInterval; phase += tick {
		t.Run(phase.String(), func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			start := scale(time.Minute-orderLag, moveStart)
			runSteps(d, 0, start, func(*stepInput) {})
			d.stage, d.moveBegan = Move, testTime.Add(start)
			d.moveUntil = d.moveBegan.Add(d.minMoveDuration())
			for now := d.moveBegan.Add(phase); ; now = now.Add(d.stepInterval()) {
				made := d.step(newStepInput(d, now), now)
				is.True(now.Before(d.moveUntil)) // the move ended without a commit
				if made.commit != nil && made.commit.Record.State == Completed {
					is.True(made.by.Sub(now) >= storeTakes)
					return
				}
			}
		})
	}
}

// TestMoveStart checks that a move begins at its time, and only if all gateways report, the store
// answers, no commit is in flight, and the share suffices.
func TestMoveStart(t *testing.T) {
	cases := map[string]struct {
		change func(s *stepInput)
		want   Stage
	}{
		"all conditions met":    {func(*stepInput) {}, Move},
		"one gateway silent":    {func(s *stepInput) { s.livePeers = append(s.livePeers, "d") }, Canary},
		"store unreachable":     {func(s *stepInput) { s.reachable = false }, Canary},
		"few peers":             {func(s *stepInput) { s.minority = true }, Canary},
		"unresolved completion": {func(s *stepInput) { s.completionUnresolved = true }, Canary},
		"commit in flight":      {func(s *stepInput) { s.committing = true }, Canary},
		"no running record":     {func(s *stepInput) { s.view.record = Record{} }, Canary},
		"no targets left":       {func(s *stepInput) { s.versions = map[string]int{"v1": 1} }, Canary},
		"share used up":         {func(s *stepInput) { s.report.Exposed = 1000 }, Canary},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			start := scale(time.Minute-orderLag, moveStart)
			runSteps(d, 0, start-baseReportInterval, func(*stepInput) {})
			is.Equal(d.stage, Canary) // not before its start
			runSteps(d, start, start+time.Second, c.change)
			is.Equal(d.stage, c.want)
			is.Equal(d.moveBegan.IsZero(), c.want != Move)
			is.Equal(d.haltReason, "")
		})
	}
}

// TestSoleVersion checks that a service counts as moved once it has had targets of the version
// only for a while, in which the store would have reported others.
func TestSoleVersion(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(testOptions)
	completionReason := func(after time.Duration, reachable bool) string {
		now := testTime.Add(after)
		s := newStepInput(d, now)
		s.versions, s.reachable = map[string]int{"v2": 1}, reachable
		d.step(s, now)
		return d.completeWithoutMove(s, now)
	}
	is.Equal(completionReason(0, true), "")
	is.Equal(completionReason(soleVersionDelay-time.Millisecond, false), "")
	is.Equal(completionReason(soleVersionDelay, true), "") // the store was unreachable
	is.True(completionReason(2*soleVersionDelay, true) != "")
	d.otherVersions["v1"] = true
	is.Equal(completionReason(2*soleVersionDelay, true), "") // the version has not proved good, and there were others
}

// TestDeadlineCheckWaitsForReports checks that a new decider waits for the reports of the other
// gateways before it halts a version for lack of time, but not forever, and not after the
// deadline.
func TestDeadlineCheckWaitsForReports(t *testing.T) {
	late := scale(time.Minute-orderLag, verdictDeadline) + time.Second
	waits := 2*baseReportInterval + reportGrace
	cases := map[string]struct {
		// live lists the other gateways that are alive, and reported those that have reported.
		live, reported []string
		// start is when the decider starts, and after the time from then to its step.
		start, after time.Duration
		want         bool
	}{
		"no reports":                           {[]string{"b", "c"}, nil, late, 0, false},
		"one has reported":                     {[]string{"b", "c"}, []string{"b"}, late, 0, false},
		"all have reported":                    {[]string{"b", "c"}, []string{"b", "c"}, late, 0, true},
		"one doesn't report":                   {[]string{"b", "c"}, []string{"b"}, late, waits, true},
		"one doesn't report, a moment before":  {[]string{"b", "c"}, []string{"b"}, late, waits - 1, false},
		"the others report to another gateway": {[]string{"b", "c"}, nil, late, waits, false},
		"deadline passed, no reports":          {[]string{"b", "c"}, nil, time.Minute, 0, true},
		"no time left for a move":              {[]string{"b", "c"}, nil, time.Minute - orderLag - 1, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, now := testTime.Add(c.start), testTime.Add(c.start+c.after)
			v := view{
				service: testService, running: true, order: newOrder("v2", 1), knownSince: testTime,
				record: Record{Order: newOrder("v2", 1), State: Running},
			}
			d := newDecider(testOptions, v, began)
			d.reportInterval = baseReportInterval
			for _, id := range c.reported {
				d.addReport(id, Report{Order: 1}, now)
			}
			d.judge.AddReport("b", []Tally{{Route: 5, Answers: 20}, {Route: 5, Target: 1, Answers: 2, Failed: 1}})
			s := stepInput{
				view: v, report: Report{Order: 1}, reportInterval: baseReportInterval, livePeers: c.live, reachable: true,
				versions: map[string]int{"v1": 1, "v2": 1},
			}
			d.step(s, now)
			is.Equal(d.haltReason != "", c.want)
		})
	}
}

// TestSoleVersionAfterOthers checks that a new decider that sees no other version relies on what
// is known about the service.
func TestSoleVersionAfterOthers(t *testing.T) {
	cases := map[string]struct {
		change func(s *stepInput)
		want   bool
	}{
		"never another":       {func(*stepInput) {}, true},
		"one was current":     {func(s *stepInput) { s.view.record.Current = "v1" }, false},
		"one is refused":      {func(s *stepInput) { s.view.refused = []string{"v1"} }, false},
		"few peers":           {func(s *stepInput) { s.minority = true }, false},
		"it was current once": {func(s *stepInput) { s.view.record.Current = "v2" }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			var s stepInput
			for _, now := range []time.Time{testTime, testTime.Add(soleVersionDelay)} {
				s = newStepInput(d, now)
				s.versions = map[string]int{"v2": 1}
				c.change(&s)
				d.step(s, now)
			}
			is.Equal(d.completeWithoutMove(s, testTime.Add(soleVersionDelay)) != "", c.want)
		})
	}
}

// TestCompletionWaitsForGateways checks that the completion waits until each live gateway has
// confirmed the move.
func TestCompletionWaitsForGateways(t *testing.T) {
	cases := map[string]struct {
		change func(d *decider, s *stepInput)
		want   bool
	}{
		"all confirmed": {func(*decider, *stepInput) {}, true},
		"one never reported": {
			func(_ *decider, s *stepInput) { s.livePeers = append(s.livePeers, "d") }, false,
		},
		"one fell back to the canary": {
			func(d *decider, _ *stepInput) { d.gateways["b"].report.Stage = Canary }, false,
		},
		"one confirmed an earlier move": {
			func(d *decider, _ *stepInput) { d.gateways["b"].at = d.moveBegan.Add(-1) }, false,
		},
		"one confirmed another order's move": {
			func(d *decider, _ *stepInput) { d.gateways["b"].report.Order = 9 }, false,
		},
		"this gateway has not": {
			func(_ *decider, s *stepInput) { s.report.Stage = Canary }, false,
		},
		"requests in flight": {
			func(d *decider, _ *stepInput) { d.gateways["b"].report.Others = 1 }, false,
		},
		"requests in flight, no time left": {
			func(d *decider, _ *stepInput) {
				d.gateways["b"].report.Others = 1
				d.moveUntil = d.moveBegan.Add(minMoveReports*d.moveReportInterval() + commitReserve - 1)
			}, true,
		},
		"all confirmed just now": {
			func(d *decider, _ *stepInput) { d.moveBegan = d.moveBegan.Add(d.moveReportInterval()) }, false,
		},
		"no time for the store's answer": {
			func(d *decider, _ *stepInput) {
				d.moveUntil = d.moveBegan.Add(minMoveReports*d.moveReportInterval() + holdMargin)
			}, false,
		},
		"store unreachable": {func(_ *decider, s *stepInput) { s.reachable = false }, false},
		"few peers":         {func(_ *decider, s *stepInput) { s.minority = true }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			d.stage, d.moveBegan, d.moveUntil = Move, testTime.Add(time.Second), testTime.Add(3*time.Second)
			d.reportInterval = baseReportInterval
			now := d.moveBegan.Add(minMoveReports * d.moveReportInterval())
			s := newStepInput(d, now)
			c.change(d, &s)
			commit := d.step(s, now).commit
			is.Equal(commit != nil && commit.Record.State == Completed, c.want)
		})
	}
}

// TestAffordableMove checks that a move may last as long as the share and the slack cover all
// requests, counted from the last order.
func TestAffordableMove(t *testing.T) {
	const rate = 80 // requests a second of two gateways
	bound := testOptions.Share*1000 + testOptions.Slack
	cases := map[string]struct {
		change func(d *decider)
		want   float64 // requests
	}{
		"nothing sent":                        {func(*decider) {}, bound},
		"some sent":                           {func(d *decider) { d.gateways["b"].report.Exposed = 40 }, bound - 40},
		"all sent":                            {func(d *decider) { d.gateways["b"].report.Exposed = 200 }, 0},
		"some sent by an earlier incarnation": {func(d *decider) { d.gateways["b"].exposed = 40 }, bound - 40},
		"ordered again":                       {func(d *decider) { d.requestsBefore = 600 }, bound - 60},
		"one gateway silent": {
			func(d *decider) { d.gateways["c"] = new(gatewayReports) }, bound - testOptions.Slack/3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			d.reportInterval, d.deadline = baseReportInterval, testTime.Add(time.Minute)
			for _, id := range []string{selfID, "b"} {
				d.addReport(id, Report{Order: 1, Requests: 460}, testTime)
				d.addReport(id, Report{Order: 1, Requests: 500}, testTime.Add(time.Second))
			}
			now := testTime.Add(time.Second + baseReportInterval) // all reports are due
			c.change(d)
			duration := d.affordableMove(stepInput{livePeers: []string{"b"}}, now)
			want := min(maxMove.Seconds(), c.want/(rate*rateMargin))
			is.True(duration.Seconds() > want-0.001 && duration.Seconds() < want+0.001)
		})
	}
}

// TestUsableSlack checks that the slack is divided by the largest number of gateways that there
// were.
func TestUsableSlack(t *testing.T) {
	cases := map[string]struct {
		live     []string
		maxPeers int
		want     float64
	}{
		"all":                     {[]string{"b"}, 1, testOptions.Slack},
		"a new peer":              {[]string{"b"}, 0, testOptions.Slack},
		"one of two":              {nil, 1, testOptions.Slack / 2},
		"two of ten":              {[]string{"b"}, 9, testOptions.Slack / 5},
		"one of ten, others left": {nil, 9, testOptions.Slack / 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			d.addReport(selfID, Report{Order: 1}, testTime)
			d.addReport("b", Report{Order: 1}, testTime)
			is.Equal(d.usableSlack(stepInput{livePeers: c.live, maxPeers: c.maxPeers}), c.want)
		})
	}
}

// TestMoveOfPreviousOrder checks that a move can't be completed for the next order.
func TestMoveOfPreviousOrder(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(testOptions)
	d.stage, d.moveBegan, d.moveUntil = Move, testTime, testTime.Add(3*time.Second)
	s := newStepInput(d, testTime)
	s.view.order.Revision = 2
	d.update(s, testTime)
	is.Equal(d.stage, Canary)
	is.Equal(d.order.Revision, int64(2))
}

// TestUnresolvedCompletion checks that after an unanswered completion the running record is
// written in place of the same one, and that no move begins.
func TestUnresolvedCompletion(t *testing.T) {
	cases := map[string]struct {
		unresolved bool
		// left is the time left of the move; negative after it.
		left   time.Duration
		reason string
		want   State
	}{
		"resolved":                        {false, -time.Second, "", ""},
		"after the move":                  {true, -time.Second, "", Running},
		"too late for a retry":            {true, holdMargin, "", Running},
		"time for a retry":                {true, maxMove / 2, "", Completed},
		"the version is halted":           {true, -time.Second, "bad", RolledBack},
		"the version is halted in a move": {true, maxMove / 2, "bad", RolledBack},
		"the version is halted, resolved": {false, -time.Second, "bad", RolledBack},
		"resolved, in a move":             {false, maxMove / 2, "", Completed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider(testOptions)
			d.reportInterval, d.haltReason = baseReportInterval, c.reason
			now := testTime.Add(scale(time.Minute-orderLag, cleanMoveStart)).Add(time.Second)
			d.stage, d.moveBegan, d.moveUntil = Move, now.Add(-maxMove/2), now.Add(c.left)
			s := newStepInput(d, now)
			s.completionUnresolved, s.view.record.Elapsed = c.unresolved, now.Sub(testTime)
			decision := d.step(s, now)
			if c.want == "" {
				is.Equal(decision.commit, nil)
				return
			}
			is.Equal(decision.commit.Record.State, c.want)
			is.True(d.stage != Move || c.left > 0)
		})
	}
}

// TestCommitFailures checks that the first failure is reported, and each different one. The delay
// grows except in a move, and ends when the store answers again.
func TestCommitFailures(t *testing.T) {
	is := is.New(t)
	d := new(deciderState)
	wait := func() time.Duration { return d.retryAt.Sub(testTime) }
	is.True(d.noteFailure(Running, errNoAnswer, testTime))
	is.Equal(wait(), commitRetryDelay)
	is.True(!d.noteFailure(Running, errNoAnswer, testTime))
	is.Equal(wait(), 2*commitRetryDelay)
	is.True(d.noteFailure(RolledBack, errNoAnswer, testTime)) // another state
	for range 100 {
		is.True(!d.noteFailure(RolledBack, errNoAnswer, testTime))
	}
	is.Equal(wait(), maxCommitRetryDelay)
	is.Equal(d.moveRetryAt.Sub(testTime), commitRetryDelay)
	commit := decision{commit: &Commit{}, by: testTime.Add(time.Minute)}
	now := testTime.Add(commitRetryDelay)
	_, due := d.nextCommit(commit, 7, now)
	is.True(!due)
	d.noteReachable(false)
	d.noteReachable(true)
	_, due = d.nextCommit(commit, 7, now)
	is.True(due)
	is.True(d.noteFailure(RolledBack, ErrOutdated, testTime)) // another error
	is.Equal(wait(), outdatedRetryDelay)
}

// TestCommitRetries checks that commits are made one at a time, and retried after a delay, or at
// once when the record that outdated them is known.
func TestCommitRetries(t *testing.T) {
	commit := decision{commit: &Commit{}, by: testTime.Add(time.Second)}
	retryAt := testTime.Add(commitRetryDelay)
	cases := map[string]struct {
		state    deciderState
		decision decision
		want     bool
	}{
		"the first":                      {deciderState{}, commit, true},
		"nothing to write":               {deciderState{}, decision{by: commit.by}, false},
		"no time":                        {deciderState{}, decision{commit: commit.commit, by: testTime}, false},
		"one in flight":                  {deciderState{commitInFlight: true}, commit, false},
		"failed just now":                {deciderState{lastErr: errNoAnswer, retryAt: retryAt}, commit, false},
		"after an unresolved completion": {deciderState{lastErr: errNoAnswer, unresolved: &Commit{}, lastCompleted: true, retryAt: retryAt}, commit, true},
		"failed commit after another":    {deciderState{lastErr: errNoAnswer, retryAt: retryAt}, commit, false},
		"failed a while ago":             {deciderState{lastErr: errNoAnswer, retryAt: testTime}, commit, true},
		"outdated, no new record":        {deciderState{lastErr: ErrOutdated, lastOver: 7, retryAt: retryAt}, commit, false},
		"outdated, new record":           {deciderState{lastErr: ErrOutdated, lastOver: 6, retryAt: retryAt}, commit, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, due := c.state.nextCommit(c.decision, 7, testTime)
			is.Equal(due, c.want)
		})
	}
}
