package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Among many gateways, a surge fills targets faster than counts per target can be reported.
// These reports grow with the load, so each gateway reports less often when it matters most,
// and all gateways fill the same capacity. One total per service always fits into a report.
// The requests that others admitted since their last report are estimated from the growth of
// this gateway's own requests in the same time, because callers are spread over all gateways.
// That fails while callers move between gateways, so each new report is compared with what was
// estimated for it.

const (
	// totalTTL is the minimum time for which another gateway's total stays valid. With more
	// gateways it is long enough to miss a few reports: a gateway reports to one peer every
	// reportEvery, and a total stays valid for totalsMissed times as long as reporting to all
	// peers takes.
	totalTTL     = 5 * time.Second
	reportEvery  = 16 * time.Millisecond
	totalsMissed = 3
	// refreshEvery is the minimum interval between two evaluations of the totals.
	refreshEvery = 50 * time.Millisecond
	// historyEvery is the interval at which this process records its own totals.
	historyEvery = 100 * time.Millisecond
	// growthBase is added to this process's own totals before they are compared, in requests,
	// so that random changes of a few requests have little effect. It shrinks when this
	// process has more than fewRequests: the total has then grown in a surge, and the other
	// gateways' reports are from before it.
	growthBase  = 2.0
	fewRequests = 8.0
	// minGrowth and maxGrowth limit the estimated growth.
	minGrowth = 0.5
	maxGrowth = 32.0
	// maxScale limits the extrapolation from few reports: fewer reports than that say little
	// about a target.
	maxScale = 4.0
)

// Total is one gateway's number of requests in flight at all targets of a service. The service
// is identified by the upper half of its name's hash.
type Total struct {
	Service uint32
	Count   int
}

// timedCount is a total at some time.
type timedCount struct {
	count int
	at    time.Time
}

// serviceLoad is what is known about all requests of a service.
type serviceLoad struct {
	// own is the number of this process's requests in flight.
	own int
	// sharedGrowth compares the growth that was estimated for other gateways with what they reported.
	sharedGrowth sharedGrowth
	// history holds earlier values of own, oldest first.
	history []timedCount
	// totals holds the totals of the other gateways, by gateway ID.
	totals map[string]timedCount
	// others is the estimated current sum of the other gateways' totals. unreported is the
	// part of their reported totals that no count per target contains, divided by the number
	// of targets that take requests.
	others     float64
	unreported float64
	// scale is the ratio of all other gateways to those that reported recently: when
	// heartbeats are rare, counts per target cover only some of the gateways. unestimated is
	// like unreported, but less what scale compensates for. Choices use these two values.
	// Capacity is computed from the reported values, because departed gateways go unnoticed
	// for a while.
	scale       float64
	unestimated float64
	// slots is the total number of slots of the open targets; zero if unknown.
	slots     int
	refreshed time.Time
}

// Totals returns this process's own requests in flight by service, without zeros.
func (b *Balancer) Totals() []Total {
	b.mu.Lock()
	defer b.mu.Unlock()
	var totals []Total
	for name, svc := range b.services {
		if svc.load.own > 0 {
			totals = append(totals, Total{Service: shortHash(policy.HashName(name)), Count: svc.load.own})
		}
	}
	slices.SortFunc(totals, func(x, y Total) int { return cmp.Compare(x.Service, y.Service) })
	return totals
}

// ObserveTotals records another gateway's totals. Services that are not listed have none.
func (b *Balancer) ObserveTotals(gateway string, totals []Total, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, svc := range b.services {
		short := shortHash(policy.HashName(name))
		at := slices.IndexFunc(totals, func(total Total) bool { return total.Service == short })
		if at < 0 {
			delete(svc.load.totals, gateway)
			continue
		}
		if svc.load.totals == nil {
			svc.load.totals = make(map[string]timedCount)
		}
		if last, known := svc.load.totals[gateway]; known && now.Sub(last.at) <= b.totalTTL {
			svc.load.sharedGrowth.record(last.count, totals[at].Count, svc.load.growthSince(last.at), now)
		}
		svc.load.totals[gateway] = timedCount{count: totals[at].Count, at: now}
	}
}

// refreshTotals re-evaluates the totals, unless that was done less than refreshEvery ago. The
// caller must hold b.mu.
func (b *Balancer) refreshTotals(svc *service, now time.Time) {
	load := &svc.load
	if since := now.Sub(load.refreshed); since >= 0 && since < refreshEvery {
		return
	}
	load.refreshed = now
	load.recordOwn(now, b.totalTTL)
	load.others, load.unreported, load.slots = 0, 0, 0
	load.scale, load.unestimated = 1, 0
	if !b.manyPeers {
		return
	}
	load.slots = slotsOf(b.openTargets(svc, nil, svc.admitting, now))
	reported := 0
	for gateway, total := range load.totals {
		if now.Sub(total.at) > b.totalTTL {
			delete(load.totals, gateway)
			continue
		}
		reported += total.count
		load.others += float64(total.count) * load.sharedGrowth.apply(load.growthSince(total.at), now)
	}
	everyVersion := !svc.restrictedBy(&svc.admitting)
	counted, listed := 0, 0
	for _, target := range svc.targets {
		if target.unlistedAt.IsZero() && !target.cold.isCold && !b.evacuated[target.DataCenter] && (everyVersion || svc.versions[target.version].admitted) {
			listed++
		}
		counted += target.others
	}
	if listed > 0 {
		load.scale = b.reportScale(now)
		load.unreported = math.Max(0, float64(reported-counted)/float64(listed))
		load.unestimated = math.Max(0, (float64(reported)-float64(counted)*load.scale)/float64(listed))
	}
}

// reportScale returns the ratio of all other gateways to those that reported recently, at most
// maxScale. The caller must hold b.mu.
func (b *Balancer) reportScale(now time.Time) float64 {
	b.expireReports(now)
	return min(max(float64(b.peers)/float64(max(len(b.reports), 1)), 1), maxScale)
}

// recordOwn adds this process's own total to the history. The history covers the time for
// which other gateways' totals stay valid. An older total of another gateway would be scaled
// by the own total of a different moment.
func (l *serviceLoad) recordOwn(now time.Time, ttl time.Duration) {
	if last := len(l.history) - 1; last >= 0 && now.Sub(l.history[last].at) < historyEvery {
		return
	}
	firstKept := slices.IndexFunc(l.history, func(known timedCount) bool { return now.Sub(known.at) <= ttl })
	if firstKept > 0 {
		l.history = slices.Delete(l.history, 0, firstKept)
	}
	l.history = append(l.history, timedCount{count: l.own, at: now})
}

// growthSince returns the ratio of this process's requests in flight to those at an earlier
// time.
func (l *serviceLoad) growthSince(at time.Time) float64 {
	earlier := l.own
	if len(l.history) > 0 {
		// The last entry that is not after it, or the first entry.
		next, _ := slices.BinarySearchFunc(l.history, at, func(known timedCount, at time.Time) int {
			if known.at.After(at) {
				return 1
			}
			return -1
		})
		earlier = l.history[max(next-1, 0)].count
	}
	base := growthBase * min(1, fewRequests/max(float64(l.own), 1))
	growth := (float64(l.own) + base) / (float64(earlier) + base)
	return min(max(growth, minGrowth), maxGrowth)
}

// remainingRoom returns how many more requests the service's targets can take according to the
// totals, at a given headroom; unbounded if the slots of a target are unknown.
func (l *serviceLoad) remainingRoom(headroom float64, unbounded int) int {
	if l.slots == 0 {
		return unbounded
	}
	return max(int(headroom*float64(l.slots)-l.others)-l.own, 0)
}

// slotsOf returns the total number of slots of the warm targets; zero if that of any is
// unknown.
func slotsOf(targets []*state) int {
	total := 0
	for _, target := range targets {
		if target.cold.isCold {
			continue
		}
		slots := target.slots()
		if slots == 0 {
			return 0
		}
		total += slots
	}
	return total
}
