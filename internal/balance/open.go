package balance

import (
	"math"
	"slices"
	"time"
)

// open are the targets that may take the request: listed, not leaving, not resting, not in
// an evacuated data centre, of an admitted version, not tried and not ejected; cold ones
// only while it is this gateway's turn. When all others are ejected the ejected ones serve.
// When the entries of half of a service's targets or more have disappeared, these
// targets keep serving for a while: entries lapse while the store is down, and
// are registered again soon after it is back. Of ejected and lapsed ones, too, only
// admitted versions count: where the others were taken away together, nothing lapsed.
// b.mu is held.
func (b *Balancer) open(known *service, exclude []string, versions Versions, now time.Time) []*state {
	b.scratch.idle = idleTargets{}
	if !known.boundBy(&versions) {
		return b.openOf(known.targets, exclude, now)
	}
	open := b.openOf(b.admitted(known, versions), exclude, now)
	open = b.narrow(known, open, versions)
	if len(b.scratch.healthy) > 0 {
		b.scratch.healthy = open
	}
	return open
}

// openOf are those of some of a service's targets that are open; b.mu is held.
func (b *Balancer) openOf(listed []*state, exclude []string, now time.Time) []*state {
	healthy, ejected, lapsed := b.scratch.healthy[:0], b.scratch.ejected[:0], b.scratch.lapsed[:0]
	present := 0
	for _, target := range listed {
		if !target.aside && len(exclude) == 0 {
			present++
			healthy = append(healthy, target)
			continue
		}
		gone := !target.goneAt.IsZero()
		if !gone {
			present++
		}
		idle := b.isIdle(target, now)
		switch {
		case idle && !gone && !target.leaving():
			b.scratch.idle.add(target)
		case idle || target.leaving() || slices.Contains(exclude, target.life):
		case gone && target.goneFor(now) <= b.options.Lapse && !target.health.ejected(now):
			lapsed = append(lapsed, target)
		case gone:
		case target.health.ejected(now) || target.doubted(now):
			ejected = append(ejected, target)
		default:
			target.aside = target.cold.yet || target.said.rest.untried()
			healthy = append(healthy, target)
		}
	}
	if len(lapsed) >= leastLapsed && len(lapsed) >= present {
		healthy = append(healthy, lapsed...)
		present += len(lapsed)
	}
	if most := int(b.options.MaxEjected * float64(present)); len(ejected) > most {
		healthy = append(healthy, comeBack(ejected, len(ejected)-most)...)
	}
	b.scratch.healthy, b.scratch.ejected, b.scratch.lapsed = healthy, ejected, lapsed
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// isIdle says whether a target is to get nothing now, though it may be there later: its data
// centre is evacuated, it rests, or it is cold and this is not the gateway's turn. b.mu is held.
func (b *Balancer) isIdle(target *state, now time.Time) bool {
	return b.evacuated[target.DataCenter] || target.said.rest.holdsBack(now) || b.holdsBack(target, now)
}

// comeBack are those ejected targets whose time out ends first, so many of them: too
// many look bad.
func comeBack(ejected []*state, count int) []*state {
	slices.SortFunc(ejected, func(x, y *state) int {
		return x.health.ejectedUntil.Compare(y.health.ejectedUntil)
	})
	return ejected[:count]
}

// idleTargets are those that are registered and get nothing for a while, since they rest or
// are cold, their data centre is evacuated, or other versions take the requests.
type idleTargets struct {
	count int
	// load is the requests that they still have in flight.
	load float64
	// notAdmitted is how many of them take work, but are of a version that is not admitted.
	notAdmitted int
}

func (i *idleTargets) add(target *state) {
	i.count++
	i.load += float64(target.inFlight) + target.estimate()
}

const (
	// idleShare of the bound that no target may be above is kept while some targets
	// are idle: the bound is on the mean of all, and the others hold more than that.
	idleShare = 0.85
	// tightSpread times the root of the mean is how near to the bound the mean is when that
	// is tight: what many gateways send to a target without knowing of each other comes
	// like a Poisson process, whose deviation is that root; two of them are rarely passed.
	tightSpread = 2.0
	// unseen is how many requests a target among many gateways has beyond those that
	// they know of when the next one is sent. Thirty gateways report to each other every
	// 0.4 s; a target of fifty that share 250 requests a second gets two in that time, and
	// seldom more than three.
	unseen = 3.0
)

// evenly is a bound that lets the targets which are not idle share all requests evenly,
// more or less. None lower is of use: it would leave no target below it. evenlyTight is
// the same where the bound is tight: it leaves half of them.
var (
	evenly      = Bound{Multiple: 1.15, Extra: 1}
	evenlyTight = Bound{Multiple: 1}
)

// sessionLimit is up to how many requests a target gets those of a session.
type sessionLimit struct {
	most float64
	// tight says that among many gateways a target at the mean may be above the bound
	// by what nobody has seen yet.
	tight bool
}

// limitOf is up to how many requests a target of the last open ones gets those of a
// session, at their mean. While some are idle that is lower: on a day with a data centre
// evacuated and a surge 4 in 100 requests reached targets above the bound. b.mu is held.
func (b *Balancer) limitOf(query Query, mean float64) sessionLimit {
	usual := b.boundOf(query).at(mean)
	idle, open := b.scratch.idle, float64(len(b.scratch.healthy))
	if idle.count == 0 || open == 0 {
		return sessionLimit{most: usual}
	}
	whole := b.options.Whole.at((mean*open + idle.load) / (open + float64(idle.count)))
	if b.manyPeers && whole-mean < tightSpread*math.Sqrt(mean) {
		most := max(min(idleShare*whole, whole-unseen), evenlyTight.at(mean))
		return sessionLimit{most: min(usual, most), tight: true}
	}
	return sessionLimit{most: min(usual, max(idleShare*whole, evenly.at(mean)))}
}
