package gateway

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// A part of prompts that crashes every target which begins to answer a request with it is held: no
// request with it is sent, whatever else it holds. Source: docs/design/quarantine.md.

const (
	// minPartRun is how long a request with a part must have been in flight at a target that goes on,
	// for the part not to be held yet. Fatal requests crash their targets sooner, unless they wait for
	// a slot there.
	minPartRun = 250 * time.Millisecond
	// partProvenAfter is how long after its first event a stream that goes on counts as an answer: a
	// fatal part crashes targets as they begin to answer.
	partProvenAfter = time.Second
	// maxHeldParts limits the parts whose names are remembered.
	maxHeldParts = 256
)

// HeldPart describes a part for which requests are held back.
type HeldPart struct {
	Fingerprint quarantine.Fingerprint
	ID          string
	// Workspace is that of the last request that was held back; empty on public routes.
	Workspace string
	// Requests is how many requests this process has held back for it.
	Requests int
}

func newHeldParts() *lru.Cache[quarantine.Fingerprint, *HeldPart] {
	parts, err := lru.New[quarantine.Fingerprint, *HeldPart](maxHeldParts)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return parts
}

// partsToHold returns the parts for which a call is held back now, and tells the other gateways of
// those that are held from now on.
func (c *Crashes) partsToHold(call *call, now time.Time) []quarantine.Fingerprint {
	var held []quarantine.Fingerprint
	for _, suspicion := range c.Table.SuspiciousParts(call.prompt, call.fingerprint, now) {
		if !suspicion.Holds(c.runsElsewhere(suspicion.Fingerprint, now)) {
			continue
		}
		held = append(held, suspicion.Fingerprint)
		if change := c.Table.Confirm(suspicion.Fingerprint, now); change.Changed {
			c.Watcher.PartHeld(call.request.partID(suspicion.Fingerprint), call.workspaceName(), change)
			c.publish(change)
		}
	}
	return held
}

// runsElsewhere reports whether requests with a part have been in flight for a while at targets that
// haven't ended.
func (c *Crashes) runsElsewhere(part quarantine.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.partsInFlight[part] {
		sentAt := a.sentAt.Load()
		runs := sentAt > 0 && now.Sub(a.started)-time.Duration(sentAt) >= minPartRun
		if runs && c.Balancer.Serving(a.incarnation) && !c.Balancer.EndOf(a.incarnation).Known() {
			return true
		}
	}
	return false
}

// mayRetry reports whether a call that was just lost may be sent to another target, as far as the
// crashes of the request and of its parts tell.
func (c *Crashes) mayRetry(call *call, now time.Time) bool {
	if !c.Table.MayRetry(call.fingerprint, call.lastIncarnation(), now) {
		return false
	}
	running := func(part quarantine.Fingerprint) bool { return c.runsElsewhere(part, now) }
	return c.Table.MayRetryParts(call.prompt, running, now)
}

// recordPartsAnswered records that the parts of a call's prompt don't crash targets.
func (c *Crashes) recordPartsAnswered(call *call, now time.Time) {
	for _, change := range c.Table.PartsAnswered(call.prompt.Parts, now) {
		c.publish(change)
	}
}

// provePartsByEvents counts a stream as an answer once it has gone on for a while.
func (a *attempt) provePartsByEvents(now time.Time) {
	crashes := a.call.gateway.Crashes
	if crashes == nil || a.partsProven || now.Sub(a.started) < a.timeToHead+partProvenAfter {
		return
	}
	a.partsProven = true
	crashes.recordPartsAnswered(a.call, now)
}

// recordHeld counts a call that is held back for a part.
func (c *Crashes) recordHeld(call *call, part quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.heldParts.Get(part)
	if !ok {
		held = &HeldPart{Fingerprint: part, ID: call.request.partID(part)}
		c.heldParts.Add(part, held)
	}
	held.Workspace = call.workspaceName()
	held.Requests++
}

// HeldParts returns the parts for which this process has held back requests, by fingerprint.
func (c *Crashes) HeldParts() []HeldPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := make([]HeldPart, 0, c.heldParts.Len())
	for _, held := range c.heldParts.Values() {
		parts = append(parts, *held)
	}
	slices.SortFunc(parts, func(a, b HeldPart) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return parts
}

// partTrialRank returns the position of this process among those that may run the trial of parts.
func (c *Crashes) partTrialRank(parts []quarantine.Fingerprint) int {
	return c.trialPlace(parts[0])
}

// mayRunPartTrial reports whether this process may send a call with held parts now, as the only one.
func (c *Crashes) mayRunPartTrial(call *call, parts []quarantine.Fingerprint, now time.Time) bool {
	return c.Table.PartTrialIn(parts, call.fingerprint, c.partTrialRank(parts), now) == 0
}

// startPartTrial makes an attempt the trial of held parts if this process may begin one.
func (c *Crashes) startPartTrial(a *attempt, parts []quarantine.Fingerprint, now time.Time) bool {
	changes, started := c.Table.StartPartTrial(parts, a.call.fingerprint, c.partTrialRank(parts), quarantineIncarnation(a.incarnation), now)
	for _, change := range changes {
		c.Watcher.TrialBegan(a.pick.Target.ID, change)
		c.publish(change)
	}
	return started
}

// retryAfterParts returns when callers of requests with held parts may come again: when the next trial
// may start.
func (c *Crashes) retryAfterParts(parts []quarantine.Fingerprint) time.Duration {
	return max(c.Table.PartTrialIn(parts, 0, 0, clock.Now()), retryAfterDoubtful)
}

// partID returns the ID of the part with a fingerprint; empty for none.
func (r *Request) partID(fingerprint quarantine.Fingerprint) string {
	for _, id := range r.sharedPartIDs() {
		if quarantine.PartFingerprint(id) == fingerprint {
			return id
		}
	}
	return ""
}
