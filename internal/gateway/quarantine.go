package gateway

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// retryAfterDoubtful is the Retry-After for requests that are in doubt. Most trials have begun by
// then.
const retryAfterDoubtful = time.Second

// hold is why a call is sent to no target; the zero value if nothing prevents it.
type hold struct {
	// request means that the request itself is held.
	request bool
	// parts are the held parts of its prompt.
	parts []quarantine.Fingerprint
}

func (h hold) held() bool { return h.request || len(h.parts) > 0 }

// currentHold returns why the call must not be sent to any target now.
func (c *call) currentHold(now time.Time) hold {
	crashes := c.gateway.Crashes
	if crashes == nil {
		return hold{}
	}
	return hold{request: crashes.Table.Held(c.fingerprint, now), parts: crashes.partsToHold(c, now)}
}

// mayRunTrial reports whether the call, which is held, may be the single trial of its request and of its
// held parts now. A call that was already sent may not, since that was its attempt.
func (c *call) mayRunTrial(held hold, now time.Time) bool {
	if len(c.triedIncarnations) > 0 || held.request && !c.gateway.Crashes.mayRunTrial(c, now) {
		return false
	}
	return len(held.parts) == 0 || c.gateway.Crashes.mayRunPartTrial(c, held.parts, now)
}

// checkQuarantine returns the refusal of a call that is held, right before it is sent, or nil
// if it may be sent. It starts the trial of the request, or of its parts, if the attempt may be one.
func (a *attempt) checkQuarantine(now time.Time) *fault.Error {
	c := a.call
	if a.isTrial() {
		return nil
	}
	held := c.currentHold(now)
	if !held.held() || a.startTrial(held, now) {
		return nil
	}
	return c.heldError(held, fault.NotRun, now)
}

// startTrial makes the attempt the trial of all that is held, if it may be that, and reports whether it did.
func (a *attempt) startTrial(held hold, now time.Time) bool {
	crashes := a.call.gateway.Crashes
	if len(a.call.triedIncarnations) > 1 || len(held.parts) > 0 && !crashes.mayRunPartTrial(a.call, held.parts, now) {
		return false
	}
	if held.request && !crashes.startTrial(a, now) {
		return false
	}
	started := len(held.parts) == 0 || crashes.startPartTrial(a, held.parts, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trial = held.request
	if started {
		a.partTrial = held.parts
	}
	return started
}

// isTrial reports whether the attempt is the trial of something held. Goroutines other than the attempt's own
// must hold a.mu.
func (a *attempt) isTrial() bool {
	return a.trial || len(a.partTrial) > 0
}

// endTrial records that the target did not run the attempt, if it was a trial.
func (a *attempt) endTrial(now time.Time) {
	answered := a.err == nil || a.result == balance.Good
	if answered || !a.outcome.NotRun() {
		return
	}
	tried := slices.Clone(a.partTrial)
	if a.trial {
		tried = append(tried, a.call.fingerprint)
	}
	crashes := a.call.gateway.Crashes
	for _, fingerprint := range tried {
		crashes.publish(crashes.Table.TrialNotRun(fingerprint, quarantineIncarnation(a.incarnation), now))
	}
}

// heldError returns the answer to a request that is held. If other requests or parts may have
// caused the crashes, its caller is told to retry. Otherwise there is no time after which to retry:
// the request itself has to change.
func (c *call) heldError(held hold, state fault.RunState, now time.Time) *fault.Error {
	subject, retryAfter := "this request", retryAfterDoubtful
	if !held.request {
		subject = "requests with a part of this prompt"
		c.heldPart = c.request.partID(held.parts[0])
		c.gateway.Crashes.recordHeld(c, held.parts[0])
		retryAfter = c.gateway.Crashes.retryAfterParts(held.parts)
	}
	if c.verdict(held, now) != quarantine.Doubtful {
		return fault.New(fault.Quarantined, state, "several targets ended while running %s; it is not sent to another one", subject)
	}
	if state != fault.NotRun {
		return fault.New(fault.TargetFailed, state, "a target ended while running this request and others")
	}
	refusal := fault.New(fault.Suspected, state, "several targets ended while running %s and others; what caused this is not known yet", subject)
	return refusal.After(retryAfter)
}

// verdict returns the verdict on what holds the call.
func (c *call) verdict(held hold, now time.Time) quarantine.Verdict {
	table := c.gateway.Crashes.Table
	if held.request {
		return table.Verdict(c.fingerprint, now, c.prompt.Parts...)
	}
	return table.PartsVerdict(held.parts)
}

// endHeld ends a call whose request became held after the call began.
func (c *call) endHeld(held hold, now time.Time) {
	switch {
	case c.delivery.Begun():
		c.ending = EndingCut
		c.responder.Abort()
	case c.delivery.MayHaveRun():
		c.refuse(c.heldError(held, fault.Unknown, now))
	default:
		c.refuse(c.heldError(held, fault.NotRun, now))
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
func (c *Crashes) mayRunTrial(call *call, now time.Time) bool {
	fingerprint, parts := call.fingerprint, call.prompt.Parts
	return c.Table.Verdict(fingerprint, now, parts...) == quarantine.Doubtful && c.Table.MayStartTrial(fingerprint, c.trialPlace(fingerprint), now, parts...)
}

// startTrial makes an attempt the trial of its request if this process may begin one, and reports
// whether it did.
func (c *Crashes) startTrial(a *attempt, now time.Time) bool {
	fingerprint := a.call.fingerprint
	change, started := c.Table.StartTrial(fingerprint, c.trialPlace(fingerprint), quarantineIncarnation(a.incarnation), now, a.call.prompt.Parts...)
	if started {
		c.Watcher.TrialBegan(a.pick.Target.ID, change)
		c.publish(change)
	}
	return started
}
