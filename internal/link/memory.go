package link

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// memoryBuffer is how many messages one direction of a memory stream holds.
const memoryBuffer = 16

// Hop names the place of a message in an exchange, for faults.
type Hop string

// The hops at which a fault can be switched on.
const (
	// BeforeSend: the Open has not left the caller.
	BeforeSend Hop = "before_send"
	// AfterSend: the Open has reached the server; its answers are lost.
	AfterSend Hop = "after_send"
	// OnReply: a reply is about to reach the caller.
	OnReply Hop = "on_reply"
)

// Cut decides whether the exchange breaks at a hop. For OnReply, reply is the
// message about to arrive.
type Cut func(address string, hop Hop, open *wire.Open, reply Message) bool

// Memory is a network inside one process; it works under virtual time.
type Memory struct {
	mu       sync.Mutex
	handlers map[string]Handler
	down     map[string]bool
	cut      Cut
	live     map[*memoryStream]string
	wait     sync.WaitGroup
}

// NewMemory returns an empty network.
func NewMemory() *Memory {
	return &Memory{
		handlers: make(map[string]Handler),
		down:     make(map[string]bool),
		live:     make(map[*memoryStream]string),
	}
}

// Serve answers exchanges at an address.
func (m *Memory) Serve(address string, handler Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[address] = handler
}

// SetCut installs the fault decision; nil switches faults off.
func (m *Memory) SetCut(cut Cut) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// SetDown cuts an address off, or connects it again; live exchanges break.
func (m *Memory) SetDown(address string, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[address] = down
	if !down {
		return
	}
	for stream, at := range m.live {
		if at == address {
			stream.breakOff()
		}
	}
}

func (m *Memory) cuts(address string, hop Hop, open *wire.Open, reply Message) bool {
	m.mu.Lock()
	cut := m.cut
	m.mu.Unlock()
	return cut != nil && cut(address, hop, open, reply)
}

// From returns the dialer of the process at an address: when that is cut off,
// its exchanges fail too.
func (m *Memory) From(source string) Dialer {
	return &memoryDialer{network: m, source: source}
}

type memoryDialer struct {
	network *Memory
	source  string
}

// Open starts an exchange.
func (d *memoryDialer) Open(ctx context.Context, address string, open *wire.Open) (Stream, error) {
	return d.network.open(ctx, d.source, address, open)
}

// open starts an exchange between two addresses.
func (m *Memory) open(ctx context.Context, source, address string, open *wire.Open) (Stream, error) {
	m.mu.Lock()
	handler := m.handlers[address]
	down := m.down[address] || m.down[source]
	m.mu.Unlock()
	if handler == nil || down || m.cuts(address, BeforeSend, open, nil) {
		return nil, fault.New(fault.LinkFailed, fault.NotRun, "%s: no link", address)
	}
	serverCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stream := &memoryStream{
		network: m,
		address: address,
		open:    open,
		replies: make(chan Message, memoryBuffer),
		done:    make(chan struct{}),
		cancel:  cancel,
	}
	m.mu.Lock()
	m.live[stream] = address
	m.mu.Unlock()
	m.wait.Go(func() {
		handler(serverCtx, proto.CloneOf(open), &memoryServerEnd{stream: stream})
		close(stream.replies)
		cancel(nil)
		m.mu.Lock()
		delete(m.live, stream)
		m.mu.Unlock()
	})
	if m.cuts(address, AfterSend, open, nil) {
		stream.breakOff()
		return nil, fault.New(fault.LinkFailed, fault.Unknown, "%s: link lost after send", address)
	}
	return stream, nil
}

// Close waits for the handlers to end.
func (m *Memory) Close() error {
	m.mu.Lock()
	for stream := range m.live {
		stream.breakOff()
	}
	m.mu.Unlock()
	m.wait.Wait()
	return nil
}

// memoryStream is the caller's end.
type memoryStream struct {
	network *Memory
	address string
	open    *wire.Open
	replies chan Message
	once    sync.Once
	done    chan struct{}
	cancel  context.CancelCauseFunc
}

func (s *memoryStream) breakOff() {
	s.end(ErrLinkLost)
}

func (s *memoryStream) end(cause error) {
	s.once.Do(func() {
		close(s.done)
		s.cancel(cause)
	})
}

// Send is refused: a caller sends nothing after its Open.
func (s *memoryStream) Send(Message) error {
	return errors.New("a caller sends only its first message")
}

// Recv reads the next reply.
func (s *memoryStream) Recv(msg Message) error {
	select {
	case <-s.done:
		return errors.Wrap(ErrLinkLost, "read message")
	case got, ok := <-s.replies:
		if !ok {
			return io.EOF
		}
		if s.network.cuts(s.address, OnReply, s.open, got) {
			s.breakOff()
			return errors.Wrap(ErrLinkLost, "read message")
		}
		proto.Reset(msg)
		proto.Merge(msg, got)
		return nil
	}
}

// Close ends the exchange from the caller's side.
func (s *memoryStream) Close() error {
	s.end(ErrPeerClosed)
	return nil
}

// memoryServerEnd is the server's end.
type memoryServerEnd struct {
	stream *memoryStream
}

// Send passes one reply on.
func (s *memoryServerEnd) Send(msg Message) error {
	select {
	case <-s.stream.done:
		return errors.Wrap(ErrLinkLost, "write message")
	case s.stream.replies <- proto.Clone(msg):
		return nil
	}
}

// Recv is refused: a server reads only the first message.
func (s *memoryServerEnd) Recv(Message) error {
	return io.EOF
}

// Close does nothing: the exchange ends when the handler returns.
func (s *memoryServerEnd) Close() error {
	return nil
}
