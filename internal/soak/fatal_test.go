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

// Requests that end their targets, at gateways that are killed, frozen and cut off from the
// store meanwhile: each is stopped after the third end, as far as gateways that have been
// in touch for a while are concerned.

const (
	fatalTargets = 8
	// fatalBack is how long a target is away after its end.
	fatalBack = time.Second
	// fatalEvery is the time between two sendings of a fatal request.
	fatalEvery = 150 * time.Millisecond
	// fatalLength is how long a seed plays.
	fatalLength = 14 * time.Second
	// enoughEnds is after how many ends a request must be stopped, and mostLater how often
	// gateways in touch may send it later than inTouch after that. A gateway is in touch
	// once nothing has happened to it for so long.
	enoughEnds = 3
	mostLater  = 3
	inTouch    = 3 * time.Second
	// envFatalSeeds is how many seeds are played.
	envFatalSeeds = "CAPERSADDLE_SOAK_FATAL_SEEDS"
)

// fatalSoak is one seed of it.
type fatalSoak struct {
	*soak
	// struck are the times in which something was done to a gateway.
	mu     sync.Mutex
	struck []span
	// senders are the gateways that took each request, by its id.
	senders map[string]string
	sound   int
	served  int
}

// TestFatalSoak plays seeds of it; more by the environment.
func TestFatalSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "capersaddle")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	first := number(t, envFirst, 1)
	for i := range number(t, envFatalSeeds, 2) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playFatal(t, binary, seed) })
	}
}

func playFatal(t *testing.T, binary string, seed uint64) {
	s := &fatalSoak{soak: &soak{t: t, binary: binary, seed: seed}, senders: make(map[string]string)}
	s.beginFatal(4)
	defer s.end()
	source := rand.New(rand.NewPCG(seed, 3))
	ctx, cancel := context.WithTimeout(t.Context(), fatalLength)
	defer cancel()
	var calling sync.WaitGroup
	fatals := 1 + source.IntN(3)
	for fatal := range fatals {
		calling.Go(func() { s.sendOn(ctx, fmt.Sprintf("fatal %d", fatal), fatalEvery) })
	}
	calling.Go(func() { s.sendOn(ctx, "alike", fatalEvery/10) })
	calling.Go(func() { s.sendOn(ctx, "", fatalEvery/10) })
	s.disturbGateways(ctx, source)
	calling.Wait()
	s.faults.Wait()
	s.judgeFatal(fatals)
}

func (s *fatalSoak) beginFatal(gateways int) {
	is := is.New(s.t)
	made, err := emulator.New("127.0.0.1:0")
	is.NoErr(err)
	s.platform = made
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
			Fatal: &emulator.Fatal{Body: "fatal", After: work / 2, Back: fatalBack},
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

// sendOn sends requests with a body to gateways in turn; an empty one is another each time.
func (s *fatalSoak) sendOn(ctx context.Context, body string, every time.Duration) {
	var sending sync.WaitGroup
	defer sending.Wait()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		text := body
		if text == "" {
			text = fmt.Sprint("sound ", count)
		}
		sending.Go(func() { s.sendOne(s.gateways[count%len(s.gateways)], fmt.Sprintf("%s-%d", body, count), text) })
	}
}

func (s *fatalSoak) sendOne(g *gateway, id, body string) {
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
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	response, err := client.Do(request)
	served := false
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		served = err == nil && response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	if strings.HasPrefix(body, "fatal") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound++
	if served {
		s.served++
	}
}

// disturbGateways has things happen to gateways and the store until the end.
func (s *fatalSoak) disturbGateways(ctx context.Context, source *rand.Rand) {
	kinds := []action{kill, kill, pause, storeDown, storeSilent, storeLink}
	for ctx.Err() == nil {
		made := event{
			action: kinds[source.IntN(len(kinds))],
			which:  source.IntN(len(s.gateways)),
			lasts:  500*time.Millisecond + time.Duration(source.Int64N(int64(2*time.Second))),
			link:   conditions[source.IntN(len(conditions))],
		}
		wait := time.Duration(source.Int64N(int64(2500 * time.Millisecond)))
		select {
		case <-time.After(wait):
			s.faults.Go(func() { s.strikeGateway(made) })
		case <-ctx.Done():
		}
	}
}

// strikeGateway carries one fault out and notes whom it struck.
func (s *fatalSoak) strikeGateway(made event) {
	from := time.Now()
	g := s.gateways[made.which]
	switch made.action {
	case kill:
		<-g.signal(syscall.SIGKILL)
		time.Sleep(made.lasts / 4)
		s.start(g)
	case pause:
		g.signal(syscall.SIGSTOP)
		time.Sleep(made.lasts)
		g.signal(syscall.SIGCONT)
	case storeLink:
		disturbLink(g.store, made)
		return // the others are heard, and the store has no part in this
	case storeDown, storeSilent:
		s.platform.Store.SetFaults(emulator.StoreFaults{Down: made.action == storeDown, Silent: made.action == storeSilent})
		time.Sleep(made.lasts)
		s.platform.Store.SetFaults(emulator.StoreFaults{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.struck = append(s.struck, span{name: g.id, from: from, until: time.Now()})
}

// inTouchAt says whether nothing had happened to a gateway for a while.
func (s *fatalSoak) inTouchAt(gateway string, at time.Time) bool {
	return !slices.ContainsFunc(s.struck, func(struck span) bool {
		return struck.name == gateway && struck.from.Before(at) && struck.until.After(at.Add(-inTouch))
	})
}

// judgeFatal counts what was sent of each fatal request after it must have been stopped.
func (s *fatalSoak) judgeFatal(fatals int) {
	runs := s.platform.RunsOf("plain")
	slices.SortFunc(runs, func(a, b emulator.Run) int { return a.At.Compare(b.At) })
	for fatal := range fatals {
		body := fmt.Sprintf("fatal %d", fatal)
		var ended []string
		var stopped time.Time
		later, excused := 0, 0
		for _, run := range runs {
			if run.Body != body {
				continue
			}
			if !slices.Contains(ended, run.Server) {
				ended = append(ended, run.Server)
			}
			if len(ended) == enoughEnds && stopped.IsZero() {
				stopped = run.At.Add(inTouch)
			}
			switch {
			case stopped.IsZero() || run.At.Before(stopped):
			case s.inTouchAt(s.senders[run.ID], run.At):
				later++
			default:
				excused++
			}
		}
		s.t.Logf("seed %d: %s ended %d targets; sent %d times later, and %d times by gateways out of touch", s.seed, body, len(ended), later, excused)
		if later > mostLater {
			s.t.Errorf("seed %d: %s was sent %d times later than it must have been stopped; logs in %s", s.seed, body, later, s.keepLogs())
		}
	}
	s.t.Logf("seed %d: %d of %d sound requests served, %d times something happened to a gateway", s.seed, s.served, s.sound, len(s.struck))
	if s.served < s.sound/2 {
		s.t.Errorf("seed %d: only %d of %d sound requests were served; logs in %s", s.seed, s.served, s.sound, s.keepLogs())
	}
}
