// Package fakehosts is a small fake of the platform's list of hosts.
package fakehosts

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/capersaddle/capersaddle/internal/external"
)

// Hosts is the fake list.
type Hosts struct {
	mu    sync.Mutex
	hosts []external.Host
}

// New returns a list of the given hosts, all live.
func New(ids ...string) *Hosts {
	h := &Hosts{}
	for _, id := range ids {
		h.hosts = append(h.hosts, external.Host{ID: id, Address: "127.0.0.1", State: external.HostLive})
	}
	return h
}

// SetState changes the state of one host.
func (h *Hosts) SetState(id string, state external.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.hosts {
		if h.hosts[i].ID == id {
			h.hosts[i].State = state
		}
	}
}

// List returns the list.
func (h *Hosts) List(context.Context) ([]external.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.hosts), nil
}

// Handler serves the list over HTTP, and POST /state to change it: {"id": "host-1", "state":
// "leaving"}.
func (h *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, _ := h.List(r.Context())
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(hosts)
	})
	mux.HandleFunc("POST /state", func(w http.ResponseWriter, r *http.Request) {
		var change external.Host
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.SetState(change.ID, change.State)
	})
	return mux
}
