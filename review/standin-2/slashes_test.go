//go:build review2

package standin2

import (
	"fmt"
	"time"
)

// slashes sends requests whose paths begin with two slashes on a route for all paths of its host. Without trouble
// the paths begin with one.
func slashes(r *rig, trouble bool) (string, error) {
	config := configOf(3)
	config["routes"] = append(config["routes"].([]any), plainRoute("all", "/", "non_idempotent"))
	if err := r.setUp(config, 2, 1, plain); err != nil {
		return "", err
	}
	sent := make(map[string]string)
	for i, rest := range []string{"pay/7", "files/a.txt", "x/y?z=1", "other.example/pay/7"} {
		target := "/" + rest
		if trouble {
			target = "//" + rest
		}
		id := fmt.Sprintf("slash-%d", i)
		sent[id] = target
		r.note("client: %s, POST %s, Host: %s", id, target, host)
		r.note("client: %s -> %v", id, call(r.gateways[0], "POST", target, id, "", "amount=1", 2*time.Second))
	}
	changed := 0
	for _, s := range r.servers {
		for _, a := range s.seen() {
			target, ok := sent[a.id]
			if !ok || !a.ran {
				continue
			}
			r.note("server %s has run %s: POST %s, Host: %s", s.id, a.id, a.target, a.host)
			if a.target != target || a.host != host {
				changed++
			}
		}
	}
	if changed > 0 {
		return fmt.Sprintf("UNASKED: the path of %d of %d requests was changed", changed, len(sent)), nil
	}
	return "", nil
}
