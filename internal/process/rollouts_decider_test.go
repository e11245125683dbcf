package process_test

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/observe"
)

const (
	// fleetShare and fleetSlack limit the requests to a version on trial, as in the fleet's
	// settings; after its end it may get requests for fleetRollback.
	fleetShare, fleetSlack = 0.1, 50
	fleetRollback          = 5 * time.Second
	// maxInFlight limits the requests in flight to a version when its requests are counted: more
	// than arrive in the time of one answer.
	maxInFlight = 8
	// storeRecoveryMargin is how long before the deadline the store recovers.
	storeRecoveryMargin = 1500 * time.Millisecond
	rolloutGateways     = 4
)

// rolloutLogLine is a log line about a rollout.
type rolloutLogLine struct {
	Event   string `json:"msg"`
	Process string `json:"process"`
	Version string `json:"version"`
	Stage   string `json:"stage"`
	State   string `json:"state"`
}

// rolloutLogLines returns the log lines about rollouts so far.
func (f *fleet) rolloutLogLines(t *testing.T) []rolloutLogLine {
	t.Helper()
	var lines []rolloutLogLine
	for line := range strings.Lines(f.logLinesOf(observe.RolloutEvents)) {
		var parsed rolloutLogLine
		if err := json.Unmarshal([]byte(line), &parsed); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, parsed)
	}
	return lines
}

// hasRecordedEnd reports whether the line shows that a process knows the end of the rollout from
// the store.
func (e rolloutLogLine) hasRecordedEnd() bool {
	return e.Event == observe.EventRolloutRecorded && e.State != emulator.StateRunning
}

// processesWith returns the processes that logged a matching line about the new version.
func (f *fleet) processesWith(t *testing.T, matches func(rolloutLogLine) bool) []string {
	t.Helper()
	var names []string
	for _, line := range f.rolloutLogLines(t) {
		if line.Version == newVersion && matches(line) {
			names = append(names, line.Process)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// hasEvent matches the lines of an event.
func hasEvent(event string) func(rolloutLogLine) bool {
	return func(line rolloutLogLine) bool { return line.Event == event }
}

// awaitStage waits until a gateway allows a stage, and returns that gateway, which is the
// decider.
func (f *fleet) awaitStage(t *testing.T, stage string) string {
	t.Helper()
	decider := ""
	eventually(t, "a gateway allows "+stage, func() bool {
		for _, line := range f.rolloutLogLines(t) {
			if line.Event == observe.EventRolloutStage && line.Stage == stage {
				decider = line.Process
			}
		}
		return decider != ""
	})
	return decider
}

// closeGateway stops a gateway without a drain.
func (f *fleet) closeGateway(t *testing.T, name string) {
	t.Helper()
	for i, gateway := range f.gateways {
		if gatewayName(i) == name {
			_ = gateway.Close()
			return
		}
	}
	t.Fatalf("no gateway %q", name)
}

// finalStates collects the final states of the rollout in the store and the time of the last one.
type finalStates struct {
	mu     sync.Mutex
	states []string
	lastAt time.Time
}

// observe receives the store's changes; it is called with the store locked.
func (e *finalStates) observe(changed emulator.Item) {
	var status emulator.Status
	if changed.Key != "status/rollout/plain" || json.Unmarshal(changed.Value, &status) != nil {
		return
	}
	if status.State == emulator.StateRunning {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states = append(e.states, status.State)
	e.lastAt = time.Now()
}

func (e *finalStates) get() ([]string, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.states), e.lastAt
}

// orderedRollout is a rollout in progress on a fleet of gateways.
type orderedRollout struct {
	*fleet
	callers                *callers
	oldServers, newServers []*emulator.Server
	finalStates            *finalStates
	orderedAt              time.Time
}

// startOrderedRollout starts a fleet and its callers and orders a new version.
func startOrderedRollout(t *testing.T, bad *emulator.Bad) *orderedRollout {
	t.Helper()
	f := rolloutFleet(t, rolloutGateways)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logLinesOf(observe.RolloutEvents), f.logLinesOf(observe.EventProcessLate), f.logLinesOf(observe.EventPeerLost))
		}
	})
	o := &orderedRollout{fleet: f, finalStates: new(finalStates), oldServers: f.versionServers}
	f.platform.Store.Observe(o.finalStates.observe)
	o.callers = f.startCallers(t)
	eventually(t, "callers are served", func() bool { return o.callers.sent.Load() > callerRate })
	o.newServers = f.addVersion(t, newVersion, bad)
	o.orderedAt = time.Now()
	if _, err := f.platform.Order("plain", newVersion, rolloutDuration); err != nil {
		t.Fatal(err)
	}
	return o
}

// countRunsBetween counts the requests that reached servers in a period.
func countRunsBetween(servers []*emulator.Server, from, until time.Time) int {
	count := 0
	for _, server := range servers {
		for _, run := range server.Runs() {
			if !run.At.Before(from) && run.At.Before(until) {
				count++
			}
		}
	}
	return count
}

// checkRolloutBounds checks that the rollout ended once, how many requests the version got until
// then, and that a version that was rolled back got none after the rollback limit.
func (o *orderedRollout) checkRolloutBounds(t *testing.T) {
	t.Helper()
	is := is.New(t)
	states, at := o.finalStates.get()
	is.Equal(len(states), 1)
	exposed := countRunsBetween(o.newServers, o.orderedAt, at)
	requests := exposed + countRunsBetween(o.oldServers, o.orderedAt, at)
	lateRuns := countRunsBetween(o.newServers, at.Add(fleetRollback), time.Now())
	t.Logf("%s %v after the order: %d of %d requests at the new version, %d after the rollback limit", states[0], at.Sub(o.orderedAt), exposed, requests, lateRuns)
	is.True(float64(exposed) <= fleetShare*float64(requests)+fleetSlack+maxInFlight)
	is.True(states[0] == emulator.StateCompleted || lateRuns == 0)
}

// TestRolloutSurvivesDeciderLoss closes the gateway that decides and checks that another one
// takes over.
func TestRolloutSurvivesDeciderLoss(t *testing.T) {
	eitherState := []string{emulator.StateCompleted, emulator.StateRolledBack}
	cases := map[string]struct {
		bad         *emulator.Bad
		stage       string
		finalStates []string
	}{
		"good version in canary": {nil, "canary", eitherState[:1]},
		"bad version in canary":  {&emulator.Bad{Share: 0.4}, "canary", eitherState[1:]},
		// The move has used up the share, so another move may not fit.
		"good version in move": {nil, "move", eitherState},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := startOrderedRollout(t, test.bad)
			decider := o.awaitStage(t, test.stage)
			o.closeGateway(t, decider)
			eventually(t, "all other gateways have recorded the end", func() bool {
				finished := o.processesWith(t, func(line rolloutLogLine) bool { return line.hasRecordedEnd() && line.Process != decider })
				return len(finished) == rolloutGateways-1
			})
			o.callers.stop()
			t.Logf("%s decided\n%s", decider, o.logLinesOf(observe.RolloutEvents))
			o.checkRolloutBounds(t)
			states, _ := o.finalStates.get()
			is.True(slices.Contains(test.finalStates, states[0]))
		})
	}
}

// TestRolloutWithoutStore checks that, while the store is down from the order until just before
// the deadline, nothing is completed and a bad version is halted everywhere.
func TestRolloutWithoutStore(t *testing.T) {
	cases := map[string]*emulator.Bad{
		"good": nil,
		"bad":  {Share: 0.4},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := startOrderedRollout(t, bad)
			eventually(t, "all gateways know the order", func() bool {
				return len(o.processesWith(t, hasEvent(observe.EventRolloutOrdered))) == rolloutGateways
			})
			o.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
			recovery := o.orderedAt.Add(rolloutDuration - storeRecoveryMargin)
			if bad != nil {
				eventually(t, "all gateways have halted the version", func() bool {
					return len(o.processesWith(t, hasEvent(observe.EventRolloutHalted))) == rolloutGateways
				})
				is.True(time.Now().Before(recovery)) // halted without the store
			}
			eventually(t, "the deadline is near", func() bool { return !time.Now().Before(recovery) })
			states, _ := o.finalStates.get()
			is.Equal(len(states), 0)
			for _, line := range o.rolloutLogLines(t) {
				is.True(line.Stage != "move")   // a move needs the store
				is.True(!line.hasRecordedEnd()) // and no gateway takes the rollout for ended
			}
			o.platform.Store.SetFaults(emulator.StoreFaults{})
			eventually(t, "all gateways have recorded the end", func() bool {
				return len(o.processesWith(t, rolloutLogLine.hasRecordedEnd)) == rolloutGateways
			})
			o.callers.stop()
			t.Log(o.logLinesOf(observe.RolloutEvents))
			o.checkRolloutBounds(t)
			states, _ = o.finalStates.get()
			is.True(bad == nil || states[0] == emulator.StateRolledBack)
		})
	}
}
