package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// partRequest returns a request whose prompt has the given parts and one of its own.
func partRequest(number int, path string, parts ...string) *gateway.Request {
	id := fmt.Sprintf("r%d", number)
	request := &gateway.Request{ID: id, Method: "POST", Host: "h", URI: path, Path: path, Key: "key", Body: []byte(id), Arrived: time.Now()}
	for _, part := range append(parts, id) {
		request.Parts = append(request.Parts, gateway.Part{ID: part, Tokens: 10})
	}
	return request
}

// crashParts records crashes under requests of the workspace of the test's key with a part, as another
// gateway that has confirmed it reports them.
func crashParts(w *testGateway, part string, now time.Time) {
	record := quarantine.Record{
		Fingerprint:  quarantine.PartFingerprint(part),
		Incarnations: []quarantine.Incarnation{1, 2, 3, 4},
		Workspaces:   []quarantine.Workspace{1, 2}, // with two it holds for all
		Confirmed:    true,
	}
	w.gateway.Crashes.Table.Merge(record, now)
}

// TestHeldPart checks what callers are told of requests with a held part: to come again until one
// request has shown that the part is fatal, and that nothing is sent but that one.
func TestHeldPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(lost)
		prober := startCrashes(t, w)
		keepOneTarget(w, 1000)
		crashParts(w, "f", time.Now())

		w.gateway.Serve(t.Context(), partRequest(1, "/resumable/x", "a", "f"), w.caller)
		is.Equal(w.caller.refusal.Kind, fault.Suspected)
		is.Equal(w.caller.refusal.State, fault.NotRun)
		is.Equal(w.caller.refusal.RetryAfter, 5*time.Second)
		is.Equal(w.caller.records[0].HeldPart, "f")
		is.Equal(w.caller.records[0].Took, time.Duration(0))
		is.Equal(len(w.sender.sent), 0)

		time.Sleep(5 * time.Second)
		prober.refuses.Store(true)
		w.gateway.Proof.Note(time.Now())
		w.gateway.Serve(t.Context(), partRequest(2, "/resumable/x", "a", "f"), w.caller)
		is.Equal(len(w.sender.sent), 1) // the trial, without a further attempt
		time.Sleep(time.Second)

		w.gateway.Serve(t.Context(), partRequest(3, "/resumable/x", "f", "b"), w.caller)
		is.Equal(len(w.sender.sent), 1)
		is.Equal(w.caller.refusal.Kind, fault.Quarantined)
		is.Equal(w.caller.refusal.RetryAfter, time.Duration(0))
		is.Equal(w.caller.status, http.StatusBadRequest)
		held := w.gateway.Crashes.HeldParts()
		is.Equal(len(held), 1)
		is.Equal(held[0], gateway.HeldPart{Fingerprint: quarantine.PartFingerprint("f"), ID: "f", Workspace: "w", Requests: 2})
	})
}

// TestTrialOfHeldRequestAndPart checks that an accused request is the trial of a held part only after others
// could have been, and that a request which is held itself can be it: it may be the only one that comes.
func TestTrialOfHeldRequestAndPart(t *testing.T) {
	for name, crashes := range map[string][]quarantine.Incarnation{"accused": {1}, "held itself": {1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(respond(200, "yes"))
				startCrashes(t, w)
				keepOneTarget(w, 1000)
				crashParts(w, "f", time.Now())
				ask := func() int {
					request := partRequest(1, "/once/x", "a", "f")
					w.gateway.Proof.Note(time.Now())
					w.gateway.Serve(t.Context(), request, w.caller)
					return len(w.sender.sent)
				}
				subject := quarantine.Subject{Workspace: "w", Method: "POST", Host: "h", URI: "/once/x", Body: []byte("r1")}
				for _, incarnation := range crashes {
					w.gateway.Crashes.Table.Crashed(subject.Fingerprint(), incarnation, time.Now())
				}
				time.Sleep(5 * time.Second)
				is.Equal(ask(), 0)
				time.Sleep(2 * time.Second)
				is.Equal(ask(), 1)
				is.Equal(ask(), 2) // its answer has cleared both
			})
		})
	}
}

// TestTrialOfLongWork guards against trials that decide nothing: the target worked for longer than others are
// tried after, and the trial was cut off for a second attempt, which was refused.
func TestTrialOfLongWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		work := func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			select {
			case <-time.After(time.Second / 2):
				return respond(http.StatusOK, "yes")(ctx, out)
			case <-ctx.Done():
				return nil, &gateway.SendError{Sent: true, Err: ctx.Err()}
			}
		}
		w := newTestGateway(work)
		startCrashes(t, w)
		crashParts(w, "f", time.Now())
		time.Sleep(5 * time.Second)
		w.gateway.Proof.Note(time.Now())
		w.gateway.Serve(t.Context(), partRequest(1, "/get/x", "a", "f"), w.caller)
		is.Equal(w.caller.status, http.StatusOK)
		is.Equal(len(w.sender.sent), 1)
	})
}

// TestLastPartIsNotHeld checks that the part which belongs to a request alone holds back nothing, nor
// does a part of a prompt without any other.
func TestLastPartIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(respond(200, "yes"))
		startCrashes(t, w)
		crashParts(w, "r1", time.Now())
		w.gateway.Serve(t.Context(), partRequest(1, "/once/x", "a"), w.caller)
		is.Equal(w.caller.status, http.StatusOK)
		w.gateway.Serve(t.Context(), partRequest(1, "/once/x"), w.caller)
		is.Equal(w.caller.status, http.StatusOK)
	})
}

// TestAnswersThatClearParts checks which answers show that a part is not fatal.
func TestAnswersThatClearParts(t *testing.T) {
	breaksOffAfter := func(pause time.Duration) script {
		return func(context.Context, *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			body := &pausingBody{Reader: &brokenBody{strings.NewReader(one + two), io.ErrUnexpectedEOF}, pause: pause}
			return &gateway.Answer{Status: http.StatusOK, Size: -1, Signed: true, Body: body}, nil
		}
	}
	cases := map[string]struct {
		answer script
		path   string
		clears bool
	}{
		"a complete answer":        {respond(200, "yes"), "/once/x", true},
		"a failure of the target":  {respond(500, "no"), "/once/x", false},
		"rejected":                 {rejected, "/once/x", false},
		"unsigned":                 {unsigned, "/once/x", false},
		"lost":                     {lost, "/once/x", false},
		"a complete stream":        {stream(one+two, io.EOF), "/stream/x", true},
		"a stream that breaks off": {stream(one+two, io.ErrUnexpectedEOF), "/stream/x", false},
		"a stream that breaks off after a second":  {breaksOffAfter(time.Second), "/stream/x", true},
		"a stream that breaks off within a second": {breaksOffAfter(900 * time.Millisecond), "/stream/x", false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(test.answer)
				startCrashes(t, w)
				keepOneTarget(w, 1000)
				crashParts(w, "f", time.Now())
				time.Sleep(5 * time.Second) // the request is the trial
				w.gateway.Proof.Note(time.Now())
				w.gateway.Serve(t.Context(), partRequest(1, test.path, "f"), w.caller)
				synctest.Wait()
				cleared := len(w.gateway.Crashes.Table.HeldRequests(time.Now())) == 0
				is.New(t).Equal(cleared, test.clears)
			})
		})
	}
}
