package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// This soak sends requests that crash their targets, through gateways that are killed, frozen
// and cut off from the store meanwhile. Each fatal request must be stopped after its third
// crash, as far as gateways that have been undisturbed for a while are concerned. So must requests with
// a fatal part in their prompts after its fifth crash, of which no two are alike.

const (
	fatalTargets = 8
	// fatalRestartDelay is how long a target is down after a crash.
	fatalRestartDelay = time.Second
	// fatalInterval is the interval at which a fatal request is sent.
	fatalInterval = 150 * time.Millisecond
	// fatalDuration is how long a seed runs.
	fatalDuration = 14 * time.Second
	// crashLimit is the number of crashes after which a request must be stopped. maxLate is how
	// often undisturbed gateways may send it later than undisturbedTime after that. A gateway
	// counts as undisturbed once no fault has affected it for undisturbedTime.
	crashLimit      = 3
	partCrashLimit  = 5
	maxLate         = 3
	undisturbedTime = 3 * time.Second
	// envFatalSeeds names the variable with the number of seeds to run.
	envFatalSeeds = "CAPERSADDLE_SOAK_FATAL_SEEDS"
)

// fatalLoad is one kind of requests that a soak sends repeatedly.
type fatalLoad struct {
	name string
	// body is the body of all of them; empty if each has a different one.
	body string
	// part returns the shared part of the prompt of a request by its number.
	part func(count int) string
	// crashLimit is the number of crashes after which they must be stopped; zero if they are sound.
	crashLimit int
}

// fatalPartID is the prefix of the IDs of fatal parts.
const fatalPartID = "fa7a"

func soundPart(count int) string { return fmt.Sprintf("5e%02d", count%20) }

// fatalRequests returns loads of fatal requests, each of them the same each time.
func fatalRequests(count int) []fatalLoad {
	var loads []fatalLoad
	for number := range count {
		body := fmt.Sprintf("fatal %d", number)
		loads = append(loads, fatalLoad{name: body, body: body, part: soundPart, crashLimit: crashLimit})
	}
	return loads
}

// fatalParts returns loads of requests with fatal parts.
func fatalParts(count int) []fatalLoad {
	var loads []fatalLoad
	for number := range count {
		part := fmt.Sprint(fatalPartID, number)
		loads = append(loads, fatalLoad{name: "part " + part, part: func(int) string { return part }, crashLimit: partCrashLimit})
	}
	return loads
}

// has reports whether a request belongs to the load, if that is fatal.
func (l fatalLoad) has(run emulator.Run) bool {
	if l.body != "" {
		return run.Body == l.body
	}
	return slices.Contains(run.SharedParts(), l.part(0))
}

// fatalSoak is one run of the soak with one seed.
type fatalSoak struct {
	*soak
	// disturbances are the periods in which a fault affected a gateway.
	mu           sync.Mutex
	disturbances []span
	// senders maps the ID of each request to the gateway that handled it.
	senders      map[string]string
	normalSent   int
	normalServed int
}

// TestFatalSoak runs a few seeds with fatal requests; the environment can ask for more.
func TestFatalSoak(t *testing.T) { runFatalSeeds(t, fatalRequests) }

// TestFatalPartSoak does the same with fatal parts of prompts.
func TestFatalPartSoak(t *testing.T) { runFatalSeeds(t, fatalParts) }

func runFatalSeeds(t *testing.T, loads func(count int) []fatalLoad) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "capersaddle")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	first := envNumber(t, envFirst, 1)
	for i := range envNumber(t, envFatalSeeds, 2) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runFatalSeed(t, binary, seed, loads) })
	}
}

func runFatalSeed(t *testing.T, binary string, seed uint64, loads func(count int) []fatalLoad) {
	s := &fatalSoak{soak: &soak{t: t, binary: binary, seed: seed}, senders: make(map[string]string)}
	s.startFatalSystem(4)
	defer s.stopSystem()
	rng := rand.New(rand.NewPCG(seed, 3))
	ctx, cancel := context.WithTimeout(t.Context(), fatalDuration)
	defer cancel()
	var calling sync.WaitGroup
	fatals := loads(1 + rng.IntN(3))
	for _, load := range fatals {
		calling.Go(func() { s.sendRepeatedly(ctx, load, fatalInterval) })
	}
	calling.Go(func() {
		s.sendRepeatedly(ctx, fatalLoad{name: "alike", body: "alike", part: soundPart}, fatalInterval/10)
	})
	calling.Go(func() { s.sendRepeatedly(ctx, fatalLoad{name: "sound", part: soundPart}, fatalInterval/10) })
	s.disturbGateways(ctx, rng)
	calling.Wait()
	s.faults.Wait()
	s.checkFatal(fatals)
}

func (s *fatalSoak) startFatalSystem(gateways int) {
	is := is.New(s.t)
	platform, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = platform
	s.config = emulator.Config{
		Version: 1,
		Routes: []emulator.Route{
			{Name: "ask", Host: host, Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 1500, LatencyMs: 100, MaxAttempts: 2, Public: true},
		},
		Services: []emulator.Service{{Name: "plain"}},
		Limits:   emulator.Limits{BodyBytes: 1 << 20, IdleMs: 15000},
	}
	is.NoErr(s.platform.Accept(&s.config))
	for i := range fatalTargets {
		options := emulator.ServerOptions{
			ID: fmt.Sprintf("t-%d", i), Work: work, KeepsID: s.seed%2 == 0,
			Fatal: &emulator.Fatal{Body: "fatal", Parts: []string{fatalPartID + "0", fatalPartID + "1", fatalPartID + "2"}, After: work / 2, Back: fatalRestartDelay},
		}
		_, err := s.platform.AddServer("plain", "dc", "127.0.0.1:0", options)
		is.NoErr(err)
	}
	dir := s.t.TempDir()
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, s.addGateway(dir, fmt.Sprintf("gateway-%d", i), seeds))
	}
}

// sendRepeatedly sends the requests of a load to the gateways in turn.
func (s *fatalSoak) sendRepeatedly(ctx context.Context, load fatalLoad, interval time.Duration) {
	var sending sync.WaitGroup
	defer sending.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sending.Go(func() { s.sendRequest(s.gateways[count%len(s.gateways)], load, count) })
	}
}

func (s *fatalSoak) sendRequest(g *gateway, load fatalLoad, count int) {
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(load.name, " ", "-"), count)
	body := load.body
	if body == "" {
		body = fmt.Sprint("number ", count, " of ", load.name)
	}
	s.mu.Lock()
	s.senders[id] = g.id
	s.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/ask/1", strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa:10,%s:10,%s:10", load.part(count), id))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	response, err := client.Do(request)
	served := false
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		served = err == nil && response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	if load.crashLimit > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.normalSent++
	if served {
		s.normalServed++
	}
}

// disturbGateways applies random faults to gateways and the store until the context ends.
func (s *fatalSoak) disturbGateways(ctx context.Context, rng *rand.Rand) {
	kinds := []action{kill, kill, pause, storeDown, storeSilent, storeLink}
	for ctx.Err() == nil {
		fault := fault{
			action:   kinds[rng.IntN(len(kinds))],
			index:    rng.IntN(len(s.gateways)),
			duration: 500*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))),
			link:     conditions[rng.IntN(len(conditions))],
		}
		wait := time.Duration(rng.Int64N(int64(2500 * time.Millisecond)))
		select {
		case <-time.After(wait):
			s.faults.Go(func() { s.applyGatewayFault(fault) })
		case <-ctx.Done():
		}
	}
}

// applyGatewayFault applies one fault and records the gateway that it affected.
func (s *fatalSoak) applyGatewayFault(fault fault) {
	from := time.Now()
	g := s.gateways[fault.index]
	switch fault.action {
	case kill:
		<-g.signal(syscall.SIGKILL)
		time.Sleep(fault.duration / 4)
		s.start(g)
	case pause:
		g.signal(syscall.SIGSTOP)
		time.Sleep(fault.duration)
		g.signal(syscall.SIGCONT)
	case storeLink:
		disturbLink(g.store, fault)
		return // the gateway still reaches its peers, and the store is not needed for this check
	case storeDown, storeSilent:
		s.platform.Store.SetFaults(emulator.StoreFaults{Down: fault.action == storeDown, Silent: fault.action == storeSilent})
		time.Sleep(fault.duration)
		s.platform.Store.SetFaults(emulator.StoreFaults{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, span{name: g.id, from: from, until: time.Now()})
}

// undisturbedAt reports whether a gateway had been undisturbed for undisturbedTime.
func (s *fatalSoak) undisturbedAt(gateway string, at time.Time) bool {
	return !slices.ContainsFunc(s.disturbances, func(disturbance span) bool {
		return disturbance.name == gateway && disturbance.from.Before(at) && disturbance.until.After(at.Add(-undisturbedTime))
	})
}

// checkFatal counts how often the requests of each fatal load were sent after they must have been
// stopped.
func (s *fatalSoak) checkFatal(fatals []fatalLoad) {
	runs := s.platform.RunsOf("plain")
	slices.SortFunc(runs, func(a, b emulator.Run) int { return a.At.Compare(b.At) })
	for _, load := range fatals {
		var crashed []string
		var deadline time.Time
		late, excused := 0, 0
		for _, run := range runs {
			if !load.has(run) {
				continue
			}
			if !slices.Contains(crashed, run.Server) {
				crashed = append(crashed, run.Server)
			}
			if len(crashed) == load.crashLimit && deadline.IsZero() {
				deadline = run.At.Add(undisturbedTime)
			}
			switch {
			case deadline.IsZero() || run.At.Before(deadline):
			case s.undisturbedAt(s.senders[run.ID], run.At):
				late++
			default:
				excused++
			}
		}
		s.t.Logf("seed %d: %s crashed %d targets; sent %d times after the deadline, and %d times by disturbed gateways", s.seed, load.name, len(crashed), late, excused)
		if late > maxLate {
			s.t.Errorf("seed %d: %s was sent %d times after the deadline for stopping it; logs in %s", s.seed, load.name, late, s.keepLogs())
		}
	}
	s.t.Logf("seed %d: %d of %d normal requests served, %d faults affected a gateway", s.seed, s.normalServed, s.normalSent, len(s.disturbances))
	if s.normalServed < s.normalSent/2 {
		s.t.Errorf("seed %d: only %d of %d normal requests were served; logs in %s", s.seed, s.normalServed, s.normalSent, s.keepLogs())
	}
}
