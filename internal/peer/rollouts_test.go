package peer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// fakeRollouts reports about one service whenever asked, and returns fixed grants. It calls the
// service back in each method, which deadlocks if a lock is held.
type fakeRollouts struct {
	service *Service

	mu      sync.Mutex
	due     []rollout.Report
	notices []rollout.Grant
	reports map[string]rollout.Report
	grants  []receivedGrant
}

// receivedGrant is a grant with the arguments that came with it.
type receivedGrant struct {
	from   string
	grant  rollout.Grant
	sentAt time.Time
	at     time.Time
}

const fakeService = "engines"

func (f *fakeRollouts) Services() []string { return []string{fakeService} }

func (f *fakeRollouts) ServiceOf(uint32) (string, bool) { return fakeService, true }

func (f *fakeRollouts) Reports(time.Time) []rollout.Report {
	if f.service.Decides(fakeService) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.due
}

func (f *fakeRollouts) Report(from string, report rollout.Report, _ time.Time) (rollout.Grant, bool) {
	if !f.service.Decides(fakeService) {
		return rollout.Grant{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[from] = report
	return rollout.Grant{Service: report.Service, Order: report.Order, Stage: rollout.Canary, Age: time.Second, For: 2 * time.Second, Wanted: []uint32{7}}, true
}

func (f *fakeRollouts) Grant(from string, grant rollout.Grant, sentAt, now time.Time) {
	_ = f.service.LiveIDs()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants = append(f.grants, receivedGrant{from: from, grant: grant, sentAt: sentAt, at: now})
}

func (f *fakeRollouts) Notices(time.Time) []rollout.Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	notices := f.notices
	f.notices = nil
	return notices
}

func (f *fakeRollouts) reportNothing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due = nil
}

func (f *fakeRollouts) receivedGrants() []receivedGrant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedGrant(nil), f.grants...)
}

func (f *fakeRollouts) receivedReports() map[string]rollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]rollout.Report, len(f.reports))
	for from, report := range f.reports {
		copied[from] = report
	}
	return copied
}

var sampleReport = rollout.Report{
	Service: serviceHash(fakeService), Order: 12, Age: 3 * time.Second, Stage: rollout.Canary, Others: 4, Requests: 500, Exposed: 40,
	Tallies: []rollout.Tally{{Route: 1, Target: 2, Answers: 30, Failed: 3, Slow: 1}, {Route: 1, Answers: 400, Failed: 2, Slow: 5}},
}

// newRolloutNode starts a node that handles rollouts.
func newRolloutNode(t *testing.T, id string, network *link.Memory, seeds ...string) (*node, *fakeRollouts) {
	t.Helper()
	fake := &fakeRollouts{reports: make(map[string]rollout.Report), due: []rollout.Report{sampleReport}}
	n := newNodeWith(t, id, network, func(service *Service) {
		fake.service = service
		service.SetRollouts(fake)
	}, seeds...)
	n.replica.set(1, true)
	return n, fake
}

// TestDeciderAnswersReports checks over real sockets that one of three gateways decides, gets the
// others' complete reports, and that its grants carry the time at which they were requested.
func TestDeciderAnswersReports(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	nodes, fakes := make(map[string]*node), make(map[string]*fakeRollouts)
	seed := ""
	for _, id := range []string{"one", "two", "three"} {
		nodes[id], fakes[id] = newRolloutNode(t, id, network, seed)
		if seed == "" {
			seed = nodes[id].service.options.Address
		}
	}
	decider := func() string {
		found := ""
		for id, n := range nodes {
			if n.service.Decides(fakeService) {
				found += id
			}
		}
		return found
	}
	waitFor(t, "exactly one gateway decides", func() bool { return nodes[decider()] != nil && len(nodes[decider()].service.LiveIDs()) == 2 })
	chosen := decider()
	waitFor(t, "the decider has all reports", func() bool { return len(fakes[chosen].receivedReports()) == 2 })
	for from, report := range fakes[chosen].receivedReports() {
		is.Equal(report.Incarnation, nodes[from].service.incarnation)
		report.Incarnation = 0
		is.Equal(report, sampleReport)
	}
	for id, fake := range fakes {
		if id == chosen {
			continue
		}
		waitFor(t, id+" has received a grant", func() bool { return len(fake.receivedGrants()) > 0 })
		got := fake.receivedGrants()[0]
		is.Equal(got.from, chosen)
		is.Equal(got.grant.Wanted, []uint32{7})
		is.Equal(got.grant.For, 2*time.Second)
		is.True(!got.sentAt.IsZero() && !got.sentAt.After(got.at))
	}
}

// TestNoticeReachesAllWithoutTerm checks that a notice reaches all gateways, and that it grants no
// time, whatever it contains, since no gateway has requested it.
func TestNoticeReachesAllWithoutTerm(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	one, sender := newRolloutNode(t, "one", network)
	two, receiver := newRolloutNode(t, "two", network, one.service.options.Address)
	sender.reportNothing()
	receiver.reportNothing()
	waitFor(t, "both gateways see each other", func() bool { return one.service.Live() == 1 && two.service.Live() == 1 })
	sender.mu.Lock()
	sender.notices = []rollout.Grant{{Service: serviceHash(fakeService), Order: 12, Stage: rollout.Move, For: time.Hour}}
	sender.mu.Unlock()
	waitFor(t, "the notice has arrived", func() bool { return len(receiver.receivedGrants()) == 1 })
	got := receiver.receivedGrants()[0]
	is.Equal(got.grant.For, time.Duration(0))
	is.True(got.sentAt.IsZero())
}

// TestGrantWithoutReportIsIgnored guards against grants for reports that this process never sent
// or sent long ago: the start of their term is unknown.
func TestGrantWithoutReportIsIgnored(t *testing.T) {
	cases := map[string]struct {
		answered uint64
		accepted int
	}{
		"a recent report":              {1500, 1},
		"an old report":                {1500 - sentHistory, 0},
		"a report that was never sent": {1501, 0},
		"a notice":                     {0, 1},
		"a sequence far ahead":         {1 << 60, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newTestService()
			fake := &fakeRollouts{service: service, reports: make(map[string]rollout.Report)}
			service.SetRollouts(fake)
			service.sequence = 1500
			message := grantMessage(rollout.Grant{Service: 1, Order: 2, Stage: rollout.Move, For: time.Second}, test.answered)
			service.handleRollouts(&wire.GatewayBeat{RolloutGrants: []*wire.RolloutGrant{message}}, &peer{id: "p"}, time.Unix(1000, 0))
			is.Equal(len(fake.receivedGrants()), test.accepted)
		})
	}
}

func TestReportRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := proto.Marshal(reportMessage(sampleReport))
	is.NoErr(err)
	message := new(wire.RolloutReport)
	is.NoErr(proto.Unmarshal(data, message))
	is.Equal(reportOf(message), sampleReport)
	message.Failed = message.Failed[:1] // one column is shorter
	is.Equal(len(reportOf(message).Tallies), 1)
	message.Stage = 99
	is.Equal(reportOf(message).Stage, rollout.Hold)
}

func TestGrantRoundTrip(t *testing.T) {
	cases := map[string]struct {
		grant    rollout.Grant
		answered uint64
		want     rollout.Grant
	}{
		"a grant": {
			rollout.Grant{Service: 1, Order: 2, Stage: rollout.Canary, Age: time.Second, For: time.Second, Wanted: []uint32{3}},
			9,
			rollout.Grant{Service: 1, Order: 2, Stage: rollout.Canary, Age: time.Second, For: time.Second, Wanted: []uint32{3}},
		},
		"a hold": {
			rollout.Grant{Service: 1, Order: 2, For: time.Second},
			9,
			rollout.Grant{Service: 1, Order: 2, For: time.Second},
		},
		"a halt": {
			rollout.Grant{Service: 1, Order: 2, End: rollout.Halted},
			0,
			rollout.Grant{Service: 1, Order: 2, End: rollout.Halted},
		},
		"a halt of an earlier release": {
			rollout.Grant{Service: 1, Order: 2},
			0,
			rollout.Grant{Service: 1, Order: 2, End: rollout.Halted},
		},
		"a completion": {
			rollout.Grant{Service: 1, Order: 2, Stage: rollout.Move, End: rollout.Done},
			0,
			rollout.Grant{Service: 1, Order: 2, Stage: rollout.Move, End: rollout.Done},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := proto.Marshal(grantMessage(test.grant, test.answered))
			is.NoErr(err)
			message := new(wire.RolloutGrant)
			is.NoErr(proto.Unmarshal(data, message))
			is.Equal(grantOf(message), test.want)
		})
	}
}

// TestExactlyOneDecider checks that among gateways that hear the same peers exactly one decides
// about each service. It has a copy of the store's content, and reaches the store if any does.
func TestExactlyOneDecider(t *testing.T) {
	const gateways = 28
	cases := map[string]struct {
		reaches   func(place int) bool
		loaded    func(place int) bool
		mayDecide func(place int) bool
	}{
		"all reach the store": {func(int) bool { return true }, func(int) bool { return true }, func(int) bool { return true }},
		"none reaches it":     {func(int) bool { return false }, func(int) bool { return true }, func(int) bool { return true }},
		"one reaches it":      {func(place int) bool { return place == 5 }, func(int) bool { return true }, func(place int) bool { return place == 5 }},
		"half of them reach":  {func(place int) bool { return place%2 == 0 }, func(int) bool { return true }, func(place int) bool { return place%2 == 0 }},
		"half have no copy":   {func(int) bool { return true }, func(place int) bool { return place%2 == 0 }, func(place int) bool { return place%2 == 0 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for service := range 40 {
				deciding := 0
				for self := range gateways {
					current := viewOf(self, gateways, test.reaches, test.loaded)
					own := selfCandidacy{hash: policy.HashName(gatewayID(self)), eligible: test.loaded(self), reachesStore: test.reaches(self)}
					if current.decider(serviceHash(fmt.Sprintf("service-%d", service)), own) == nil {
						deciding++
						is.True(test.mayDecide(self))
					}
				}
				is.Equal(deciding, 1)
			}
		})
	}
}

// TestLargestHostDecides checks that a large host decides before all smaller ones if it reaches
// the store.
func TestLargestHostDecides(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for service := range uint32(40) {
		tbl := newTable("self", nil, "", 7000)
		tbl.class = 2
		tbl.record(&wire.GatewayBeat{Id: "large", Address: "l", Life: 1, Sequence: 1, Revision: 3, StoreReachable: true, HostClass: 5}, now)
		tbl.record(&wire.GatewayBeat{Id: "small", Address: "s", Life: 2, Sequence: 1, Revision: 3, StoreReachable: true, HostClass: 1}, now)
		own := selfCandidacy{hash: policy.HashName("self"), eligible: true, reachesStore: true}
		is.Equal(tbl.newView(now).decider(service, own).id, "large")
		tbl.record(&wire.GatewayBeat{Id: "large", Address: "l", Life: 1, Sequence: 2, Revision: 3, HostClass: 5}, now)
		is.True(tbl.newView(now).decider(service, own) == nil) // the large host is cut off from the store
	}
}

// TestLeavingGatewayDoesNotDecide checks that a leaving gateway stops deciding at once. The others
// skip it at once, so there would be two deciders for as long as its last answers take.
func TestLeavingGatewayDoesNotDecide(t *testing.T) {
	is := is.New(t)
	service := newTestService()
	now := time.Now()
	service.table.record(&wire.GatewayBeat{Id: "other", Address: "a", Life: 1, Sequence: 1, Revision: 3, StoreReachable: true}, now)
	service.table.class = 5
	is.True(service.Decides(fakeService))
	service.leaving.Store(true)
	is.True(!service.Decides(fakeService))
}

func gatewayID(place int) string { return fmt.Sprintf("g-%d", place) }

// viewOf returns the view of one of several gateways that hears all the others.
func viewOf(self, gateways int, reaches, loaded func(place int) bool) *view {
	now := time.Unix(1000, 0)
	tbl := newTable(gatewayID(self), nil, "", 7000)
	for other := range gateways {
		if other == self {
			continue
		}
		revision := int64(0)
		if loaded(other) {
			revision = 3
		}
		tbl.record(&wire.GatewayBeat{
			Id: gatewayID(other), Address: fmt.Sprint(other), Life: uint64(other + 1), Sequence: 1,
			Revision: revision, StoreReachable: reaches(other),
		}, now)
	}
	return tbl.newView(now)
}

// TestSilentGatewayDoesNotDecide checks that a gateway that is frozen or cut off is skipped before
// it counts as lost.
func TestSilentGatewayDoesNotDecide(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tbl := newTable("self", nil, "", 7000)
	tbl.record(&wire.GatewayBeat{Id: "other", Address: "a", Life: 1, Sequence: 1, Revision: 3, StoreReachable: true}, now)
	idle := selfCandidacy{hash: policy.HashName("self")}
	is.True(tbl.newView(now).decider(1, idle) != nil)
	is.True(tbl.newView(now.Add(watcherTimeout)).decider(1, idle) != nil)
	is.True(tbl.newView(now.Add(watcherTimeout+tick)).decider(1, idle) == nil)
}

// TestRolloutDatagramSizes limits the sizes that docs/CAPACITY.md assumes: a decider among
// hundreds of gateways answers each of their reports.
func TestRolloutDatagramSizes(t *testing.T) {
	is := is.New(t)
	report := rollout.Report{Service: 1 << 31, Order: 5000, Age: 9 * time.Second, Stage: rollout.Canary, Others: 12, Requests: 900, Exposed: 60}
	for route := range uint32(3) {
		for target := range uint32(6) {
			report.Tallies = append(report.Tallies, rollout.Tally{Route: 1<<31 + route, Target: 1<<31 + target, Answers: 300, Failed: 3, Slow: 2})
		}
	}
	heartbeat := &wire.GatewayBeat{Life: 1 << 60, Sequence: 90000, Brief: true, Bare: true, RolloutReports: []*wire.RolloutReport{reportMessage(report)}}
	is.True(proto.Size(heartbeat) < 280) // three routes with five targets each, and the rows of the other targets
	heartbeat.RolloutReports = nil
	heartbeat.RolloutGrants = []*wire.RolloutGrant{grantMessage(rollout.Grant{Service: 1 << 31, Order: 5000, Stage: rollout.Canary, Age: 9 * time.Second, For: 2 * time.Second, Wanted: []uint32{1, 2}}, 90000)}
	is.True(proto.Size(heartbeat) < 60)
}
