package process_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// These tests guard against a part of prompts that crashes every target which begins to answer a
// request with it. Each such request has another body and another last part, so that none was held
// back, and each was sent to a target, and after a crash to a second one. They also guard against
// the opposite: parts that sound requests share must not be held back for what another part or a
// lost data centre causes.

const (
	// fatalPart and otherFatalPart are the IDs of fatal parts.
	fatalPart, otherFatalPart = "fa7a1", "fa7a2"
	// otherKey is the key of a second workspace.
	otherKey = "key-3"
	// partTargets is the number of targets in these tests.
	partTargets = 16
	// partCrashLimit is the number of crashes after which a part must be held back, within learnTime.
	partCrashLimit = 5
	// partMargin is how long a test goes on after that.
	partMargin = 12 * time.Second
	// minSoundShare is the share of the sound requests that must be served at the first attempt from
	// 2 x learnTime after the fifth crash on.
	minSoundShare = 0.5
)

// partCallers send requests with fatal parts and sound ones to the gateways in turn.
type partCallers struct {
	// sound counts the sound requests, quarantined those refused with status 400, and suspected
	// those refused with status 503 for what crashed targets.
	sound, quarantined, suspected atomic.Int64
	failures                      failureCounts

	mu sync.Mutex
	// soundAnswers are the times at which sound requests were sent, and whether they were served.
	soundAnswers []soundAnswer
	lastFatal    answer
}

type soundAnswer struct {
	sentAt time.Time
	served bool
}

// partPrompt returns the prompt of a request, given its number and a part that only it has.
type partPrompt func(number int, own string) string

// promptOf returns a prompt of the parts.
func promptOf(parts ...string) string {
	return strings.Join(parts, ":100,") + ":100"
}

// startPartCallers sends sound requests, and requests with fatal parts if fatal is not nil, until the
// returned function is called. Each request goes to the next gateway and has a body of its own.
func (f *fleet) startPartCallers(t *testing.T, path string, soundEvery time.Duration, sound, fatal partPrompt) (c *partCallers, stop func()) {
	t.Helper()
	c = new(partCallers)
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	repeat(ctx, &wait, soundEvery, func(number int) { c.sendSound(f, path, sound, number) })
	if fatal != nil {
		repeat(ctx, &wait, fatalInterval, func(number int) {
			id := fmt.Sprintf("fatal-%d", number)
			got := f.send(number%len(f.gateways), http.MethodPost, path, id, "key-1", fatal(number, id), id)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.lastFatal = got
		})
	}
	stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	t.Cleanup(stop)
	return c, stop
}

func (c *partCallers) sendSound(f *fleet, path string, prompt partPrompt, number int) {
	id := fmt.Sprintf("sound-%d", number)
	sentAt := time.Now()
	got := f.send(number%len(f.gateways), http.MethodPost, path, id, "key-1", prompt(number, id), id)
	c.sound.Add(1)
	served := got.err == nil && got.status == http.StatusOK
	c.mu.Lock()
	c.soundAnswers = append(c.soundAnswers, soundAnswer{sentAt, served})
	c.mu.Unlock()
	switch {
	case served:
		return
	case got.err == nil && got.status == http.StatusBadRequest:
		c.quarantined.Add(1)
	case got.err == nil && strings.Contains(got.body, `"kind":"suspected"`):
		c.suspected.Add(1)
	}
	c.failures.record(got)
}

// soundShareSince returns the share of the sound requests sent since a time that were served.
func (c *partCallers) soundShareSince(since time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, served := 0, 0
	for _, got := range c.soundAnswers {
		if got.sentAt.Before(since) {
			continue
		}
		sent++
		if got.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// partFleet starts targets that work on a request for a while and gateways in front of them. With
// after above zero, the targets crash so long after they have begun to answer a fatal part.
func partFleet(t *testing.T, gateways int, work, after time.Duration) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.revocation = 0 // A key refused without the store would hold back fatal requests as well.
	for _, server := range append(f.engines, f.plain...) {
		f.platform.Leave(server)
	}
	f.engines, f.plain = nil, nil
	f.config.Version++
	f.config.Tenants = append(f.config.Tenants, emulator.Tenant{Name: "kitchen", Keys: []string{otherKey}})
	f.applyConfig(t)
	var fatal *emulator.Fatal
	if after > 0 {
		fatal = &emulator.Fatal{Parts: []string{fatalPart, otherFatalPart}, After: work + after, Back: restartDelay}
	}
	for i := range partTargets {
		for _, service := range []string{"engine", "plain"} {
			options := emulator.ServerOptions{ID: fmt.Sprintf("%s-%d", service, i), Work: work, Fatal: fatal, KeepsID: fatal == nil}
			if service == "engine" {
				options.Events, options.Gap = 6, 10*time.Millisecond
			}
			server, err := f.platform.AddServer(service, fmt.Sprintf("zone-%d", 2*i/partTargets), "127.0.0.1:0", options)
			if err != nil {
				t.Fatal(err)
			}
			if service == "engine" {
				f.engines = append(f.engines, server)
			}
		}
	}
	f.startGateways(t, gateways)
	return f
}

// partRuns returns the runs of requests with a part, in order of time.
func (f *fleet) partRuns(service, part string) []emulator.Run {
	runs := slices.DeleteFunc(f.platform.RunsOf(service), func(run emulator.Run) bool { return !slices.Contains(run.SharedParts(), part) })
	slices.SortFunc(runs, func(a, b emulator.Run) int { return a.At.Compare(b.At) })
	return runs
}

// fifthPartCrash returns when requests with a part crashed the fifth target, or the last one if there
// were fewer; each crashes so long after it got the first. It returns false for fewer than five.
func (f *fleet) fifthPartCrash(service, part string, after time.Duration) (at time.Time, fifth bool) {
	var crashed []string
	for _, run := range f.partRuns(service, part) {
		if !slices.Contains(crashed, run.Server) {
			crashed = append(crashed, run.Server)
			at = run.At.Add(after)
		}
		if len(crashed) == partCrashLimit {
			return at, true
		}
	}
	return at, false
}

// latePartRuns counts the runs of requests with a part later than the gateways may take to learn of
// its fifth crash.
func (f *fleet) latePartRuns(service, part string, after time.Duration) int {
	fifth, ok := f.fifthPartCrash(service, part, after)
	if !ok {
		return 0
	}
	return len(slices.DeleteFunc(f.partRuns(service, part), func(run emulator.Run) bool { return run.At.Before(fifth.Add(learnTime)) }))
}

// logPartCrashes logs, if the test has failed, the gateways' lines about ended targets and held back
// parts.
func (f *fleet) logPartCrashes(t *testing.T) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, "target_ended") || strings.Contains(line, "_held_back") || strings.Contains(line, "_cleared") || strings.Contains(line, "trial_began") {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// TestFatalPartIsHeldBack checks that requests with a part that crashes targets are held back after
// its fifth crash, whatever else they hold and whichever gateways get them, while sound requests with
// their other parts are served.
func TestFatalPartIsHeldBack(t *testing.T) {
	// Half of the sound requests have one first and second part, the others one of 20 second parts.
	sound := func(number int, own string) string {
		if number%2 == 0 {
			return promptOf("aa", "bb", own)
		}
		return promptOf("aa", fmt.Sprintf("5e55%02x", number%20), own)
	}
	middle := func(_ int, own string) string { return promptOf("aa", "bb", fatalPart, own) }
	const moment = 10 * time.Millisecond
	storeSilent := func(_ *testing.T, f *fleet) {
		f.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
	}
	replaceAll := func(t *testing.T, f *fleet) {
		for number := range f.gateways {
			f.replaceGateway(t, number)
		}
	}
	zoneSilent := func(_ *testing.T, f *fleet) {
		pauseFor(600 * time.Millisecond)
		for _, server := range f.engines[:partTargets/2] {
			server.Freeze()
		}
		pauseFor(learnTime)
		for _, server := range f.engines[:partTargets/2] {
			server.Thaw()
		}
	}
	restartAll := func(t *testing.T, f *fleet) {
		for _, server := range f.engines {
			if _, err := f.platform.Restart(server); err != nil {
				t.Log("crashed by a fatal part and back before:", err)
			}
			pauseFor(250 * time.Millisecond)
		}
	}
	cases := map[string]struct {
		path, service string
		sound, fatal  partPrompt
		work, after   time.Duration
		gateways      int
		// partitions, if above zero, is the number of gateways, of which none hears another.
		partitions int
		// soundEvery is the interval of sound requests; zero means soundInterval.
		soundEvery time.Duration
		disrupt    func(t *testing.T, f *fleet)
	}{
		"in the middle": {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4},
		"first":         {path: "/chat/1", service: "engine", sound: sound, fatal: func(_ int, own string) string { return promptOf(fatalPart, "bb", own) }, work: soundWork, after: moment, gateways: 4},
		"first, with other parts each time": {path: "/chat/1", service: "engine", sound: sound, fatal: func(number int, own string) string {
			return promptOf(fatalPart, fmt.Sprintf("0e%02x", number), own)
		}, work: soundWork, after: moment, gateways: 4},
		"two parts in turn": {path: "/chat/1", service: "engine", sound: sound, fatal: func(number int, own string) string {
			return promptOf("aa", []string{fatalPart, otherFatalPart}[number%2], own)
		}, work: soundWork, after: moment, gateways: 4},
		"streams, crash midway":           {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: 35 * time.Millisecond, gateways: 4},
		"idempotent calls":                {path: "/ask/1", service: "plain", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4},
		"non-idempotent calls":            {path: "/pay/1", service: "plain", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4},
		"long work":                       {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: 800 * time.Millisecond, after: moment, gateways: 4},
		"many gateways":                   {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 11},
		"twenty-eight gateways":           {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 28},
		"store does not answer":           {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4, disrupt: storeSilent},
		"gateways begin in turn":          {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4, disrupt: replaceAll},
		"while a data centre is silent":   {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4, disrupt: zoneSilent},
		"while all targets crash in turn": {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, gateways: 4, disrupt: restartAll},
		"gateways that hear no other":     {path: "/chat/1", service: "engine", sound: sound, fatal: middle, work: soundWork, after: moment, partitions: 4},
		"beside a part that few sound requests share": {path: "/chat/1", service: "engine", sound: func(number int, own string) string {
			if number%20 == 0 {
				return promptOf("5e1d", "bb", own)
			}
			return promptOf("aa", "bb", own)
		}, fatal: func(_ int, own string) string { return promptOf("5e1d", fatalPart, own) }, work: soundWork, after: moment, gateways: 4},
		"beside a new part, long work": {path: "/chat/1", service: "engine", sound: func(_ int, own string) string { return promptOf("2e10", own) }, fatal: func(_ int, own string) string { return promptOf("2e10", fatalPart, own) }, work: 2 * time.Second, after: moment, gateways: 4, soundEvery: 60 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := partFleet(t, test.gateways, test.work, test.after)
			f.startPartitions(t, test.partitions, 1)
			defer f.logPartCrashes(t)
			c, stop := f.startPartCallers(t, test.path, cmp.Or(test.soundEvery, soundInterval), test.sound, test.fatal)
			if test.disrupt != nil {
				test.disrupt(t, f)
			}
			pauseFor(learnTime + partMargin + 3*test.work)
			stop()
			served := 1.0
			for _, part := range []string{fatalPart, otherFatalPart} {
				late := f.latePartRuns(test.service, part, test.work+test.after)
				t.Logf("part %s: %d runs, %d of them late", part, len(f.partRuns(test.service, part)), late)
				is.True(late <= maxLateSends)
				if fifth, _ := f.fifthPartCrash(test.service, part, test.work+test.after); !fifth.IsZero() {
					served = min(served, c.soundShareSince(fifth.Add(2*learnTime)))
				}
			}
			t.Logf("%d crashes; of %d sound requests %d refused with 400, %d suspected; %.3f of those since 2 x the time to learn served; failures:%s",
				len(f.platform.Crashes(test.service)), c.sound.Load(), c.quarantined.Load(), c.suspected.Load(), served, &c.failures)
			is.True(c.quarantined.Load() <= maxHeldSound)
			is.True(served >= minSoundShare)
		})
	}
}

// TestSoundPartsAtCrashedTargets checks that no part is held back while targets crash for another
// reason, at one moment or in turn, not even a new one that every request holds and no target has
// answered yet.
func TestSoundPartsAtCrashedTargets(t *testing.T) {
	restart := func(t *testing.T, f *fleet, servers []*emulator.Server, apart time.Duration) {
		for _, server := range servers {
			_, err := f.platform.Restart(server)
			is.New(t).NoErr(err)
			if apart > 0 {
				pauseFor(apart)
			}
		}
	}
	cases := map[string]struct {
		work time.Duration
		// warm is how long requests are sent before the first crash, targets how many crash, and apart
		// the time between two crashes.
		warm, apart time.Duration
		targets     int
	}{
		"a data centre":                                     {work: soundWork, warm: time.Second, targets: partTargets / 2},
		"a data centre, nothing answered yet":               {work: 2 * time.Second, warm: 500 * time.Millisecond, targets: partTargets / 2},
		"a data centre, long work":                          {work: 1500 * time.Millisecond, warm: 3 * time.Second, targets: partTargets / 2},
		"targets in turn":                                   {work: soundWork, warm: time.Second, targets: partTargets, apart: 500 * time.Millisecond},
		"targets in turn, nothing answered yet":             {work: 2 * time.Second, warm: 300 * time.Millisecond, targets: partTargets / 2, apart: 300 * time.Millisecond},
		"targets in quick succession, nothing answered yet": {work: 2 * time.Second, warm: 300 * time.Millisecond, targets: partTargets / 2, apart: 100 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := partFleet(t, 4, test.work, 0)
			defer f.logPartCrashes(t)
			c, stop := f.startPartCallers(t, "/chat/1", soundInterval, func(_ int, own string) string { return promptOf("2e10", "2e11", own) }, nil)
			pauseFor(test.warm)
			began := time.Now()
			restart(t, f, f.engines[:test.targets], test.apart)
			took := time.Since(began)
			pauseFor(learnTime)
			stop()
			t.Logf("%d targets crashed within %v", test.targets, took)
			t.Logf("of %d sound requests %d refused with 400, %d suspected; failures:%s", c.sound.Load(), c.quarantined.Load(), c.suspected.Load(), &c.failures)
			is.Equal(c.quarantined.Load(), int64(0))
			is.Equal(c.suspected.Load(), int64(0))
			for number := range f.gateways {
				id := fmt.Sprintf("after-%d", number)
				is.Equal(f.send(number, http.MethodPost, "/chat/1", id, "key-1", promptOf("2e10", "2e11", id), id).status, http.StatusOK)
			}
		})
	}
}

// TestFatalPartOfSeveralWorkspaces checks that a fatal part is held back for all workspaces once the
// requests of two have crashed targets, and that one workspace can't hold back another's requests by
// naming the other's part in requests that crash targets.
func TestFatalPartOfSeveralWorkspaces(t *testing.T) {
	const ownPart = "0b1a"
	cases := map[string]struct {
		// key returns the key of a fatal request by its number, and part its shared part.
		key  func(number int) string
		part string
		// sound is the part of the second workspace's sound requests.
		sound string
	}{
		"two workspaces send a fatal part": {key: func(number int) string { return []string{"key-1", otherKey}[number%2] }, part: fatalPart, sound: ownPart},
		"one names the part of another":    {key: func(int) string { return "key-1" }, part: fatalPart + ":10," + ownPart, sound: ownPart},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := partFleet(t, 4, soundWork, 10*time.Millisecond)
			defer f.logPartCrashes(t)
			var wait sync.WaitGroup
			var sent, served atomic.Int64
			ctx, cancel := context.WithCancel(t.Context())
			repeat(ctx, &wait, fatalInterval, func(number int) {
				id := fmt.Sprintf("fatal-%d", number)
				f.send(number%4, http.MethodPost, "/chat/1", id, test.key(number), promptOf(test.part, id), id)
			})
			repeat(ctx, &wait, 2*fatalInterval, func(number int) {
				id := fmt.Sprintf("sound-%d", number)
				got := f.send(number%4, http.MethodPost, "/chat/1", id, otherKey, promptOf(test.sound, id), id)
				sent.Add(1)
				if got.err == nil && got.status == http.StatusOK {
					served.Add(1)
				}
			})
			pauseFor(2 * learnTime)
			cancel()
			wait.Wait()
			t.Logf("%d crashes, %d late; %d of %d sound requests of the second workspace served", len(f.platform.Crashes("engine")), f.latePartRuns("engine", fatalPart, soundWork), served.Load(), sent.Load())
			is.True(f.latePartRuns("engine", fatalPart, soundWork) <= maxLateSends)
			is.True(sent.Load()-served.Load() <= maxHeldSound)
		})
	}
}
