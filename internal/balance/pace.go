package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The pace of targets that share their hosts with other work changes within a second, while
// one gateway of dozens gets an answer from each of them only every few seconds. So each
// gateway reports the paces that it received recently, and an old pace is assumed to have
// decayed towards the usual one. A pace faster than usual counts as usual: all gateways know
// the same fastest target, and would otherwise all send to it at once.

const (
	// paceHalfLife is the half-life with which a received pace decays to the usual one.
	paceHalfLife = time.Second
	// maxPace limits the weight of a pace, as maxSlowness limits that of a latency.
	maxPace = 8.0
	// slowHostPace is the pace above which a prompt is better prefilled at another target.
	slowHostPace = 1.6
	// paceReportWindow is how long a pace is worth reporting; minPaceDifference is by how much
	// it must differ from what the other gateways assume.
	paceReportWindow  = 600 * time.Millisecond
	minPaceDifference = 0.25
)

// pace is the slowdown of a target relative to its usual speed, as received at some time; zero
// if none was received.
type pace struct {
	factor     float64
	receivedAt time.Time
}

// factorAt returns the assumed slowdown at a time.
func (p pace) factorAt(now time.Time) float64 {
	if p.factor == 0 {
		return 1
	}
	age := max(now.Sub(p.receivedAt), 0)
	return 1 + (p.factor-1)*math.Exp2(-age.Seconds()/paceHalfLife.Seconds())
}

// newPace returns a received pace, limited to the valid range.
func newPace(factor float64, receivedAt time.Time) pace {
	return pace{factor: min(max(factor, 1), maxPace), receivedAt: receivedAt}
}

// receivedPace is a pace that a target sent to this process; believed is what the other
// gateways assumed at that time.
type receivedPace struct {
	pace
	believed float64
}

// recordPace records a pace that a target sent to this process. The caller must hold b.mu.
func (b *Balancer) recordPace(target *state, factor float64, now time.Time) {
	believed := target.pace.factorAt(now)
	target.pace = newPace(factor, now)
	short := shortHash(target.hash)
	if math.Abs(target.pace.factor-believed) < minPaceDifference {
		delete(b.receivedPaces, short)
		return
	}
	b.receivedPaces[short] = receivedPace{pace: target.pace, believed: believed}
}

// Pace is a target's pace as received by another gateway.
type Pace struct {
	// Target is the upper half of the target's hash.
	Target uint32
	Factor float64
	Age    time.Duration
}

// ChangedPaces returns at most the given number of paces that this process received recently and
// that differ from what the other gateways assume, the largest differences first.
func (b *Balancer) ChangedPaces(limit int, now time.Time) []Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.receivedPaces) == 0 {
		return nil
	}
	reports := make([]Pace, 0, len(b.receivedPaces))
	for target, received := range b.receivedPaces {
		age := now.Sub(received.receivedAt)
		if age > paceReportWindow {
			delete(b.receivedPaces, target)
			continue
		}
		reports = append(reports, Pace{Target: target, Factor: received.factor, Age: max(age, 0)})
	}
	negatedDifference := func(p Pace) float64 { return -math.Abs(p.Factor - b.receivedPaces[p.Target].believed) }
	slices.SortFunc(reports, func(x, y Pace) int {
		return cmp.Or(cmp.Compare(negatedDifference(x), negatedDifference(y)), cmp.Compare(x.Target, y.Target))
	})
	return reports[:min(limit, len(reports))]
}

// ObservePaces records the paces that another gateway received. Paces that are newer here are
// kept.
func (b *Balancer) ObservePaces(paces []Pace, now time.Time) {
	if len(paces) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, reported := range paces {
		target, ok := b.byShort[reported.Target]
		if !ok {
			continue
		}
		if receivedAt := now.Add(-reported.Age); receivedAt.After(target.pace.receivedAt) {
			target.pace = newPace(reported.Factor, receivedAt)
		}
	}
}

const (
	// coldFactor is the assumed slowdown of a target that has just started.
	coldFactor = 1.6
	// maxSlowness limits the weight of one target's latency.
	maxSlowness = 8
)

// speedBaseline is the reference for the speeds of a service's targets at one time.
type speedBaseline struct {
	// typical is the typical time to the head of an answer, in seconds; zero if unknown.
	typical float64
	now     time.Time
}

// speedBaselineAt returns the baseline of the service's targets.
func (s *service) speedBaselineAt(now time.Time) speedBaseline {
	return speedBaseline{typical: s.typicalLatency(), now: now}
}

// slowness returns the ratio of a target's expected latency to the typical one. The target's
// own latency counts with at least a half.
func (s speedBaseline) slowness(target *state) float64 {
	factor := 1.0
	if target.latency > 0 && s.typical > 0 {
		factor = min(max(target.latency/s.typical, 0.5), maxSlowness)
	}
	if target.cold.isCold {
		factor *= coldFactor
	}
	return factor * target.pace.factorAt(s.now)
}

// onSlowHost reports whether other work on the target's host slows it down.
func (s speedBaseline) onSlowHost(target *state) bool {
	return target.pace.factorAt(s.now) > slowHostPace
}
