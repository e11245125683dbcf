// Package routing holds one version of the gateway's configuration and
// answers, without I/O: which route a request takes, which workspace a key
// belongs to, and how urgent the two make the request.
package routing

import "time"

// Kind says how often a route's requests may run.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once an attempt of the caller.
	Once Kind = "once"
	// Stream answers with events; it runs at most once unless it is resumable.
	Stream Kind = "stream"
)

// Route maps requests of a host and path to a service.
type Route struct {
	Name string
	// Host is compared without case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after an event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout is the longest that a request may be held; zero for none.
	Timeout time.Duration
	// TargetLatency is the time to an answer, or to a stream's first event,
	// that callers want.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that callers want.
	TargetGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many targets one request may be sent to; at least 1.
	MaxAttempts int
	// Split shares the route's requests among services; never empty.
	Split []Share
}

// Share is one service's part of a route.
type Share struct {
	Service string
	// Weight is relative to the other shares' weights; not negative.
	Weight int
}

// Repeatable says whether a request of the route may run at a second target
// before any of its answer was passed on.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceAt picks a service of the split for a point that is spread evenly
// over all numbers: the same point gives the same service.
func (r *Route) ServiceAt(point uint64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	at := int(point % uint64(total))
	for _, share := range r.Split {
		at -= share.Weight
		if at < 0 {
			return share.Service
		}
	}
	return r.Split[0].Service
}

// Service describes a service's targets.
type Service struct {
	Name string
	// ConnectionLimit is how many connections one target takes from all
	// callers; zero is unknown.
	ConnectionLimit int
	// ColdRate is how many requests a second a target bears while it is cold from
	// its start; zero is no bound. ColdStart is how long that is.
	ColdRate  float64
	ColdStart time.Duration
	// Engine says that the targets are model engines with a prefix cache.
	Engine bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with keys of its own.
type Workspace struct {
	Name string
	// Priority ranks workspaces before routes do; 0 is the most urgent.
	Priority int
	Keys     []string
}

// Config is one version of the configuration.
type Config struct {
	// Version only rises.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
