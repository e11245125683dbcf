package rollout

import (
	"slices"
	"time"
)

// report returns this gateway's report about a service; false if no order is running.
func (g *Gate) report(service string, now time.Time) (Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.trial == nil {
		return Report{}, false
	}
	return s.report(now), true
}

// dueReports returns the reports to be sent now, for the services that include accepts.
func (g *Gate) dueReports(now time.Time, every time.Duration, include func(service string) bool) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	for name, s := range g.services {
		if s.trial == nil || !include(name) {
			continue
		}
		if !s.trial.reportDue(now, every) {
			continue
		}
		s.trial.reportNow, s.trial.reportedAt = false, now
		s.trial.unanswered++
		reports = append(reports, s.report(now))
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(int64(a.Service) - int64(b.Service)) })
	return reports
}

// nameOf returns the service with a hash, if it has or had an order or a request.
func (g *Gate) nameOf(hash uint32) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.byHash[hash]
	if s == nil {
		return "", false
	}
	return s.name, true
}

// views returns the services that have an order or a record, sorted by name.
func (g *Gate) views(now time.Time) []view {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []view
	for _, s := range g.services {
		if s.lastOrder > 0 || s.revision > 0 {
			all = append(all, s.view(now))
		}
	}
	slices.SortFunc(all, func(a, b view) int {
		if a.service < b.service {
			return -1
		}
		return 1
	})
	return all
}
