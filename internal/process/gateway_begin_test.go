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

// TestTargetsOfTheCheckpointWaitForTheList: found as DRAIN on trouble-2 of
// mmd-cuenca. A target that has left since the checkpoint was written gets
// nothing while the list comes in; if most of the list is missing when it is
// known whole, the entries have lapsed and the targets serve.
func TestTargetsOfTheCheckpointWaitForTheList(t *testing.T) {
	targetOf := func(id string) balance.Target {
		return balance.Target{ID: id, Service: "s", Address: "10.0.0.1:80"}
	}
	cases := map[string]struct {
		listed []string
		open   bool // whether another target than those listed may get work
	}{
		"the list is whole":        {[]string{"a", "b", "c"}, false},
		"most entries have lapsed": {[]string{"a"}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			made, err := NewGateway(&settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = made.kernel.Close() })
			s := &sink{process: made, urge: func() {}}
			data, err := checkpoint.Encode(checkpoint.Content{Targets: []balance.Target{targetOf("a"), targetOf("b"), targetOf("left")}})
			is.NoErr(err)
			balancer := made.gateway.Balancer
			s.Checkpoint(data)
			is.Equal(len(balancer.Targets()), 0) // nothing may be sent yet
			for _, id := range tc.listed {
				s.Target(targetOf(id))
			}
			is.Equal(len(balancer.Targets()), len(tc.listed))
			s.Loaded()
			exclude := tc.listed
			_, ok := balancer.Choose(balance.Query{Service: "s", Exclude: exclude}, s.process.started)
			is.Equal(ok, tc.open)
			before := len(balancer.Targets())
			s.Checkpoint(data) // later ones say nothing new of targets
			is.Equal(len(balancer.Targets()), before)
		})
	}
}

// TestWhoYieldsAtItsBeginning: a process that has just begun and hears of nobody
// may be one of hundreds, unless its settings name no other gateway.
func TestWhoYieldsAtItsBeginning(t *testing.T) {
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
		"nobody was heard for a moment": {"127.0.0.1:0", []string{"10.0.0.9:1"}, discoverPatience, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: tc.peers, Store: "127.0.0.1:1"}
			made, err := NewGateway(s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = made.kernel.Close() })
			for _, seed := range tc.seeds {
				if seed == "self" {
					seed = made.addresses.Link
				}
				s.Seeds = append(s.Seeds, seed)
			}
			// Moments right at a bound would hang on the machine's speed.
			made.started = time.Now().Add(-2 * tc.age)
			is.Equal(made.yields(), tc.yields)
		})
	}
}

// TestASmallHostYieldsToLargerOnes: both gateways that read the store for hundreds
// that had begun together were on hosts of a seventh of a core and 10 Mbit/s.
func TestASmallHostYieldsToLargerOnes(t *testing.T) {
	cases := map[string]struct {
		beginning beginning
		yields    bool
	}{
		"a large host that hears nobody yet":     {beginning{young: true, alone: true, quick: true}, true},
		"a large host that leads":                {beginning{young: true, quick: true, leads: true}, false},
		"a large host behind others":             {beginning{young: true, quick: true}, true},
		"a small host that leads for the moment": {beginning{young: true, leads: true}, true},
		"a small host that leads for longer":     {beginning{leads: true}, false},
		"a small host behind others":             {beginning{}, true},
		"a host that hears nobody for longer":    {beginning{alone: true, leads: true}, false},
		"the same on a large host":               {beginning{alone: true, quick: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(yields(tc.beginning), tc.yields)
		})
	}
}

// TestASmallHostLeavesReadingToOthers: the first page of the store for each of 300
// gateways that began together kept its link busy for a second.
func TestASmallHostLeavesReadingToOthers(t *testing.T) {
	small, large := settings.Host{Share: 0.144, Cores: 1, LinkMbps: 10}, settings.Host{Share: 0.8, Cores: 1, LinkMbps: 200}
	moment := func(patience time.Duration) time.Duration {
		return time.Duration(float64(patience) * peer.StoreOrder("g"))
	}
	others := []string{"10.0.0.9:1"}
	cases := map[string]struct {
		host  settings.Host
		seeds []string
		age   time.Duration
		role  platform.Role
	}{
		"a small host before its moment":       {small, others, moment(smallPatience) / 4, platform.RoleFollower},
		"after it, and nobody was heard":       {small, others, moment(smallPatience), platform.RolePrimary},
		"a large host before its moment":       {large, others, 0, platform.RoleFollower},
		"a large host's moment comes sooner":   {large, others, moment(quickPatience), platform.RolePrimary},
		"what the host has is not known":       {settings.Host{}, others, 0, platform.RolePrimary},
		"a small host, and nobody else can be": {small, nil, 0, platform.RolePrimary},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0", Store: "127.0.0.1:1", Host: tc.host, Seeds: tc.seeds}
			made, err := NewGateway(s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = made.kernel.Close() })
			// Moments right at a bound would hang on the machine's speed.
			made.started = time.Now().Add(-2 * tc.age)
			is.Equal(made.storeRole(), tc.role)
		})
	}
}

// TestWhoBeginsKeepsNoCheckpoint: until a process can have heard the others it may
// only seem to be the first of them.
func TestWhoBeginsKeepsNoCheckpoint(t *testing.T) {
	cases := map[string]struct {
		peers string
		age   time.Duration
		keeps bool
	}{
		"no other gateways":           {"", 0, true},
		"others may be there":         {"127.0.0.1:0", 0, false},
		"nobody was heard for longer": {"127.0.0.1:0", knownAfter, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: tc.peers, Store: "127.0.0.1:1"}
			made, err := NewGateway(s, NewLogger(t.Output(), settings.Log{Format: "json"}))
			is.NoErr(err)
			t.Cleanup(func() { _ = made.kernel.Close() })
			made.started = time.Now().Add(-2 * tc.age)
			is.Equal(made.keepsCheckpoint(), tc.keeps)
		})
	}
}
