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
	// mostUnderWay is what may be under way to a version when its requests are counted:
	// more than arrive in the time of an answer.
	mostUnderWay = 8
	// storeBack is how long before the deadline a store comes back.
	storeBack = 1500 * time.Millisecond
	trialSize = 4
)

// entry is a line of the log about a roll-out.
type entry struct {
	Event   string `json:"msg"`
	Process string `json:"process"`
	Version string `json:"version"`
	Stage   string `json:"stage"`
	State   string `json:"state"`
}

// entries are the lines about roll-outs so far.
func (f *fleet) entries(t *testing.T) []entry {
	t.Helper()
	var found []entry
	for line := range strings.Lines(f.linesOf(observe.RolloutEvents)) {
		var read entry
		if err := json.Unmarshal([]byte(line), &read); err != nil {
			t.Fatal(err)
		}
		found = append(found, read)
	}
	return found
}

// ended says that a process has learnt that the store has the end.
func (e entry) ended() bool {
	return e.Event == observe.EventRolloutRecorded && e.State != emulator.StateRunning
}

// processesOf are those with such lines of the new version.
func (f *fleet) processesOf(t *testing.T, such func(entry) bool) []string {
	t.Helper()
	var names []string
	for _, found := range f.entries(t) {
		if found.Version == newVersion && such(found) {
			names = append(names, found.Process)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// logged is such a line.
func logged(event string) func(entry) bool {
	return func(found entry) bool { return found.Event == event }
}

// awaitStage waits until a gateway allows a stage, and returns that one, which decides.
func (f *fleet) awaitStage(t *testing.T, stage string) string {
	t.Helper()
	decides := ""
	eventually(t, "a gateway allows "+stage, func() bool {
		for _, found := range f.entries(t) {
			if found.Event == observe.EventRolloutStage && found.Stage == stage {
				decides = found.Process
			}
		}
		return decides != ""
	})
	return decides
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
type endings struct {
	mu     sync.Mutex
	states []string
	at     time.Time
}

// observe takes the store's changes; it is called with the store locked.
func (e *endings) observe(changed emulator.Item) {
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
	e.at = time.Now()
}

func (e *endings) get() ([]string, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.states), e.at
}

// ordered is a roll-out that is under way before real gateways.
type ordered struct {
	*fleet
	callers  *callers
	old, new []*emulator.Server
	endings  *endings
	at       time.Time
}

// orderTrial starts a fleet and its callers, and has the operators order a version.
func orderTrial(t *testing.T, bad *emulator.Bad) *ordered {
	t.Helper()
	f := trialFleet(t, trialSize)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.linesOf(observe.RolloutEvents), f.linesOf(observe.EventProcessLate), f.linesOf(observe.EventPeerLost))
		}
	})
	o := &ordered{fleet: f, endings: new(endings), old: f.versionServers}
	f.platform.Store.Observe(o.endings.observe)
	o.callers = f.startCallers(t)
	eventually(t, "callers are served", func() bool { return o.callers.sent.Load() > trialRate })
	o.new = f.addVersion(t, newVersion, bad)
	o.at = time.Now()
	if _, err := f.platform.Order("plain", newVersion, orderTime); err != nil {
		t.Fatal(err)
	}
	return o
}

// runsSince counts the requests that reached servers from a moment on, up to another.
func runsSince(servers []*emulator.Server, from, until time.Time) int {
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

// checkBounds checks that there was one end, what the version got until then, and that
// a version that was rolled back got nothing when the bound for that was over.
func (o *ordered) checkBounds(t *testing.T) {
	t.Helper()
	is := is.New(t)
	states, at := o.endings.get()
	is.Equal(len(states), 1)
	exposed := runsSince(o.new, o.at, at)
	requests := exposed + runsSince(o.old, o.at, at)
	late := runsSince(o.new, at.Add(fleetRollback), time.Now())
	t.Logf("%s %v after the order: %d of %d requests at the version, %d of them later than the bound", states[0], at.Sub(o.at), exposed, requests, late)
	is.True(float64(exposed) <= fleetShare*float64(requests)+fleetSlack+mostUnderWay)
	is.True(states[0] == emulator.StateCompleted || late == 0)
}

// TestRolloutsOutliveTheDecider closes the gateway that decides: another one goes on.
func TestRolloutsOutliveTheDecider(t *testing.T) {
	either := []string{emulator.StateCompleted, emulator.StateRolledBack}
	cases := map[string]struct {
		bad   *emulator.Bad
		stage string
		ends  []string
	}{
		"a good version in canary": {nil, "canary", either[:1]},
		"a bad version in canary":  {&emulator.Bad{Share: 0.4}, "canary", either[1:]},
		// The move has cost the share: what is left may not be enough for another one.
		"right after the move began": {nil, "move", either},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := orderTrial(t, test.bad)
			decides := o.awaitStage(t, test.stage)
			o.closeGateway(t, decides)
			eventually(t, "all others have the end", func() bool {
				others := o.processesOf(t, func(found entry) bool { return found.ended() && found.Process != decides })
				return len(others) == trialSize-1
			})
			o.callers.stop()
			t.Logf("%s decided\n%s", decides, o.linesOf(observe.RolloutEvents))
			o.checkBounds(t)
			states, _ := o.endings.get()
			is.True(slices.Contains(test.ends, states[0]))
		})
	}
}

// TestRolloutsWithoutTheStore has the store down from the order on until a moment before
// the deadline: nothing is completed, and a bad version is halted everywhere.
func TestRolloutsWithoutTheStore(t *testing.T) {
	cases := map[string]*emulator.Bad{
		"good": nil,
		"bad":  {Share: 0.4},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := orderTrial(t, bad)
			eventually(t, "all gateways know the order", func() bool {
				return len(o.processesOf(t, logged(observe.EventRolloutOrdered))) == trialSize
			})
			o.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
			back := o.at.Add(orderTime - storeBack)
			if bad != nil {
				eventually(t, "all gateways have halted the version", func() bool {
					return len(o.processesOf(t, logged(observe.EventRolloutHalted))) == trialSize
				})
				is.True(time.Now().Before(back)) // the store had no part in it
			}
			eventually(t, "the deadline is near", func() bool { return !time.Now().Before(back) })
			states, _ := o.endings.get()
			is.Equal(len(states), 0)
			for _, found := range o.entries(t) {
				is.True(found.Stage != "move") // which needs a store that answers
				is.True(!found.ended())        // and nobody takes it for ended
			}
			o.platform.Store.SetFaults(emulator.StoreFaults{})
			eventually(t, "all have the end", func() bool {
				return len(o.processesOf(t, entry.ended)) == trialSize
			})
			o.callers.stop()
			t.Log(o.linesOf(observe.RolloutEvents))
			o.checkBounds(t)
			states, _ = o.endings.get()
			is.True(bad == nil || states[0] == emulator.StateRolledBack)
		})
	}
}
