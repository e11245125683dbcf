package balance

import "math"

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
	whole := b.wholeBound(mean, open)
	if b.manyPeers && whole-mean < tightSpread*math.Sqrt(mean) {
		limit := max(min(idleShare*whole, whole-unreportedMargin), evenTightBound.limitAt(mean))
		return sessionLimit{max: min(usual, limit), tight: true}
	}
	return sessionLimit{max: min(usual, max(idleShare*whole, evenLimit(mean, whole)))}
}

// wholeBound returns the bound on a target's load, given the mean load of the targets that
// openTargets returned last and their number. It refers to the mean of all targets. The caller must
// hold b.mu.
func (b *Balancer) wholeBound(mean, open float64) float64 {
	idle := b.scratch.idle
	return b.options.Whole.limitAt((mean*open + idle.load) / (open + float64(idle.count)))
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
