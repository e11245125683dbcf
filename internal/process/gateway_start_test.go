package process

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/peer"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/platform"
)

// TestCheckpointTargetsWaitForTargetList: found as DRAIN on trouble-2 of
// mmd-cuenca. A target that has left since the checkpoint was written gets
// nothing while the list comes in; if most of the list is missing when it is
// known whole, the entries have lapsed and the targets serve.
func TestCheckpointTargetsWaitForTargetList(t *testing.T) {
	targetOf := func(id string) balance.Target {
		return balance.Target{ID: id, Service: "s", Address: "10.0.0.1:80"}
	}
	cases := map[string]struct {
		listed []string
		chosen   bool // whether another target than those listed may get work
	}{
		"the list is whole":        {[]string{"a", "b", "c"}, false},
		"most entries have lapsed": {[]string{"a"}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := NewGateway(&settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			s := &sink{process: p, notifyPeers: func() {}}
			data, err := checkpoint.Encode(checkpoint.Content{Targets: []balance.Target{targetOf("a"), targetOf("b"), targetOf("left")}})
			is.NoErr(err)
			balancer := p.gateway.Balancer
			s.Checkpoint(data)
			is.Equal(len(balancer.Targets()), 0) // nothing may be sent yet
			for _, id := range tc.listed {
				s.Target(targetOf(id))
			}
			is.Equal(len(balancer.Targets()), len(tc.listed))
			s.Begun()
			exclude := tc.listed
			_, ok := balancer.Choose(balance.Query{Service: "s", Exclude: exclude}, s.process.started)
			is.Equal(ok, tc.chosen)
			before := len(balancer.Targets())
			s.Checkpoint(data) // later ones say nothing new of targets
			is.Equal(len(balancer.Targets()), before)
		})
	}
}

// TestYieldsToPeersAtStart: a process that has just begun and hears of nobody
// may be one of hundreds, unless its settings name no other gateway.
func TestYieldsToPeersAtStart(t *testing.T) {
	cases := map[string]struct {
		peers  string
		seeds  []string
		age    time.Duration
		yields bool
	}{
		"no address for peers":          {"", []string{"10.0.0.9:1"}, 0, false},
		"no seeds":                      {"127.0.0.1:0", nil, 0, false},
		"only itself is a seed":         {"127.0.0.1:0", []string{"self"}, 0, false},
		"others may be there":           {"127.0.0.1:0", []string{"self", "10.0.0.9:1"}, 0, true},
		"nobody was heard for a moment": {"127.0.0.1:0", []string{"10.0.0.9:1"}, peerDiscoveryTimeout, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: tc.peers, Store: "127.0.0.1:1"}
			p, err := NewGateway(s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			for _, seed := range tc.seeds {
				if seed == "self" {
					seed = p.addresses.Link
				}
				s.Seeds = append(s.Seeds, seed)
			}
			// Moments right at a bound would hang on the machine's speed.
			p.started = time.Now().Add(-2 * tc.age)
			is.Equal(p.yieldsToPeers(), tc.yields)
		})
	}
}

// TestSmallHostYieldsToLargerHosts: both gateways that read the store for hundreds
// that had begun together were on hosts of a seventh of a core and 10 Mbit/s.
func TestSmallHostYieldsToLargerHosts(t *testing.T) {
	cases := map[string]struct {
		state startupState
		yields    bool
	}{
		"a large host that hears nobody yet":     {startupState{discovering: true, noPeers: true, quickHost: true}, true},
		"a large host that leads":                {startupState{discovering: true, quickHost: true, firstInOrder: true}, false},
		"a large host behind others":             {startupState{discovering: true, quickHost: true}, true},
		"a small host that leads for the moment": {startupState{discovering: true, firstInOrder: true}, true},
		"a small host that leads for longer":     {startupState{firstInOrder: true}, false},
		"a small host behind others":             {startupState{}, true},
		"a host that hears nobody for longer":    {startupState{noPeers: true, firstInOrder: true}, false},
		"the same on a large host":               {startupState{noPeers: true, quickHost: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(shouldYield(tc.state), tc.yields)
		})
	}
}

// TestStoreRoleAtStart: the first page of the store for each of 300
// gateways that began together kept its link busy for a second.
func TestStoreRoleAtStart(t *testing.T) {
	small, large := settings.Host{Share: 0.144, Cores: 1, LinkMbps: 10}, settings.Host{Share: 0.8, Cores: 1, LinkMbps: 200}
	readOffset := func(patience time.Duration) time.Duration {
		return time.Duration(float64(patience) * peer.StoreOrder("g"))
	}
	others := []string{"10.0.0.9:1"}
	cases := map[string]struct {
		host  settings.Host
		seeds []string
		age   time.Duration
		role  platform.Role
	}{
		"a small host before its moment":       {small, others, readOffset(smallReadWindow) / 4, platform.Follows},
		"after it, and nobody was heard":       {small, others, readOffset(smallReadWindow), platform.AsksFirst},
		"a large host before its moment":       {large, others, 0, platform.Follows},
		"a large host's moment comes sooner":   {large, others, readOffset(quickReadWindow), platform.AsksFirst},
		"what the host has is not known":       {settings.Host{}, others, 0, platform.AsksFirst},
		"a small host, and nobody else can be": {small, nil, 0, platform.AsksFirst},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0", Store: "127.0.0.1:1", Host: tc.host, Seeds: tc.seeds}
			p, err := NewGateway(s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			// Moments right at a bound would hang on the machine's speed.
			p.started = time.Now().Add(-2 * tc.age)
			is.Equal(p.storeRole(), tc.role)
		})
	}
}

// TestNoCheckpointBeforePeerDiscovery: until a process can have heard the others it may
// only seem to be the first of them.
func TestNoCheckpointBeforePeerDiscovery(t *testing.T) {
	cases := map[string]struct {
		peers string
		age   time.Duration
		writes bool
	}{
		"no other gateways":           {"", 0, true},
		"others may be there":         {"127.0.0.1:0", 0, false},
		"nobody was heard for longer": {"127.0.0.1:0", discoveryTime, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: tc.peers, Store: "127.0.0.1:1"}
			p, err := NewGateway(s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			p.started = time.Now().Add(-2 * tc.age)
			is.Equal(p.writesCheckpoint(), tc.writes)
		})
	}
}
