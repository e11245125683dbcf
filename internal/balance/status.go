package balance

import (
	"maps"
	"slices"
	"time"
)

// Reason tells why a target gets no requests, or less than its share.
type Reason string

// The possible reasons, in the order in which they are checked.
const (
	// ReasonNone: the target gets its share.
	ReasonNone Reason = "open"
	// ReasonEntry: the target's entry states that it leaves, or is not valid.
	ReasonEntry Reason = "leaving_by_entry"
	// ReasonAnswer: the target announced in an answer that it leaves.
	ReasonAnswer Reason = "leaving_by_answer"
	// ReasonUnlisted: the target's entry disappeared.
	ReasonUnlisted Reason = "unlisted"
	// ReasonEvacuated: the operators evacuate the target's data centre.
	ReasonEvacuated Reason = "evacuated"
	// ReasonBackoff: the target asked this gateway to back off.
	ReasonBackoff Reason = "resting"
	// ReasonProbed: the backoff is over, and one request probes the target first.
	ReasonProbed Reason = "tried_after_rest"
	// ReasonEjected: the target failed requests of this gateway.
	ReasonEjected Reason = "ejected"
	// ReasonSuspected: several gateways get no answer from the target.
	ReasonSuspected Reason = "doubted"
	// ReasonCold: the target has just started.
	ReasonCold Reason = "cold"
)

// TargetStatus is a gateway's view of one target.
type TargetStatus struct {
	Target
	// Incarnation is the name of the target's current incarnation.
	Incarnation string
	Reason      Reason
	// Remaining is how much longer the reason applies; zero if unknown.
	Remaining time.Duration
	// InFlight is the number of this gateway's requests at the target; Others is the number
	// that the other gateways reported.
	InFlight, Others int
}

// TargetStatuses returns this gateway's view of all targets, sorted by ID.
func (b *Balancer) TargetStatuses(now time.Time) []TargetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	statuses := make([]TargetStatus, 0, len(b.current))
	for _, id := range slices.Sorted(maps.Keys(b.current)) {
		target := b.current[id]
		reason, remaining := b.reasonOf(target, now)
		statuses = append(statuses, TargetStatus{
			Target: target.Target, Incarnation: target.incarnation, Reason: reason, Remaining: max(remaining, 0),
			InFlight: target.inFlight, Others: target.others,
		})
	}
	return statuses
}

// reasonOf returns why a target gets no requests, and for how much longer. The caller must
// hold b.mu.
func (b *Balancer) reasonOf(target *state, now time.Time) (Reason, time.Duration) {
	backoff := target.announced.backoff
	switch {
	case target.Leaving:
		return ReasonEntry, 0
	case target.announced.leaving:
		return ReasonAnswer, 0
	case !target.unlistedAt.IsZero():
		return ReasonUnlisted, 0
	case b.evacuated[target.DataCenter]:
		return ReasonEvacuated, 0
	case backoff.unprobed() && now.Before(backoff.probeAt):
		return ReasonBackoff, backoff.probeAt.Sub(now)
	case backoff.unprobed():
		return ReasonProbed, 0
	case target.health.ejected(now):
		return ReasonEjected, target.health.ejectedUntil.Sub(now)
	case target.suspectedByPeers(now):
		return ReasonSuspected, 0
	case now.Before(target.cold.until):
		return ReasonCold, target.cold.until.Sub(now)
	}
	return ReasonNone, 0
}
