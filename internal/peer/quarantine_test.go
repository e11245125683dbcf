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

// table is what a gateway knows of requests under which targets ended.
func (n *node) table() *quarantine.Table { return n.service.crashes.table }

// crashed has a gateway find that a life of a target ended under a request.
func (n *node) recordCrash(fingerprint quarantine.Fingerprint, instance quarantine.Instance) {
	if change := n.table().Crashed(fingerprint, instance, time.Now()); change.Changed {
		n.service.Spread(change)
	}
}

// held says whether all of some gateways hold a request back.
func allHold(nodes []*node, fingerprint quarantine.Fingerprint) bool {
	for _, known := range nodes {
		if !known.table().Held(fingerprint, time.Now()) {
			return false
		}
	}
	return true
}

// few are so many gateways that have discovered each other.
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
			for _, known := range nodes {
				t.Log(known.describe())
			}
		}
	}()
	defer func() { complete = !t.Failed() }()
	waitFor(t, "all know all", func() bool {
		for _, known := range nodes {
			if known.service.Live() != len(nodes)-1 {
				return false
			}
		}
		return true
	})
}

// describe says what a gateway knows of the others.
func (n *node) describe() string {
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %s, life %x:", n.service.options.ID, n.service.options.Address, n.service.incarnation)
	for id, known := range n.service.table.peers {
		fmt.Fprintf(&text, " %s at %s, life %x, heard %v ago, lost %v;", id, known.address, known.incarnation, clock.Since(known.lastHeartbeat), known.lost)
	}
	for address, attempts := range n.service.table.addresses {
		fmt.Fprintf(&text, " %s called %d times, %v ago;", address, attempts.count, clock.Since(attempts.last))
	}
	return text.String()
}

// TestCrashesAreSummedOverGateways: three ends that three gateways saw are three, and all
// learn of it, also of many.
func TestCrashesAreSummedOverGateways(t *testing.T) {
	cases := map[string]func(t *testing.T) []*node{
		"few":  func(t *testing.T) []*node { return newFleet(t, link.NewMemory(), 4) },
		"many": newLargeFleet,
	}
	for name, gateways := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			nodes := gateways(t)
			for i := range 3 {
				nodes[i].recordCrash(fatal, quarantine.Instance(i))
			}
			nodes[3].recordCrash(fatal+1, 7) // another request under way at one of the ends
			waitFor(t, "all hold it back", func() bool { return allHold(nodes, fatal) })
			for _, known := range nodes {
				is.True(!known.table().Held(fatal+1, time.Now()))
			}
		})
	}
}

// TestClearReachesAllGateways: whoever has it answered whole, or has an operator lift it.
func TestClearReachesAllGateways(t *testing.T) {
	nodes := newLargeFleet(t)
	for instance := range 3 {
		nodes[0].recordCrash(fatal, quarantine.Instance(instance))
	}
	waitFor(t, "all hold it back", func() bool { return allHold(nodes, fatal) })
	nodes[largeFleet-1].service.Spread(nodes[largeFleet-1].table().Answered(fatal, time.Now()))
	waitFor(t, "all send it again", func() bool {
		for _, known := range nodes {
			if known.table().Held(fatal, time.Now()) {
				return false
			}
		}
		return true
	})
}

// TestRecordsSurviveRollingRestart: each sees one end, is killed, and begins anew
// without anything; what it saw is known all the same.
func TestRecordsSurviveRollingRestart(t *testing.T) {
	network := link.NewMemory()
	nodes := newFleet(t, network, 4)
	for i := range 3 {
		nodes[i].recordCrash(fatal, quarantine.Instance(i))
		waitFor(t, "another one knows", func() bool {
			for j, known := range nodes {
				if records := known.table().Records(time.Now()); j != i && len(records) == 1 && len(records[0].Instances) == i+1 {
					return true
				}
			}
			return false
		})
		nodes[i] = restart(t, nodes[i], network, nodes[3])
		waitForFullMesh(t, nodes)
	}
	waitFor(t, "all hold it back", func() bool { return allHold(nodes, fatal) })
	for i := range nodes { // and all of them once more
		nodes[i] = restart(t, nodes[i], network, nodes[(i+1)%len(nodes)])
		waitForFullMesh(t, nodes)
		waitFor(t, "the new one holds it back", func() bool { return allHold(nodes[i:i+1], fatal) })
	}
}

// restart ends a gateway and begins it again at its address, without anything.
func restart(t *testing.T, before *node, network *link.Memory, seed *node) *node {
	t.Helper()
	is.New(t).NoErr(before.service.Close())
	options := before.service.options
	return newNodeAt(t, options.Address, options.ID, network, func(*Service) {}, seed.service.options.Address)
}

// TestDigestMismatchSendsRecords: every datagram about it was lost.
func TestDigestMismatchSendsRecords(t *testing.T) {
	nodes := newFleet(t, link.NewMemory(), 2)
	for instance := range 3 {
		nodes[0].table().Crashed(fatal, quarantine.Instance(instance), time.Now()) // nothing is sent
	}
	waitFor(t, "the other holds it back", func() bool { return allHold(nodes, fatal) })
	nodes[1].table().Lift(fatal, time.Now()) // nor here
	waitFor(t, "the first sends it again", func() bool { return !nodes[0].table().Held(fatal, time.Now()) })
}

// TestCrashRecordBudget: thousands of requests at once, as when a data centre is lost or
// a release is bad, cost no more than their share, and those that are held back go first.
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
	for instance := range 3 {
		change := nodes[0].table().Crashed(fatal, quarantine.Instance(instance), time.Now())
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
	is.Equal(len(service.crashes.pending), 0) // what did not fit is not kept
}

// TestKeepersAreConsistent: of a request, whoever looks, if they know the same gateways.
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
			for _, keeper := range keepersOf(fingerprint, withoutPeer(all, self), self.hash) {
				keepers[keeper.id]++
			}
		}
		if len(keepers) != min(CrashKeepers, count) {
			t.Fatalf("%d keepers: %v", len(keepers), keepers)
		}
		for id, known := range keepers {
			if known != count-1 {
				t.Fatalf("%s is a keeper for %d of %d", id, known, count-1)
			}
		}
	})
}

// TestCrashRecordSize: what a datagram of crash records holds, in bytes.
func TestCrashRecordSize(t *testing.T) {
	cases := map[string]struct {
		records, crashes, maxSize int
	}{
		"one request, its first end":  {1, 1, 45},
		"three requests":              {3, 1, 90},
		"one that is held back":       {1, 3, 55},
		"as many as a datagram takes": {maxCrashRecords, 3, 1200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			heartbeat := &wire.GatewayBeat{Life: 1 << 60, Sequence: 1 << 20, Brief: true, Bare: true}
			for request := range tc.records {
				record := quarantine.Record{Fingerprint: quarantine.Fingerprint(1<<60 + request), Epoch: 1}
				for instance := range tc.crashes {
					record.Instances = append(record.Instances, quarantine.Instance(1<<30+instance))
				}
				heartbeat.CrashRecords = append(heartbeat.CrashRecords, record.Message())
			}
			t.Logf("%d bytes", proto.Size(heartbeat))
			is.New(t).True(proto.Size(heartbeat) <= tc.maxSize)
		})
	}
}

// BenchmarkEnd is what a gateway does when a target ends under 64 of its requests, among
// many gateways: it finds the keepers of each and makes the datagrams.
func BenchmarkEnd(b *testing.B) {
	for _, gateways := range []int{100, 370} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			var live []*peer
			for i := range gateways {
				live = append(live, &peer{id: fmt.Sprint(i), hash: policy.HashName(fmt.Sprint(i))})
			}
			for b.Loop() {
				for fingerprint := range quarantine.Fingerprint(64) {
					keepersOf(fingerprint, live, 7)
				}
			}
		})
	}
}

// listener is a gateway that says who it is, and reads what it is sent.
type listener struct {
	t    *testing.T
	conn *net.UDPConn
}

// listen has a node find a listener.
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

// next is the next beat of which something holds.
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

// TestNewGatewayGetsRecordsAtOnce: those that find it hand it what is held back before it
// has found them.
//
// Seen: it dropped them, since they didn't say who sent them, and let one more target end under
// each fatal request. It got them with the next full beat, some tenths of a second later.
func TestNewGatewayGetsRecordsAtOnce(t *testing.T) {
	is := is.New(t)
	first := newNode(t, "node-0", link.NewMemory())
	for instance := range 3 {
		first.table().Crashed(fatal, quarantine.Instance(instance), time.Now())
	}
	got := listen(t, first).next(func(heartbeat *wire.GatewayBeat) bool { return len(heartbeat.GetCrashRecords()) > 0 })
	is.Equal(got.GetId(), "node-0")
	is.Equal(got.GetAddress(), first.service.options.Address)
}

// TestRefusedTargetsShareDatagram: those that are found within a moment are in one datagram.
//
// Seen: with a fifth of the targets lost, the datagrams of one target each took the bytes of loads.
func TestRefusedTargetsShareDatagram(t *testing.T) {
	is := is.New(t)
	first := newNode(t, "node-0", link.NewMemory())
	other := listen(t, first)
	waitFor(t, "it is found", func() bool { return first.service.Live() == 1 })
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

// TestRepostBudget: whatever number of them there is.
func TestRepostBudget(t *testing.T) {
	is := is.New(t)
	const budget, seconds = 7000, 10
	mail := newCrashQueue(quarantine.New(), budget)
	sent := 0
	for i := range 100_000 {
		record := quarantine.Record{Fingerprint: quarantine.Fingerprint(i), Instances: []quarantine.Instance{1}}
		if mail.allowRepost(record, CrashKeepers) {
			sent += CrashKeepers * proto.Size(record.Message())
		}
	}
	is.True(sent > 0)
	is.True(sent <= budget+int(repostShare*budget*seconds)) // what it may have saved up, and the share
}
