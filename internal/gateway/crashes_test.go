package gateway_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// fakeProber is a PortProber, PeerNotifier and CrashWatcher that records its calls.
type fakeProber struct {
	refuses atomic.Bool
	probes  atomic.Int32
	asks    atomic.Int32

	mu          sync.Mutex
	sentToPeers []quarantine.Change
	crashed     []string
	held        []string
	heldParts   []string
	ends        []gateway.TargetEnd
	// silent are the targets that answer nothing, and suspected those that were suspected, in order.
	silent, suspected []string
}

func (prober *fakeProber) ProbePort(context.Context, balance.Target) bool {
	prober.probes.Add(1)
	return prober.refuses.Load()
}

// AskHealth answers unless the target is among the silent ones.
func (prober *fakeProber) AskHealth(ctx context.Context, target balance.Target) gateway.Health {
	prober.asks.Add(1)
	if prober.refuses.Load() {
		return gateway.HealthRefused
	}
	if prober.isSilent(target.ID) {
		<-ctx.Done()
		return gateway.HealthSilent
	}
	return gateway.HealthAnswered
}

func (prober *fakeProber) isSilent(target string) bool {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	return slices.Contains(prober.silent, target)
}

// silence makes targets answer nothing from now on.
func (prober *fakeProber) silence(targets ...string) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.silent = append(prober.silent, targets...)
}

// wake makes all targets answer again.
func (prober *fakeProber) wake() {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.silent = nil
}

func (prober *fakeProber) Refused(string) {}

func (prober *fakeProber) HealthAsked(gateway.Health) {}

func (prober *fakeProber) RequestSuspected(target string, _ quarantine.Change) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.suspected = append(prober.suspected, target)
}

func (prober *fakeProber) Spread(change quarantine.Change) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.sentToPeers = append(prober.sentToPeers, change)
}

func (prober *fakeProber) TrialPlace(quarantine.Fingerprint) int { return 0 }

func (prober *fakeProber) PartHeld(part, _ string, _ quarantine.Change) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.heldParts = append(prober.heldParts, part)
}

func (prober *fakeProber) TrialBegan(string, quarantine.Change) {}

func (prober *fakeProber) CrashNoted(target string, _ quarantine.Change) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.crashed = append(prober.crashed, target)
}

func (prober *fakeProber) TargetEnded(end gateway.TargetEnd) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.ends = append(prober.ends, end)
}

func (prober *fakeProber) QuarantineChanged(change quarantine.Change, peer string) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.held = append(prober.held, peer+change.Fingerprint.String())
}

// startCrashes gives the gateway a running Crashes.
func startCrashes(t *testing.T, w *testGateway) *fakeProber {
	t.Helper()
	prober := new(fakeProber)
	crashes := gateway.NewCrashes(quarantine.New(), w.gateway.Balancer, prober, prober)
	crashes.Peers = prober
	w.gateway.Crashes = crashes
	is.New(t).NoErr(crashes.Start(t.Context()))
	t.Cleanup(func() { _ = crashes.Close() })
	return prober
}

// keepOneTarget leaves a single target, with the given start time.
func keepOneTarget(w *testGateway, born int64) balance.Target {
	for _, id := range []string{"a", "b", "c"} {
		w.gateway.Balancer.SetUnusable(id)
	}
	target := balance.Target{ID: "t", Born: born, Service: "s", Address: "t"}
	w.gateway.Balancer.Put(target, time.Now())
	return target
}

// TestCrashDetection checks that a lost request counts against itself only if its target ended
// unplanned while the request was in flight there.
func TestCrashDetection(t *testing.T) {
	nothing := func(*testGateway, *fakeProber, balance.Target) {}
	refuses := func(_ *testGateway, prober *fakeProber, _ balance.Target) { prober.refuses.Store(true) }
	drops := func(w *testGateway, _ *fakeProber, target balance.Target) {
		w.gateway.Balancer.Drop(target.ID, time.Now())
	}
	restarts := func(w *testGateway, _ *fakeProber, target balance.Target) {
		target.Born++
		w.gateway.Balancer.Put(target, time.Now())
	}
	leaves := func(w *testGateway, _ *fakeProber, target balance.Target) {
		target.Leaving = true
		w.gateway.Balancer.Put(target, time.Now())
	}
	refusedElsewhere := func(w *testGateway, _ *fakeProber, target balance.Target) {
		w.gateway.Balancer.NoteRefused(uint32(policy.HashName(target.Incarnation())>>32), time.Now())
	}
	type step = func(w *testGateway, prober *fakeProber, target balance.Target)
	cases := map[string]struct {
		answer script
		path   string
		// during runs while the request is in flight, after runs at after its end.
		during, after step
		at            time.Duration
		counts        bool
	}{
		"a reset alone":                              {answer: lost, after: nothing},
		"a reset, and connections refused":           {answer: lost, during: refuses, after: nothing, counts: true},
		"a reset, connections refused later":         {answer: lost, after: refuses, at: 100 * time.Millisecond, counts: true},
		"a reset, and the entry is removed":          {answer: lost, after: drops, at: 4 * time.Second, counts: true},
		"a reset, and a new incarnation":             {answer: lost, after: restarts, at: 3 * time.Second, counts: true},
		"a reset, refused at another gateway":        {answer: lost, after: refusedElsewhere, at: time.Second, counts: true},
		"a reset, long before the end":               {answer: lost, after: drops, at: 10 * time.Second},
		"a stream broken off":                        {answer: stream(one, io.ErrUnexpectedEOF), path: "/stream/x", during: refuses, after: nothing, counts: true},
		"a stream broken off, target alive":          {answer: stream(one, io.ErrUnexpectedEOF), path: "/stream/x", after: nothing},
		"silence, and a new incarnation":             {answer: silent, during: restarts, after: nothing, counts: true},
		"silence alone":                              {answer: silent, after: nothing},
		"a failure that was answered":                {answer: respond(500, "no"), during: refuses, after: drops},
		"rejected":                                   {answer: rejected, during: refuses, after: drops},
		"a complete answer":                          {answer: respond(200, "yes"), during: refuses, after: drops},
		"a planned stop":                             {answer: lost, during: leaves, after: drops},
		"a planned stop after the entry was removed": {answer: lost, during: drops, after: refusedElsewhere},
		"stopped by plan after the loss":             {answer: lost, after: leaves, at: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(nil)
				prober := startCrashes(t, w)
				target := keepOneTarget(w, 1000)
				w.sender.scripts = []script{func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					time.Sleep(20 * time.Millisecond)
					if tc.during != nil {
						tc.during(w, prober, target)
					}
					return tc.answer(ctx, out)
				}}
				path := tc.path
				if path == "" {
					path = "/once/x"
				}
				time.Sleep(time.Second)
				w.serve(t.Context(), path)
				time.Sleep(tc.at)
				tc.after(w, prober, target)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				is.Equal(len(prober.crashed) == 1, tc.counts)
				is.Equal(len(w.gateway.Crashes.Table.Records(time.Now())) == 1, tc.counts)
			})
		})
	}
}

// TestDisconnectedCallerIsNoCrash covers a connection that ends because the caller disconnected,
// shortly before the target ends for another reason.
func TestDisconnectedCallerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(silent)
		prober := startCrashes(t, w)
		prober.refuses.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		w.serve(ctx, "/once/x")
		for _, id := range []string{"a", "b", "c"} {
			w.gateway.Balancer.Drop(id, time.Now())
		}
		time.Sleep(10 * time.Second)
		is.Equal(len(prober.crashed), 0)
		is.Equal(prober.probes.Load(), int32(0))
	})
}

// TestLossBeforeAnswerIsNoCrash checks that an answer of the target shows that earlier losses were
// not caused by its end, even if it ends soon after.
func TestLossBeforeAnswerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(lost, respond(200, "yes"))
		prober := startCrashes(t, w)
		target := keepOneTarget(w, 1000)
		w.serve(t.Context(), "/once/x")
		time.Sleep(time.Second)
		w.serve(t.Context(), "/once/y")
		w.gateway.Balancer.Drop(target.ID, time.Now())
		time.Sleep(10 * time.Second)
		is.Equal(len(prober.crashed), 0)
		is.True(prober.probes.Load() <= 2) // probed twice and not again
	})
}

// TestTargetRestartEndsAttempts covers requests at the previous incarnation of a target, which
// waited until their deadlines if their connections stayed silent.
func TestTargetRestartEndsAttempts(t *testing.T) {
	cases := map[string]struct {
		answer  script
		path    string
		status  int
		body    string
		aborted bool
	}{
		"no answer yet":                  {answer: silent, path: "/get/x", status: http.StatusOK, body: one},
		"not repeatable":                 {answer: silent, path: "/once/x", status: http.StatusBadGateway},
		"a resumable stream":             {answer: streamThenSilence(one), path: "/resumable/x", status: http.StatusOK, body: one + one},
		"a stream that can't be resumed": {answer: streamThenSilence(one), path: "/stream/x", status: http.StatusOK, body: one, aborted: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(tc.answer, stream(one, io.EOF))
				startCrashes(t, w)
				target := keepOneTarget(w, 1000)
				time.AfterFunc(50*time.Millisecond, func() {
					target.Born++
					w.gateway.EndSuperseded(w.gateway.Balancer.Put(target, time.Now()).Superseded, false)
				})
				w.serve(t.Context(), tc.path)
				is.Equal(w.caller.records[0].Took, 50*time.Millisecond)
				is.Equal(w.caller.status, tc.status)
				is.Equal(w.caller.body.String(), tc.body)
				is.Equal(w.caller.aborted, tc.aborted)
				is.Equal(len(w.gateway.Balancer.InFlight()), 0)
			})
		})
	}
}

// hold makes a request held because of crashes that other gateways recorded.
func hold(w *testGateway, subject quarantine.Subject) {
	record := quarantine.Record{Fingerprint: subject.Fingerprint(), Incarnations: []quarantine.Incarnation{1, 2, 3}}
	w.gateway.Crashes.Merge(record, true, time.Now())
}

func subjectOf(path string) quarantine.Subject {
	return quarantine.Subject{Workspace: "w", Method: "POST", Host: "h", URI: path}
}

// TestHeldRequestIsNotSent checks that a request that is held isn't sent on any of the
// remaining ways, and that its caller gets a final answer at once.
func TestHeldRequestIsNotSent(t *testing.T) {
	cases := map[string]struct {
		path    string
		scripts []script
		// heldAt is the number of the send during which the request becomes held; zero means
		// before the first.
		heldAt  int
		sends   int
		kind    fault.Kind
		state   fault.RunState
		aborted bool
	}{
		"at once":                                   {path: "/once/x", scripts: []script{respond(200, "yes")}, kind: fault.Quarantined, state: fault.NotRun},
		"before its own retry":                      {path: "/get/x", scripts: []script{lost, respond(200, "yes")}, heldAt: 1, sends: 1, kind: fault.TargetFailed, state: fault.Unknown},
		"after it was rejected":                     {path: "/once/x", scripts: []script{rejected, respond(200, "yes")}, heldAt: 1, sends: 1, kind: fault.Overloaded, state: fault.NotRun},
		"before a stream is resumed":                {path: "/resumable/x", scripts: []script{stream(one, io.ErrUnexpectedEOF), stream(two, io.EOF)}, heldAt: 1, sends: 1, aborted: true},
		"before a stream without events is retried": {path: "/resumable/x", scripts: []script{stream("", io.ErrUnexpectedEOF), stream(two, io.EOF)}, heldAt: 1, sends: 1, kind: fault.TargetFailed, state: fault.Unknown},
		"instead of a silent target":                {path: "/get/x", scripts: []script{silent, respond(200, "yes")}, heldAt: 1, sends: 1, kind: fault.Deadline, state: fault.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(nil)
				startCrashes(t, w)
				sends := 0
				scripts := tc.scripts
				w.sender.scripts = []script{func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					if sends++; sends == tc.heldAt {
						hold(w, subjectOf(tc.path))
					}
					next := scripts[0]
					scripts = scripts[1:]
					return next(ctx, out)
				}}
				if tc.heldAt == 0 {
					hold(w, subjectOf(tc.path))
				}
				w.serve(t.Context(), tc.path)
				is.Equal(sends, tc.sends)
				is.Equal(w.caller.aborted, tc.aborted)
				if tc.kind != "" {
					is.Equal(w.caller.refusal.Kind, tc.kind)
					is.Equal(w.caller.refusal.State, tc.state)
				}
				if tc.kind == fault.Quarantined {
					is.Equal(w.caller.status, http.StatusBadRequest)
					is.Equal(w.caller.refusal.RetryAfter, time.Duration(0)) // nothing tells the caller to retry
					is.Equal(w.caller.records[0].Took, time.Duration(0))
				}
				is.Equal(len(w.gateway.Balancer.InFlight()), 0)
			})
		})
	}
}

// TestHeldWhileConnecting covers a request that becomes held while a connection is made.
func TestHeldWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(200, "yes"))
		startCrashes(t, w)
		w.gateway.Sender = &hookSender{w.sender, func() { hold(w, subjectOf("/once/x")) }}
		w.serve(t.Context(), "/once/x")
		is.Equal(len(w.sender.sent), 0)
		is.Equal(w.caller.refusal.Kind, fault.Quarantined)
	})
}

// TestHeldDuringPrefillWait covers a request that becomes held while it waits for the
// prefill of a part of its prompt for another request.
func TestHeldDuringPrefillWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(stream(one, io.EOF))
		startCrashes(t, w)
		w.gateway.Apply(engineConfig())
		part := gateway.Part{ID: "long", Tokens: 4000}
		w.gateway.Balancer.LearnFills([]balance.Placement{{Part: uint32(policy.HashName("m/long") >> 32), Target: 7}}, time.Now())
		request := &gateway.Request{ID: "r1", Method: "POST", Host: "h", URI: "/stream/x", Path: "/stream/x", Key: "key", Model: "m", Parts: []gateway.Part{part, {ID: "own", Tokens: 10}}, Arrived: time.Now()}
		time.AfterFunc(100*time.Millisecond, func() { hold(w, subjectOf("/stream/x")) })
		w.gateway.Serve(t.Context(), request, w.caller)
		is.True(w.caller.records[0].PrefillWait >= 100*time.Millisecond)
		is.Equal(len(w.sender.sent), 0)
		is.Equal(w.caller.refusal.Kind, fault.Quarantined)
	})
}

// hookSender calls before ahead of each send.
type hookSender struct {
	*fakeSender
	before func()
}

func (l *hookSender) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	l.before()
	return l.fakeSender.Send(ctx, out, admit)
}

// TestRetryAfterSingleCrash checks that a request that was in flight at a single crash is retried
// elsewhere.
func TestRetryAfterSingleCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(lost, respond(200, "yes"))
		prober := startCrashes(t, w)
		prober.refuses.Store(true)
		w.gateway.Crashes.Merge(quarantine.Record{Fingerprint: subjectOf("/get/x").Fingerprint(), Incarnations: []quarantine.Incarnation{1}}, true, time.Now())
		w.serve(t.Context(), "/get/x")
		is.Equal(w.caller.status, http.StatusOK)
		is.Equal(len(w.sender.sent), 2)
		time.Sleep(time.Second)
		is.True(w.gateway.Crashes.Table.MayRetry(subjectOf("/get/x").Fingerprint(), 0, time.Now())) // the answer cleared it
	})
}

// TestHeldRequestDoesNotAffectOthers checks that other requests are served: those of the same
// caller, of other callers with the same body, and on other paths.
func TestHeldRequestDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(respond(200, "yes"))
		startCrashes(t, w)
		config := config()
		config.Version++
		config.Workspaces = append(config.Workspaces, routing.Workspace{Name: "other", Keys: []string{"key-2"}})
		w.gateway.Apply(config)
		held := subjectOf("/once/x")
		held.Body = []byte("body")
		hold(w, held)
		cases := map[string]struct {
			path, key, body string
			kind            fault.Kind
		}{
			"the same":          {"/once/x", "key", "body", fault.Quarantined},
			"another body":      {"/once/x", "key", "bodies", ""},
			"another path":      {"/once/y", "key", "body", ""},
			"another caller":    {"/once/x", "key-2", "body", ""},
			"a query":           {"/once/x?again=1", "key", "body", ""},
			"without a body":    {"/once/x", "key", "", ""},
			"the same, again":   {"/once/x", "key", "body", fault.Quarantined},
			"an attempt's name": {"/once/x", "key", "body", fault.Quarantined},
		}
		for name, tc := range cases {
			w.caller.refusal = nil
			path, _, _ := strings.Cut(tc.path, "?")
			w.gateway.Serve(t.Context(), &gateway.Request{ID: name, Method: "POST", Host: "h", URI: tc.path, Path: path, Key: tc.key, Body: []byte(tc.body), Arrived: time.Now()}, w.caller)
			if got := w.caller.refusal; (got == nil) != (tc.kind == "") || got != nil && got.Kind != tc.kind {
				t.Errorf("%s: refused with %v, want %q", name, got, tc.kind)
			}
		}
	})
}

// TestTargetEndNamesParts checks that the report of a target's end names the parts of the prompts in
// flight there, but for the last ones, and which of them were answered lately.
func TestTargetEndNamesParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(200, "yes"), lost)
		prober := startCrashes(t, w)
		keepOneTarget(w, 1000)
		serve := func(id string, parts ...string) {
			request := &gateway.Request{ID: id, Method: "POST", Host: "h", URI: "/once/x", Path: "/once/x", Key: "key", Arrived: time.Now()}
			for _, part := range parts {
				request.Parts = append(request.Parts, gateway.Part{ID: part, Tokens: 10})
			}
			w.gateway.Serve(t.Context(), request, w.caller)
		}
		serve("r1", "system", "own-1")
		time.Sleep(time.Second)
		prober.refuses.Store(true)
		serve("r2", "system", "fatal", "own-2")
		time.Sleep(time.Second)
		prober.mu.Lock()
		defer prober.mu.Unlock()
		is.Equal(len(prober.ends), 1)
		is.Equal(prober.ends[0].Requests, 1)
		ids := make(map[string]bool)
		for _, part := range prober.ends[0].Parts {
			ids[part.ID] = part.AnsweredAgo >= 0
		}
		is.Equal(ids, map[string]bool{"system": true, "fatal": false})
	})
}
