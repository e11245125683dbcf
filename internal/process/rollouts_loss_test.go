package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/observe"
)

// TestRolloutSurvivesGatewayLoss checks that a good version is completed although a gateway is
// lost halfway through the order's time, whether or not it is the decider, and whether or not it
// restarts.
func TestRolloutSurvivesGatewayLoss(t *testing.T) {
	cases := map[string]struct{ decider, restart bool }{
		"decider lost":           {true, false},
		"other gateway lost":     {false, false},
		"decider restarts":       {true, true},
		"other gateway restarts": {false, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := startOrderedRollout(t, nil)
			decider := o.awaitStage(t, "canary")
			halfway := o.orderedAt.Add(rolloutDuration / 2)
			eventually(t, "half of the time is over", func() bool { return time.Now().After(halfway) })
			lost := decider
			for number := 0; !test.decider && lost == decider; number++ {
				lost = gatewayName(number)
			}
			if test.restart {
				o.replaceGateway(t, gatewayNumber(lost))
			} else {
				o.closeGateway(t, lost)
			}
			eventually(t, "all other gateways have recorded the end", func() bool {
				finished := o.processesWith(t, func(line rolloutLogLine) bool { return line.hasRecordedEnd() && line.Process != lost })
				return len(finished) == rolloutGateways-1
			})
			o.callers.stop()
			t.Logf("%s decided, %s was lost\n%s", decider, lost, o.logLinesOf(observe.RolloutEvents))
			o.checkRolloutBounds(t)
			states, _ := o.finalStates.get()
			is.Equal(states, []string{emulator.StateCompleted})
		})
	}
}

// gatewayNumber returns the number of the gateway with a name.
func gatewayNumber(name string) int {
	for number := range rolloutGateways {
		if gatewayName(number) == name {
			return number
		}
	}
	return -1
}
