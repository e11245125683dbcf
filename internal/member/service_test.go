package member

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// packetNet carries datagrams in memory, under virtual time, and drops some.
type packetNet struct {
	mu     sync.Mutex
	conns  map[netip.AddrPort]*packetConn
	loss   float64
	random *rand.Rand
}

type packet struct {
	data []byte
	from netip.AddrPort
}

type packetConn struct {
	net     *packetNet
	address netip.AddrPort
	inbox   chan packet
	done    chan struct{}
	once    sync.Once
	// down drops all packets from and to the connection, as when its host is paused or gone.
	down bool
}

func newPacketNet(loss float64) *packetNet {
	return &packetNet{conns: make(map[netip.AddrPort]*packetConn), loss: loss, random: rand.New(rand.NewPCG(7, 7))}
}

func (n *packetNet) listen(i int) *packetConn {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7000)
	conn := &packetConn{net: n, address: address, inbox: make(chan packet, 1024), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = conn
	return conn
}

func (c *packetConn) setDown(down bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.down = down
}

func (c *packetConn) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case <-c.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	case got := <-c.inbox:
		return copy(buffer, got.data), got.from, nil
	}
}

func (c *packetConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	other := c.net.conns[to]
	if other == nil || other.down || c.down || c.net.random.Float64() < c.net.loss {
		return len(data), nil
	}
	select {
	case other.inbox <- packet{data: slices.Clone(data), from: c.address}:
	default:
	}
	return len(data), nil
}

func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// cluster is a number of processes that exchange heartbeats.
type cluster struct {
	net      *packetNet
	lists    []*List
	services []*Service
	conns    []*packetConn
	mu       sync.Mutex
	revision []uint64
}

const bytesPerSecond = 4000

// newCluster starts n processes that know each other.
func newCluster(n int, loss float64) *cluster {
	p := &cluster{net: newPacketNet(loss), revision: make([]uint64, n)}
	members := benchMembers(n)
	for i, m := range members {
		conn := p.net.listen(i)
		m.BeatAddress = conn.address.String()
		p.conns = append(p.conns, conn)
	}
	for i, m := range members {
		options := DefaultOptions()
		options.Seed = uint64(i + 1)
		list := NewList(options, cloneMember(m))
		list.Merge(members)
		for _, e := range list.entries {
			e.timesSent = 1000
		}
		service := NewService(list, p.conns[i], ServiceOptions{
			BytesPerSecond: bytesPerSecond,
			ConfigRevision: func() uint64 {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.revision[i]
			},
			Roster: func(context.Context, string) ([]*wire.Member, error) { return members, nil },
		}, log.New(io.Discard))
		p.lists = append(p.lists, list)
		p.services = append(p.services, service)
	}
	for _, service := range p.services {
		_ = service.Start(context.Background())
	}
	return p
}

func (p *cluster) close() {
	for _, service := range p.services {
		_ = service.Close()
	}
}

func (p *cluster) bytes() float64 {
	total := int64(0)
	for _, service := range p.services {
		sent, received := service.Traffic()
		total += sent + received
	}
	return float64(total)
}

func standingOf(l *List, id string) wire.Standing {
	for _, peer := range l.Peers() {
		if peer.ID == id {
			return peer.Standing
		}
	}
	return wire.Standing_STANDING_UNSPECIFIED
}

// measureDetection stops one process and measures the time until the first and until all others
// have declared it dead.
func (p *cluster) measureDetection() (firstDetected, allDetected time.Duration) {
	const victim = 3
	id := p.lists[victim].self.GetId()
	p.conns[victim].setDown(true)
	began := time.Now()
	for allDetected == 0 && time.Since(began) < 2*time.Minute {
		time.Sleep(100 * time.Millisecond)
		dead := 0
		for i, list := range p.lists {
			if i != victim && standingOf(list, id) == wire.Standing_STANDING_DEAD {
				dead++
			}
		}
		if dead > 0 && firstDetected == 0 {
			firstDetected = time.Since(began)
		}
		if dead == len(p.lists)-1 {
			allDetected = time.Since(began)
		}
	}
	return firstDetected, allDetected
}

func (p *cluster) suspicions() int {
	sum := 0
	for _, list := range p.lists {
		sum += list.Suspicions()
	}
	return sum
}

func (p *cluster) deaths() int {
	dead := 0
	for _, list := range p.lists {
		for _, peer := range list.Peers() {
			if !peer.Alive() {
				dead++
			}
		}
	}
	return dead
}

// A process that ends is declared dead by all. A pause of 3 s and the loss of one datagram in
// twenty cause no false death.
func TestDeathIsDetectedAndPausesTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newCluster(30, 0.05)
		defer p.close()
		time.Sleep(time.Minute)
		p.conns[5].setDown(true)
		time.Sleep(3 * time.Second)
		p.conns[5].setDown(false)
		time.Sleep(time.Minute)
		is.Equal(p.deaths(), 0)
		_, allDetected := p.measureDetection()
		is.True(allDetected > 0)
	})
}

// With hundreds of members, suspicions at 5% loss are refuted before any process declares the
// suspected member dead.
func TestNoFalseDeathsUnderPacketLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(300, 0.05)
		defer p.close()
		time.Sleep(90 * time.Second)
		is.New(t).True(p.suspicions() > 0)
		is.New(t).Equal(p.deaths(), 0)
	})
}

// Guards against a false death that occurred among 300 members: a process had received the
// suspicion of a member but not the refutation.
func TestSuspectIsProbedBeforeDeclaredDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := benchMembers(40)
		options := DefaultOptions()
		options.Seed = 1
		l := NewList(options, cloneMember(members[0]))
		l.Merge(members)
		accused := cloneMember(members[17])
		accused.Standing = wire.Standing_STANDING_SUSPECT
		l.Merge([]*wire.Member{accused})
		time.Sleep(l.suspicionTimeout() * 6 / 10)
		next, ok := l.NextProbe()
		is.True(ok)
		is.Equal(next.GetId(), accused.GetId())
		following, _ := l.NextProbe()
		is.True(following.GetId() != accused.GetId()) // a suspect is probed once only
		denied := cloneMember(members[17])
		denied.Incarnation++
		l.Merge([]*wire.Member{denied})
		time.Sleep(l.suspicionTimeout())
		l.Expire()
		is.Equal(standingOf(l, accused.GetId()), wire.Standing_STANDING_ALIVE)
	})
}

// The bytes sent never exceed the budget by more than one second's worth, the most that can be
// saved up.
func TestByteBudgetIsNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(20, 0)
		defer p.close()
		const seconds = 60
		for range seconds {
			for _, service := range p.services {
				for range 10 {
					service.NotifyPeers()
				}
			}
			time.Sleep(time.Second)
		}
		for _, service := range p.services {
			sent, _ := service.Traffic()
			is.New(t).True(sent <= bytesPerSecond*(seconds+1))
		}
	})
}

// A suspected process that is alive refutes the suspicion with a higher incarnation.
func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	members := benchMembers(3)
	accuser, accused := NewList(DefaultOptions(), cloneMember(members[0])), NewList(DefaultOptions(), cloneMember(members[1]))
	accuser.Merge(members)
	accused.Merge(members)
	accuser.Suspect(members[1].GetId())
	accused.Receive(accuser.Compose(&wire.Beat{}, maxDatagramBytes))
	accuser.Receive(accused.Compose(&wire.Beat{}, maxDatagramBytes))
	is.Equal(standingOf(accuser, members[1].GetId()), wire.Standing_STANDING_ALIVE)
}

// A process that dies repeatedly is not steady for a while.
func TestFlappingMemberIsNotSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := benchMembers(2)
		l := NewList(DefaultOptions(), cloneMember(members[0]))
		isSteady := func() bool { return l.Peers()[1].Steady }
		for run := range 4 {
			m := cloneMember(members[1])
			m.Incarnation += uint64(run)
			m.Session = fmt.Sprint(run)
			l.Merge([]*wire.Member{m})
			time.Sleep(time.Second)
		}
		is.True(!isSteady())
		time.Sleep(3 * time.Minute)
		is.True(isSteady())
	})
}

// measureSpread measures the time until all processes know a revision, where each one notifies
// others as a real process does.
func (p *cluster) measureSpread() time.Duration {
	began := time.Now()
	p.mu.Lock()
	p.revision[0]++
	newest := p.revision[0]
	p.mu.Unlock()
	p.services[0].NotifyPeers()
	for {
		time.Sleep(200 * time.Millisecond) // the interval at which a follower checks
		behind := 0
		for i, list := range p.lists {
			p.mu.Lock()
			revision := p.revision[i]
			p.mu.Unlock()
			if revision == newest {
				continue
			}
			if _, ok := list.Ahead(revision); !ok {
				behind++
				continue
			}
			p.mu.Lock()
			p.revision[i] = newest
			p.mu.Unlock()
			p.services[i].NotifyPeers()
		}
		if behind == 0 {
			return time.Since(began)
		}
	}
}

// BenchmarkMembership measures, in virtual time, the detection of a death, false suspicions at 5%
// loss, bytes per second and the spread of a revision.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{16, 63, 250, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				runInBubble(func() { measureCluster(b, n) })
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureCluster(b *testing.B, n int) {
	p := newCluster(n, 0.05)
	defer p.close()
	time.Sleep(10 * time.Second)
	before := p.bytes()
	const seconds = 60
	time.Sleep(seconds * time.Second)
	b.ReportMetric((p.bytes()-before)/seconds/float64(n), "bytes/s")
	b.ReportMetric(float64(p.suspicions())/float64(n)/(70.0/3600), "suspicions/h")
	b.ReportMetric(float64(p.deaths())/float64(n), "false-deaths/process")
	var spreads []time.Duration
	for range 10 {
		spreads = append(spreads, p.measureSpread())
	}
	slices.Sort(spreads)
	b.ReportMetric(spreads[len(spreads)/2].Seconds(), "spread-p50-s")
	b.ReportMetric(spreads[len(spreads)-1].Seconds(), "spread-worst-s")
	firstDetected, allDetected := p.measureDetection()
	b.ReportMetric(firstDetected.Seconds(), "dead-first-s")
	b.ReportMetric(allDetected.Seconds(), "dead-all-s")
}

// runInBubble runs a function under virtual time from a benchmark, which synctest only supports in
// tests.
func runInBubble(work func()) {
	synctest.Test(new(testing.T), func(*testing.T) { work() })
}

// failingConn is a socket whose reads fail for a while.
type failingConn struct {
	*packetConn
	failures int64
	reads    atomic.Int64
}

func (c *failingConn) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	if c.reads.Add(1) <= c.failures {
		return 0, netip.AddrPort{}, syscall.ENOBUFS
	}
	return c.packetConn.ReadFromUDPAddrPort(buffer)
}

// TestFailedReadsAreNotRepeatedAtOnce guards against a process that takes a whole core while reads of its
// socket fail.
func TestFailedReadsAreNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const failures = 100
		conn := &failingConn{packetConn: newPacketNet(0).listen(0), failures: failures}
		list := NewList(DefaultOptions(), cloneMember(benchMembers(1)[0]))
		service := NewService(list, conn, ServiceOptions{BytesPerSecond: bytesPerSecond, ConfigRevision: func() uint64 { return 0 }}, log.New(io.Discard))
		is.NoErr(service.Start(t.Context()))
		synctest.Wait()
		is.Equal(conn.reads.Load(), int64(1))
		time.Sleep(failures * receivePause)
		synctest.Wait()
		is.Equal(conn.reads.Load(), int64(failures+1)) // it reads again
		is.NoErr(service.Close())
	})
}
