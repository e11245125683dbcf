package gateway

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// During a planned stop, a request that this process may have to cut off is refused while no target
// has received it: its caller then gets the whole answer from another gateway. Where no other one
// serves, half of an answer is worth more than a refusal. Source: docs/design/platform.md.

// stopDeviations is how many mean deviations above the mean an answer may take that is expected to
// end in time. About one in twelve takes longer if the times are spread exponentially, and none if
// they are spread evenly.
const stopDeviations = 2

// checkStop refuses a request that this process can't be expected to answer whole before its planned
// stop cuts it off. One that may have run goes on, since only this process can bring its answer.
func (c *call) checkStop(now time.Time) *fault.Error {
	if c.delivery.MayHaveRun() || c.delivery.Begun() {
		return nil
	}
	if refusal := c.checkAccepting(now); refusal != nil {
		return refusal
	}
	if !c.gateway.Stop.Begun() || c.usualTime() <= c.gateway.Stop.TimeLeft(now) || !c.gateway.peersServe() {
		return nil
	}
	return c.stoppingError("this gateway is stopping, and the answer may take longer than it still runs")
}

// checkAccepting refuses a request that is read, or would first be sent, after this process has
// stopped accepting requests.
func (c *call) checkAccepting(now time.Time) *fault.Error {
	if c.gateway.Stop.Accepts(now) {
		return nil
	}
	return c.stoppingError("this gateway is stopping")
}

func (c *call) stoppingError(message string) *fault.Error {
	return fault.New(fault.NotReady, fault.NotRun, "%s", message).After(c.gateway.retryAfterUnready())
}

// usualTime returns how long an answer on the request's route takes at most, as a rule.
func (c *call) usualTime() time.Duration {
	return min(c.gateway.answerTimes.maxUsual(c.route.Name, stopDeviations), c.timeLimit())
}

// recordAnswerTime records how long the complete answer took.
func (c *call) recordAnswerTime(now time.Time) {
	c.gateway.answerTimes.record(c.route.Name, now.Sub(c.request.Arrived))
}
