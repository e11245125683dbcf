package peer

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// tables returns the table of each of count gateways that have heard all the others.
func tables(count int) map[string]*table {
	all := make(map[string]*table, count)
	for self := range count {
		id := fmt.Sprint(self)
		all[id] = newTable(id, nil, "", 7000)
		for other := range count {
			if other != self {
				heartbeat := heartbeatFrom(fmt.Sprint(other), 1)
				heartbeat.Life = uint64(other + 2)
				all[id].record(heartbeat, start)
			}
		}
	}
	return all
}

// TestTreeReachesAllGateways checks that among gateways that see each other the tree connects all
// of them to those that ask the store, within a few steps, and that no gateway has more than
// fanOut children.
func TestTreeReachesAllGateways(t *testing.T) {
	for _, count := range []int{fullMeshLimit + 2, 30, 100, 370} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			all := tables(count)
			parents := make(map[string]string)
			asking := 0
			for id, tbl := range all {
				if parent := tbl.newView(start).parent(); parent != nil {
					parents[id] = parent.id
				} else {
					asking++
					is.True(tbl.newView(start).asksStore())
				}
			}
			is.Equal(asking, watchers)
			children := make(map[string]int)
			for id, parent := range parents {
				children[parent]++
				steps := 0
				for ancestor := id; ancestor != ""; ancestor = parents[ancestor] {
					steps++
				}
				is.True(steps <= 3) // itself, one that forwards, one that asks the store
			}
			for id, tbl := range all {
				is.True(children[id] <= fanOut)
				is.Equal(len(tbl.newView(start).children()), children[id]) // both sides agree
			}
		})
	}
}

// TestParentPrecedesChild checks that the parent of a gateway precedes it in the shared order,
// whatever the gateway knows of the others.
func TestParentPrecedesChild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tbl := newTable("self", nil, "", 7000)
		for other := range rapid.IntRange(0, 60).Draw(t, "peers") {
			heartbeat := heartbeatFrom(fmt.Sprint(other), 1)
			heartbeat.Life = uint64(other + 2)
			heartbeat.StoreReachable = rapid.Bool().Draw(t, "reaches")
			heartbeat.Leaving = rapid.Bool().Draw(t, "leaving")
			lastHeartbeat := start.Add(-time.Duration(rapid.IntRange(0, 20000).Draw(t, "silent_ms")) * time.Millisecond)
			tbl.record(heartbeat, lastHeartbeat)
			tbl.peers[fmt.Sprint(other)].unanswered = rapid.IntRange(0, 4).Draw(t, "unanswered")
		}
		parent := tbl.newView(start).parent()
		if parent == nil {
			return
		}
		if askScore(parent.id) <= askScore("self") || parent.leaving || !parent.reachesStore || parent.unanswered >= maxUnanswered {
			t.Fatalf("parent is %+v", parent)
		}
		for _, child := range tbl.newView(start).children() {
			if askScore(child.id) >= askScore("self") {
				t.Fatalf("child is %+v", child)
			}
		}
	})
}

// TestUnresponsiveParentIsReplaced checks that a parent that leaves questions unanswered is
// replaced long before it counts as lost.
func TestUnresponsiveParentIsReplaced(t *testing.T) {
	is := is.New(t)
	tbl := tables(300)["17"]
	first := tbl.newView(start).parent()
	first.unanswered = maxUnanswered
	second := tbl.newView(start).parent()
	is.True(second != nil && second != first)
	heartbeat := heartbeatFrom(first.id, 2)
	heartbeat.Life = first.incarnation
	tbl.record(heartbeat, start)
	is.Equal(tbl.newView(start).parent(), first) // heard again
}

// TestLossTimeoutGrowsWithPeers guards against a fixed timeout for lost peers. With 300 peers each
// gets a heartbeat only every few seconds; after 2 s of silence most of them counted as lost, and
// each gateway asked the store itself.
func TestLossTimeoutGrowsWithPeers(t *testing.T) {
	cases := map[string]struct {
		peers  int
		silent time.Duration
		live   bool
	}{
		"few peers":                               {3, minLostAfter, true},
		"few peers, silent":                       {3, minLostAfter + time.Millisecond, false},
		"many peers, between two heartbeats":      {300, 5 * time.Second, true},
		"many peers, silent for three heartbeats": {300, 20 * time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tbl := tables(tc.peers + 1)["0"]
			is.New(t).Equal(len(tbl.live(start.Add(tc.silent))) > 0, tc.live)
		})
	}
}

// newUnstartedService returns a service with a socket of its own that is not started; tests pass
// heartbeats to it directly.
func newUnstartedService(t *testing.T, id string, revision int64) *Service {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(testLoopback)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	s := New(Options{
		ID: id, Address: conn.LocalAddr().String(), Budget: 7000, Replica: &fakeReplica{revision: revision, reachable: true},
		Proof: new(freshness.Proof), Balancer: balance.New(balance.DefaultOptions()), Watcher: noopWatcher{}, OnCensus: func(Census) {},
	}, conn, nil)
	s.pulling = true // there are no links in this test
	return s
}

// readHeartbeat reads one heartbeat from a service's socket.
func readHeartbeat(t *testing.T, s *Service) *wire.GatewayBeat {
	t.Helper()
	buffer := make([]byte, receiveBuffer)
	_ = s.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := new(wire.GatewayBeat)
	if err := proto.Unmarshal(buffer[:n], heartbeat); err != nil {
		t.Fatal(err)
	}
	return heartbeat
}

// TestProofQuestionIsAnsweredAtOnce checks that the answer brings a proof and the revision also if
// the budget is spent, and that it leaves the reported loads unchanged.
func TestProofQuestionIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	parent, child := newUnstartedService(t, "parent", 9), newUnstartedService(t, "child", 9)
	parent.bucket = rate.NewLimiter(0, 0)
	parent.options.Proof.Note(time.Now())
	now := time.Now()
	hello := child.fullHeartbeat(nil, now)
	parent.handleHeartbeat(hello, now)
	parent.options.Balancer.Put(balance.Target{ID: "t", Service: "s"}, time.Now())
	parent.options.Balancer.Observe("child", []balance.Count{{Target: policy.HashName("t"), Count: 3}}, now)
	greeting := parent.fullHeartbeat(nil, now)
	child.handleHeartbeat(greeting, now)
	question := child.briefHeartbeat(child.table.peers["parent"], now)
	question.WantsProof = true
	parent.handleHeartbeat(question, now)
	answer := readHeartbeat(t, child)
	is.True(answer.GetBrief())
	child.handleHeartbeat(answer, now)
	_, proven := child.options.Proof.Age(now)
	is.True(proven)
	pick, _ := parent.options.Balancer.Choose(balance.Query{Service: "s"}, now)
	is.Equal(pick.Load, 3)
}

// TestUrgentChangeReachesEachChildOnce checks that in a large fleet each gateway is notified once,
// by its parent.
func TestUrgentChangeReachesEachChildOnce(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{30, 100} {
		notified := 0
		for _, tbl := range tables(count) {
			notified += len(tbl.newView(start).children())
		}
		is.Equal(notified, count-watchers)
	}
}

// TestEmptyReplicaPullsAtOnce guards against a starting gateway that waits for the store's answer.
// After a loss of power of all 24 gateways of a deployment, most had the store's content, 450 KB,
// only 0.4 s after their start and refused 255 requests until then; the first one had it after
// 0.06 s.
func TestEmptyReplicaPullsAtOnce(t *testing.T) {
	cases := map[string]struct {
		revision  int64
		reachable bool
		waits     bool
	}{
		"empty replica":                        {0, true, false},
		"reaches the store":                    {7, true, true},
		"can't reach the store":                {7, false, false},
		"empty replica, can't reach the store": {0, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			service := newTestService()
			service.options.Replica.(*fakeReplica).set(tc.revision, tc.reachable)
			now := time.Now()
			service.behindSince = now
			is.New(t).Equal(service.awaitsStore(now), tc.waits)
		})
	}
}

// TestCountsThatFit guards against heartbeats with too few counts. In a deployment of 26 gateways,
// after surges, a heartbeat had 4 of some 40 counts, so that targets that got one or two requests
// from each gateway looked half as full as they were.
func TestCountsThatFit(t *testing.T) {
	cases := map[string]struct {
		peers, minCounts, maxCounts int
	}{
		"nine":       {9, 40, 40},
		"twenty-six": {25, 24, 40},
		"a hundred":  {102, minCounts, minCounts},
		"370":        {369, minCounts, minCounts},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUnstartedService(t, "self", 9)
			now := time.Now()
			for number := range tc.peers {
				heartbeat := heartbeatFrom(fmt.Sprint(number), 1)
				heartbeat.Life, heartbeat.Address = uint64(number+2), "127.0.0.1:9"
				s.table.record(heartbeat, now)
			}
			for i := range 40 {
				s.lastCounts = append(s.lastCounts, balance.Count{Target: uint64(i+1) << 32, Count: 1 + i%3})
			}
			heartbeat := s.briefHeartbeat(s.table.peers["0"], now)
			s.addLoads(heartbeat, now)
			is.True(len(heartbeat.GetCounts()) >= tc.minCounts && len(heartbeat.GetCounts()) <= tc.maxCounts)
			if len(heartbeat.GetCounts()) > minCounts {
				bytes := float64(proto.Size(heartbeat) * tc.peers)
				is.True(bytes <= (1-directoryShare)*float64(s.options.Budget)*countsInterval.Seconds())
			}
		})
	}
}
