package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// cuttingDialer connects to engines of which the first interrupts the chat after some pieces.
type cuttingDialer struct {
	pieces int
	ran    []string
}

func (d *cuttingDialer) Open(_ context.Context, _ string, open *wire.Open) (link.Stream, error) {
	call := open.GetCall()
	d.ran = append(d.ran, call.GetTargetId())
	if len(d.ran) > 1 {
		whole := cannedDialer{pieces: 4, perFrame: 1}
		return &cannedStream{dialer: whole, call: call, next: call.GetChat().GetOffset()}, nil
	}
	return &cutStream{cannedStream: cannedStream{dialer: cannedDialer{pieces: d.pieces + 1, perFrame: 1}, call: call}, pieces: int64(d.pieces)}, nil
}

// cutStream is interrupted after some pieces.
type cutStream struct {
	cannedStream
	pieces int64
}

func (s *cutStream) Recv(msg link.Message) error {
	if s.ended {
		return io.EOF
	}
	if s.next < s.pieces {
		return s.cannedStream.Recv(msg)
	}
	s.ended = true
	proto.Merge(msg, &wire.Reply{RequestId: s.call.GetRequestId(), Attempt: s.call.GetAttempt(), Kind: &wire.Reply_Refusal{
		Refusal: &wire.Refusal{Kind: string(fault.Cut), Message: "the engine's stream was interrupted", RunState: wire.RunState_RUN_STATE_UNKNOWN},
	}})
	return nil
}

// fleetOf returns members with one engine of each version.
func fleetOf(versions ...string) *member.List {
	list := member.NewList(member.DefaultOptions(), &wire.Member{Id: "router-0", Role: member.RoleRouter})
	for i, version := range versions {
		host := fmt.Sprintf("host-%d", i)
		list.Merge([]*wire.Member{{
			Id: host, Role: member.RoleAgent, LinkAddress: host, Incarnation: 1, Standing: wire.Standing_STANDING_ALIVE,
			Targets: []*wire.TargetState{{Id: fmt.Sprintf("engine-%d@%s", i, version), Pool: "model-1", Version: version}},
		}})
	}
	return list
}

// TestChatKeepsItsVersion guards against an answer with pieces of engines of two versions, and against
// one that ends although an engine of its version serves.
func TestChatKeepsItsVersion(t *testing.T) {
	cases := map[string]struct {
		versions []string
		pieces   int
		attempts int
		whole    bool
	}{
		"another of its version": {[]string{"v1", "v2", "v1", "v2"}, 2, 2, true},
		"none of its version":    {[]string{"v1", "v2", "v3", "v4"}, 2, 1, false},
		"no piece before":        {[]string{"v1", "v2", "v3", "v4"}, 0, 2, true},
		"no versions stated":     {[]string{"", "", "", ""}, 2, 2, true},
		"one states no version":  {[]string{"", "v1"}, 2, 1, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialer := &cuttingDialer{pieces: tc.pieces}
			r := New(Options{Members: fleetOf(tc.versions...), Config: testState(t), Dialer: dialer, Log: log.New(io.Discard), Metrics: NoMetrics{}, Seed: 1})
			writer := httptest.NewRecorder()
			func() {
				defer func() {
					if cause := recover(); cause != nil {
						is.Equal(cause, http.ErrAbortHandler) // an answer that breaks off
					}
				}()
				r.Handler().ServeHTTP(writer, chatRequestFor(streamBody))
			}()
			is.Equal(len(dialer.ran), tc.attempts)
			is.Equal(strings.Contains(writer.Body.String(), "[DONE]"), tc.whole)
			versionOf := func(engine string) string { return engine[strings.Index(engine, "@"):] }
			if tc.pieces > 0 && tc.attempts > 1 {
				is.Equal(versionOf(dialer.ran[1]), versionOf(dialer.ran[0]))
			}
		})
	}
}
