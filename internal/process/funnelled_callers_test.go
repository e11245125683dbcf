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
)

// The platform may give most new connections to one gateway, and to another one later, while callers
// open more of them. That gateway must serve its callers as well as several did before.

const (
	// funnelShare is the number of ten new connections that go to one gateway.
	funnelShare = 9
	// funnelWork is how long a target works on a request.
	funnelWork = time.Second
	// funnelTime is how long one gateway gets most connections.
	funnelTime = 5 * time.Second
	// minFunnelShare is the share of its earlier rate of success that must remain, from learnTime on.
	minFunnelShare = 0.75
)

// callCounts counts calls and those of them that were served.
type callCounts struct {
	sent, served atomic.Int64
	failures     failureCounts
}

func (c *callCounts) share() float64 {
	return float64(c.served.Load()) / float64(max(c.sent.Load(), 1))
}

// TestMostConnectionsAtOneGateway checks that requests are served at the first attempt while most
// connections go to one gateway, and then to another one.
func TestMostConnectionsAtOneGateway(t *testing.T) {
	const slots = 8
	cases := map[string]struct {
		gateways int
		// load is the share of the targets' slots that is taken before.
		load float64
		// pace is how many times as many requests are sent while one gateway gets most connections.
		pace float64
	}{
		"half of the slots":                       {4, 0.5, 1.3},
		"nine tenths of the slots":                {4, 0.9, 1},
		"half of the slots, many gateways":        {11, 0.5, 1.3},
		"nine tenths of the slots, many gateways": {11, 0.9, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := partFleet(t, test.gateways, funnelWork, 0)
			interval := time.Duration(float64(funnelWork) / (test.load * partTargets * slots))
			var phases [4]callCounts
			const before, first, second, learning = 0, 1, 2, 3
			begin := time.Now()
			// phaseAt returns which counts a call belongs to, and the gateway that gets most connections.
			phaseAt := func(at time.Time) (phase, favoured int) {
				since := at.Sub(begin) - learnTime
				switch {
				case since < 0:
					return before, -1
				case since < learnTime, since >= funnelTime && since < funnelTime+learnTime:
					return learning, int(since / funnelTime)
				case since < funnelTime:
					return first, 0
				}
				return second, 1
			}
			call := func(number int) {
				phase, gateway := phaseAt(time.Now())
				if gateway < 0 || number%10 >= funnelShare {
					gateway = number % len(f.gateways)
				}
				id := fmt.Sprintf("call-%d", number)
				got := f.send(gateway, http.MethodPost, "/chat/1", id, "key-1", promptOf("aa", fmt.Sprintf("b%x", number%20), id), id)
				phases[phase].sent.Add(1)
				if got.err == nil && got.status == http.StatusOK && got.body == fullStream(6) {
					phases[phase].served.Add(1)
					return
				}
				phases[phase].failures.record(got)
			}
			callFor(t, interval, learnTime, 0, call)
			callFor(t, time.Duration(float64(interval)/test.pace), 2*funnelTime, 1_000_000, call)
			t.Logf("%.3f of %d served before, %.3f of %d while the first gateway gets most, %.3f of %d while the second one does, %.3f of %d in the first moments of either",
				phases[before].share(), phases[before].sent.Load(), phases[first].share(), phases[first].sent.Load(), phases[second].share(), phases[second].sent.Load(), phases[learning].share(), phases[learning].sent.Load())
			for phase := range phases {
				t.Logf("failures in phase %d:%s", phase, &phases[phase].failures)
			}
			is := is.New(t)
			is.True(phases[first].share() >= minFunnelShare*phases[before].share())
			is.True(phases[second].share() >= minFunnelShare*phases[before].share())
		})
	}
}

// callFor makes calls at an interval for a while and waits for them to end. The calls are numbered from
// a first number on.
func callFor(t *testing.T, interval, length time.Duration, firstNumber int, call func(number int)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var wait sync.WaitGroup
	repeat(ctx, &wait, interval, func(number int) { call(firstNumber + number) })
	wait.Wait()
}
