package balance

import (
	"maps"
	"slices"
	"time"
)

// Reason says why a target gets nothing now, or less than its share.
type Reason string

// The reasons, in the order in which they are looked at.
const (
	// ReasonNone: it gets its share.
	ReasonNone Reason = "open"
	// ReasonEntry: its entry says that it leaves, or names no target.
	ReasonEntry Reason = "leaving_by_entry"
	// ReasonAnswer: it has said in an answer that it leaves.
	ReasonAnswer Reason = "leaving_by_answer"
	// ReasonUnlisted: its entry is gone.
	ReasonUnlisted Reason = "unlisted"
	// ReasonEvacuated: the operators evacuate its data centre.
	ReasonEvacuated Reason = "evacuated"
	// ReasonRest: it wants nothing from this gateway for a while.
	ReasonRest Reason = "resting"
	// ReasonTried: its rest is over, and one request tries it first.
	ReasonTried Reason = "tried_after_rest"
	// ReasonEjected: it has failed requests of this gateway.
	ReasonEjected Reason = "ejected"
	// ReasonDoubted: several gateways get no answer from it.
	ReasonDoubted Reason = "doubted"
	// ReasonCold: it has just started.
	ReasonCold Reason = "cold"
)

// Standing is what a gateway makes of one target.
type Standing struct {
	Target
	// Life names the target's present life.
	Life   string
	Reason Reason
	// Left is for how long that holds; zero if it is not known.
	Left time.Duration
	// InFlight are this gateway's requests there, and Others those of the others, as they
	// reported.
	InFlight, Others int
}

// Standings are what this gateway makes of all targets, in the order of their ids.
func (b *Balancer) Standings(now time.Time) []Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	standings := make([]Standing, 0, len(b.current))
	for _, id := range slices.Sorted(maps.Keys(b.current)) {
		known := b.current[id]
		reason, left := b.reasonOf(known, now)
		standings = append(standings, Standing{
			Target: known.Target, Life: known.life, Reason: reason, Left: max(left, 0),
			InFlight: known.inFlight, Others: known.others,
		})
	}
	return standings
}

// reasonOf is why a target gets nothing, and for how much longer; b.mu is held.
func (b *Balancer) reasonOf(target *state, now time.Time) (Reason, time.Duration) {
	rest := target.said.rest
	switch {
	case target.Leaving:
		return ReasonEntry, 0
	case target.said.leaving:
		return ReasonAnswer, 0
	case !target.goneAt.IsZero():
		return ReasonUnlisted, 0
	case b.evacuated[target.DataCenter]:
		return ReasonEvacuated, 0
	case rest.untried() && now.Before(rest.backAt):
		return ReasonRest, rest.backAt.Sub(now)
	case rest.untried():
		return ReasonTried, 0
	case target.health.ejected(now):
		return ReasonEjected, target.health.ejectedUntil.Sub(now)
	case target.doubted(now):
		return ReasonDoubted, 0
	case now.Before(target.cold.until):
		return ReasonCold, target.cold.until.Sub(now)
	}
	return ReasonNone, 0
}
