package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/explain"
	"github.com/capersaddle/capersaddle/internal/observe"
)

const (
	// usualRetrySlack is a retry slack as used in deployments, which resting targets must not use
	// up.
	usualRetrySlack = 54
	// steadyEngines and steadyPlainTargets are the numbers of targets of each service.
	steadyEngines      = 10
	steadyPlainTargets = 3
	// steadyInterval is the time between two requests, which go to each gateway in turn.
	steadyInterval = 7 * time.Millisecond
	// steadyPrompts is the number of distinct prompts of all callers.
	steadyPrompts = 40
)

// steadyFleet starts gateways in front of engines and plain targets with a short working time.
func steadyFleet(t *testing.T, gateways int) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.leave, f.retrySlack = 2*time.Second, usualRetrySlack
	f.revocation = 0 // Callers are served without the store for as long as a test lasts.
	for _, server := range append(f.engines, f.plain...) {
		f.platform.Leave(server)
	}
	f.engines, f.plain = nil, nil
	for i := range steadyEngines {
		f.engines = append(f.engines, f.steadyServer(t, "engine", fmt.Sprintf("engine-%d", i)))
	}
	for i := range steadyPlainTargets {
		f.plain = append(f.plain, f.steadyServer(t, "plain", fmt.Sprintf("plain-%d", i)))
	}
	f.startGateways(t, gateways)
	return f
}

func (f *fleet) steadyServer(t *testing.T, service, id string) *emulator.Server {
	t.Helper()
	// The work takes long enough that requests overlap; otherwise the fastest target would get
	// all of them.
	options := emulator.ServerOptions{ID: id, Work: 60 * time.Millisecond, KeepsID: true}
	if service == "engine" {
		options.Work, options.Events, options.Gap = 10*time.Millisecond, 6, 10*time.Millisecond
	}
	server, err := f.platform.AddServer(service, "zone", "127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// gatewayInRequestID returns the gateway instance, by its port, that a request was first sent to.
func gatewayInRequestID(request string) string {
	gateway, _, _ := strings.Cut(request, "-")
	return gateway
}

// steadyCallers sends requests of all kinds to each gateway in turn.
type steadyCallers struct {
	// engines and plain count the requests on the routes to engines and to plain targets.
	engines, plain requestCounts
	cancel         context.CancelFunc
	wait           sync.WaitGroup
}

// requestCounts counts requests sent and those that succeeded.
type requestCounts struct {
	sent, succeeded atomic.Int64
	failures        failureCounts
}

func (s *requestCounts) record(got answer) {
	s.sent.Add(1)
	if got.err == nil && got.status == http.StatusOK {
		s.succeeded.Add(1)
		return
	}
	s.failures.record(got)
}

// successRate returns the fraction of requests that succeeded.
func (s *requestCounts) successRate() float64 {
	return float64(s.succeeded.Load()) / float64(max(s.sent.Load(), 1))
}

func (f *fleet) startSteadyCallers(t *testing.T) *steadyCallers {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &steadyCallers{cancel: cancel}
	paths := []string{"/chat/1", "/ask/1", "/chat/2", "/pay/1"}
	repeat(ctx, &c.wait, steadyInterval, func(number int) {
		// Shift the gateway by one after each round of paths.
		gateway := (number + number/len(paths)) % len(f.gateways)
		c.ask(f, gateway, paths[number%len(paths)], number)
	})
	t.Cleanup(func() {
		c.stop()
		if t.Failed() {
			logSuccessRates(t, c)
		}
	})
	return c
}

func (c *steadyCallers) ask(f *fleet, gateway int, path string, number int) {
	_, port, _ := net.SplitHostPort(f.callerAddress(gateway))
	id := fmt.Sprintf("%s-%d", port, number)
	got := f.callWithPrompt(gateway, http.MethodPost, path, id, "key-1", fmt.Sprintf("aa:100,p%d:600,%s:10", number%steadyPrompts, id))
	if strings.HasPrefix(path, "/chat") {
		c.engines.record(got)
		return
	}
	c.plain.record(got)
}

func (c *steadyCallers) stop() {
	c.cancel()
	c.wait.Wait()
}

// keepRunning waits while the callers continue.
func keepRunning(t *testing.T, length time.Duration) {
	t.Helper()
	until := time.Now().Add(length)
	eventually(t, "the time is over", func() bool { return time.Now().After(until) })
}

// checkNoticesHeeded checks that no gateway disregarded the notices of the servers.
func (f *fleet) checkNoticesHeeded(t *testing.T, servers ...*emulator.Server) {
	t.Helper()
	notices := 0
	lines, _, err := explain.Read(strings.NewReader(f.log.String()))
	is.New(t).NoErr(err)
	for _, server := range servers {
		notices += len(server.SentNotices())
		readAt := func(sent emulator.SentNotice) (time.Time, bool) { return noticeReadAt(lines, server.ID(), sent) }
		for _, violation := range server.IgnoredNotices(gatewayInRequestID, readAt) {
			t.Error(violation)
			f.logRequests(t, violation)
		}
	}
	is.New(t).True(notices > 0) // fails if the servers sent no notice
}

// noticeReadAt returns when a gateway read a server's response with a notice, by the gateways'
// log lines. It returns false if the gateway had ended the attempt before the response came, and
// the time of the response if the log does not tell.
func noticeReadAt(lines []explain.Line, server string, sent emulator.SentNotice) (time.Time, bool) {
	request := fmt.Sprintf(`"request":%q`, sent.Request)
	for _, line := range lines {
		if line.Event == observe.EventTargetResting && line.Target == server && strings.Contains(line.Raw, request) {
			at, err := time.Parse(time.RFC3339Nano, line.Time)
			return at, err == nil
		}
		if line.ID == sent.Request && gaveUpOn(server, line.Attempts) {
			return time.Time{}, false
		}
	}
	return sent.At, true
}

// gaveUpOn reports whether one of a request's attempts ended before its server responded.
func gaveUpOn(server, attempts string) bool {
	return slices.ContainsFunc(strings.Fields(attempts), func(attempt string) bool {
		return strings.HasPrefix(attempt, server+"@") && strings.Contains(attempt, "=silent(")
	})
}

// logRequests logs what the gateways logged of the request whose answer carried a notice and of
// those that were sent after it.
func (f *fleet) logRequests(t *testing.T, violation emulator.IgnoredNotice) {
	t.Helper()
	ids := []string{violation.Notice.Request}
	for _, run := range violation.Late {
		ids = append(ids, run.ID)
	}
	for line := range strings.Lines(f.log.String()) {
		isOne := func(id string) bool { return strings.Contains(line, fmt.Sprintf(`"id":%q`, id)) }
		if slices.ContainsFunc(ids, isOne) {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// logSuccessRates logs the success rates. They depend on the load of the machine, so they are not
// checked here; tests in virtual time check that all requests are served
// (gateway.TestBackingOffTargetGetsOneProbe, TestServiceDuringTargetLeave).
func logSuccessRates(t *testing.T, c *steadyCallers) {
	t.Helper()
	t.Logf("served: %.3f of %d at engines, %.3f of %d at plain targets; failures:%s%s", c.engines.successRate(), c.engines.sent.Load(), c.plain.successRate(), c.plain.sent.Load(), &c.engines.failures, &c.plain.failures)
}
