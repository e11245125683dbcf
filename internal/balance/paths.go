package balance

import (
	"math"
	"time"
)

const (
	// haltWeight is the share of a new stream in a path's moving share of
	// streams that halted.
	haltWeight = 0.1
	// haltHalfLife is how fast that share fades: a path that is avoided shows
	// nothing new of itself, and is tried again after a few seconds.
	haltHalfLife = 2 * time.Second
	// haltMost is the share from which a path is avoided, if another one has
	// less than a third of it.
	haltMost  = 0.45
	haltRatio = 3.0
)

// path is what is known of the way from this process to a data centre.
type path struct {
	// halted is the moving share of streams that halted on the way.
	halted float64
	at     time.Time
}

// share is the moving share now.
func (p *path) share(now time.Time) float64 {
	if p == nil {
		return 0
	}
	return p.halted * math.Exp2(-max(now.Sub(p.at), 0).Seconds()/haltHalfLife.Seconds())
}

// NoteStream notes whether a stream from a target halted between two events
// for much longer than its callers want. Where packets are lost between data
// centres, most streams over that way do.
func (b *Balancer) NoteStream(life string, halted bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return
	}
	sample := 0.0
	if halted {
		sample = 1
	}
	known := b.paths[target.DataCenter]
	share := known.share(now)
	b.paths[target.DataCenter] = &path{halted: share + haltWeight*(sample-share), at: now}
}

// overGoodPaths are the targets that are not behind a bad path and that are
// below a bound; all if there are none such. b.mu is held.
func (b *Balancer) overGoodPaths(targets []*state, bound float64, now time.Time) []*state {
	if !b.anyBadPath(now) {
		return targets
	}
	worst, best := 0.0, 1.0
	for _, target := range targets {
		share := b.paths[target.DataCenter].share(now)
		worst, best = max(worst, share), min(best, share)
	}
	if worst < haltMost {
		return targets
	}
	most := max(haltMost, haltRatio*best)
	good := b.scratch.good[:0]
	for _, target := range targets {
		if b.paths[target.DataCenter].share(now) < most && target.load() <= bound {
			good = append(good, target)
		}
	}
	b.scratch.good = good
	if len(good) == 0 {
		return targets
	}
	return good
}

// anyBadPath says whether streams halt on the way to some data centre.
func (b *Balancer) anyBadPath(now time.Time) bool {
	for _, known := range b.paths {
		if known.share(now) >= haltMost {
			return true
		}
	}
	return false
}
