//go:build review

package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxy passes the connections to one server on and can reset them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	caller, server *net.TCPConn
	// lastSent is when the server last sent something.
	lastSent time.Time
}

// newProxy starts a proxy before a server.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		l := &link{caller: caller.(*net.TCPConn), server: server.(*net.TCPConn)}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.forward(l, l.caller, l.server)
		go p.forward(l, l.server, l.caller)
	}
}

// forward passes bytes on until one side ends the connection, and then closes both.
func (p *proxy) forward(l *link, from, to *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if from == l.server {
				p.mu.Lock()
				l.lastSent = time.Now()
				p.mu.Unlock()
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = l.caller.Close()
	_ = l.server.Close()
}

// resetOne resets a connection on which the server has sent something within a time. It returns false
// if there is none.
func resetOne(proxies []*proxy, within time.Duration) bool {
	var busy []*link
	for _, p := range proxies {
		p.mu.Lock()
		for l := range p.links {
			if time.Since(l.lastSent) < within {
				busy = append(busy, l)
			}
		}
		p.mu.Unlock()
	}
	if len(busy) == 0 {
		return false
	}
	chosen := busy[rand.IntN(len(busy))]
	for _, conn := range []*net.TCPConn{chosen.caller, chosen.server} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	return true
}
