package link

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func hello() *wire.Hello {
	return &wire.Hello{Version: Version, ProcessId: "test"}
}

func startServer(t *testing.T, handler Handler) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := NewServer(listener, hello(), nil, log.New(io.Discard), handler)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func startPool(t *testing.T) *Pool {
	p := NewPool(hello(), nil)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func newCall(id string) *wire.Open {
	return &wire.Open{Kind: &wire.Open_Call{Call: &wire.Call{RequestId: id}}}
}

func echo(_ context.Context, open *wire.Open, stream Stream) {
	_ = stream.Send(&wire.Reply{RequestId: open.GetCall().GetRequestId()})
}

func TestExchangesShareOneSession(t *testing.T) {
	is := is.New(t)
	server, pool := startServer(t, echo), startPool(t)
	for _, id := range []string{"a", "b", "c"} {
		reply, err := Ask(t.Context(), pool, server.Address(), newCall(id))
		is.NoErr(err)
		is.Equal(reply.GetRequestId(), id)
	}
	is.Equal(pool.Sessions(), 1)
}

// TestCloseCancelsHandler checks that a caller's close ends the handler's context.
func TestCloseCancelsHandler(t *testing.T) {
	is := is.New(t)
	cause := make(chan error, 1)
	server, pool := startServer(t, func(ctx context.Context, _ *wire.Open, _ Stream) {
		<-ctx.Done()
		cause <- context.Cause(ctx)
	}), startPool(t)
	stream, err := pool.Open(t.Context(), server.Address(), newCall("a"))
	is.NoErr(err)
	is.NoErr(stream.Close())
	is.Equal(<-cause, ErrPeerClosed)
}

// TestSlowReaderBlocksOnlyItsExchange checks that other exchanges proceed while one has a
// slow reader.
func TestSlowReaderBlocksOnlyItsExchange(t *testing.T) {
	is := is.New(t)
	handlerDone := make(chan struct{})
	server, pool := startServer(t, func(_ context.Context, open *wire.Open, stream Stream) {
		if open.GetCall().GetRequestId() != "slow" {
			echo(t.Context(), open, stream)
			return
		}
		defer close(handlerDone)
		part := &wire.Reply{Kind: &wire.Reply_Data{Data: &wire.Data{Bytes: make([]byte, 64<<10)}}}
		sendForever(stream, part)
	}), startPool(t)
	slow, err := pool.Open(t.Context(), server.Address(), newCall("slow"))
	is.NoErr(err)
	for range 100 {
		_, err := Ask(t.Context(), pool, server.Address(), newCall("quick"))
		is.NoErr(err)
	}
	is.NoErr(slow.Close())
	<-handlerDone
}

// TestSilentPeerIsDropped checks that a peer which stops responding during an exchange,
// without closing, is probed and dropped.
func TestSilentPeerIsDropped(t *testing.T) {
	is := is.New(t)
	server, pool := startServer(t, func(ctx context.Context, _ *wire.Open, _ Stream) { <-ctx.Done() }), startPool(t)
	relay := newRelay(t, server.Address())
	stream, err := pool.Open(t.Context(), relay.address(), newCall("a"))
	is.NoErr(err)
	relay.freeze()
	is.True(stream.Recv(new(wire.Reply)) != nil)
}

// relay forwards bytes until it is frozen. Its connections stay open.
type relay struct {
	listener net.Listener
	frozen   chan struct{}
	once     sync.Once
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := &relay{listener: listener, frozen: make(chan struct{})}
	var wg sync.WaitGroup
	var conns []net.Conn
	wg.Go(func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		conns = append(conns, client, server)
		wg.Go(func() { r.pass(client, server) })
		wg.Go(func() { r.pass(server, client) })
	})
	t.Cleanup(func() {
		r.freeze()
		_ = listener.Close()
		for _, conn := range conns {
			_ = conn.Close()
		}
		wg.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) freeze() { r.once.Do(func() { close(r.frozen) }) }

func (r *relay) pass(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-r.frozen:
			return
		default:
		}
		if err != nil {
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// TestReconnect checks that an exchange fails after the server has closed, and succeeds
// once a server is back.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	server, pool := startServer(t, echo), startPool(t)
	address := server.Address()
	_, err := Ask(t.Context(), pool, address, newCall("a"))
	is.NoErr(err)
	is.NoErr(server.Close())
	_, err = Ask(t.Context(), pool, address, newCall("b"))
	is.True(err != nil)
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	restarted := NewServer(listener, hello(), nil, log.New(io.Discard), echo)
	defer func() { _ = restarted.Close() }()
	for {
		if _, err = Ask(t.Context(), pool, address, newCall("c")); err == nil {
			return
		}
		if t.Context().Err() != nil {
			t.Fatal(err)
		}
	}
}

// sendForever sends a message repeatedly until the stream ends.
func sendForever(stream Stream, msg Message) {
	err := stream.Send(msg)
	for err == nil {
		err = stream.Send(msg)
	}
}

func rawSession(t *testing.T, address string) *yamux.Session {
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	session, err := yamux.Client(conn, sessionConfig())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = session.Close() })
	return session
}

// TestBadPeersAreDropped checks that peers which send garbage, huge frames or another
// version are dropped and counted, and that the handler is not called for them.
func TestBadPeersAreDropped(t *testing.T) {
	tests := map[string]func(conn net.Conn){
		"garbage": func(conn net.Conn) {
			_, _ = conn.Write([]byte(strings.Repeat("\xff", 64)))
		},
		"huge frame": func(conn net.Conn) {
			_, _ = conn.Write(binary.AppendUvarint(nil, MaxMessage+1))
		},
		"not a message": func(conn net.Conn) {
			_, _ = conn.Write([]byte{3, 0xff, 0xff, 0xff})
		},
		"wrong version": func(conn net.Conn) {
			_ = newMessageStream(conn).Send(&wire.Open{Kind: &wire.Open_Hello{Hello: &wire.Hello{Version: 99}}})
		},
		"cut short": func(conn net.Conn) {
			_, _ = conn.Write([]byte{20, 1, 2})
			_ = conn.Close()
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			var handled atomic.Int32
			server := startServer(t, func(context.Context, *wire.Open, Stream) { handled.Add(1) })
			session := rawSession(t, server.Address())
			conn, err := session.OpenStream()
			is.New(t).NoErr(err)
			send(conn)
			<-session.CloseChan()
			is.New(t).Equal(server.BadPeers(), int64(1))
			is.New(t).Equal(handled.Load(), int32(0))
		})
	}
}

// TestTruncatedMessageIsNotEOF checks that a truncated message is an error and not a
// clean end.
func TestTruncatedMessageIsNotEOF(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	go func() {
		data, _ := proto.Marshal(&wire.Reply{RequestId: "request"})
		_, _ = theirs.Write(append(binary.AppendUvarint(nil, uint64(len(data))), data[:3]...))
		_ = theirs.Close()
	}()
	err := newMessageStream(ours).Recv(new(wire.Reply))
	is.True(err != nil)
	is.True(!errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
	_ = ours.Close()
}

func FuzzFrames(f *testing.F) {
	data, _ := proto.Marshal(newCall("seed"))
	f.Add(append(binary.AppendUvarint(nil, uint64(len(data))), data...))
	f.Add([]byte{0})
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = theirs.Write(data)
			_ = theirs.Close()
		}()
		_ = ours.SetDeadline(time.Now().Add(time.Second))
		stream := newMessageStream(ours)
		err := stream.Recv(new(wire.Open))
		for err == nil {
			err = stream.Recv(new(wire.Open))
		}
		_ = ours.Close()
	})
}

// BenchmarkStream measures pieces sent through one session, one per frame.
func BenchmarkStream(b *testing.B) {
	piece := &wire.Reply{RequestId: "request-0123456789", Attempt: 1, Kind: &wire.Reply_Data{Data: &wire.Data{Offset: 100, Pieces: []string{" kitchen"}}}}
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	server := NewServer(listener, hello(), nil, log.New(io.Discard), func(_ context.Context, _ *wire.Open, stream Stream) {
		sendForever(stream, piece)
	})
	defer func() { _ = server.Close() }()
	pool := NewPool(hello(), nil)
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(b.Context(), server.Address(), newCall("a"))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	reply := new(wire.Reply)
	for b.Loop() {
		if err := stream.Recv(reply); err != nil {
			b.Fatal(err)
		}
	}
	_ = stream.Close()
}
