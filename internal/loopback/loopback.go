// Package loopback hands out loopback ports for the processes that tests start. A port that is
// found free by opening and closing a listener can be taken by an outgoing connection of any
// process before its own process listens on it, and two test binaries can find the same one.
// The ports given here lie below the kernel's ephemeral range, and each test binary draws them
// from its own blocks.
package loopback

import (
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	host = "127.0.0.1"
	// firstPort and lastPort limit the ports that are handed out; the kernel's range for
	// outgoing connections begins at 32768.
	firstPort = 12000
	lastPort  = 32000
	// blockSize is the number of ports in a block. The first one is kept open by the process
	// that owns the block.
	blockSize = 50
)

// Ports hands out addresses. It is safe for concurrent use.
type Ports struct {
	mu sync.Mutex
	// block listens on the first port of the current block; nil before the first address.
	block net.Listener
	// usedBlocks are exhausted blocks. They are kept until Close, since the processes that got
	// their ports may still run.
	usedBlocks []net.Listener
	// next is the next port to hand out, and end the first port after the block.
	next, end int
}

// Address returns an IP:port without a listener, for TCP and UDP. No other call, in this
// process or another, returns the same one while Ports is open.
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
		if isFree(address) {
			return address, nil
		}
	}
}

// takeBlock claims the first block that no process owns.
func (p *Ports) takeBlock() error {
	if p.block != nil {
		p.usedBlocks = append(p.usedBlocks, p.block)
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

// Close releases the blocks.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.block != nil {
		p.usedBlocks = append(p.usedBlocks, p.block)
	}
	var joined error
	for _, listener := range p.usedBlocks {
		joined = errors.CombineErrors(joined, listener.Close())
	}
	p.block, p.usedBlocks = nil, nil
	p.next, p.end = 0, 0
	return joined
}

func addressOf(port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// isFree reports whether an address has no listener.
func isFree(address string) bool {
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
