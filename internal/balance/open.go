package balance

import (
	"slices"
	"time"
)

// openTargets returns the targets that may take the request: listed, not leaving, not backing
// off, not in an evacuated data centre, of an admitted version, not tried and not ejected.
// Cold targets are open only in this gateway's window. When all other targets are ejected, the
// ejected ones serve, except those at whose addresses other targets answer. When the entries
// of at least half of a service's targets have disappeared, these targets keep serving for a
// while: entries expire while the store is down, and are registered again soon after its
// return. Among ejected and expired targets, too, only admitted versions count: if the others
// were removed together, no entry expired. The caller must hold b.mu.
func (b *Balancer) openTargets(svc *service, exclude []string, versions Versions, now time.Time) []*state {
	b.scratch.idle = idleTargets{}
	if !svc.restrictedBy(&versions) {
		return b.openAmong(svc.targets, exclude, now)
	}
	candidates := b.openAmong(b.admittedTargets(svc, versions), exclude, now)
	candidates = b.applyVersions(svc, candidates, versions)
	if len(b.scratch.healthy) > 0 {
		b.scratch.healthy = candidates
	}
	return candidates
}

// standing is what an open choice may do with a target.
type standing int

const (
	// standingClosed: the target gets no request.
	standingClosed standing = iota
	// standingOpen: the target may get a request.
	standingOpen
	// standingIdle: the target gets none now, and keeps its part of the load bound.
	standingIdle
	// standingEjected: the target serves while too many others are ejected.
	standingEjected
	// standingExpired: the target serves if the entries of many others disappeared at the same time.
	standingExpired
)

// standingOf returns the standing of a target for a request that has tried the excluded
// incarnations. The caller must hold b.mu.
func (b *Balancer) standingOf(target *state, exclude []string, now time.Time) standing {
	unlisted := !target.unlistedAt.IsZero()
	switch {
	case b.isIdle(target, now):
		if unlisted || target.leaving() {
			return standingClosed
		}
		return standingIdle
	case target.leaving() || slices.Contains(exclude, target.incarnation):
		return standingClosed
	case unlisted:
		if target.unlistedFor(now) > b.options.ExpiryGrace || target.health.ejected(now) {
			return standingClosed
		}
		return standingExpired
	case target.health.ejected(now) || target.suspectedByPeers(now):
		return standingEjected
	}
	return standingOpen
}

// openAmong returns the open targets among those listed. The caller must hold b.mu.
func (b *Balancer) openAmong(listed []*state, exclude []string, now time.Time) []*state {
	healthy, ejected, expired := b.scratch.healthy[:0], b.scratch.ejected[:0], b.scratch.expired[:0]
	present := 0
	for _, target := range listed {
		if !target.needsCheck && len(exclude) == 0 {
			present++
			healthy = append(healthy, target)
			continue
		}
		if target.replaced && target.health.ejected(now) {
			continue // it no longer exists, so it is no better than none
		}
		if target.unlistedAt.IsZero() {
			present++
		}
		switch b.standingOf(target, exclude, now) {
		case standingOpen:
			target.needsCheck = target.cold.isCold || target.announced.backoff.unprobed()
			healthy = append(healthy, target)
		case standingIdle:
			b.scratch.idle.add(target)
		case standingEjected:
			ejected = append(ejected, target)
		case standingExpired:
			expired = append(expired, target)
		case standingClosed:
		}
	}
	if len(expired) >= minExpired && len(expired) >= present {
		healthy = append(healthy, expired...)
		present += len(expired)
	}
	serving := max(len(ejected)-int(b.options.MaxEjected*float64(present)), 0)
	if serving > 0 {
		healthy = append(healthy, soonestBack(ejected, serving)...)
	}
	b.scratch.healthy, b.scratch.ejected, b.scratch.expired = healthy, ejected, expired
	if len(healthy) == 0 {
		return ejected
	}
	for _, target := range ejected[serving:] {
		b.scratch.idle.add(target)
	}
	return healthy
}

// isIdle reports whether a target gets no requests now although it may get some later: its
// data centre is evacuated, it is backing off, or it is cold and outside this gateway's
// window. The caller must hold b.mu.
func (b *Balancer) isIdle(target *state, now time.Time) bool {
	return b.evacuated[target.DataCenter] || target.announced.backoff.blocks(now) || b.outsideColdWindow(target, now)
}

// soonestBack returns the count ejected targets whose ejections end first. It is used when too
// many targets are ejected.
func soonestBack(ejected []*state, count int) []*state {
	slices.SortFunc(ejected, func(x, y *state) int {
		return x.health.ejectedUntil.Compare(y.health.ejectedUntil)
	})
	return ejected[:count]
}
