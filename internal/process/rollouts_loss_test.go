package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/observe"
)

// TestARolloutOutlivesAGateway: a good version is completed although a gateway is lost when
// half of the order's time is over, whether that one decides or not, and whether it stays away
// or begins anew.
func TestARolloutOutlivesAGateway(t *testing.T) {
	cases := map[string]struct{ decider, anew bool }{
		"the one that decides":              {true, false},
		"another one":                       {false, false},
		"the one that decides, begun again": {true, true},
		"another one, begun again":          {false, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := orderTrial(t, nil)
			decides := o.awaitStage(t, "canary")
			halfway := o.at.Add(orderTime / 2)
			eventually(t, "half of the time is over", func() bool { return time.Now().After(halfway) })
			lost := decides
			for number := 0; !test.decider && lost == decides; number++ {
				lost = gatewayName(number)
			}
			if test.anew {
				o.replaceGateway(t, gatewayNumber(lost))
			} else {
				o.closeGateway(t, lost)
			}
			eventually(t, "all others have the end", func() bool {
				others := o.processesOf(t, func(found entry) bool { return found.ended() && found.Process != lost })
				return len(others) == trialSize-1
			})
			o.callers.stop()
			t.Logf("%s decided, %s was lost\n%s", decides, lost, o.linesOf(observe.RolloutEvents))
			o.checkBounds(t)
			states, _ := o.endings.get()
			is.Equal(states, []string{emulator.StateCompleted})
		})
	}
}

// gatewayNumber is the number of the gateway with a name.
func gatewayNumber(name string) int {
	for number := range trialSize {
		if gatewayName(number) == name {
			return number
		}
	}
	return -1
}
