package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

const (
	oldVersion    = "v1"
	newVersion    = "v2"
	orderRevision = 3
)

// rolloutGateway is a test gateway with two targets each of an old and a new version, in which
// another gateway decides about the rollout.
type rolloutGateway struct {
	*testGateway
	control *rollout.Controller
	sender  *versionSender
	caller  *recorder
}

// versionSender plays a script by the version of the target.
type versionSender struct {
	mu      sync.Mutex
	scripts map[string]script
	sent    []*gateway.Outgoing
}

func (v *versionSender) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	if err := admit(); err != nil {
		return nil, &gateway.SendError{Err: err}
	}
	v.mu.Lock()
	v.sent = append(v.sent, out)
	next := v.scripts[out.Target.Version]
	v.mu.Unlock()
	return next(ctx, out)
}

// play sets the script of the targets of a version.
func (v *versionSender) play(version string, next script) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.scripts[version] = next
}

// count returns the number of requests sent to a version.
func (v *versionSender) count(version string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, out := range v.sent {
		if out.Target.Version == version {
			count++
		}
	}
	return count
}

// otherDecides has one peer, which decides about the rollout.
type otherDecides struct{}

func (otherDecides) Decides(string) bool { return false }
func (otherDecides) LiveIDs() []string   { return []string{"other"} }

type noStore struct{}

func (noStore) Commit(context.Context, rollout.Commit) (int64, error) {
	return 0, rollout.ErrOutdated
}
func (noStore) Reachable() bool { return true }

type registry struct{ *balance.Balancer }

func (r registry) Versions(service string) map[string]int { return r.VersionsOf(service) }

type noWatcher struct{}

func (noWatcher) RolloutStep(rollout.Step) {}

// newRolloutGateway starts a rollout; it must be called within a synctest bubble.
func newRolloutGateway(t *testing.T, scripts map[string]script) *rolloutGateway {
	t.Helper()
	w := &rolloutGateway{testGateway: newTestGateway(), sender: &versionSender{scripts: scripts}, caller: new(recorder)}
	w.gateway.Sender, w.gateway.Events = w.sender, w.caller
	w.gateway.Budgets = retries(1000)
	for id, version := range map[string]string{"a": oldVersion, "b": oldVersion, "c": newVersion, "d": newVersion} {
		w.put(id, version, false)
	}
	w.control = rollout.NewController(rollout.ControllerOptions{
		Options: rollout.Options{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
		Store:   noStore{}, Peers: otherDecides{}, Registry: registry{w.gateway.Balancer}, Watcher: noWatcher{},
	})
	is.New(t).NoErr(w.control.Start(t.Context()))
	w.gateway.Rollouts = w.control.Gate()
	w.control.Ordered(rollout.Order{Service: "s", Version: newVersion, Duration: time.Minute, Revision: orderRevision})
	time.Sleep(time.Second)
	return w
}

// close stops the controller. It must be deferred: the goroutines of a synctest bubble must have
// ended before the bubble does, also after a failed check.
func (w *rolloutGateway) close() {
	_ = w.control.Close()
}

func (w *rolloutGateway) put(id, version string, leaving bool) {
	w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Version: version, Leaving: leaving, Slots: 4}, time.Now())
}

// grant allows a stage until another one is allowed; samples of all routes are requested.
func (w *rolloutGateway) grant(stage rollout.Stage) {
	grant := rollout.Grant{Service: uint32(hashOf("s") >> 32), Order: orderRevision, Stage: stage, For: time.Hour}
	for _, route := range []string{"get", "once", "stream"} {
		grant.Wanted = append(grant.Wanted, uint32(hashOf(route)>>32))
	}
	w.control.Grant("other", grant, time.Now(), time.Now())
}

// stop makes the targets of a version unusable.
func (w *rolloutGateway) stop(version string) {
	for _, target := range w.gateway.Balancer.Targets() {
		if target.Version == version {
			w.gateway.Balancer.SetUnusable(target.ID)
		}
	}
}

// halt revokes all grants.
func (w *rolloutGateway) halt() {
	w.control.Grant("other", rollout.Grant{Service: uint32(hashOf("s") >> 32), Order: orderRevision, End: rollout.Halted}, time.Time{}, time.Now())
}

// report returns the report of this gateway to the deciding one.
func (w *rolloutGateway) report(t *testing.T) rollout.Report {
	t.Helper()
	for range 20 {
		for _, report := range w.control.Reports(time.Now()) {
			return report
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no report is due")
	return rollout.Report{}
}

// serveMany serves requests one after the other and returns their records.
func (w *rolloutGateway) serveMany(ctx context.Context, path string, count int) []*gateway.RequestRecord {
	before := len(w.caller.records)
	for range count {
		w.serveAs(ctx, path)
		w.gateway.Balancer.ClearFailures()
	}
	return w.caller.records[before:]
}

func answerYes(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
	return respond(http.StatusOK, "yes")(ctx, out)
}

func answerFailure(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
	return respond(http.StatusInternalServerError, "broken")(ctx, out)
}

// TestRolloutRouting checks the limit of the share, which requests are retried, and what a halt
// stops.
func TestRolloutRouting(t *testing.T) {
	const requests = 400
	cases := map[string]struct {
		before func(w *rolloutGateway)
		answer script
		path   string
		// minSent and maxSent limit the requests sent to the new version; others is the number sent to
		// the old one.
		minSent, maxSent, others int
		status                   int
	}{
		"nothing allowed yet":              {answer: answerYes, path: "/get/x", others: requests, status: 200},
		"a share of all":                   {before: func(w *rolloutGateway) { w.grant(rollout.Canary) }, answer: answerYes, path: "/get/x", minSent: 20, maxSent: requests / 10, others: requests * 9 / 10, status: 200},
		"a share that fails":               {before: func(w *rolloutGateway) { w.grant(rollout.Canary) }, answer: answerFailure, path: "/get/x", minSent: 20, maxSent: requests / 10, others: requests, status: 200},
		"a share that rejects":             {before: func(w *rolloutGateway) { w.grant(rollout.Canary) }, answer: rejected, path: "/once/x", minSent: 20, maxSent: requests / 10, others: requests, status: 200},
		"a share that refuses connections": {before: func(w *rolloutGateway) { w.grant(rollout.Canary) }, answer: refused, path: "/once/x", minSent: 20, maxSent: requests / 10, others: requests, status: 200},
		"a share that is silent":           {before: func(w *rolloutGateway) { w.grant(rollout.Canary) }, answer: silent, path: "/get/x", minSent: 20, maxSent: requests / 10, others: requests, status: 200},
		"no new target is open": {before: func(w *rolloutGateway) {
			w.grant(rollout.Canary)
			w.put("c", newVersion, true)
			w.put("d", newVersion, true)
		}, answer: answerYes, path: "/get/x", others: requests, status: 200},
		"the entries expire": {before: func(w *rolloutGateway) {
			w.grant(rollout.Canary)
			for _, id := range []string{"a", "b", "c", "d"} {
				w.gateway.Balancer.Drop(id, time.Now())
			}
		}, answer: answerYes, path: "/get/x", minSent: 20, maxSent: requests / 10, others: requests * 9 / 10, status: 200},
		"all": {before: func(w *rolloutGateway) { w.grant(rollout.Move) }, answer: answerYes, path: "/get/x", minSent: requests, maxSent: requests, status: 200},
		"halted in the canary": {before: func(w *rolloutGateway) {
			w.grant(rollout.Canary)
			w.halt()
		}, answer: answerYes, path: "/get/x", others: requests, status: 200},
		"halted in the move": {before: func(w *rolloutGateway) {
			w.grant(rollout.Move)
			w.halt()
		}, answer: answerYes, path: "/get/x", others: requests, status: 200},
		"allowed once more after a halt": {before: func(w *rolloutGateway) {
			w.grant(rollout.Canary)
			w.halt()
			w.grant(rollout.Canary)
		}, answer: answerYes, path: "/get/x", others: requests, status: 200},
		"withdrawn": {before: func(w *rolloutGateway) {
			w.grant(rollout.Canary)
			w.control.Withdrawn("s")
		}, answer: answerYes, path: "/get/x", others: requests, status: 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: answerYes, newVersion: tc.answer})
				defer w.close()
				if tc.before != nil {
					tc.before(w)
				}
				for _, record := range w.serveMany(t.Context(), tc.path, requests) {
					is.Equal(record.Status, tc.status)
					for i, attempt := range record.Attempts {
						is.True(i == 0 || attempt.Version == oldVersion) // what the new version failed is retried at the old one
					}
				}
				sent := w.sender.count(newVersion)
				t.Logf("%d of %d", sent, requests)
				is.True(tc.minSent <= sent && sent <= tc.maxSent)
				is.True(w.sender.count(oldVersion) >= tc.others)
				is.Equal(len(w.gateway.Balancer.InFlight()), 0)
			})
		})
	}
}

// TestRolloutAttemptOutcomes checks that each attempt ends with one outcome, which counts for the
// version only if the target itself answered or failed.
func TestRolloutAttemptOutcomes(t *testing.T) {
	cutOnce := func() script {
		times := 0
		return func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			if times++; times == 1 {
				return stream(one+two[:5], io.ErrUnexpectedEOF)(ctx, out)
			}
			return stream(two, io.EOF)(ctx, out)
		}
	}
	cases := map[string]struct {
		answer          script
		path            string
		before          func(w *rolloutGateway)
		patience        time.Duration
		answers, failed int
	}{
		"a complete answer":                   {answer: answerYes, path: "/once/x", answers: 1},
		"a refusal of its own":                {answer: respond(404, "no"), path: "/once/x", answers: 1},
		"a failure":                           {answer: answerFailure, path: "/once/x", answers: 1, failed: 1},
		"a failure, twice":                    {answer: answerFailure, path: "/get/x", answers: 2, failed: 2},
		"full":                                {answer: rejected, path: "/once/x"},
		"unreachable":                         {answer: unreachable, path: "/once/x"},
		"connection refused":                  {answer: refused, path: "/once/x"},
		"lost":                                {answer: lost, path: "/once/x", answers: 1, failed: 1},
		"unsigned":                            {answer: unsigned, path: "/once/x", answers: 1, failed: 1},
		"silent to the end":                   {answer: silent, path: "/once/x", answers: 1, failed: 1},
		"silent, retried elsewhere":           {answer: silent, path: "/get/x", answers: 2, failed: 2},
		"a complete stream":                   {answer: stream(one+two, io.EOF), path: "/stream/x", answers: 1},
		"a stream without events":             {answer: stream("", io.EOF), path: "/stream/x", answers: 1},
		"a stream cut":                        {answer: stream(one+two[:5], io.ErrUnexpectedEOF), path: "/stream/x", answers: 1, failed: 1},
		"a stream cut, and resumed":           {answer: cutOnce(), path: "/resumable/x", answers: 2, failed: 1},
		"a failure while the process is late": {answer: answerFailure, path: "/once/x", before: func(w *rolloutGateway) { w.gateway.Options.ProcessLate = func() bool { return true } }, answers: 1, failed: 1},
		"silence while the process is late":   {answer: silent, path: "/once/x", before: func(w *rolloutGateway) { w.gateway.Options.ProcessLate = func() bool { return true } }},
		"an answer while the process is late": {answer: answerYes, path: "/once/x", before: func(w *rolloutGateway) { w.gateway.Options.ProcessLate = func() bool { return true } }, answers: 1},
		"the caller leaves":                   {answer: silent, path: "/once/x", patience: 30 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: tc.answer})
				defer w.close()
				if tc.before != nil {
					tc.before(w)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.patience > 0 {
					time.AfterFunc(tc.patience, cancel)
				}
				w.serveAs(ctx, tc.path)
				report := w.report(t)
				is.Equal(report.Others, 0) // each chosen attempt was reported
				is.Equal(report.Requests, 1)
				answers, failed := 0, 0
				for _, tally := range report.Tallies {
					is.Equal(tally.Target, uint32(0))
					answers, failed = answers+tally.Answers, failed+tally.Failed
				}
				is.Equal(answers, tc.answers)
				is.Equal(failed, tc.failed)
			})
		})
	}
}

// TestStreamResumesDuringRollout guards against streams of two versions while a rollout moves the
// service: a stream continues behind its last event at the version that began it, and ends if no
// target of that version is left.
func TestStreamResumesDuringRollout(t *testing.T) {
	cases := map[string]struct {
		path, body string
		halted     bool
		// stopped means that the targets of the old version have stopped.
		stopped  bool
		versions []string
		aborted  bool
	}{
		"one that may be resumed":      {path: "/resumable/x", body: one + two, versions: []string{oldVersion, oldVersion}},
		"its version has stopped":      {path: "/resumable/x", stopped: true, body: one, versions: []string{oldVersion}, aborted: true},
		"one that may not":             {path: "/stream/x", body: one, versions: []string{oldVersion}, aborted: true},
		"the version was halted since": {path: "/resumable/x", halted: true, body: one + two, versions: []string{oldVersion, oldVersion}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ends := make(chan struct{})
				resumed := stream(two, io.EOF)
				w := newRolloutGateway(t, map[string]script{newVersion: resumed})
				defer w.close()
				w.sender.play(oldVersion, func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					if out.LastEventID != "" {
						return resumed(ctx, out)
					}
					return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: &endingBody{text: strings.NewReader(one), end: ends}}, nil
				})
				done := make(chan *recorder)
				go func() { done <- w.serveAs(t.Context(), tc.path) }()
				synctest.Wait()
				w.grant(rollout.Move)
				if tc.halted {
					w.halt()
				}
				if tc.stopped {
					w.stop(oldVersion)
				}
				close(ends)
				caller := <-done
				is.Equal(caller.body.String(), tc.body)
				is.Equal(caller.aborted, tc.aborted)
				var versions []string
				for _, attempt := range w.caller.records[0].Attempts {
					versions = append(versions, attempt.Version)
				}
				is.Equal(versions, tc.versions)
				if len(versions) > 1 {
					is.Equal(w.sender.sent[1].LastEventID, "1")
				}
			})
		})
	}
}

// endingBody returns its text, and breaks off when end is closed.
type endingBody struct {
	text io.Reader
	end  chan struct{}
}

func (e *endingBody) Read(data []byte) (int, error) {
	n, err := e.text.Read(data)
	if err == io.EOF {
		<-e.end
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (e *endingBody) Close() error { return nil }

// TestHaltAppliesToWaitingRequests checks that requests that wait in the queue of a full service or
// for a prefill don't go to a version that was halted meanwhile.
func TestHaltAppliesToWaitingRequests(t *testing.T) {
	cases := map[string]func(t *testing.T, w *rolloutGateway) (release func()){
		"queue": func(t *testing.T, w *rolloutGateway) func() {
			w.gateway.Limiters = admission.NewLimiters(admission.DefaultLimiterOptions())
			full := []balance.Count{{Target: hashOf("a"), Count: 20}, {Target: hashOf("b"), Count: 20}, {Target: hashOf("c"), Count: 20}, {Target: hashOf("d"), Count: 20}}
			w.gateway.Balancer.Observe("other", full, time.Now())
			return func() {
				w.gateway.Balancer.Observe("other", nil, time.Now())
				w.gateway.AdmitWaiting()
			}
		},
		"prefill": func(t *testing.T, w *rolloutGateway) func() {
			w.gateway.Apply(engineConfig())
			fill := balance.Placement{Part: uint32(hashOf("m/long") >> 32), Target: uint32(hashOf("c") >> 32)}
			w.gateway.Balancer.LearnFills([]balance.Placement{fill}, time.Now())
			return func() { w.gateway.Balancer.Learn([]balance.Placement{fill}) }
		},
	}
	for name, block := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: stream(one, io.EOF), newVersion: stream(one, io.EOF)})
				defer w.close()
				w.grant(rollout.Move)
				release := block(t, w)
				done := make(chan *recorder)
				go func() {
					caller := new(recorder)
					w.gateway.Serve(t.Context(), longRequest("/stream/x"), caller)
					done <- caller
				}()
				synctest.Wait()
				is.Equal(len(w.sender.sent), 0) // it waits
				time.Sleep(50 * time.Millisecond)
				w.halt()
				release()
				is.Equal((<-done).status, http.StatusOK)
				is.Equal(w.sender.count(newVersion), 0)
				is.Equal(w.sender.count(oldVersion), 1)
				is.Equal(w.report(t).Others, 0)
			})
		})
	}
}

// TestCapacityOfAdmittedVersions checks that idle targets of a version that takes nothing don't
// count as capacity for requests that may not go there, at the first attempt or a later one.
func TestCapacityOfAdmittedVersions(t *testing.T) {
	full := func(ids ...string) []balance.Count {
		var counts []balance.Count
		for _, id := range ids {
			counts = append(counts, balance.Count{Target: hashOf(id), Count: 20})
		}
		return counts
	}
	cases := map[string]struct {
		stage  rollout.Stage
		full   []balance.Count
		served bool
	}{
		"the old ones are full, and take all":  {rollout.Hold, full("a", "b"), false},
		"the old ones are full, and take none": {rollout.Move, full("a", "b"), true},
		"the new ones are full, and take all":  {rollout.Move, full("c", "d"), false},
		"the new ones are full, and take none": {rollout.Hold, full("c", "d"), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: stream(one, io.EOF), newVersion: stream(one, io.EOF)})
				defer w.close()
				w.gateway.Limiters = admission.NewLimiters(admission.DefaultLimiterOptions())
				w.grant(tc.stage)
				all := full("a", "b", "c", "d")
				w.gateway.Balancer.Observe("other", all, time.Now())
				done := make(chan *recorder)
				go func() { done <- w.serveAs(t.Context(), "/stream/x") }()
				synctest.Wait()
				w.gateway.Balancer.Observe("other", tc.full, time.Now())
				w.gateway.AdmitWaiting()
				is.Equal((<-done).status == http.StatusOK, tc.served)                            // the waiting request
				is.Equal(w.serveAs(t.Context(), "/stream/x").status == http.StatusOK, tc.served) // a new request
				w.gateway.Balancer.Observe("other", nil, time.Now())
				failing := func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					w.gateway.Balancer.Observe("other", tc.full, time.Now())
					return answerFailure(ctx, out)
				}
				w.sender.play(oldVersion, failing)
				w.sender.play(newVersion, failing)
				w.serveAs(t.Context(), "/get/x")
				last := w.caller.records[len(w.caller.records)-1]
				is.Equal(len(last.Attempts) == 2, tc.served) // a second attempt
			})
		})
	}
}

// TestUnusedAssignmentsAreReturned checks that a share that was assigned to requests but not used
// is available to later ones.
func TestUnusedAssignmentsAreReturned(t *testing.T) {
	cases := map[string]func(t *testing.T, w *rolloutGateway){
		"no new target was open": func(*testing.T, *rolloutGateway) {},
		"none at all was open": func(t *testing.T, w *rolloutGateway) {
			for id, version := range map[string]string{"a": oldVersion, "b": oldVersion, "c": newVersion, "d": newVersion} {
				w.put(id, version, true)
			}
			w.serveMany(t.Context(), "/get/x", 20)
		},
		"the callers left while they waited": func(t *testing.T, w *rolloutGateway) {
			w.put("c", newVersion, false)
			w.gateway.Apply(engineConfig())
			fill := balance.Placement{Part: uint32(hashOf("m/long") >> 32), Target: uint32(hashOf("c") >> 32)}
			for range 20 {
				w.gateway.Balancer.LearnFills([]balance.Placement{fill}, time.Now())
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(5*time.Millisecond, cancel)
				w.gateway.Serve(ctx, longRequest("/stream/x"), new(recorder))
			}
			w.gateway.Balancer.Learn([]balance.Placement{fill})
		},
		"they were assigned again": func(t *testing.T, w *rolloutGateway) {
			w.put("c", newVersion, false)
			w.gateway.Apply(engineConfig())
			fill := balance.Placement{Part: uint32(hashOf("m/long") >> 32), Target: uint32(hashOf("c") >> 32)}
			for range 20 {
				w.gateway.Balancer.LearnFills([]balance.Placement{fill}, time.Now())
				time.AfterFunc(50*time.Millisecond, func() { w.gateway.Balancer.Learn([]balance.Placement{fill}) })
				w.gateway.Serve(t.Context(), longRequest("/stream/x"), new(recorder))
				w.gateway.Balancer.Withdraw("c", []uint64{hashOf("m/long")})
			}
		},
	}
	for name, takeShares := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutGateway(t, map[string]script{oldVersion: answerYes, newVersion: answerYes})
				defer w.close()
				w.grant(rollout.Canary)
				w.put("c", newVersion, true)
				w.put("d", newVersion, true)
				w.serveMany(t.Context(), "/get/x", 400)
				is.Equal(w.report(t).Exposed, 0)
				takeShares(t, w)
				is.Equal(w.report(t).Exposed, w.sender.count(newVersion))
				for _, id := range []string{"a", "b"} {
					w.put(id, oldVersion, false)
				}
				w.put("c", newVersion, false)
				w.serveMany(t.Context(), "/get/x", 40)
				is.True(w.sender.count(newVersion) >= 3)
				is.Equal(w.report(t).Exposed, w.sender.count(newVersion))
			})
		})
	}
}

// longRequest returns a request whose prompt has a long shared part.
func longRequest(path string) *gateway.Request {
	return &gateway.Request{
		ID: "r", Method: "POST", Host: "h", URI: path, Path: path, Key: "key", Arrived: time.Now(),
		Model: "m", Parts: []gateway.Part{{ID: "long", Tokens: 5000}, {ID: "own", Tokens: 10}},
	}
}
