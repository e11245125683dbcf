package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// condition is the way in which a proxy treats its connections.
type condition int

const (
	// normal forwards everything.
	normal condition = iota
	// delayed forwards everything after proxyDelay.
	delayed
	// silenced forwards nothing in either direction and keeps connections open.
	silenced
	// oneWay forwards outgoing bytes but no responses.
	oneWay
	// reset resets all connections, existing and new.
	reset
)

// proxyDelay is the delay that a delaying proxy adds.
const proxyDelay = 120 * time.Millisecond

// proxy is a TCP proxy on loopback between a gateway and the store or a server.
type proxy struct {
	listener net.Listener
	upstream string

	mu sync.Mutex
	// changed is closed when the condition changes.
	changed chan struct{}
	current condition
	conns   map[*net.TCPConn]struct{}
	closed  bool
	wait    sync.WaitGroup
}

// newProxy starts a proxy that forwards connections to an address, IP:port.
func newProxy(upstream string) (*proxy, error) {
	return newProxyAt("127.0.0.1:0", upstream)
}

// newProxyAt is like newProxy, for a proxy that listens on a given address.
func newProxyAt(address, upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	p.wait.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the condition.
func (p *proxy) set(next condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = next
	if next == reset {
		p.resetAll()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetAll resets all connections. The caller holds p.mu.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

// close stops the proxy and waits.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.wait.Wait()
}

func (p *proxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		client := accepted.(*net.TCPConn)
		if !p.track(client) {
			continue
		}
		p.wait.Go(func() { p.serve(client) })
	}
}

// track adds a connection, or resets it if the condition is reset or the proxy is closed.
func (p *proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.current == reset {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxy) serve(client *net.TCPConn) {
	dialed, err := net.Dial("tcp", p.upstream)
	if err != nil {
		p.drop(client)
		return
	}
	server := dialed.(*net.TCPConn)
	if !p.track(server) {
		p.drop(client)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client, true) })
	directions.Go(func() { p.forward(client, server, false) })
	directions.Wait()
	p.drop(client)
	p.drop(server)
}

func (p *proxy) drop(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// forward copies the bytes of one direction until the sender closes the connection. A reset is
// forwarded as a reset.
func (p *proxy) forward(to, from *net.TCPConn, outward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitToForward(outward) {
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.waitToForward(outward)
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
				return
			}
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// waitToForward waits until bytes of a direction may be forwarded. It returns false once the
// proxy is closed.
func (p *proxy) waitToForward(outward bool) bool {
	for {
		p.mu.Lock()
		current, changed, closed := p.current, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case current == silenced, current == oneWay && !outward:
			<-changed
		case current == delayed:
			time.Sleep(proxyDelay)
			return true
		default:
			return true
		}
	}
}

// TestProxy checks the effect of each condition on one exchange.
func TestProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	received := make(chan byte, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buffer := make([]byte, 1)
				for {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					received <- buffer[0]
					_, _ = conn.Write(buffer)
				}
			}()
		}
	}()
	defer func() { _ = listener.Close() }()
	cases := map[string]struct {
		condition condition
		// arrives means that the byte arrives while the condition lasts, answered that its
		// response does, and closed that the connection ends after it.
		arrives, answered, closed bool
	}{
		"normal":   {normal, true, true, false},
		"delayed":  {delayed, true, true, false},
		"silenced": {silenced, false, false, false},
		"one way":  {oneWay, true, false, false},
		"reset":    {reset, false, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := newProxy(listener.Addr().String())
			is.NoErr(err)
			defer p.close()
			conn, err := net.Dial("tcp", p.address())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			answer := make([]byte, 1)
			_, err = conn.Write([]byte{1})
			is.NoErr(err)
			_, err = io.ReadFull(conn, answer)
			is.NoErr(err)
			is.Equal(<-received, byte(1))
			p.set(tc.condition)
			_, _ = conn.Write([]byte{2})
			if tc.arrives {
				is.Equal(<-received, byte(2))
			}
			if tc.answered || tc.closed {
				_, err = io.ReadFull(conn, answer)
				is.Equal(err != nil, tc.closed)
			}
			is.Equal(len(received), 0)
			p.set(normal)
			if tc.closed {
				return
			}
			if !tc.arrives {
				is.Equal(<-received, byte(2))
			}
			if !tc.answered {
				_, err = io.ReadFull(conn, answer) // held-back bytes arrive later
				is.NoErr(err)
			}
			is.Equal(answer[0], byte(2))
		})
	}
}
