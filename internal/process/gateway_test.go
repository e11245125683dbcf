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

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/settings"
)

const host = "shop.example"

// fleet is some gateways before a stand-in of the platform.
type fleet struct {
	platform *emulator.Platform
	// leave is how long targets serve on after they have said that they leave; zero is not
	// stated, and then no entry is taken to have lapsed.
	leave time.Duration
	// retrySlack is that of the retry budget.
	retrySlack float64
	config     emulator.Config
	// mu guards gateways where one is replaced while callers send.
	mu       sync.Mutex
	gateways []*process.GatewayProcess
	plain    []*emulator.Server
	engines  []*emulator.Server
	// versionServers are the targets of the old version, where there are such.
	versionServers []*emulator.Server
	log            *syncBuffer
}

// manyRetries is a retry slack for tests that need many in a process's first seconds, of which
// it spends little then.
const manyRetries = 2000

// syncBuffer gathers what processes log.
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
	made, err := emulator.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = made.Close() })
	f := &fleet{platform: made, log: new(syncBuffer), retrySlack: manyRetries}
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
	f.accept(t)
	for i := range 3 {
		f.plain = append(f.plain, f.server(t, "plain", fmt.Sprintf("p-%d", i), 0))
		f.engines = append(f.engines, f.server(t, "engine", fmt.Sprintf("e-%d", i), 6))
	}
	var seeds []string
	for i := range count {
		f.gateways = append(f.gateways, f.gateway(t, fmt.Sprintf("gateway-%d", i), seeds))
		seeds = append(seeds, f.gateways[i].Addresses().Link)
	}
	for _, gateway := range f.gateways {
		eventually(t, "a gateway is ready", gateway.Ready)
	}
	return f
}

func (f *fleet) accept(t *testing.T) {
	t.Helper()
	if err := f.platform.Accept(&f.config); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) server(t *testing.T, service, id string, events int) *emulator.Server {
	t.Helper()
	server, err := f.platform.AddServer(service, "zone", "127.0.0.1:0", emulator.ServerOptions{ID: id, Events: events, Gap: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func (f *fleet) gateway(t *testing.T, id string, seeds []string) *process.GatewayProcess {
	t.Helper()
	return f.gatewayAt(t, id, testsOwn+":0", seeds)
}

// testsOwn is an address of loopback that no other package's tests use: gateways call an
// address at which one has ended for minutes, and would take who listens there next for one
// of theirs.
const testsOwn = "127.0.0.3"

// gatewayAt starts a gateway that takes other gateways at an address, IP:port.
func (f *fleet) gatewayAt(t *testing.T, id, peers string, seeds []string) *process.GatewayProcess {
	t.Helper()
	s := &settings.Gateway{
		Role: "gateway", ID: id, DataCenter: "zone",
		Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0", Peers: peers,
		Seeds: seeds, Store: f.platform.StoreAddress(),
		Revocation: settings.Duration(5 * time.Second), Grace: settings.Duration(8 * time.Second), Leave: settings.Duration(f.leave),
		Retry:   settings.RetryBudget{Ratio: 0.2, Slack: f.retrySlack, Window: settings.Duration(10 * time.Second)},
		Rollout: settings.Rollout{Share: 0.1, Slack: 50, Rollback: settings.Duration(5 * time.Second)},
	}
	made, err := process.NewGateway(s, process.NewLogger(f.log, settings.Log{Format: "json"}))
	if err != nil {
		t.Fatal(err)
	}
	if err := made.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = made.Close() })
	return made
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request with an id of its own to one gateway.
func (f *fleet) call(gateway int, method, path, id, key string) answer {
	return f.callWithPrompt(gateway, method, path, id, key, "aa:100,bb:200,"+id+":10")
}

// callWithPrompt is the same with a prompt of its own.
func (f *fleet) callWithPrompt(gateway int, method, path, id, key, prompt string) answer {
	return f.send(gateway, method, path, id, key, prompt, "body")
}

// callWithBody sends a request with a body of its own.
func (f *fleet) callWithBody(gateway int, path, id, body string) answer {
	return f.send(gateway, http.MethodPost, path, id, "key-1", "aa:100,bb:200,"+id+":10", body)
}

// callersOf is where a gateway takes callers.
func (f *fleet) callersOf(gateway int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[gateway].Addresses().Callers
}

func (f *fleet) send(gateway int, method, path, id, key, prompt, body string) answer {
	request, err := http.NewRequest(method, "http://"+f.callersOf(gateway)+path, strings.NewReader(body))
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
	return answer{response.StatusCode, string(got), response.Header, err}
}

func wholeStream(events int) string {
	var text strings.Builder
	for number := 1; number <= events; number++ {
		text.WriteString(emulator.Event(number))
	}
	return text.String()
}

func TestTheWholeWay(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	paid := f.call(0, http.MethodPost, "/pay/1", "r1", "key-1")
	is.NoErr(paid.err)
	is.Equal(paid.status, 200)
	is.Equal(paid.body, emulator.Body)
	is.True(strings.HasSuffix(paid.header.Get("X-Server-Stamp"), ".r1"))
	chat := f.call(1, http.MethodPost, "/chat/1", "r2", "key-2")
	is.NoErr(chat.err)
	is.Equal(chat.body, wholeStream(6))
	var run emulator.Run
	for _, server := range f.plain {
		for _, got := range server.Runs() {
			run = got
		}
	}
	is.Equal(run.Header.Get("X-Tenant"), "clinic")
	is.Equal(run.Header.Get("X-Api-Key"), "") // the key is not shown to servers
	is.Equal(f.call(0, http.MethodPost, "/pay/1", "r3", "stolen").status, http.StatusUnauthorized)
	is.Equal(f.call(0, http.MethodPost, "/none/1", "r4", "key-1").status, http.StatusNotFound)
	is.True(!strings.Contains(f.log.String(), "key-1")) // nor to the log
}

// TestFaultsOfServers: what may be repeated is, what may not runs once, and
// no answer looks whole that isn't.
func TestFaultsOfServers(t *testing.T) {
	f := newFleet(t, 1)
	cases := map[string]struct {
		mode    emulator.Mode
		path    string
		status  int
		runs    int
		streams bool
	}{
		"a lost payment is not repeated":   {emulator.ResetAfter, "/pay/1", http.StatusBadGateway, 1, false},
		"a payment turned away goes on":    {emulator.Shed, "/pay/1", 200, 1, false},
		"a failed payment is told":         {emulator.Error, "/pay/1", 500, 1, false},
		"garbage for a payment":            {emulator.Garbage, "/pay/1", http.StatusBadGateway, 1, false},
		"an encoded payment":               {emulator.Encoded, "/pay/1", http.StatusBadGateway, 1, false},
		"a cut payment":                    {emulator.CutMiddle, "/pay/1", http.StatusBadGateway, 1, false},
		"another request's answer":         {emulator.Foreign, "/pay/1", 200, 1, false},
		"a lost question is asked again":   {emulator.ResetAfter, "/ask/1", 200, 2, false},
		"a failed question is asked again": {emulator.Error, "/ask/1", 200, 2, false},
		"a mute server is left":            {emulator.Mute, "/ask/1", 200, 2, false},
		"a cut question is asked again":    {emulator.CutMiddle, "/ask/1", 200, 2, false},
		"a cut stream goes on":             {emulator.CutMiddle, "/chat/1", 200, 2, true},
		"a reset stream goes on":           {emulator.ResetAfter, "/chat/1", 200, 2, true},
		"an unframed stream":               {emulator.Unframed, "/chat/1", 200, 1, true},
	}
	number := 0
	for name, tc := range cases {
		number++
		id := fmt.Sprintf("fault%d", number)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The first server that is asked misbehaves, whichever it is.
			all := append(append([]*emulator.Server(nil), f.plain...), f.engines...)
			f.misbehaveOnce(tc.mode, all, id)
			got := f.call(0, http.MethodPost, tc.path, id, "key-1")
			is.Equal(got.status, tc.status)
			ran := 0
			for _, server := range all {
				server.Misbehave(emulator.Sound, 0)
				for _, run := range server.Runs() {
					if run.ID == id && run.Ran {
						ran++
					}
				}
			}
			is.Equal(ran, tc.runs)
			if tc.status == 200 && tc.streams {
				is.NoErr(got.err)
				is.Equal(got.body, wholeStream(6)) // every event once and in order
			}
		})
		// A misbehaving server is left out for a while; the next case starts
		// with sound ones.
		f.gateways[0].Forgive()
	}
}

// misbehaveOnce has exactly one of the servers misbehave: the first asked.
func (f *fleet) misbehaveOnce(mode emulator.Mode, servers []*emulator.Server, id string) {
	fault := emulator.NewOneShotFault(id)
	for _, server := range servers {
		server.MisbehaveOnce(mode, fault)
	}
}

func TestAConfigurationIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	f.config.Version = 9
	f.config.Tenants[0].Keys = []string{"key-2"}
	f.accept(t)
	for i := range f.gateways {
		eventually(t, "the key is gone", func() bool {
			return f.call(i, http.MethodPost, "/pay/1", fmt.Sprintf("gone%d-%d", i, time.Now().UnixNano()), "key-1").status == http.StatusUnauthorized
		})
		is.Equal(f.call(i, http.MethodPost, "/pay/1", fmt.Sprintf("kept%d", i), "key-2").status, 200)
	}
}

// TestTheStoreIsAwayForNewGateways: a gateway that starts while the store is
// away gets the store.s content from its peers.
func TestTheStoreIsAwayForNewGateways(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
	late := f.gateway(t, "late", []string{f.gateways[0].Addresses().Link})
	eventually(t, "the late gateway is ready", late.Ready)
	f.gateways = append(f.gateways, late)
	got := f.call(2, http.MethodPost, "/pay/1", "late1", "key-1")
	is.True(got.status == 200 || got.status == http.StatusServiceUnavailable) // by a peer's proof, as long as that is fresh
}

// TestADrainCutsNothing: a stream in flight ends whole, a resting connection
// is closed with notice, and the process is not ready meanwhile.
func TestADrainCutsNothing(t *testing.T) {
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
	is.Equal(during.status, 200) // who still comes is served
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, wholeStream(40))
	is.NoErr(<-drained)
}

// TestBadClients: bytes that are no request, and clients that leave, do no
// harm.
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
			is.Equal(run.ID, "after") // nothing else reached a server
		}
	}
}

func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	is.Equal(f.call(0, http.MethodPost, "/pay/1", "r1", "key-1").status, 200)
	response, err := http.Get("http://" + f.gateways[0].Addresses().Operators + "/metrics")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for _, name := range []string{`capersaddle_gateway_requests_total{ending="answered"} 1`, "capersaddle_gateway_config_version 3", `capersaddle_gateway_request_seconds_bucket{kind="once",workspace="clinic"`} {
		is.True(strings.Contains(string(body), name)) // has the series
	}
}

// TestManyGatewaysFindAPrompt: what one of many gateways has placed, another one
// finds by the directory: its request goes to the same engine.
func TestManyGatewaysFindAPrompt(t *testing.T) {
	is := is.New(t)
	const gateways = 11 // more than are told everything in beats
	f := newFleet(t, gateways)
	eventually(t, "all gateways have discovered each other", func() bool {
		return strings.Count(f.log.String(), `"msg":"peer_found"`) >= gateways*(gateways-1)
	})
	for i := range 20 {
		prompt := fmt.Sprintf("session%d:5000,own:10", i)
		first := f.callWithPrompt(i%gateways, http.MethodPost, "/chat/1", fmt.Sprintf("first%d", i), "key-1", prompt)
		is.Equal(first.status, 200)
		eventually(t, "the answer has reached its end in the log", func() bool {
			return strings.Contains(f.log.String(), fmt.Sprintf(`"id":"first%d"`, i))
		})
		again := f.callWithPrompt((i+5)%gateways, http.MethodPost, "/chat/1", fmt.Sprintf("again%d", i), "key-1", prompt)
		is.Equal(again.status, 200)
		firstRun, againRun := f.run(fmt.Sprintf("first%d", i)), f.run(fmt.Sprintf("again%d", i))
		// At the same engine, or where that is busy by what is reported, with its
		// memory as the source.
		is.True(firstRun.address != "")
		same := firstRun.address == againRun.address
		is.True(same || againRun.header.Get("Kv-Fetch") == firstRun.address)
	}
	is.True(strings.Contains(f.log.String(), `"found":"answered"`))
}

// engineRun is a request that an engine ran.
type engineRun struct {
	address string
	header  http.Header
}

// run finds the request that some engine ran.
func (f *fleet) run(id string) engineRun {
	for _, engine := range f.engines {
		for _, run := range engine.Runs() {
			if run.ID == id && run.Ran {
				return engineRun{address: engine.Address(), header: run.Header}
			}
		}
	}
	return engineRun{}
}
