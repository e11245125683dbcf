package rollout

import (
	"slices"
	"strconv"
	"time"
)

// selfID is the key of the deciding gateway's own reports.
const selfID = ""

// gatewayReports is what one gateway has reported.
type gatewayReports struct {
	report Report
	at     time.Time
	// incarnations counts the gateway's incarnations; requests and exposed are the totals of the
	// ended ones.
	incarnations      int
	requests, exposed int
	// samples are the request counts of the last reports of this incarnation, oldest first.
	samples []rateSample
}

// followsMove reports whether the gateway's last report says that it sends all requests to the
// order's version.
func (g *gatewayReports) followsMove(order int64) bool {
	return g.report.Order == order && g.report.Stage == Move
}

type rateSample struct {
	at       time.Time
	requests int
}

// addReport takes in a report. A gateway's count of requests to the version may decrease, since
// it includes reservations that are released later.
func (d *decider) addReport(from string, report Report, now time.Time) {
	if report.Order != d.order.Revision {
		return
	}
	g := d.gateways[from]
	if g == nil {
		g = new(gatewayReports)
		d.gateways[from] = g
	}
	if g.restarted(report) {
		g.incarnations++
		g.requests += g.report.Requests
		g.exposed += g.report.Exposed
		g.samples = nil
	}
	g.report, g.at = report, now
	g.addSample(rateSample{at: now, requests: report.Requests})
	if since := now.Add(-report.Age); since.Before(d.knownSince) {
		d.knownSince = since
	}
	d.judge.AddReport(from+"#"+strconv.Itoa(g.incarnations), report.Tallies)
}

// restarted reports whether a report's totals come from another incarnation of the gateway.
func (g *gatewayReports) restarted(report Report) bool {
	return report.Incarnation != g.report.Incarnation || report.Requests < g.report.Requests
}

// addSample keeps a sample for measuring the rate.
func (g *gatewayReports) addSample(sample rateSample) {
	if last := len(g.samples) - 1; last >= 0 && sample.at.Sub(g.samples[last].at) < minSampleInterval {
		return
	}
	g.samples = append(g.samples, sample)
	for len(g.samples) > 2 && sample.at.Sub(g.samples[1].at) >= rateWindow {
		g.samples = g.samples[1:]
	}
}

// rate returns the gateway's requests per second; false if that is not known yet.
func (g *gatewayReports) rate() (float64, bool) {
	if len(g.samples) < 2 {
		return 0, false
	}
	first, last := g.samples[0], g.samples[len(g.samples)-1]
	return float64(last.requests-first.requests) / last.at.Sub(first.at).Seconds(), true
}

// totals returns the requests of all gateways since the order.
func (d *decider) totals() (requests, exposed int) {
	for _, g := range d.gateways {
		requests += g.requests + g.report.Requests
		exposed += g.exposed + g.report.Exposed
	}
	return requests, exposed
}

// informed reports whether this process has the available evidence: all live gateways have
// reported recently, or they have had the time to and half of them did. With fewer reports, the
// others may report to another gateway that decides.
func (d *decider) informed(s stepInput, now time.Time) bool {
	if s.minority {
		return false
	}
	if d.allReported(s, now) {
		return true
	}
	reported := 1
	for _, id := range s.livePeers {
		if g := d.gateways[id]; g != nil && !d.isLate(g, now) {
			reported++
		}
	}
	return d.waitedForReports(now) && 2*reported >= len(s.livePeers)+1
}

// waitedForReports reports whether all gateways have had the time to report to this process.
func (d *decider) waitedForReports(now time.Time) bool {
	return now.Sub(d.decidingSince) >= 2*d.reportInterval+reportGrace
}

// allReported reports whether each live gateway has reported recently.
func (d *decider) allReported(s stepInput, now time.Time) bool {
	for _, id := range s.livePeers {
		g := d.gateways[id]
		if g == nil || d.isLate(g, now) {
			return false
		}
	}
	return true
}

// isLate reports whether a gateway's next report is overdue.
func (d *decider) isLate(h *gatewayReports, now time.Time) bool {
	return now.Sub(h.at) > 2*d.reportInterval+reportGrace
}

// affordableMove returns for how long all requests may go to the version from now on, so that the
// remaining share and slack cover them even if the version then proves bad.
func (d *decider) affordableMove(s stepInput, now time.Time) time.Duration {
	requests, exposed := d.totals()
	budget := d.options.Share*float64(requests) - float64(exposed)
	if sinceOrder := d.options.Share*float64(requests-d.requestsBefore) - float64(exposed-d.exposedBefore); sinceOrder < budget {
		// The bound holds for each order, even if it repeats the previous one.
		budget = sinceOrder
	}
	budget += d.usableSlack(s)
	duration := min(maxMove, d.deadline.Sub(now))
	rate, known := d.rate(now)
	if !known {
		return 0
	}
	rate *= rateMargin
	if rate*duration.Seconds() <= budget {
		return duration
	}
	covered := time.Duration(max(budget, 0) / rate * float64(time.Second))
	return min(duration, covered+scale(d.meanEntryDelay(now), unspentEntryPart))
}

// meanEntryDelay returns the average time until a gateway receives the grant of the move, which
// is when its next report is due.
func (d *decider) meanEntryDelay(now time.Time) time.Duration {
	total := time.Duration(0)
	for id, g := range d.gateways {
		if id != selfID && !d.isLate(g, now) {
			total += min(max(g.at.Add(d.moveReportInterval()).Sub(now), 0), d.moveReportInterval())
		}
	}
	return total / time.Duration(max(len(d.gateways), 1))
}

// usableSlack returns the part of the slack that this process may use. If it is in contact with
// only some of the gateways, another one may decide for the rest.
func (d *decider) usableSlack(s stepInput) float64 {
	live := 0
	for id := range d.gateways {
		if slices.Contains(s.livePeers, id) {
			live++
		}
	}
	known := max(len(d.gateways), s.maxPeers+1)
	return d.options.Slack * float64(min(live+1, known)) / float64(known)
}

// rate returns the service's requests per second; false if that is not known yet.
func (d *decider) rate(now time.Time) (float64, bool) {
	total := 0.0
	for _, g := range d.gateways {
		if d.isLate(g, now) {
			continue
		}
		rate, known := g.rate()
		if !known {
			return 0, false
		}
		total += rate
	}
	return total, true
}
