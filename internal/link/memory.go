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

// memoryBuffer is how many messages one direction of a memory stream buffers.
const memoryBuffer = 16

// Hop is the point of an exchange at which a fault can be injected.
type Hop string

// Hops at which a fault can be injected.
const (
	// BeforeSend is before the Open leaves the caller.
	BeforeSend Hop = "before_send"
	// AfterSend is after the Open has reached the server, whose replies are lost.
	AfterSend Hop = "after_send"
	// OnReply is before a reply reaches the caller.
	OnReply Hop = "on_reply"
)

// Cut decides whether to interrupt the exchange at a hop. For OnReply, reply is the
// message about to be delivered.
type Cut func(address string, hop Hop, open *wire.Open, reply Message) bool

// Memory is an in-process network. It works under the virtual time of synctest.
type Memory struct {
	mu       sync.Mutex
	handlers map[string]Handler
	down     map[string]bool
	cut      Cut
	streams  map[*memoryStream]string
	wg       sync.WaitGroup
}

// NewMemory returns an empty network.
func NewMemory() *Memory {
	return &Memory{
		handlers: make(map[string]Handler),
		down:     make(map[string]bool),
		streams:  make(map[*memoryStream]string),
	}
}

// Serve registers the handler of exchanges at an address.
func (m *Memory) Serve(address string, handler Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[address] = handler
}

// SetCut installs the fault injection; nil removes it.
func (m *Memory) SetCut(cut Cut) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// SetDown disconnects an address or connects it again. Disconnecting interrupts the open
// exchanges with it.
func (m *Memory) SetDown(address string, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[address] = down
	if !down {
		return
	}
	for stream, streamAddress := range m.streams {
		if streamAddress == address {
			stream.disconnect()
		}
	}
}

func (m *Memory) shouldCut(address string, hop Hop, open *wire.Open, reply Message) bool {
	m.mu.Lock()
	cut := m.cut
	m.mu.Unlock()
	return cut != nil && cut(address, hop, open, reply)
}

// From returns the dialer of the process at an address. While that address is
// disconnected, its exchanges fail too.
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
	if handler == nil || down || m.shouldCut(address, BeforeSend, open, nil) {
		return nil, fault.New(fault.LinkFailed, fault.NotRun, "%s: no connection", address)
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
	m.streams[stream] = address
	m.mu.Unlock()
	m.wg.Go(func() {
		handler(serverCtx, proto.CloneOf(open), &memoryServerStream{stream: stream})
		close(stream.replies)
		cancel(nil)
		m.mu.Lock()
		delete(m.streams, stream)
		m.mu.Unlock()
	})
	if m.shouldCut(address, AfterSend, open, nil) {
		stream.disconnect()
		return nil, fault.New(fault.LinkFailed, fault.Unknown, "%s: link lost after send", address)
	}
	return stream, nil
}

// Close interrupts the open exchanges and waits for the handlers.
func (m *Memory) Close() error {
	m.mu.Lock()
	for stream := range m.streams {
		stream.disconnect()
	}
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// memoryStream is the caller's end of an exchange.
type memoryStream struct {
	network *Memory
	address string
	open    *wire.Open
	replies chan Message
	once    sync.Once
	done    chan struct{}
	cancel  context.CancelCauseFunc
}

func (s *memoryStream) disconnect() {
	s.end(ErrLinkLost)
}

func (s *memoryStream) end(cause error) {
	s.once.Do(func() {
		close(s.done)
		s.cancel(cause)
	})
}

// Send returns an error: a caller sends nothing after its Open.
func (s *memoryStream) Send(Message) error {
	return errors.New("a caller sends only its first message")
}

// Recv reads the next reply.
func (s *memoryStream) Recv(msg Message) error {
	select {
	case <-s.done:
		return errors.Wrap(ErrLinkLost, "read message")
	case reply, ok := <-s.replies:
		if !ok {
			return io.EOF
		}
		if s.network.shouldCut(s.address, OnReply, s.open, reply) {
			s.disconnect()
			return errors.Wrap(ErrLinkLost, "read message")
		}
		proto.Reset(msg)
		proto.Merge(msg, reply)
		return nil
	}
}

// Close ends the exchange from the caller's side.
func (s *memoryStream) Close() error {
	s.end(ErrPeerClosed)
	return nil
}

// memoryServerStream is the server's end of an exchange.
type memoryServerStream struct {
	stream *memoryStream
}

// Send delivers one reply.
func (s *memoryServerStream) Send(msg Message) error {
	select {
	case <-s.stream.done:
		return errors.Wrap(ErrLinkLost, "write message")
	case s.stream.replies <- proto.Clone(msg):
		return nil
	}
}

// Recv returns io.EOF: a server reads only the first message.
func (s *memoryServerStream) Recv(Message) error {
	return io.EOF
}

// Close does nothing: the exchange ends when the handler returns.
func (s *memoryServerStream) Close() error {
	return nil
}
