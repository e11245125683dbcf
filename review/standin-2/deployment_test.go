//go:build review2

package standin2

import (
	"fmt"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, empty if it held.
var cases = map[string]func(r *rig, trouble bool) (broken string, err error){
	"extra":   extra,
	"late":    late,
	"records": records,
	"seeds":   seeds,
	"slashes": slashes,
}

// configOf returns a configuration with a route of each kind, for a small deployment.
func configOf(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			plainRoute("pay", "/pay/", "non_idempotent"),
			plainRoute("get", "/get/", "idempotent"),
			map[string]any{
				"name": "chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "resumable": true, "service": engineService,
				"timeout_ms": 12000, "target_latency_ms": 500, "target_gap_ms": 400, "priority": 0, "max_attempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": plainService, "connection_limit": 100},
			map[string]any{"name": engineService, "connection_limit": 360},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 0}},
	}
}

// plainRoute returns a route to the plain service.
func plainRoute(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": plainService,
		"timeout_ms": 2000, "target_latency_ms": 100, "priority": 0, "max_attempts": 2,
	}
}

// setUp starts servers of the plain service and gateways.
func (r *rig) setUp(config map[string]any, servers, gateways int, handle handler) error {
	r.configure(config)
	for i := range servers {
		if _, err := r.addServer(plainService, fmt.Sprintf("i-%d", i), handle); err != nil {
			return err
		}
	}
	return r.addGateways(gateways)
}

// usualWork is how long a server of the plain service works on a request.
const usualWork = 15 * time.Millisecond

// plain serves a request of the plain service as a sound server does.
func plain(s *server, c *serverConn, a *arrival) {
	if a.isQuestion() {
		c.answer(s, a, 200, "X-Instance-Id: "+s.id+"\r\n", "{}")
		return
	}
	s.run(a)
	time.Sleep(usualWork)
	c.answer(s, a, 200, s.stamp(), "done")
}
