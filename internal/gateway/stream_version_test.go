package gateway_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/origin"
)

// versionGateway is a test gateway with targets of the given versions.
func versionGateway(sender gateway.Sender, versions ...string) *testGateway {
	w := newTestGateway()
	w.gateway.Sender = sender
	for _, id := range []string{"a", "b", "c"} {
		w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Leaving: true}, time.Now())
		w.gateway.Balancer.Drop(id, time.Now())
	}
	for i, version := range versions {
		id := fmt.Sprintf("%s-%d", version, i)
		w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Version: version}, time.Now())
	}
	return w
}

// firstSender plays a script for the first request and another one for all others.
type firstSender struct {
	first, others script
	sent          []*gateway.Outgoing
}

func (f *firstSender) Send(ctx context.Context, out *gateway.Outgoing, admit func() error) (*gateway.Answer, *gateway.SendError) {
	if err := admit(); err != nil {
		return nil, &gateway.SendError{Err: err}
	}
	f.sent = append(f.sent, out)
	if len(f.sent) == 1 {
		return f.first(ctx, out)
	}
	return f.others(ctx, out)
}

// pausing sends an event and nothing more.
func pausing(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, one)
		<-ctx.Done()
		_ = writer.CloseWithError(ctx.Err())
	}()
	return &gateway.Answer{Status: 200, Size: -1, Signed: true, Body: reader}, nil
}

// TestAnswerKeepsItsVersion guards against events of two versions within one answer.
func TestAnswerKeepsItsVersion(t *testing.T) {
	cutAfterOne := stream(one+two[:5], io.ErrUnexpectedEOF)
	cases := map[string]struct {
		first script
		// sameVersion is the number of other targets of the version that serves first.
		sameVersion int
		sends       int
		body        string
		aborted     bool
		bound       bool
	}{
		"broken off, another of its version":   {cutAfterOne, 1, 2, one + two, false, true},
		"broken off, none of its version":      {cutAfterOne, 0, 1, one, true, true},
		"silent, another of its version":       {pausing, 1, 2, one + two, false, true},
		"silent, none of its version":          {pausing, 0, 1, one, true, true},
		"broken off before the first event":    {stream("", io.ErrUnexpectedEOF), 0, 2, two, false, false},
		"broken off inside of the first event": {stream(one[:5], io.ErrUnexpectedEOF), 0, 2, two, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for range 20 { // the first target is drawn
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					sender := &firstSender{first: tc.first, others: stream(two, io.EOF)}
					versions := []string{"v1", "v2", "v3"}
					for range tc.sameVersion {
						versions = append(versions, "v1", "v2", "v3")
					}
					w := versionGateway(sender, versions...)
					w.serve(t.Context(), "/resumable/x")
					is.Equal(len(sender.sent), tc.sends)
					is.Equal(w.caller.body.String(), tc.body)
					is.Equal(w.caller.aborted, tc.aborted)
					if tc.bound && tc.sends > 1 {
						is.Equal(sender.sent[1].Target.Version, sender.sent[0].Target.Version)
					}
				})
			}
		})
	}
}

// TestStreamBegunAtUnknownVersion guards against answers that go on at any version because the target
// that began them was known from a checkpoint without its version.
func TestStreamBegunAtUnknownVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := &firstSender{first: stream(one+two[:5], io.ErrUnexpectedEOF), others: stream(two, io.EOF)}
		w := versionGateway(sender)
		w.gateway.Origins = &gateway.Origins{Table: origin.NewTable()}
		for _, id := range []string{"d", "e", "f"} {
			w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, VersionUnknown: true}, time.Now())
		}
		w.serve(t.Context(), "/resumable/x")
		is.Equal(len(sender.sent), 1)
		is.Equal(w.caller.body.String(), one)
		is.True(w.caller.aborted)
		records := w.gateway.Origins.Table.Records(time.Now())
		is.Equal(len(records), 1)
		is.Equal(records[0].Version, origin.Uncertain)
	})
}

// TestRecordOfBegunStream guards against records that name the version in a target's entry for streams of
// another incarnation, and against streams that can't go on although the target has confirmed which one it is.
func TestRecordOfBegunStream(t *testing.T) {
	cases := map[string]struct {
		// marked means that there was a sign that the target's process had ended.
		marked    bool
		confirmed bool
		restarted bool
		certain   bool
	}{
		"nothing known to the contrary":          {certain: true},
		"an end":                                 {marked: true},
		"an end, but confirmed":                  {marked: true, confirmed: true, certain: true},
		"another incarnation may have answered":  {restarted: true},
		"an end, another incarnation may answer": {marked: true, restarted: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				answer := func(ctx context.Context, out *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
					answer, failure := stream(one+two, io.EOF)(ctx, out)
					answer.Confirmed, answer.MayHaveRestarted = tc.confirmed, tc.restarted
					return answer, failure
				}
				sender := &firstSender{first: answer}
				w := versionGateway(sender)
				w.gateway.Origins = &gateway.Origins{Table: origin.NewTable()}
				target := balance.Target{ID: "d", Service: "s", Address: "d", Version: "v1", Born: 1}
				w.gateway.Balancer.Put(target, time.Now())
				if tc.marked {
					w.gateway.Balancer.NoteRestart(target.Incarnation(), time.Now())
				}
				w.serve(t.Context(), "/resumable/x")
				is.Equal(w.caller.body.String(), one+two)
				is.True(sender.sent[0].Versioned)
				records := w.gateway.Origins.Table.Records(time.Now())
				is.Equal(len(records), 1)
				is.Equal(records[0].Version != origin.Uncertain, tc.certain)
			})
		})
	}
}

// TestTargetThatDoesNotStateItsStart guards against requests that wait for a target which doesn't answer the
// question for its start until their callers leave, and against counting them as sent.
func TestTargetThatDoesNotStateItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := func(ctx context.Context, _ *gateway.Outgoing) (*gateway.Answer, *gateway.SendError) {
			<-ctx.Done()
			return nil, &gateway.SendError{Unanswered: true, Err: ctx.Err()}
		}
		sender := &firstSender{first: silent, others: stream(one+two, io.EOF)}
		w := versionGateway(sender, "v1", "v1")
		w.serve(t.Context(), "/resumable/x")
		is.Equal(len(sender.sent), 2)
		is.Equal(w.caller.body.String(), one+two)
	})
}
