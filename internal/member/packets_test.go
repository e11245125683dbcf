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
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// packetNet carries datagrams in memory, under virtual time, and loses some.
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
	// down drops all that comes and goes, as when the host is paused or gone.
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

// party is a number of processes that exchange beats.
type party struct {
	net      *packetNet
	lists    []*List
	services []*Service
	conns    []*packetConn
	mu       sync.Mutex
	revision []uint64
}

const benchBudget = 4000

// newParty starts n processes that know each other.
func newParty(n int, loss float64) *party {
	p := &party{net: newPacketNet(loss), revision: make([]uint64, n)}
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
		for _, known := range list.entries {
			known.sends = 1000
		}
		service := NewService(list, p.conns[i], ServiceOptions{
			BytesPerSecond: benchBudget,
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

func (p *party) close() {
	for _, service := range p.services {
		_ = service.Close()
	}
}

func (p *party) bytes() float64 {
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

// detect ends one process and measures until all others know it.
func (p *party) detect() (first, all time.Duration) {
	const victim = 3
	id := p.lists[victim].self.GetId()
	p.conns[victim].setDown(true)
	began := time.Now()
	for all == 0 && time.Since(began) < 2*time.Minute {
		time.Sleep(100 * time.Millisecond)
		dead := 0
		for i, list := range p.lists {
			if i != victim && standingOf(list, id) == wire.Standing_STANDING_DEAD {
				dead++
			}
		}
		if dead > 0 && first == 0 {
			first = time.Since(began)
		}
		if dead == len(p.lists)-1 {
			all = time.Since(began)
		}
	}
	return first, all
}

func (p *party) suspicions() int {
	sum := 0
	for _, list := range p.lists {
		sum += list.Suspicions()
	}
	return sum
}

func (p *party) deaths() int {
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

// A process that ends is known to all as dead; one that is paused for 3 s, and
// a network that loses one datagram in twenty, kill nobody.
func TestDeathIsFoundAndPausesForgiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newParty(30, 0.05)
		defer p.close()
		time.Sleep(time.Minute)
		p.conns[5].setDown(true)
		time.Sleep(3 * time.Second)
		p.conns[5].setDown(false)
		time.Sleep(time.Minute)
		is.Equal(p.deaths(), 0)
		_, all := p.detect()
		is.True(all > 0)
	})
}

// With hundreds of members, suspicions at 5% loss are denied before anybody
// takes the suspected for dead.
func TestLossKillsNobodyAmongMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newParty(300, 0.05)
		defer p.close()
		time.Sleep(90 * time.Second)
		is.New(t).True(p.suspicions() > 0)
		is.New(t).Equal(p.deaths(), 0)
	})
}

// TestASuspectIsAskedBeforeItIsBuried: found as a false death among 300 members: the
// suspicion had reached a process and its denial had not.
func TestASuspectIsAskedBeforeItIsBuried(t *testing.T) {
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
		time.Sleep(l.suspicion() * 6 / 10)
		next, ok := l.NextProbe()
		is.True(ok)
		is.Equal(next.GetId(), accused.GetId())
		again, _ := l.NextProbe()
		is.True(again.GetId() != accused.GetId()) // once is enough
		denied := cloneMember(members[17])
		denied.Incarnation++
		l.Merge([]*wire.Member{denied})
		time.Sleep(l.suspicion())
		l.Expire()
		is.Equal(standingOf(l, accused.GetId()), wire.Standing_STANDING_ALIVE)
	})
}

// The budget is never exceeded by more than what it had saved up.
func TestBudgetHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newParty(20, 0)
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
			is.New(t).True(sent <= benchBudget*(seconds+1))
		}
	})
}

// A suspected process that is alive denies it with a higher incarnation.
func TestSuspicionIsDenied(t *testing.T) {
	is := is.New(t)
	members := benchMembers(3)
	accuser, accused := NewList(DefaultOptions(), cloneMember(members[0])), NewList(DefaultOptions(), cloneMember(members[1]))
	accuser.Merge(members)
	accused.Merge(members)
	accuser.Suspect(members[1].GetId())
	accused.Receive(accuser.Compose(&wire.Beat{}, beatMost))
	accuser.Receive(accused.Compose(&wire.Beat{}, beatMost))
	is.Equal(standingOf(accuser, members[1].GetId()), wire.Standing_STANDING_ALIVE)
}

// A process that dies again and again is not steady for a while.
func TestFlappingIsDamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := benchMembers(2)
		l := NewList(DefaultOptions(), cloneMember(members[0]))
		steady := func() bool { return l.Peers()[1].Steady }
		for run := range 4 {
			m := cloneMember(members[1])
			m.Incarnation += uint64(run)
			m.Session = fmt.Sprint(run)
			l.Merge([]*wire.Member{m})
			time.Sleep(time.Second)
		}
		is.True(!steady())
		time.Sleep(3 * time.Minute)
		is.True(steady())
	})
}

// spread counts the time until all processes have heard of a revision, each
// telling others as a node does.
func (p *party) spread() time.Duration {
	began := time.Now()
	p.mu.Lock()
	p.revision[0]++
	newest := p.revision[0]
	p.mu.Unlock()
	p.services[0].NotifyPeers()
	for {
		time.Sleep(200 * time.Millisecond) // as a follower looks
		behind := 0
		for i, list := range p.lists {
			p.mu.Lock()
			have := p.revision[i]
			p.mu.Unlock()
			if have == newest {
				continue
			}
			if _, ok := list.Ahead(have); !ok {
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

// BenchmarkMembership measures, in virtual time, detection of a death, false
// suspicions at 5% loss, bytes a second and the spread of a revision.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{16, 63, 250, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				runInBubble(func() { measureParty(b, n) })
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureParty(b *testing.B, n int) {
	p := newParty(n, 0.05)
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
		spreads = append(spreads, p.spread())
	}
	slices.Sort(spreads)
	b.ReportMetric(spreads[len(spreads)/2].Seconds(), "spread-p50-s")
	b.ReportMetric(spreads[len(spreads)-1].Seconds(), "spread-worst-s")
	first, all := p.detect()
	b.ReportMetric(first.Seconds(), "dead-first-s")
	b.ReportMetric(all.Seconds(), "dead-all-s")
}

// runInBubble runs a function under virtual time from a benchmark, which
// synctest itself only offers to tests.
func runInBubble(work func()) {
	synctest.Test(new(testing.T), func(*testing.T) { work() })
}
