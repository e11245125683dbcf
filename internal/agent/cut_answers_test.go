package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/httpcheck"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// cuttingTarget is a target that ends its next answer early.
type cuttingTarget struct {
	address string

	mu sync.Mutex
	// next is what it answers next. With reset it then resets the connection, with closes it closes it.
	next          string
	reset, closes bool
	// arrivals counts the requests, and kept those on a connection that had served another.
	arrivals, kept int
}

func newCuttingTarget(t *testing.T) *cuttingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	c := &cuttingTarget{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

// answer sets what the target answers next, and forgets its counts.
func (c *cuttingTarget) answer(text string, reset, closes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next, c.reset, c.closes, c.arrivals, c.kept = text, reset, closes, 0, 0
}

// counts returns the counts since the last answer was set.
func (c *cuttingTarget) counts() (arrivals, kept int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals, c.kept
}

func (c *cuttingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		c.mu.Lock()
		c.arrivals++
		c.kept += min(served, 1)
		text, reset, closes := c.next, c.reset, c.closes
		c.mu.Unlock()
		_, _ = io.WriteString(conn, text)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if reset || closes {
			return
		}
	}
}

// newTestClient returns a client as agents have it.
func newTestClient(t *testing.T) *http.Client {
	transport := httpcheck.NewTransport(&http.Transport{DisableCompression: true})
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// newCuttingAgent returns an agent that reaches the target as an engine and as a plain service.
func newCuttingAgent(t *testing.T, cutting *cuttingTarget) *Agent {
	t.Helper()
	client := newTestClient(t)
	return New(Options{
		ID: "a", Admission: admission.DefaultOptions(), PieceWait: time.Minute,
		Targets: []Target{
			{ID: "engine", Pool: "m", Engine: &target.HTTPEngine{Base: "http://" + cutting.address, Client: client}},
			{ID: "plain", Pool: "s", Service: &target.HTTPService{Base: "http://" + cutting.address, Client: client}},
		},
		Members: member.NewList(member.DefaultOptions(), &wire.Member{Id: "a"}), Config: config.NewState(), Log: log.New(io.Discard),
	})
}

// end returns the end among the replies, or nil if there is none.
func (r *replies) end() *wire.End {
	for _, reply := range r.all {
		if end := reply.GetEnd(); end != nil {
			return end
		}
	}
	return nil
}

// text returns what the replies hold of the answer.
func (r *replies) text() string {
	var text strings.Builder
	for _, reply := range r.all {
		text.Write(reply.GetData().GetBytes())
		text.WriteString(strings.Join(reply.GetData().GetPieces(), ""))
	}
	return text.String()
}

// cutCase is an answer that is cut, and the way in which it is.
type cutCase struct {
	targetID   string
	head, body string
	// whole is what an answer that isn't cut brings.
	whole string
	// unframed means that the answer has neither a length nor chunks.
	unframed    bool
	reset, kept bool
}

const (
	enginePieces = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n" + `data: {"choices":[{"delta":{"content":"b"}}]}` + "\n\n"
	engineEnd    = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
)

// chunk returns a text as one chunk.
func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// cutCases returns the cases of all framings, for both kinds of targets.
func cutCases() map[string]cutCase {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	length := func(version string, body string) string {
		return fmt.Sprintf("HTTP/%s 200 OK\r\nContent-Length: %d\r\n\r\n", version, len(body))
	}
	const early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	const lastChunk = "0\r\nX-Last: 1\r\n\r\n"
	framings := map[string]cutCase{
		"service, length":             {targetID: "plain", head: length("1.1", "whole"), body: "whole", whole: "whole"},
		"service, chunks":             {targetID: "plain", head: chunked, body: chunk("wh") + chunk("ole") + lastChunk, whole: "whole"},
		"service, neither":            {targetID: "plain", head: "HTTP/1.1 200 OK\r\n\r\n", body: "whole", whole: "whole", unframed: true},
		"service, HTTP 1.0":           {targetID: "plain", head: length("1.0", "whole"), body: "whole", whole: "whole"},
		"service, HTTP 1.0, neither":  {targetID: "plain", head: "HTTP/1.0 200 OK\r\n\r\n", body: "whole", whole: "whole", unframed: true},
		"service, chunks, behind 103": {targetID: "plain", head: early + chunked, body: chunk("whole") + lastChunk, whole: "whole"},
		"service, 204":                {targetID: "plain", head: "HTTP/1.1 204 No Content\r\n\r\n"},
		"engine, length":              {targetID: "engine", head: length("1.1", enginePieces+engineEnd), body: enginePieces + engineEnd, whole: "ab"},
		"engine, chunks":              {targetID: "engine", head: chunked, body: chunk(enginePieces) + chunk(engineEnd) + lastChunk, whole: "ab"},
		"engine, neither":             {targetID: "engine", head: "HTTP/1.1 200 OK\r\n\r\n", body: enginePieces + engineEnd, whole: "ab", unframed: true},
	}
	cases := make(map[string]cutCase)
	for name, framed := range framings {
		cases[name+", closed"] = framed
		framed.reset, framed.kept = true, true
		cases[name+", reset, on a kept connection"] = framed
	}
	return cases
}

// TestCutAnswers guards against answers that end early and count as whole, and against requests that are sent
// again, or reported as not run, although they may have run: a target ends its answer at each byte.
func TestCutAnswers(t *testing.T) {
	for name, tc := range cutCases() {
		t.Run(name, func(t *testing.T) {
			text := tc.head + tc.body
			for at := range len(text) + 1 {
				tryCut(t, tc, text[:at])
			}
		})
	}
}

// tryCut calls a target that answers with a part of the answer.
func tryCut(t *testing.T, tc cutCase, part string) {
	cutting := newCuttingTarget(t)
	a := newCuttingAgent(t, cutting)
	if tc.kept {
		cutting.answer("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false, false)
		callTarget(t, a, tc.targetID)
	}
	cutting.answer(part, tc.reset, true)
	got := callTarget(t, a, tc.targetID)
	arrivals, kept := cutting.counts()
	if arrivals != 1 || kept == 1 != tc.kept {
		t.Errorf("after %q: %d arrivals, %d of them on a kept connection", part, arrivals, kept)
	}
	whole := len(part) == len(tc.head)+len(tc.body)
	switch {
	case got.end() != nil && tc.unframed && !tc.reset && tc.targetID == "plain" && len(part) >= len(tc.head):
		// HTTP knows no other end of such a body.
	case got.end() != nil && (got.text() != tc.whole || !whole && tc.targetID == "plain"):
		t.Errorf("after %q: %q counts as whole", part, got.text())
	case got.end() == nil && whole && (!tc.unframed || !tc.reset):
		t.Errorf("after %q: refused: %v", part, got.refusal())
	case got.end() == nil && got.refusal().GetRunState() != wire.RunState_RUN_STATE_UNKNOWN:
		t.Errorf("after %q: %v", part, got.refusal())
	}
}

// TestCutAnswersToKeyedCalls guards against an answer that ends early and is kept as the whole one of a call
// that must not be repeated, and against such a call that counts as not run.
func TestCutAnswersToKeyedCalls(t *testing.T) {
	const limit = 1 << 10
	head := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	cases := map[string]struct{ head, body string }{
		"length": {head, "whole"},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("wh") + chunk("ole") + "0\r\n\r\n"},
		"1.0":    {strings.Replace(head, "1.1", "1.0", 1), "whole"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := tc.head + tc.body
			for at := range len(text) + 1 {
				cutting := newCuttingTarget(t)
				cutting.answer(text[:at], false, true)
				service := &target.HTTPService{Base: "http://" + cutting.address, Client: newTestClient(t)}
				response, err := service.Do(t.Context(), target.ServiceRequest{Method: http.MethodPost, Path: "/", Header: http.Header{KeyHeader: {"k"}}})
				is.True(!errors.Is(err, target.ErrRefused))
				if err == nil {
					_, err = outcomeOf(response, limit)
					_ = response.Body.Close()
				}
				is.Equal(err == nil, at == len(text))
				arrivals, _ := cutting.counts()
				is.Equal(arrivals, 1)
			}
		})
	}
}
