package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"time"

	"github.com/tailscale/hujson"
)

// roleGateway is the role of gateways.
const roleGateway = "gateway"

// Gateway holds the settings of a gateway process.
type Gateway struct {
	// Role must be "gateway".
	Role       string `json:"role"`
	ID         string `json:"id"`
	DataCenter string `json:"data_center"`
	// Callers is the address on which the gateway serves callers, IP:port.
	Callers string `json:"callers"`
	// Ready is the address of the readiness check, which reports whether the gateway accepts
	// callers, IP:port.
	Ready string `json:"ready"`
	// Metrics is the address on which metrics are served, IP:port; empty disables them.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the UDP address for messages from other gateways, IP:port; empty disables them.
	Peers string `json:"peers,omitempty"`
	// Seeds are peer addresses of other gateways, IP:port.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the address of the platform's store, IP:port.
	Store string `json:"store"`
	// Revocation limits how long a key may still be served after its removal was accepted; zero
	// sets no limit.
	Revocation Duration `json:"revocation,omitempty"`
	// Apply limits the time from the acceptance of a configuration until it is in force.
	Apply Duration `json:"apply,omitempty"`
	// Leave limits how long a target that has announced its stop may still get new work.
	Leave Duration `json:"leave,omitempty"`
	// Evacuate limits how long the targets of a data centre may still get requests after the
	// operators have ordered its evacuation.
	Evacuate Duration `json:"evacuate,omitempty"`
	// Pass limits the delay between the creation of a stream's event and its delivery to the
	// caller; zero means that events are passed on at once.
	Pass Duration `json:"pass,omitempty"`
	// Host describes the resources of the process's host.
	Host Host `json:"host"`
	// Grace limits the time between SIGTERM and the end of the process.
	Grace Duration    `json:"grace,omitempty"`
	Load  LoadBound   `json:"load"`
	Cold  ColdBound   `json:"cold"`
	Retry RetryBudget `json:"retry"`
	// Rollout limits the requests to a version of targets that is not yet proven good.
	Rollout Rollout `json:"rollout"`
	Log     Log     `json:"log"`
}

// Rollout limits the exposure of requests to new versions during roll-outs.
type Rollout struct {
	// Share is the share of a service's requests that a version on trial may get, over all
	// gateways; above 0, and 1 at most.
	Share float64 `json:"share,omitempty"`
	// Slack is the number of requests allowed in addition to Share.
	Slack float64 `json:"slack,omitempty"`
	// Rollback limits how long a version may still get requests after its failures have shown.
	Rollback Duration `json:"rollback,omitempty"`
}

// Host describes the resources of a gateway's host. Zero means unknown, which counts as the
// smallest.
type Host struct {
	// Share is the share of a core that the process may use.
	Share float64 `json:"share,omitempty"`
	// Cores is the speed of that core as a multiple of a usual one's; 1 if not set.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is the bandwidth of the host's link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64 `json:"memory_mb,omitempty"`
}

// LoadBound limits the load of one target.
type LoadBound struct {
	// Multiple is the multiple of a service's mean load that none of its targets may exceed.
	Multiple float64 `json:"multiple,omitempty"`
	// Extra is the number of requests allowed in addition to Multiple.
	Extra float64 `json:"extra,omitempty"`
}

// ColdBound limits the requests that all gateways together send to a target that has just
// started.
type ColdBound struct {
	// Multiple is how much of the request rate that the target can bear it may get in any
	// second, as a multiple.
	Multiple float64 `json:"multiple,omitempty"`
	// Extra is the number of requests allowed in addition to Multiple.
	Extra float64 `json:"extra,omitempty"`
}

// RetryBudget limits the retries of all gateways together.
type RetryBudget struct {
	// Ratio is the share of a window's requests that may be retries.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is the number of retries that a window allows in addition to Ratio.
	Slack  float64  `json:"slack,omitempty"`
	Window Duration `json:"window,omitempty"`
}

// maxMemoryMB is the most memory in MB that settings may state; its bytes fit into 64 bits.
const maxMemoryMB = 1 << 30

// Defaults of a gateway's settings.
const (
	defaultApply        = 2 * time.Second
	defaultLeave        = 2 * time.Second
	defaultEvacuate     = 5 * time.Second
	defaultGrace        = 8 * time.Second
	defaultHostCores    = 1
	defaultMemoryMB     = 128
	defaultLoadMultiple = 2
	defaultLoadExtra    = 3
	defaultColdMultiple = 1
	defaultRetryRatio   = 0.2
	defaultRetryWindow  = 10 * time.Second
	// A tenth of the requests shows within seconds whether a version is bad, and loses few of
	// them if it is.
	defaultRolloutShare    = 0.1
	defaultRolloutRollback = 5 * time.Second
)

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(file string) (*Gateway, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	settings, problems := ParseGateway(file, data)
	return settings, problemsError(problems)
}

// Check reads and checks a settings file of any role.
func Check(file string) error {
	data, err := readFile(file)
	if err != nil {
		return err
	}
	if roleOf(data) == roleGateway {
		_, err = LoadGateway(file)
		return err
	}
	_, err = Load(file)
	return err
}

// roleOf returns the role that a settings file names; empty if the file can't be parsed.
func roleOf(data []byte) string {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return ""
	}
	var header struct {
		Role string `json:"role"`
	}
	_ = json.Unmarshal(standard, &header)
	return header.Role
}

// ParseGateway parses a gateway's settings, applies the defaults and returns all problems
// found.
func ParseGateway(file string, data []byte) (*Gateway, []Problem) {
	settings := new(Gateway)
	checker, problems := decode(file, data, settings, "docs/GATEWAY.md")
	if len(problems) > 0 {
		return nil, problems
	}
	checker.checkGateway(settings)
	settings.setDefaults()
	return settings, checker.problems
}

func (s *Gateway) setDefaults() {
	s.Apply = Duration(durationOrDefault(s.Apply, defaultApply))
	s.Leave = Duration(durationOrDefault(s.Leave, defaultLeave))
	s.Evacuate = Duration(durationOrDefault(s.Evacuate, defaultEvacuate))
	s.Grace = Duration(durationOrDefault(s.Grace, defaultGrace))
	s.Host.Cores = cmp.Or(s.Host.Cores, defaultHostCores)
	s.Host.MemoryMB = cmp.Or(s.Host.MemoryMB, defaultMemoryMB)
	s.Load.Multiple = cmp.Or(s.Load.Multiple, defaultLoadMultiple)
	s.Load.Extra = cmp.Or(s.Load.Extra, defaultLoadExtra)
	s.Cold.Multiple = cmp.Or(s.Cold.Multiple, defaultColdMultiple)
	s.Retry.Ratio = cmp.Or(s.Retry.Ratio, defaultRetryRatio)
	s.Retry.Window = Duration(durationOrDefault(s.Retry.Window, defaultRetryWindow))
	s.Rollout.Share = cmp.Or(s.Rollout.Share, defaultRolloutShare)
	s.Rollout.Rollback = Duration(durationOrDefault(s.Rollout.Rollback, defaultRolloutRollback))
}

func (c *checker) checkGateway(s *Gateway) {
	if s.Role != roleGateway {
		c.addProblem("role", s.Role, `found %q; want "gateway"`, s.Role)
	}
	c.require("id", s.ID)
	c.require("data_center", s.DataCenter)
	c.checkListenAddress("callers", s.Callers, "tcp")
	c.checkListenAddress("ready", s.Ready, "tcp")
	if s.Metrics != "" {
		c.checkListenAddress("metrics", s.Metrics, "tcp")
	}
	if s.Peers != "" {
		c.checkListenAddress("peers", s.Peers, "udp")
	}
	for _, seed := range s.Seeds {
		c.checkAddress("seeds", seed)
	}
	c.checkAddress("store", s.Store)
	if s.Host.Share < 0 || s.Host.Cores < 0 || s.Host.LinkMbps < 0 || s.Host.MemoryMB < 0 {
		c.addProblem("host", "", "found a negative share, cores, link_mbps or memory_mb; want 0 or more")
	}
	if s.Host.MemoryMB > maxMemoryMB {
		c.addProblem("host", "", "found memory_mb %v; want %v at most", s.Host.MemoryMB, float64(maxMemoryMB))
	}
	if s.Load.Multiple != 0 && s.Load.Multiple < 1 {
		c.addProblem("load.multiple", "", "found %v; want 1 or more", s.Load.Multiple)
	}
	if s.Load.Extra < 0 {
		c.addProblem("load.extra", "", "found %v; want 0 or more", s.Load.Extra)
	}
	if s.Cold.Multiple < 0 || s.Cold.Extra < 0 {
		c.addProblem("cold", "", "found a negative multiple or extra; want 0 or more")
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		c.addProblem("retry", "", "found a negative ratio or slack; want 0 or more")
	}
	if s.Rollout.Share < 0 || s.Rollout.Share > 1 {
		c.addProblem("rollout.share", "", "found %v; want a share above 0, and 1 at most", s.Rollout.Share)
	}
	if s.Rollout.Slack < 0 {
		c.addProblem("rollout.slack", "", "found %v; want 0 or more requests", s.Rollout.Slack)
	}
}
