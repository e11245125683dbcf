package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

var noon = time.Unix(1000, 0)

func orderOf(version string, revision int64) Order {
	return Order{Service: theService, Version: version, Duration: time.Minute, Revision: revision}
}

// send sends requests where the gate says, and returns how many went to a version; the
// targets of Otherwise and of versions that may go anywhere are those of other.
func send(g *Gate, count int, version, other string, now time.Time) int {
	sent := 0
	for range count {
		assignment := g.Assign(AssignRequest{Service: theService, Route: "a"}, now)
		to := other
		if assignment.Versions.Only != "" {
			to = assignment.Versions.Only
		}
		g.RecordSend(assignment, to, now)
		g.Observe(Outcome{Service: theService, Route: "a", Version: to, Target: to, Ending: Answered}, now)
		if to == version {
			sent++
		}
	}
	return sent
}

func grantOf(order int64, stage Stage, lasts time.Duration) Grant {
	return Grant{Service: TallyName(theService), Order: order, Stage: stage, For: lasts, Wanted: []uint32{TallyName("a")}}
}

func haltOf(order int64) Grant {
	return Grant{Service: TallyName(theService), Order: order, End: Halted}
}

func doneOf(order int64) Grant {
	return Grant{Service: TallyName(theService), Order: order, Stage: Move, End: Done}
}

// TestVersionsByOrderAndRecord: what requests may go to, by what the store has held.
func TestVersionsByOrderAndRecord(t *testing.T) {
	completed := Record{Order: orderOf("v2", 1), State: Completed, Current: "v2", Refused: []string{"v1"}}
	rolledBack := Record{Order: orderOf("v2", 1), State: RolledBack, Refused: []string{"v2"}}
	cases := map[string]struct {
		play func(g *Gate)
		want balance.Versions
	}{
		"nothing": {func(*Gate) {}, balance.Versions{}},
		"an order": {
			func(g *Gate) { g.Ordered(orderOf("v2", 1), noon) },
			balance.Versions{Not: []string{"v2"}},
		},
		"an order that is withdrawn": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.Withdrawn(theService, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"the first order is for the version that serves": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon)
				g.ordered(orderOf("v1", 1), map[string]int{"v1": 3}, noon)
			},
			balance.Versions{Rather: "v1"},
		},
		"the first order is for one of the versions that serve": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon)
				send(g, 1, "v2", "v2", noon)
				g.ordered(orderOf("v2", 1), map[string]int{"v1": 3, "v2": 3}, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"the first order is for the only version that got requests, beside another": {
			func(g *Gate) {
				send(g, 1, "v2", "v2", noon)
				g.ordered(orderOf("v2", 1), map[string]int{"v1": 3, "v2": 3}, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"the first order is for a version that came in another's place": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon.Add(-servedWindow))
				send(g, 1, "v2", "v2", noon)
				g.ordered(orderOf("v2", 1), map[string]int{"v2": 3}, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"the first order is for a version that came in another's place long ago": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon.Add(-servedWindow-time.Second))
				send(g, 1, "v2", "v2", noon.Add(-servedWindow))
				g.ordered(orderOf("v2", 1), map[string]int{"v2": 3}, noon)
			},
			balance.Versions{Rather: "v2"},
		},
		"the first order is for a version that got no requests": {
			func(g *Gate) { g.ordered(orderOf("v2", 1), map[string]int{"v2": 3}, noon) },
			balance.Versions{Not: []string{"v2"}},
		},
		"the version that served is ordered after another one": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon)
				g.Ordered(orderOf("v2", 1), noon)
				g.Ordered(orderOf("v1", 2), noon)
			},
			balance.Versions{Not: []string{"v2"}, Rather: "v1"},
		},
		"the version that served is overtaken": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon)
				g.Ordered(orderOf("v2", 1), noon)
				g.Ordered(orderOf("v1", 2), noon)
				g.Ordered(orderOf("v3", 3), noon)
			},
			balance.Versions{Not: []string{"v2", "v3"}},
		},
		"a record says what served": {
			func(g *Gate) {
				g.Recorded(Record{Order: orderOf("v2", 1), State: Running, Served: []string{"v1"}}, 2, noon)
				g.Ordered(orderOf("v1", 3), noon)
			},
			balance.Versions{Not: []string{"v2"}, Rather: "v1"},
		},
		"a record has completed, and what served before is ordered": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", noon)
				g.Ordered(orderOf("v2", 1), noon)
				g.Recorded(completed, 2, noon)
				g.Ordered(orderOf("v1", 3), noon)
			},
			balance.Versions{Not: []string{"v1"}, Rather: "v2"},
		},
		"an order that another follows": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.Ordered(orderOf("v3", 2), noon)
			},
			balance.Versions{Not: []string{"v2", "v3"}},
		},
		"an older copy of an order": {
			func(g *Gate) {
				g.Ordered(orderOf("v3", 2), noon)
				g.Ordered(orderOf("v2", 1), noon)
			},
			balance.Versions{Not: []string{"v3"}},
		},
		"a running record without its order": {
			func(g *Gate) { g.Recorded(Record{Order: orderOf("v2", 1), State: Running}, 2, noon) },
			balance.Versions{Not: []string{"v2"}},
		},
		"completed": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.Recorded(completed, 2, noon)
			},
			balance.Versions{Not: []string{"v1"}, Rather: "v2"},
		},
		"completed, and an older record": {
			func(g *Gate) {
				g.Recorded(completed, 3, noon)
				g.Recorded(rolledBack, 2, noon)
			},
			balance.Versions{Not: []string{"v1"}, Rather: "v2"},
		},
		"completed, then withdrawn": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.Recorded(completed, 2, noon)
				g.Withdrawn(theService, noon)
			},
			balance.Versions{Not: []string{"v1"}, Rather: "v2"},
		},
		"completed after a halt": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.obey(haltOf(1), time.Time{}, noon)
				g.Recorded(completed, 2, noon)
			},
			balance.Versions{Not: []string{"v1"}, Rather: "v2"},
		},
		"completed, as was told": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.obey(doneOf(1), time.Time{}, noon)
				g.obey(grantOf(1, Canary, time.Minute), noon, noon)
			},
			balance.Versions{Only: "v2"},
		},
		"completed, as was told again and again, and no record": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon.Add(-recordLag))
				g.obey(doneOf(1), time.Time{}, noon.Add(-recordLag))
				g.obey(doneOf(1), time.Time{}, noon.Add(-time.Second))
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"completed, as was told after a halt": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.obey(haltOf(1), time.Time{}, noon)
				g.obey(doneOf(1), time.Time{}, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"another order completed, as was told": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.obey(doneOf(9), time.Time{}, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"a hold for no time": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.obey(grantOf(1, Hold, 0), noon, noon)
				g.obey(grantOf(1, Move, time.Minute), noon, noon)
			},
			balance.Versions{Only: "v2"},
		},
		"rolled back": {
			func(g *Gate) {
				g.Ordered(orderOf("v2", 1), noon)
				g.Recorded(rolledBack, 2, noon)
			},
			balance.Versions{Not: []string{"v2"}},
		},
		"an order after a completed one": {
			func(g *Gate) {
				g.Recorded(completed, 2, noon)
				g.Ordered(orderOf("v3", 3), noon)
			},
			balance.Versions{Not: []string{"v1", "v3"}, Rather: "v2"},
		},
		"an order for the version that all have": {
			func(g *Gate) {
				g.Recorded(completed, 2, noon)
				g.Ordered(orderOf("v2", 3), noon)
				g.obey(grantOf(3, Canary, time.Minute), noon, noon)
			},
			balance.Versions{Not: []string{"v1"}, Rather: "v2"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(theOptions)
			c.play(g)
			assignment := g.Assign(AssignRequest{Service: theService}, noon)
			is.Equal(assignment.Versions, c.want)
			is.Equal(assignment.Fallback, nil)
			is.Equal(g.AdmittedVersions(theService, noon), c.want)
		})
	}
}

// TestGrantsEnd: a grant holds for its time from the sending of the report, and a halt
// for as long as the order does.
func TestGrantsEnd(t *testing.T) {
	is := is.New(t)
	g := NewGate(theOptions)
	g.Ordered(orderOf("v2", 1), noon)
	is.Equal(send(g, 1000, "v2", "v1", noon), 0) // no grant
	g.obey(grantOf(2, Move, time.Second), noon, noon)
	is.Equal(send(g, 10, "v2", "v1", noon), 0) // of another order
	g.obey(grantOf(1, Canary, time.Second), time.Time{}, noon)
	is.Equal(send(g, 10, "v2", "v1", noon), 0) // a notice allows nothing
	g.obey(grantOf(1, Canary, time.Second), noon.Add(-2*time.Second), noon)
	is.Equal(send(g, 10, "v2", "v1", noon), 0) // it came too late
	g.obey(grantOf(1, Canary, time.Second), noon, noon)
	g.obey(grantOf(1, Move, time.Second), noon.Add(-2*time.Second), noon) // too late to end anything
	sent := send(g, 1000, "v2", "v1", noon)
	is.True(sent > 10 && sent <= 200)
	is.Equal(send(g, 10, "v2", "v1", noon.Add(time.Second)), 0)
	later := noon.Add(2 * time.Second)
	g.obey(grantOf(1, Move, time.Second), later, later)
	is.Equal(send(g, 10, "v2", "v1", later), 10)
	is.Equal(g.AdmittedVersions(theService, later).Only, "v2")
	report, _ := g.report(theService, later)
	is.Equal(report.Exposed, sent+10) // a move costs exposure, too
	is.Equal(report.Stage, Move)
	g.obey(grantOf(1, Canary, time.Minute), later, later)
	g.obey(grantOf(1, Hold, time.Minute), later, later)
	is.Equal(send(g, 10, "v2", "v1", later), 10) // who moves keeps to it
	_, halted := g.obey(haltOf(1), time.Time{}, later)
	is.True(halted)
	is.Equal(send(g, 10, "v2", "v1", later), 0)
	g.obey(grantOf(1, Move, time.Minute), later, later)
	is.Equal(send(g, 1000, "v2", "v1", later), 0) // halted
	_, halted = g.obey(haltOf(1), time.Time{}, later)
	is.True(!halted) // it was before
}

// TestCanaryShare: the share holds at every moment, further attempts go elsewhere, and
// what was not sent to the version is given back.
func TestCanaryShare(t *testing.T) {
	is := is.New(t)
	g := NewGate(theOptions)
	g.random = func() float64 { return 0 } // no head start
	g.Ordered(orderOf("v2", 1), noon)
	g.obey(grantOf(1, Canary, time.Minute), noon, noon)
	requests, exposed := 0, 0
	for i := range 5000 {
		assignment := g.Assign(AssignRequest{Service: theService, Route: "a", Retry: i%7 == 0}, noon)
		only := assignment.Versions.Only
		if i%7 == 0 {
			is.Equal(only, "")
		}
		if only != "" && i%2 == 0 {
			is.True(assignment.Versions.Share > 0 && assignment.Versions.Share <= 0.1)
			is.Equal(*assignment.Fallback, balance.Versions{Not: []string{"v2"}})
			g.Release(assignment)
			continue
		}
		if i%7 != 0 {
			requests++
		}
		to := "v1"
		if only != "" && i%3 != 0 {
			to = "v2"
			exposed++
		}
		g.RecordSend(assignment, to, noon)
		is.True(float64(exposed) <= 0.1*float64(requests))
	}
	report, ok := g.report(theService, noon)
	is.True(ok)
	is.Equal(report.Requests, requests)
	is.Equal(report.Exposed, exposed)
	is.True(exposed > 50)
}

// TestUnderWayBeforeTheOrder: requests that began before an order are under way at
// other versions, too.
func TestUnderWayBeforeTheOrder(t *testing.T) {
	is := is.New(t)
	g := NewGate(theOptions)
	assignment := g.Assign(AssignRequest{Service: theService}, noon)
	g.RecordSend(assignment, "v1", noon)
	g.Ordered(orderOf("v2", 1), noon)
	report, _ := g.report(theService, noon)
	is.Equal(report.Others, 1)
	g.Observe(Outcome{Service: theService, Version: "v1", Ending: Neutral}, noon)
	report, _ = g.report(theService, noon)
	is.Equal(report.Others, 0)
	is.Equal(len(report.Tallies), 0)
}

// TestOrderRepeated: the order goes on with its sums and the later deadline, but what
// the one before has left of its share isn't the new one's.
func TestOrderRepeated(t *testing.T) {
	is := is.New(t)
	g := NewGate(theOptions)
	g.random = func() float64 { return 0 } // no head start
	first, second := orderOf("v2", 1), orderOf("v2", 2)
	second.Duration = time.Second
	g.Ordered(first, noon)
	send(g, 1000, "v2", "v1", noon)
	g.Ordered(second, noon.Add(time.Second))
	v := g.views(noon)[0]
	is.Equal(v.firstRevision, int64(1))
	is.Equal(v.requests, 1000)
	is.Equal(deadlineOf(v.order, v.knownSince, v.notBefore), deadlineOf(first, noon, time.Time{}))
	g.obey(grantOf(2, Canary, time.Minute), noon.Add(time.Second), noon.Add(time.Second))
	is.Equal(send(g, 5, "v2", "v1", noon.Add(time.Second)), 0)
	g.Recorded(Record{Order: first, State: RolledBack, Refused: []string{"v2"}}, 3, noon)
	v = g.views(noon)[0]
	is.Equal(v.firstRevision, int64(2)) // the one before ended: this one begins anew
	is.Equal(v.requests, 0)
	is.True(!slices.Contains(v.refused, "v2"))
}

// TestReportsDue: one each interval, at once with news, and again if no answer comes.
func TestReportsDue(t *testing.T) {
	is := is.New(t)
	g := NewGate(theOptions)
	g.Ordered(orderOf("v2", 1), noon)
	all := func(string) bool { return true }
	due := func(after time.Duration) int {
		return len(g.due(noon.Add(after), time.Second, all))
	}
	is.Equal(due(0), 1)
	is.Equal(due(10*time.Millisecond), 0)
	is.Equal(due(reportRetryDelay), 1)
	is.Equal(due(2*reportRetryDelay), 1)
	is.Equal(due(3*reportRetryDelay), 0) // no more than that
	is.Equal(due(2*reportRetryDelay+time.Second), 1)
	g.obey(grantOf(1, Canary, time.Minute), noon.Add(2*time.Second), noon.Add(2*time.Second))
	is.Equal(due(2*time.Second), 1) // another stage
	g.obey(grantOf(1, Canary, time.Minute), noon.Add(2*time.Second), noon.Add(2*time.Second))
	is.Equal(due(2*time.Second+reportRetryDelay), 0) // answered
	is.Equal(due(3*time.Second), 1)
	is.Equal(len(g.due(noon.Add(time.Minute), time.Second, func(string) bool { return false })), 0)
	short := orderOf("v2", 2)
	short.Duration = 10 * time.Second
	g.Ordered(short, noon)
	is.Equal(due(4*time.Second), 1)
	g.obey(grantOf(2, Canary, time.Minute), noon.Add(4*time.Second), noon.Add(4*time.Second))
	is.Equal(due(4500*time.Millisecond), 0)
	is.Equal(due(6*time.Second), 1)
	g.obey(grantOf(2, Canary, time.Minute), noon.Add(6*time.Second), noon.Add(6*time.Second))
	is.Equal(due(6500*time.Millisecond), 1) // the move comes near
}

// TestHeadStart: gateways with few requests each still send their share together.
func TestHeadStart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const gateways, each = 200, 10
	requests, exposed := 0, 0
	for range gateways {
		g := NewGate(theOptions)
		g.random = random.Float64
		g.Ordered(orderOf("v2", 1), noon)
		g.obey(grantOf(1, Canary, time.Minute), noon, noon)
		send(g, each, "v2", "v1", noon)
		report, _ := g.report(theService, noon)
		requests += report.Requests
		exposed += report.Exposed
	}
	is.Equal(requests, gateways*each)
	share := maxCanaryPart * theOptions.Share * float64(requests)
	is.True(float64(exposed) > share/2)
	is.True(float64(exposed) < share+theOptions.Slack/2)
}

// BenchmarkRequest is what a request costs at the gate: without any order, and as a
// canary.
func BenchmarkRequest(b *testing.B) {
	for name, order := range map[string]bool{"no order": false, "canary": true} {
		b.Run(name, func(b *testing.B) {
			g := NewGate(theOptions)
			if order {
				g.Ordered(orderOf("v2", 1), noon)
				g.obey(grantOf(1, Canary, time.Minute), noon, noon)
			}
			outcome := Outcome{Service: theService, Route: "a", Version: "v1", Ending: Answered, Head: 50 * time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				g.RecordSend(g.Assign(AssignRequest{Service: theService, Route: "a"}, noon), "v1", noon)
				g.Observe(outcome, noon)
			}
		})
	}
}

// TestAVersionSucceedsWhatHasLeft: before the record of a completion is known here, the version takes
// the place of others whose targets have all left by plan; a halted or withdrawn one never, nor
// one that is not on trial.
func TestAVersionSucceedsWhatHasLeft(t *testing.T) {
	all := func(balance.Versions) bool { return true }
	none := func(balance.Versions) bool { return false }
	cases := map[string]struct {
		play  func(g *Gate)
		left  func(versions balance.Versions) bool
		takes string
	}{
		"the others have left":        {func(g *Gate) { g.Ordered(orderOf("v2", 1), noon) }, all, "v2"},
		"they are there, or lost":     {func(g *Gate) { g.Ordered(orderOf("v2", 1), noon) }, none, ""},
		"whether is not known":        {func(g *Gate) { g.Ordered(orderOf("v2", 1), noon) }, nil, ""},
		"no order":                    {func(*Gate) {}, all, ""},
		"another order has its place": {func(g *Gate) { g.Ordered(orderOf("v2", 1), noon); g.Ordered(orderOf("v3", 2), noon) }, all, "v3"},
		"it was halted": {func(g *Gate) {
			g.Ordered(orderOf("v2", 1), noon)
			g.obey(haltOf(1), time.Time{}, noon)
		}, all, ""},
		"its order was withdrawn": {func(g *Gate) {
			g.Ordered(orderOf("v2", 1), noon)
			g.Withdrawn(theService, noon)
		}, all, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(theOptions)
			c.play(g)
			assignment := g.Assign(AssignRequest{Service: theService, HaveLeft: c.left}, noon)
			takes := ""
			if assignment.Fallback != nil {
				takes = assignment.Fallback.Only
			}
			is.Equal(takes, c.takes)
		})
	}
}
