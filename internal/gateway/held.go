package gateway

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// comeBackDoubtful is when callers of a request that is in doubt come back: most trials have begun
// by then.
const comeBackDoubtful = time.Second

// held says whether the call is to be sent to no target.
func (c *call) held(now time.Time) bool {
	crashes := c.gateway.Crashes
	return crashes != nil && crashes.Table.Held(c.print, now)
}

// mayTrial says whether the call, which is held back, may be the one copy of its request that
// is tried now. A call that was sent before may not: it has had its try.
func (c *call) mayTrial(now time.Time) bool {
	return len(c.tried) == 0 && c.gateway.Crashes.mayTry(c.print, now)
}

// barred is the answer to a call that is held back, right before it is sent; nil where it may
// be sent. There its trial begins, if it is one.
func (a *attempt) barred(now time.Time) *fault.Error {
	c := a.call
	if a.trial || !c.held(now) {
		return nil
	}
	a.trial = len(c.tried) <= 1 && c.gateway.Crashes.try(a, now)
	if a.trial {
		return nil
	}
	return c.errHeld(fault.NotRun, now)
}

// endTrial notes that the target did not run the attempt, if it was a trial.
func (a *attempt) endTrial(now time.Time) {
	answered := a.err == nil || a.result == balance.Good
	if a.trial && !answered && (a.outcome == delivery.Unsent || a.outcome == delivery.Rejected) {
		crashes := a.call.gateway.Crashes
		crashes.changed(crashes.Table.TrialNotRun(a.call.print, lifeName(a.life), now))
	}
}

// errHeld is the answer to a request that is held back. Where others may be to blame its
// caller is to come back. Otherwise there is no time to come back after: it is the request
// that has to change.
func (c *call) errHeld(state fault.RunState, now time.Time) *fault.Error {
	if c.gateway.Crashes.Table.Verdict(c.print, now) != quarantine.Doubtful {
		return fault.New(fault.Quarantined, state, "several targets ended while they ran this request; it is sent to no other")
	}
	if state != fault.NotRun {
		return fault.New(fault.TargetFailed, state, "a target ended while it ran this request and others")
	}
	refusal := fault.New(fault.Suspected, state, "several targets ended while they ran this request and others; which of them is to blame is not known yet")
	return refusal.After(comeBackDoubtful)
}

// endHeld ends a call that is held back since it began.
func (c *call) endHeld(now time.Time) {
	switch {
	case c.delivery.Begun():
		c.ending = EndingCut
		c.responder.Abort()
	case c.delivery.MayHaveRun():
		c.refuse(c.errHeld(fault.Unknown, now))
	default:
		c.refuse(c.errHeld(fault.NotRun, now))
	}
}

// place is that of this process among those that may try a request.
func (c *Crashes) place(print quarantine.Fingerprint) int {
	if c.Spreader == nil {
		return 0
	}
	return c.Spreader.TrialPlace(print)
}

// mayTry says whether this process may send a request that is held back once.
func (c *Crashes) mayTry(print quarantine.Fingerprint, now time.Time) bool {
	return c.Table.Verdict(print, now) == quarantine.Doubtful && c.Table.MayStartTrial(print, c.place(print), now)
}

// try has an attempt be the trial of its request, if this process may begin one.
func (c *Crashes) try(a *attempt, now time.Time) bool {
	print := a.call.print
	change, begun := c.Table.StartTrial(print, c.place(print), lifeName(a.life), now)
	if begun {
		c.Watcher.TrialBegan(a.pick.Target.ID, change)
		c.changed(change)
	}
	return begun
}
