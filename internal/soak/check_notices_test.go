package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// leavingGrace is the time after a gateway has relayed a response with a leaving notice
	// during which calls sent to that gateway may still reach the server.
	leavingGrace = 2 * time.Second
	// restGrace is the time after a server has sent a gateway a Retry-After notice during which
	// its requests may still arrive. maxRestRequests is how many may arrive from then until the
	// requested time is over.
	restGrace       = 500 * time.Millisecond
	maxRestRequests = 2
)

// serverNotice is a notice that a server sent with one response.
type serverNotice struct {
	emulator.SentNotice
	server string
}

// noticeViolations checks that gateways acted on the notices of servers.
func (h *history) noticeViolations() []string {
	calls := make(map[string]call, len(h.calls))
	for _, c := range h.calls {
		calls[c.id] = c
	}
	var violations []string
	for _, notice := range h.notices {
		receiver := calls[notice.Request]
		if receiver.incarnation == "" {
			continue // it is unknown which process received the notice
		}
		if notice.Leaving {
			violations = append(violations, h.leavingViolations(notice, receiver, calls)...)
		}
		if rest, ok := parseRetryAfter(notice.RetryAfter); ok {
			violations = append(violations, h.restViolations(notice, rest, receiver, calls)...)
		}
	}
	return violations
}

// leavingViolations judges calls by the time at which callers sent them, because a proxy may
// hold requests up for longer than leavingGrace.
func (h *history) leavingViolations(notice serverNotice, receiver call, calls map[string]call) []string {
	passedOn := receiver.err == nil && receiver.status == http.StatusOK && strings.HasPrefix(receiver.stamp, notice.server+".")
	if !passedOn {
		return nil
	}
	var violations []string
	for _, run := range h.runs {
		c := calls[run.ID]
		if serverIDOf(run) != notice.server || c.incarnation != receiver.incarnation || c.sentAt.Sub(receiver.endedAt) <= leavingGrace {
			continue
		}
		violations = append(violations, fmt.Sprintf("leaving: %s reached %s, sent to %s %v after that gateway had relayed the leaving notice", c.id, notice.server, c.incarnation, c.sentAt.Sub(receiver.endedAt)))
	}
	return violations
}

// restViolations ignores periods in which a proxy or a pause of the gateway may have held
// requests up.
func (h *history) restViolations(notice serverNotice, rest time.Duration, receiver call, calls map[string]call) []string {
	until := notice.At.Add(rest)
	if h.linkDisturbed(notice.server, notice.At, until) || h.gatewayPaused(receiver.gateway, notice.At, until) {
		return nil
	}
	var late []string
	for _, run := range h.runs {
		if serverIDOf(run) == notice.server && calls[run.ID].incarnation == receiver.incarnation && run.At.After(notice.At.Add(restGrace)) && run.At.Before(until) {
			late = append(late, run.ID)
		}
	}
	if len(late) <= maxRestRequests {
		return nil
	}
	return []string{fmt.Sprintf("rest: %s asked %s to wait for %v but got %v in that time", notice.server, receiver.incarnation, rest, late)}
}

// linkDisturbed reports whether a proxy disturbed the connections to a server within a period,
// or up to a second before it.
func (h *history) linkDisturbed(server string, from, until time.Time) bool {
	for _, link := range h.links {
		if link.name == server && link.until.Add(time.Second).After(from) && link.from.Before(until) {
			return true
		}
	}
	return false
}

// gatewayPaused reports whether a gateway was paused within a period, or up to a second before
// it.
func (h *history) gatewayPaused(gateway string, from, until time.Time) bool {
	for _, isolation := range h.isolations {
		if isolation.name == gateway && isolation.until.Add(time.Second).After(from) && isolation.from.Before(until) {
			return true
		}
	}
	return false
}

// serverIDOf returns the ID of the server that received a run.
func serverIDOf(run emulator.Run) string {
	id, _, _ := strings.Cut(run.Server, "@")
	return id
}

// parseRetryAfter parses the time for which a server wants no requests. It returns false if the
// value is not a valid time.
func parseRetryAfter(retryAfter string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || strings.Trim(retryAfter, "0123456789.") != "" {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// TestNoticeChecks runs the notice checks on histories that violate a server's notice and on
// ones that don't.
func TestNoticeChecks(t *testing.T) {
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	callAt := func(id, incarnation string, seconds float64) call {
		return call{id: id, path: "/ask/1", status: 200, body: emulator.Body, stamp: "p-0." + id, incarnation: incarnation, gateway: "g", sentAt: at(seconds), endedAt: at(seconds)}
	}
	runAt := func(id string, seconds float64) emulator.Run {
		return emulator.Run{ID: id, Server: "p-0@x", At: at(seconds)}
	}
	leavingNotice := []serverNotice{{server: "p-0", SentNotice: emulator.SentNotice{Notice: emulator.Notice{Leaving: true}, Request: "a", At: at(0)}}}
	restNotice := []serverNotice{{server: "p-0", SentNotice: emulator.SentNotice{Notice: emulator.Notice{RetryAfter: "3"}, Request: "a", At: at(0)}}}
	invalidRest := []serverNotice{{server: "p-0", SentNotice: emulator.SentNotice{Notice: emulator.Notice{RetryAfter: "1e99"}, Request: "a", At: at(0)}}}
	first, sentInTime := callAt("a", "g/1", 0), callAt("b", "g/1", 1.9)
	threeCalls := []call{first, callAt("b", "g/1", 1), callAt("c", "g/1", 1), callAt("d", "g/1", 2)}
	threeRuns := []emulator.Run{runAt("b", 1), runAt("c", 1), runAt("d", 2)}
	refused := first
	refused.status = 503
	fromOther := first
	fromOther.stamp = "p-1.a"
	cases := map[string]struct {
		history history
		want    string
	}{
		"leaving server":                         {history{notices: leavingNotice, calls: []call{first, callAt("b", "g/1", 2.5)}, runs: []emulator.Run{runAt("b", 2.5)}}, "leaving"},
		"leaving, other incarnation":             {history{notices: leavingNotice, calls: []call{first, callAt("b", "g/2", 2.5)}, runs: []emulator.Run{runAt("b", 2.5)}}, ""},
		"leaving, sent in time but delayed":      {history{notices: leavingNotice, calls: []call{first, sentInTime}, runs: []emulator.Run{runAt("b", 4)}}, ""},
		"leaving, notice not relayed":            {history{notices: leavingNotice, calls: []call{refused, callAt("b", "g/1", 2.5)}, runs: []emulator.Run{runAt("b", 2.5)}}, ""},
		"leaving, other server's answer relayed": {history{notices: leavingNotice, calls: []call{fromOther, callAt("b", "g/1", 2.5)}, runs: []emulator.Run{runAt("b", 2.5)}}, ""},
		"three requests during rest":             {history{notices: restNotice, calls: threeCalls, runs: threeRuns}, "rest"},
		"two requests during rest":               {history{notices: restNotice, calls: threeCalls, runs: threeRuns[1:]}, ""},
		"three requests at start of rest":        {history{notices: restNotice, calls: threeCalls, runs: []emulator.Run{runAt("b", 0.1), runAt("c", 0.2), runAt("d", 0.4)}}, ""},
		"three requests after rest":              {history{notices: restNotice, calls: threeCalls, runs: []emulator.Run{runAt("b", 3.1), runAt("c", 3.1), runAt("d", 3.1)}}, ""},
		"invalid rest time":                      {history{notices: invalidRest, calls: threeCalls, runs: threeRuns}, ""},
		"rest, gateway paused":                   {history{notices: restNotice, calls: threeCalls, runs: threeRuns, isolations: []span{{"g", at(-0.5), at(0.5)}}}, ""},
		"rest, link disturbed":                   {history{notices: restNotice, calls: threeCalls, runs: threeRuns, links: []span{{"p-0", at(-0.5), at(0.5)}}}, ""},
		"rest, other server's link disturbed":    {history{notices: restNotice, calls: threeCalls, runs: threeRuns, links: []span{{"p-1", at(-0.5), at(0.5)}}}, "rest"},
		"rest, notice sent to other gateway":     {history{notices: restNotice, calls: append([]call{callAt("a", "h/1", 0)}, threeCalls[1:]...), runs: threeRuns}, ""},
		"rest, receiver of notice unknown":       {history{notices: restNotice, calls: append([]call{callAt("a", "", 0)}, threeCalls[1:]...), runs: threeRuns}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := test.history.noticeViolations()
			if test.want == "" {
				is.Equal(strings.Join(found, "; "), "")
				return
			}
			is.True(len(found) > 0)
			is.True(strings.HasPrefix(found[0], test.want))
		})
	}
}
