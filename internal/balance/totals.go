package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Among many gateways a surge fills targets faster than counts by target can
// be reported: these grow with the load, so that each gateway reports less often
// when it matters most, and all of them fill the same room. One total for each
// service always fits. What the others have admitted since they reported is
// estimated by how this gateway's own requests have grown meanwhile: callers are
// spread over all gateways.

const (
	// totalLife is how long another gateway's total is believed, at least; where
	// there are more of them, as long as it takes to miss a few: a gateway reports
	// to one peer every reportEvery, and totalsMissed times all of them.
	totalLife    = 5 * time.Second
	reportEvery  = 16 * time.Millisecond
	totalsMissed = 3
	// refreshEvery is the time between two looks at what the totals say.
	refreshEvery = 50 * time.Millisecond
	// historyEvery is the time between two moments of which this process's own totals are
	// remembered.
	historyEvery = 100 * time.Millisecond
	// growthBase is added to own totals before they are compared, in requests: few requests
	// come and go without meaning anything. It fades where this process has more than
	// fewRequests: a surge has made many of few, and others' reports of before it are as old.
	growthBase  = 2.0
	fewRequests = 8.0
	// leastGrowth and mostGrowth bound the comparison.
	leastGrowth = 0.5
	// mostScale bounds what is made of few reports: of fewer they tell little of a target.
	mostScale  = 4.0
	mostGrowth = 32.0
)

// Total is one gateway's requests in flight at all targets of a service, which
// is named by the upper half of its name's hash.
type Total struct {
	Service uint32
	Count   int
}

// moment is a total at some time.
type moment struct {
	count int
	at    time.Time
}

// overall is what is known of all of a service's requests.
type overall struct {
	// own are this process's requests in flight.
	own int
	// history are earlier values of own, the oldest first.
	history []moment
	// totals are those of the other gateways, by id.
	totals map[string]moment
	// others is their estimated sum by now, and unreported is how much of what
	// they reported is in no count of a target, for each target that takes work.
	others     float64
	unreported float64
	// scale is how many times as many gateways share the targets as were heard lately: when
	// beats are few, counts by target are those of a part of the gateways. unestimated is
	// unreported less what that makes good. Choices go by these; room goes by what was reported,
	// since gateways that are gone are not known to be for a while.
	scale       float64
	unestimated float64
	// slots are those of the open targets; zero if they are not known.
	slots     int
	refreshed time.Time
}

// Totals are this process's own requests in flight by service, without zeros.
func (b *Balancer) Totals() []Total {
	b.mu.Lock()
	defer b.mu.Unlock()
	var totals []Total
	for name, known := range b.services {
		if known.overall.own > 0 {
			totals = append(totals, Total{Service: shortOf(policy.HashName(name)), Count: known.overall.own})
		}
	}
	slices.SortFunc(totals, func(x, y Total) int { return cmp.Compare(x.Service, y.Service) })
	return totals
}

// ObserveTotals notes another gateway's totals; services that are left out have
// none.
func (b *Balancer) ObserveTotals(gateway string, totals []Total, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, known := range b.services {
		short := shortOf(policy.HashName(name))
		at := slices.IndexFunc(totals, func(total Total) bool { return total.Service == short })
		if at < 0 {
			delete(known.overall.totals, gateway)
			continue
		}
		if known.overall.totals == nil {
			known.overall.totals = make(map[string]moment)
		}
		known.overall.totals[gateway] = moment{count: totals[at].Count, at: now}
	}
}

// refresh works out what the totals say by now, unless that was done a moment
// ago; b.mu is held.
func (b *Balancer) refresh(known *service, now time.Time) {
	o := &known.overall
	if since := now.Sub(o.refreshed); since >= 0 && since < refreshEvery {
		return
	}
	o.refreshed = now
	o.remember(now, b.totalLife)
	o.others, o.unreported, o.slots = 0, 0, 0
	o.scale, o.unestimated = 1, 0
	if !b.manyPeers {
		return
	}
	o.slots = slotsOf(b.open(known, nil, known.admitting, now))
	reported := 0
	for gateway, total := range o.totals {
		if now.Sub(total.at) > b.totalLife {
			delete(o.totals, gateway)
			continue
		}
		reported += total.count
		o.others += float64(total.count) * o.growthSince(total.at)
	}
	everyVersion := !known.boundBy(&known.admitting)
	counted, listed := 0, 0
	for _, target := range known.targets {
		if target.goneAt.IsZero() && !target.cold.yet && !b.evacuated[target.DataCenter] && (everyVersion || known.versions[target.version].admitted) {
			listed++
		}
		counted += target.others
	}
	if listed > 0 {
		o.scale = b.unheard(now)
		o.unreported = math.Max(0, float64(reported-counted)/float64(listed))
		o.unestimated = math.Max(0, (float64(reported)-float64(counted)*o.scale)/float64(listed))
	}
}

// unheard is how many times as many other gateways there are as have reported lately, at most
// mostScale; b.mu is held.
func (b *Balancer) unheard(now time.Time) float64 {
	b.expireReports(now)
	return min(max(float64(b.peers)/float64(max(len(b.reports), 1)), 1), mostScale)
}

// remember notes this process's own total, for as long as others' are believed: an older one
// of theirs would be scaled by what was here at another moment.
func (o *overall) remember(now time.Time, kept time.Duration) {
	if last := len(o.history) - 1; last >= 0 && now.Sub(o.history[last].at) < historyEvery {
		return
	}
	old := slices.IndexFunc(o.history, func(known moment) bool { return now.Sub(known.at) <= kept })
	if old > 0 {
		o.history = slices.Delete(o.history, 0, old)
	}
	o.history = append(o.history, moment{count: o.own, at: now})
}

// growthSince is how many times as many requests this process has in flight as
// at a moment.
func (o *overall) growthSince(at time.Time) float64 {
	then := o.own
	if len(o.history) > 0 {
		// The last moment that is not after it, or the first there is.
		next, _ := slices.BinarySearchFunc(o.history, at, func(known moment, at time.Time) int {
			if known.at.After(at) {
				return 1
			}
			return -1
		})
		then = o.history[max(next-1, 0)].count
	}
	base := growthBase * min(1, fewRequests/max(float64(o.own), 1))
	growth := (float64(o.own) + base) / (float64(then) + base)
	return min(max(growth, leastGrowth), mostGrowth)
}

// roomLeft is how many more requests the service's targets can take by the
// totals, at a headroom; unbounded if the slots of one are unknown.
func (o *overall) roomLeft(headroom float64, unbounded int) int {
	if o.slots == 0 {
		return unbounded
	}
	return max(int(headroom*float64(o.slots)-o.others)-o.own, 0)
}

// slotsOf is how many requests targets that are warm work on at once, all together;
// zero if that of one is unknown.
func slotsOf(targets []*state) int {
	total := 0
	for _, target := range targets {
		if target.cold.yet {
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
