package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// A request that was lost at a target counts against itself if the target is found to have ended
// unplanned within lossTTL. To find out, the target's address is probed.

const (
	// firstProbeDelay is how long after a loss the target's address is probed: a process that dies
	// closes its sockets within a moment. probeInterval is the time until the second probe. Until
	// the end is known, the request may return and crash the next target.
	firstProbeDelay = 5 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	// maxProbes is the number of probes after the last loss at a target. Without probes, the first
	// refused connection of a caller came 1.7 s after a crash.
	maxProbes = 2
	// probeTimeout limits one probe.
	probeTimeout = 300 * time.Millisecond
	// checkInterval is the time between two checks whether targets have ended, while that is
	// undecided for some.
	checkInterval = 50 * time.Millisecond
	// lossTTL is how long after a loss the end of its target counts: membership entries expire
	// three heartbeats after the last, which is 3.6 s, and that is known a moment later.
	lossTTL = 6 * time.Second
	// maxLosses limits the recorded losses at one incarnation of a target; so many requests are
	// rarely in flight at one target from one gateway.
	maxLosses = 256
)

// lossKind is how an attempt was lost.
type lossKind int

const (
	// lossNone: the attempt was answered, was not sent, or ended for a reason of this process or
	// the caller.
	lossNone lossKind = iota
	// lossSilent: nothing more arrived.
	lossSilent
	// lossDisconnected: the connection ended.
	lossDisconnected
)

// reportToCrashes reports what the attempt shows about whether its target is alive.
func (a *attempt) reportToCrashes(ctx context.Context, now time.Time) {
	crashes := a.call.gateway.Crashes
	switch {
	case crashes == nil:
	case a.result == balance.Good:
		crashes.recordAnswered(a.call.fingerprint, now)
		crashes.recordPartsAnswered(a.call, now)
	case a.failedItself:
		// A target that fails may do so before it looks at the prompt.
		crashes.recordAnswered(a.call.fingerprint, now)
	case a.loss == lossNone || a.call.callerLeft(ctx):
	default:
		crashes.recordLoss(a, now)
	}
}

// incarnationLosses holds the requests that were lost at one incarnation of a target.
type incarnationLosses struct {
	target   balance.Target
	requests []lostRequest
	// probes counts the probes of the address since the last loss, and nextProbe is when the next
	// one is due; probing means that one is running.
	probes    int
	nextProbe time.Time
	probing   bool
}

// lostRequest is a request that was lost.
type lostRequest struct {
	fingerprint quarantine.Fingerprint
	// prompt identifies the parts of its prompt that other requests may share, and parts are their IDs.
	prompt         quarantine.Prompt
	parts          []string
	sentAt, lostAt time.Time
	// disconnected means that its connection ended.
	disconnected bool
}

// inFlightAt reports whether the request was in flight when its target ended. If the target's
// membership entry was removed before its connections ended, the target went on serving, as one
// does that leaves as planned.
func (l lostRequest) inFlightAt(end balance.End) bool {
	if end.Unlisted && l.disconnected && !l.lostAt.Before(end.At) {
		return false
	}
	return l.sentAt.Before(end.At)
}

// recordLoss records an attempt that was lost at its target. If its connection ended, the address
// is probed.
func (c *Crashes) recordLoss(a *attempt, now time.Time) {
	incarnation, disconnected := a.incarnation, a.loss == lossDisconnected
	if !c.Balancer.Serving(incarnation) {
		return // an end of this target would be a planned one
	}
	c.mu.Lock()
	known, ok := c.losses[incarnation]
	if !ok {
		known = &incarnationLosses{target: a.pick.Target, probes: maxProbes}
		c.losses[incarnation] = known
		c.incarnations.Add(1)
	}
	if len(known.requests) < maxLosses {
		known.requests = append(known.requests, lostRequest{fingerprint: a.call.fingerprint, prompt: a.call.prompt, parts: a.call.request.sharedPartIDs(), sentAt: a.started, lostAt: now, disconnected: disconnected})
	}
	if disconnected && known.probes > 0 {
		known.probes, known.nextProbe = 0, now.Add(firstProbeDelay)
	}
	c.mu.Unlock()
	c.checkSoon()
}

// recordHead records that a target answered a request sent at the given time. Requests lost before
// that time were not lost because the target ended.
func (c *Crashes) recordHead(incarnation string, sent time.Time) {
	if c.incarnations.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.losses[incarnation]
	if !ok {
		return
	}
	kept := known.requests[:0]
	for _, lost := range known.requests {
		if !lost.lostAt.Before(sent) {
			kept = append(kept, lost)
		}
	}
	known.requests = kept
}

// check records what has become known since the last check. It returns false once nothing is
// undecided.
func (c *Crashes) check(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, known := range c.losses {
		if end := c.Balancer.EndOf(incarnation); end.Known() {
			c.recordCrashes(incarnation, known, end, now)
			known.requests = nil
		}
		known.dropExpired(now)
		if len(known.requests) == 0 && !known.probing {
			delete(c.losses, incarnation)
			c.incarnations.Add(-1)
			continue
		}
		if known.probes < maxProbes && !known.probing && !now.Before(known.nextProbe) {
			c.probe(ctx, incarnation, known)
		}
	}
	return len(c.losses) > 0
}

// dropExpired drops losses whose target has not ended in time.
func (l *incarnationLosses) dropExpired(now time.Time) {
	kept := l.requests[:0]
	for _, lost := range l.requests {
		if now.Sub(lost.lostAt) < lossTTL {
			kept = append(kept, lost)
		}
	}
	l.requests = kept
}

// recordCrashes records the end of a target against all requests that were in flight there. The
// caller must hold c.mu.
func (c *Crashes) recordCrashes(incarnation string, known *incarnationLosses, end balance.End, now time.Time) {
	name := quarantineIncarnation(incarnation)
	var parts partCounts
	for _, lost := range known.requests {
		if !lost.inFlightAt(end) {
			continue
		}
		parts.add(lost)
		change := c.Table.Crashed(lost.fingerprint, name, now)
		if change.Changed {
			c.Watcher.CrashNoted(known.target.ID, change)
		}
		c.publish(change)
	}
	if parts.requests > 0 {
		c.Watcher.TargetEnded(parts.targetEnd(known.target.ID, c.Table, now))
	}
	for _, part := range parts.prompts {
		c.publish(c.Table.PartCrashed(part.fingerprint, part.workspace, name, now))
	}
}

// untilNextCheck returns the time until the next check is due.
func (c *Crashes) untilNextCheck(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := checkInterval
	for _, known := range c.losses {
		if known.probes < maxProbes && !known.probing {
			next = min(next, known.nextProbe.Sub(now))
		}
	}
	return max(next, 0)
}

// probe probes the address of a target. The caller must hold c.mu.
func (c *Crashes) probe(ctx context.Context, incarnation string, known *incarnationLosses) {
	known.probing = true
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		refused := c.Prober.ProbePort(ctx, known.target)
		defer c.checkSoon()
		now := clock.Now()
		if refused {
			c.noteRefused(incarnation, now)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		known.probing = false
		known.probes++
		known.nextProbe = now.Add(probeInterval)
		if refused {
			known.probes = maxProbes
		}
	})
}
