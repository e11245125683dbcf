package balance

import (
	"math"
	"time"
)

const (
	// stallWeight is the weight of a new stream in a path's moving share of stalled streams.
	stallWeight = 0.1
	// stallHalfLife is the half-life with which that share decays: a path that is avoided
	// yields no new samples, and is tried again after a few seconds.
	stallHalfLife = 2 * time.Second
	// minBadShare is the share from which a path is avoided, if another one has less than a
	// third of it.
	minBadShare   = 0.45
	badShareRatio = 3.0
)

// path is the state of the network path from this process to a data centre.
type path struct {
	// stalled is the moving share of streams that stalled on the path.
	stalled   float64
	updatedAt time.Time
}

// share returns the moving share at a time.
func (p *path) share(now time.Time) float64 {
	if p == nil {
		return 0
	}
	return p.stalled * math.Exp2(-max(now.Sub(p.updatedAt), 0).Seconds()/stallHalfLife.Seconds())
}

// NoteStream records whether a stream from a target stalled between two events for much longer
// than its callers accept. If packets are lost between data centres, most streams on that path
// stall.
func (b *Balancer) NoteStream(incarnation string, stalled bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return
	}
	sample := 0.0
	if stalled {
		sample = 1
	}
	previous := b.paths[target.DataCenter]
	share := previous.share(now)
	b.paths[target.DataCenter] = &path{stalled: share + stallWeight*(sample-share), updatedAt: now}
}

// avoidBadPaths returns the targets that are not behind a bad path and are below a bound, or
// all targets if there are none. The caller must hold b.mu.
func (b *Balancer) avoidBadPaths(targets []*state, bound float64, now time.Time) []*state {
	if !b.anyBadPath(now) {
		return targets
	}
	worst, best := 0.0, 1.0
	for _, target := range targets {
		share := b.paths[target.DataCenter].share(now)
		worst, best = max(worst, share), min(best, share)
	}
	if worst < minBadShare {
		return targets
	}
	maxShare := max(minBadShare, badShareRatio*best)
	good := b.scratch.onGoodPaths[:0]
	for _, target := range targets {
		if b.paths[target.DataCenter].share(now) < maxShare && target.load() <= bound {
			good = append(good, target)
		}
	}
	b.scratch.onGoodPaths = good
	if len(good) == 0 {
		return targets
	}
	return good
}

// anyBadPath reports whether streams stall on the path to any data centre.
func (b *Balancer) anyBadPath(now time.Time) bool {
	for _, p := range b.paths {
		if p.share(now) >= minBadShare {
			return true
		}
	}
	return false
}
