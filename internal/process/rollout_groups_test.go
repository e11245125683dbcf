package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/observe"
)

// TestRolloutInGroupsThatMeet guards against a rollout that ends twice, or that gateways take for ended in two
// ways, because groups of gateways that did not hear each other decided it, and met while it was going on.
func TestRolloutInGroupsThatMeet(t *testing.T) {
	cases := map[string]struct {
		bad   *emulator.Bad
		state string
	}{
		"good": {nil, emulator.StateCompleted},
		"bad":  {&emulator.Bad{Share: 0.4}, emulator.StateRolledBack},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := rolloutFleet(t, 0)
			f.startPartitions(t, 2, rolloutGateways/2)
			o := &orderedRollout{fleet: f, finalStates: new(finalStates), oldServers: f.versionServers}
			f.platform.Store.Observe(o.finalStates.observe)
			o.callers = f.startCallers(t)
			eventually(t, "callers are served", func() bool { return o.callers.sent.Load() > callerRate })
			o.newServers = f.addVersion(t, newVersion, test.bad)
			o.orderedAt = time.Now()
			_, err := f.platform.Order("plain", newVersion, rolloutDuration)
			is.NoErr(err)
			eventually(t, "all gateways know the order", func() bool {
				return len(o.processesWith(t, hasEvent(observe.EventRolloutOrdered))) == rolloutGateways
			})
			f.platform.Store.RefuseWrites("")
			eventually(t, "all gateways hear each other", func() bool { return f.allHeard(t) })
			eventually(t, "all gateways have recorded the end", func() bool {
				return len(o.processesWith(t, rolloutLogLine.hasRecordedEnd)) == rolloutGateways
			})
			o.callers.stop()
			t.Log(o.logLinesOf(observe.RolloutEvents))
			states, _ := o.finalStates.get()
			is.Equal(states, []string{test.state})
			for _, line := range o.rolloutLogLines(t) {
				is.True(!line.hasRecordedEnd() || line.State == test.state)
			}
		})
	}
}
