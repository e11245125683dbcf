package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/process"
)

// These tests guard against requests that crash every target that runs them. Callers repeated such
// a request at any gateway; each gateway ejected the crashed target and sent the request to the
// next one as if it were new, because gateways recorded and shared what targets did to requests but
// not what requests did to targets. In a service of nine engines, which crashed one after the
// other, most right after a restart, a request that had crashed three was sent to 9 and to 12 more,
// and 17 and 19 crashed in all. Each crash also aborted other callers' requests. The same request
// was in flight at each crashed target, one attempt each time, while the others there varied.

const (
	// fatalBody is the prefix of the bodies of fatal requests, which crash their targets; a
	// number is appended to tell several apart.
	fatalBody = "a request that ends its targets"
	// fatalTargets is the number of targets of each service.
	fatalTargets = 8
	// soundWork is how long a target works on a sound request, one that crashes no target.
	soundWork = 20 * time.Millisecond
	// restartDelay is how long a crashed target is down.
	restartDelay = 1500 * time.Millisecond
	// crashLimit is the number of crashes after which a request must be held back, learnTime how
	// long the gateways may take to learn of them, and maxLateSends how often the request may
	// still be sent after that.
	crashLimit   = 3
	learnTime    = 3 * time.Second
	maxLateSends = 3
	// maxHeldSound limits the sound requests held back in a test: some are until the gateways
	// learn that an identical one was answered.
	maxHeldSound = 5
)

// fatalFleet starts gateways in front of targets that crash on a fatal request.
func fatalFleet(t *testing.T, gateways int, fatal emulator.Fatal, keepsID bool) *fleet {
	t.Helper()
	f := startFatalTargets(t, fatal, keepsID)
	f.startGateways(t, gateways)
	return f
}

// logCrashes logs, if the test has failed, what the gateways recorded about requests that crashed
// targets, and when fatal requests were sent.
func (f *fleet) logCrashes(t *testing.T, service string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, run := range f.platform.RunsOf(service) {
		if strings.HasPrefix(run.Body, fatalBody) {
			t.Logf("%s %s sent to %s", run.At.UTC().Format(time.TimeOnly+".000"), run.Body, run.Server)
		}
	}
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, `"print":`) && !strings.Contains(line, `"msg":"request"`) {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// startGateways starts a number of gateways and waits until they are ready.
func (f *fleet) startGateways(t *testing.T, count int) {
	t.Helper()
	var seeds []string
	for i := range count {
		f.gateways = append(f.gateways, f.startGateway(t, gatewayName(i), seeds))
		seeds = append(seeds, f.gateways[i].Addresses().Link)
	}
	f.awaitReady(t)
}

// startFatalTargets starts targets that crash on a fatal request, without gateways.
func startFatalTargets(t *testing.T, fatal emulator.Fatal, keepsID bool) *fleet {
	t.Helper()
	return startFatalTargetsWithWork(t, soundWork, fatal, keepsID)
}

// startFatalTargetsWithWork is like startFatalTargets with a given working time for sound
// requests.
func startFatalTargetsWithWork(t *testing.T, work time.Duration, fatal emulator.Fatal, keepsID bool) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.revocation = 0 // A key refused without the store would hold back fatal requests as well.
	for _, server := range append(f.engines, f.plain...) {
		f.platform.Leave(server)
	}
	for i := range fatalTargets {
		for _, service := range []string{"engine", "plain"} {
			options := emulator.ServerOptions{ID: fmt.Sprintf("%s-%d", service, i), Work: work, Fatal: &fatal, KeepsID: keepsID}
			if service == "engine" {
				options.Events, options.Gap = 6, 10*time.Millisecond
			}
			if _, err := f.platform.AddServer(service, "zone", "127.0.0.1:0", options); err != nil {
				t.Fatal(err)
			}
		}
	}
	return f
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for _, gateway := range f.gateways {
		eventually(t, "a gateway is ready", gateway.Ready)
	}
}

// fatalCallers repeats fatal requests at each gateway in turn and also sends sound ones, half of
// which are identical.
type fatalCallers struct {
	sound, served atomic.Int64
	// heldSound counts the sound requests that were refused as if they were fatal.
	heldSound atomic.Int64
	// failures counts the sound requests that were not served, by answer and time.
	failures failureCounts
	// lastAnswer is the last answer to a fatal request.
	lastAnswer atomic.Pointer[answer]
	cancel     context.CancelFunc
	wait       sync.WaitGroup
}

// failureCounts counts unsuccessful answers by kind and by half seconds since the first one.
type failureCounts struct {
	mu     sync.Mutex
	start  time.Time
	counts map[string]int
}

func (u *failureCounts) record(got answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.start, u.counts = time.Now(), make(map[string]int)
	}
	result := fmt.Sprint(got.status)
	if got.err != nil {
		result = got.err.Error()
	}
	since := time.Since(u.start).Truncate(500 * time.Millisecond)
	u.counts[fmt.Sprintf("%5.1f s: %s", since.Seconds(), result)]++
}

// String lists the counts in order of time.
func (u *failureCounts) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var text strings.Builder
	for _, result := range slices.Sorted(maps.Keys(u.counts)) {
		fmt.Fprintf(&text, "\n%s, %d times", result, u.counts[result])
	}
	return text.String()
}

const (
	fatalInterval = 120 * time.Millisecond
	soundInterval = 15 * time.Millisecond
)

func (f *fleet) startFatalCallers(t *testing.T, path string, fatals int) *fatalCallers {
	t.Helper()
	return f.startFatalCallersAt(t, fatalInterval, path, fatals)
}

// startFatalCallersAt is like startFatalCallers with a given interval between two sends of each
// fatal request.
func (f *fleet) startFatalCallersAt(t *testing.T, every time.Duration, path string, fatals int) *fatalCallers {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &fatalCallers{cancel: cancel}
	for fatal := range fatals {
		repeat(ctx, &c.wait, every, func(number int) {
			got := f.callWithBody(number%len(f.gateways), path, fmt.Sprintf("fatal-%d-%d", fatal, number), fatalRequestBody(fatal))
			c.lastAnswer.Store(&got)
		})
	}
	repeat(ctx, &c.wait, soundInterval, func(number int) {
		body := "alike"
		if number%2 == 0 {
			body = fmt.Sprintf("sound %d", number)
		}
		got := f.callWithBody(number%len(f.gateways), path, fmt.Sprintf("sound-%d", number), body)
		c.sound.Add(1)
		if got.err == nil && got.status == http.StatusOK {
			c.served.Add(1)
		} else {
			c.failures.record(got)
		}
		if got.err == nil && got.status == http.StatusBadRequest {
			c.heldSound.Add(1)
		}
	})
	t.Cleanup(c.stop)
	return c
}

// fatalRequestBody returns the body of one of several fatal requests.
func fatalRequestBody(number int) string {
	return fmt.Sprintf("%s, number %d", fatalBody, number)
}

// repeat calls do at a steady rate, without waiting for earlier calls, until the context ends.
func repeat(ctx context.Context, wait *sync.WaitGroup, every time.Duration, do func(number int)) {
	wait.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			wait.Go(func() { do(number) })
		}
	})
}

func (c *fatalCallers) stop() {
	c.cancel()
	c.wait.Wait()
}

// fatalRuns returns the runs of a fatal request in order of time.
func (f *fleet) fatalRuns(service, body string) []emulator.Run {
	runs := slices.DeleteFunc(f.platform.RunsOf(service), func(run emulator.Run) bool { return run.Body != body })
	slices.SortFunc(runs, func(a, b emulator.Run) int { return a.At.Compare(b.At) })
	return runs
}

// lateSends counts the sends of a fatal request after the time that the gateways may take to
// learn of its third crash. Each send crashes its target, unless the target is already down.
func (f *fleet) lateSends(service, body string) int {
	runs := f.fatalRuns(service, body)
	var ended []string
	for i, run := range runs {
		if server := run.Server; !slices.Contains(ended, server) {
			ended = append(ended, server)
		}
		if len(ended) == crashLimit {
			return len(slices.DeleteFunc(runs[i:], func(later emulator.Run) bool { return later.At.Before(run.At.Add(learnTime)) }))
		}
	}
	return 0
}

// awaitStopped waits until enough targets have crashed and the gateways must have learned of it,
// and for a margin in which a request that is not held back would crash many more.
func (f *fleet) awaitStopped(t *testing.T, service string, margin time.Duration) {
	t.Helper()
	eventually(t, "three targets have crashed", func() bool { return len(f.platform.Crashes(service)) >= crashLimit })
	stopped := f.platform.Crashes(service)[crashLimit-1].Add(learnTime)
	eventually(t, "the margin is over", func() bool { return time.Now().After(stopped.Add(margin)) })
}

// checkStopped checks that the fatal requests were held back in time and logs how the sound ones
// were served.
func (f *fleet) checkStopped(t *testing.T, c *fatalCallers, service string, fatals int) {
	t.Helper()
	is := is.New(t)
	total := 0
	for fatal := range fatals {
		sent := f.lateSends(service, fatalRequestBody(fatal))
		is.True(sent <= maxLateSends)
		total += sent
	}
	t.Logf("%d fatal requests, %d late sends, %d crashes in all; %d of %d sound requests served, %d held back; failures:%s",
		fatals, total, len(f.platform.Crashes(service)), c.served.Load(), c.sound.Load(), c.heldSound.Load(), &c.failures)
	is.True(c.heldSound.Load() <= maxHeldSound)
}

// TestFatalRequestIsHeldBack checks that a request is no longer sent once it has crashed three
// targets, whichever gateways received it, while other requests are still served, including
// identical ones.
func TestFatalRequestIsHeldBack(t *testing.T) {
	early := emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay}
	midway := emulator.Fatal{Body: fatalBody, After: 45 * time.Millisecond, Back: restartDelay}
	cases := map[string]struct {
		path, service string
		fatal         emulator.Fatal
		keepsID       bool
	}{
		"resumable stream":               {path: "/chat/1", service: "engine", fatal: early},
		"resumable stream, crash midway": {path: "/chat/1", service: "engine", fatal: midway},
		"idempotent call":                {path: "/ask/1", service: "plain", fatal: early},
		"non-idempotent call":            {path: "/pay/1", service: "plain", fatal: early},
		"targets that keep their IDs":    {path: "/ask/1", service: "plain", fatal: early, keepsID: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := fatalFleet(t, 4, test.fatal, test.keepsID)
			c := f.startFatalCallers(t, test.path, 1)
			f.awaitStopped(t, test.service, 3*time.Second)
			c.stop()
			f.checkStopped(t, c, test.service, 1)
			is.True(len(f.platform.Crashes(test.service)) >= crashLimit)
			last := c.lastAnswer.Load()
			is.Equal(last.status, http.StatusBadRequest) // a final answer
			is.Equal(last.header.Get("Retry-After"), "")
			is.True(strings.Contains(last.body, `"kind":"quarantined","message":`))
			is.True(strings.Contains(last.body, `"run_state":"not_run"`))
		})
	}
}

// silentTargets is how many targets a test adds whose crashes close no connection: enough that
// some are left when the entries of the first ones expire.
const silentTargets = 60

// TestFatalRequestAtSilentTargets checks that a request crashes no more targets if these keep
// their connections open and answer nothing, like hosts that lose their power.
func TestFatalRequestAtSilentTargets(t *testing.T) {
	t.Parallel()
	fatal := emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Silent: true}
	f := startFatalTargets(t, fatal, false)
	defer f.logCrashes(t, "plain")
	for i := range silentTargets {
		options := emulator.ServerOptions{ID: fmt.Sprintf("silent-%d", i), Work: soundWork, Fatal: &fatal}
		if _, err := f.platform.AddServer("plain", "zone", "127.0.0.1:0", options); err != nil {
			t.Fatal(err)
		}
	}
	f.startGateways(t, 4)
	c := f.startFatalCallers(t, "/ask/1", 1)
	f.awaitStopped(t, "plain", 6*time.Second)
	c.stop()
	f.checkStopped(t, c, "plain", 1)
	is.New(t).True(len(f.platform.Crashes("plain")) <= crashLimit+maxLateSends)
}

// replacePause is the wait after each replaced gateway, in which the fatal request arrives two or
// three times.
const replacePause = 300 * time.Millisecond

// replaceGateway kills a gateway and starts a new instance at the same peer address.
func (f *fleet) replaceGateway(t *testing.T, number int) {
	t.Helper()
	f.mu.Lock()
	before, other := f.gateways[number], f.gateways[(number+1)%len(f.gateways)]
	f.mu.Unlock()
	_ = before.Close()
	replacement := f.startGatewayAt(t, gatewayName(number), before.Addresses().Link, []string{other.Addresses().Link})
	eventually(t, "the new gateway is ready", replacement.Ready)
	f.mu.Lock()
	f.gateways[number] = replacement
	f.mu.Unlock()
	at := time.Now().Add(replacePause)
	eventually(t, "the pause is over", func() bool { return time.Now().After(at) })
}

// TestFatalRequestsDuringOutages checks that each fatal request is held back after its third
// crash during outages, and if several arrive or there are many gateways.
func TestFatalRequestsDuringOutages(t *testing.T) {
	noDisruption := func(*testing.T, *fleet) {}
	cases := map[string]struct {
		fatals, gateways int
		// disrupt runs while the requests are sent.
		disrupt func(t *testing.T, f *fleet)
	}{
		"store does not answer": {1, 4, func(_ *testing.T, f *fleet) {
			f.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
		}},
		"gateways restart in turn": {1, 4, func(t *testing.T, f *fleet) {
			for number := range f.gateways {
				f.replaceGateway(t, number)
			}
		}},
		"gateways restart in turn without store": {1, 4, func(t *testing.T, f *fleet) {
			f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
			for number := range f.gateways {
				f.replaceGateway(t, number)
			}
		}},
		"several requests":                {4, 4, noDisruption},
		"many gateways":                   {1, 11, noDisruption},
		"several requests, many gateways": {3, 11, noDisruption},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fatalFleet(t, test.gateways, emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay}, false)
			c := f.startFatalCallers(t, "/ask/1", test.fatals)
			test.disrupt(t, f)
			f.awaitStopped(t, "plain", 6*time.Second)
			c.stop()
			f.checkStopped(t, c, "plain", test.fatals)
		})
	}
}

// TestSoundRequestsThatTakeLong checks that a long sound request is not mistaken for a fatal one.
// Many identical copies are in flight at every target when fatal requests crash it, and none is
// answered before three targets have crashed. The request must be served once the fatal ones are
// held back. It guards against a fault that refused it with status 400 from the third crash on,
// for ten minutes, because it was not sent any more and so could never be answered.
func TestSoundRequestsThatTakeLong(t *testing.T) {
	cases := map[string]struct {
		fatals, gateways int
		work             time.Duration
	}{
		"longer than the ends are apart": {4, 4, 150 * time.Millisecond},
		"twice as long":                  {4, 4, 300 * time.Millisecond},
		"much longer":                    {4, 4, 800 * time.Millisecond},
		"one fatal request":              {1, 4, 800 * time.Millisecond},
		"among many gateways":            {3, 11, 800 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fatal := emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay}
			f := startFatalTargetsWithWork(t, test.work, fatal, false)
			f.startGateways(t, test.gateways)
			defer f.logCrashes(t, "plain")
			c := f.startFatalCallers(t, "/ask/1", test.fatals)
			f.awaitStopped(t, "plain", 6*time.Second)
			c.stop()
			f.checkStopped(t, c, "plain", test.fatals)
			for number := range f.gateways {
				eventually(t, "the identical request is served", func() bool {
					return f.callWithBody(number, "/ask/1", fmt.Sprintf("alike-%d", number), "alike").status == http.StatusOK
				})
			}
		})
	}
}

// TestQuarantineAfterFullRestart checks that gateways hold back the same requests after all of
// them have lost power, from what the store has kept.
func TestQuarantineAfterFullRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := fatalFleet(t, 2, emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay}, false)
	c := f.startFatalCallers(t, "/ask/1", 1)
	f.awaitStopped(t, "plain", 0)
	c.stop()
	eventually(t, "the store has the held request", func() bool {
		item, ok := f.platform.Store.Get("capersaddle/placements")
		if !ok {
			return false
		}
		content, err := checkpoint.Decode(item.Value)
		return err == nil && len(content.HeldBack) == 1
	})
	for _, gateway := range f.gateways {
		_ = gateway.Close()
	}
	f.gateways = nil
	f.gateways = append(f.gateways, f.startGateway(t, "anew", nil))
	eventually(t, "the new gateway is ready", f.gateways[0].Ready)
	before := len(f.fatalRuns("plain", fatalRequestBody(0)))
	is.Equal(f.callWithBody(0, "/ask/1", "again", fatalRequestBody(0)).status, http.StatusBadRequest)
	is.Equal(len(f.fatalRuns("plain", fatalRequestBody(0))), before)
	is.Equal(f.callWithBody(0, "/ask/1", "other", "sound").status, http.StatusOK)
}

// TestOperatorLiftsQuarantine checks that the list names the requests that are held back, and
// that lifting one makes all gateways send it again.
func TestOperatorLiftsQuarantine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := fatalFleet(t, 2, emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay}, false)
	c := f.startFatalCallers(t, "/ask/1", 1)
	f.awaitStopped(t, "plain", 0)
	c.stop()
	f.platform.DisableCrashes()
	url := "http://" + f.gateways[0].Addresses().Operators + process.PathQuarantine
	response, err := http.Get(url)
	is.NoErr(err)
	var held []process.HeldRequest
	is.NoErr(json.NewDecoder(response.Body).Decode(&held))
	is.NoErr(response.Body.Close())
	is.Equal(len(held), 1)
	is.True(held[0].Crashes >= crashLimit)
	is.Equal(f.callWithBody(1, "/ask/1", "held", fatalRequestBody(0)).status, http.StatusBadRequest)
	request, err := http.NewRequest(http.MethodDelete, url+"?"+process.QueryQuarantine+"="+held[0].Fingerprint, nil)
	is.NoErr(err)
	deleted, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(deleted.Body.Close())
	is.Equal(deleted.StatusCode, http.StatusNoContent)
	eventually(t, "the other gateway sends the request", func() bool {
		return f.callWithBody(1, "/ask/1", "lifted", fatalRequestBody(0)).status == http.StatusOK
	})
}
