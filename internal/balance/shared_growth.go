package balance

import (
	"math"
	"time"
)

const (
	// sharedGrowthHalfLife is the half-life of earlier comparisons.
	sharedGrowthHalfLife = time.Second
	// minTellingGrowth is the least growth, or its inverse, that is compared: less is chance.
	minTellingGrowth = 1.5
	// presumedShared is the number of requests in favour of shared growth before any comparison.
	presumedShared = 4.0
	// enoughShared is the share of the estimated growth from which all of it counts as shared: others'
	// reports vary by chance too.
	enoughShared = 0.5
)

// sharedGrowth compares how much other gateways' requests were estimated to grow, or to shrink, as this
// gateway's own did, with how much they have.
type sharedGrowth struct {
	// estimated and seen are decaying sums of the changes, in requests; seen is never more.
	estimated, seen float64
	at              time.Time
}

// record adds the report of a gateway that had a number of requests in flight in its last report.
func (g *sharedGrowth) record(before, after int, growth float64, now time.Time) {
	if growth < minTellingGrowth && growth > 1/minTellingGrowth {
		return
	}
	g.decay(now)
	change := (float64(before) + growthBase) * (growth - 1)
	seen := float64(after - before)
	if change < 0 {
		change, seen = -change, -seen
	}
	g.estimated += change
	g.seen += min(max(seen, 0), change)
}

// apply returns the growth of other gateways, given this gateway's own.
func (g *sharedGrowth) apply(growth float64, now time.Time) float64 {
	g.decay(now)
	share := (g.seen + presumedShared) / (g.estimated + presumedShared)
	return 1 + (growth-1)*min(share/enoughShared, 1)
}

func (g *sharedGrowth) decay(now time.Time) {
	if since := now.Sub(g.at); since > 0 {
		factor := math.Exp2(-since.Seconds() / sharedGrowthHalfLife.Seconds())
		g.estimated *= factor
		g.seen *= factor
	}
	g.at = now
}
