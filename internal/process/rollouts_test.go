package process_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	oldVersion, newVersion = "v1", "v2"
	// rolloutDuration is the time that operators allow for a rollout, and callerRate the number
	// of requests a second of all callers.
	rolloutDuration = 12 * time.Second
	callerRate      = 160
	// targetsPerVersion is the number of targets of each version.
	targetsPerVersion = 8
)

// rolloutFleet starts gateways in front of plain targets of the old version.
func rolloutFleet(t *testing.T, gateways int) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.revocation = 0 // A version is judged by its answers, also while the store is away.
	for _, server := range f.plain {
		f.platform.Leave(server)
	}
	f.versionServers = f.addVersion(t, oldVersion, nil)
	f.startGateways(t, gateways)
	return f
}

func gatewayName(number int) string {
	return fmt.Sprintf("gateway-%d", number)
}

// addVersion starts the targets of a version.
func (f *fleet) addVersion(t *testing.T, version string, bad *emulator.Bad) []*emulator.Server {
	t.Helper()
	var servers []*emulator.Server
	for i := range targetsPerVersion {
		options := emulator.ServerOptions{ID: fmt.Sprintf("%s-%d", version, i), Version: version, Work: 15 * time.Millisecond, Bad: bad}
		server, err := f.platform.AddServer("plain", "zone", "127.0.0.1:0", options)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
	}
	return servers
}

// callers sends requests at a steady rate to all gateways in turn until stopped.
type callers struct {
	sent, failed atomic.Int64
	cancel       context.CancelFunc
	wait         sync.WaitGroup
}

func (f *fleet) startCallers(t *testing.T) *callers {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &callers{cancel: cancel}
	c.wait.Go(func() {
		ticker := time.NewTicker(time.Second / callerRate)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			c.wait.Go(func() { c.send(f, number) })
		}
	})
	t.Cleanup(c.stop)
	return c
}

// send sends one request: two thirds are payments, one third queries.
func (c *callers) send(f *fleet, number int) {
	path := "/pay/1"
	if number%3 == 0 {
		path = "/ask/1"
	}
	c.sent.Add(1)
	got := f.call(number%len(f.gateways), http.MethodPost, path, fmt.Sprintf("r-%d", number), "key-1")
	if got.err != nil || got.status != http.StatusOK {
		c.failed.Add(1)
	}
}

func (c *callers) stop() {
	c.cancel()
	c.wait.Wait()
}

// logLinesOf returns the log lines of events whose names have a prefix.
func (f *fleet) logLinesOf(prefix string) string {
	var lines []string
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, `"msg":"`+prefix) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// countRuns counts the requests that have reached servers.
func countRuns(servers []*emulator.Server) int {
	total := 0
	for _, server := range servers {
		total += len(server.Runs())
	}
	return total
}

// TestRollouts runs one rollout of each kind on real gateways while callers send requests. A
// version that is rolled back must have got no more than its share of all requests by then; how
// many it gets afterwards is logged.
func TestRollouts(t *testing.T) {
	cases := map[string]struct {
		bad   *emulator.Bad
		state string
	}{
		"good":               {nil, emulator.StateCompleted},
		"fails 40 in 100":    {&emulator.Bad{Share: 0.4}, emulator.StateRolledBack},
		"five times as slow": {&emulator.Bad{Slower: 5}, emulator.StateRolledBack},
		"bad on one route":   {&emulator.Bad{Share: 0.4, Path: "/ask/"}, emulator.StateRolledBack},
		"bad after 5 s":      {&emulator.Bad{Share: 0.4, After: 5 * time.Second}, emulator.StateRolledBack},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := rolloutFleet(t, 4)
			c := f.startCallers(t)
			eventually(t, "callers are served", func() bool { return c.sent.Load() > 2*callerRate })
			before := c.sent.Load()
			servers := f.addVersion(t, newVersion, test.bad)
			ended := ""
			exposed, requests := 0, int64(0)
			_, err := f.platform.Play(t.Context(), emulator.Rollout{
				Service: "plain", Version: newVersion, Duration: rolloutDuration,
				Ended: func(state string) {
					ended, exposed, requests = state, countRuns(servers), c.sent.Load()-before
				},
			})
			t.Logf("%s after %d requests, %d of them at the version, %d failed", ended, requests, exposed, c.failed.Load())
			is.NoErr(err)
			t.Log(f.logLinesOf("rollout_"))
			is.Equal(ended, test.state)
			if test.state == emulator.StateRolledBack {
				is.True(float64(exposed) <= 0.1*float64(requests)+10)
			}
			c.stop()
			t.Logf("at the end %d at the version", countRuns(servers))
		})
	}
}
