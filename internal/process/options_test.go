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
		peers  int
		uptime time.Duration
	}{
		"alone and new":          {0, 0},
		"four":                   {3, time.Minute},
		"thirty":                 {29, time.Minute},
		"thirty and new":         {29, 0},
		"three hundred":          {299, time.Minute},
		"thirty, then none live": {29, time.Minute},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{Retry: settings.RetryBudget{Ratio: 0.2, Slack: 100, Window: settings.Duration(10 * time.Second)}}
			p := &GatewayProcess{settings: s, started: time.Now().Add(-tc.uptime)}
			p.gateway = &gateway.Gateway{Balancer: balance.New(balance.DefaultOptions()), Budgets: retrybudget.New(retryOptions(s), p.started)}
			p.applyCensus(peer.Census{Live: tc.peers, Known: tc.peers})
			if name == "thirty, then none live" {
				p.applyCensus(peer.Census{}) // partitioned, but the others keep spending
			}
			spent := 0
			for p.gateway.Budgets.Spend("s", time.Now()) {
				spent++
			}
			is.True(spent*(tc.peers+1) <= 100) // the total stays within the slack
		})
	}
}

// TestNotReadyWithoutProof guards against serving a request with a key between loading the
// configuration and recording its freshness proof.
func TestNotReadyWithoutProof(t *testing.T) {
	is := is.New(t)
	s := &settings.Gateway{Role: "gateway", ID: "g", DataCenter: "dc", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}
	p, err := NewGateway(s, log.New(io.Discard))
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
			p, err := NewGateway(settings, log.New(io.Discard))
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

// TestGatewayUnreadyDelay checks that time is left for requests in flight, even if the grace
// period is short.
func TestGatewayUnreadyDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(gatewayUnreadyDelay(8*time.Second), unreadyDelay)
	is.Equal(gatewayUnreadyDelay(20*time.Second), unreadyDelay)
	is.Equal(gatewayUnreadyDelay(3*time.Second), 1200*time.Millisecond)
}
