package routing_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/routing"
)

func newTable(routes []routing.Route, workspaces ...routing.Workspace) *routing.Table {
	return routing.NewTable(&routing.Config{Version: 1, Routes: routes, Workspaces: workspaces})
}

func TestMatch(t *testing.T) {
	routes := []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/chat/"},
		{Name: "long", Host: "a.example", Prefix: "/chat/long/"},
		{Name: "other", Host: "b.example", Prefix: "/chat/"},
	}
	cases := map[string]struct {
		host, path string
		want       string
	}{
		"longest prefix":       {"a.example", "/chat/long/1", "long"},
		"shorter prefix":       {"a.example", "/chat/longer/1", "short"},
		"host with a port":     {"b.example:8080", "/chat/1", "other"},
		"host in capitals":     {"B.EXAMPLE", "/chat/1", "other"},
		"unknown host":         {"c.example", "/chat/1", ""},
		"path without slash":   {"a.example", "/chat", ""},
		"path of another case": {"a.example", "/Chat/1", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route, ok := newTable(routes).Match(tc.host, tc.path)
			is.Equal(ok, tc.want != "")
			if ok {
				is.Equal(route.Name, tc.want)
			}
		})
	}
}

func TestRankOrder(t *testing.T) {
	is := is.New(t)
	routes := []routing.Route{{Name: "first", Priority: 0}, {Name: "second", Priority: 2}}
	urgent := routing.Workspace{Name: "urgent", Priority: 0}
	patient := routing.Workspace{Name: "patient", Priority: 3}
	table := newTable(routes, urgent, patient)
	order := []int{
		table.Rank(&urgent, &routes[0]),
		table.Rank(&urgent, &routes[1]),
		table.Rank(&patient, &routes[0]),
		table.Rank(&patient, &routes[1]),
	}
	for i := 1; i < len(order); i++ {
		is.True(order[i] > order[i-1]) // each is less urgent than the previous one
	}
}

func TestRankRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routes []routing.Route
		for _, priority := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 30).Draw(t, "routes") {
			routes = append(routes, routing.Route{Priority: priority})
		}
		var workspaces []routing.Workspace
		for _, priority := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 30).Draw(t, "workspaces") {
			workspaces = append(workspaces, routing.Workspace{Priority: priority})
		}
		table := newTable(routes, workspaces...)
		for i := range workspaces {
			for j := range routes {
				rank := table.Rank(&workspaces[i], &routes[j])
				if rank < 0 || rank > 9 {
					t.Fatalf("rank %d of %d and %d", rank, workspaces[i].Priority, routes[j].Priority)
				}
			}
		}
	})
}

func TestServiceAtWeights(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Split: []routing.Share{{Service: "a", Weight: 9000}, {Service: "b", Weight: 1000}, {Service: "c"}}}
	counts := make(map[string]int)
	for hash := range uint64(20000) {
		counts[route.ServiceAt(hash)]++
	}
	is.Equal(counts, map[string]int{"a": 18000, "b": 2000})
	none := routing.Route{Split: []routing.Share{{Service: "a"}}}
	is.Equal(none.ServiceAt(7), "a")
}
