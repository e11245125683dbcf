package gateway

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// retryAfterDoubtful is the Retry-After for requests that are in doubt. Most trials have begun by
// then.
const retryAfterDoubtful = time.Second

// isHeld reports whether the call must not be sent to any target.
func (c *call) isHeld(now time.Time) bool {
	crashes := c.gateway.Crashes
	return crashes != nil && crashes.Table.Held(c.fingerprint, now)
}

// mayRunTrial reports whether the call, which is held, may be the single trial of its request
// now. A call that was already sent may not, since that was its attempt.
func (c *call) mayRunTrial(now time.Time) bool {
	return len(c.triedIncarnations) == 0 && c.gateway.Crashes.mayRunTrial(c.fingerprint, now)
}

// checkQuarantine returns the refusal of a call that is held, right before it is sent, or nil
// if it may be sent. It starts the trial of the request if the attempt may be one.
func (a *attempt) checkQuarantine(now time.Time) *fault.Error {
	c := a.call
	if a.trial || !c.isHeld(now) {
		return nil
	}
	a.trial = len(c.triedIncarnations) <= 1 && c.gateway.Crashes.startTrial(a, now)
	if a.trial {
		return nil
	}
	return c.heldError(fault.NotRun, now)
}

// endTrial records that the target did not run the attempt, if it was a trial.
func (a *attempt) endTrial(now time.Time) {
	answered := a.err == nil || a.result == balance.Good
	if a.trial && !answered && a.outcome.NotRun() {
		crashes := a.call.gateway.Crashes
		crashes.publish(crashes.Table.TrialNotRun(a.call.fingerprint, quarantineIncarnation(a.incarnation), now))
	}
}

// heldError returns the answer to a request that is held. If other requests may have
// caused the crashes, its caller is told to retry. Otherwise there is no time after which to retry:
// the request itself has to change.
func (c *call) heldError(state fault.RunState, now time.Time) *fault.Error {
	if c.gateway.Crashes.Table.Verdict(c.fingerprint, now) != quarantine.Doubtful {
		return fault.New(fault.Quarantined, state, "several targets ended while running this request; it is not sent to another one")
	}
	if state != fault.NotRun {
		return fault.New(fault.TargetFailed, state, "a target ended while running this request and others")
	}
	refusal := fault.New(fault.Suspected, state, "several targets ended while running this request and others; which request caused this is not known yet")
	return refusal.After(retryAfterDoubtful)
}

// endHeld ends a call whose request became held after the call began.
func (c *call) endHeld(now time.Time) {
	switch {
	case c.delivery.Begun():
		c.ending = EndingCut
		c.responder.Abort()
	case c.delivery.MayHaveRun():
		c.refuse(c.heldError(fault.Unknown, now))
	default:
		c.refuse(c.heldError(fault.NotRun, now))
	}
}

// trialPlace returns the position of this process among those that may run the trial of a request.
func (c *Crashes) trialPlace(fingerprint quarantine.Fingerprint) int {
	if c.Peers == nil {
		return 0
	}
	return c.Peers.TrialPlace(fingerprint)
}

// mayRunTrial reports whether this process may send a held request once.
func (c *Crashes) mayRunTrial(fingerprint quarantine.Fingerprint, now time.Time) bool {
	return c.Table.Verdict(fingerprint, now) == quarantine.Doubtful && c.Table.MayStartTrial(fingerprint, c.trialPlace(fingerprint), now)
}

// startTrial makes an attempt the trial of its request if this process may begin one, and reports
// whether it did.
func (c *Crashes) startTrial(a *attempt, now time.Time) bool {
	fingerprint := a.call.fingerprint
	change, started := c.Table.StartTrial(fingerprint, c.trialPlace(fingerprint), quarantineIncarnation(a.incarnation), now)
	if started {
		c.Watcher.TrialBegan(a.pick.Target.ID, change)
		c.publish(change)
	}
	return started
}
