package balance

import (
	"cmp"
	"slices"
	"time"
)

// Count is a number of requests in flight at a target. The target is identified by its hash,
// of which the upper half is enough.
type Count struct {
	Target uint64
	Count  int
}

// report is the last report of another gateway's requests in flight.
type report struct {
	counts []reportedCount
	at     time.Time
}

// reportedCount is one gateway's count of its requests at one target.
type reportedCount struct {
	target *state
	count  int
}

// reportTTL is how long another gateway's report stays valid.
const reportTTL = 2500 * time.Millisecond

// Observe records another gateway's requests in flight, without zeros.
func (b *Balancer) Observe(gateway string, counts []Count, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last, ok := b.reports[gateway]
	if !ok {
		last = new(report)
		b.reports[gateway] = last
	}
	last.remove()
	last.at = now
	for _, count := range counts {
		if target, ok := b.byShort[shortHash(count.Target)]; ok {
			target.others += count.Count
			last.counts = append(last.counts, reportedCount{target: target, count: count.Count})
		}
	}
	if end := now.Add(reportTTL); b.reportsEnd.IsZero() || end.Before(b.reportsEnd) {
		b.reportsEnd = end
	}
}

// remove subtracts the report's counts from its targets.
func (r *report) remove() {
	for _, count := range r.counts {
		count.target.others -= count.count
	}
	r.counts = r.counts[:0]
}

// expireReports removes reports that are too old. It must be called before loads are used. The
// caller must hold b.mu.
func (b *Balancer) expireReports(now time.Time) {
	if b.reportsEnd.IsZero() || !now.After(b.reportsEnd) {
		return
	}
	b.reportsEnd = time.Time{}
	for gateway, known := range b.reports {
		end := known.at.Add(reportTTL)
		if now.After(end) {
			known.remove()
			delete(b.reports, gateway)
			continue
		}
		if b.reportsEnd.IsZero() || end.Before(b.reportsEnd) {
			b.reportsEnd = end
		}
	}
}

// shortHash returns the upper half of a hash, by which gateways identify targets in their load
// reports.
func shortHash(hash uint64) uint32 {
	return uint32(hash >> 32)
}

// InFlight returns this process's own requests in flight, without zeros.
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
