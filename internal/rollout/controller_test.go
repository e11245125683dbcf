package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// parts are all that a controller has around it.
type parts struct {
	silent
	storeOf
	decides bool
	live    []string
	away    bool
}

func (p *parts) Decides(string) bool { return p.decides }
func (p *parts) LiveIDs() []string   { return p.live }
func (p *parts) Reachable() bool     { return !p.away }

func controllerOf(p *parts) *Controller {
	c := NewController(ControllerOptions{
		Options: theOptions, Store: p, Peers: p, Registry: p, Watcher: p,
	})
	c.startCommit = func(pendingCommit) {}
	c.ordered(orderOf("v2", 1), noon)
	return c
}

func reportOf(stage Stage) Report {
	return Report{Service: TallyName(theService), Order: 1, Stage: stage}
}

// TestHaltIsTold: to all, some times, each notice once.
func TestHaltIsTold(t *testing.T) {
	is := is.New(t)
	c := controllerOf(&parts{decides: true, live: []string{"b"}})
	c.step(noon)
	c.Grant("b", haltOf(1), time.Time{}, noon)
	c.step(noon)
	for i := range noticeRepeats {
		now := noon.Add(time.Duration(i) * noticeInterval)
		is.Equal(c.Notices(now), []Grant{{Service: TallyName(theService), Order: 1, End: Halted}})
		is.Equal(len(c.Notices(now)), 0)
	}
	is.Equal(len(c.Notices(noon.Add(time.Minute))), 0)
	grant, ok := c.Report("b", reportOf(Canary), noon)
	is.True(ok)
	is.Equal(grant.For, time.Duration(0)) // and so says each answer
}

// TestCompletionIsTold: to all, some times, once the store has it.
func TestCompletionIsTold(t *testing.T) {
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
			c := controllerOf(&parts{decides: true, live: []string{"b"}})
			c.step(noon)
			record := Record{Order: orderOf("v2", 1), State: test.state, Elapsed: time.Second}
			c.commitDone(pendingCommit{commit: Commit{Record: record}}, 2, test.err, noon)
			told := c.Notices(noon.Add(noticeRepeats * noticeInterval))
			is.Equal(len(told), test.want)
			for _, grant := range told {
				want := doneOf(1)
				want.Age = time.Second
				is.Equal(grant, want)
			}
		})
	}
}

// TestWhoAnswers: only a process that decides, and that has looked lately.
func TestWhoAnswers(t *testing.T) {
	is := is.New(t)
	p := &parts{decides: true, live: []string{"b"}}
	c := controllerOf(p)
	answer := func(now time.Time) (Stage, bool) {
		grant, ok := c.Report("b", reportOf(Hold), now)
		return grant.Stage, ok
	}
	_, ok := answer(noon)
	is.True(!ok) // it hasn't looked yet
	c.step(noon)
	answer(noon)
	c.step(noon.Add(stepInterval))
	stage, ok := answer(noon.Add(stepInterval))
	is.True(ok)
	is.Equal(stage, Canary)
	is.Equal(len(c.Reports(noon.Add(stepInterval))), 0) // its own it takes itself
	_, ok = answer(noon.Add(stepInterval + maxStepGap + 1))
	is.True(!ok) // it was held up
	p.decides = false
	now := noon.Add(time.Second)
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

// TestCutOff: a process that hears few of the gateways, and not the store, allows itself
// nothing.
func TestCutOff(t *testing.T) {
	cases := map[string]struct {
		live []string
		away bool
		want bool
	}{
		"few are heard":                        {nil, false, true},
		"the store is away":                    {[]string{"b", "c"}, true, true},
		"few are heard, and the store is away": {nil, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &parts{decides: true, live: []string{"b", "c"}}
			control := controllerOf(p)
			control.step(noon)
			p.live, p.away = c.live, c.away
			control.step(noon.Add(stepInterval))
			_, ok := control.Report("b", reportOf(Hold), noon.Add(stepInterval))
			is.Equal(ok, c.want)
		})
	}
}

// TestOrderedAgainAfterItsEnd: sums of an order that has ended are not the next one's,
// also if nobody looked in between.
func TestOrderedAgainAfterItsEnd(t *testing.T) {
	is := is.New(t)
	c := controllerOf(&parts{decides: true, live: []string{"b"}})
	c.step(noon)
	c.Report("b", Report{Service: TallyName(theService), Order: 1, Requests: 900, Exposed: 90}, noon)
	c.recorded(Record{Order: orderOf("v2", 1), State: RolledBack, Refused: []string{"v2"}}, 2, "", noon)
	c.ordered(orderOf("v2", 3), noon)
	c.step(noon)
	requests, exposed := c.deciders[theService].decider.totals()
	is.Equal([]int{requests, exposed}, []int{0, 0})
}
