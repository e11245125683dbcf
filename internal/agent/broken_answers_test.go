package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestBrokenHeads guards against bytes that are no answer and are passed on as one, or are skipped, so that what
// follows them is passed on, and against a call that counts as not run for what such bytes say.
func TestBrokenHeads(t *testing.T) {
	for name, text := range emulator.BrokenResponses("X-Header: 1\r\nRetry-After: 60\r\n") {
		for preface, early := range map[string]string{"": "", ", behind 103": "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n"} {
			for _, targetID := range []string{"plain", "engine"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, kept %v, %s%s", targetID, kept, name, preface), func(t *testing.T) {
						tryBrokenHead(t, targetID, early+text, kept)
					})
				}
			}
		}
	}
}

func tryBrokenHead(t *testing.T, targetID, text string, kept bool) {
	is := is.New(t)
	cutting := newCuttingTarget(t)
	a := newCuttingAgent(t, cutting)
	if kept {
		cutting.answer("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false, false)
		callTarget(t, a, targetID)
	}
	cutting.answer(text, false, true)
	got := callTarget(t, a, targetID)
	is.Equal(got.end(), nil)
	is.Equal(got.text(), "")
	is.Equal(got.refusal().GetRunState(), wire.RunState_RUN_STATE_UNKNOWN)
	is.Equal(got.refusal().GetRetryAfterMs(), int64(0))
	arrivals, keptArrivals := cutting.counts()
	is.Equal(arrivals, 1)
	is.Equal(keptArrivals == 1, kept)
	cutting.answer("HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwhole", false, false)
	callTarget(t, a, targetID)
	arrivals, keptArrivals = cutting.counts()
	is.Equal(arrivals, 1)     // the agent doesn't hold its calls back for a while
	is.Equal(keptArrivals, 0) // nothing else is sent on the connection
}

// TestUnusualHeads checks that answers which are unusual, but valid, are passed on.
func TestUnusualHeads(t *testing.T) {
	for name, unusual := range emulator.UnusualResponses("X-Header: 1\r\n") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cutting := newCuttingTarget(t)
			cutting.answer(unusual.Text, false, true)
			got := callTarget(t, newCuttingAgent(t, cutting), "plain")
			is.True(got.end() != nil)
			is.Equal(got.text(), unusual.Body)
			head := got.head()
			is.Equal(int(head.GetStatus()), unusual.Status)
			found := unusual.Name == ""
			for _, field := range head.GetHeaders() {
				found = found || field.GetName() == unusual.Name && field.GetValue() == unusual.Value
			}
			is.True(found)
		})
	}
}

// head returns the head among the replies, or nil if there is none.
func (r *replies) head() *wire.Head {
	for _, reply := range r.all {
		if head := reply.GetHead(); head != nil {
			return head
		}
	}
	return nil
}

// TestBrokenHeadsOfKeyedCalls guards against a call that must not be repeated and that counts as answered, or as
// not run, after bytes that are no answer.
func TestBrokenHeadsOfKeyedCalls(t *testing.T) {
	for name, text := range emulator.BrokenResponses("") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cutting := newCuttingTarget(t)
			cutting.answer(text, false, true)
			service := &target.HTTPService{Base: "http://" + cutting.address, Client: newTestClient(t)}
			_, err := service.Do(t.Context(), target.ServiceRequest{Method: http.MethodPost, Path: "/", Header: http.Header{KeyHeader: {"k"}}})
			is.True(err != nil)
			is.True(!errors.Is(err, target.ErrRefused))
			arrivals, _ := cutting.counts()
			is.Equal(arrivals, 1)
		})
	}
}

// earlyEnd is what a target does behind an answer that it sends before it has read the whole call.
type earlyEnd struct {
	// readBefore and readAfter are how many bytes of the body it reads before and after it answers.
	readBefore, readAfter int64
	// reset makes it reset the connection, endsOutput end its output and read on. Otherwise it closes.
	reset, endsOutput bool
}

// longBody is the size of a call's body that takes long enough to be written for its answer to arrive meanwhile.
const longBody = 3 << 20

// earlyTarget starts a target that answers each call with a text before it has read all of it.
func earlyTarget(t *testing.T, text string, end earlyEnd) (address string, arrivals *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	arrivals = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			arrivals.Add(1)
			go end.serve(conn.(*net.TCPConn), text)
		}
	}()
	return listener.Addr().String(), arrivals
}

func (e earlyEnd) serve(conn *net.TCPConn, text string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, e.readBefore)
	_, _ = io.WriteString(conn, text)
	_, _ = io.CopyN(io.Discard, request.Body, e.readAfter)
	if e.reset {
		_ = conn.SetLinger(0)
	}
	if e.endsOutput {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// earlyTries is how often each early answer is tried: what is guarded against depends on which of two goroutines
// uses the connection first.
const earlyTries = 60

// TestEarlyAnswers guards against an answer that counts as whole although its target reset the connection while
// the call was still being written.
func TestEarlyAnswers(t *testing.T) {
	texts := map[string]string{
		"neither":  "HTTP/1.1 200 X\r\n\r\nwhole",
		"HTTP 1.0": "HTTP/1.0 200 X\r\n\r\nwhole",
		"500":      "HTTP/1.1 500 X\r\n\r\nwhole",
		"503":      "HTTP/1.1 503 X\r\n\r\nwhole",
	}
	broken := map[string]earlyEnd{
		"reset":                       {reset: true},
		"reset, a part read":          {reset: true, readBefore: 100_000},
		"closed":                      {},
		"closed, more read meanwhile": {readAfter: 1 << 20},
	}
	for name, text := range texts {
		for ending, end := range broken {
			t.Run(name+", "+ending, func(t *testing.T) {
				for range earlyTries {
					got := callEarly(t, "plain", text, end)
					if got.end() != nil || got.refusal().GetRunState() != wire.RunState_RUN_STATE_UNKNOWN {
						t.Errorf("%q counts as whole, refusal %v", got.text(), got.refusal())
					}
				}
			})
		}
		t.Run(name+", whole", func(t *testing.T) {
			for range 3 {
				got := callEarly(t, "plain", text, earlyEnd{endsOutput: true})
				if got.end() == nil || got.text() != "whole" {
					t.Errorf("%q, refusal %v", got.text(), got.refusal())
				}
			}
		})
	}
}

// TestEarlyRefusalsOfEngines guards against a chat that counts as not run although its engine broke off the
// answer that would have said so.
func TestEarlyRefusalsOfEngines(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for ending, end := range map[string]earlyEnd{"reset": {reset: true}, "closed": {}} {
			t.Run(fmt.Sprintf("%d, %s", status, ending), func(t *testing.T) {
				is := is.New(t)
				for range earlyTries / 4 {
					got := callEarly(t, "engine", fmt.Sprintf("HTTP/1.1 %d X\r\nRetry-After: 60\r\n\r\npart", status), end)
					is.Equal(got.end(), nil)
					is.Equal(got.refusal().GetRunState(), wire.RunState_RUN_STATE_UNKNOWN)
				}
			})
		}
	}
}

// callEarly makes a call with a long body at a target that answers early.
func callEarly(t *testing.T, targetID, text string, end earlyEnd) *replies {
	address, arrivals := earlyTarget(t, text, end)
	a := newCuttingAgent(t, &cuttingTarget{address: address})
	recorded := new(replies)
	p := a.targets[targetID]
	writer := &replyWriter{stream: recorded, id: "r", target: p}
	long := strings.Repeat("x", longBody)
	if targetID == "engine" {
		a.serveChat(t.Context(), p, &wire.Call{}, &wire.ChatWork{Model: "m", Body: []byte(`{"user":"` + long + `"}`)}, writer)
	} else {
		work := &wire.ServiceWork{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte(long)}
		a.serveService(t.Context(), p, &wire.Call{}, work, writer)
	}
	is.New(t).Equal(arrivals.Load(), int64(1))
	return recorded
}
