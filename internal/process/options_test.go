package process

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/peer"
	"github.com/capersaddle/capersaddle/internal/retrybudget"
	"github.com/capersaddle/capersaddle/internal/routing"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestRetrySlackSharedByGateways guards against a fixed share of the retry slack: thirty gateways
// that each took an eighth of it broke the retry budget together.
func TestRetrySlackSharedByGateways(t *testing.T) {
	cases := map[string]struct {
		// seen is the number of peers seen at first; none is live later if they are lost.
		seen int
		lost bool
		// checkpoint is the number of gateways beside the last checkpoint; zero if none was read.
		checkpoint int
		uptime     time.Duration
		gateways   int
	}{
		"alone and new":          {gateways: 1},
		"four":                   {seen: 3, uptime: time.Minute, gateways: 4},
		"thirty":                 {seen: 29, uptime: time.Minute, gateways: 30},
		"thirty and new":         {seen: 29, gateways: 30},
		"three hundred":          {seen: 299, uptime: time.Minute, gateways: 300},
		"thirty, then none live": {seen: 29, lost: true, uptime: time.Minute, gateways: 30}, // the others keep spending
		"thirty, none seen":      {checkpoint: 30, uptime: time.Minute, gateways: 30},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{Retry: settings.RetryBudget{Ratio: 0.2, Slack: 100, Window: settings.Duration(10 * time.Second)}}
			p := &GatewayProcess{settings: s, started: time.Now().Add(-tc.uptime)}
			p.gateway = &gateway.Gateway{Balancer: balance.New(balance.DefaultOptions()), Budgets: retrybudget.New(retryOptions(s), p.started)}
			p.expectedGateways.Store(int32(tc.checkpoint))
			p.applyCensus(peer.Census{Live: tc.seen, Known: tc.seen})
			if tc.lost {
				p.applyCensus(peer.Census{})
			}
			spent := 0
			began := time.Now()
			for after := time.Duration(0); after < 10*time.Second; after += 100 * time.Millisecond {
				for p.gateway.Budgets.Spend("s", began.Add(after)) {
					spent++
				}
			}
			is.True(spent*tc.gateways <= 100) // the total in a window stays within the slack
		})
	}
}

// TestNotReadyWithoutProof guards against serving a request with a key between loading the
// configuration and recording its freshness proof.
func TestNotReadyWithoutProof(t *testing.T) {
	is := is.New(t)
	s := &settings.Gateway{Role: "gateway", ID: "g", DataCenter: "dc", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}
	p, err := NewGateway(t.Context(), s, log.New(io.Discard))
	is.NoErr(err)
	p.gateway.Apply(&routing.Config{Version: 1})
	is.NoErr(p.feed.Absorb(&wire.ReplicaPage{Revision: 1, Whole: true}))
	is.True(!p.Ready())
	p.gateway.Proof.Note(time.Now())
	is.True(p.Ready())
}

// TestTargetLeaveNotifiesPeers guards against a delayed notice of a target's leave: the removal
// of its entry used to be queued behind load reports for up to 2 s, while a leaving target may
// get new work for 3 s only.
func TestTargetLeaveNotifiesPeers(t *testing.T) {
	ready := balance.Target{ID: "t", Service: "s", Address: "a"}
	leaving := ready
	leaving.Leaving = true
	cases := map[string]struct {
		change func(s *sink)
		want   int
	}{
		"added":          {func(s *sink) { s.Target(balance.Target{ID: "u", Service: "s"}) }, 0},
		"leaving":        {func(s *sink) { s.Target(leaving) }, 1},
		"leaving, twice": {func(s *sink) { s.Target(leaving); s.Target(leaving) }, 1},
		"gone":           {func(s *sink) { s.Gone("t") }, 1},
		"configured":     {func(s *sink) { s.Config(&routing.Config{Version: 1}) }, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			settings := &settings.Gateway{Role: "gateway", ID: "g", DataCenter: "dc", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}
			p, err := NewGateway(t.Context(), settings, log.New(io.Discard))
			is := is.New(t)
			is.NoErr(err)
			notified := 0
			s := &sink{process: p, notifyPeers: func() { notified++ }}
			s.Target(ready)
			tc.change(s)
			is.Equal(notified, tc.want)
		})
	}
}

// TestOptionsFollowDeploymentBounds checks the options derived from the bounds of different
// deployments. It guards against bounds that are read but not used, as the load bound once was.
func TestOptionsFollowDeploymentBounds(t *testing.T) {
	cases := map[string]struct {
		load                   settings.LoadBound
		apply, leave, evacuate time.Duration
		stale                  time.Duration
	}{
		"usual":           {settings.LoadBound{Multiple: 2, Extra: 3}, 2 * time.Second, 2 * time.Second, 5 * time.Second, 1800 * time.Millisecond},
		"low load":        {settings.LoadBound{Multiple: 1.3, Extra: 2}, 3 * time.Second, 3 * time.Second, 5 * time.Second, 2700 * time.Millisecond},
		"fast leave":      {settings.LoadBound{Multiple: 3, Extra: 1}, 3 * time.Second, time.Second, 5 * time.Second, 900 * time.Millisecond},
		"fast change":     {settings.LoadBound{Multiple: 1, Extra: 1}, time.Second, 5 * time.Second, 5 * time.Second, 900 * time.Millisecond},
		"fast evacuation": {settings.LoadBound{Multiple: 2, Extra: 3}, 3 * time.Second, 3 * time.Second, 2 * time.Second, 1800 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{Load: tc.load, Apply: settings.Duration(tc.apply), Leave: settings.Duration(tc.leave), Evacuate: settings.Duration(tc.evacuate)}
			is.Equal(staleAfter(s), tc.stale)
			options := balanceOptions(s)
			is.True(options.ExpiryGrace <= balance.MaxExpiryGrace && options.ExpiryGrace < tc.leave)
			for _, own := range []balance.Bound{options.Short, options.Long, options.ShortManyGateways, options.LongManyGateways} {
				is.True(own.Multiple <= tc.load.Multiple && own.Multiple >= tc.load.Multiple/2)
				is.True(own.Extra < tc.load.Extra)
			}
		})
	}
}

// TestUnreadyDelayLeavesMargins guards against a stopping process that accepts a request so late
// that the platform's grace period does not cover it: a timer of exactly that time let one in.
func TestUnreadyDelayLeavesMargins(t *testing.T) {
	const (
		// balancerNotices is how long the platform's load balancer takes to notice.
		balancerNotices = 2 * time.Second
		// signalDelay is how late the signal and the timer arrive, and probeDelay how late a
		// probe is answered.
		signalDelay, probeDelay = 100 * time.Millisecond, 500 * time.Millisecond
	)
	is := is.New(t)
	is.True(unreadyDelay+signalDelay < lastAccepted)
	is.True(unreadyDelay > balancerNotices+probeDelay)
}

// TestGatewayUnreadyDelay checks that time is left for requests in flight, even if the grace
// period is short.
func TestGatewayUnreadyDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(gatewayUnreadyDelay(8*time.Second), unreadyDelay)
	is.Equal(gatewayUnreadyDelay(20*time.Second), unreadyDelay)
	is.Equal(gatewayUnreadyDelay(3*time.Second), 1200*time.Millisecond)
}
