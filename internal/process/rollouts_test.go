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
	// rolloutDuration is the operators' time for a roll-out, callerRate the requests a second of
	// all callers.
	rolloutDuration = 12 * time.Second
	callerRate = 160
	// targetsPerVersion is how many targets of each version there are.
	targetsPerVersion = 8
)

// rolloutFleet is some gateways before plain targets of an old version.
func rolloutFleet(t *testing.T, gateways int) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	for _, server := range f.plain {
		f.platform.Leave(server)
	}
	f.versionServers = f.addVersion(t, oldVersion, nil)
	var seeds []string
	for i := range gateways {
		f.gateways = append(f.gateways, f.startGateway(t, gatewayName(i), seeds))
		seeds = append(seeds, f.gateways[i].Addresses().Link)
	}
	for _, gateway := range f.gateways {
		eventually(t, "a gateway is ready", gateway.Ready)
	}
	return f
}

func gatewayName(number int) string {
	return fmt.Sprintf("gateway-%d", number)
}

// addVersion starts targets of a version.
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

// callers send requests at a steady rate to all gateways in turn, until stopped.
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

// send makes one request: two thirds payments, one third questions.
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

// logLinesOf are the log's lines of events whose names begin so.
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

// TestRollouts plays one roll-out of each form before real gateways: the operators order it,
// and callers go on. Whatever happens, the version has had no more than the share of
// all requests when it is rolled back, and nothing after.
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
