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

// TestCheckpointTargetsWaitForTargetList checks that a target that has left since the checkpoint
// was written gets no requests while the target list is loading. If most of the targets are
// missing from the complete list, their entries have lapsed and the targets still serve.
func TestCheckpointTargetsWaitForTargetList(t *testing.T) {
	targetOf := func(id string) balance.Target {
		return balance.Target{ID: id, Service: "s", Address: "10.0.0.1:80"}
	}
	cases := map[string]struct {
		registered []string
		chosen     bool // whether a target that is not listed may get work
	}{
		"complete list":       {[]string{"a", "b", "c"}, false},
		"most entries lapsed": {[]string{"a"}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := NewGateway(t.Context(), &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			s := &sink{process: p, notifyPeers: func() {}}
			data, err := checkpoint.Encode(checkpoint.Content{Targets: []balance.Target{targetOf("a"), targetOf("b"), targetOf("left")}})
			is.NoErr(err)
			balancer := p.gateway.Balancer
			s.Checkpoint(data)
			is.Equal(len(balancer.Targets()), 0) // no requests may be sent yet
			for _, id := range tc.registered {
				s.Target(targetOf(id))
			}
			is.Equal(len(balancer.Targets()), len(tc.registered))
			s.Loaded()
			exclude := tc.registered
			_, ok := balancer.Choose(balance.Query{Service: "s", Exclude: exclude}, s.process.started)
			is.Equal(ok, tc.chosen)
			before := len(balancer.Targets())
			s.Checkpoint(data) // later checkpoints do not change the targets
			is.Equal(len(balancer.Targets()), before)
		})
	}
}

// TestYieldsToPeersAtStart checks that a starting process with no live peers assumes that it is
// one of many, unless its settings name no other gateway.
func TestYieldsToPeersAtStart(t *testing.T) {
	cases := map[string]struct {
		peers  string
		seeds  []string
		age    time.Duration
		yields bool
	}{
		"no peer address":          {"", []string{"10.0.0.9:1"}, 0, false},
		"no seeds":                 {"127.0.0.1:0", nil, 0, false},
		"only seed is itself":      {"127.0.0.1:0", []string{"self"}, 0, false},
		"peers not yet discovered": {"127.0.0.1:0", []string{"self", "10.0.0.9:1"}, 0, true},
		"discovery timed out":      {"127.0.0.1:0", []string{"10.0.0.9:1"}, peerDiscoveryTimeout, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: tc.peers, Store: "127.0.0.1:1"}
			p, err := NewGateway(t.Context(), s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			for _, seed := range tc.seeds {
				if seed == "self" {
					seed = p.addresses.Link
				}
				s.Seeds = append(s.Seeds, seed)
			}
			// An age at the exact limit would make the result depend on the machine's speed.
			p.started = time.Now().Add(-2 * tc.age)
			is.Equal(p.yieldsToPeers(), tc.yields)
		})
	}
}

// TestSmallHostYieldsToLargerHosts guards against slow first copies: when hundreds of gateways
// started together, both that read the store for all of them were on hosts of a seventh of a core
// and 10 Mbit/s.
func TestSmallHostYieldsToLargerHosts(t *testing.T) {
	cases := map[string]struct {
		state  startupState
		yields bool
	}{
		"large host, discovering, no peers":       {startupState{discovering: true, noPeers: true, quickHost: true}, true},
		"large host, discovering, first in order": {startupState{discovering: true, quickHost: true, firstInOrder: true}, false},
		"large host, discovering, not first":      {startupState{discovering: true, quickHost: true}, true},
		"small host, discovering, first in order": {startupState{discovering: true, firstInOrder: true}, true},
		"small host, first in order":              {startupState{firstInOrder: true}, false},
		"small host, not first":                   {startupState{}, true},
		"small host, no peers":                    {startupState{noPeers: true, firstInOrder: true}, false},
		"large host, no peers":                    {startupState{noPeers: true, quickHost: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(shouldYield(tc.state), tc.yields)
		})
	}
}

// TestStoreRoleAtStart checks that starting processes read the store at different offsets: when
// 300 gateways read its first page at the same time, the store's link was busy for a second.
func TestStoreRoleAtStart(t *testing.T) {
	small, large := settings.Host{Share: 0.144, Cores: 1, LinkMbps: 10}, settings.Host{Share: 0.8, Cores: 1, LinkMbps: 200}
	readOffset := func(patience time.Duration) time.Duration {
		return time.Duration(float64(patience) * peer.StoreOrder("g"))
	}
	seeds := []string{"10.0.0.9:1"}
	cases := map[string]struct {
		host  settings.Host
		seeds []string
		age   time.Duration
		role  platform.Role
	}{
		"small host before its offset":          {small, seeds, readOffset(smallReadWindow) / 4, platform.RoleFollower},
		"small host after its offset, no peers": {small, seeds, readOffset(smallReadWindow), platform.RolePrimary},
		"large host before its offset":          {large, seeds, 0, platform.RoleFollower},
		"large host after its shorter offset":   {large, seeds, readOffset(quickReadWindow), platform.RolePrimary},
		"unknown host resources":                {settings.Host{}, seeds, 0, platform.RolePrimary},
		"small host without seeds":              {small, nil, 0, platform.RolePrimary},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0", Store: "127.0.0.1:1", Host: tc.host, Seeds: tc.seeds}
			p, err := NewGateway(t.Context(), s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			// An age at the exact limit would make the result depend on the machine's speed.
			p.started = time.Now().Add(-2 * tc.age)
			is.Equal(p.storeRole(), tc.role)
		})
	}
}

// TestNoCheckpointBeforePeerDiscovery checks that a process writes no checkpoint before it has
// had time to discover its peers: until then it may wrongly appear to be the first of them.
func TestNoCheckpointBeforePeerDiscovery(t *testing.T) {
	cases := map[string]struct {
		peers  string
		age    time.Duration
		copied bool // whether it has just got its first copy of the store
		writes bool
	}{
		"no other gateways":        {"", 0, true, true},
		"peers not yet discovered": {"127.0.0.1:0", 0, false, false},
		"no peers after discovery": {"127.0.0.1:0", discoveryTime, false, true},
		"first copy came late":     {"127.0.0.1:0", discoveryTime, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: tc.peers, Store: "127.0.0.1:1"}
			p, err := NewGateway(t.Context(), s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = p.kernel.Close() })
			p.started = time.Now().Add(-2 * tc.age)
			if tc.copied {
				p.recordFirstCopy()
			}
			is.Equal(p.writesCheckpoint(), tc.writes)
		})
	}
}
