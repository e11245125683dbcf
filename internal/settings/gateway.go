package settings

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/tailscale/hujson"
)

// roleGateway is the role of gateways.
const roleGateway = "gateway"

// Gateway are the settings of a gateway process.
type Gateway struct {
	// Role is "gateway".
	Role       string `json:"role"`
	ID         string `json:"id"`
	DataCenter string `json:"data_center"`
	// Callers is the address for callers, IP:port.
	Callers string `json:"callers"`
	// Ready is the address that says whether callers may come, IP:port.
	Ready string `json:"ready"`
	// Metrics serves metrics, IP:port; empty for none.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the UDP address for other gateways, IP:port; empty for none.
	Peers string `json:"peers,omitempty"`
	// Seeds are peer addresses of other gateways, IP:port.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the platform's store, IP:port.
	Store string `json:"store"`
	// Revocation is how long after its removal was accepted a key may still
	// be served; zero sets no bound.
	Revocation Duration `json:"revocation,omitempty"`
	// Apply is how long after its acceptance a configuration must be in force.
	Apply Duration `json:"apply,omitempty"`
	// Leave is how long after its word a leaving target may get new work.
	Leave Duration `json:"leave,omitempty"`
	// Evacuate is how long after the operators have asked for it the targets of a
	// data centre may still get requests.
	Evacuate Duration `json:"evacuate,omitempty"`
	// Pass is within which time of its making callers want each event of a stream; zero is
	// at once.
	Pass Duration `json:"pass,omitempty"`
	// Host is what the process's host has.
	Host Host `json:"host"`
	// Grace is the time between SIGTERM and the end.
	Grace Duration    `json:"grace,omitempty"`
	Load  LoadBound   `json:"load"`
	Cold  ColdBound   `json:"cold"`
	Retry RetryBudget `json:"retry"`
	// Rollout bounds what a version of targets gets before it has proved good.
	Rollout Rollout `json:"rollout"`
	Log     Log     `json:"log"`
}

// Rollout bounds the roll-outs of new versions.
type Rollout struct {
	// Share of the requests to a service that a version on trial may get, over all
	// gateways; above 0, and 1 at most.
	Share float64 `json:"share,omitempty"`
	// Slack is how many it may get besides.
	Slack float64 `json:"slack,omitempty"`
	// Rollback is how long after its failures have shown it may still get requests.
	Rollback Duration `json:"rollback,omitempty"`
}

// Host is what a gateway's host has for it; zero is not known, and counts as the
// smallest.
type Host struct {
	// Share of a core that the process may use.
	Share float64 `json:"share,omitempty"`
	// Cores is how many times as fast as a usual one that core is; 1 if not set.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is what the host's link carries, in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64 `json:"memory_mb,omitempty"`
}

// LoadBound bounds the load of one target.
type LoadBound struct {
	// Multiple of the mean load that no target of a service may hold.
	Multiple float64 `json:"multiple,omitempty"`
	// Extra requests that it may hold besides.
	Extra float64 `json:"extra,omitempty"`
}

// ColdBound bounds what all gateways together send to a target that has just
// started.
type ColdBound struct {
	// Multiple of the requests a second which it bears that it may get in any second.
	Multiple float64 `json:"multiple,omitempty"`
	// Extra requests that it may get besides.
	Extra float64 `json:"extra,omitempty"`
}

// RetryBudget bounds the retries of all gateways together.
type RetryBudget struct {
	// Ratio of the requests of a window that may be retries.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is how many a window may hold besides.
	Slack  float64  `json:"slack,omitempty"`
	Window Duration `json:"window,omitempty"`
}

// Defaults of the gateway's settings.
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
	// A tenth of the requests shows within seconds whether a version is bad, and costs
	// few of them if it is.
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

// roleOf is the role that a settings file names; empty if it can't be read.
func roleOf(data []byte) string {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return ""
	}
	var named struct {
		Role string `json:"role"`
	}
	_ = json.Unmarshal(standard, &named)
	return named.Role
}

// ParseGateway reads a gateway's settings, fills in the defaults and lists
// what is wrong with them.
func ParseGateway(file string, data []byte) (*Gateway, []Problem) {
	settings := new(Gateway)
	checker, problems := decode(file, data, settings, "docs/GATEWAY.md")
	if len(problems) > 0 {
		return nil, problems
	}
	checker.checkGateway(settings)
	settings.fillIn()
	return settings, checker.problems
}

func (s *Gateway) fillIn() {
	s.Apply = Duration(orTime(s.Apply, defaultApply))
	s.Leave = Duration(orTime(s.Leave, defaultLeave))
	s.Evacuate = Duration(orTime(s.Evacuate, defaultEvacuate))
	s.Grace = Duration(orTime(s.Grace, defaultGrace))
	s.Host.Cores = or(s.Host.Cores, defaultHostCores)
	s.Host.MemoryMB = or(s.Host.MemoryMB, defaultMemoryMB)
	s.Load.Multiple = or(s.Load.Multiple, defaultLoadMultiple)
	s.Load.Extra = or(s.Load.Extra, defaultLoadExtra)
	s.Cold.Multiple = or(s.Cold.Multiple, defaultColdMultiple)
	s.Retry.Ratio = or(s.Retry.Ratio, defaultRetryRatio)
	s.Retry.Window = Duration(orTime(s.Retry.Window, defaultRetryWindow))
	s.Rollout.Share = or(s.Rollout.Share, defaultRolloutShare)
	s.Rollout.Rollback = Duration(orTime(s.Rollout.Rollback, defaultRolloutRollback))
}

func (c *checker) checkGateway(s *Gateway) {
	if s.Role != roleGateway {
		c.say("role", s.Role, `found %q; want "gateway"`, s.Role)
	}
	c.need("id", s.ID)
	c.need("data_center", s.DataCenter)
	c.listen("callers", s.Callers, "tcp")
	c.listen("ready", s.Ready, "tcp")
	if s.Metrics != "" {
		c.listen("metrics", s.Metrics, "tcp")
	}
	if s.Peers != "" {
		c.listen("peers", s.Peers, "udp")
	}
	for _, seed := range s.Seeds {
		c.address("seeds", seed)
	}
	c.address("store", s.Store)
	if s.Host.Share < 0 || s.Host.Cores < 0 || s.Host.LinkMbps < 0 || s.Host.MemoryMB < 0 {
		c.say("host", "", "found a negative share, cores, link_mbps or memory_mb; want 0 or more")
	}
	if s.Load.Multiple != 0 && s.Load.Multiple < 1 {
		c.say("load.multiple", "", "found %v; want 1 or more", s.Load.Multiple)
	}
	if s.Load.Extra < 0 {
		c.say("load.extra", "", "found %v; want 0 or more", s.Load.Extra)
	}
	if s.Cold.Multiple < 0 || s.Cold.Extra < 0 {
		c.say("cold", "", "found a negative multiple or extra; want 0 or more")
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		c.say("retry", "", "found a negative ratio or slack; want 0 or more")
	}
	if s.Rollout.Share < 0 || s.Rollout.Share > 1 {
		c.say("rollout.share", "", "found %v; want a share above 0, and 1 at most", s.Rollout.Share)
	}
	if s.Rollout.Slack < 0 {
		c.say("rollout.slack", "", "found %v; want 0 or more requests", s.Rollout.Slack)
	}
}
