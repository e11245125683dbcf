package rollout

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// Status is the progress of a rollout, for operators.
type Status struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Order is the order's revision in the store; zero if none was ever seen.
	Order int64  `json:"order"`
	State State  `json:"state"`
	Stage string `json:"stage"`
	// Halted is set if the version gets no more requests, whatever the store has.
	Halted bool `json:"halted"`
	// Decides reports whether this process is the one that decides.
	Decides bool  `json:"decides"`
	AgeMS   int64 `json:"age_ms"`
	// LeftMS is the time to the deadline, negative after it. AgeMS and LeftMS are zero for an
	// order that has ended.
	LeftMS int64 `json:"left_ms"`
	// Requests and Exposed are those of all gateways if this process decides, and its own
	// otherwise.
	Requests int        `json:"requests"`
	Exposed  int        `json:"exposed"`
	Refused  []string   `json:"refused"`
	Current  string     `json:"current"`
	Routes   []RouteSum `json:"routes"`
}

// Rollouts returns all rollouts that this process knows of, by service.
func (c *Controller) Rollouts() []Status {
	now := clock.Now()
	views := c.gate.views(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Status, 0, len(views))
	for _, v := range views {
		status := statusOf(v, now)
		if d := c.deciders[v.service]; d != nil {
			status.Decides = d.decides
			if d.decides && d.decider != nil {
				status.Requests, status.Exposed = d.decider.totals()
				status.Routes = d.decider.judge.Routes()
			}
		}
		all = append(all, status)
	}
	return all
}

func statusOf(v view, now time.Time) Status {
	status := Status{
		Service: v.service, Version: v.record.Order.Version, Order: v.record.Order.Revision, State: v.record.State,
		Stage: v.stage.String(), Halted: v.halted, Requests: v.requests, Exposed: v.exposed,
		Refused: v.refused, Current: v.record.Current,
	}
	if v.running {
		status.Version, status.Order, status.State = v.order.Version, v.order.Revision, Running
		status.AgeMS = now.Sub(v.knownSince).Milliseconds()
		status.LeftMS = deadlineOf(v.order, v.knownSince, v.notBefore).Sub(now).Milliseconds()
	}
	return status
}
