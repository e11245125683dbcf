package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// seriesEvents and seriesGap make streams of 0.75 s.
	seriesEvents = 30
	seriesGap    = 25 * time.Millisecond
	// seriesVersions is the number of software versions of the servers, and serversOfVersion the
	// number of servers of each.
	seriesVersions   = 3
	serversOfVersion = 12
	// killInterval is the time from one killed gateway to the next, and seriesWarmUp the time before.
	killInterval = 2500 * time.Millisecond
	seriesWarmUp = 5 * time.Second
	// downTime is how long a killed gateway is away, and massDownTime the time if many are killed.
	downTime     = 300 * time.Millisecond
	massDownTime = time.Second
	// oldestUnknown is the age from which a stream of a killed gateway must go on.
	oldestUnknown = 160 * time.Millisecond
	// minContinued is the least share of the resumed streams that must go on.
	minContinued = 0.95
	// killedInTurn is the number of gateways that are killed one after the other.
	killedInTurn = 4
)

// TestStreamsOfGatewaysKilledInSeries guards against records of streams that reach their keepers too
// late: behind the records that gateways hand to those that have just begun, the streams of the next
// killed gateway were unknown at all others.
func TestStreamsOfGatewaysKilledInSeries(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "capersaddle")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cases := map[string]struct {
		// gateways is the number of gateways, and perSecond that of the streams that begin in a second.
		gateways, perSecond int
		staleSeeds          bool
		disrupt             func(s *soak)
	}{
		"four":                          {4, 60, false, (*soak).killInTurn},
		"four, many streams":            {4, 120, false, (*soak).killInTurn},
		"four, stale seeds":             {4, 120, true, (*soak).killInTurn},
		"eight, many streams":           {8, 200, false, (*soak).killInTurn},
		"twenty-eight, many streams":    {28, 200, false, (*soak).killInTurn},
		"the oldest after a mass start": {4, 200, false, (*soak).killOldestAfterOthers},
	}
	if gateways, err := strconv.Atoi(os.Getenv("CAPERSADDLE_SOAK_SERIES_GATEWAYS")); err == nil {
		clear(cases)
		cases["by hand"] = struct {
			gateways, perSecond int
			staleSeeds          bool
			disrupt             func(s *soak)
		}{gateways, 200, false, (*soak).killInTurn}
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace, staleSeeds: test.staleSeeds}
			s.startVersionedSystem(test.gateways, seriesVersions)
			defer s.stopSystem()
			callers, stop := s.startStreamCallers(time.Second / time.Duration(test.perSecond))
			time.Sleep(seriesWarmUp)
			before := callers.Counts()
			test.disrupt(s)
			time.Sleep(2 * seriesEvents * seriesGap)
			counts := stop()
			t.Logf("%.3f of the resumed streams went on: %+v", float64(counts.Continued)/float64(max(counts.Resumed, 1)), counts)
			is.Equal(before.Resumed, 0)
			is.True(counts.Resumed > 0)
			is.Equal(counts.Mixed, 0)
			is.Equal(counts.Disordered, 0)
			is.True(counts.OldestEnded < oldestUnknown)
			is.True(float64(counts.Continued) >= minContinued*float64(counts.Resumed))
		})
	}
}

// startVersionedSystem starts gateways in front of servers of several software versions.
func (s *soak) startVersionedSystem(gateways, versions int) {
	is := is.New(s.t)
	platform, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = platform
	s.config = emulator.Config{
		Version: 1,
		Routes: []emulator.Route{
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 10000, LatencyMs: 600, GapMs: 400, MaxAttempts: 2, Public: true, Resumable: true},
		},
		Services: []emulator.Service{{Name: "engine", Engine: map[string]any{"slots": 64}}},
		Limits:   emulator.Limits{BodyBytes: 1 << 20, IdleMs: 15000},
	}
	is.NoErr(s.platform.Accept(&s.config))
	for version := range versions {
		for i := range serversOfVersion {
			s.addVersionedServer(fmt.Sprintf("v%d", version), i)
		}
	}
	if s.mesh != nil {
		s.platform.Store.RefuseWrites(emulator.SeedsPrefix) // addresses that lead past the relays
	}
	dir := s.t.TempDir()
	var seeds []string
	const maxSeeds = 3
	for i := range gateways {
		if s.mesh != nil {
			seeds = s.mesh.seeds(i, maxSeeds)
		}
		if s.staleSeeds {
			seeds = []string{freeAddress(s.t)}
		}
		peers := s.addGateway(dir, fmt.Sprintf("gateway-%d", i), seeds)
		seeds = append(seeds, peers)[:min(len(seeds)+1, maxSeeds)]
	}
	for _, g := range s.gateways {
		s.awaitServing(g)
	}
}

// addVersionedServer starts a server of a software version.
func (s *soak) addVersionedServer(version string, number int) *emulator.Server {
	s.t.Helper()
	options := emulator.ServerOptions{ID: serverID(version, number), Events: seriesEvents, Gap: cmp.Or(s.streamGap, seriesGap), Version: version, VersionInEvents: true, KeepsID: s.keepIDs}
	server, err := s.platform.AddServer("engine", "dc", "127.0.0.1:0", options)
	is.New(s.t).NoErr(err)
	s.versioned = append(s.versioned, server)
	return server
}

// awaitServing waits until a gateway serves a request, and lets callers use it from then on.
func (s *soak) awaitServing(g *gateway) {
	s.t.Helper()
	const limit = 20 * time.Second
	begin := time.Now()
	for number := 0; !s.serves(g, fmt.Sprintf("ready-%s-%d", g.incarnation(), number)); number++ {
		if time.Since(begin) > limit {
			s.t.Errorf("%s does not serve after %s", g.id, limit)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.stopping.Store(false)
}

// serves reports whether a gateway answers a request for a stream.
func (s *soak) serves(g *gateway, id string) bool {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+g.callers+"/chat/1", http.NoBody)
	if err != nil {
		s.t.Error(err)
		return false
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false // nothing listens yet
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killGateways kills gateways at the same moment. Callers use others until they serve again.
func (s *soak) killGateways(gateways ...*gateway) {
	for _, g := range gateways {
		g.stopping.Store(true)
	}
	for _, g := range gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range gateways {
		<-g.signal(syscall.SIGKILL)
	}
}

// restart starts a killed gateway again. Callers don't use it before it serves.
func (s *soak) restart(g *gateway) {
	s.start(g)
	g.stopping.Store(true)
}

// startStreamCallers starts callers of streams at all gateways; stop ends them and returns what they saw.
func (s *soak) startStreamCallers(interval time.Duration) (callers *emulator.StreamCallers, stop func() emulator.StreamCounts) {
	serving := func() []string {
		var addresses []string
		for _, g := range s.gateways {
			if !g.stopping.Load() {
				addresses = append(addresses, g.callers)
			}
		}
		return addresses
	}
	callers = &emulator.StreamCallers{
		Addresses: serving, Host: host, Path: "/chat/1", Events: seriesEvents, Every: interval, LoseEvery: s.loseEvery,
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { callers.Run(ctx) })
	return callers, func() emulator.StreamCounts {
		cancel()
		wait.Wait()
		return callers.Counts()
	}
}

// killInTurn kills gateways one after the other; each begins again.
func (s *soak) killInTurn() {
	for _, g := range s.gateways[:min(killedInTurn, len(s.gateways))] {
		next := time.Now().Add(killInterval)
		s.killGateways(g)
		time.Sleep(downTime)
		s.restart(g)
		s.awaitServing(g)
		time.Sleep(time.Until(next))
	}
}

// killOldestAfterOthers kills all gateways but one at the same time, and that one some seconds after the
// others have begun again.
func (s *soak) killOldestAfterOthers() {
	last := len(s.gateways) - 1
	s.killGateways(s.gateways[:last]...)
	time.Sleep(massDownTime)
	for _, g := range s.gateways[:last] {
		s.restart(g)
	}
	for _, g := range s.gateways[:last] {
		s.awaitServing(g)
	}
	time.Sleep(2 * killInterval)
	s.killGateways(s.gateways[last])
}
