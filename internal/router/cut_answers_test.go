package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// repliesDialer answers each call with the same replies, and then ends it.
type repliesDialer struct {
	replies []*wire.Reply
}

func (d repliesDialer) Open(_ context.Context, _ string, open *wire.Open) (link.Stream, error) {
	return &repliesStream{left: d.replies, call: open.GetCall()}, nil
}

type repliesStream struct {
	left []*wire.Reply
	call *wire.Call
}

func (s *repliesStream) Send(link.Message) error { return nil }

func (s *repliesStream) Close() error { return nil }

func (s *repliesStream) Recv(msg link.Message) error {
	if len(s.left) == 0 {
		return io.EOF
	}
	proto.Merge(msg, s.left[0])
	proto.Merge(msg, &wire.Reply{RequestId: s.call.GetRequestId(), Attempt: s.call.GetAttempt()})
	s.left = s.left[1:]
	return nil
}

// newRepliesRouter returns a router to one service and one engine that answer with the replies.
func newRepliesRouter(t *testing.T, replies []*wire.Reply) *Router {
	t.Helper()
	list := member.NewList(member.DefaultOptions(), &wire.Member{Id: "router-0", Role: member.RoleRouter})
	list.Merge([]*wire.Member{{
		Id: "host", Role: member.RoleAgent, LinkAddress: "host", Incarnation: 1, Standing: wire.Standing_STANDING_ALIVE,
		Targets: []*wire.TargetState{{Id: "e", Pool: "model-1"}, {Id: "s", Pool: "shop", Service: true}},
	}})
	state := testState(t)
	shop, err := json.Marshal(config.Service{})
	is.New(t).NoErr(err)
	_, err = state.Apply(&wire.Delta{From: 1, To: 2, Documents: []*wire.Document{{Name: "service/shop", Value: shop, Revision: 2}}})
	is.New(t).NoErr(err)
	return New(Options{Members: list, Config: state, Dialer: repliesDialer{replies}, Log: log.New(io.Discard), Metrics: NoMetrics{}, Seed: 1})
}

// callRaw sends a request as the version of HTTP and returns all that its connection brings, and how that ended.
func callRaw(t *testing.T, address, version, path, body string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h\r\nAuthorization: Bearer key\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", path, version, len(body), body)
	is.New(t).NoErr(err)
	received, err := io.ReadAll(conn)
	return string(received), err
}

// looksWhole reports whether an answer is a success that ends as a whole one.
func looksWhole(received string, ended error) bool {
	head, body, found := strings.Cut(received, "\r\n\r\n")
	if !found || !strings.Contains(head, " 200 ") {
		return false
	}
	head += "\r\n"
	switch {
	case strings.Contains(head, "Transfer-Encoding: chunked"):
		return strings.HasSuffix(body, "0\r\n\r\n")
	case strings.Contains(head, "Content-Length: "):
		return strings.Contains(head, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	}
	return ended == nil
}

// TestCutBeforeFirstPart guards against a connection that is closed without any answer, although nothing of the
// one that broke off had been passed on.
func TestCutBeforeFirstPart(t *testing.T) {
	head := &wire.Reply{Kind: &wire.Reply_Head{Head: &wire.Head{Status: 200, Headers: []*wire.Header{{Name: "X-Shop", Value: "1"}}}}}
	for name, replies := range map[string][]*wire.Reply{"no reply": nil, "the head": {head}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(newRepliesRouter(t, replies).Handler())
			defer server.Close()
			received, err := callRaw(t, server.Listener.Addr().String(), "1.1", "/v1/services/shop/x", "")
			is.NoErr(err)
			is.True(strings.HasPrefix(received, fmt.Sprintf("HTTP/1.1 %d ", fault.AnswerOf(fault.Cut).Status)))
			is.True(!strings.Contains(received, "X-Shop"))
			is.True(strings.Contains(received, HeaderRunState+": "+string(fault.Unknown)))
		})
	}
}

// TestCutAnswers guards against answers that end early and look whole: an agent ends its answer after each of
// its replies, by the end of its link or by saying that the target broke off.
func TestCutAnswers(t *testing.T) {
	head := &wire.Reply{Kind: &wire.Reply_Head{Head: &wire.Head{Status: 200}}}
	bytesAt := func(offset int64, text string) *wire.Reply {
		return &wire.Reply{Kind: &wire.Reply_Data{Data: &wire.Data{Offset: offset, Bytes: []byte(text)}}}
	}
	pieceAt := func(offset int64, text string) *wire.Reply {
		return &wire.Reply{Kind: &wire.Reply_Data{Data: &wire.Data{Offset: offset, Pieces: []string{text}}}}
	}
	endAt := func(length int64) *wire.Reply {
		return &wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Length: length, FinishReason: "stop"}}}
	}
	cases := map[string]struct {
		path, body string
		replies    []*wire.Reply
	}{
		"service":       {"/v1/services/shop/x", "", []*wire.Reply{head, bytesAt(0, "wh"), bytesAt(2, "ole"), endAt(5)}},
		"empty service": {"/v1/services/shop/x", "", []*wire.Reply{head, endAt(0)}},
		"chat":          {"/v1/chat/completions", strings.Replace(streamBody, `"stream":true,`, "", 1), []*wire.Reply{pieceAt(0, "a"), pieceAt(1, "b"), endAt(2)}},
		"stream":        {"/v1/chat/completions", streamBody, []*wire.Reply{pieceAt(0, "a"), pieceAt(1, "b"), endAt(2)}},
	}
	broken := &wire.Reply{Kind: &wire.Reply_Refusal{Refusal: &wire.Refusal{Kind: string(fault.Cut), RunState: wire.RunState_RUN_STATE_UNKNOWN}}}
	for name, tc := range cases {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP "+version, func(t *testing.T) {
				is := is.New(t)
				for count := range len(tc.replies) + 1 {
					for _, last := range [][]*wire.Reply{nil, {broken}} {
						replies := append(append([]*wire.Reply(nil), tc.replies[:count]...), last...)
						server := httptest.NewServer(newRepliesRouter(t, replies).Handler())
						received, err := callRaw(t, server.Listener.Addr().String(), version, tc.path, tc.body)
						server.Close()
						if whole := count == len(tc.replies); looksWhole(received, err) != whole {
							t.Errorf("after %d replies: %q, %v", count, received, err)
						}
						is.True(err == nil || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset"))
					}
				}
			})
		}
	}
}

// TestInvalidStatus guards against a connection that is closed without any answer, and against bytes that are no
// answer, where an agent passes on a status that is none.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int32{-1, 0, 20, 99, 100, 101, 103, 199, 1000} {
		t.Run(strconv.Itoa(int(status)), func(t *testing.T) {
			is := is.New(t)
			replies := []*wire.Reply{
				{Kind: &wire.Reply_Head{Head: &wire.Head{Status: status}}},
				{Kind: &wire.Reply_Data{Data: &wire.Data{Bytes: []byte("wrong")}}},
				{Kind: &wire.Reply_End{End: &wire.End{Length: 5}}},
			}
			server := httptest.NewServer(newRepliesRouter(t, replies).Handler())
			defer server.Close()
			received, err := callRaw(t, server.Listener.Addr().String(), "1.1", "/v1/services/shop/x", "")
			is.NoErr(err)
			is.True(strings.HasPrefix(received, fmt.Sprintf("HTTP/1.1 %d ", fault.AnswerOf(fault.TargetFailed).Status)))
			is.True(strings.Contains(received, HeaderRunState+": "+string(fault.Unknown)))
			is.True(!strings.Contains(received, "wrong"))
		})
	}
}
