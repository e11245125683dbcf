package rollout

import (
	"slices"
	"strconv"
	"time"
)

// own is the name under which the gateway that decides keeps its own reports.
const selfID = ""

// heard is what a gateway has reported.
type gatewayReports struct {
	report Report
	at     time.Time
	// lives counts its lives; requests and exposed are the sums of those that are over.
	incarnations      int
	requests, exposed int
	// samples are the counts of its last reports of this life, the oldest first.
	samples []rateSample
}

// obeysMove says whether the last report is of a gateway that sends all to the version
// of an order.
func (h *gatewayReports) obeysMove(order int64) bool {
	return h.report.Order == order && h.report.Stage == Move
}

type rateSample struct {
	at       time.Time
	requests int
}

// hear takes a report. What a gateway has sent to the version may become fewer: parts of
// the share that it holds for requests count until they are given back.
func (d *decider) addReport(from string, report Report, now time.Time) {
	if report.Order != d.order.Revision {
		return
	}
	h := d.gateways[from]
	if h == nil {
		h = new(gatewayReports)
		d.gateways[from] = h
	}
	if h.restarted(report) {
		h.incarnations++
		h.requests += h.report.Requests
		h.exposed += h.report.Exposed
		h.samples = nil
	}
	h.report, h.at = report, now
	h.addSample(rateSample{at: now, requests: report.Requests})
	if since := now.Add(-report.Age); since.Before(d.knownSince) {
		d.knownSince = since
	}
	d.judge.AddReport(from+"#"+strconv.Itoa(h.incarnations), report.Tallies)
}

// restarted says whether a report's sums are those of another life of its gateway.
func (h *gatewayReports) restarted(report Report) bool {
	return report.Incarnation != h.report.Incarnation || report.Requests < h.report.Requests
}

// sample keeps what the rate is measured by.
func (h *gatewayReports) addSample(sample rateSample) {
	if last := len(h.samples) - 1; last >= 0 && sample.at.Sub(h.samples[last].at) < minSampleInterval {
		return
	}
	h.samples = append(h.samples, sample)
	for len(h.samples) > 2 && sample.at.Sub(h.samples[1].at) >= rateWindow {
		h.samples = h.samples[1:]
	}
}

// rate is how many requests a second the gateway sends; false if that is not known yet.
func (h *gatewayReports) rate() (float64, bool) {
	if len(h.samples) < 2 {
		return 0, false
	}
	first, last := h.samples[0], h.samples[len(h.samples)-1]
	return float64(last.requests-first.requests) / last.at.Sub(first.at).Seconds(), true
}

// sums are the sendings of all gateways since the order.
func (d *decider) totals() (requests, exposed int) {
	for _, h := range d.gateways {
		requests += h.requests + h.report.Requests
		exposed += h.exposed + h.report.Exposed
	}
	return requests, exposed
}

// informed says whether this process knows what there is to know: all live gateways have
// reported lately, or they have had the time to, and half of them did. Of fewer the others
// may report to another gateway that decides.
func (d *decider) informed(s stepInput, now time.Time) bool {
	if s.minority {
		return false
	}
	if d.allReported(s, now) {
		return true
	}
	reported := 1
	for _, id := range s.livePeers {
		if h := d.gateways[id]; h != nil && !d.isLate(h, now) {
			reported++
		}
	}
	return d.waitedForReports(now) && 2*reported >= len(s.livePeers)+1
}

// waited says whether all gateways have had the time to report to this process.
func (d *decider) waitedForReports(now time.Time) bool {
	return now.Sub(d.decidingSince) >= 2*d.reportInterval+reportGrace
}

// allReported says whether each live gateway has reported lately.
func (d *decider) allReported(s stepInput, now time.Time) bool {
	for _, id := range s.livePeers {
		h := d.gateways[id]
		if h == nil || d.isLate(h, now) {
			return false
		}
	}
	return true
}

// late says whether a gateway has not reported lately.
func (d *decider) isLate(h *gatewayReports, now time.Time) bool {
	return now.Sub(h.at) > 2*d.reportInterval+reportGrace
}

// affords is how long everything may go to the version from now on: what is left of
// the share and the slack covers it, even if all of it then proves bad.
func (d *decider) affordableMove(s stepInput, now time.Time) time.Duration {
	requests, exposed := d.totals()
	budget := d.options.Share*float64(requests) - float64(exposed)
	if sinceOrder := d.options.Share*float64(requests-d.requestsBefore) - float64(exposed-d.exposedBefore); sinceOrder < budget {
		// The bound holds for each order, also if it repeats the one before.
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

// entry is how long it takes a gateway on average until it hears of the move, by when
// its next report is due.
func (d *decider) meanEntryDelay(now time.Time) time.Duration {
	total := time.Duration(0)
	for id, h := range d.gateways {
		if id != selfID && !d.isLate(h, now) {
			total += min(max(h.at.Add(d.moveReportInterval()).Sub(now), 0), d.moveReportInterval())
		}
	}
	return total / time.Duration(max(len(d.gateways), 1))
}

// slack is the part of it that this process may use: if it hears some of the gateways
// only that there were, another one may decide for the others.
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

// rate is how many requests a second reach the service; false if that is not known yet.
func (d *decider) rate(now time.Time) (float64, bool) {
	total := 0.0
	for _, h := range d.gateways {
		if d.isLate(h, now) {
			continue
		}
		rate, known := h.rate()
		if !known {
			return 0, false
		}
		total += rate
	}
	return total, true
}
