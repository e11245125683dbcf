package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// A target that ends without closing its connections is known to have ended when its membership entry
// expires, seconds later. Until then a request that ends its targets would be sent on. So a target
// from which nothing arrives is asked for its health, and what ran there is suspected if it doesn't
// answer. While a request is suspected, each target is asked before it is sent there, and again a
// moment later: a target that answers the first question and not the second one has fallen silent
// under the request. Source: docs/design/quarantine.md.

const (
	// checkShare is the share of a silence that would lead to another attempt after which the target is
	// asked, so that the answer is known by then.
	checkShare = 0.5
	// suspectedCheckDelay is how long after a suspected request was sent its target is asked.
	suspectedCheckDelay = 20 * time.Millisecond
	// defaultSilence takes the place of that silence on routes without a target latency.
	defaultSilence = time.Second
	// maxSilenceChecks limits the questions because of one attempt.
	maxSilenceChecks = 8
	// copySilence is the silence after which a target is asked because the request that it runs comes
	// again.
	copySilence = 100 * time.Millisecond
	// recentAnswer is how long ago an answer of a target shows that it is alive. Answers that it sent
	// before its end arrive for a moment after it.
	recentAnswer = 50 * time.Millisecond
	// spareSlots is how many slots a target must have had free when a request was sent there, for its
	// silence to be evidence: a full target may answer no question about its health.
	spareSlots = 2
)

// Reasons why nothing was sent to a target that was asked for its health.
var (
	errUnanswered    = errors.New("the target did not answer a question about its health")
	errHealthRefused = errors.New("the target refused the connection for a question about its health")
)

// targetAnswered takes back that a target is suspected to have ended.
func (c *Crashes) targetAnswered(incarnation string, now time.Time) {
	for _, change := range c.Table.TargetAnswered(quarantineIncarnation(incarnation), now) {
		c.publish(change)
	}
}

// noteRefused records that nothing listens at a target's address.
func (c *Crashes) noteRefused(incarnation string, now time.Time) {
	if c.Balancer.NoteSilentPort(incarnation, now) && c.Peers != nil {
		c.Peers.Refused(incarnation)
	}
	c.checkSoon()
}

// mayAsk reports whether a target may be asked because of a request.
func (c *Crashes) mayAsk(fingerprint quarantine.Fingerprint, now time.Time) bool {
	return c.Table.Doubted(fingerprint, now) || c.asks.allow(fingerprint, now)
}

// join records an attempt, and checks the targets of others of the same request from which nothing
// has arrived: a request that comes again may have ended them. The returned function removes the
// attempt.
func (c *Crashes) join(a *attempt) (leave func()) {
	fingerprint := a.call.fingerprint
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.inFlight[fingerprint] {
		if other.call != a.call && other.silentFor(clock.Now()) >= copySilence {
			c.spawnLocked(func() { c.checkSilent(other) })
		}
	}
	addAttempt(c.inFlight, fingerprint, a)
	for _, part := range a.call.prompt.Parts {
		addAttempt(c.partsInFlight, part, a)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		removeAttempt(c.inFlight, fingerprint, a)
		for _, part := range a.call.prompt.Parts {
			removeAttempt(c.partsInFlight, part, a)
		}
	}
}

func addAttempt(attempts map[quarantine.Fingerprint]map[*attempt]struct{}, key quarantine.Fingerprint, a *attempt) {
	if attempts[key] == nil {
		attempts[key] = make(map[*attempt]struct{})
	}
	attempts[key][a] = struct{}{}
}

func removeAttempt(attempts map[quarantine.Fingerprint]map[*attempt]struct{}, key quarantine.Fingerprint, a *attempt) {
	delete(attempts[key], a)
	if len(attempts[key]) == 0 {
		delete(attempts, key)
	}
}

// checkSilent asks the target of an attempt for its health, and records a suspicion if neither the
// question nor the request is answered.
func (c *Crashes) checkSilent(a *attempt) {
	now := clock.Now()
	heard := a.lastHeard.Load()
	switch {
	case a.sentAt.Load() == 0, c.Table.AnsweredLately(a.call.fingerprint, now):
		return
	case !c.Balancer.Serving(a.incarnation):
		return
	case c.Balancer.AnsweredSince(a.incarnation, now.Add(-recentAnswer)):
		a.checkLater(now)
		return
	case a.silenceChecks.Add(1) > maxSilenceChecks, !c.mayAsk(a.call.fingerprint, now):
		return
	}
	health := c.AskHealth(c.ctx, a.pick.Target)
	if health == HealthAnswered {
		a.recordAlive(clock.Now())
	}
	if health != HealthSilent || a.lastHeard.Load() != heard {
		return
	}
	suspect := quarantine.Suspect{Incarnation: quarantineIncarnation(a.incarnation), Evidence: quarantine.Silent}
	if a.askedBefore {
		suspect.Evidence = quarantine.FellSilent
	}
	change := c.Table.Suspect(a.call.fingerprint, suspect, clock.Now())
	if change.Changed {
		c.Watcher.RequestSuspected(a.pick.Target.ID, change)
	}
	c.publish(change)
}

// askBefore asks the target for its health before a suspected request is sent there. It returns false
// if nothing may be sent.
func (a *attempt) askBefore(ctx context.Context) bool {
	crashes := a.call.gateway.Crashes
	if crashes == nil || !crashes.Table.Doubted(a.call.fingerprint, clock.Now()) {
		return true
	}
	health := crashes.AskHealth(ctx, a.pick.Target)
	switch health {
	case HealthRefused:
		a.outcome, a.result, a.err = delivery.Unsent, balance.Refused, errHealthRefused
	case HealthSilent:
		if a.maySkipTarget() {
			a.outcome, a.err, a.unanswered = delivery.Unsent, errUnanswered, true
		}
	case HealthAnswered, HealthUnclear:
		a.askedBefore = health == HealthAnswered && a.hasSpareSlots()
	}
	a.suspected = a.err == nil
	return a.suspected
}

// maySkipTarget reports whether a suspected request is not sent to a target that didn't answer: a full
// target doesn't either. If only one target fell silent under the request so far, it is sent when
// there is no other target, or several didn't answer.
func (a *attempt) maySkipTarget() bool {
	c, now := a.call, clock.Now()
	if c.gateway.Crashes.Table.ConcernsAll(c.fingerprint, now) {
		return true
	}
	return c.refusedConnections < maxRefusedConnections && c.gateway.Balancer.Has(c.attemptQuery(), now)
}

// hasSpareSlots reports whether the target had slots free when it was chosen, as far as that is
// known.
func (a *attempt) hasSpareSlots() bool {
	slots := a.pick.Target.Slots
	return slots == 0 || a.pick.Load+spareSlots <= slots
}

// watchSilence checks the target after a silence. Each call restarts the timer. The caller must hold
// a.mu.
func (a *attempt) watchSilence(silence time.Duration) {
	crashes := a.call.gateway.Crashes
	if crashes == nil || a.committed {
		return
	}
	if silence <= 0 {
		silence = defaultSilence
	}
	silence = time.Duration(checkShare * float64(silence))
	if a.suspected && a.silenceChecks.Load() == 0 {
		silence = suspectedCheckDelay
	}
	if a.silenceTimer != nil {
		a.silenceTimer.Reset(silence)
		return
	}
	a.silenceTimer = time.AfterFunc(silence, func() { crashes.spawn(func() { crashes.checkSilent(a) }) })
}

// recordSending records that the first byte is sent now, and counts silences from now on.
func (a *attempt) recordSending(now time.Time) {
	a.sentAt.Store(max(int64(now.Sub(a.started)), 1))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchSilence(a.maxSilenceToHead())
}

// recordAlive records that the target has answered a question about its health while it runs the
// request. If the request is suspected, the target is asked again after another silence.
func (a *attempt) recordAlive(now time.Time) {
	a.aliveAt.Store(int64(now.Sub(a.started)))
	a.checkLater(now)
}

// checkLater has the target checked after another silence if the request is suspected.
func (a *attempt) checkLater(now time.Time) {
	if !a.call.gateway.Crashes.Table.Doubted(a.call.fingerprint, now) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchSilence(a.maxSilenceToHead())
}

// silentFor returns how long nothing has arrived from the target.
func (a *attempt) silentFor(now time.Time) time.Duration {
	return now.Sub(a.started) - time.Duration(max(a.sentAt.Load(), a.lastHeard.Load(), a.aliveAt.Load()))
}

// hear records that something has arrived from the target.
func (a *attempt) hear(now time.Time) {
	a.lastHeard.Store(int64(now.Sub(a.started)))
	if crashes := a.call.gateway.Crashes; crashes != nil {
		crashes.targetAnswered(a.incarnation, now)
	}
}
