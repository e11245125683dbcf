package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// brokenService is a plain service that answers each call with the same bytes before it has read all of it, and
// then resets the connection.
type brokenService struct {
	text atomic.Pointer[string]
}

// startBrokenService starts the service with an agent.
func (f *fixture) startBrokenService(id string) *brokenService {
	f.t.Helper()
	listener, err := net.Listen("tcp", f.freePort())
	is.New(f.t).NoErr(err)
	f.t.Cleanup(func() { _ = listener.Close() })
	service := new(brokenService)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go service.serve(conn.(*net.TCPConn))
		}
	}()
	f.targetURLs[id] = "http://" + listener.Addr().String()
	f.addAgent(id, "service", "topup")
	return service
}

func (s *brokenService) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.ContentLength < longBody {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, *s.text.Load())
	if request.ContentLength >= longBody {
		_ = conn.SetLinger(0)
	}
}

// longBody is the size of a body that takes long enough to be written for its answer to arrive meanwhile.
const longBody = 3 << 20

// TestBrokenAnswers guards against routers and agents that pass on bytes which are no answer, or a part of an
// answer as the whole one: its service broke it off while a long call was still being written.
func TestBrokenAnswers(t *testing.T) {
	const tries = 60
	f := newFixture(t)
	f.addRouter("r0")
	service := f.startBrokenService("broken")
	f.configure("r0")
	sound := "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwhole"
	service.text.Store(&sound)
	serves := func() bool { return f.send("r0", "/v1/services/topup/report", nil, "{}").body == "whole" }
	f.waitUntil("a call is served", serves)
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run("cut, "+strconv.Itoa(status), func(t *testing.T) {
			text := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\n\r\npart"
			service.text.Store(&text)
			for range tries {
				// What has been passed on before the service broke off is broken off too.
				got := f.send("r0", "/v1/services/topup/report", nil, strings.Repeat("x", longBody))
				if got.err == nil {
					checkBroken(t, got)
				}
			}
		})
	}
	for name, text := range emulator.BrokenResponses("X-Header: 1\r\n") {
		t.Run(name, func(t *testing.T) {
			service.text.Store(&text)
			checkBroken(t, f.send("r0", "/v1/services/topup/report", nil, "{}"))
		})
	}
	service.text.Store(&sound)
	f.waitUntil("a call is served again", serves)
}

// checkBroken checks that a caller learns that the outcome of its call is unknown.
func checkBroken(t *testing.T, got httpResult) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("Capersaddle-Run-State"), "unknown")
	is.Equal(got.header.Get("X-Header"), "")
	is.True(!strings.Contains(got.body, "part"))
}
