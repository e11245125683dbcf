package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// call is what a caller asked and got.
type call struct {
	id string
	// path is /pay/ (at most once), /ask/ (repeatable) or /chat/ (resumable).
	path   string
	status int
	body   string
	stamp  string
	err    error
	// reached says that the gateway took the connection.
	reached bool
}

// history is what callers and servers saw.
type history struct {
	calls []call
	runs  []emulator.Run
	// revokedAt is when the taking away of the key of workspace "gone" was
	// accepted; zero if it was not.
	revokedAt time.Time
	// calm says that there was planned work only.
	calm bool
}

const revocation = 5 * time.Second

// broken lists the promises that a history breaks.
func (h *history) broken() []string {
	var found []string
	ran := make(map[string]int)
	for _, run := range h.runs {
		if run.Ran {
			ran[run.ID]++
		}
		if h.late(run) {
			found = append(found, fmt.Sprintf("revocation: %s ran %v after its key was taken away", run.ID, run.At.Sub(h.revokedAt)))
		}
	}
	for _, c := range h.calls {
		if strings.HasPrefix(c.path, "/pay/") && ran[c.id] > 1 {
			found = append(found, fmt.Sprintf("at most once: %s ran %d times", c.id, ran[c.id]))
		}
		if promised(c.status) && ran[c.id] > 0 {
			found = append(found, fmt.Sprintf("not run: %s was refused with %d and ran", c.id, c.status))
		}
		if c.err == nil && c.status == http.StatusOK && !c.whole() {
			found = append(found, fmt.Sprintf("whole and own answer: %s got %q by %q", c.id, c.body, c.stamp))
		}
		if ran[c.id] > 2 {
			found = append(found, fmt.Sprintf("attempts: %s ran %d times", c.id, ran[c.id]))
		}
		if h.calm && c.reached && c.err != nil {
			found = append(found, fmt.Sprintf("planned work: %s was cut: %v", c.id, c.err))
		}
	}
	return found
}

// late says whether a run began too long after its key was taken away.
func (h *history) late(run emulator.Run) bool {
	return run.Header.Get("X-Tenant") == "gone" && !h.revokedAt.IsZero() && run.At.Sub(h.revokedAt) > revocation
}

func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *call) whole() bool {
	if !strings.HasSuffix(c.stamp, "."+c.id) {
		return false
	}
	if strings.HasPrefix(c.path, "/chat/") {
		return c.body == wholeStream()
	}
	return c.body == emulator.Body
}

func wholeStream() string {
	var text strings.Builder
	for number := 1; number <= streamEvents; number++ {
		text.WriteString(emulator.Event(number))
	}
	return text.String()
}

// TestCheckersSeeBrokenPromises feeds each checker a history that breaks its
// promise.
func TestCheckersSeeBrokenPromises(t *testing.T) {
	now := time.Now()
	run := emulator.Run{ID: "a", Ran: true, At: now, Header: http.Header{"X-Tenant": {"gone"}}}
	good := call{id: "a", path: "/pay/1", status: 200, body: emulator.Body, stamp: "s.a", reached: true}
	other, half, refused := good, good, good
	other.stamp = "s.b"
	half.body = "half"
	refused.status = 503
	chat := call{id: "a", path: "/chat/1", status: 200, body: emulator.Event(1) + emulator.Event(1), stamp: "s.a"}
	cut := good
	cut.err = http.ErrAbortHandler
	cases := map[string]struct {
		history history
		want    string
	}{
		"nothing broken":      {history{calls: []call{good}, runs: []emulator.Run{run}}, ""},
		"ran twice":           {history{calls: []call{good}, runs: []emulator.Run{run, run}}, "at most once"},
		"refused and ran":     {history{calls: []call{refused}, runs: []emulator.Run{run}}, "not run"},
		"another's answer":    {history{calls: []call{other}}, "whole and own"},
		"half an answer":      {history{calls: []call{half}}, "whole and own"},
		"an event twice":      {history{calls: []call{chat}}, "whole and own"},
		"a key after its end": {history{runs: []emulator.Run{run}, revokedAt: now.Add(-6 * time.Second)}, "revocation"},
		"cut by planned work": {history{calls: []call{cut}, calm: true}, "planned work"},
		"too many attempts":   {history{calls: []call{{id: "a", path: "/ask/1"}}, runs: []emulator.Run{run, run, run}}, "attempts"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := tc.history.broken()
			if tc.want == "" {
				is.Equal(len(found), 0)
				return
			}
			is.True(len(found) > 0)
			is.True(strings.HasPrefix(found[0], tc.want))
		})
	}
}
