// Package loopback hands out loopback ports for the processes that tests
// start. A port that is found free by opening and closing a listener can be
// taken, before its process listens on it, by any connection that some other
// process makes; and two test binaries can find the same one. The ports given
// here lie below the range from which the kernel takes the ports of outgoing
// connections, and each test binary draws them from blocks of its own.
package loopback

import (
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	host = "127.0.0.1"
	// firstPort and lastPort bound the ports that are handed out; the kernel's
	// range for outgoing connections begins at 32768.
	firstPort = 12000
	lastPort  = 32000
	// blockSize is how many ports one block has. Its first one is kept open by
	// the process that draws from the block.
	blockSize = 50
)

// Ports hands out addresses. It is safe for concurrent use.
type Ports struct {
	mu sync.Mutex
	// block holds the first port of the block in use; nil before the first
	// address.
	block net.Listener
	// held are blocks that are used up; they are kept until Close, since the
	// processes that got their ports may still run.
	held []net.Listener
	// next is the port to be handed out next, and end the first one behind the
	// block.
	next, end int
}

// Address gives an IP:port at which nobody listens, for TCP and UDP. No other
// call, in this process or another, gives the same one while Ports is open.
func (p *Ports) Address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.takeBlock(); err != nil {
				return "", err
			}
		}
		address := addressOf(p.next)
		p.next++
		if free(address) {
			return address, nil
		}
	}
}

// takeBlock claims the first block that nobody holds.
func (p *Ports) takeBlock() error {
	if p.block != nil {
		p.held = append(p.held, p.block)
		p.block = nil
	}
	for first := max(firstPort, p.end); first+blockSize <= lastPort; first += blockSize {
		listener, err := net.Listen("tcp", addressOf(first))
		if err != nil {
			continue
		}
		p.block = listener
		p.next, p.end = first+1, first+blockSize
		return nil
	}
	return errors.Newf("no free block of %d ports between %d and %d", blockSize, firstPort, lastPort)
}

// Close gives the blocks back.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.block != nil {
		p.held = append(p.held, p.block)
	}
	var all error
	for _, listener := range p.held {
		all = errors.CombineErrors(all, listener.Close())
	}
	p.block, p.held = nil, nil
	p.next, p.end = 0, 0
	return all
}

func addressOf(port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// free says whether nobody listens at an address.
func free(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
