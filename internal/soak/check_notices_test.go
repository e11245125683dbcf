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
	// leavingKnown is how long after a gateway has passed on an answer that says that its
	// server leaves calls may still be sent to that gateway which reach the server.
	leavingKnown = 2 * time.Second
	// restKnown is how long after a server has asked a gateway for rest its requests may still
	// arrive, and restMost how many may from then to the end of the rest.
	restKnown = 500 * time.Millisecond
	restMost  = 2
)

// told is one answer in which a server said something of itself.
type told struct {
	emulator.SentNotice
	server string
}

// brokenNotices checks that gateways went by what servers had told them.
func (h *history) brokenNotices() []string {
	calls := make(map[string]call, len(h.calls))
	for _, c := range h.calls {
		calls[c.id] = c
	}
	var found []string
	for _, said := range h.told {
		to := calls[said.Request]
		if to.life == "" {
			continue // nobody knows which process it told
		}
		if said.Leaving {
			found = append(found, h.brokenLeaving(said, to, calls)...)
		}
		if rest, ok := restOf(said.RetryAfter); ok {
			found = append(found, h.brokenRest(said, rest, to, calls)...)
		}
	}
	return found
}

// brokenLeaving goes by when callers sent: a proxy may hold requests up for longer than they
// are judged by.
func (h *history) brokenLeaving(said told, to call, calls map[string]call) []string {
	passedOn := to.err == nil && to.status == http.StatusOK && strings.HasPrefix(to.stamp, said.server+".")
	if !passedOn {
		return nil
	}
	var found []string
	for _, run := range h.runs {
		c := calls[run.ID]
		if lifeOf(run) != said.server || c.life != to.life || c.sentAt.Sub(to.endedAt) <= leavingKnown {
			continue
		}
		found = append(found, fmt.Sprintf("leaving: %s reached %s, sent to %s %v after that had passed on that it leaves", c.id, said.server, c.life, c.sentAt.Sub(to.endedAt)))
	}
	return found
}

// brokenRest leaves out what a proxy or a pause of the gateway may have held up.
func (h *history) brokenRest(said told, rest time.Duration, to call, calls map[string]call) []string {
	until := said.At.Add(rest)
	if h.heldUp(said.server, said.At, until) || h.paused(to.gateway, said.At, until) {
		return nil
	}
	var late []string
	for _, run := range h.runs {
		if lifeOf(run) == said.server && calls[run.ID].life == to.life && run.At.After(said.At.Add(restKnown)) && run.At.Before(until) {
			late = append(late, run.ID)
		}
	}
	if len(late) <= restMost {
		return nil
	}
	return []string{fmt.Sprintf("rest: %s asked %s for %v and got %v in that time", said.server, to.life, rest, late)}
}

// heldUp says whether a proxy disturbed the way to a server in a time, or a moment before.
func (h *history) heldUp(server string, from, until time.Time) bool {
	for _, link := range h.links {
		if link.name == server && link.until.Add(time.Second).After(from) && link.from.Before(until) {
			return true
		}
	}
	return false
}

// paused says whether a gateway stood still in a time, or a moment before.
func (h *history) paused(gateway string, from, until time.Time) bool {
	for _, still := range h.deaf {
		if still.name == gateway && still.until.Add(time.Second).After(from) && still.from.Before(until) {
			return true
		}
	}
	return false
}

// lifeOf is the id of the server that a run came to.
func lifeOf(run emulator.Run) string {
	id, _, _ := strings.Cut(run.Server, "@")
	return id
}

// restOf is the time that a server asks for; false if what it says is none.
func restOf(retryAfter string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || strings.Trim(retryAfter, "0123456789.") != "" {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// TestCheckersOfNotices feeds them histories that break what servers asked for, and such that
// don't.
func TestCheckersOfNotices(t *testing.T) {
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	asked := func(id, life string, seconds float64) call {
		return call{id: id, path: "/ask/1", status: 200, body: emulator.Body, stamp: "p-0." + id, life: life, gateway: "g", sentAt: at(seconds), endedAt: at(seconds)}
	}
	came := func(id string, seconds float64) emulator.Run {
		return emulator.Run{ID: id, Server: "p-0@x", At: at(seconds)}
	}
	leaves := []told{{server: "p-0", SentNotice: emulator.SentNotice{Notice: emulator.Notice{Leaving: true}, Request: "a", At: at(0)}}}
	rests := []told{{server: "p-0", SentNotice: emulator.SentNotice{Notice: emulator.Notice{RetryAfter: "3"}, Request: "a", At: at(0)}}}
	word := []told{{server: "p-0", SentNotice: emulator.SentNotice{Notice: emulator.Notice{RetryAfter: "1e99"}, Request: "a", At: at(0)}}}
	first, held := asked("a", "g/1", 0), asked("b", "g/1", 1.9)
	three := []call{first, asked("b", "g/1", 1), asked("c", "g/1", 1), asked("d", "g/1", 2)}
	threeRuns := []emulator.Run{came("b", 1), came("c", 1), came("d", 2)}
	refused := first
	refused.status = 503
	elsewhere := first
	elsewhere.stamp = "p-1.a"
	cases := map[string]struct {
		history history
		want    string
	}{
		"to one that leaves":         {history{told: leaves, calls: []call{first, asked("b", "g/1", 2.5)}, runs: []emulator.Run{came("b", 2.5)}}, "leaving"},
		"by another life":            {history{told: leaves, calls: []call{first, asked("b", "g/2", 2.5)}, runs: []emulator.Run{came("b", 2.5)}}, ""},
		"in time, held up":           {history{told: leaves, calls: []call{first, held}, runs: []emulator.Run{came("b", 4)}}, ""},
		"the answer was not passed":  {history{told: leaves, calls: []call{refused, asked("b", "g/1", 2.5)}, runs: []emulator.Run{came("b", 2.5)}}, ""},
		"another's was passed":       {history{told: leaves, calls: []call{elsewhere, asked("b", "g/1", 2.5)}, runs: []emulator.Run{came("b", 2.5)}}, ""},
		"three in a rest":            {history{told: rests, calls: three, runs: threeRuns}, "rest"},
		"two in a rest":              {history{told: rests, calls: three, runs: threeRuns[1:]}, ""},
		"three at its begin":         {history{told: rests, calls: three, runs: []emulator.Run{came("b", 0.1), came("c", 0.2), came("d", 0.4)}}, ""},
		"three after it":             {history{told: rests, calls: three, runs: []emulator.Run{came("b", 3.1), came("c", 3.1), came("d", 3.1)}}, ""},
		"no time":                    {history{told: word, calls: three, runs: threeRuns}, ""},
		"the gateway stood still":    {history{told: rests, calls: three, runs: threeRuns, deaf: []span{{"g", at(-0.5), at(0.5)}}}, ""},
		"the way there was held up":  {history{told: rests, calls: three, runs: threeRuns, links: []span{{"p-0", at(-0.5), at(0.5)}}}, ""},
		"another's way was held up":  {history{told: rests, calls: three, runs: threeRuns, links: []span{{"p-1", at(-0.5), at(0.5)}}}, "rest"},
		"another gateway was asked":  {history{told: rests, calls: append([]call{asked("a", "h/1", 0)}, three[1:]...), runs: threeRuns}, ""},
		"nobody knows who was asked": {history{told: rests, calls: append([]call{asked("a", "", 0)}, three[1:]...), runs: threeRuns}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := test.history.brokenNotices()
			if test.want == "" {
				is.Equal(strings.Join(found, "; "), "")
				return
			}
			is.True(len(found) > 0)
			is.True(strings.HasPrefix(found[0], test.want))
		})
	}
}
