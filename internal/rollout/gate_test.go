package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

var testTime = time.Unix(1000, 0)

func newOrder(version string, revision int64) Order {
	return Order{Service: testService, Version: version, Duration: time.Minute, Revision: revision}
}

// send sends requests to the versions that the gate selects, and returns how many went to a
// version. Requests that may go to any version are sent to other.
func send(g *Gate, count int, version, other string, now time.Time) int {
	sent := 0
	for range count {
		assignment := g.Assign(AssignRequest{Service: testService, Route: "a"}, now)
		to := other
		if assignment.Versions.Only != "" {
			to = assignment.Versions.Only
		}
		g.RecordSend(assignment, to, now)
		g.Observe(Outcome{Service: testService, Route: "a", Version: to, Target: to, Ending: Answered}, now)
		if to == version {
			sent++
		}
	}
	return sent
}

func newGrant(order int64, stage Stage, duration time.Duration) Grant {
	return Grant{Service: NameHash(testService), Order: order, Stage: stage, For: duration, Wanted: []uint32{NameHash("a")}}
}

func haltNotice(order int64) Grant {
	return Grant{Service: NameHash(testService), Order: order, End: Halted}
}

func doneNotice(order int64) Grant {
	return Grant{Service: NameHash(testService), Order: order, Stage: Move, End: Done}
}

// TestVersionsByOrderAndRecord checks which versions requests may go to after changes in the
// store.
func TestVersionsByOrderAndRecord(t *testing.T) {
	completed := Record{Order: newOrder("v2", 1), State: Completed, Current: "v2", Refused: []string{"v1"}}
	rolledBack := Record{Order: newOrder("v2", 1), State: RolledBack, Refused: []string{"v2"}}
	cases := map[string]struct {
		setup func(g *Gate)
		want  balance.Versions
	}{
		"nothing": {func(*Gate) {}, balance.Versions{}},
		"an order": {
			func(g *Gate) { g.Ordered(newOrder("v2", 1), testTime) },
			balance.Versions{Excluded: []string{"v2"}},
		},
		"an order that is withdrawn": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.Withdrawn(testService, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"the first order is for the version that serves": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime)
				g.ordered(newOrder("v1", 1), map[string]int{"v1": 3}, testTime)
			},
			balance.Versions{Preferred: "v1"},
		},
		"the first order is for one of the versions that serve": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime)
				send(g, 1, "v2", "v2", testTime)
				g.ordered(newOrder("v2", 1), map[string]int{"v1": 3, "v2": 3}, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"the first order is for the only version that got requests, beside another": {
			func(g *Gate) {
				send(g, 1, "v2", "v2", testTime)
				g.ordered(newOrder("v2", 1), map[string]int{"v1": 3, "v2": 3}, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"the first order is for a version that replaced another one": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime.Add(-servedWindow))
				send(g, 1, "v2", "v2", testTime)
				g.ordered(newOrder("v2", 1), map[string]int{"v2": 3}, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"the first order is for a version that replaced another one long ago": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime.Add(-servedWindow-time.Second))
				send(g, 1, "v2", "v2", testTime.Add(-servedWindow))
				g.ordered(newOrder("v2", 1), map[string]int{"v2": 3}, testTime)
			},
			balance.Versions{Preferred: "v2"},
		},
		"the first order is for a version that got no requests": {
			func(g *Gate) { g.ordered(newOrder("v2", 1), map[string]int{"v2": 3}, testTime) },
			balance.Versions{Excluded: []string{"v2"}},
		},
		"the version that served is ordered after another one": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime)
				g.Ordered(newOrder("v2", 1), testTime)
				g.Ordered(newOrder("v1", 2), testTime)
			},
			balance.Versions{Excluded: []string{"v2"}, Preferred: "v1"},
		},
		"the version that served, then an order for another one": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime)
				g.Ordered(newOrder("v2", 1), testTime)
				g.Ordered(newOrder("v1", 2), testTime)
				g.Ordered(newOrder("v3", 3), testTime)
			},
			balance.Versions{Excluded: []string{"v2", "v3"}},
		},
		"a record with the versions that served": {
			func(g *Gate) {
				g.Recorded(Record{Order: newOrder("v2", 1), State: Running, Served: []string{"v1"}}, 2, testTime)
				g.Ordered(newOrder("v1", 3), testTime)
			},
			balance.Versions{Excluded: []string{"v2"}, Preferred: "v1"},
		},
		"an order after a completion for the version that served": {
			func(g *Gate) {
				send(g, 1, "v1", "v1", testTime)
				g.Ordered(newOrder("v2", 1), testTime)
				g.Recorded(completed, 2, testTime)
				g.Ordered(newOrder("v1", 3), testTime)
			},
			balance.Versions{Excluded: []string{"v1"}, Preferred: "v2"},
		},
		"an order that another follows": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.Ordered(newOrder("v3", 2), testTime)
			},
			balance.Versions{Excluded: []string{"v2", "v3"}},
		},
		"an older copy of an order": {
			func(g *Gate) {
				g.Ordered(newOrder("v3", 2), testTime)
				g.Ordered(newOrder("v2", 1), testTime)
			},
			balance.Versions{Excluded: []string{"v3"}},
		},
		"a running record without its order": {
			func(g *Gate) { g.Recorded(Record{Order: newOrder("v2", 1), State: Running}, 2, testTime) },
			balance.Versions{Excluded: []string{"v2"}},
		},
		"completed": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.Recorded(completed, 2, testTime)
			},
			balance.Versions{Excluded: []string{"v1"}, Preferred: "v2"},
		},
		"completed, and an older record": {
			func(g *Gate) {
				g.Recorded(completed, 3, testTime)
				g.Recorded(rolledBack, 2, testTime)
			},
			balance.Versions{Excluded: []string{"v1"}, Preferred: "v2"},
		},
		"completed, then withdrawn": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.Recorded(completed, 2, testTime)
				g.Withdrawn(testService, testTime)
			},
			balance.Versions{Excluded: []string{"v1"}, Preferred: "v2"},
		},
		"completed after a halt": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.applyGrant(haltNotice(1), time.Time{}, testTime)
				g.Recorded(completed, 2, testTime)
			},
			balance.Versions{Excluded: []string{"v1"}, Preferred: "v2"},
		},
		"completed by a notice": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.applyGrant(doneNotice(1), time.Time{}, testTime)
				g.applyGrant(newGrant(1, Canary, time.Minute), testTime, testTime)
			},
			balance.Versions{Only: "v2"},
		},
		"completed by repeated notices, no record": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime.Add(-recordLag))
				g.applyGrant(doneNotice(1), time.Time{}, testTime.Add(-recordLag))
				g.applyGrant(doneNotice(1), time.Time{}, testTime.Add(-time.Second))
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"completed by a notice after a halt": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.applyGrant(haltNotice(1), time.Time{}, testTime)
				g.applyGrant(doneNotice(1), time.Time{}, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"another order completed by a notice": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.applyGrant(doneNotice(9), time.Time{}, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"an expired hold": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.applyGrant(newGrant(1, Hold, 0), testTime, testTime)
				g.applyGrant(newGrant(1, Move, time.Minute), testTime, testTime)
			},
			balance.Versions{Only: "v2"},
		},
		"rolled back": {
			func(g *Gate) {
				g.Ordered(newOrder("v2", 1), testTime)
				g.Recorded(rolledBack, 2, testTime)
			},
			balance.Versions{Excluded: []string{"v2"}},
		},
		"an order after a completed one": {
			func(g *Gate) {
				g.Recorded(completed, 2, testTime)
				g.Ordered(newOrder("v3", 3), testTime)
			},
			balance.Versions{Excluded: []string{"v1", "v3"}, Preferred: "v2"},
		},
		"an order for the current version": {
			func(g *Gate) {
				g.Recorded(completed, 2, testTime)
				g.Ordered(newOrder("v2", 3), testTime)
				g.applyGrant(newGrant(3, Canary, time.Minute), testTime, testTime)
			},
			balance.Versions{Excluded: []string{"v1"}, Preferred: "v2"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(testOptions)
			c.setup(g)
			assignment := g.Assign(AssignRequest{Service: testService}, testTime)
			is.Equal(assignment.Versions, c.want)
			is.Equal(assignment.Fallback, nil)
			is.Equal(g.AdmittedVersions(testService, testTime), c.want)
		})
	}
}

// TestGrantExpiry checks that a grant is valid for its time from the sending of the report, and a
// halt for as long as the order.
func TestGrantExpiry(t *testing.T) {
	is := is.New(t)
	g := NewGate(testOptions)
	g.Ordered(newOrder("v2", 1), testTime)
	is.Equal(send(g, 1000, "v2", "v1", testTime), 0) // no grant
	g.applyGrant(newGrant(2, Move, time.Second), testTime, testTime)
	is.Equal(send(g, 10, "v2", "v1", testTime), 0) // of another order
	g.applyGrant(newGrant(1, Canary, time.Second), time.Time{}, testTime)
	is.Equal(send(g, 10, "v2", "v1", testTime), 0) // a notice allows nothing
	g.applyGrant(newGrant(1, Canary, time.Second), testTime.Add(-2*time.Second), testTime)
	is.Equal(send(g, 10, "v2", "v1", testTime), 0) // it has expired
	g.applyGrant(newGrant(1, Canary, time.Second), testTime, testTime)
	g.applyGrant(newGrant(1, Move, time.Second), testTime.Add(-2*time.Second), testTime) // it has expired, and doesn't end the canary
	sent := send(g, 1000, "v2", "v1", testTime)
	is.True(sent > 10 && sent <= 200)
	is.Equal(send(g, 10, "v2", "v1", testTime.Add(time.Second)), 0)
	later := testTime.Add(2 * time.Second)
	g.applyGrant(newGrant(1, Move, time.Second), later, later)
	is.Equal(send(g, 10, "v2", "v1", later), 10)
	is.Equal(g.AdmittedVersions(testService, later).Only, "v2")
	report, _ := g.report(testService, later)
	is.Equal(report.Exposed, sent+10) // requests of a move count as exposure, too
	is.Equal(report.Stage, Move)
	g.applyGrant(newGrant(1, Canary, time.Minute), later, later)
	g.applyGrant(newGrant(1, Hold, time.Minute), later, later)
	is.Equal(send(g, 10, "v2", "v1", later), 10) // a gateway stays in a move
	_, halted := g.applyGrant(haltNotice(1), time.Time{}, later)
	is.True(halted)
	is.Equal(send(g, 10, "v2", "v1", later), 0)
	g.applyGrant(newGrant(1, Move, time.Minute), later, later)
	is.Equal(send(g, 1000, "v2", "v1", later), 0) // halted
	_, halted = g.applyGrant(haltNotice(1), time.Time{}, later)
	is.True(!halted) // it was halted before
}

// TestCanaryShare checks that the share is kept at every moment, that retries go to other
// versions, and that unused reservations are released.
func TestCanaryShare(t *testing.T) {
	is := is.New(t)
	g := NewGate(testOptions)
	g.random = func() float64 { return 0 } // no head start
	g.Ordered(newOrder("v2", 1), testTime)
	g.applyGrant(newGrant(1, Canary, time.Minute), testTime, testTime)
	requests, exposed := 0, 0
	for i := range 5000 {
		assignment := g.Assign(AssignRequest{Service: testService, Route: "a", Retry: i%7 == 0}, testTime)
		only := assignment.Versions.Only
		if i%7 == 0 {
			is.Equal(only, "")
		}
		if only != "" && i%2 == 0 {
			is.True(assignment.Versions.Share > 0 && assignment.Versions.Share <= 0.1)
			is.Equal(*assignment.Fallback, balance.Versions{Excluded: []string{"v2"}})
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
		g.RecordSend(assignment, to, testTime)
		is.True(float64(exposed) <= 0.1*float64(requests))
	}
	report, ok := g.report(testService, testTime)
	is.True(ok)
	is.Equal(report.Requests, requests)
	is.Equal(report.Exposed, exposed)
	is.True(exposed > 50)
}

// TestRequestsInFlightBeforeOrder checks that requests sent before an order count as in flight at
// other versions.
func TestRequestsInFlightBeforeOrder(t *testing.T) {
	is := is.New(t)
	g := NewGate(testOptions)
	assignment := g.Assign(AssignRequest{Service: testService}, testTime)
	g.RecordSend(assignment, "v1", testTime)
	g.Ordered(newOrder("v2", 1), testTime)
	report, _ := g.report(testService, testTime)
	is.Equal(report.Others, 1)
	g.Observe(Outcome{Service: testService, Version: "v1", Ending: Neutral}, testTime)
	report, _ = g.report(testService, testTime)
	is.Equal(report.Others, 0)
	is.Equal(len(report.Tallies), 0)
}

// TestRepeatedOrder checks that a repeated order continues with the totals and the later
// deadline, but can't use what the previous one left of its share.
func TestRepeatedOrder(t *testing.T) {
	is := is.New(t)
	g := NewGate(testOptions)
	g.random = func() float64 { return 0 } // no head start
	first, second := newOrder("v2", 1), newOrder("v2", 2)
	second.Duration = time.Second
	g.Ordered(first, testTime)
	send(g, 1000, "v2", "v1", testTime)
	g.Ordered(second, testTime.Add(time.Second))
	v := g.views(testTime)[0]
	is.Equal(v.firstRevision, int64(1))
	is.Equal(v.requests, 1000)
	is.Equal(deadlineOf(v.order, v.knownSince, v.notBefore), deadlineOf(first, testTime, time.Time{}))
	g.applyGrant(newGrant(2, Canary, time.Minute), testTime.Add(time.Second), testTime.Add(time.Second))
	is.Equal(send(g, 5, "v2", "v1", testTime.Add(time.Second)), 0)
	g.Recorded(Record{Order: first, State: RolledBack, Refused: []string{"v2"}}, 3, testTime)
	v = g.views(testTime)[0]
	is.Equal(v.firstRevision, int64(2)) // the previous order ended, so this one starts a new trial
	is.Equal(v.requests, 0)
	is.True(!slices.Contains(v.refused, "v2"))
}

// TestReportsDue checks that reports are due once per interval, at once after a change of stage,
// and again if no answer comes.
func TestReportsDue(t *testing.T) {
	is := is.New(t)
	g := NewGate(testOptions)
	g.Ordered(newOrder("v2", 1), testTime)
	all := func(string) bool { return true }
	due := func(after time.Duration) int {
		return len(g.dueReports(testTime.Add(after), time.Second, all))
	}
	is.Equal(due(0), 1)
	is.Equal(due(10*time.Millisecond), 0)
	is.Equal(due(reportRetryDelay), 1)
	is.Equal(due(2*reportRetryDelay), 1)
	is.Equal(due(3*reportRetryDelay), 0) // no more retries
	is.Equal(due(2*reportRetryDelay+time.Second), 1)
	g.applyGrant(newGrant(1, Canary, time.Minute), testTime.Add(2*time.Second), testTime.Add(2*time.Second))
	is.Equal(due(2*time.Second), 1) // another stage
	g.applyGrant(newGrant(1, Canary, time.Minute), testTime.Add(2*time.Second), testTime.Add(2*time.Second))
	is.Equal(due(2*time.Second+reportRetryDelay), 0) // answered
	is.Equal(due(3*time.Second), 1)
	is.Equal(len(g.dueReports(testTime.Add(time.Minute), time.Second, func(string) bool { return false })), 0)
	short := newOrder("v2", 2)
	short.Duration = 10 * time.Second
	g.Ordered(short, testTime)
	is.Equal(due(4*time.Second), 1)
	g.applyGrant(newGrant(2, Canary, time.Minute), testTime.Add(4*time.Second), testTime.Add(4*time.Second))
	is.Equal(due(4500*time.Millisecond), 0)
	is.Equal(due(6*time.Second), 1)
	g.applyGrant(newGrant(2, Canary, time.Minute), testTime.Add(6*time.Second), testTime.Add(6*time.Second))
	is.Equal(due(6500*time.Millisecond), 1) // reports are more frequent shortly before the move
}

// TestHeadStart checks that gateways with few requests each still send the share between them.
func TestHeadStart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const gateways, each = 200, 10
	requests, exposed := 0, 0
	for range gateways {
		g := NewGate(testOptions)
		g.random = random.Float64
		g.Ordered(newOrder("v2", 1), testTime)
		g.applyGrant(newGrant(1, Canary, time.Minute), testTime, testTime)
		send(g, each, "v2", "v1", testTime)
		report, _ := g.report(testService, testTime)
		requests += report.Requests
		exposed += report.Exposed
	}
	is.Equal(requests, gateways*each)
	share := maxCanaryPart * testOptions.Share * float64(requests)
	is.True(float64(exposed) > share/2)
	is.True(float64(exposed) < share+testOptions.Slack/2)
}

// BenchmarkRequest measures the gate's cost per request, without an order and in the canary
// stage.
func BenchmarkRequest(b *testing.B) {
	for name, order := range map[string]bool{"no order": false, "canary": true} {
		b.Run(name, func(b *testing.B) {
			g := NewGate(testOptions)
			if order {
				g.Ordered(newOrder("v2", 1), testTime)
				g.applyGrant(newGrant(1, Canary, time.Minute), testTime, testTime)
			}
			outcome := Outcome{Service: testService, Route: "a", Version: "v1", Ending: Answered, Head: 50 * time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				g.RecordSend(g.Assign(AssignRequest{Service: testService, Route: "a"}, testTime), "v1", testTime)
				g.Observe(outcome, testTime)
			}
		})
	}
}

// TestFallbackAfterOthersLeft checks that the version on trial is the fallback once all targets
// of the others have left as planned, before the record of the completion is known. A halted
// version, one whose order was withdrawn, and one that is not on trial never are.
func TestFallbackAfterOthersLeft(t *testing.T) {
	all := func(balance.Versions) bool { return true }
	none := func(balance.Versions) bool { return false }
	cases := map[string]struct {
		setup    func(g *Gate)
		haveLeft func(versions balance.Versions) bool
		fallback string
	}{
		"the others have left":         {func(g *Gate) { g.Ordered(newOrder("v2", 1), testTime) }, all, "v2"},
		"the others haven't left":      {func(g *Gate) { g.Ordered(newOrder("v2", 1), testTime) }, none, ""},
		"unknown whether they left":    {func(g *Gate) { g.Ordered(newOrder("v2", 1), testTime) }, nil, ""},
		"no order":                     {func(*Gate) {}, all, ""},
		"an order for another version": {func(g *Gate) { g.Ordered(newOrder("v2", 1), testTime); g.Ordered(newOrder("v3", 2), testTime) }, all, "v3"},
		"halted": {func(g *Gate) {
			g.Ordered(newOrder("v2", 1), testTime)
			g.applyGrant(haltNotice(1), time.Time{}, testTime)
		}, all, ""},
		"order withdrawn": {func(g *Gate) {
			g.Ordered(newOrder("v2", 1), testTime)
			g.Withdrawn(testService, testTime)
		}, all, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(testOptions)
			c.setup(g)
			assignment := g.Assign(AssignRequest{Service: testService, HaveLeft: c.haveLeft}, testTime)
			fallback := ""
			if assignment.Fallback != nil {
				fallback = assignment.Fallback.Only
			}
			is.Equal(fallback, c.fallback)
		})
	}
}
