package gateway

import (
	"sync"
	"time"
)

// meanWeight is the weight of a new sample in the moving mean of a route's times, and in the moving
// mean of the deviations from it. The first samples weigh more, so that all of them weigh the same.
const meanWeight = 0.05

// routeTimes holds how long something takes on each route, by route name. Routes removed from the
// configuration are kept: they cost a few numbers each.
type routeTimes struct {
	mu     sync.Mutex
	routes map[string]routeTime
}

// routeTime is the moving mean of the times and the mean deviation from it, in seconds.
type routeTime struct {
	mean, spread float64
	samples      int
}

func (t *routeTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]routeTime)
	}
	known := t.routes[route]
	known.samples++
	if known.samples == 1 {
		known.mean, known.spread = took.Seconds(), took.Seconds()/2
	}
	weight := max(meanWeight, 1/float64(known.samples))
	deviation := took.Seconds() - known.mean
	known.mean += weight * deviation
	if known.samples > 1 {
		known.spread += weight * (max(deviation, -deviation) - known.spread)
	}
	t.routes[route] = known
}

// maxUsual returns the longest usual time, a number of deviations above the mean, or zero if nothing
// is known.
func (t *routeTimes) maxUsual(route string, deviations float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.routes[route]
	return time.Duration((known.mean + deviations*known.spread) * float64(time.Second))
}
