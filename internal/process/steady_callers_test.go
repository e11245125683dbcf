package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// usualRetrySlack is a retry slack as deployments have it: resting targets must not use it up.
	usualRetrySlack = 54
	// steadyEngines and steadyPlainTargets are how many targets there are of each service.
	steadyEngines = 10
	steadyPlainTargets   = 3
	// steadyInterval is the time between two callers, who come to each gateway in turn.
	steadyInterval = 7 * time.Millisecond
	// steadyPrompts is how many prompts the callers have between them.
	steadyPrompts = 40
)

// steadyFleet is some gateways before engines and plain targets that work for a moment.
func steadyFleet(t *testing.T, gateways int) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.leave, f.retrySlack = 2*time.Second, usualRetrySlack
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
	var seeds []string
	for i := range gateways {
		f.gateways = append(f.gateways, f.startGateway(t, gatewayName(i), seeds))
		seeds = append(seeds, f.gateways[i].Addresses().Link)
	}
	f.awaitReady(t)
	return f
}

func (f *fleet) steadyServer(t *testing.T, service, id string) *emulator.Server {
	t.Helper()
	// Long enough that requests overlap, and no target has them all for being the fastest.
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

// gatewayInRequestID is the life of the gateway to which the caller of a request sent it.
func gatewayInRequestID(request string) string {
	gateway, _, _ := strings.Cut(request, "-")
	return gateway
}

// steadyCallers send requests of all kinds to each gateway in turn.
type steadyCallers struct {
	// engines and plain count those of the engines' and of the plain targets' routes.
	engines, plain requestCounts
	cancel         context.CancelFunc
	wait           sync.WaitGroup
}

// served counts requests and those that were answered with success.
type requestCounts struct {
	sent, succeeded atomic.Int64
	failures   failureCounts
}

func (s *requestCounts) record(got answer) {
	s.sent.Add(1)
	if got.err == nil && got.status == http.StatusOK {
		s.succeeded.Add(1)
		return
	}
	s.failures.record(got)
}

// share is the share of them that was served.
func (s *requestCounts) successRate() float64 {
	return float64(s.succeeded.Load()) / float64(max(s.sent.Load(), 1))
}

func (f *fleet) startSteadyCallers(t *testing.T) *steadyCallers {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &steadyCallers{cancel: cancel}
	paths := []string{"/chat/1", "/ask/1", "/chat/2", "/pay/1"}
	repeat(ctx, &c.wait, steadyInterval, func(number int) {
		// Another gateway for the same path in the next round.
		gateway := (number + number/len(paths)) % len(f.gateways)
		c.ask(f, gateway, paths[number%len(paths)], number)
	})
	t.Cleanup(c.stop)
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

// keepRunning lets the callers go on for a while.
func keepRunning(t *testing.T, length time.Duration) {
	t.Helper()
	until := time.Now().Add(length)
	eventually(t, "the callers have gone on", func() bool { return time.Now().After(until) })
}

// checkNoticesHeeded checks that no gateway went on as if a target had said nothing.
func (f *fleet) checkNoticesHeeded(t *testing.T, servers ...*emulator.Server) {
	t.Helper()
	said := 0
	for _, server := range servers {
		said += len(server.Said())
		for _, wrong := range server.Disregarded(gatewayInRequestID) {
			t.Error(wrong)
		}
	}
	is.New(t).True(said > 0) // nothing was said
}

// logSuccessRates says how callers were served. How many are depends on what else the machine does;
// that all are is checked in virtual time (gateway.TestRestingTargetGetsOneProbe,
// TestServiceDuringTargetLeave).
func logSuccessRates(t *testing.T, c *steadyCallers) {
	t.Helper()
	t.Logf("served: %.3f of %d at engines, %.3f of %d at plain targets; not served:%s%s", c.engines.successRate(), c.engines.sent.Load(), c.plain.successRate(), c.plain.sent.Load(), &c.engines.failures, &c.plain.failures)
}
