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

// condition is what a proxy does to the connections through it.
type condition int

const (
	// normal passes everything on.
	normal condition = iota
	// delayed passes everything on later.
	delayed
	// silenced passes nothing on, in either direction, and says nothing.
	silenced
	// oneWay passes on what goes out, and nothing that comes back.
	oneWay
	// reset breaks connections, open and new ones.
	reset
)

// delayBy is how much later a delaying proxy passes bytes on.
const delayBy = 120 * time.Millisecond

// proxy stands on loopback between a gateway and what it calls.
type proxy struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// changed is closed when the condition changes.
	changed chan struct{}
	now     condition
	conns   map[*net.TCPConn]struct{}
	closed  bool
	wait    sync.WaitGroup
}

// newProxy passes connections on to an address, IP:port.
func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	p.wait.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the condition.
func (p *proxy) set(now condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = now
	if now == reset {
		p.resetAll()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetAll breaks all connections; p.mu is held.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

// close ends the proxy and waits.
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
		near := accepted.(*net.TCPConn)
		if !p.track(near) {
			continue
		}
		p.wait.Go(func() { p.serve(near) })
	}
}

// track notes a connection; one that comes while connections are reset is.
func (p *proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.now == reset {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxy) serve(near *net.TCPConn) {
	dialed, err := net.Dial("tcp", p.to)
	if err != nil {
		p.drop(near)
		return
	}
	far := dialed.(*net.TCPConn)
	if !p.track(far) {
		p.drop(near)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(far, near, true) })
	both.Go(func() { p.carry(near, far, false) })
	both.Wait()
	p.drop(near)
	p.drop(far)
}

func (p *proxy) drop(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// carry passes bytes of one direction on, until their sender ends; an end that
// is a reset is passed on as one.
func (p *proxy) carry(to, from *net.TCPConn, outward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.pass(outward) {
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.pass(outward)
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

// pass waits until bytes of a direction may be passed on; false when the
// proxy has ended.
func (p *proxy) pass(outward bool) bool {
	for {
		p.mu.Lock()
		now, changed, closed := p.now, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case now == silenced, now == oneWay && !outward:
			<-changed
		case now == delayed:
			time.Sleep(delayBy)
			return true
		default:
			return true
		}
	}
}

// TestProxy: what each condition does to one exchange.
func TestProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	got := make(chan byte, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				one := make([]byte, 1)
				for {
					if _, err := conn.Read(one); err != nil {
						return
					}
					got <- one[0]
					_, _ = conn.Write(one)
				}
			}()
		}
	}()
	defer func() { _ = listener.Close() }()
	cases := map[string]struct {
		now condition
		// arrives says that the byte arrives while the condition lasts, answered
		// that its answer does, dead that the connection has ended after it.
		arrives, answered, dead bool
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
			is.Equal(<-got, byte(1))
			p.set(tc.now)
			_, _ = conn.Write([]byte{2})
			if tc.arrives {
				is.Equal(<-got, byte(2))
			}
			if tc.answered || tc.dead {
				_, err = io.ReadFull(conn, answer)
				is.Equal(err != nil, tc.dead)
			}
			is.Equal(len(got), 0)
			p.set(normal)
			if tc.dead {
				return
			}
			if !tc.arrives {
				is.Equal(<-got, byte(2))
			}
			if !tc.answered {
				_, err = io.ReadFull(conn, answer) // what was held back comes later
				is.NoErr(err)
			}
			is.Equal(answer[0], byte(2))
		})
	}
}
