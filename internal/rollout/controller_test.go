package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeDeps implements the dependencies of a controller.
type fakeDeps struct {
	noopDeps
	nodeStore
	decides          bool
	live             []string
	storeUnreachable bool
}

func (p *fakeDeps) Decides(string) bool { return p.decides }
func (p *fakeDeps) LiveIDs() []string   { return p.live }
func (p *fakeDeps) Reachable() bool     { return !p.storeUnreachable }

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

// TestHaltNotices checks that a halt is announced to all gateways, several times, and that each
// notice is sent once.
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
	is.Equal(grant.For, time.Duration(0)) // each answer announces the halt, too
}

// TestCompletionNotices checks that a completion is announced to all gateways, several times,
// once the store has it.
func TestCompletionNotices(t *testing.T) {
	cases := map[string]struct {
		state State
		err   error
		want  int
	}{
		"completed":            {Completed, nil, noticeRepeats},
		"completed, no answer": {Completed, errNoAnswer, 0},
		"completed, outdated":  {Completed, ErrOutdated, 0},
		"running":              {Running, nil, 0},
		"rolled back":          {RolledBack, nil, 0},
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

// TestReportsAnsweredByDecider checks that only a process that decides, and that has made a step
// recently, answers reports.
func TestReportsAnsweredByDecider(t *testing.T) {
	is := is.New(t)
	p := &fakeDeps{decides: true, live: []string{"b"}}
	c := newTestController(p)
	answer := func(now time.Time) (Stage, bool) {
		grant, ok := c.Report("b", testReport(Hold), now)
		return grant.Stage, ok
	}
	_, ok := answer(testTime)
	is.True(!ok) // no step was made yet
	c.step(testTime)
	answer(testTime)
	c.step(testTime.Add(stepInterval))
	stage, ok := answer(testTime.Add(stepInterval))
	is.True(ok)
	is.Equal(stage, Canary)
	is.Equal(len(c.Reports(testTime.Add(stepInterval))), 0) // the decider doesn't send its own reports
	_, ok = answer(testTime.Add(stepInterval + maxStepGap + 1))
	is.True(!ok) // the process was stalled
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
	is.Equal(stage, Hold) // until all gateways have reported again
}

// TestPartitionedGateway checks that a process in contact with a minority of the gateways, and
// not with the store, grants nothing.
func TestPartitionedGateway(t *testing.T) {
	cases := map[string]struct {
		live      []string
		storeAway bool
		want      bool
	}{
		"few peers":                        {nil, false, true},
		"store unreachable":                {[]string{"b", "c"}, true, true},
		"few peers, and store unreachable": {nil, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &fakeDeps{decides: true, live: []string{"b", "c"}}
			control := newTestController(p)
			control.step(testTime)
			p.live, p.storeUnreachable = c.live, c.storeAway
			control.step(testTime.Add(stepInterval))
			_, ok := control.Report("b", testReport(Hold), testTime.Add(stepInterval))
			is.Equal(ok, c.want)
		})
	}
}

// TestTotalsResetAfterEnd checks that the totals of an order that has ended don't count for the
// next one, even if no step was made in between.
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
