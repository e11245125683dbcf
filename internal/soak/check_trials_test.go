package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// maxUncounted is the number of requests that may have been in flight to a version without
	// being counted: one call per caller.
	maxUncounted = callers
	// refusalDeadline is the time after the store has recorded a version as refused during
	// which calls sent may still reach it: the rollback bound, and half as much again for a
	// machine that is busy with other work.
	refusalDeadline = rollback + rollback/2
)

// isFinal reports whether a state ends its order.
func (r rolloutState) isFinal() bool {
	return r.state == emulator.StateCompleted || r.state == emulator.StateRolledBack
}

// rolloutSummary describes how the rollouts ended and how many requests each version got.
func (h *history) rolloutSummary() string {
	var states []string
	for _, record := range h.records {
		states = append(states, fmt.Sprintf("%s %s", record.version, record.state))
	}
	text := strings.Join(slices.Compact(states), ", ")
	if len(h.orders) == 0 {
		return text
	}
	counts := make(map[string]int)
	for _, run := range h.arrivalsAt(h.orders[0].service) {
		counts[releaseOf(targetOf(run))]++
	}
	return fmt.Sprintf("%s; arrivals %v", text, counts)
}

// arrivalsAt returns the requests that reached a service's servers, in order of time.
func (h *history) arrivalsAt(service string) []emulator.Run {
	var arrivals []emulator.Run
	for _, run := range h.runs {
		if serviceOf(targetOf(run)) == service {
			arrivals = append(arrivals, run)
		}
	}
	slices.SortFunc(arrivals, func(a, b emulator.Run) int { return a.At.Compare(b.At) })
	return arrivals
}

// exposureViolations checks that at every moment between an order and its end, the ordered
// version has had at most its share of the requests that reached the service since the order,
// plus the slack. Further attempts of a request count towards the version's total, but not as
// requests.
func (h *history) exposureViolations() []string {
	var violations []string
	for number, order := range h.orders {
		if order.version == "" {
			continue
		}
		until := h.endOf(number)
		requests, exposed := make(map[string]bool), 0
		for _, run := range h.arrivalsAt(order.service) {
			if run.At.Before(order.at) || !run.At.Before(until) {
				continue
			}
			requests[run.ID] = true
			if releaseOf(targetOf(run)) != order.version {
				continue
			}
			exposed++
			if float64(exposed) > trialShare*float64(len(requests))+trialSlack+maxUncounted {
				violations = append(violations, fmt.Sprintf("exposure: %d of %d requests had reached %s %v after its order", exposed, len(requests), order.version, run.At.Sub(order.at)))
				break
			}
		}
	}
	return violations
}

// endOf returns when an order ended, either by reaching a final state or through a later order.
func (h *history) endOf(number int) time.Time {
	order := h.orders[number]
	for _, record := range h.records {
		if record.service == order.service && record.order == order.revision && record.isFinal() {
			return record.at
		}
	}
	for _, later := range h.orders[number+1:] {
		if later.service == order.service && later.version != "" {
			return later.at
		}
	}
	return time.Now()
}

// refusal is a period during which the store has a version as refused.
type refusal struct {
	service, version string
	from, until      time.Time
	// superseded reports that the version was given up in favour of another one. An isolated
	// gateway may go on using such a version, but stops by itself using one that was rolled back.
	superseded bool
}

// refusals returns the refusals that the records show. Each ends with a new order for the
// version.
func (h *history) refusals() []refusal {
	var refusals []refusal
	known := make(map[string]bool)
	for _, record := range h.records {
		for _, version := range h.refusedBy(record) {
			key := fmt.Sprint(record.service, " ", version, " ", h.countOrders(record, version))
			if known[key] {
				continue
			}
			known[key] = true
			refusals = append(refusals, refusal{
				service: record.service, version: version, from: record.at, until: h.nextOrderTime(record, version),
				superseded: version != record.version,
			})
		}
	}
	return refusals
}

// refusedBy returns the versions that must get no more requests according to a record: the
// version rolled back, all others after a completion, and those whose order was changed.
func (h *history) refusedBy(record rolloutState) []string {
	switch record.state {
	case emulator.StateRolledBack:
		return []string{record.version}
	case emulator.StateCompleted:
		all := []string{oldRelease, trialRelease, changedRelease}
		return slices.DeleteFunc(all, func(version string) bool { return version == record.version })
	}
	var refused []string
	for _, order := range h.orders {
		if order.service == record.service && order.version != record.version && order.version != "" && order.revision < record.order {
			refused = append(refused, order.version)
		}
	}
	return refused
}

// countOrders returns the number of orders for a version before a record.
func (h *history) countOrders(record rolloutState, version string) int {
	count := 0
	for _, order := range h.orders {
		if order.service == record.service && order.version == version && order.revision < record.revision {
			count++
		}
	}
	return count
}

// nextOrderTime returns when a version was ordered again after a record, or the current time if
// it was not.
func (h *history) nextOrderTime(record rolloutState, version string) time.Time {
	for _, order := range h.orders {
		if order.service == record.service && order.version == version && order.revision > record.revision {
			return order.at
		}
	}
	return time.Now()
}

// refusalViolations checks that a refused version gets no calls that were sent more than
// refusalDeadline after the store recorded the refusal. Calls sent earlier may be held up on
// their way.
func (h *history) refusalViolations() []string {
	calls := make(map[string]call, len(h.calls))
	for _, c := range h.calls {
		calls[c.id] = c
	}
	var violations []string
	for _, refused := range h.refusals() {
		for _, run := range h.arrivalsAt(refused.service) {
			c, known := calls[run.ID]
			if !known || releaseOf(targetOf(run)) != refused.version {
				continue
			}
			late := c.sentAt.Sub(refused.from)
			if late <= refusalDeadline || !c.sentAt.Before(refused.until) {
				continue
			}
			if refused.superseded && h.mayBeIsolated(c, refused.from) {
				continue
			}
			violations = append(violations, fmt.Sprintf("refused: %s reached %s by %s, sent %v after the store had recorded the version as refused", c.id, targetOf(run), c.incarnation, late))
		}
	}
	return violations
}

// mayBeIsolated reports whether the gateway of a call may have been isolated at any time
// between the given time and the call.
func (h *history) mayBeIsolated(c call, since time.Time) bool {
	return slices.ContainsFunc(h.isolations, func(isolation span) bool {
		return (isolation.name == "" || isolation.name == c.gateway) && isolation.until.After(since) && isolation.from.Before(c.sentAt)
	})
}

// stateViolations checks that the end of an order is never revoked or changed, that no earlier
// order comes back, and that statuses agree with records.
func (h *history) stateViolations() []string {
	var violations []string
	ends := make(map[int64]rolloutState)
	newest := make(map[string]int64)
	for _, record := range h.records {
		if end, isEnded := ends[record.order]; isEnded {
			violations = append(violations, fmt.Sprintf("state: order %d of %s was %s and then %s", record.order, record.version, end.state, record.state))
		}
		if record.order < newest[record.service] {
			violations = append(violations, fmt.Sprintf("state: order %d came back after %d", record.order, newest[record.service]))
		}
		newest[record.service] = max(newest[record.service], record.order)
		if record.isFinal() {
			ends[record.order] = record
		}
	}
	if len(h.records) != len(h.statuses) {
		return append(violations, fmt.Sprintf("status: %d for %d records", len(h.statuses), len(h.records)))
	}
	for number, record := range h.records {
		status := h.statuses[number]
		if status.service != record.service || status.version != record.version || status.state != record.state {
			violations = append(violations, fmt.Sprintf("status: %s %s while the record says %s %s", status.version, status.state, record.version, record.state))
		}
	}
	return violations
}

// trialRuns returns the given number of arrivals at a target, spread over the second after a
// moment.
func trialRuns(count int, target string, from time.Time) []emulator.Run {
	var runs []emulator.Run
	for i := range count {
		at := from.Add(time.Duration(i) * time.Second / time.Duration(count))
		runs = append(runs, emulator.Run{ID: fmt.Sprint(target, i), At: at, Header: http.Header{"X-Expect-Instance": {target}}})
	}
	return runs
}

// TestRolloutChecksDetectViolations runs the rollout checks on histories that violate a
// guarantee and on ones that don't.
func TestRolloutChecksDetectViolations(t *testing.T) {
	const second = time.Second
	const toTrial, toOld = "p-v2-1", "p-1"
	now := time.Now().Add(-time.Minute)
	order := rolloutOrder{service: "plain", version: trialRelease, revision: 7, at: now}
	laterOrder := rolloutOrder{service: "plain", version: changedRelease, revision: 9, at: now.Add(second / 2)}
	sameOrder := rolloutOrder{service: "plain", version: trialRelease, revision: 30, at: now.Add(4 * second)}
	state := func(of rolloutOrder, state string, after time.Duration) rolloutState {
		return rolloutState{service: "plain", revision: 20, at: now.Add(after), version: of.version, state: state, order: of.revision}
	}
	rolledBack := state(order, emulator.StateRolledBack, second)
	completed := state(order, emulator.StateCompleted, second)
	running := state(order, emulator.StateRunning, second/2)
	changedTo := state(laterOrder, emulator.StateRunning, second)
	sent := func(after time.Duration) []call {
		var calls []call
		for _, target := range []string{toTrial, toOld} {
			calls = append(calls, call{id: target + "0", path: "/ask/1", gateway: "g", incarnation: "g/1", sentAt: now.Add(after)})
		}
		return calls
	}
	limit := trialSlack + maxUncounted
	cases := map[string]struct {
		orders            []rolloutOrder
		records, statuses []rolloutState
		calls             []call
		runs              []emulator.Run
		isolations        []span
		want              string
	}{
		"no orders":         {},
		"exposure at slack": {orders: []rolloutOrder{order}, runs: trialRuns(limit, toTrial, now)},
		"exposure above slack and share": {
			orders: []rolloutOrder{order}, runs: trialRuns(limit*2, toTrial, now), want: "exposure",
		},
		"exposure within share of earlier requests": {
			orders: []rolloutOrder{order}, runs: slices.Concat(trialRuns(limit*5, toOld, now), trialRuns(limit*2, toTrial, now.Add(second))),
		},
		"exposure above share, requests before order": {
			orders: []rolloutOrder{order}, runs: slices.Concat(trialRuns(limit*5, toOld, now.Add(-2*second)), trialRuns(limit*2, toTrial, now)), want: "exposure",
		},
		"exposure above share, requests come later": {
			orders: []rolloutOrder{order}, runs: slices.Concat(trialRuns(limit*5, toOld, now.Add(second)), trialRuns(limit*2, toTrial, now)), want: "exposure",
		},
		"exposure after completion": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed}, statuses: []rolloutState{completed}, runs: trialRuns(limit*2, toTrial, now.Add(2*second)),
		},
		"exposure after other order": {
			orders: []rolloutOrder{order, laterOrder}, runs: trialRuns(limit*2, toTrial, now.Add(second)),
		},
		"rolled back": {
			orders: []rolloutOrder{order}, records: []rolloutState{rolledBack}, statuses: []rolloutState{rolledBack}, calls: sent(5 * second), runs: trialRuns(1, toTrial, now.Add(5*second)), want: "refused",
		},
		"rolled back, gateway isolated": {
			orders: []rolloutOrder{order}, records: []rolloutState{rolledBack}, statuses: []rolloutState{rolledBack}, calls: sent(5 * second), runs: trialRuns(1, toTrial, now.Add(5*second)),
			isolations: []span{{"g", now, now.Add(9 * second)}}, want: "refused",
		},
		"rolled back, within deadline": {
			orders: []rolloutOrder{order}, records: []rolloutState{rolledBack}, statuses: []rolloutState{rolledBack}, calls: sent(2 * second), runs: trialRuns(1, toTrial, now.Add(2*second)),
		},
		"rolled back, request delayed on its way": {
			orders: []rolloutOrder{order}, records: []rolloutState{rolledBack}, statuses: []rolloutState{rolledBack}, calls: sent(2 * second), runs: trialRuns(1, toTrial, now.Add(9*second)),
		},
		"rolled back, ordered again": {
			orders: []rolloutOrder{order, sameOrder}, records: []rolloutState{rolledBack}, statuses: []rolloutState{rolledBack}, calls: sent(5 * second), runs: trialRuns(1, toTrial, now.Add(5*second)),
		},
		"completed, old targets": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed}, statuses: []rolloutState{completed}, calls: sent(5 * second), runs: trialRuns(1, toOld, now.Add(5*second)), want: "refused",
		},
		"completed, old targets, gateway isolated": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed}, statuses: []rolloutState{completed}, calls: sent(5 * second), runs: trialRuns(1, toOld, now.Add(5*second)),
			isolations: []span{{"g", now, now.Add(4 * second)}},
		},
		"completed, old targets, other gateway isolated": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed}, statuses: []rolloutState{completed}, calls: sent(5 * second), runs: trialRuns(1, toOld, now.Add(5*second)),
			isolations: []span{{"h", now, now.Add(4 * second)}}, want: "refused",
		},
		"order changed": {
			orders: []rolloutOrder{order, laterOrder}, records: []rolloutState{changedTo}, statuses: []rolloutState{changedTo}, calls: sent(5 * second), runs: trialRuns(1, toTrial, now.Add(5*second)), want: "refused",
		},
		"running, then ended": {
			orders: []rolloutOrder{order}, records: []rolloutState{running, completed}, statuses: []rolloutState{running, completed},
		},
		"completion revoked": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed, running}, statuses: []rolloutState{completed, running}, want: "state",
		},
		"completed and rolled back": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed, rolledBack}, statuses: []rolloutState{completed, rolledBack}, want: "state",
		},
		"completed twice": {
			orders: []rolloutOrder{order}, records: []rolloutState{completed, completed}, statuses: []rolloutState{completed, completed}, want: "state",
		},
		"earlier order comes back": {
			orders: []rolloutOrder{order, laterOrder}, records: []rolloutState{changedTo, running}, statuses: []rolloutState{changedTo, running}, want: "state",
		},
		"status differs from record": {
			orders: []rolloutOrder{order}, records: []rolloutState{running}, statuses: []rolloutState{completed}, want: "status",
		},
		"record without status": {
			orders: []rolloutOrder{order}, records: []rolloutState{running, completed}, statuses: []rolloutState{running}, want: "status",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen := history{orders: tc.orders, records: tc.records, statuses: tc.statuses, calls: tc.calls, runs: tc.runs, isolations: tc.isolations}
			found := slices.Concat(seen.exposureViolations(), seen.refusalViolations(), seen.stateViolations())
			if tc.want == "" {
				is.Equal(strings.Join(found, "; "), "")
				return
			}
			is.True(len(found) > 0)
			is.True(strings.HasPrefix(found[0], tc.want))
		})
	}
}
