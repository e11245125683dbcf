package soak

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// These tests run gateways as the platform does: a process that outgrows its memory is killed, and one
// that has ended is started again. No process may end that the test did not stop, whatever bytes
// targets and the store send and whatever happens to the process from outside.

const (
	// memoryLimit is the memory that a process may use, and memoryRise how much of it a fault may
	// add to what the process uses without, in bytes.
	memoryLimit = 284 << 20
	memoryRise  = memoryLimit / 4
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 600 * time.Millisecond
	// endsGateways is the number of gateways, and endsServers that of the servers of each service.
	endsGateways, endsServers = 3, 6
	// endsInterval is the interval between two requests.
	endsInterval = time.Second / 60
	// endsWarmUp is the time before a fault begins, endsFault its length, and endsJudged the last part
	// of it, in which requests must be served.
	endsWarmUp = 1500 * time.Millisecond
	endsFault  = 6 * time.Second
	endsJudged = 3 * time.Second
	// minServed is the share of the requests sent in that part that must be served.
	minServed = 0.97
)

// endless are the modes of servers that send bytes without end.
var endless = []emulator.Mode{
	emulator.EndlessStatus, emulator.EndlessHeader, emulator.EndlessHeaders, emulator.EndlessZeros, emulator.EndlessEarly, emulator.EndlessForeign,
	emulator.EndlessBody, emulator.EndlessEvent, emulator.EndlessChunkSize, emulator.EndlessTrailer, emulator.TrickledHeader, emulator.TrickledEvent,
}

// TestEndlessAnswers guards against gateways that keep all that a target or the store sends of a
// response's head: they outgrew their memory within a second.
func TestEndlessAnswers(t *testing.T) {
	binary := buildBinary(t)
	type endsCase struct {
		mode  emulator.Mode
		bad   int
		store emulator.StoreEndless
	}
	cases := map[string]endsCase{
		"store: head":          {store: emulator.StoreEndlessHead},
		"store: body":          {store: emulator.StoreEndlessBody},
		"store: trickled body": {store: emulator.StoreTrickledBody},
		"half: endless_header": {mode: emulator.EndlessHeader, bad: endsServers / 2},
	}
	for _, mode := range endless {
		cases["one: "+string(mode)] = endsCase{mode: mode, bad: 1}
	}
	usual := endsRun(t, binary, "nothing", func(*soak) {}).peak
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			result := endsRun(t, binary, name, func(s *soak) {
				for i := range test.bad {
					s.servers[2*i].Misbehave(test.mode, -1)
					s.servers[2*i+1].Misbehave(test.mode, -1)
				}
				s.platform.Store.SetFaults(emulator.StoreFaults{Endless: test.store})
			})
			is := is.New(t)
			is.True(result.peak <= usual+memoryRise) // the memory of the largest process
			is.True(result.served >= minServed)
		})
	}
}

// buildBinary builds the program.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "capersaddle")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// endsResult is what was seen of a run.
type endsResult struct {
	// ends is the number of processes that ended by themselves.
	ends int
	// peak is the most memory that a process used, in bytes.
	peak int64
	// served is the share of the requests that were served.
	served float64
}

// endsRun runs gateways under steady requests, with a fault after a while, and reports each process that
// ends by itself as an error.
func endsRun(t *testing.T, binary, name string, begin func(s *soak), setUp ...func(s *soak)) endsResult {
	t.Helper()
	s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace, stopped: make(map[string]bool)}
	s.settings = map[string]any{"host": map[string]any{"share": 0.304, "cores": 1, "link_mbps": 1000, "memory_mb": memoryLimit >> 20}}
	for _, change := range setUp {
		change(s)
	}
	s.startPlainSystem(endsGateways, endsServers)
	defer s.stopSystem()
	keeper := s.startKeeper()
	for _, g := range s.gateways {
		s.awaitAnswer(g)
	}
	steady := s.startSteadyCallers()
	time.Sleep(endsWarmUp)
	begin(s)
	time.Sleep(endsFault)
	result := endsResult{served: steady.stop(endsJudged), peak: keeper.stop()}
	for _, g := range s.gateways {
		result.ends += len(g.ends())
	}
	t.Logf("%s: %d ends, peak %d MB, %.3f served", name, result.ends, result.peak>>20, result.served)
	return result
}

// startPlainSystem starts gateways in front of servers of a plain service and of engines, without
// proxies.
func (s *soak) startPlainSystem(gateways, servers int) {
	is := is.New(s.t)
	platform, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = platform
	s.config = emulator.Config{
		Version: 1,
		Routes: []emulator.Route{
			{Name: "ask", Host: host, Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 300, MaxAttempts: 2, Public: true},
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 4000, LatencyMs: 300, GapMs: 200, MaxAttempts: 2, Public: true, Resumable: true},
		},
		Services: []emulator.Service{{Name: "plain"}, {Name: "engine", Engine: map[string]any{"slots": 64}}},
		Limits:   emulator.Limits{BodyBytes: 8 << 20, IdleMs: 15000},
	}
	is.NoErr(platform.Accept(&s.config))
	for i := range servers {
		for _, service := range []string{"plain", "engine"} {
			options := emulator.ServerOptions{ID: fmt.Sprintf("%s-%d", service, i), Work: work}
			if service == "engine" {
				options.Events, options.Gap = streamEvents, 5*time.Millisecond
			}
			server, err := platform.AddServer(service, "dc", "127.0.0.1:0", options)
			is.NoErr(err)
			s.servers = append(s.servers, server)
		}
	}
	dir := s.t.TempDir()
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, s.addGateway(dir, fmt.Sprintf("gateway-%d", i), seeds))
	}
}

// ask sends one request to a gateway and reports whether it was served whole.
func (s *soak) ask(client *http.Client, g *gateway, id, path string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, http.NoBody)
	if err != nil {
		s.t.Error(err)
		return false
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Prompt-Prefix", "aa:100,"+fmt.Sprintf("%x:10", id))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, emulator.CheckFraming(response))
	whole := string(body) == emulator.Body || strings.Contains(string(body), emulator.Event(streamEvents))
	return err == nil && response.StatusCode == http.StatusOK && whole
}

// awaitAnswer waits until a gateway serves a request.
func (s *soak) awaitAnswer(g *gateway) {
	s.t.Helper()
	const limit = 20 * time.Second
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	begin := time.Now()
	for number := 0; !s.ask(client, g, fmt.Sprintf("ready-%s-%d", g.incarnation(), number), "/ask/1"); number++ {
		if time.Since(begin) > limit {
			s.t.Errorf("%s does not serve after %s", g.id, limit)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
