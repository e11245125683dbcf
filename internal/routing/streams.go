package routing

import (
	"maps"
	"slices"
	"time"
)

// serviceStreams describes the routes that send streams to a service.
type serviceStreams struct {
	// timeout is their longest time limit, and unlimited means that one of them has none.
	timeout   time.Duration
	unlimited bool
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
			streams[share.Service] = known
		}
	}
	return streams
}

// StreamTimeout returns the longest time limit of the routes that send streams to a service. It
// returns false if there is no such route, or if one has no time limit.
func (t *Table) StreamTimeout(service string) (time.Duration, bool) {
	streams, ok := t.streams[service]
	return streams.timeout, ok && !streams.unlimited
}

// StreamServices returns the services that streams may go to, in order.
func (t *Table) StreamServices() []string {
	return slices.Sorted(maps.Keys(t.streams))
}

// MovedStreams returns the names of the routes that send their streams to other services, or in other
// shares, than the routes of their names in an earlier table.
func (t *Table) MovedStreams(earlier *Table) []string {
	splits := make(map[string][]Share)
	for _, route := range earlier.config.Routes {
		splits[route.Name] = route.Split
	}
	var moved []string
	for _, route := range t.config.Routes {
		before, ok := splits[route.Name]
		if ok && route.Kind == Stream && !slices.Equal(before, route.Split) {
			moved = append(moved, route.Name)
		}
	}
	return moved
}
