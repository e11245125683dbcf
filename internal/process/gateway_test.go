package process_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/settings"
)

const host = "shop.example"

// fleet is a set of gateways that run against an emulated platform.
type fleet struct {
	platform *emulator.Platform
	// leave is how long targets keep serving after they announced their leave; with zero, no
	// entry is treated as lapsed.
	leave time.Duration
	// revocation is how long a key is served without news from the store; zero sets no limit.
	revocation time.Duration
	// retrySlack is the slack of the retry budget.
	retrySlack float64
	config     emulator.Config
	// mu guards gateways in tests that replace one while callers send requests.
	mu       sync.Mutex
	gateways []*process.GatewayProcess
	plain    []*emulator.Server
	engines  []*emulator.Server
	// versionServers are the targets of the old version, in rollout tests.
	versionServers []*emulator.Server
	log            *syncBuffer
}

// highRetrySlack is a retry slack for tests that need many retries in a process's first moments,
// when hardly any of it has accrued.
const highRetrySlack = 1e6

// usualRevocation is the time after which a gateway that does not reach the store refuses all
// keys.
const usualRevocation = 5 * time.Second

// syncBuffer collects the log output of the processes.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	standIn, err := emulator.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = standIn.Close() })
	f := &fleet{platform: standIn, log: new(syncBuffer), revocation: usualRevocation, retrySlack: highRetrySlack}
	f.config = emulator.Config{
		Version: 3,
		Routes: []emulator.Route{
			{Name: "pay", Host: host, Prefix: "/pay/", Kind: "non_idempotent", Service: "plain", TimeoutMs: 2000, LatencyMs: 200, MaxAttempts: 1},
			{Name: "ask", Host: host, Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 2000, LatencyMs: 200, MaxAttempts: 2},
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 10000, LatencyMs: 1000, GapMs: 400, MaxAttempts: 2, Resumable: true},
		},
		Services: []emulator.Service{{Name: "plain"}, {Name: "engine", Engine: map[string]any{"slots": 8}}},
		Tenants:  []emulator.Tenant{{Name: "clinic", Keys: []string{"key-1", "key-2"}}},
		Limits:   emulator.Limits{BodyBytes: 1 << 20, IdleMs: 15000},
	}
	f.applyConfig(t)
	for i := range 3 {
		f.plain = append(f.plain, f.addServer(t, "plain", fmt.Sprintf("p-%d", i), 0))
		f.engines = append(f.engines, f.addServer(t, "engine", fmt.Sprintf("e-%d", i), 6))
	}
	f.startGateways(t, count)
	return f
}

func (f *fleet) applyConfig(t *testing.T) {
	t.Helper()
	if err := f.platform.Accept(&f.config); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) addServer(t *testing.T, service, id string, events int) *emulator.Server {
	t.Helper()
	server, err := f.platform.AddServer(service, "zone", "127.0.0.1:0", emulator.ServerOptions{ID: id, Events: events, Gap: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func (f *fleet) startGateway(t *testing.T, id string, seeds []string) *process.GatewayProcess {
	t.Helper()
	return f.startGatewayAt(t, id, peerHost+":0", seeds)
}

// peerHost is a loopback address that the tests of no other package use. Gateways keep calling
// the address of a stopped gateway for minutes and would take the next listener there for a peer.
const peerHost = "127.0.0.3"

// startGatewayAt starts a gateway that listens for its peers at an address, IP:port.
func (f *fleet) startGatewayAt(t *testing.T, id, peers string, seeds []string) *process.GatewayProcess {
	t.Helper()
	s := &settings.Gateway{
		Role: "gateway", ID: id, DataCenter: "zone",
		Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0", Peers: peers,
		Seeds: seeds, Store: f.platform.StoreAddress(),
		Revocation: settings.Duration(f.revocation), Grace: settings.Duration(8 * time.Second), Leave: settings.Duration(f.leave),
		Retry:   settings.RetryBudget{Ratio: 0.2, Slack: f.retrySlack, Window: settings.Duration(10 * time.Second)},
		Rollout: settings.Rollout{Share: 0.1, Slack: 50, Rollback: settings.Duration(5 * time.Second)},
	}
	started, err := process.NewGateway(t.Context(), s, process.NewLogger(f.log, settings.Log{Format: "json"}))
	if err != nil {
		t.Fatal(err)
	}
	if err := started.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = started.Close() })
	return started
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// answer is a caller's result.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request with the given ID to one gateway; part of its prompt is unique.
func (f *fleet) call(gateway int, method, path, id, key string) answer {
	return f.callWithPrompt(gateway, method, path, id, key, "aa:100,bb:200,"+id+":10")
}

// callWithPrompt is like call with a given prompt.
func (f *fleet) callWithPrompt(gateway int, method, path, id, key, prompt string) answer {
	return f.send(gateway, method, path, id, key, prompt, "body")
}

// callWithBody sends a POST request with a given body.
func (f *fleet) callWithBody(gateway int, path, id, body string) answer {
	return f.send(gateway, http.MethodPost, path, id, "key-1", "aa:100,bb:200,"+id+":10", body)
}

// callerAddress returns the address at which a gateway accepts callers.
func (f *fleet) callerAddress(gateway int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[gateway].Addresses().Callers
}

func (f *fleet) send(gateway int, method, path, id, key, prompt, body string) answer {
	request, err := http.NewRequest(method, "http://"+f.callerAddress(gateway)+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("X-Prompt-Prefix", prompt)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, emulator.CheckFraming(response))
	return answer{response.StatusCode, string(got), response.Header, err}
}

func fullStream(events int) string {
	var text strings.Builder
	for number := 1; number <= events; number++ {
		text.WriteString(emulator.Event(number))
	}
	return text.String()
}

func TestRequestsEndToEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	paid := f.call(0, http.MethodPost, "/pay/1", "r1", "key-1")
	is.NoErr(paid.err)
	is.Equal(paid.status, 200)
	is.Equal(paid.body, emulator.Body)
	is.True(strings.HasSuffix(paid.header.Get("X-Server-Stamp"), ".r1"))
	chat := f.call(1, http.MethodPost, "/chat/1", "r2", "key-2")
	is.NoErr(chat.err)
	is.Equal(chat.body, fullStream(6))
	var run emulator.Run
	for _, server := range f.plain {
		for _, last := range server.Runs() {
			run = last
		}
	}
	is.Equal(run.Header.Get("X-Tenant"), "clinic")
	is.Equal(run.Header.Get("X-Api-Key"), "") // the key is not passed on to servers
	is.Equal(f.call(0, http.MethodPost, "/pay/1", "r3", "stolen").status, http.StatusUnauthorized)
	is.Equal(f.call(0, http.MethodPost, "/none/1", "r4", "key-1").status, http.StatusNotFound)
	is.True(!strings.Contains(f.log.String(), "key-1")) // nor written to the log
}

// TestServerFaults checks that repeatable requests are retried, others run only once, and no
// truncated answer looks complete.
func TestServerFaults(t *testing.T) {
	f := newFleet(t, 1)
	cases := map[string]struct {
		mode    emulator.Mode
		path    string
		status  int
		runs    int
		streams bool
	}{
		"payment, reset after run, is not retried": {emulator.ResetAfter, "/pay/1", http.StatusBadGateway, 1, false},
		"payment, shed, is retried":                {emulator.Shed, "/pay/1", 200, 1, false},
		"payment, error, is passed on":             {emulator.Error, "/pay/1", 500, 1, false},
		"payment, garbage":                         {emulator.Garbage, "/pay/1", http.StatusBadGateway, 1, false},
		"payment, encoded answer":                  {emulator.Encoded, "/pay/1", http.StatusBadGateway, 1, false},
		"payment, truncated":                       {emulator.CutMiddle, "/pay/1", http.StatusBadGateway, 1, false},
		"payment, answer to another request":       {emulator.Foreign, "/pay/1", 200, 1, false},
		"query, reset after run, is retried":       {emulator.ResetAfter, "/ask/1", 200, 2, false},
		"query, error, is retried":                 {emulator.Error, "/ask/1", 200, 2, false},
		"query, mute server, is retried":           {emulator.Mute, "/ask/1", 200, 2, false},
		"query, truncated, is retried":             {emulator.CutMiddle, "/ask/1", 200, 2, false},
		"stream, truncated, is resumed":            {emulator.CutMiddle, "/chat/1", 200, 2, true},
		"stream, reset, is resumed":                {emulator.ResetAfter, "/chat/1", 200, 2, true},
		"stream, unframed":                         {emulator.Unframed, "/chat/1", 200, 1, true},
		"stream, unframed, ends inside an event":   {emulator.EndInside, "/chat/1", 200, 2, true},
		"stream, unframed, reset":                  {emulator.UnframedReset, "/chat/1", 200, 2, true},
		"query, unframed":                          {emulator.Unframed, "/ask/1", 200, 1, false},
		"query, unframed, reset, is retried":       {emulator.UnframedReset, "/ask/1", 200, 2, false},
		"payment, unframed":                        {emulator.Unframed, "/pay/1", 200, 1, false},
		"payment, unframed, reset":                 {emulator.UnframedReset, "/pay/1", http.StatusBadGateway, 1, false},
	}
	number := 0
	for name, tc := range cases {
		number++
		id := fmt.Sprintf("fault%d", number)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Whichever server is asked first misbehaves.
			all := append(append([]*emulator.Server(nil), f.plain...), f.engines...)
			f.misbehaveOnce(tc.mode, all, id)
			got := f.call(0, http.MethodPost, tc.path, id, "key-1")
			is.Equal(got.status, tc.status)
			runs := 0
			for _, server := range all {
				server.Misbehave(emulator.Sound, 0)
				for _, run := range server.Runs() {
					if run.ID == id && run.Ran {
						runs++
					}
				}
			}
			is.Equal(runs, tc.runs)
			if tc.status == 200 && tc.streams {
				is.NoErr(got.err)
				is.Equal(got.body, fullStream(6)) // each event once and in order
			}
		})
		// A misbehaving server is ejected for a while; the next case starts with all servers
		// admitted.
		f.gateways[0].ReadmitTargets()
	}
}

// misbehaveOnce makes exactly one of the servers misbehave: the first that is asked.
func (f *fleet) misbehaveOnce(mode emulator.Mode, servers []*emulator.Server, id string) {
	fault := emulator.NewOneShotFault(id)
	for _, server := range servers {
		server.MisbehaveOnce(mode, fault)
	}
}

func TestConfigurationReachesAllGateways(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	f.config.Version = 9
	f.config.Tenants[0].Keys = []string{"key-2"}
	f.applyConfig(t)
	for i := range f.gateways {
		eventually(t, "the removed key is rejected", func() bool {
			return f.call(i, http.MethodPost, "/pay/1", fmt.Sprintf("gone%d-%d", i, time.Now().UnixNano()), "key-1").status == http.StatusUnauthorized
		})
		is.Equal(f.call(i, http.MethodPost, "/pay/1", fmt.Sprintf("kept%d", i), "key-2").status, 200)
	}
}

// TestGatewayStartWithoutStore checks that a gateway that starts while the store is down gets the
// store's content from its peers.
func TestGatewayStartWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
	newGateway := f.startGateway(t, "late", []string{f.gateways[0].Addresses().Link})
	eventually(t, "the new gateway is ready", newGateway.Ready)
	f.gateways = append(f.gateways, newGateway)
	got := f.call(2, http.MethodPost, "/pay/1", "late1", "key-1")
	is.True(got.status == 200 || got.status == http.StatusServiceUnavailable) // depends on whether the peer's proof is still fresh
}

// TestDrainCompletesRequestsInFlight checks that a stream in flight completes, idle connections
// are closed with notice, and the process reports not ready meanwhile.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	slow, err := f.platform.AddServer("engine", "zone", "127.0.0.1:0", emulator.ServerOptions{ID: "slow", Events: 40, Gap: 20 * time.Millisecond})
	is.NoErr(err)
	for _, engine := range f.engines {
		f.platform.Leave(engine)
	}
	eventually(t, "only the slow engine is listed", func() bool {
		return strings.Count(f.log.String(), `"msg":"target_gone"`) == len(f.engines)
	})
	done := make(chan answer)
	go func() { done <- f.call(0, http.MethodPost, "/chat/1", "long", "key-1") }()
	eventually(t, "the stream runs", func() bool { return slow.InFlight() == 1 })
	drained := make(chan error)
	go func() { drained <- f.gateways[0].Drain(t.Context()) }()
	eventually(t, "the gateway is not ready", func() bool { return !f.gateways[0].Ready() })
	during := f.call(0, http.MethodPost, "/pay/1", "during", "key-1")
	is.Equal(during.status, 200) // new requests are still served
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, fullStream(40))
	is.NoErr(<-drained)
}

// TestBadClients checks that malformed requests and clients that disconnect do no harm.
func TestBadClients(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	for _, text := range []string{"\x00\x01\x02\r\n\r\n", "POST /pay/1 HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 100\r\n\r\nshort", "GET / HTTP/9.9\r\n\r\n"} {
		conn, err := net.Dial("tcp", f.gateways[0].Addresses().Callers)
		is.NoErr(err)
		_, err = io.WriteString(conn, text)
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		_, _ = bufio.NewReader(conn).ReadString('\n')
		is.NoErr(conn.Close())
	}
	is.Equal(f.call(0, http.MethodPost, "/pay/1", "after", "key-1").status, 200)
	for _, server := range f.plain {
		for _, run := range server.Runs() {
			is.Equal(run.ID, "after") // no malformed request reached a server
		}
	}
}

func TestMetricsEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	is.Equal(f.call(0, http.MethodPost, "/pay/1", "r1", "key-1").status, 200)
	response, err := http.Get("http://" + f.gateways[0].Addresses().Operators + "/metrics")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for _, name := range []string{`capersaddle_gateway_requests_total{ending="answered"} 1`, "capersaddle_gateway_config_version 3", `capersaddle_gateway_request_seconds_bucket{kind="once",workspace="clinic"`} {
		is.True(strings.Contains(string(body), name)) // the series is exported
	}
}

// TestPromptFoundThroughDirectory checks that a gateway finds through the directory where another
// one of many has placed a prompt, and sends its request to the same engine.
func TestPromptFoundThroughDirectory(t *testing.T) {
	is := is.New(t)
	const gateways = 11 // more than share all placements in heartbeats
	f := newFleet(t, gateways)
	eventually(t, "all gateways have discovered each other", func() bool {
		return strings.Count(f.log.String(), `"msg":"peer_found"`) >= gateways*(gateways-1)
	})
	for i := range 20 {
		prompt := fmt.Sprintf("session%d:5000,own:10", i)
		first := f.callWithPrompt(i%gateways, http.MethodPost, "/chat/1", fmt.Sprintf("first%d", i), "key-1", prompt)
		is.Equal(first.status, 200)
		eventually(t, "the end of the answer is logged", func() bool {
			return strings.Contains(f.log.String(), fmt.Sprintf(`"id":"first%d"`, i))
		})
		repeated := f.callWithPrompt((i+5)%gateways, http.MethodPost, "/chat/1", fmt.Sprintf("again%d", i), "key-1", prompt)
		is.Equal(repeated.status, 200)
		firstRun, repeatedRun := f.engineRunOf(fmt.Sprintf("first%d", i)), f.engineRunOf(fmt.Sprintf("again%d", i))
		// The second request goes to the same engine or, if that reports to be busy, to another
		// one that fetches from its cache.
		is.True(firstRun.address != "")
		same := firstRun.address == repeatedRun.address
		is.True(same || repeatedRun.header.Get("Kv-Fetch") == firstRun.address)
	}
	is.True(strings.Contains(f.log.String(), `"found":"answered"`))
}

// engineRun is a request that an engine ran.
type engineRun struct {
	address string
	header  http.Header
}

// engineRunOf finds the run of a request at any engine.
func (f *fleet) engineRunOf(id string) engineRun {
	for _, engine := range f.engines {
		for _, run := range engine.Runs() {
			if run.ID == id && run.Ran {
				return engineRun{address: engine.Address(), header: run.Header}
			}
		}
	}
	return engineRun{}
}
