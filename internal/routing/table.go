package routing

import (
	"cmp"
	"slices"
	"strings"
)

// mostUrgent to leastUrgent is the range of a request's rank.
const (
	mostUrgent  = 0
	leastUrgent = 9
)

// urgency orders requests: the workspace's priority goes before the route's.
type urgency struct {
	workspace int
	route     int
}

// Table answers questions about one Config. It does not change.
type Table struct {
	config   *Config
	byHost   map[string][]*Route
	byKey    map[string]*Workspace
	services map[string]*Service
	// ranks are the urgencies in use, the most urgent first.
	ranks []urgency
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
	table.ranks = rank(config)
	return table
}

// rank lists the urgencies that the configuration can bring about.
func rank(config *Config) []urgency {
	workspaces := []int{0}
	for _, workspace := range config.Workspaces {
		workspaces = append(workspaces, workspace.Priority)
	}
	var ranks []urgency
	for _, priority := range distinct(workspaces) {
		for _, route := range config.Routes {
			ranks = append(ranks, urgency{priority, route.Priority})
		}
	}
	slices.SortFunc(ranks, compareUrgency)
	return slices.Compact(ranks)
}

func distinct(numbers []int) []int {
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

// Version is the configuration's version.
func (t *Table) Version() int64 {
	return t.config.Version
}

// Limits are the bounds on what callers may send.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Service finds a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Match finds the route of a host, with or without a port, and a path: the
// longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
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

// Rank is how urgent a request is, 0 first and at most 9: the workspace's
// priority goes before the route's. The workspace is nil on public routes.
func (t *Table) Rank(workspace *Workspace, route *Route) int {
	want := urgency{route: route.Priority}
	if workspace != nil {
		want.workspace = workspace.Priority
	}
	at, _ := slices.BinarySearchFunc(t.ranks, want, compareUrgency)
	if len(t.ranks) <= leastUrgent+1 {
		return min(mostUrgent+at, leastUrgent)
	}
	return at * leastUrgent / (len(t.ranks) - 1)
}
