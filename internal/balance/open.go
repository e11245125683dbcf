package balance

import (
	"math"
	"slices"
	"time"
)

// openTargets returns the targets that may take the request: listed, not leaving, not backing
// off, not in an evacuated data centre, of an admitted version, not tried and not ejected.
// Cold targets are open only in this gateway's window. When all other targets are ejected, the
// ejected ones serve, except those at whose addresses other targets answer. When the entries of at least half of a service's targets have
// disappeared, these targets keep serving for a while: entries expire while the store is down,
// and are registered again soon after its return. Among ejected and expired targets, too, only
// admitted versions count: if the others were removed together, no entry expired. The caller
// must hold b.mu.
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
	if maxEjected := int(b.options.MaxEjected * float64(present)); len(ejected) > maxEjected {
		serving := len(ejected) - maxEjected
		healthy = append(healthy, soonestBack(ejected, serving)...)
		ejected = ejected[serving:]
	}
	b.scratch.healthy, b.scratch.ejected, b.scratch.expired = healthy, ejected, expired
	if len(healthy) == 0 {
		return ejected
	}
	for _, target := range ejected {
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

// idleTargets counts targets that are registered and get no requests for a while because they
// are backing off, cold or ejected, their data centre is evacuated, or other versions take
// the requests.
type idleTargets struct {
	count int
	// load is the number of requests that they still have in flight.
	load float64
	// notAdmitted is how many of them take requests but have a version that is not admitted.
	notAdmitted int
}

func (i *idleTargets) add(target *state) {
	i.count++
	i.load += float64(target.inFlight) + target.estimatedOthers()
}

const (
	// idleShare is the fraction of the whole bound that is used while some targets are idle:
	// the bound refers to the mean of all targets, and the remaining ones hold more than that.
	idleShare = 0.85
	// tightSpread times the square root of the mean is the distance of the mean from the bound
	// below which the bound is tight: requests that many gateways send to a target without
	// knowing of each other arrive like a Poisson process, whose standard deviation is that
	// root. Two deviations are rarely exceeded.
	tightSpread = 2.0
	// unreportedMargin is how many requests a target shared by many gateways has beyond those
	// that they know of when the next one is sent. Thirty gateways report to each other every
	// 0.4 s. A target of fifty that share 250 requests per second gets two in that time, and
	// rarely more than three.
	unreportedMargin = 3.0
)

// evenBound is a bound that lets the targets which are not idle share all requests
// approximately evenly. A lower bound would leave no target below it. evenTightBound is the
// equivalent when the bound is tight. It leaves half of the targets below it.
var (
	evenBound      = Bound{Multiple: 1.15, Extra: 1}
	evenTightBound = Bound{Multiple: 1}
)

// sessionLimit is the load up to which a target gets requests of a session.
type sessionLimit struct {
	max float64
	// tight reports whether, among many gateways, a target at the mean may exceed the bound
	// because of requests that are not reported yet.
	tight bool
}

// sessionLimitFor returns the load up to which a target gets requests of a session, given the mean
// load of the targets that openTargets returned last. The limit is lower while some targets are
// idle, because the whole bound refers to the mean of all targets. The caller must hold b.mu.
func (b *Balancer) sessionLimitFor(query Query, mean float64) sessionLimit {
	usual := b.boundOf(query).limitAt(mean)
	idle, open := b.scratch.idle, float64(len(b.scratch.healthy))
	if idle.count == 0 || open == 0 {
		return sessionLimit{max: usual}
	}
	whole := b.options.Whole.limitAt((mean*open + idle.load) / (open + float64(idle.count)))
	if b.manyPeers && whole-mean < tightSpread*math.Sqrt(mean) {
		limit := max(min(idleShare*whole, whole-unreportedMargin), evenTightBound.limitAt(mean))
		return sessionLimit{max: min(usual, limit), tight: true}
	}
	return sessionLimit{max: min(usual, max(idleShare*whole, evenLimit(mean, whole)))}
}

// evenLimit returns the limit that lets the open targets share all requests approximately
// evenly. One more request at a target with that load keeps the whole bound, unless the mean
// already exceeds it.
func evenLimit(mean, whole float64) float64 {
	even := evenBound.limitAt(mean)
	if whole-1 < mean {
		return even
	}
	return min(even, whole-1)
}
