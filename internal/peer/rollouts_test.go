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

// fakeRollouts reports about one service whenever asked, and grants what it is told to.
// It asks who decides wherever the service calls it: no lock may be held there.
type fakeRollouts struct {
	service *Service

	mu      sync.Mutex
	due     []rollout.Report
	notices []rollout.Grant
	reports map[string]rollout.Report
	grants  []taken
}

// taken is a grant as it came.
type taken struct {
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
	f.grants = append(f.grants, taken{from: from, grant: grant, sentAt: sentAt, at: now})
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

func (f *fakeRollouts) got() []taken {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]taken(nil), f.grants...)
}

func (f *fakeRollouts) reported() map[string]rollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]rollout.Report, len(f.reports))
	for from, report := range f.reports {
		copied[from] = report
	}
	return copied
}

var someReport = rollout.Report{
	Service: serviceHash(fakeService), Order: 12, Age: 3 * time.Second, Stage: rollout.Canary, Others: 4, Requests: 500, Exposed: 40,
	Tallies: []rollout.Tally{{Route: 1, Target: 2, Answers: 30, Failed: 3, Slow: 1}, {Route: 1, Answers: 400, Failed: 2, Slow: 5}},
}

// withRollouts is a started node that carries roll-outs.
func withRollouts(t *testing.T, id string, network *link.Memory, seeds ...string) (*node, *fakeRollouts) {
	t.Helper()
	fake := &fakeRollouts{reports: make(map[string]rollout.Report), due: []rollout.Report{someReport}}
	n := newNodeWith(t, id, network, func(service *Service) {
		fake.service = service
		service.SetRollouts(fake)
	}, seeds...)
	n.replica.set(1, true)
	return n, fake
}

// TestReportsAreAnsweredByWhoDecides over real sockets: one of three decides, gets the
// others' reports whole, and its grants are for the moment at which they were asked for.
func TestReportsAreAnsweredByWhoDecides(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	nodes, fakes := make(map[string]*node), make(map[string]*fakeRollouts)
	seed := ""
	for _, id := range []string{"one", "two", "three"} {
		nodes[id], fakes[id] = withRollouts(t, id, network, seed)
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
	until(t, "one decides alone", func() bool { return nodes[decider()] != nil && len(nodes[decider()].service.LiveIDs()) == 2 })
	chosen := decider()
	until(t, "the others have reported", func() bool { return len(fakes[chosen].reported()) == 2 })
	for from, report := range fakes[chosen].reported() {
		is.Equal(report.Incarnation, nodes[from].service.life)
		report.Incarnation = 0
		is.Equal(report, someReport)
	}
	for id, fake := range fakes {
		if id == chosen {
			continue
		}
		until(t, id+" has a grant", func() bool { return len(fake.got()) > 0 })
		got := fake.got()[0]
		is.Equal(got.from, chosen)
		is.Equal(got.grant.Wanted, []uint32{7})
		is.Equal(got.grant.For, 2*time.Second)
		is.True(!got.sentAt.IsZero() && !got.sentAt.After(got.at))
	}
}

// TestANoticeReachesAllAndAllowsNothing: nobody has asked for it, so that it has no
// time to hold for, whatever it says.
func TestANoticeReachesAllAndAllowsNothing(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	one, sender := withRollouts(t, "one", network)
	two, receiver := withRollouts(t, "two", network, one.service.options.Address)
	sender.reportNothing()
	receiver.reportNothing()
	until(t, "they know each other", func() bool { return one.service.Live() == 1 && two.service.Live() == 1 })
	sender.mu.Lock()
	sender.notices = []rollout.Grant{{Service: serviceHash(fakeService), Order: 12, Stage: rollout.Move, For: time.Hour}}
	sender.mu.Unlock()
	until(t, "the notice is there", func() bool { return len(receiver.got()) == 1 })
	got := receiver.got()[0]
	is.Equal(got.grant.For, time.Duration(0))
	is.True(got.sentAt.IsZero())
}

// TestAnAnswerToNothingIsPassedOver: a grant for a report that this process never sent,
// or long ago, would hold from no known moment.
func TestAnAnswerToNothingIsPassedOver(t *testing.T) {
	cases := map[string]struct {
		answered uint64
		taken    int
	}{
		"a report of now":      {1500, 1},
		"an old one":           {1500 - sentKept, 0},
		"one never sent":       {1501, 0},
		"a notice":             {0, 1},
		"far beyond all known": {1 << 60, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := bareService()
			fake := &fakeRollouts{service: service, reports: make(map[string]rollout.Report)}
			service.SetRollouts(fake)
			service.sequence = 1500
			message := grantMessage(rollout.Grant{Service: 1, Order: 2, Stage: rollout.Move, For: time.Second}, test.answered)
			service.takeRollouts(&wire.GatewayBeat{RolloutGrants: []*wire.RolloutGrant{message}}, &peer{id: "p"}, time.Unix(1000, 0))
			is.Equal(len(fake.got()), test.taken)
		})
	}
}

func TestReportsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	data, err := proto.Marshal(reportMessage(someReport))
	is.NoErr(err)
	message := new(wire.RolloutReport)
	is.NoErr(proto.Unmarshal(data, message))
	is.Equal(reportOf(message), someReport)
	message.Failed = message.Failed[:1] // a column is shorter
	is.Equal(len(reportOf(message).Tallies), 1)
	message.Stage = 99
	is.Equal(reportOf(message).Stage, rollout.Hold)
}

func TestGrantsSurviveTheWire(t *testing.T) {
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

// TestOneDecides: among gateways that hear the same, exactly one decides about each
// service, one that knows what the store holds and reaches it if any does.
func TestOneDecides(t *testing.T) {
	const gateways = 28
	cases := map[string]struct {
		reaches func(place int) bool
		loaded  func(place int) bool
		may     func(place int) bool
	}{
		"all reach the store":  {func(int) bool { return true }, func(int) bool { return true }, func(int) bool { return true }},
		"none reaches it":      {func(int) bool { return false }, func(int) bool { return true }, func(int) bool { return true }},
		"one reaches it":       {func(place int) bool { return place == 5 }, func(int) bool { return true }, func(place int) bool { return place == 5 }},
		"half of them reach":   {func(place int) bool { return place%2 == 0 }, func(int) bool { return true }, func(place int) bool { return place%2 == 0 }},
		"half have just begun": {func(int) bool { return true }, func(place int) bool { return place%2 == 0 }, func(place int) bool { return place%2 == 0 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for service := range 40 {
				deciding := 0
				for self := range gateways {
					seen := lookOf(self, gateways, test.reaches, test.loaded)
					own := standing{hash: policy.HashName(gatewayID(self)), candidate: test.loaded(self), reaches: test.reaches(self)}
					if seen.decider(serviceHash(fmt.Sprintf("service-%d", service)), own) == nil {
						deciding++
						is.True(test.may(self))
					}
				}
				is.Equal(deciding, 1)
			}
		})
	}
}

// TestALargeHostDecides before all smaller ones, if it reaches the store.
func TestALargeHostDecides(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for service := range uint32(40) {
		known := newTable("self", nil, "", 7000)
		known.class = 2
		known.take(&wire.GatewayBeat{Id: "large", Address: "l", Life: 1, Sequence: 1, Revision: 3, StoreReachable: true, HostClass: 5}, now)
		known.take(&wire.GatewayBeat{Id: "small", Address: "s", Life: 2, Sequence: 1, Revision: 3, StoreReachable: true, HostClass: 1}, now)
		own := standing{hash: policy.HashName("self"), candidate: true, reaches: true}
		is.Equal(known.look(now).decider(service, own).id, "large")
		known.take(&wire.GatewayBeat{Id: "large", Address: "l", Life: 1, Sequence: 2, Revision: 3, HostClass: 5}, now)
		is.True(known.look(now).decider(service, own) == nil) // cut off from the store
	}
}

// TestWhoIsAboutToEndDecidesNoMore: the others pass it over at once, and two that decide
// would go on for as long as its last answers take.
func TestWhoIsAboutToEndDecidesNoMore(t *testing.T) {
	is := is.New(t)
	service := bareService()
	now := time.Now()
	service.table.take(&wire.GatewayBeat{Id: "other", Address: "a", Life: 1, Sequence: 1, Revision: 3, StoreReachable: true}, now)
	service.table.class = 5
	is.True(service.Decides(fakeService))
	service.leaving.Store(true)
	is.True(!service.Decides(fakeService))
}

func gatewayID(place int) string { return fmt.Sprintf("g-%d", place) }

// lookOf is what one of several gateways sees that hears all the others.
func lookOf(self, gateways int, reaches, loaded func(place int) bool) *view {
	now := time.Unix(1000, 0)
	known := newTable(gatewayID(self), nil, "", 7000)
	for other := range gateways {
		if other == self {
			continue
		}
		revision := int64(0)
		if loaded(other) {
			revision = 3
		}
		known.take(&wire.GatewayBeat{
			Id: gatewayID(other), Address: fmt.Sprint(other), Life: uint64(other + 1), Sequence: 1,
			Revision: revision, StoreReachable: reaches(other),
		}, now)
	}
	return known.look(now)
}

// TestASilentOneDecidesNoMore: who is frozen or cut off is passed over before it counts
// as lost.
func TestASilentOneDecidesNoMore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	known := newTable("self", nil, "", 7000)
	known.take(&wire.GatewayBeat{Id: "other", Address: "a", Life: 1, Sequence: 1, Revision: 3, StoreReachable: true}, now)
	idle := standing{hash: policy.HashName("self")}
	is.True(known.look(now).decider(1, idle) != nil)
	is.True(known.look(now.Add(watcherSilent)).decider(1, idle) != nil)
	is.True(known.look(now.Add(watcherSilent+tick)).decider(1, idle) == nil)
}

// TestRolloutDatagramsAreSmall: a gateway that decides among hundreds answers each of
// their reports, so that docs/CAPACITY.md reckons with these sizes.
func TestRolloutDatagramsAreSmall(t *testing.T) {
	is := is.New(t)
	report := rollout.Report{Service: 1 << 31, Order: 5000, Age: 9 * time.Second, Stage: rollout.Canary, Others: 12, Requests: 900, Exposed: 60}
	for route := range uint32(3) {
		for target := range uint32(6) {
			report.Tallies = append(report.Tallies, rollout.Tally{Route: 1<<31 + route, Target: 1<<31 + target, Answers: 300, Failed: 3, Slow: 2})
		}
	}
	beat := &wire.GatewayBeat{Life: 1 << 60, Sequence: 90000, Brief: true, Bare: true, RolloutReports: []*wire.RolloutReport{reportMessage(report)}}
	is.True(proto.Size(beat) < 280) // three routes, five targets and the others
	beat.RolloutReports = nil
	beat.RolloutGrants = []*wire.RolloutGrant{grantMessage(rollout.Grant{Service: 1 << 31, Order: 5000, Stage: rollout.Canary, Age: 9 * time.Second, For: 2 * time.Second, Wanted: []uint32{1, 2}}, 90000)}
	is.True(proto.Size(beat) < 60)
}
