package rollout

import (
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// Reports returns the reports that are due to the gateways that decide.
func (c *Controller) Reports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.dueReports(now, c.reportInterval, func(service string) bool {
		d := c.deciders[service]
		return d != nil && !d.decides
	})
}

// Report handles another gateway's report and returns the grant that answers it; false means no
// answer.
func (c *Controller) Report(from string, report Report, now time.Time) (Grant, bool) {
	name, ok := c.gate.nameOf(report.Service)
	if !ok {
		return Grant{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deciders[name]
	if d == nil || !d.decides || d.decider == nil || d.decider.order.Revision != report.Order {
		return Grant{}, false
	}
	d.decider.addReport(from, report, now)
	if d.decider.stage == Move {
		c.requestStep()
	}
	if now.Sub(c.steppedAt) > maxStepGap {
		return Grant{}, false
	}
	return d.decider.answerReport(report.Service, now), true
}

// Grant handles the answer to a report that was sent at sentAt, or a notice if sentAt is the zero
// time.
func (c *Controller) Grant(from string, grant Grant, sentAt, now time.Time) {
	order, halted := c.gate.applyGrant(grant, sentAt, now)
	if !halted {
		return
	}
	c.addStep(Step{
		Kind: StepHalted, Service: order.Service, Version: order.Version, Order: order.Revision,
		Age: grant.Age, Reason: "gateway " + from + " halted the version; its log has the reason",
	})
	c.requestStep()
}

// Notices returns the notices to be sent to all other gateways now. Each is returned once.
func (c *Controller) Notices(now time.Time) []Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []Grant
	c.notices = slices.DeleteFunc(c.notices, func(n notice) bool {
		if now.Before(n.at) {
			return false
		}
		due = append(due, n.grant)
		return true
	})
	return due
}

// ServiceOf returns the name of a service by the upper half of the name's hash.
func (c *Controller) ServiceOf(hash uint32) (string, bool) {
	return c.gate.nameOf(hash)
}

// Services returns the names of the services with a running order, sorted.
func (c *Controller) Services() []string {
	var names []string
	for _, v := range c.gate.views(clock.Now()) {
		if v.running {
			names = append(names, v.service)
		}
	}
	return names
}
