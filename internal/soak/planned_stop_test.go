package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// This test stops gateways as planned while callers send short requests and streams at every moment
// around the end of accepting, on connections of every kind. A request that is sent later than the
// platform covers it must be refused as not run, however late the gateway gets to it. It guards against a gateway that accepted whatever
// lay in its sockets when it got to it: one that stood still for 0.45 s accepted requests up to
// 3.2 s after its signal, and cut those that lasted longer than the rest of the grace period.

const (
	// coveredTime is how long after its signal a gateway may accept requests that its stop still
	// cuts off.
	coveredTime = 3 * time.Second
	// stopGrace is the grace period of the gateways.
	stopGrace = 8 * time.Second
	// firstSend and lastSend are the limits, after the signal, of when requests are sent.
	firstSend = 500 * time.Millisecond
	lastSend  = 4 * time.Second
	// stoppedGateways is the number of gateways that are stopped; one more serves on.
	stoppedGateways = 3
	// callersOfKind is the number of callers with connections of each kind at each gateway.
	callersOfKind = 40
	// streamLengths is the number of lengths of streams, from half a second to six and a half, and
	// serversOfLength the number of servers of each.
	streamLengths   = 12
	serversOfLength = 8
	// heldStream is how long a stream takes that is under way when the signal comes.
	heldStream = 3 * time.Second
)

// connectionKind is how a caller's connection was used before its request.
type connectionKind string

const (
	// keptConnection has carried a request, and unusedConnection none; both were opened before
	// the signal.
	keptConnection   connectionKind = "kept"
	unusedConnection connectionKind = "unused"
	// newConnection is opened after the signal.
	newConnection connectionKind = "new"
	// busyConnection carries a stream that began before the signal; the request follows its end
	// at once.
	busyConnection connectionKind = "busy"
	// splitConnection sends the request's head in two parts.
	splitConnection connectionKind = "split"
)

// stopCall is one request of a caller and its answer.
type stopCall struct {
	kind connectionKind
	id   string
	path string
	// sent is when the last byte of the request was sent, after the signal.
	sent time.Duration
	// status is zero if no answer arrived; whole means that all of it arrived.
	status int
	whole  bool
	body   string
	ended  time.Duration
}

// accepted reports whether the gateway passed on an answer or broke one off.
func (c *stopCall) accepted() bool { return c.status == http.StatusOK }

// TestPlannedStop stops gateways whose processes run, stand still or lack processor time.
func TestPlannedStop(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "capersaddle")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cases := map[string]struct {
		// pauseAt is when the processes are made to stand still, after the signal; a negative time
		// is before it.
		pauseAt, pause time.Duration
	}{
		"undisturbed":                           {},
		"stands still at the end of accepting":  {2700 * time.Millisecond, 450 * time.Millisecond},
		"stands still longer":                   {2700 * time.Millisecond, 800 * time.Millisecond},
		"stands still when the signal is sent":  {-50 * time.Millisecond, 800 * time.Millisecond},
		"stands still when its streams end":     {2300 * time.Millisecond, 1200 * time.Millisecond},
		"stands still in the rest of the grace": {3200 * time.Millisecond, 800 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace}
			s.startStreamSystem(stoppedGateways + 1)
			defer s.stopSystem()
			s.checkStop(s.stopGateways(test.pauseAt, test.pause))
		})
	}
}

// startStreamSystem starts gateways in front of servers whose streams take different times.
func (s *soak) startStreamSystem(gateways int) {
	is := is.New(s.t)
	platform, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = platform
	slots := map[string]any{"slots": 256}
	s.config = emulator.Config{
		Version: 1,
		Routes: []emulator.Route{
			{Name: "ask", Host: host, Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 100, MaxAttempts: 2, Public: true},
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 10000, LatencyMs: 600, GapMs: 400, MaxAttempts: 2, Public: true},
			{Name: "hold", Host: host, Prefix: "/hold/", Kind: "streaming", Service: "hold", TimeoutMs: 10000, LatencyMs: 600, GapMs: 400, MaxAttempts: 2, Public: true},
		},
		Services: []emulator.Service{{Name: "plain"}, {Name: "engine", Engine: slots}, {Name: "hold", Engine: slots}},
		Limits:   emulator.Limits{BodyBytes: 1 << 20, IdleMs: 15000},
	}
	is.NoErr(s.platform.Accept(&s.config))
	const gap = 100 * time.Millisecond
	add := func(service string, number, events int) {
		options := emulator.ServerOptions{ID: fmt.Sprintf("%s-%d", service, number), Events: events, Gap: gap}
		_, err := s.platform.AddServer(service, "dc", "127.0.0.1:0", options)
		is.NoErr(err)
	}
	for i := range streamLengths * serversOfLength {
		add("engine", i, 5+60*(i%streamLengths)/(streamLengths-1))
		add("hold", i, int(heldStream/gap))
		add("plain", i, 0)
	}
	dir := s.t.TempDir()
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, s.addGateway(dir, fmt.Sprintf("gateway-%d", i), seeds))
	}
}

// stopGateways lets callers connect, stops all gateways but one and returns all requests.
func (s *soak) stopGateways(pauseAt, pause time.Duration) []stopCall {
	s.requestStreams()
	const preparation = 4 * time.Second
	signal := time.Now().Add(preparation)
	rng := rand.New(rand.NewPCG(s.seed, 7))
	var callers sync.WaitGroup
	var mu sync.Mutex
	var calls []stopCall
	for number, g := range s.gateways[:stoppedGateways] {
		for _, kind := range []connectionKind{keptConnection, unusedConnection, newConnection, busyConnection, splitConnection} {
			for i := range callersOfKind {
				c := &stopCaller{t: s.t, address: g.callers, signal: signal, random: rng.Float64(), call: stopCall{kind: kind, id: fmt.Sprintf("%s-%d-%d", kind, number, i), path: []string{"/ask/1", "/chat/1"}[i%2]}}
				callers.Go(func() {
					c.run()
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, c.call)
				})
			}
		}
		callers.Go(func() {
			time.Sleep(time.Until(signal))
			<-g.signal(syscall.SIGTERM)
		})
		if pause > 0 {
			callers.Go(func() {
				time.Sleep(time.Until(signal.Add(pauseAt)))
				g.signal(syscall.SIGSTOP)
				time.Sleep(pause)
				g.signal(syscall.SIGCONT)
			})
		}
		callers.Go(func() {
			time.Sleep(time.Until(signal.Add(stopGrace)))
			g.signal(syscall.SIGKILL) // as the platform does
		})
	}
	callers.Wait()
	return calls
}

// requestStreams requests streams of all lengths from all gateways, so that these know how long they
// take.
func (s *soak) requestStreams() {
	const count = 4 * streamLengths
	var streams sync.WaitGroup
	for number, g := range s.gateways {
		for i := range count {
			c := &stopCaller{t: s.t, address: g.callers, call: stopCall{id: fmt.Sprintf("learn-%d-%d", number, i)}}
			streams.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / count)
				c.prepare("/chat/1")
				if c.conn != nil {
					_ = c.conn.Close()
				}
			})
		}
	}
	streams.Wait()
}

// checkStop checks the requests that were sent after coveredTime, and logs how all ended.
func (s *soak) checkStop(calls []stopCall) {
	lastAccepted, late, lateCut, covered, coveredCut, refused, unread := time.Duration(0), 0, 0, 0, 0, 0, 0
	for _, c := range calls {
		switch {
		case c.status == 0:
			unread++
		case !c.accepted():
			refused++
			if !strings.Contains(c.body, `"run_state":"not_run"`) {
				s.t.Errorf("%s, sent at %v: status %d without not_run: %s", c.id, c.sent, c.status, c.body)
			}
		case c.sent > coveredTime:
			late++
			if !c.whole {
				lateCut++
			}
			s.t.Errorf("%s, sent at %v: accepted, whole: %v, ended at %v", c.id, c.sent, c.whole, c.ended)
		default:
			covered++
			if !c.whole {
				coveredCut++
			}
		}
		if c.accepted() {
			lastAccepted = max(lastAccepted, c.sent)
		}
	}
	s.t.Logf("%d requests, the last accepted one sent at %v; sent up to 3 s: %d accepted, %d of them cut; later: %d accepted, %d of them cut; %d refused, %d on connections closed unread",
		len(calls), lastAccepted.Round(time.Millisecond), covered, coveredCut, late, lateCut, refused, unread)
}

// stopCaller is a caller with one connection.
type stopCaller struct {
	t       *testing.T
	address string
	signal  time.Time
	// random, from 0 to 1, determines when the request is sent.
	random float64
	call   stopCall
	conn   net.Conn
	reader *bufio.Reader
}

// at waits until a time after the signal.
func (c *stopCaller) at(after time.Duration) { time.Sleep(time.Until(c.signal.Add(after))) }

// run uses the connection as its kind says and sends the request.
func (c *stopCaller) run() {
	const (
		connectAt = -2 * time.Second
		// connectSpread keeps kept connections from sending their first requests at one moment.
		connectSpread = time.Second
		connection    = 200 * time.Millisecond
		partsApart    = 300 * time.Millisecond
		// heldFrom and heldSpread determine when a stream begins that ends around the end of
		// accepting.
		heldFrom, heldSpread = -400 * time.Millisecond, 350 * time.Millisecond
	)
	at := firstSend + time.Duration(c.random*float64(lastSend-firstSend))
	head, rest := c.request(c.call.path, c.call.id), ""
	switch c.call.kind {
	case keptConnection:
		c.at(connectAt + time.Duration(c.random*float64(connectSpread)))
		c.prepare("/ask/1")
		c.at(at)
	case unusedConnection, splitConnection:
		c.at(connectAt)
		c.connect()
		c.at(at)
		if c.call.kind == splitConnection {
			head, rest = head[:len(head)/2], head[len(head)/2:]
		}
	case newConnection:
		c.at(at - connection)
		c.connect()
		c.at(at)
	case busyConnection:
		c.at(heldFrom + time.Duration(c.random*float64(heldSpread)))
		c.prepare("/hold/1")
	}
	if c.conn == nil {
		return // the gateway accepts no connections any more
	}
	defer func() { _ = c.conn.Close() }()
	_, _ = io.WriteString(c.conn, head)
	if rest != "" {
		time.Sleep(partsApart)
		_, _ = io.WriteString(c.conn, rest)
	}
	c.call.sent = time.Since(c.signal)
	c.call.status, c.call.body, c.call.whole = c.read()
	c.call.ended = time.Since(c.signal)
}

func (c *stopCaller) connect() {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
}

// prepare sends a request before the stop. Its answer must not be cut off.
func (c *stopCaller) prepare(path string) {
	c.connect()
	if c.conn == nil {
		return
	}
	_, _ = io.WriteString(c.conn, c.request(path, c.call.id+"-before"))
	if status, _, whole := c.read(); status == http.StatusOK && !whole {
		c.t.Errorf("%s: a stream from before the stop was cut", c.call.id)
	}
}

func (c *stopCaller) request(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n", path, host, id)
}

// read reads one answer; whole means that all of it has arrived.
func (c *stopCaller) read() (status int, body string, whole bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, emulator.CheckFraming(response))
	return response.StatusCode, string(read), err == nil
}
