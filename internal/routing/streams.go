package routing

import (
	"slices"
	"time"
)

// serviceStreams describes the routes that send streams to a service.
type serviceStreams struct {
	// timeout is their longest time limit, and unlimited means that one of them has none.
	timeout   time.Duration
	unlimited bool
	// shared means that one of them sends streams to another service as well.
	shared bool
}

func streamsByService(config *Config) map[string]serviceStreams {
	streams := make(map[string]serviceStreams)
	for _, route := range config.Routes {
		if route.Kind != Stream {
			continue
		}
		for _, share := range route.Split {
			known := streams[share.Service]
			known.timeout = max(known.timeout, route.Timeout)
			known.unlimited = known.unlimited || route.Timeout <= 0
			known.shared = known.shared || len(route.Split) > 1
			streams[share.Service] = known
		}
	}
	return streams
}

// StreamTimeout returns the longest time limit of the routes that send streams to a service. It
// returns false if there is no such route, if one has no time limit, or if one sends streams to
// another service as well.
func (t *Table) StreamTimeout(service string) (time.Duration, bool) {
	streams, ok := t.streams[service]
	return streams.timeout, ok && !streams.unlimited && !streams.shared
}

// KeepsStreams reports whether the routes of another table send streams to the same services as the
// routes with their names in this one.
func (t *Table) KeepsStreams(other *Table) bool {
	splits := make(map[string][]Share)
	for _, route := range t.config.Routes {
		if route.Kind == Stream {
			splits[route.Name] = route.Split
		}
	}
	return !slices.ContainsFunc(other.config.Routes, func(route Route) bool {
		before, ok := splits[route.Name]
		return ok && !slices.Equal(before, route.Split)
	})
}
