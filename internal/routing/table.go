package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Ranks of requests are between minRank, the most urgent, and maxRank.
const (
	minRank = 0
	maxRank = 9
)

// rankKey orders requests by the workspace's priority, then by the route's.
type rankKey struct {
	workspacePriority int
	routePriority     int
}

// Table answers queries about one Config. It is immutable.
type Table struct {
	config   *Config
	byHost   map[string][]*Route
	byKey    map[string]*Workspace
	services map[string]*Service
	// streams describes the streams of each service.
	streams map[string]serviceStreams
	// ranks are the keys in use, the most urgent first.
	ranks []rankKey
}

// NewTable indexes a configuration, which must not change afterwards.
func NewTable(config *Config) *Table {
	table := &Table{
		config:   config,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Workspace),
		services: make(map[string]*Service),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for i := range config.Workspaces {
		workspace := &config.Workspaces[i]
		for _, key := range workspace.Keys {
			table.byKey[key] = workspace
		}
	}
	for i := range config.Services {
		table.services[config.Services[i].Name] = &config.Services[i]
	}
	table.streams = streamsByService(config)
	table.ranks = rankKeys(config)
	return table
}

// rankKeys returns the sorted keys of all combinations of workspaces and routes in the
// configuration.
func rankKeys(config *Config) []rankKey {
	workspaces := []int{0}
	for _, workspace := range config.Workspaces {
		workspaces = append(workspaces, workspace.Priority)
	}
	var ranks []rankKey
	for _, priority := range sortedUnique(workspaces) {
		for _, route := range config.Routes {
			ranks = append(ranks, rankKey{priority, route.Priority})
		}
	}
	slices.SortFunc(ranks, compareRankKeys)
	return slices.Compact(ranks)
}

func sortedUnique(numbers []int) []int {
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

func compareRankKeys(a, b rankKey) int {
	return cmp.Or(cmp.Compare(a.workspacePriority, b.workspacePriority), cmp.Compare(a.routePriority, b.routePriority))
}

// Version returns the configuration's version.
func (t *Table) Version() int64 {
	return t.config.Version
}

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Service finds a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Match finds the route of a host, with or without a port, and a path, by the longest matching
// prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Workspace finds the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	workspace, ok := t.byKey[key]
	return workspace, ok
}

// Rank returns the urgency of a request, from 0, the most urgent, to 9. The workspace's priority
// comes before the route's. The workspace is nil on public routes.
func (t *Table) Rank(workspace *Workspace, route *Route) int {
	key := rankKey{routePriority: route.Priority}
	if workspace != nil {
		key.workspacePriority = workspace.Priority
	}
	index, _ := slices.BinarySearchFunc(t.ranks, key, compareRankKeys)
	if len(t.ranks) <= maxRank+1 {
		return min(minRank+index, maxRank)
	}
	return index * maxRank / (len(t.ranks) - 1)
}
