package peer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// recordingConn records the revisions in the datagrams that are sent, by their receivers.
type recordingConn struct {
	packetConn
	revisions map[string]int64
}

func (c *recordingConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	heartbeat := new(wire.GatewayBeat)
	if err := proto.Unmarshal(data, heartbeat); err != nil {
		return 0, err
	}
	c.revisions[to.String()] = max(c.revisions[to.String()], heartbeat.GetRevision())
	return len(data), nil
}

// spendBytes makes a service unable to send what is not urgent.
func spendBytes(service *Service) {
	service.bucket.SetLimit(0)
	service.bucket.SetBurst(0)
}

// TestChangeIsAnnouncedWithoutBytes guards against gateways that learn of a change seconds after others: the
// records of streams that gateways send because of it had used up the bytes of the heartbeats.
func TestChangeIsAnnouncedWithoutBytes(t *testing.T) {
	cases := map[string]struct {
		gateways int
		// changed are the gateways that learn of the change from the store, by their places in the order of
		// asking it.
		changed []int
	}{
		"few, the first has it":    {4, []int{0}},
		"few, the second has it":   {4, []int{1}},
		"few, the last has it":     {4, []int{3}},
		"many, the first has it":   {11, []int{0}},
		"many, the second has it":  {11, []int{1}},
		"many, both first ones do": {11, []int{0, 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			network := link.NewMemory()
			var nodes []*node
			var seeds []string
			for i := range tc.gateways {
				n := newNode(t, fmt.Sprintf("g-%d", i), network, seeds...)
				n.replica.set(1, true)
				nodes = append(nodes, n)
				seeds = append(seeds, n.service.options.Address)
			}
			waitFor(t, "all gateways hold each other for loaded", func() bool {
				return !slices.ContainsFunc(nodes, func(n *node) bool { return n.service.candidates() != tc.gateways-1 })
			})
			slices.SortFunc(nodes, func(a, b *node) int {
				return inAskOrder(&peer{askScore: askScore(a.service.options.ID)}, &peer{askScore: askScore(b.service.options.ID)})
			})
			for _, n := range nodes {
				spendBytes(n.service)
			}
			for _, place := range tc.changed {
				nodes[place].replica.set(9, true)
			}
			waitFor(t, "all gateways have the change", func() bool {
				return !slices.ContainsFunc(nodes, func(n *node) bool { return n.replica.Revision() != 9 })
			})
		})
	}
}

// candidates returns the number of other gateways that may ask the store.
func (s *Service) candidates() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedView = nil
	return len(s.currentView(time.Now()).candidates)
}

// TestAnnouncedChanges checks whom a gateway tells of a change when its bytes are spent: in a large fleet only
// those that get the store's changes from it, so that enough is left for loads.
func TestAnnouncedChanges(t *testing.T) {
	const known = 9
	cases := map[string]struct {
		gateways, place int
		// peersHave is the revision that the others have.
		peersHave int64
		// cutOff makes the gateways that precede this one fail to reach the store.
		cutOff bool
		told   int
	}{
		"few":                               {4, 0, 1, false, 3},
		"few, not one that asks":            {4, 3, 1, false, 3},
		"few, the others have just begun":   {4, 0, 0, false, 3},
		"few, the others have it":           {4, 0, known, false, 0},
		"many, the first":                   {30, 0, 1, false, 14 + 1},
		"many, the second":                  {30, 1, 1, false, 14 + 1},
		"many, the first is cut off":        {30, 1, 1, true, 14 + 2},
		"many, both first ones are":         {30, 2, 1, true, 13 + 3},
		"many, the others have it":          {30, 0, known, false, 0},
		"many, the others have just begun":  {30, 0, 0, false, 0},
		"many, one that passes nothing on":  {30, 2, 1, false, 0},
		"a large fleet, the first":          {385, 0, 1, false, fanOut + 1},
		"a large fleet, one that passes on": {385, watchers, 1, false, fanOut},
		"a large fleet, many are cut off":   {385, 100, 1, true, 2*fanOut + 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newUnstartedService(t, "self", known)
			conn := &recordingConn{packetConn: service.conn, revisions: make(map[string]int64)}
			service.conn = conn
			service.bucket = rate.NewLimiter(0, 0)
			now := time.Now()
			preceding := 0
			for number := 0; len(service.table.peers) < tc.gateways-1; number++ {
				heartbeat := heartbeatFrom(fmt.Sprint(number), 1)
				heartbeat.Life, heartbeat.Address, heartbeat.Revision = uint64(number+2), fmt.Sprintf("127.0.0.1:%d", number+1), tc.peersHave
				if askScore(heartbeat.GetId()) > askScore("self") {
					if preceding == tc.place {
						continue
					}
					preceding++
					heartbeat.StoreReachable = !tc.cutOff
				} else if len(service.table.peers)-preceding == tc.gateways-1-tc.place {
					continue
				}
				service.table.record(heartbeat, now)
			}
			service.askedAt = now // the parent isn't asked
			service.round(now)
			is.Equal(len(conn.revisions), tc.told)
			for _, revision := range conn.revisions {
				is.Equal(revision, int64(known))
			}
			clear(conn.revisions)
			service.round(now.Add(tick))
			is.Equal(len(conn.revisions), 0) // it is announced once
		})
	}
}

// TestChangeStartsRound guards against changes that wait for the next round before others are told.
func TestChangeStartsRound(t *testing.T) {
	cases := map[string]struct {
		revision int64
		starts   bool
	}{
		"a change":    {8, true},
		"none":        {7, false},
		"none at all": {0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newTestService()
			service.announced = min(tc.revision, 7)
			service.options.Replica.(*fakeReplica).set(tc.revision, true)
			service.Changed()
			is.Equal(len(service.wakeup) == 1, tc.starts)
		})
	}
}

// TestWaitForStoreEndsWithRound guards against a change that is fetched late: a gateway that asks the store
// itself waits for its answer first, and then waited for the next round.
func TestWaitForStoreEndsWithRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := newTestService()
		heartbeat := heartbeatFrom("1", 1)
		heartbeat.Revision = 9
		service.table.record(heartbeat, time.Now())
		service.catchUp(time.Now())
		is.True(!service.pulling)
		time.Sleep(storeAnswerDelay)
		synctest.Wait()
		is.Equal(len(service.wakeup), 1)
		is.True(!service.awaitsStore(time.Now()))
	})
}

// TestEachGatewayIsToldOfChange guards against gateways that nobody tells of a change, such as one whose calls
// to the store fail, so that it is no candidate for a place in the tree.
func TestEachGatewayIsToldOfChange(t *testing.T) {
	cases := map[string]struct {
		gateways int
		cutOff   bool
	}{
		"eleven":          {11, false},
		"eleven, cut off": {11, true},
		"many":            {100, false},
		"many, cut off":   {100, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := tables(tc.gateways)
			for _, tbl := range all {
				for _, p := range tbl.peers {
					p.revision = 1
				}
			}
			for id := range all {
				tellers := 0
				for other, tbl := range all {
					if other == id {
						continue
					}
					tbl.peers[id].reachesStore = !tc.cutOff
					if slices.Contains(tbl.newView(start).audience(), tbl.peers[id]) {
						tellers++
					}
					tbl.peers[id].reachesStore = true
				}
				is.True(tellers >= 1 && tellers <= watchers)
			}
		})
	}
}

// TestRecordTellsOfChange guards against a gateway that has the record of a stream, but doesn't know the
// version in it: its sender has a change that this gateway lacks.
func TestRecordTellsOfChange(t *testing.T) {
	cases := map[string]struct {
		sender, receiver int64
		fetches          bool
	}{
		"the sender has a change": {9, 7, true},
		"both have it":            {9, 9, false},
		"only the receiver has":   {7, 9, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender, receiver := newUnstartedService(t, "sender", tc.sender), newUnstartedService(t, "receiver", tc.receiver)
			now := time.Now()
			receiver.handleHeartbeat(sender.fullHeartbeat(nil, now), now)
			sender.handleHeartbeat(receiver.fullHeartbeat(nil, now), now)
			receiver.table.peers["sender"].revision, receiver.behindSince = 0, time.Time{}
			record := origin.Record{Stream: testStream, Version: streamVersion, Expires: now.Add(time.Minute)}
			receiver.handleHeartbeat(sender.originHeartbeat(sender.table.peers["receiver"], []origin.Record{record}, now), now)
			is.Equal(!receiver.behindSince.IsZero(), tc.fetches)
			ahead := receiver.peerAhead(now)
			is.Equal(ahead != nil && ahead.id == "sender", tc.fetches)
		})
	}
}

// TestBareHeartbeatKeepsRevision checks that a bare heartbeat without a revision leaves the known one.
func TestBareHeartbeatKeepsRevision(t *testing.T) {
	cases := map[string]struct{ revision, known int64 }{
		"none":     {0, 8},
		"older":    {7, 8},
		"newer":    {9, 9},
		"the same": {8, 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tbl := newTable("self", nil, "", 7000)
			whole := heartbeatFrom("1", 1)
			whole.Revision = 8
			tbl.record(whole, start)
			bare := heartbeatFrom("1", 2)
			bare.Bare, bare.Revision = true, tc.revision
			p, _ := tbl.record(bare, start)
			is.Equal(p.revision, tc.known)
		})
	}
}
