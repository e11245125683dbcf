package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// parts are all that a controller has around it.
type fakeDeps struct {
	noopDeps
	nodeStore
	decides   bool
	live      []string
	storeAway bool
}

func (p *fakeDeps) Decides(string) bool { return p.decides }
func (p *fakeDeps) LiveIDs() []string   { return p.live }
func (p *fakeDeps) Reachable() bool     { return !p.storeAway }

func newTestController(p *fakeDeps) *Controller {
	c := NewController(ControllerOptions{
		Options: testOptions, Store: p, Peers: p, Registry: p, Watcher: p,
	})
	c.startCommit = func(pendingCommit) {}
	c.ordered(newOrder("v2", 1), testTime)
	return c
}

func testReport(stage Stage) Report {
	return Report{Service: NameHash(testService), Order: 1, Stage: stage}
}

// TestHaltNotices: to all, some times, each notice once.
func TestHaltNotices(t *testing.T) {
	is := is.New(t)
	c := newTestController(&fakeDeps{decides: true, live: []string{"b"}})
	c.step(testTime)
	c.Grant("b", haltNotice(1), time.Time{}, testTime)
	c.step(testTime)
	for i := range noticeRepeats {
		now := testTime.Add(time.Duration(i) * noticeInterval)
		is.Equal(c.Notices(now), []Grant{{Service: NameHash(testService), Order: 1, End: Halted}})
		is.Equal(len(c.Notices(now)), 0)
	}
	is.Equal(len(c.Notices(testTime.Add(time.Minute))), 0)
	grant, ok := c.Report("b", testReport(Canary), testTime)
	is.True(ok)
	is.Equal(grant.For, time.Duration(0)) // and so says each answer
}

// TestCompletionNotices: to all, some times, once the store has it.
func TestCompletionNotices(t *testing.T) {
	cases := map[string]struct {
		state State
		err   error
		want  int
	}{
		"completed":             {Completed, nil, noticeRepeats},
		"completed, no answer":  {Completed, errNoAnswer, 0},
		"completed, outdated":   {Completed, ErrOutdated, 0},
		"running":               {Running, nil, 0},
		"rolled back, as halts": {RolledBack, nil, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(&fakeDeps{decides: true, live: []string{"b"}})
			c.step(testTime)
			record := Record{Order: newOrder("v2", 1), State: test.state, Elapsed: time.Second}
			c.commitDone(pendingCommit{commit: Commit{Record: record}}, 2, test.err, testTime)
			notices := c.Notices(testTime.Add(noticeRepeats * noticeInterval))
			is.Equal(len(notices), test.want)
			for _, grant := range notices {
				want := doneNotice(1)
				want.Age = time.Second
				is.Equal(grant, want)
			}
		})
	}
}

// TestReportsAnsweredByDecider: only a process that decides, and that has looked lately.
func TestReportsAnsweredByDecider(t *testing.T) {
	is := is.New(t)
	p := &fakeDeps{decides: true, live: []string{"b"}}
	c := newTestController(p)
	answer := func(now time.Time) (Stage, bool) {
		grant, ok := c.Report("b", testReport(Hold), now)
		return grant.Stage, ok
	}
	_, ok := answer(testTime)
	is.True(!ok) // it hasn't looked yet
	c.step(testTime)
	answer(testTime)
	c.step(testTime.Add(stepInterval))
	stage, ok := answer(testTime.Add(stepInterval))
	is.True(ok)
	is.Equal(stage, Canary)
	is.Equal(len(c.Reports(testTime.Add(stepInterval))), 0) // its own it takes itself
	_, ok = answer(testTime.Add(stepInterval + maxStepGap + 1))
	is.True(!ok) // it was held up
	p.decides = false
	now := testTime.Add(time.Second)
	c.step(now)
	_, ok = answer(now)
	is.True(!ok)
	is.Equal(len(c.Reports(now)), 1)
	p.decides, p.live = true, []string{"b", "c"}
	c.step(now)
	stage, ok = answer(now)
	is.True(ok)
	is.Equal(stage, Hold) // until it has heard all again
}

// TestPartitionedGateway: a process that hears few of the gateways, and not the store, allows itself
// nothing.
func TestPartitionedGateway(t *testing.T) {
	cases := map[string]struct {
		live      []string
		storeAway bool
		want      bool
	}{
		"few are heard":     {nil, false, true},
		"the store is away": {[]string{"b", "c"}, true, true},
		"few are heard, and the store is unreachable": {nil, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &fakeDeps{decides: true, live: []string{"b", "c"}}
			control := newTestController(p)
			control.step(testTime)
			p.live, p.storeAway = c.live, c.storeAway
			control.step(testTime.Add(stepInterval))
			_, ok := control.Report("b", testReport(Hold), testTime.Add(stepInterval))
			is.Equal(ok, c.want)
		})
	}
}

// TestTotalsResetAfterEnd: sums of an order that has ended are not the next one's,
// also if nobody looked in between.
func TestTotalsResetAfterEnd(t *testing.T) {
	is := is.New(t)
	c := newTestController(&fakeDeps{decides: true, live: []string{"b"}})
	c.step(testTime)
	c.Report("b", Report{Service: NameHash(testService), Order: 1, Requests: 900, Exposed: 90}, testTime)
	c.recorded(Record{Order: newOrder("v2", 1), State: RolledBack, Refused: []string{"v2"}}, 2, "", testTime)
	c.ordered(newOrder("v2", 3), testTime)
	c.step(testTime)
	requests, exposed := c.deciders[testService].decider.totals()
	is.Equal([]int{requests, exposed}, []int{0, 0})
}
