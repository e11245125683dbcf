// Package routing holds one version of the gateway's configuration. Without I/O, it determines
// which route a request takes, which workspace a key belongs to, and how urgent the request is.
package routing

import "time"

// Kind determines how often a request of a route may be executed.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// Once requests are executed at most once per attempt of the caller.
	Once Kind = "once"
	// Stream requests are answered with events. They are executed at most once unless they are
	// resumable.
	Stream Kind = "stream"
)

// Route maps requests for a host and path to a service.
type Route struct {
	Name string
	// Host is compared without regard to case and port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target after an event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout is the longest time that a request may be held; zero for no limit.
	Timeout time.Duration
	// TargetLatency is the desired time to an answer, or to the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest desired pause between events.
	TargetGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that a request may be sent to; at least 1.
	MaxAttempts int
	// Split divides the route's requests among services; never empty.
	Split []Share
}

// Share is a service's part of a route.
type Share struct {
	Service string
	// Weight is relative to the weights of the other shares; not negative.
	Weight int
}

// Repeatable reports whether a request of the route may be sent to a second target, as long as no
// part of its answer was passed on.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceAt returns the service of the split for a hash that is uniformly distributed over all
// numbers. The same hash always gives the same service.
func (r *Route) ServiceAt(hash uint64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	offset := int(hash % uint64(total))
	for _, share := range r.Split {
		offset -= share.Weight
		if offset < 0 {
			return share.Service
		}
	}
	return r.Split[0].Service
}

// Service describes a service's targets.
type Service struct {
	Name string
	// ConnectionLimit is the number of connections that a target accepts from all callers; zero
	// if unknown.
	ConnectionLimit int
	// ColdRate is the number of requests per second that a target can handle while it is cold
	// after its start; zero for no limit. ColdStart is the duration of that phase.
	ColdRate  float64
	ColdStart time.Duration
	// Engine is set if the targets are model engines with a prefix cache.
	Engine bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its own keys.
type Workspace struct {
	Name string
	// Priority ranks workspaces, ahead of the priority of routes; 0 is the most urgent.
	Priority int
	Keys     []string
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
