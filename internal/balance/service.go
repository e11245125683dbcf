package balance

import (
	"slices"
	"time"
)

// service is what the balancer knows about one service.
type service struct {
	targets []*state
	// versions holds the versions of its known targets.
	versions []version
	// knownSince is when its first target became known. formerVersions are the versions of targets
	// that are no longer known, with the times of the last removals.
	knownSince     time.Time
	formerVersions map[string]time.Time
	// admitting restricts which versions take requests at all, as of the last call of Room.
	admitting Versions
	// load describes all of its requests.
	load serviceLoad
	// cold is the bound for its cold targets.
	cold ColdBound
	// timing is nil until a request of the service has ended.
	timing *requestTiming
	// typical is the median of the targets' moving mean latencies, in seconds; zero if none is
	// known. samples counts the changes since it was computed.
	typical float64
	samples int
	// latencies is reused for each computation.
	latencies []float64
}

// typicalEvery is the number of new samples per target up to which the median is not
// recomputed: it changes slowly, and sorting for each request would cost more than the rest of
// a choice.
const typicalEvery = 1.0 / 16

// serviceOf returns a service and adds it if necessary. The caller must hold b.mu.
func (b *Balancer) serviceOf(name string) *service {
	svc, ok := b.services[name]
	if !ok {
		svc = new(service)
		b.services[name] = svc
	}
	return svc
}

// typicalLatency returns the median of the listed targets' moving means; zero if none is
// known.
func (s *service) typicalLatency() float64 {
	if float64(s.samples) <= typicalEvery*float64(len(s.targets)) {
		return s.typical
	}
	s.samples = 0
	s.latencies = s.latencies[:0]
	for _, target := range s.targets {
		if target.latency > 0 && target.unlistedAt.IsZero() {
			s.latencies = append(s.latencies, target.latency)
		}
	}
	s.typical = 0
	if len(s.latencies) > 0 {
		slices.Sort(s.latencies)
		s.typical = s.latencies[len(s.latencies)/2]
	}
	return s.typical
}

// scratch holds slices that are reused so that a choice does not allocate. Their content is
// valid until the next choice.
type scratch struct {
	admitted          []*state
	healthy           []*state
	ejected           []*state
	expired           []*state
	withRoom          []*state
	onGoodPaths       []*state
	drawFrom          []*state
	holderDataCenters []string
	scored            []scoredTarget
	// idle counts the idle targets of the last check.
	idle idleTargets
}
