package soak

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// mesh relays what gateways send to each other, so that some can be cut off from the others. Each gateway
// reaches each other one at a relay of its own.
type mesh struct {
	// addresses are the gateways' own addresses for peers, by number.
	addresses []string
	// relays holds, by the number of the sender and that of the receiver, the relay between them; nil from
	// a gateway to itself.
	relays [][]*relay
}

// newMesh starts the relays between gateways that have not started yet.
func newMesh(t *testing.T, gateways int) *mesh {
	t.Helper()
	m := &mesh{relays: make([][]*relay, gateways)}
	for range gateways {
		m.addresses = append(m.addresses, freeAddress(t))
	}
	for from := range gateways {
		m.relays[from] = make([]*relay, gateways)
		for to := range gateways {
			if from != to {
				m.relays[from][to] = newRelay(t, m, from, to)
			}
		}
	}
	for _, relays := range m.relays {
		for _, r := range relays {
			if r != nil {
				r.wait.Go(r.forward)
			}
		}
	}
	return m
}

// peerAddress returns the address for peers of a gateway that has not started yet.
func (s *soak) peerAddress(number int) string {
	if s.mesh != nil {
		return s.mesh.addresses[number]
	}
	return freeAddress(s.t)
}

// seeds returns the addresses at which a gateway reaches those that started before it, at most limit.
func (m *mesh) seeds(number, limit int) []string {
	seeds := []string{}
	for _, r := range m.relays[number][:min(number, limit)] {
		seeds = append(seeds, r.address)
	}
	return seeds
}

// setBetween changes the condition between some gateways and all others, in both directions.
func (m *mesh) setBetween(some []int, next condition) {
	for from, relays := range m.relays {
		for to, r := range relays {
			if r != nil && slices.Contains(some, from) != slices.Contains(some, to) {
				r.set(next)
			}
		}
	}
}

// setDelay changes the delay of all datagrams.
func (m *mesh) setDelay(delay time.Duration) {
	for _, relays := range m.relays {
		for _, r := range relays {
			if r != nil {
				r.delay.Store(int64(delay))
			}
		}
	}
}

func (m *mesh) close() {
	for _, relays := range m.relays {
		for _, r := range relays {
			if r != nil {
				r.close()
			}
		}
	}
}

// addressFor returns the address at which a gateway reaches another one, or itself.
func (m *mesh) addressFor(from, to int) string {
	if from == to {
		return m.addresses[from]
	}
	return m.relays[from][to].address
}

// numberOf returns the number of the gateway that another one, or itself, reaches at an address; -1 if there
// is none.
func (m *mesh) numberOf(from int, address string) int {
	for to := range m.relays {
		if m.addressFor(from, to) == address {
			return to
		}
	}
	return -1
}

// relay forwards the datagrams and connections of one gateway to another one. Datagrams name gateways by the
// addresses at which their sender reaches these; the relay replaces them by those of the receiver.
type relay struct {
	mesh     *mesh
	from, to int
	// address is where it receives, and upstream the receiver's own address.
	address  string
	upstream netip.AddrPort
	conn     *net.UDPConn
	links    *proxy
	// cut means that datagrams are dropped, and dropped counts those that were.
	cut     atomic.Bool
	dropped atomic.Int64
	// delay is the delay of datagrams, in nanoseconds.
	delay atomic.Int64
	wait  sync.WaitGroup
}

func newRelay(t *testing.T, m *mesh, from, to int) *relay {
	t.Helper()
	is := is.New(t)
	r := &relay{mesh: m, from: from, to: to, address: freeAddress(t), upstream: netip.MustParseAddrPort(m.addresses[to])}
	var err error
	r.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.address)))
	is.NoErr(err)
	r.links, err = newProxyAt(r.address, m.addresses[to])
	is.NoErr(err)
	return r
}

// set changes the condition: whatever holds back connections drops datagrams.
func (r *relay) set(next condition) {
	r.cut.Store(next == silenced || next == reset)
	r.links.set(next)
}

func (r *relay) close() {
	_ = r.conn.Close()
	r.wait.Wait()
	r.links.close()
}

// forward forwards datagrams until the relay is closed.
func (r *relay) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if r.cut.Load() {
			r.dropped.Add(1)
			continue
		}
		data, ok := r.translate(buffer[:n])
		delay := time.Duration(r.delay.Load())
		switch {
		case !ok:
		case delay > 0:
			time.AfterFunc(delay, func() { r.pass(data) })
		default:
			r.pass(data)
		}
	}
}

// pass sends a datagram on. What can't be sent is as good as lost.
func (r *relay) pass(data []byte) {
	_, _ = r.conn.WriteToUDPAddrPort(data, r.upstream)
}

// translate returns a datagram with the addresses that its receiver uses; false if it is none of a gateway.
func (r *relay) translate(data []byte) ([]byte, bool) {
	heartbeat := new(wire.GatewayBeat)
	if proto.Unmarshal(data, heartbeat) != nil {
		return nil, false
	}
	if heartbeat.GetAddress() != "" {
		heartbeat.Address = r.mesh.addressFor(r.to, r.from)
	}
	for i, address := range heartbeat.GetKnown() {
		if number := r.mesh.numberOf(r.from, address); number >= 0 {
			heartbeat.Known[i] = r.mesh.addressFor(r.to, number)
		}
	}
	translated, err := proto.Marshal(heartbeat)
	return translated, err == nil
}

// TestMesh checks which datagrams arrive between gateways, and the addresses in them.
func TestMesh(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	defer m.close()
	conns := make([]*net.UDPConn, len(m.addresses))
	for i, address := range m.addresses {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		conns[i] = conn
	}
	sequence := uint64(0)
	send := func(from, to int) {
		sequence++
		data, err := proto.Marshal(&wire.GatewayBeat{Sequence: sequence, Address: m.addresses[from], Known: []string{m.addressFor(from, to), m.addressFor(from, 2), "127.0.0.1:1"}})
		is.NoErr(err)
		_, err = conns[from].WriteToUDPAddrPort(data, netip.MustParseAddrPort(m.addressFor(from, to)))
		is.NoErr(err)
	}
	receive := func(to int) *wire.GatewayBeat {
		buffer := make([]byte, 4096)
		n, _, err := conns[to].ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		heartbeat := new(wire.GatewayBeat)
		is.NoErr(proto.Unmarshal(buffer[:n], heartbeat))
		return heartbeat
	}
	send(0, 1)
	got := receive(1)
	is.Equal(got.GetAddress(), m.addressFor(1, 0))
	is.Equal(got.GetKnown(), []string{m.addresses[1], m.addressFor(1, 2), "127.0.0.1:1"})
	m.setBetween([]int{0}, silenced)
	send(0, 1)
	for m.relays[0][1].dropped.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	send(2, 1)
	is.Equal(receive(1).GetSequence(), sequence)
	m.setBetween([]int{0}, normal)
	send(0, 1)
	is.Equal(receive(1).GetSequence(), sequence)
	const delay = 30 * time.Millisecond
	m.setDelay(delay)
	sent := time.Now()
	send(0, 1)
	is.Equal(receive(1).GetSequence(), sequence)
	is.True(time.Since(sent) >= delay)
}
