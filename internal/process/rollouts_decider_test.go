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
	// fleetShare and fleetSlack bound what a version on trial gets, as the fleet's settings
	// say, and fleetRollback for how long it gets anything after its end.
	fleetShare, fleetSlack = 0.1, 50
	fleetRollback          = 5 * time.Second
	// maxInFlight is what may be under way to a version when its requests are counted:
	// more than arrive in the time of an answer.
	maxInFlight = 8
	// storeRecoveryMargin is how long before the deadline a store comes back.
	storeRecoveryMargin = 1500 * time.Millisecond
	rolloutGateways = 4
)

// entry is a line of the log about a roll-out.
type rolloutLogLine struct {
	Event   string `json:"msg"`
	Process string `json:"process"`
	Version string `json:"version"`
	Stage   string `json:"stage"`
	State   string `json:"state"`
}

// entries are the lines about roll-outs so far.
func (f *fleet) rolloutLogLines(t *testing.T) []rolloutLogLine {
	t.Helper()
	var found []rolloutLogLine
	for line := range strings.Lines(f.logLinesOf(observe.RolloutEvents)) {
		var read rolloutLogLine
		if err := json.Unmarshal([]byte(line), &read); err != nil {
			t.Fatal(err)
		}
		found = append(found, read)
	}
	return found
}

// ended says that a process has learnt that the store has the end.
func (e rolloutLogLine) hasRecordedEnd() bool {
	return e.Event == observe.EventRolloutRecorded && e.State != emulator.StateRunning
}

// processesWith are those with such lines of the new version.
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

// logged is such a line.
func hasEvent(event string) func(rolloutLogLine) bool {
	return func(line rolloutLogLine) bool { return line.Event == event }
}

// awaitStage waits until a gateway allows a stage, and returns that one, which decides.
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

// closeGateway ends a gateway without a drain.
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

// endings are the final states that the store has had, with the time.
type finalStates struct {
	mu     sync.Mutex
	states []string
	lastAt     time.Time
}

// observe takes the store's changes; it is called with the store locked.
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

// ordered is a roll-out that is under way before real gateways.
type orderedRollout struct {
	*fleet
	callers  *callers
	old, new []*emulator.Server
	finalStates  *finalStates
	orderedAt       time.Time
}

// startOrderedRollout starts a fleet and its callers, and has the operators order a version.
func startOrderedRollout(t *testing.T, bad *emulator.Bad) *orderedRollout {
	t.Helper()
	f := rolloutFleet(t, rolloutGateways)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logLinesOf(observe.RolloutEvents), f.logLinesOf(observe.EventLate), f.logLinesOf(observe.EventPeerLost))
		}
	})
	o := &orderedRollout{fleet: f, finalStates: new(finalStates), old: f.versionServers}
	f.platform.Store.Observe(o.finalStates.observe)
	o.callers = f.startCallers(t)
	eventually(t, "callers are served", func() bool { return o.callers.sent.Load() > callerRate })
	o.new = f.addVersion(t, newVersion, bad)
	o.orderedAt = time.Now()
	if _, err := f.platform.Order("plain", newVersion, rolloutDuration); err != nil {
		t.Fatal(err)
	}
	return o
}

// countRunsBetween counts the requests that reached servers from a moment on, up to another.
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

// checkRolloutBounds checks that there was one end, what the version got until then, and that
// a version that was rolled back got nothing when the bound for that was over.
func (o *orderedRollout) checkRolloutBounds(t *testing.T) {
	t.Helper()
	is := is.New(t)
	states, at := o.finalStates.get()
	is.Equal(len(states), 1)
	exposed := countRunsBetween(o.new, o.orderedAt, at)
	requests := exposed + countRunsBetween(o.old, o.orderedAt, at)
	late := countRunsBetween(o.new, at.Add(fleetRollback), time.Now())
	t.Logf("%s %v after the order: %d of %d requests at the version, %d of them later than the bound", states[0], at.Sub(o.orderedAt), exposed, requests, late)
	is.True(float64(exposed) <= fleetShare*float64(requests)+fleetSlack+maxInFlight)
	is.True(states[0] == emulator.StateCompleted || late == 0)
}

// TestRolloutSurvivesDeciderLoss closes the gateway that decides: another one goes on.
func TestRolloutSurvivesDeciderLoss(t *testing.T) {
	eitherState := []string{emulator.StateCompleted, emulator.StateRolledBack}
	cases := map[string]struct {
		bad   *emulator.Bad
		stage string
		finalStates  []string
	}{
		"a good version in canary": {nil, "canary", eitherState[:1]},
		"a bad version in canary":  {&emulator.Bad{Share: 0.4}, "canary", eitherState[1:]},
		// The move has cost the share: what is left may not be enough for another one.
		"right after the move began": {nil, "move", eitherState},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := startOrderedRollout(t, test.bad)
			decider := o.awaitStage(t, test.stage)
			o.closeGateway(t, decider)
			eventually(t, "all others have the end", func() bool {
				others := o.processesWith(t, func(line rolloutLogLine) bool { return line.hasRecordedEnd() && line.Process != decider })
				return len(others) == rolloutGateways-1
			})
			o.callers.stop()
			t.Logf("%s decided\n%s", decider, o.logLinesOf(observe.RolloutEvents))
			o.checkRolloutBounds(t)
			states, _ := o.finalStates.get()
			is.True(slices.Contains(test.finalStates, states[0]))
		})
	}
}

// TestRolloutWithoutStore has the store down from the order on until a moment before
// the deadline: nothing is completed, and a bad version is halted everywhere.
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
				is.True(time.Now().Before(recovery)) // the store had no part in it
			}
			eventually(t, "the deadline is near", func() bool { return !time.Now().Before(recovery) })
			states, _ := o.finalStates.get()
			is.Equal(len(states), 0)
			for _, line := range o.rolloutLogLines(t) {
				is.True(line.Stage != "move") // which needs a store that answers
				is.True(!line.hasRecordedEnd())        // and nobody takes it for ended
			}
			o.platform.Store.SetFaults(emulator.StoreFaults{})
			eventually(t, "all have the end", func() bool {
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
