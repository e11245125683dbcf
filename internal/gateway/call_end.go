package gateway

import (
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
)

// endCallerLeft ends a request whose caller has disconnected.
func (c *call) endCallerLeft() {
	c.ending = EndingCallerLeft
	c.responder.Abort()
}

// applyVerdict carries out a verdict and reports whether another attempt follows.
func (c *call) applyVerdict(verdict delivery.Verdict, last *attempt) bool {
	switch verdict.Step {
	case delivery.Again, delivery.Resume:
		return true
	case delivery.Relay:
		c.relayFailure()
	case delivery.Abort:
		c.ending = EndingCut
		c.responder.Abort()
	case delivery.GiveUp:
		c.giveUp(verdict, last)
	}
	return false
}

// relayFailure passes the target's own failure on.
func (c *call) relayFailure() {
	if c.failedAnswer == nil {
		c.refuse(fault.New(fault.TargetFailed, fault.Unknown, "the target failed"))
		return
	}
	c.ending = EndingRelayed
	c.status = c.failedAnswer.status
	if err := c.failedAnswer.send(c); err != nil {
		c.ending = EndingCallerLeft
	}
}

func (c *call) giveUp(verdict delivery.Verdict, last *attempt) {
	if c.failedAnswer != nil {
		c.relayFailure()
		return
	}
	refusal := fault.New(verdict.Kind, verdict.State, "%s", last.reason())
	if refusal.State == fault.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = c.retryAfter()
	}
	c.refuse(refusal)
}

// finishWithoutTarget ends a request for which no further target is available.
func (c *call) finishWithoutTarget() {
	switch {
	case c.delivery.Begun():
		c.ending = EndingCut
		c.responder.Abort()
	case c.failedAnswer != nil:
		c.relayFailure()
	case c.delivery.MayHaveRun():
		c.refuse(fault.New(fault.TargetFailed, fault.Unknown, "no further target is available"))
	case c.streamVersion != "":
		c.refuse(fault.New(fault.NoTarget, fault.NotRun, "no target of version %s, which began the stream, is available", c.streamVersion).After(c.retryAfterNoTarget()))
	default:
		c.refuse(fault.New(fault.NoTarget, fault.NotRun, "no target of the service is available").After(c.retryAfterNoTarget()))
	}
}

// refuse sends the caller a final answer of the router's own.
func (c *call) refuse(refusal *fault.Error) {
	c.status = fault.AnswerOf(refusal.Kind).Status
	c.ending = string(refusal.Kind)
	if err := c.responder.Refuse(refusal); err != nil {
		c.ending = EndingCallerLeft
	}
}
