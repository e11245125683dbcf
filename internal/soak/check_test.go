package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// call is a caller's request and its result.
type call struct {
	id string
	// path is /pay/ (at most once), /ask/ (repeatable) or /chat/ (resumable).
	path   string
	sentAt time.Time
	// endedAt is when the caller had received the response.
	endedAt time.Time
	// incarnation identifies the gateway process that handled the call; empty if unknown.
	incarnation string
	// gateway is the ID of the gateway that handled the call.
	gateway string
	status  int
	body    string
	stamp   string
	err     error
	// connected reports that the gateway accepted the connection, and reused that the
	// connection had served a call before.
	connected, reused bool
	// stopping reports that the gateway had been told to stop by the time the call ended.
	stopping bool
}

// acceptedConfig is a configuration of the operator. Its version is part of the name of the
// workspace that holds the callers' key, so that servers see which configuration a request was
// handled with.
type acceptedConfig struct {
	version int64
	at      time.Time
}

// span is a period during which something applied to the named gateway, server or data centre.
type span struct {
	name        string
	from, until time.Time
}

// history is what callers, servers and the store observed.
type history struct {
	calls []call
	runs  []emulator.Run
	// configs are the accepted configurations, oldest first.
	configs []acceptedConfig
	// revokedAt is when the configuration without the key of workspace "gone" was accepted;
	// zero if there was none.
	revokedAt time.Time
	// evacuations are the evacuations of data centres. coldPeriods are the periods in which
	// servers were cold, by server ID.
	evacuations, coldPeriods []span
	// plannedOnly reports that the schedule had planned work only.
	plannedOnly bool
	// orders are the operators' orders about rollouts. records and statuses are the rollout
	// states that the store held, oldest first.
	orders            []rolloutOrder
	records, statuses []rolloutState
	// isolations are the periods in which the named gateway, or every gateway if the name is
	// empty, may have received no updates.
	isolations []span
	// notices are the servers' notices. links are the periods in which a proxy disturbed the
	// connections to the named server.
	notices []serverNotice
	links   []span
}

const (
	revocation = 2 * time.Second
	// configDeadline is the time after its acceptance at which a configuration must be in force
	// on every gateway. configRevertTolerance is how long an older one may still be used after
	// a server has seen the effect of a newer one. These are the users' figures, 2 s and 250
	// ms, doubled for a machine that is busy with other work.
	configDeadline        = 4 * time.Second
	configRevertTolerance = 500 * time.Millisecond
	// retryRatio and retrySlack limit how many requests reach servers beyond the first attempt
	// of each.
	retryRatio = 0.2
	retrySlack = 24
	// retryWindow is longer than a seed runs, so all its calls fall into one window.
	retryWindow = 30 * time.Second
	// coldRate is the number of requests per second that a cold server can handle. At most
	// coldMultiple times this number plus coldExtra may reach it in any second, from all
	// gateways together, once its entry is known everywhere.
	coldRate     = 4.0
	coldMultiple = 1.5
	coldExtra    = 5
	// entryDeadline is the time after the store has accepted an evacuation or a cold entry at
	// which it must be in force, if there is planned work only.
	entryDeadline = 2 * time.Second
	// maxAttempts is the attempt limit of the routes whose requests may be repeated.
	maxAttempts = 2
)

const workspacePrefix = "stays-"

// workspaceOf returns the name of the callers' workspace in a configuration.
func workspaceOf(version int64) string {
	return workspacePrefix + strconv.FormatInt(version, 10)
}

// configVersionOf returns the version of the configuration with which a run was handled; zero
// if unknown.
func configVersionOf(run emulator.Run) int64 {
	text, ok := strings.CutPrefix(run.Header.Get("X-Tenant"), workspacePrefix)
	if !ok {
		return 0
	}
	version, _ := strconv.ParseInt(text, 10, 64)
	return version
}

// violations lists all violated guarantees in a history.
func (h *history) violations() []string {
	return slices.Concat(h.callViolations(), h.retryBudgetViolations(), h.configViolations(), h.evacuationViolations(), h.coldViolations(),
		h.exposureViolations(), h.refusalViolations(), h.stateViolations(), h.noticeViolations())
}

// callViolations compares each caller's result with what servers saw of the call.
func (h *history) callViolations() []string {
	var violations []string
	ran, arrived, byRevokedKey := make(map[string]int), make(map[string]int), make(map[string]bool)
	for _, run := range h.runs {
		arrived[run.ID]++
		if run.Ran {
			ran[run.ID]++
			byRevokedKey[run.ID] = run.Header.Get("X-Tenant") == "gone"
		}
	}
	for _, c := range h.calls {
		if strings.HasPrefix(c.path, "/pay/") && ran[c.id] > 1 {
			violations = append(violations, fmt.Sprintf("at most once: %s ran %d times", c.id, ran[c.id]))
		}
		if byRevokedKey[c.id] && h.sentAfterRevocation(c) {
			violations = append(violations, fmt.Sprintf("revocation: %s ran, sent %v after its key was revoked", c.id, c.sentAt.Sub(h.revokedAt)))
		}
		if promisesNotRun(c.status) && ran[c.id] > 0 {
			violations = append(violations, fmt.Sprintf("not run: %s was refused with %d and ran", c.id, c.status))
		}
		if c.err == nil && c.status == http.StatusOK && !c.isComplete() {
			violations = append(violations, fmt.Sprintf("wrong answer: %s got %q by %q", c.id, c.body, c.stamp))
		}
		if ran[c.id] > maxAttempts {
			violations = append(violations, fmt.Sprintf("attempts: %s ran %d times", c.id, ran[c.id]))
		}
		if h.plannedOnly && c.wasCut(arrived[c.id] > 0) {
			violations = append(violations, fmt.Sprintf("planned work: %s was cut: %v", c.id, c.err))
		}
	}
	return violations
}

// wasCut reports whether a call failed that should not have: one that was forwarded to a
// server, or one on a new connection to a gateway that was not about to stop. A request on a
// reused connection may cross the connection's close unread.
func (c *call) wasCut(arrived bool) bool {
	if c.err == nil || !c.connected {
		return false
	}
	return arrived || !c.reused && !c.stopping
}

// retryBudgetViolations checks how many requests that reached servers were retries. All calls
// fall into one window.
func (h *history) retryBudgetViolations() []string {
	arrivals := make(map[string]int)
	for _, run := range h.runs {
		arrivals[run.ID]++
	}
	repeats := 0
	for _, count := range arrivals {
		repeats += count - 1
	}
	limit := retryRatio*float64(len(h.calls)) + retrySlack
	if float64(repeats) <= limit {
		return nil
	}
	return []string{fmt.Sprintf("retry budget: %d repeats for %d calls, allowed %.0f", repeats, len(h.calls), limit)}
}

// configViolations checks that no gateway process goes back to an older configuration and, with
// planned work only, that each configuration is in force in time.
func (h *history) configViolations() []string {
	calls := make(map[string]call, len(h.calls))
	for _, c := range h.calls {
		calls[c.id] = c
	}
	runs := slices.Clone(h.runs)
	slices.SortStableFunc(runs, func(a, b emulator.Run) int { return a.At.Compare(b.At) })
	var violations []string
	// seen holds the versions that servers saw from each incarnation, with the time.
	seen := make(map[string][]acceptedConfig)
	for _, run := range runs {
		c, known := calls[run.ID]
		version := configVersionOf(run)
		if !known || version == 0 || c.incarnation == "" {
			continue
		}
		for _, newer := range seen[c.incarnation] {
			if newer.version > version && c.sentAt.Sub(newer.at) > configRevertTolerance {
				violations = append(violations, fmt.Sprintf("config reverted: %s was handled with %d, sent %v after %s had used %d", c.id, version, c.sentAt.Sub(newer.at), c.incarnation, newer.version))
			}
		}
		seen[c.incarnation] = append(seen[c.incarnation], acceptedConfig{version: version, at: run.At})
		if required := h.requiredVersion(c.sentAt); h.plannedOnly && version < required {
			violations = append(violations, fmt.Sprintf("in force: %s was handled with %d, although %d had been accepted for %v", c.id, version, required, configDeadline))
		}
	}
	return violations
}

// targetOf returns the ID of the server to which a gateway sent a run.
func targetOf(run emulator.Run) string {
	return run.Header.Get("X-Expect-Instance")
}

// evacuationViolations checks, with planned work only, that no call sent after an evacuation
// was in force reached a server of the evacuated data centre before the evacuation's end. A
// call sent before the end may wait at its gateway and reach such a server once the operators
// have revoked the evacuation.
func (h *history) evacuationViolations() []string {
	if !h.plannedOnly {
		return nil
	}
	sentAt := make(map[string]time.Time, len(h.calls))
	for _, c := range h.calls {
		sentAt[c.id] = c.sentAt
	}
	var violations []string
	for _, run := range h.runs {
		sent, known := sentAt[run.ID]
		for _, evacuated := range h.evacuations {
			if known && dataCenterOf(targetOf(run)) == evacuated.name && sent.Sub(evacuated.from) > entryDeadline && run.At.Before(evacuated.until) {
				violations = append(violations, fmt.Sprintf("evacuation: %s reached %s, sent %v after its data centre was evacuated", run.ID, targetOf(run), sent.Sub(evacuated.from)))
			}
		}
	}
	return violations
}

// coldViolations checks, with planned work only, that no cold server got more requests than
// allowed in any second.
func (h *history) coldViolations() []string {
	if !h.plannedOnly {
		return nil
	}
	var violations []string
	for _, cold := range h.coldPeriods {
		var arrivals []time.Time
		for _, run := range h.runs {
			if targetOf(run) == cold.name && run.At.Sub(cold.from) > entryDeadline && run.At.Before(cold.until) {
				arrivals = append(arrivals, run.At)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		if count := maxWithin(arrivals, time.Second); float64(count) > coldMultiple*coldRate+coldExtra {
			violations = append(violations, fmt.Sprintf("cold: %s got %d requests within a second", cold.name, count))
		}
	}
	return violations
}

// maxWithin returns the largest number of moments, which are sorted, within a window of the
// given length.
func maxWithin(moments []time.Time, length time.Duration) int {
	largest, first := 0, 0
	for i, at := range moments {
		for at.Sub(moments[first]) >= length {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// requiredVersion returns the newest version that must be in force for a request sent at the
// given time.
func (h *history) requiredVersion(sentAt time.Time) int64 {
	required := int64(0)
	for _, config := range h.configs {
		if sentAt.Sub(config.at) > configDeadline {
			required = max(required, config.version)
		}
	}
	return required
}

// sentAfterRevocation reports whether a call was sent too long after its key was revoked. The
// time at which it reaches a server doesn't matter, because a request may be held up on its way
// there.
func (h *history) sentAfterRevocation(c call) bool {
	return !h.revokedAt.IsZero() && c.sentAt.Sub(h.revokedAt) > revocation
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *call) isComplete() bool {
	if !strings.HasSuffix(c.stamp, "."+c.id) {
		return false
	}
	if strings.HasPrefix(c.path, "/chat/") {
		return c.body == completeStream()
	}
	return c.body == emulator.Body
}

func completeStream() string {
	var text strings.Builder
	for number := 1; number <= streamEvents; number++ {
		text.WriteString(emulator.Event(number))
	}
	return text.String()
}

// runWithConfig returns a run that was handled with a configuration at the given time.
func runWithConfig(id string, version int64, at time.Time) emulator.Run {
	return emulator.Run{ID: id, Ran: true, At: at, Header: http.Header{"X-Tenant": {workspaceOf(version)}}}
}

// TestChecksDetectViolations runs the checks on histories that violate a guarantee and on ones
// that don't.
func TestChecksDetectViolations(t *testing.T) {
	now := time.Now()
	run := emulator.Run{ID: "a", Ran: true, At: now, Header: http.Header{"X-Tenant": {"gone"}}}
	good := call{id: "a", path: "/pay/1", status: 200, body: emulator.Body, stamp: "s.a", connected: true}
	wrongStamp, partial, refused := good, good, good
	wrongStamp.stamp = "s.b"
	partial.body = "half"
	refused.status = 503
	chat := call{id: "a", path: "/chat/1", status: 200, body: emulator.Event(1) + emulator.Event(1), stamp: "s.a"}
	cut := good
	cut.err = http.ErrAbortHandler
	reusedCut, stoppingCut := cut, cut
	reusedCut.reused = true
	stoppingCut.stopping = true
	callAt := func(id, incarnation string, after time.Duration) call {
		return call{id: id, path: "/ask/1", status: 200, body: emulator.Body, stamp: "s." + id, incarnation: incarnation, sentAt: now.Add(after)}
	}
	var manyRuns []emulator.Run
	for range retrySlack + 3 {
		manyRuns = append(manyRuns, emulator.Run{ID: "a", At: now})
	}
	second := time.Second
	runOn := func(id, server string, at time.Time) emulator.Run {
		return emulator.Run{ID: id, Ran: true, At: at, Header: http.Header{"X-Expect-Instance": {server}}}
	}
	evacuated := span{name: "dc-0", from: now, until: now.Add(10 * second)}
	cold := span{name: "p-1", from: now, until: now.Add(10 * second)}
	var manyCold []emulator.Run
	for i := range int(coldMultiple*coldRate+coldExtra) + 1 {
		manyCold = append(manyCold, runOn("a", "p-1", now.Add(3*second+time.Duration(i)*time.Millisecond)))
	}
	cases := map[string]struct {
		history history
		want    string
	}{
		"evacuated server":                          {history{plannedOnly: true, evacuations: []span{evacuated}, calls: []call{callAt("a", "", 3*second)}, runs: []emulator.Run{runOn("a", "p-0", now.Add(3*second))}}, "evacuation"},
		"server in other data centre":               {history{plannedOnly: true, evacuations: []span{evacuated}, calls: []call{callAt("a", "", 3*second)}, runs: []emulator.Run{runOn("a", "p-1", now.Add(3*second))}}, ""},
		"evacuation not in force yet":               {history{plannedOnly: true, evacuations: []span{evacuated}, calls: []call{callAt("a", "", second)}, runs: []emulator.Run{runOn("a", "p-0", now.Add(3*second))}}, ""},
		"sent before evacuation end, arrived after": {history{plannedOnly: true, evacuations: []span{evacuated}, calls: []call{callAt("a", "", 9990*time.Millisecond)}, runs: []emulator.Run{runOn("a", "p-0", now.Add(10001*time.Millisecond))}}, ""},
		"sent and arrived before evacuation end":    {history{plannedOnly: true, evacuations: []span{evacuated}, calls: []call{callAt("a", "", 9990*time.Millisecond)}, runs: []emulator.Run{runOn("a", "p-0", now.Add(9998*time.Millisecond))}}, "evacuation"},
		"sent after evacuation end":                 {history{plannedOnly: true, evacuations: []span{evacuated}, calls: []call{callAt("a", "", 11*second)}, runs: []emulator.Run{runOn("a", "p-0", now.Add(11*second))}}, ""},
		"cold server above limit":                   {history{plannedOnly: true, coldPeriods: []span{cold}, runs: manyCold}, "cold"},
		"cold server at limit":                      {history{plannedOnly: true, coldPeriods: []span{cold}, runs: manyCold[1:]}, ""},
		"no violation":                              {history{calls: []call{good}, runs: []emulator.Run{run}}, ""},
		"ran twice":                                 {history{calls: []call{good}, runs: []emulator.Run{run, run}}, "at most once"},
		"refused and ran":                           {history{calls: []call{refused}, runs: []emulator.Run{run}}, "not run"},
		"other request's answer":                    {history{calls: []call{wrongStamp}}, "wrong answer"},
		"partial answer":                            {history{calls: []call{partial}}, "wrong answer"},
		"repeated event":                            {history{calls: []call{chat}}, "wrong answer"},
		"revoked key":                               {history{calls: []call{callAt("a", "g/1", 0)}, runs: []emulator.Run{run}, revokedAt: now.Add(-3 * second)}, "revocation"},
		"revoked key, request delayed on its way":   {history{calls: []call{callAt("a", "g/1", -2*second)}, runs: []emulator.Run{run}, revokedAt: now.Add(-3 * second)}, ""},
		"cut by planned work":                       {history{calls: []call{cut}, plannedOnly: true}, "planned work"},
		"cut by a fault":                            {history{calls: []call{cut}}, ""},
		"reused connection crossed the close":       {history{calls: []call{reusedCut}, plannedOnly: true}, ""},
		"forwarded and cut":                         {history{calls: []call{reusedCut}, runs: []emulator.Run{run}, plannedOnly: true}, "planned work"},
		"new connection to stopping gateway":        {history{calls: []call{stoppingCut}, plannedOnly: true}, ""},
		"forwarded by stopping gateway and cut":     {history{calls: []call{stoppingCut}, runs: []emulator.Run{run}, plannedOnly: true}, "planned work"},
		"too many attempts":                         {history{calls: []call{{id: "a", path: "/ask/1"}}, runs: []emulator.Run{run, run, run}}, "attempts"},
		"too many retries":                          {history{calls: []call{{id: "a", path: "/ask/1"}}, runs: manyRuns}, "retry budget"},
		"config reverted":                           {history{calls: []call{callAt("a", "g/1", 0), callAt("b", "g/1", second)}, runs: []emulator.Run{runWithConfig("a", 4, now), runWithConfig("b", 1, now.Add(second))}}, "config reverted"},
		"older config of other incarnation":         {history{calls: []call{callAt("a", "g/1", 0), callAt("b", "g/2", second)}, runs: []emulator.Run{runWithConfig("a", 4, now), runWithConfig("b", 1, now.Add(second))}}, ""},
		"sent before newer config was seen":         {history{calls: []call{callAt("a", "g/1", 0), callAt("b", "g/1", 0)}, runs: []emulator.Run{runWithConfig("a", 4, now), runWithConfig("b", 1, now.Add(second))}}, ""},
		"config not in force in time":               {history{plannedOnly: true, configs: []acceptedConfig{{1, now}, {4, now}}, calls: []call{callAt("a", "g/1", 5*second)}, runs: []emulator.Run{runWithConfig("a", 1, now.Add(5*second))}}, "in force"},
		"config not due yet":                        {history{plannedOnly: true, configs: []acceptedConfig{{1, now}, {4, now}}, calls: []call{callAt("a", "g/1", second)}, runs: []emulator.Run{runWithConfig("a", 1, now.Add(second))}}, ""},
		"config not in force during a fault":        {history{configs: []acceptedConfig{{1, now}, {4, now}}, calls: []call{callAt("a", "g/1", 5*second)}, runs: []emulator.Run{runWithConfig("a", 1, now.Add(5*second))}}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := tc.history.violations()
			if tc.want == "" {
				is.Equal(strings.Join(found, "; "), "")
				return
			}
			is.True(len(found) > 0)
			is.True(strings.HasPrefix(found[0], tc.want))
		})
	}
}
