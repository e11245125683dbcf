package gateway_test

import (
	"context"
	"io"
	"net/http"
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

// knocks is a Knocker and Spreader that notes what it is asked and told.
type knocks struct {
	refuses atomic.Bool
	count   atomic.Int32

	mu     sync.Mutex
	spread []quarantine.Change
	noted  []string
	held   []string
}

func (k *knocks) Knock(context.Context, balance.Target) bool {
	k.count.Add(1)
	return k.refuses.Load()
}

func (k *knocks) Refused(string) {}

func (k *knocks) Spread(change quarantine.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spread = append(k.spread, change)
}

func (k *knocks) TrialPlace(quarantine.Fingerprint) int { return 0 }

func (k *knocks) TrialBegan(string, quarantine.Change) {}

func (k *knocks) CrashNoted(target string, _ quarantine.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noted = append(k.noted, target)
}

func (k *knocks) QuarantineChanged(change quarantine.Change, peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = append(k.held, peer+change.Print.String())
}

// watched has a world find out which requests were under way when targets ended.
func watched(t *testing.T, w *world) *knocks {
	t.Helper()
	k := new(knocks)
	crashes := gateway.NewCrashes(quarantine.New(), w.gateway.Balancer, k, k)
	crashes.Spreader = k
	w.gateway.Crashes = crashes
	is.New(t).NoErr(crashes.Start(t.Context()))
	t.Cleanup(func() { _ = crashes.Close() })
	return k
}

// only leaves one target, which has begun at a moment.
func only(w *world, born int64) balance.Target {
	for _, id := range []string{"a", "b", "c"} {
		w.gateway.Balancer.SetUnusable(id)
	}
	target := balance.Target{ID: "t", Born: born, Service: "s", Address: "t"}
	w.gateway.Balancer.Put(target, time.Now())
	return target
}

// TestWhatCountsAsACrash: a lost request is held against nobody unless its target's life has
// ended without a plan while it was there.
func TestWhatCountsAsACrash(t *testing.T) {
	nothing := func(*world, *knocks, balance.Target) {}
	refuses := func(_ *world, k *knocks, _ balance.Target) { k.refuses.Store(true) }
	drops := func(w *world, _ *knocks, target balance.Target) { w.gateway.Balancer.Drop(target.ID, time.Now()) }
	restarts := func(w *world, _ *knocks, target balance.Target) {
		target.Born++
		w.gateway.Balancer.Put(target, time.Now())
	}
	leaves := func(w *world, _ *knocks, target balance.Target) {
		target.Leaving = true
		w.gateway.Balancer.Put(target, time.Now())
	}
	refusedElsewhere := func(w *world, _ *knocks, target balance.Target) {
		w.gateway.Balancer.NoteRefused(uint32(policy.HashName(target.Incarnation())>>32), time.Now())
	}
	type step = func(w *world, k *knocks, target balance.Target)
	cases := map[string]struct {
		answer script
		path   string
		// during happens while the request is under way, after at a time after it.
		during, after step
		at            time.Duration
		counts        bool
	}{
		"a reset alone":                        {answer: lost, after: nothing},
		"a reset, and nothing listens":         {answer: lost, during: refuses, after: nothing, counts: true},
		"a reset, nothing listens a bit later": {answer: lost, after: refuses, at: 100 * time.Millisecond, counts: true},
		"a reset, and the entry goes":          {answer: lost, after: drops, at: 4 * time.Second, counts: true},
		"a reset, and another life":            {answer: lost, after: restarts, at: 3 * time.Second, counts: true},
		"a reset, refused at another gateway":  {answer: lost, after: refusedElsewhere, at: time.Second, counts: true},
		"a reset, long before the end":         {answer: lost, after: drops, at: 10 * time.Second},
		"a stream broken off":                  {answer: stream(one, io.ErrUnexpectedEOF), path: "/stream/x", during: refuses, after: nothing, counts: true},
		"a stream broken off, and it lives":    {answer: stream(one, io.ErrUnexpectedEOF), path: "/stream/x", after: nothing},
		"silence, and another life":            {answer: silent, during: restarts, after: nothing, counts: true},
		"silence alone":                        {answer: silent, after: nothing},
		"a failure that was answered":          {answer: whole(500, "no"), during: refuses, after: drops},
		"turned away":                          {answer: rejected, during: refuses, after: drops},
		"a whole answer":                       {answer: whole(200, "yes"), during: refuses, after: drops},
		"a planned stop":                       {answer: lost, during: leaves, after: drops},
		"a planned stop after the entry went":  {answer: lost, during: drops, after: refusedElsewhere},
		"stopped by plan after the loss":       {answer: lost, after: leaves, at: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(nil)
				k := watched(t, w)
				target := only(w, 1000)
				w.sender.scripts = []script{func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					time.Sleep(20 * time.Millisecond)
					if tc.during != nil {
						tc.during(w, k, target)
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
				tc.after(w, k, target)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				is.Equal(len(k.noted) == 1, tc.counts)
				is.Equal(len(w.gateway.Crashes.Table.Records(time.Now())) == 1, tc.counts)
			})
		})
	}
}

// TestACallerWhoLeftIsNoCrash: the connection ended since the caller left, and the target a
// moment later for another reason.
func TestACallerWhoLeftIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(silent)
		k := watched(t, w)
		k.refuses.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		w.serve(ctx, "/once/x")
		for _, id := range []string{"a", "b", "c"} {
			w.gateway.Balancer.Drop(id, time.Now())
		}
		time.Sleep(10 * time.Second)
		is.Equal(len(k.noted), 0)
		is.Equal(k.count.Load(), int32(0))
	})
}

// TestATargetThatAnswersLives: what it lost before it did not lose with its life, though that
// ends soon.
func TestATargetThatAnswersLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(lost, whole(200, "yes"))
		k := watched(t, w)
		target := only(w, 1000)
		w.serve(t.Context(), "/once/x")
		time.Sleep(time.Second)
		w.serve(t.Context(), "/once/y")
		w.gateway.Balancer.Drop(target.ID, time.Now())
		time.Sleep(10 * time.Second)
		is.Equal(len(k.noted), 0)
		is.True(k.count.Load() <= 2) // tried twice, and no more
	})
}

// TestATargetThatBeginsAgainKeepsNobody: requests at its life before waited for their
// deadlines where their connections stayed silent.
func TestATargetThatBeginsAgainKeepsNobody(t *testing.T) {
	cases := map[string]struct {
		answer  script
		path    string
		status  int
		body    string
		aborted bool
	}{
		"no answer yet":       {answer: silent, path: "/get/x", status: http.StatusOK, body: one},
		"not to be repeated":  {answer: silent, path: "/once/x", status: http.StatusBadGateway},
		"a stream that halts": {answer: goesDark(one), path: "/resumable/x", status: http.StatusOK, body: one + one},
		"a stream for once":   {answer: goesDark(one), path: "/stream/x", status: http.StatusOK, body: one, aborted: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(tc.answer, stream(one, io.EOF))
				watched(t, w)
				target := only(w, 1000)
				time.AfterFunc(50*time.Millisecond, func() {
					target.Born++
					w.gateway.Outlived(w.gateway.Balancer.Put(target, time.Now()).Superseded)
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

// hold has a request held back, as other gateways found out.
func hold(w *world, subject quarantine.Subject) {
	record := quarantine.Record{Print: subject.Fingerprint(), Lives: []quarantine.Life{1, 2, 3}}
	w.gateway.Crashes.Merge(record, time.Now())
}

func subjectOf(path string) quarantine.Subject {
	return quarantine.Subject{Workspace: "w", Method: "POST", Host: "h", URI: path}
}

// TestAHeldRequestIsSentNoMore: by no way that is left to it, and its caller gets a final
// answer at once.
func TestAHeldRequestIsSentNoMore(t *testing.T) {
	cases := map[string]struct {
		path    string
		scripts []script
		// heldAt is which sending finds it held back; zero is before the first.
		heldAt  int
		sends   int
		kind    fault.Kind
		state   fault.RunState
		aborted bool
	}{
		"at once":                    {path: "/once/x", scripts: []script{whole(200, "yes")}, kind: fault.Quarantined, state: fault.NotRun},
		"before its own retry":       {path: "/get/x", scripts: []script{lost, whole(200, "yes")}, heldAt: 1, sends: 1, kind: fault.TargetFailed, state: fault.Unknown},
		"after it was turned away":   {path: "/once/x", scripts: []script{rejected, whole(200, "yes")}, heldAt: 1, sends: 1, kind: fault.Overloaded, state: fault.NotRun},
		"before a stream goes on":    {path: "/resumable/x", scripts: []script{stream(one, io.ErrUnexpectedEOF), stream(two, io.EOF)}, heldAt: 1, sends: 1, aborted: true},
		"before it goes on unbegun":  {path: "/resumable/x", scripts: []script{stream("", io.ErrUnexpectedEOF), stream(two, io.EOF)}, heldAt: 1, sends: 1, kind: fault.TargetFailed, state: fault.Unknown},
		"instead of a silent target": {path: "/get/x", scripts: []script{silent, whole(200, "yes")}, heldAt: 1, sends: 1, kind: fault.Deadline, state: fault.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(nil)
				watched(t, w)
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
					is.Equal(w.caller.refusal.RetryAfter, time.Duration(0)) // nothing invites it back
					is.Equal(w.caller.records[0].Took, time.Duration(0))
				}
				is.Equal(len(w.gateway.Balancer.InFlight()), 0)
			})
		})
	}
}

// TestHeldBackRightBeforeTheFirstByte: it came to be so while a connection was made.
func TestHeldBackRightBeforeTheFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(whole(200, "yes"))
		watched(t, w)
		w.gateway.Sender = &lateSender{w.sender, func() { hold(w, subjectOf("/once/x")) }}
		w.serve(t.Context(), "/once/x")
		is.Equal(len(w.sender.sent), 0)
		is.Equal(w.caller.refusal.Kind, fault.Quarantined)
	})
}

// TestHeldBackWhileItWaits: for a part of its prompt that is being read for another request.
func TestHeldBackWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(stream(one, io.EOF))
		watched(t, w)
		w.gateway.Apply(engineConfig())
		part := gateway.Part{ID: "long", Tokens: 4000}
		w.gateway.Balancer.LearnFills([]balance.Placement{{Part: uint32(policy.HashName("m/long") >> 32), Target: 7}}, time.Now())
		request := &gateway.Request{ID: "r1", Method: "POST", Host: "h", URI: "/stream/x", Path: "/stream/x", Key: "key", Model: "m", Parts: []gateway.Part{part, {ID: "own", Tokens: 10}}, Arrived: time.Now()}
		time.AfterFunc(100*time.Millisecond, func() { hold(w, subjectOf("/stream/x")) })
		w.gateway.Serve(t.Context(), request, w.caller)
		is.True(w.caller.records[0].Waited >= 100*time.Millisecond)
		is.Equal(len(w.sender.sent), 0)
		is.Equal(w.caller.refusal.Kind, fault.Quarantined)
	})
}

// lateSender has something happen before it asks whether to send.
type lateSender struct {
	*fakeSender
	before func()
}

func (l *lateSender) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	l.before()
	return l.fakeSender.Send(ctx, out, admit)
}

// TestInnocentsKeepTheirRetry: a request that was under way at one end goes on elsewhere.
func TestInnocentsKeepTheirRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(lost, whole(200, "yes"))
		k := watched(t, w)
		k.refuses.Store(true)
		w.gateway.Crashes.Merge(quarantine.Record{Print: subjectOf("/get/x").Fingerprint(), Lives: []quarantine.Life{1}}, time.Now())
		w.serve(t.Context(), "/get/x")
		is.Equal(w.caller.status, http.StatusOK)
		is.Equal(len(w.sender.sent), 2)
		time.Sleep(time.Second)
		is.True(!w.gateway.Crashes.Table.Suspicious(subjectOf("/get/x").Fingerprint())) // the answer cleared it
	})
}

// TestOtherRequestsAreServed: of the same caller, of other callers with the same body, and on
// other paths.
func TestOtherRequestsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(whole(200, "yes"))
		watched(t, w)
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
