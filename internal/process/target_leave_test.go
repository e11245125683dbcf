package process_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestTargetsLeaveByAnswer checks that a gateway sends nothing more to a target whose answers
// announce its leave, whatever the target's entry in the store says.
//
// It guards against gateways that heed only entries and connections: while the store was down for
// 13.3 s, the entry could not announce the leave, and all four gateways kept sending until 4 ms
// after the store had accepted it, although nine targets were available without waiting. Two
// gateways sent requests 11.2 and 11.5 s after such an answer; the limit is 2 s. In these tests
// only the answers announce the leave.
func TestTargetsLeaveByAnswer(t *testing.T) {
	registerAgain := func(t *testing.T, f *fleet, leaving ...*emulator.Server) {
		t.Helper()
		for _, server := range leaving {
			service, _, _ := strings.Cut(server.ID(), "-")
			if err := f.platform.Enter(service, "zone", "ready", server); err != nil {
				t.Error(err)
			}
		}
	}
	cases := map[string]struct {
		disrupt func(t *testing.T, f *fleet, leaving ...*emulator.Server)
	}{
		"entries still say ready": {func(t *testing.T, f *fleet, leaving ...*emulator.Server) {
			for range 5 {
				keepRunning(t, 600*time.Millisecond)
				registerAgain(t, f, leaving...)
			}
		}},
		"store does not answer": {func(t *testing.T, f *fleet, _ ...*emulator.Server) {
			f.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
			keepRunning(t, 3*time.Second)
		}},
		"gateway restarts": {func(t *testing.T, f *fleet, _ ...*emulator.Server) {
			f.replaceGateway(t, 1)
			keepRunning(t, 3*time.Second)
		}},
		"entries lapse and return": {func(t *testing.T, f *fleet, leaving ...*emulator.Server) {
			for _, server := range leaving {
				f.platform.Leave(server)
			}
			keepRunning(t, 2500*time.Millisecond)
			registerAgain(t, f, leaving...)
			keepRunning(t, 2*time.Second)
		}},
		"all entries lapse and return": {func(t *testing.T, f *fleet, leaving ...*emulator.Server) {
			for _, server := range append(f.engines, f.plain...) {
				f.platform.Leave(server)
			}
			keepRunning(t, time.Second)
			registerAgain(t, f, append(f.engines, f.plain...)...)
			keepRunning(t, 2500*time.Millisecond)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := steadyFleet(t, 4)
			c := f.startSteadyCallers(t)
			keepRunning(t, 500*time.Millisecond)
			leaving := []*emulator.Server{f.engines[0], f.engines[1], f.plain[0]}
			for _, server := range leaving {
				server.SetNotice(emulator.Notice{Leaving: true})
			}
			keepRunning(t, 300*time.Millisecond)
			test.disrupt(t, f, leaving...)
			c.stop()
			f.checkNoticesHeeded(t, leaving...)
			logSuccessRates(t, c)
		})
	}
}

// TestAllTargetsLeave checks that callers are refused without delay and with the right run state
// when all targets of a service leave, and served as soon as a new target joins.
func TestAllTargetsLeave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := steadyFleet(t, 4)
	c := f.startSteadyCallers(t)
	keepRunning(t, 300*time.Millisecond)
	for _, server := range f.plain {
		server.SetNotice(emulator.Notice{Leaving: true})
	}
	keepRunning(t, 2500*time.Millisecond)
	start := time.Now()
	refused := f.callWithBody(0, "/pay/1", "0-refused", "body")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(refused.body, `"run_state":"not_run"`))
	is.True(refused.header.Get("Retry-After") != "")
	is.True(time.Since(start) < time.Second) // without waiting for the deadline
	joined := f.steadyServer(t, "plain", "plain-joined")
	eventually(t, "the new target serves", func() bool {
		return f.callWithBody(0, "/pay/1", "0-served", "body").status == http.StatusOK
	})
	keepRunning(t, 300*time.Millisecond)
	c.stop()
	is.True(len(joined.Runs()) > 1)
	f.checkNoticesHeeded(t, f.plain...)
	logSuccessRates(t, c)
}

// TestTargetRestartAfterLeave checks that a restarted target gets requests although its previous
// instance announced its leave.
func TestTargetRestartAfterLeave(t *testing.T) {
	t.Parallel()
	f := steadyFleet(t, 2)
	c := f.startSteadyCallers(t)
	keepRunning(t, 300*time.Millisecond)
	left := f.plain[0]
	left.SetNotice(emulator.Notice{Leaving: true})
	keepRunning(t, 2500*time.Millisecond)
	restarted, err := f.platform.Restart(left)
	is.New(t).NoErr(err)
	eventually(t, "the restarted target gets requests", func() bool { return len(restarted.Runs()) > 0 })
	c.stop()
	f.checkNoticesHeeded(t, left)
}
