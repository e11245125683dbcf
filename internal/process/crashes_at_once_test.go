package process_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestAlikeRequestsAtLostDataCenter guards against a sound request that is refused for good, since several
// targets with copies of it crashed together before any copy had been answered.
func TestAlikeRequestsAtLostDataCenter(t *testing.T) {
	const (
		interval = 50 * time.Millisecond
		// warmUp is the time before targets crash.
		warmUp = 2 * time.Second
		// judged is the time after the loss in which callers go on to ask.
		judged = 10 * time.Second
	)
	cases := map[string]struct {
		gateways, lost int
		work           time.Duration
	}{
		"four gateways":     {4, 3, 4500 * time.Millisecond},
		"one gateway":       {1, 3, 4500 * time.Millisecond},
		"fourteen gateways": {14, 3, 4500 * time.Millisecond},
		"all targets":       {4, 9, 1500 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, engines := startSlowEngines(t, test.work)
			f.startGateways(t, test.gateways)
			var wait sync.WaitGroup
			var sent, refused, served atomic.Int64
			var failures failureCounts
			ctx, cancel := context.WithCancel(t.Context())
			repeat(ctx, &wait, interval, func(number int) {
				got := f.callWithBody(number%test.gateways, "/chat/1", fmt.Sprintf("alike-%d", number), "alike")
				sent.Add(1)
				if got.err == nil && got.status == http.StatusOK {
					served.Add(1)
					return
				}
				failures.record(got)
				if got.status == http.StatusBadRequest {
					refused.Add(1)
				}
			})
			pauseFor(warmUp)
			for _, server := range engines[:test.lost] {
				_, err := f.platform.Restart(server)
				is.NoErr(err)
			}
			pauseFor(judged)
			cancel()
			wait.Wait()
			t.Logf("%d of %d requests refused with 400, %d served; failures:%s", refused.Load(), sent.Load(), served.Load(), &failures)
			is.Equal(refused.Load(), int64(0))
		})
	}
}

// startSlowEngines starts engines whose first event takes a given time, without gateways.
func startSlowEngines(t *testing.T, work time.Duration) (*fleet, []*emulator.Server) {
	t.Helper()
	const count = 9
	f := newFleet(t, 0)
	for _, server := range f.engines {
		f.platform.Leave(server)
	}
	var engines []*emulator.Server
	for i := range count {
		options := emulator.ServerOptions{ID: fmt.Sprintf("slow-%d", i), Work: work, Events: 6, Gap: 10 * time.Millisecond, KeepsID: true}
		server, err := f.platform.AddServer("engine", "zone", "127.0.0.1:0", options)
		is.New(t).NoErr(err)
		engines = append(engines, server)
	}
	return f, engines
}
