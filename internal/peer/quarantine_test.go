package peer

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const fatal = quarantine.Fingerprint(0xfa7a1)

// table returns the gateway's crash records.
func (n *node) table() *quarantine.Table { return n.service.crashes.table }

// recordCrash records at a gateway that an incarnation of a target crashed under a request.
func (n *node) recordCrash(fingerprint quarantine.Fingerprint, incarnation quarantine.Incarnation) {
	if change := n.table().Crashed(fingerprint, incarnation, time.Now()); change.Changed {
		n.service.Spread(change)
	}
}

// allHold reports whether all of the gateways hold a request.
func allHold(nodes []*node, fingerprint quarantine.Fingerprint) bool {
	for _, n := range nodes {
		if !n.table().Held(fingerprint, time.Now()) {
			return false
		}
	}
	return true
}

// newFleet starts count gateways that have discovered each other.
func newFleet(t *testing.T, network *link.Memory, count int) []*node {
	t.Helper()
	nodes := []*node{newNode(t, "node-0", network)}
	for i := 1; i < count; i++ {
		nodes = append(nodes, newNode(t, fmt.Sprintf("node-%d", i), network, nodes[0].service.options.Address))
	}
	waitForFullMesh(t, nodes)
	return nodes
}

func waitForFullMesh(t *testing.T, nodes []*node) {
	t.Helper()
	complete := false
	defer func() {
		if !complete {
			for _, n := range nodes {
				t.Log(n.describe())
			}
		}
	}()
	defer func() { complete = !t.Failed() }()
	waitFor(t, "all gateways see all others", func() bool {
		for _, n := range nodes {
			if n.service.Live() != len(nodes)-1 {
				return false
			}
		}
		return true
	})
}

// describe returns what a gateway knows of the others, for failure messages.
func (n *node) describe() string {
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %s, incarnation %x:", n.service.options.ID, n.service.options.Address, n.service.incarnation)
	for id, p := range n.service.table.peers {
		fmt.Fprintf(&text, " %s at %s, incarnation %x, last heartbeat %v ago, lost %v;", id, p.address, p.incarnation, clock.Since(p.lastHeartbeat), p.lost)
	}
	for address, attempts := range n.service.table.addresses {
		fmt.Fprintf(&text, " %s contacted %d times, last %v ago;", address, attempts.count, clock.Since(attempts.last))
	}
	return text.String()
}

// TestCrashesAreSummedOverGateways checks that three crashes seen by three gateways add up, and
// that all gateways learn of it, in a small fleet and in a large one.
func TestCrashesAreSummedOverGateways(t *testing.T) {
	cases := map[string]func(t *testing.T) []*node{
		"small fleet": func(t *testing.T) []*node { return newFleet(t, link.NewMemory(), 4) },
		"large fleet": newLargeFleet,
	}
	for name, gateways := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			nodes := gateways(t)
			for i := range 3 {
				nodes[i].recordCrash(fatal, quarantine.Incarnation(i))
			}
			nodes[3].recordCrash(fatal+1, 7) // another request that was in flight at one of the crashes
			waitFor(t, "all gateways hold the request", func() bool { return allHold(nodes, fatal) })
			for _, n := range nodes {
				is.True(!n.table().Held(fatal+1, time.Now()))
			}
		})
	}
}

// TestClearReachesAllGateways checks that an answer at one gateway ends the hold at all gateways.
func TestClearReachesAllGateways(t *testing.T) {
	nodes := newLargeFleet(t)
	for incarnation := range 3 {
		nodes[0].recordCrash(fatal, quarantine.Incarnation(incarnation))
	}
	waitFor(t, "all gateways hold the request", func() bool { return allHold(nodes, fatal) })
	nodes[largeFleet-1].service.Spread(nodes[largeFleet-1].table().Answered(fatal, time.Now()))
	waitFor(t, "no gateway holds the request", func() bool {
		for _, n := range nodes {
			if n.table().Held(fatal, time.Now()) {
				return false
			}
		}
		return true
	})
}

// TestRecordsSurviveRollingRestart checks that crashes stay recorded if each gateway sees one
// crash, is killed and restarts without any state.
func TestRecordsSurviveRollingRestart(t *testing.T) {
	network := link.NewMemory()
	nodes := newFleet(t, network, 4)
	for i := range 3 {
		nodes[i].recordCrash(fatal, quarantine.Incarnation(i))
		waitFor(t, "another gateway has the record", func() bool {
			for j, n := range nodes {
				if records := n.table().Records(time.Now()); j != i && len(records) == 1 && len(records[0].Incarnations) == i+1 {
					return true
				}
			}
			return false
		})
		nodes[i] = restart(t, nodes[i], network, nodes[3])
		waitForFullMesh(t, nodes)
	}
	waitFor(t, "all gateways hold the request", func() bool { return allHold(nodes, fatal) })
	for i := range nodes { // restart each of them once more
		nodes[i] = restart(t, nodes[i], network, nodes[(i+1)%len(nodes)])
		waitForFullMesh(t, nodes)
		waitFor(t, "the restarted gateway holds the request", func() bool { return allHold(nodes[i:i+1], fatal) })
	}
}

// restart stops a gateway and starts it again at the same address without any state.
func restart(t *testing.T, before *node, network *link.Memory, seed *node) *node {
	t.Helper()
	is.New(t).NoErr(before.service.Close())
	options := before.service.options
	return newNodeAt(t, options.Address, options.ID, network, func(*Service) {}, seed.service.options.Address)
}

// TestDigestMismatchSendsRecords checks that the hash in heartbeats makes up for the loss of all
// datagrams with records.
func TestDigestMismatchSendsRecords(t *testing.T) {
	nodes := newFleet(t, link.NewMemory(), 2)
	for incarnation := range 3 {
		nodes[0].table().Crashed(fatal, quarantine.Incarnation(incarnation), time.Now()) // nothing is sent
	}
	waitFor(t, "the other gateway holds the request", func() bool { return allHold(nodes, fatal) })
	nodes[1].table().Lift(fatal, time.Now()) // nothing is sent here either
	waitFor(t, "the first gateway no longer holds the request", func() bool { return !nodes[0].table().Held(fatal, time.Now()) })
}

// TestCrashRecordBudget checks that thousands of suspect requests at once, as after the loss of a
// data centre or a faulty release, use no more than their share of bytes, and that held requests
// are sent first.
func TestCrashRecordBudget(t *testing.T) {
	is := is.New(t)
	const budget, rounds = 7000, 40
	nodes := newFleet(t, link.NewMemory(), 4)
	service := nodes[0].service
	service.mu.Lock()
	defer service.mu.Unlock()
	service.crashes = newCrashQueue(nodes[0].table(), budget)
	for request := range 5000 {
		change := nodes[0].table().Crashed(quarantine.Fingerprint(1000+request), 1, time.Now())
		service.crashes.enqueue(change.Record, change.Broadcast(), crashSends)
	}
	for incarnation := range 3 {
		change := nodes[0].table().Crashed(fatal, quarantine.Incarnation(incarnation), time.Now())
		service.crashes.enqueue(change.Record, change.Broadcast(), crashSends)
	}
	is.True(len(service.crashes.pending) <= maxPending+1)
	due := service.crashes.due()
	is.Equal(due[0].record.Fingerprint, fatal)
	sent, _ := service.Traffic()
	for range rounds {
		service.sendCrashes(time.Now())
	}
	after, _ := service.Traffic()
	is.True(after-sent <= 2*budget)
	is.Equal(len(service.crashes.pending), 0) // what did not fit is dropped
}

// TestKeepersAreConsistent checks that gateways that know the same peers agree on the keepers of a
// request.
func TestKeepersAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "gateways")
		fingerprint := quarantine.Fingerprint(rapid.Uint64().Draw(t, "print"))
		var all []*peer
		for i := range count {
			id := fmt.Sprintf("g-%d", i)
			all = append(all, &peer{id: id, hash: policy.HashName(id)})
		}
		keepers := make(map[string]int)
		for _, self := range all {
			for _, keeper := range otherKeepers(uint64(fingerprint), withoutPeer(all, self), self.hash) {
				keepers[keeper.id]++
			}
		}
		if len(keepers) != min(CrashKeepers, count) {
			t.Fatalf("%d keepers: %v", len(keepers), keepers)
		}
		for id, votes := range keepers {
			if votes != count-1 {
				t.Fatalf("%s is a keeper for %d of %d", id, votes, count-1)
			}
		}
	})
}

// TestCrashRecordSize limits the size in bytes of a datagram of crash records.
func TestCrashRecordSize(t *testing.T) {
	cases := map[string]struct {
		records, crashes, maxSize int
	}{
		"one request, first crash": {1, 1, 45},
		"three requests":           {3, 1, 90},
		"one held request":         {1, 3, 55},
		"full datagram":            {maxCrashRecords, 3, 1200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			heartbeat := &wire.GatewayBeat{Life: 1 << 60, Sequence: 1 << 20, Brief: true, Bare: true}
			for request := range tc.records {
				record := quarantine.Record{Fingerprint: quarantine.Fingerprint(1<<60 + request), Epoch: 1}
				for incarnation := range tc.crashes {
					record.Incarnations = append(record.Incarnations, quarantine.Incarnation(1<<30+incarnation))
				}
				heartbeat.CrashRecords = append(heartbeat.CrashRecords, record.Message())
			}
			t.Logf("%d bytes", proto.Size(heartbeat))
			is.New(t).True(proto.Size(heartbeat) <= tc.maxSize)
		})
	}
}

// BenchmarkEnd measures the work of a gateway of a large fleet when a target crashes under 64 of
// its requests: finding the keepers of each.
func BenchmarkEnd(b *testing.B) {
	for _, gateways := range []int{100, 370} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			var live []*peer
			for i := range gateways {
				live = append(live, &peer{id: fmt.Sprint(i), hash: policy.HashName(fmt.Sprint(i))})
			}
			for b.Loop() {
				for fingerprint := range quarantine.Fingerprint(64) {
					otherKeepers(uint64(fingerprint), live, 7)
				}
			}
		})
	}
}

// listener is a socket that poses as a gateway and reads what it is sent.
type listener struct {
	t    *testing.T
	conn *net.UDPConn
}

// listen announces a new listener to a gateway.
func listen(t *testing.T, to *node) *listener {
	t.Helper()
	is := is.New(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(testLoopback)})
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	hello, err := proto.Marshal(&wire.GatewayBeat{Id: "listener", Address: conn.LocalAddr().String(), Life: 7, Sequence: 1, Alone: true})
	is.NoErr(err)
	address, err := net.ResolveUDPAddr("udp", to.service.options.Address)
	is.NoErr(err)
	_, err = conn.WriteToUDP(hello, address)
	is.NoErr(err)
	return &listener{t, conn}
}

// next returns the next heartbeat that matches.
func (l *listener) next(matches func(heartbeat *wire.GatewayBeat) bool) *wire.GatewayBeat {
	l.t.Helper()
	is := is.New(l.t)
	buffer := make([]byte, receiveBuffer)
	for {
		n, _, err := l.conn.ReadFromUDP(buffer)
		is.NoErr(err)
		got := new(wire.GatewayBeat)
		is.NoErr(proto.Unmarshal(buffer[:n], got))
		if matches(got) {
			return got
		}
	}
}

// TestNewGatewayGetsRecordsAtOnce guards against records that a starting gateway can't use.
// Gateways that find it send it the held requests before it has found them. It dropped these
// datagrams because they didn't name their sender, and let one more target crash under each fatal
// request until the next full heartbeat, some tenths of a second later.
func TestNewGatewayGetsRecordsAtOnce(t *testing.T) {
	is := is.New(t)
	first := newNode(t, "node-0", link.NewMemory())
	for incarnation := range 3 {
		first.table().Crashed(fatal, quarantine.Incarnation(incarnation), time.Now())
	}
	got := listen(t, first).next(func(heartbeat *wire.GatewayBeat) bool { return len(heartbeat.GetCrashRecords()) > 0 })
	is.Equal(got.GetId(), "node-0")
	is.Equal(got.GetAddress(), first.service.options.Address)
}

// TestRefusedTargetsShareDatagram guards against one datagram for each refused target: with a
// fifth of the targets lost, they used up the bytes of the loads.
func TestRefusedTargetsShareDatagram(t *testing.T) {
	is := is.New(t)
	first := newNode(t, "node-0", link.NewMemory())
	other := listen(t, first)
	waitFor(t, "the listener is found", func() bool { return first.service.Live() == 1 })
	refused := make([]uint32, 40)
	for i := range refused {
		refused[i] = uint32(i)
	}
	first.service.mu.Lock()
	for _, target := range refused {
		first.service.spreadRefused([]uint32{target})
	}
	first.service.mu.Unlock()
	got := other.next(func(heartbeat *wire.GatewayBeat) bool { return len(heartbeat.GetRefused()) > 0 })
	is.Equal(got.GetRefused(), refused)
}

// TestRepostBudget checks that records that are sent again use few bytes, whatever their number.
func TestRepostBudget(t *testing.T) {
	is := is.New(t)
	const budget, seconds = 7000, 10
	queue := newCrashQueue(quarantine.New(), budget)
	sent := 0
	for i := range 100_000 {
		record := quarantine.Record{Fingerprint: quarantine.Fingerprint(i), Incarnations: []quarantine.Incarnation{1}}
		if queue.allowRepost(record, CrashKeepers) {
			sent += CrashKeepers * proto.Size(record.Message())
		}
	}
	is.True(sent > 0)
	is.True(sent <= budget+int(repostShare*budget*seconds)) // the initial burst and the share
}
