package balance

import (
	"cmp"
	"slices"
	"time"
)

// Count is a number of requests in flight at a target, named by its hash; the
// upper half of the hash is enough.
type Count struct {
	Target uint64
	Count  int
}

// Observe notes another gateway's requests in flight, without zeros.
func (b *Balancer) Observe(gateway string, counts []Count, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, target := range b.observed[gateway] {
		delete(target.others, gateway)
	}
	observed := b.observed[gateway][:0]
	for _, count := range counts {
		if target, ok := b.byShort[shortOf(count.Target)]; ok {
			target.others[gateway] = reading{count: count.Count, at: now}
			observed = append(observed, target)
		}
	}
	b.observed[gateway] = observed
}

// shortOf is the upper half of a target's hash: gateways name targets by it
// in what they tell each other of their loads.
func shortOf(hash uint64) uint32 {
	return uint32(hash >> 32)
}

// InFlight are this process's own requests in flight, without zeros.
func (b *Balancer) InFlight() []Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counts []Count
	for hash, target := range b.byHash {
		if target.inFlight > 0 {
			counts = append(counts, Count{Target: hash, Count: target.inFlight})
		}
	}
	slices.SortFunc(counts, func(x, y Count) int { return cmp.Compare(x.Target, y.Target) })
	return counts
}
