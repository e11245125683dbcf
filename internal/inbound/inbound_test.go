package inbound_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/inbound"
	"github.com/capersaddle/capersaddle/internal/spool"
)

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	p.conns <- theirs
	return ours
}

// testServer is a server behind an inbound.Listener.
type testServer struct {
	pipes    *pipeListener
	listener *inbound.Listener
	server   *http.Server
	served   chan struct{}
	// idleLimit is a time.Duration that the server may read at any time.
	idleLimit atomic.Int64
	// headerLimit is a time.Duration like idleLimit; zero means no limit.
	headerLimit atomic.Int64
}

// setIdleLimit changes the limit of idle periods that begin from now on.
func (s *testServer) setIdleLimit(limit time.Duration) {
	synctest.Wait() // until the idle periods that are due have begun
	s.idleLimit.Store(int64(limit))
}

const (
	slowAnswer    = 2 * time.Second
	idleTimeout   = 4 * time.Second
	headerTimeout = 1500 * time.Millisecond
)

func newTestServer() *testServer {
	return newLimitedServer(inbound.Limits{})
}

// newLimitedServer returns a server with limits of its connections other than those of time.
func newLimitedServer(limits inbound.Limits) *testServer {
	s := &testServer{pipes: newPipeListener(), served: make(chan struct{})}
	s.idleLimit.Store(int64(idleTimeout))
	limits.IdleTimeout = func() time.Duration { return time.Duration(s.idleLimit.Load()) }
	limits.HeaderTimeout = func() time.Duration { return time.Duration(s.headerLimit.Load()) }
	s.listener = inbound.Listen(s.pipes, limits)
	s.server = &http.Server{
		ConnState:   s.listener.ConnState,
		ConnContext: s.listener.ConnContext,
		Handler: s.listener.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(slowAnswer)
			}
			if r.Context().Err() != nil {
				return
			}
			_, _ = io.WriteString(w, "yes")
		})),
	}
	go func() {
		defer close(s.served)
		_ = s.server.Serve(s.listener) // ends when the server is closed
	}()
	return s
}

func (s *testServer) close() {
	_ = s.server.Close()
	time.Sleep(slowAnswer) // until the slowest handler has seen it
	<-s.served
}

// caller is one connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) caller() *caller {
	conn := s.pipes.dial()
	return &caller{conn: conn, reader: bufio.NewReader(conn)}
}

const request = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"

var errUnexpectedAnswer = errors.New("unexpected answer")

func (c *caller) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// answer reads one complete answer.
func (c *caller) answer() error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "yes" {
		return errUnexpectedAnswer
	}
	return err
}

func (c *caller) ask() error {
	if err := c.send(request); err != nil {
		return err
	}
	return c.answer()
}

// TestPartialRequestIsServed covers a request of which a part has arrived when its connection's
// idle time would be over. The connection was closed although the request was passed on, so the
// request was lost.
func TestPartialRequestIsServed(t *testing.T) {
	drain := func(s *testServer) { go func() { _ = s.listener.Drain(context.Background()) }() }
	cases := map[string]func(s *testServer){
		"the idle time ends":             func(*testServer) { time.Sleep(idleTimeout) },
		"drain":                          drain,
		"the idle time ends, then drain": func(s *testServer) { time.Sleep(idleTimeout); drain(s) },
		"drain, then the idle time ends": func(s *testServer) { drain(s); time.Sleep(idleTimeout) },
	}
	for name, meanwhile := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestServer()
				defer s.close()
				c := s.caller()
				is.NoErr(c.ask())
				is.NoErr(c.send(request[:20]))
				synctest.Wait()
				meanwhile(s)
				synctest.Wait()
				is.NoErr(c.send(request[20:]))
				is.NoErr(c.answer())
			})
		})
	}
}

func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer()
		defer s.close()
		idle, busy := s.caller(), s.caller()
		is.NoErr(idle.ask())
		is.NoErr(busy.ask())
		time.Sleep(3 * time.Second)
		is.NoErr(busy.ask())             // reused in time
		s.setIdleLimit(10 * time.Second) // a later configuration
		time.Sleep(2 * time.Second)      // the idle time of the first connection is over
		is.True(idle.ask() != nil)
		is.NoErr(busy.ask())
		time.Sleep(9 * time.Second)
		is.NoErr(busy.ask()) // idle under the later limit
		s.setIdleLimit(0)
		is.NoErr(busy.ask())
		time.Sleep(time.Hour)
		is.NoErr(busy.ask()) // no limit
	})
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer()
		defer s.close()
		idle, busy, fresh := s.caller(), s.caller(), s.caller()
		is.NoErr(idle.ask())
		is.NoErr(busy.send(request))
		synctest.Wait()
		began := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- s.listener.Drain(context.Background()) }()
		is.NoErr(busy.answer()) // the request in flight is served
		is.NoErr(<-drained)
		is.Equal(time.Since(began), slowAnswer)
		for _, c := range []*caller{idle, busy, fresh} {
			is.True(c.ask() != nil) // all are closed
		}
	})
}

func TestDrainWithoutConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer()
		defer s.close()
		is.New(t).NoErr(s.listener.Drain(context.Background()))
	})
}

func TestDrainDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer()
		defer s.close()
		c := s.caller()
		is.NoErr(c.send(request))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), slowAnswer/2)
		defer cancel()
		is.True(errors.Is(s.listener.Drain(ctx), context.DeadlineExceeded))
	})
}

// lateReadConn is a connection whose pending Read returns data after its close, as when bytes
// arrive at the same moment.
type lateReadConn struct {
	net.Conn
	release chan struct{}
}

func (l *lateReadConn) Read(data []byte) (int, error) {
	<-l.release
	return copy(data, request), nil
}

func (l *lateReadConn) Close() error { return nil }

func unbounded() time.Duration { return 0 }

// TestHeaderTimeout guards against ignoring the configured limit, which was read from the settings
// but not applied.
func TestHeaderTimeout(t *testing.T) {
	cases := map[string]struct {
		pause    time.Duration
		path     string
		answered bool
	}{
		"at once":                  {0, "/", true},
		"in time":                  {headerTimeout / 2, "/", true},
		"too late":                 {headerTimeout + time.Millisecond, "/", false},
		"in time, a slow answer":   {headerTimeout / 2, "/slow", true},
		"at once, a second answer": {0, "/slow", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestServer()
				s.headerLimit.Store(int64(headerTimeout))
				defer s.close()
				c := s.caller()
				for range 2 {
					is.NoErr(c.send("GET " + tc.path + " HTTP/1.1\r\n"))
					time.Sleep(tc.pause)
					sent := c.send("Host: h\r\n\r\n")
					if !tc.answered {
						is.True(sent != nil)
						return
					}
					is.NoErr(sent)
					is.NoErr(c.answer())
				}
			})
		})
	}
}

// TestNoReadAfterClose checks that bytes that arrive while the connection is being closed don't
// reach the server, which could no longer answer.
func TestNoReadAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := newPipeListener()
		listener := inbound.Listen(inner, inbound.Limits{IdleTimeout: func() time.Duration { return time.Second }, HeaderTimeout: unbounded})
		ours, _ := net.Pipe()
		raw := &lateReadConn{Conn: ours, release: make(chan struct{})}
		go func() { inner.conns <- raw }()
		conn, err := listener.Accept()
		is.NoErr(err)
		listener.ConnState(conn, http.StateIdle)
		time.AfterFunc(2*time.Second, func() { close(raw.release) })
		n, err := conn.Read(make([]byte, 100))
		is.Equal(n, 0)
		is.True(errors.Is(err, net.ErrClosed))
	})
}

// TestUnreadBytesAreNotIdle checks on a real socket that bytes that have not been read yet keep
// their connection open.
func TestUnreadBytesAreNotIdle(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := inbound.Listen(raw, inbound.Limits{IdleTimeout: unbounded, HeaderTimeout: unbounded})
	theirs, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	defer func() { _ = theirs.Close() }()
	conn, err := listener.Accept()
	is.NoErr(err)
	_, err = io.WriteString(theirs, request)
	is.NoErr(err)
	buffer := make([]byte, 1)
	_, err = conn.Read(buffer) // the remaining bytes have arrived too
	is.NoErr(err)
	listener.ConnState(conn, http.StateIdle)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(listener.Drain(ctx) != nil) // not closed
	left := make([]byte, len(request)-1)
	_, err = io.ReadFull(conn, left)
	is.NoErr(err)
	is.Equal(string(buffer)+string(left), request)
	listener.ConnState(conn, http.StateClosed)
	is.NoErr(conn.Close())
}

// TestConnectionLimit guards against callers whose idle connections take all of a process's file
// descriptors, so that it reaches neither the store nor targets.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 3
		s := newLimitedServer(inbound.Limits{Connections: limit})
		defer s.close()
		s.setIdleLimit(time.Hour)
		busy := s.caller()
		is.NoErr(busy.send(request))
		synctest.Wait()
		var callers []*caller
		for range 2 * limit {
			c := s.caller()
			is.NoErr(c.ask())
			callers = append(callers, c)
			time.Sleep(time.Second)
		}
		synctest.Wait()
		is.Equal(s.listener.Connections(), limit)
		is.NoErr(busy.answer()) // a request in flight keeps its connection
		for i, c := range callers {
			open := i >= len(callers)-limit+1
			is.Equal(c.ask() == nil, open) // the latest ones are open
		}
	})
}

// TestBusyConnectionLimit guards against callers who take memory without end by requests that they begin
// and do not finish, so that none of their connections is idle.
func TestBusyConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 4
		ended := make(map[inbound.Reason]int)
		s := newLimitedServer(inbound.Limits{Connections: limit, Ended: func(reason inbound.Reason) { ended[reason]++ }})
		defer s.close()
		var callers []*caller
		for range 2 * limit {
			c := s.caller()
			callers = append(callers, c)
			go func() { _ = c.send(request[:5]) }() // a connection that isn't served reads nothing
			synctest.Wait()
		}
		is.Equal(s.listener.Connections(), limit) // those above were idle when they came
		is.Equal(ended[inbound.ReasonIdle], limit)
		for _, c := range callers[:limit] {
			is.NoErr(c.send(request[5:]))
			is.NoErr(c.answer())
		}
	})
}

// TestHeadsShareMemory guards against heads of requests that take memory without end: each is bounded, all
// of them were not.
func TestHeadsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const room = 16 << 10
		budget := spool.NewBudget(room)
		refused := 0
		s := newLimitedServer(inbound.Limits{Heads: budget, Ended: func(inbound.Reason) { refused++ }})
		defer s.close()
		begin := "GET /fast HTTP/1.1\r\nHost: h\r\nFill: " + strings.Repeat("a", 14<<10)
		for small := range 3 { // small heads take nothing
			c := s.caller()
			is.NoErr(c.ask())
			is.Equal(budget.Held(), int64(0))
			is.Equal(small*refused, 0)
		}
		var callers []*caller
		for range 3 {
			c := s.caller()
			callers = append(callers, c)
			go func() { _ = c.send(begin) }()
			synctest.Wait()
			is.True(budget.Held() <= room)
		}
		is.Equal(refused, 1)
		is.True(callers[2].answer() != nil)
		for _, c := range callers[:2] {
			is.NoErr(c.send("\r\n\r\n"))
			is.NoErr(c.answer())
		}
		synctest.Wait()
		is.Equal(budget.Held(), int64(0)) // answered requests need no memory
		is.NoErr(callers[0].ask())
	})
}

// TestPipelinedRequestIsNotIdle guards against a connection that is closed as idle while a request runs which
// was received together with the one before it: by a planned stop, by its idle time, by a limit.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer()
		defer s.close()
		s.setIdleLimit(slowAnswer / 4)
		c := s.caller()
		go func() { _ = c.send(request + request) }()
		is.NoErr(c.answer())
		time.Sleep(slowAnswer / 2)
		drained := make(chan error, 1)
		go func() { drained <- s.listener.Drain(context.Background()) }()
		is.NoErr(c.answer())
		is.NoErr(<-drained)
	})
}
