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

// report is another gateway's requests in flight, as it reported them last.
type report struct {
	counts []reported
	at     time.Time
}

// reported is one gateway's count of its requests at one target.
type reported struct {
	target *state
	count  int
}

// reportLife is how long another gateway's report is believed.
const reportLife = 2500 * time.Millisecond

// Observe notes another gateway's requests in flight, without zeros.
func (b *Balancer) Observe(gateway string, counts []Count, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.reports[gateway]
	if !ok {
		known = new(report)
		b.reports[gateway] = known
	}
	known.withdraw()
	known.at = now
	for _, count := range counts {
		if target, ok := b.byShort[shortOf(count.Target)]; ok {
			target.others += count.Count
			known.counts = append(known.counts, reported{target: target, count: count.Count})
		}
	}
	if end := now.Add(reportLife); b.reportsEnd.IsZero() || end.Before(b.reportsEnd) {
		b.reportsEnd = end
	}
}

// withdraw takes the report's counts off its targets.
func (r *report) withdraw() {
	for _, count := range r.counts {
		count.target.others -= count.count
	}
	r.counts = r.counts[:0]
}

// expireReports withdraws reports that are too old; b.mu is held. Whoever uses
// loads calls it first.
func (b *Balancer) expireReports(now time.Time) {
	if b.reportsEnd.IsZero() || !now.After(b.reportsEnd) {
		return
	}
	b.reportsEnd = time.Time{}
	for gateway, known := range b.reports {
		end := known.at.Add(reportLife)
		if now.After(end) {
			known.withdraw()
			delete(b.reports, gateway)
			continue
		}
		if b.reportsEnd.IsZero() || end.Before(b.reportsEnd) {
			b.reportsEnd = end
		}
	}
}

// shortOf is the upper half of a target's hash: gateways name targets by it
// when they report their loads to each other.
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
