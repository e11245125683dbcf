package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func deciderOf(options Options) *decider {
	v := view{service: theService, running: true, order: orderOf("v2", 1), since: noon}
	return newDecider(options, v, noon)
}

// TestSumsOfLives: what a gateway had sent before it began anew still counts, and parts
// of the share that are given back are no new beginning.
func TestSumsOfLives(t *testing.T) {
	is := is.New(t)
	d := deciderOf(theOptions)
	hear := func(requests, exposed int) (int, int) {
		d.hear("a", Report{Order: 1, Requests: requests, Exposed: exposed}, noon)
		return d.sums()
	}
	hear(100, 10)
	requests, exposed := hear(100, 9)
	is.Equal([]int{requests, exposed}, []int{100, 9})
	requests, exposed = hear(5, 1)
	is.Equal([]int{requests, exposed}, []int{105, 10})
	d.hear("a", Report{Order: 2, Requests: 900}, noon) // another order
	requests, _ = d.sums()
	is.Equal(requests, 105)
}

// TestAgeIsTheLongest: the deadline is reckoned from the gateway that knew the order
// first.
func TestAgeIsTheLongest(t *testing.T) {
	is := is.New(t)
	d := deciderOf(theOptions)
	d.hear("a", Report{Order: 1, Age: 20 * time.Second}, noon)
	d.hear("b", Report{Order: 1, Age: 5 * time.Second}, noon)
	is.Equal(d.since, noon.Add(-20*time.Second))
	is.Equal(d.answer(1, noon).Age, 20*time.Second)
}

// TestTimesOfReports: among more gateways reports come less often, but never so late
// that a grant's time were over before the bound for rolling back.
func TestTimesOfReports(t *testing.T) {
	cases := map[string]struct {
		gateways     int
		rollback     time.Duration
		every, grant time.Duration
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
			every := reportEvery(options, c.gateways)
			is.Equal(every, c.every)
			is.Equal(grantFor(options, every), c.grant)
		})
	}
}

// TestAnswersEndAtTheDeadline: no grant outlasts the order or its move.
func TestAnswersEndAtTheDeadline(t *testing.T) {
	is := is.New(t)
	d := deciderOf(theOptions)
	d.every, d.stage, d.deadline = usualEvery, Canary, noon.Add(time.Second)
	is.Equal(d.answer(1, noon).For, time.Second)
	grant := d.answer(1, noon.Add(time.Second))
	is.Equal(grant.Stage, Hold)
	is.True(grant.For > 0) // but no halt
	d.stage, d.moveUntil = Move, noon.Add(300*time.Millisecond)
	is.Equal(d.answer(1, noon).For, 300*time.Millisecond)
	d.reason = "bad"
	grant = d.answer(1, noon)
	is.Equal(grant.Stage, Hold)
	is.Equal(grant.For, time.Duration(0))
	is.Equal(grant.End, Halted)
}

// situationOf is a decider's whole view of two gateways of ten requests in 250 ms each.
func situationOf(d *decider, now time.Time) situation {
	d.hear("b", Report{Order: 1, Stage: d.stage, Requests: int(now.Sub(noon) / (25 * time.Millisecond))}, now)
	return situation{
		view:      view{service: theService, running: true, order: d.order, since: noon, record: Record{Order: d.order, State: Running}},
		report:    Report{Order: 1, Stage: d.stage, Requests: int(now.Sub(noon) / (25 * time.Millisecond))},
		every:     usualEvery,
		live:      []string{"b"},
		reachable: true,
		versions:  map[string]int{"v1": 1, "v2": 1},
	}
}

// play steps a decider of a version that answers well until a part of its time is over.
func play(d *decider, from, to time.Duration, change func(s *situation)) {
	for at := from; at < to; at += usualEvery {
		now := noon.Add(at)
		answers := int(at/usualEvery) + 1
		d.judge.Take("c", []Tally{
			{Route: 5, Answers: 20 * answers},
			{Route: 5, Target: 1, Answers: answers},
			{Route: 5, Target: 2, Answers: answers},
		})
		s := situationOf(d, now)
		change(&s)
		d.step(s, now)
	}
}

// TestAMoveLeavesTheStoreItsTime: whenever the steps of the process that decides fall, the
// completion of the shortest move has time for the store to answer. A commit that had less
// was not made, the move was spent for nothing, and the share not enough for another before
// the deadline: a good version was rolled back, in three of five runs after the gateway that
// decided had begun anew.
func TestAMoveLeavesTheStoreItsTime(t *testing.T) {
	const storeTakes = 100 * time.Millisecond
	for phase := time.Duration(0); phase < stepEvery; phase += tick {
		t.Run(phase.String(), func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			begins := part(time.Minute-orderLag, moveFrom)
			play(d, 0, begins, func(*situation) {})
			d.stage, d.moveBegan = Move, noon.Add(begins)
			d.moveUntil = d.moveBegan.Add(d.leastMove())
			for now := d.moveBegan.Add(phase); ; now = now.Add(d.stepEvery()) {
				made := d.step(situationOf(d, now), now)
				is.True(now.Before(d.moveUntil)) // the move ended without a commit
				if made.commit != nil && made.commit.Record.State == Completed {
					is.True(made.by.Sub(now) >= storeTakes)
					return
				}
			}
		})
	}
}

// TestMoveBegins: in its time, and only if all gateways are heard, the store answers, no
// record is under way, and the share is enough.
func TestMoveBegins(t *testing.T) {
	cases := map[string]struct {
		change func(s *situation)
		want   Stage
	}{
		"all is well":              {func(*situation) {}, Move},
		"one is not heard":         {func(s *situation) { s.live = append(s.live, "d") }, Canary},
		"the store is away":        {func(s *situation) { s.reachable = false }, Canary},
		"few are heard":            {func(s *situation) { s.few = true }, Canary},
		"a completion is in doubt": {func(s *situation) { s.unsure = true }, Canary},
		"a commit under way":       {func(s *situation) { s.committing = true }, Canary},
		"no running record":        {func(s *situation) { s.view.record = Record{} }, Canary},
		"no targets any more":      {func(s *situation) { s.versions = map[string]int{"v1": 1} }, Canary},
		"the share is spent":       {func(s *situation) { s.report.Exposed = 1000 }, Canary},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			begins := part(time.Minute-orderLag, moveFrom)
			play(d, 0, begins-usualEvery, func(*situation) {})
			is.Equal(d.stage, Canary) // not before its time
			play(d, begins, begins+time.Second, c.change)
			is.Equal(d.stage, c.want)
			is.Equal(d.moveBegan.IsZero(), c.want != Move)
			is.Equal(d.reason, "")
		})
	}
}

// TestAlone: a service counts as moved that has had targets of the version only for a
// while, in which the store would have told of others.
func TestAlone(t *testing.T) {
	is := is.New(t)
	d := deciderOf(theOptions)
	standing := func(after time.Duration, reachable bool) string {
		now := noon.Add(after)
		s := situationOf(d, now)
		s.versions, s.reachable = map[string]int{"v2": 1}, reachable
		d.step(s, now)
		return d.standing(s, now)
	}
	is.Equal(standing(0, true), "")
	is.Equal(standing(aloneFor-time.Millisecond, false), "")
	is.Equal(standing(aloneFor, true), "") // the store was away
	is.True(standing(2*aloneFor, true) != "")
	d.others["v1"] = true
	is.Equal(standing(2*aloneFor, true), "") // it has not proved good, and others were there
}

// TestClockWaitsForReports: what the clock says against a version waits until a new
// decider has heard the others, but not for ever, and not after the deadline.
func TestClockWaitsForReports(t *testing.T) {
	late := part(time.Minute-orderLag, lastMoment) + time.Second
	waits := 2*usualEvery + lateReports
	cases := map[string]struct {
		// live are heard at once as far as they have reported.
		live, reported []string
		// after is how long after the decider began it looks.
		began, after time.Duration
		want         bool
	}{
		"nobody has reported":                     {[]string{"b", "c"}, nil, late, 0, false},
		"one has reported":                        {[]string{"b", "c"}, []string{"b"}, late, 0, false},
		"all have reported":                       {[]string{"b", "c"}, []string{"b", "c"}, late, 0, true},
		"one doesn't report":                      {[]string{"b", "c"}, []string{"b"}, late, waits, true},
		"one doesn't report, a moment before":     {[]string{"b", "c"}, []string{"b"}, late, waits - 1, false},
		"the others report to somebody else":      {[]string{"b", "c"}, nil, late, waits, false},
		"the deadline has passed, nobody reports": {[]string{"b", "c"}, nil, time.Minute, 0, true},
		"there is no time for a move any more":    {[]string{"b", "c"}, nil, time.Minute - orderLag - 1, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, now := noon.Add(c.began), noon.Add(c.began+c.after)
			v := view{
				service: theService, running: true, order: orderOf("v2", 1), since: noon,
				record: Record{Order: orderOf("v2", 1), State: Running},
			}
			d := newDecider(theOptions, v, began)
			d.every = usualEvery
			for _, id := range c.reported {
				d.hear(id, Report{Order: 1}, now)
			}
			d.judge.Take("b", []Tally{{Route: 5, Answers: 20}, {Route: 5, Target: 1, Answers: 2, Failed: 1}})
			s := situation{
				view: v, report: Report{Order: 1}, every: usualEvery, live: c.live, reachable: true,
				versions: map[string]int{"v1": 1, "v2": 1},
			}
			d.step(s, now)
			is.Equal(d.reason != "", c.want)
		})
	}
}

// TestAloneAfterOthers: a new decider that sees no other version goes by what is known of
// the service.
func TestAloneAfterOthers(t *testing.T) {
	cases := map[string]struct {
		change func(s *situation)
		want   bool
	}{
		"never another":       {func(*situation) {}, true},
		"one was current":     {func(s *situation) { s.view.record.Current = "v1" }, false},
		"one is refused":      {func(s *situation) { s.view.refused = []string{"v1"} }, false},
		"few gateways heard":  {func(s *situation) { s.few = true }, false},
		"it was current once": {func(s *situation) { s.view.record.Current = "v2" }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			var s situation
			for _, now := range []time.Time{noon, noon.Add(aloneFor)} {
				s = situationOf(d, now)
				s.versions = map[string]int{"v2": 1}
				c.change(&s)
				d.step(s, now)
			}
			is.Equal(d.standing(s, noon.Add(aloneFor)) != "", c.want)
		})
	}
}

// TestCompletionWaits: for each live gateway to say that it obeys the move.
func TestCompletionWaits(t *testing.T) {
	cases := map[string]struct {
		change func(d *decider, s *situation)
		want   bool
	}{
		"all obey": {func(*decider, *situation) {}, true},
		"one that was never heard": {
			func(_ *decider, s *situation) { s.live = append(s.live, "d") }, false,
		},
		"one that has fallen back": {
			func(d *decider, _ *situation) { d.gateways["b"].report.Stage = Canary }, false,
		},
		"one that obeys a move before": {
			func(d *decider, _ *situation) { d.gateways["b"].at = d.moveBegan.Add(-1) }, false,
		},
		"one that obeys another order's": {
			func(d *decider, _ *situation) { d.gateways["b"].report.Order = 9 }, false,
		},
		"this one does not": {
			func(_ *decider, s *situation) { s.report.Stage = Canary }, false,
		},
		"answers under way": {
			func(d *decider, _ *situation) { d.gateways["b"].report.Others = 1 }, false,
		},
		"answers under way, and no more time": {
			func(d *decider, _ *situation) {
				d.gateways["b"].report.Others = 1
				d.moveUntil = d.moveBegan.Add(seenReports*d.entryEvery() + commitReserve - 1)
			}, true,
		},
		"all have obeyed for a moment only": {
			func(d *decider, _ *situation) { d.moveBegan = d.moveBegan.Add(d.entryEvery()) }, false,
		},
		"no time for the store's answer": {
			func(d *decider, _ *situation) {
				d.moveUntil = d.moveBegan.Add(seenReports*d.entryEvery() + holdMargin)
			}, false,
		},
		"the store is away": {func(_ *decider, s *situation) { s.reachable = false }, false},
		"few are heard":     {func(_ *decider, s *situation) { s.few = true }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			d.stage, d.moveBegan, d.moveUntil = Move, noon.Add(time.Second), noon.Add(3*time.Second)
			d.every = usualEvery
			now := d.moveBegan.Add(seenReports * d.entryEvery())
			s := situationOf(d, now)
			c.change(d, &s)
			commit := d.step(s, now).commit
			is.Equal(commit != nil && commit.Record.State == Completed, c.want)
		})
	}
}

// TestAffords: everything may go to the version for as long as the share and the slack
// cover it, counted from the last order.
func TestAffords(t *testing.T) {
	const rate = 80 // requests a second of two gateways
	bound := theOptions.Share*1000 + theOptions.Slack
	cases := map[string]struct {
		change func(d *decider)
		want   float64 // requests
	}{
		"nothing sent":     {func(*decider) {}, bound},
		"some sent":        {func(d *decider) { d.gateways["b"].report.Exposed = 40 }, bound - 40},
		"all sent":         {func(d *decider) { d.gateways["b"].report.Exposed = 200 }, 0},
		"by a life before": {func(d *decider) { d.gateways["b"].exposed = 40 }, bound - 40},
		"ordered again":    {func(d *decider) { d.requestsBefore = 600 }, bound - 60},
		"one not heard any more": {
			func(d *decider) { d.gateways["c"] = new(heard) }, bound - theOptions.Slack/3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			d.every, d.deadline = usualEvery, noon.Add(time.Minute)
			for _, id := range []string{own, "b"} {
				d.hear(id, Report{Order: 1, Requests: 460}, noon)
				d.hear(id, Report{Order: 1, Requests: 500}, noon.Add(time.Second))
			}
			now := noon.Add(time.Second + usualEvery) // all reports are due
			c.change(d)
			lasts := d.affords(situation{live: []string{"b"}}, now)
			want := min(longestMove.Seconds(), c.want/(rate*rateMargin))
			is.True(lasts.Seconds() > want-0.001 && lasts.Seconds() < want+0.001)
		})
	}
}

// TestPartOfTheSlack: by the most gateways that there were.
func TestPartOfTheSlack(t *testing.T) {
	cases := map[string]struct {
		live []string
		most int
		want float64
	}{
		"all":                     {[]string{"b"}, 1, theOptions.Slack},
		"a fresh one":             {[]string{"b"}, 0, theOptions.Slack},
		"one of two":              {nil, 1, theOptions.Slack / 2},
		"two of ten":              {[]string{"b"}, 9, theOptions.Slack / 5},
		"one of ten, others left": {nil, 9, theOptions.Slack / 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			d.hear(own, Report{Order: 1}, noon)
			d.hear("b", Report{Order: 1}, noon)
			is.Equal(d.slack(situation{live: c.live, most: c.most}), c.want)
		})
	}
}

// TestMoveOfAnOrderBefore: it can't be completed for the next order.
func TestMoveOfAnOrderBefore(t *testing.T) {
	is := is.New(t)
	d := deciderOf(theOptions)
	d.stage, d.moveBegan, d.moveUntil = Move, noon, noon.Add(3*time.Second)
	s := situationOf(d, noon)
	s.view.order.Revision = 2
	d.learn(s, noon)
	is.Equal(d.stage, Canary)
	is.Equal(d.order.Revision, int64(2))
}

// TestCompletionInDoubt: after a completion that the store has not answered, the running
// record is written over the same one, and no move begins.
func TestCompletionInDoubt(t *testing.T) {
	cases := map[string]struct {
		unsure bool
		// left is what is left of a move; below zero after it.
		left   time.Duration
		reason string
		want   State
	}{
		"no doubt":                         {false, -time.Second, "", ""},
		"after the move":                   {true, -time.Second, "", Running},
		"too late for another try":         {true, holdMargin, "", Running},
		"time for another try":             {true, longestMove / 2, "", Completed},
		"the version is halted":            {true, -time.Second, "bad", RolledBack},
		"the version is halted in a move":  {true, longestMove / 2, "bad", RolledBack},
		"the version is halted, no doubt":  {false, -time.Second, "bad", RolledBack},
		"in a move that nobody has doubts": {false, longestMove / 2, "", Completed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deciderOf(theOptions)
			d.every, d.reason = usualEvery, c.reason
			now := noon.Add(part(time.Minute-orderLag, cleanFrom)).Add(time.Second)
			d.stage, d.moveBegan, d.moveUntil = Move, now.Add(-longestMove/2), now.Add(c.left)
			s := situationOf(d, now)
			s.unsure, s.view.record.Elapsed = c.unsure, now.Sub(noon)
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

// TestFailuresAreTold: the first, and each other one. The pause grows, but in a move, and
// ends when the store answers again.
func TestFailuresAreTold(t *testing.T) {
	is := is.New(t)
	d := new(duty)
	wait := func() time.Duration { return d.again.Sub(noon) }
	is.True(d.fail(Running, errNoAnswer, noon))
	is.Equal(wait(), commitAgain)
	is.True(!d.fail(Running, errNoAnswer, noon))
	is.Equal(wait(), 2*commitAgain)
	is.True(d.fail(RolledBack, errNoAnswer, noon)) // another state
	for range 100 {
		is.True(!d.fail(RolledBack, errNoAnswer, noon))
	}
	is.Equal(wait(), commitAgainMost)
	is.Equal(d.againInMove.Sub(noon), commitAgain)
	commit := decision{commit: &Commit{}, by: noon.Add(time.Minute)}
	now := noon.Add(commitAgain)
	_, due := d.due(commit, 7, now)
	is.True(!due)
	d.back(false)
	d.back(true)
	_, due = d.due(commit, 7, now)
	is.True(due)
	is.True(d.fail(RolledBack, ErrOutdated, noon)) // another error
	is.Equal(wait(), outdatedAgain)
}

// TestCommitsAgain: one at a time, after a while, or at once when what it was too late
// for is known.
func TestCommitsAgain(t *testing.T) {
	commit := decision{commit: &Commit{}, by: noon.Add(time.Second)}
	again := noon.Add(commitAgain)
	cases := map[string]struct {
		duty     duty
		decision decision
		want     bool
	}{
		"the first":                   {duty{}, commit, true},
		"nothing to write":            {duty{}, decision{by: commit.by}, false},
		"no time":                     {duty{}, decision{commit: commit.commit, by: noon}, false},
		"one under way":               {duty{writing: true}, commit, false},
		"failed just now":             {duty{failed: errNoAnswer, again: again}, commit, false},
		"a completion just now":       {duty{failed: errNoAnswer, unsure: &Commit{}, completing: true, again: again}, commit, true},
		"failed after a completion":   {duty{failed: errNoAnswer, again: again}, commit, false},
		"failed a while ago":          {duty{failed: errNoAnswer, again: noon}, commit, true},
		"outdated, nothing new":       {duty{failed: ErrOutdated, over: 7, again: again}, commit, false},
		"outdated, and a record came": {duty{failed: ErrOutdated, over: 6, again: again}, commit, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, due := c.duty.due(c.decision, 7, noon)
			is.Equal(due, c.want)
		})
	}
}
