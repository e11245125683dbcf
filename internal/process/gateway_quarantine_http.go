package process

import (
	"net/http"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// PathQuarantine lists, on a gateway's metrics address, the requests and the parts of prompts that are
// held back. DELETE with the fingerprint in the query parameter QueryQuarantine releases one.
const (
	PathQuarantine  = "/quarantine"
	QueryQuarantine = "print"
)

// HeldRequest is a request that is held back, or a part of prompts for which requests are, as listed on
// the metrics address.
type HeldRequest struct {
	Fingerprint string `json:"print"`
	// Crashes counts the targets that crashed while they ran the request.
	Crashes int `json:"ends"`
	// RemainingMS is how much longer the request is held back, in milliseconds.
	RemainingMS int64 `json:"left_ms"`
	// IsPart is set for a part of prompts. Part is its ID, and Workspace that of the last of the
	// Requests that this gateway has held back for it; these are empty if it has held back none.
	IsPart    bool   `json:"is_part,omitempty"`
	Part      string `json:"part,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Requests  int    `json:"requests,omitempty"`
}

// quarantineHandler lists the requests that are held back and releases single ones.
func quarantineHandler(crashes *gateway.Crashes) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet, http.MethodHead:
			writeJSON(w, heldRequests(crashes))
		case http.MethodDelete:
			liftQuarantine(w, r, crashes)
		default:
			w.Header().Set("Allow", "GET, HEAD, DELETE")
			http.Error(w, "requests that are held back are read with GET and lifted with DELETE", http.StatusMethodNotAllowed)
		}
	})
}

func heldRequests(crashes *gateway.Crashes) []HeldRequest {
	parts := make(map[quarantine.Fingerprint]gateway.HeldPart)
	for _, part := range crashes.HeldParts() {
		parts[part.Fingerprint] = part
	}
	requests := crashes.Table.HeldRequests(clock.Now())
	// Encode an empty list as [], not null.
	listed := make([]HeldRequest, 0, len(requests))
	for _, request := range requests {
		part := parts[request.Fingerprint]
		listed = append(listed, HeldRequest{
			Fingerprint: request.Fingerprint.String(),
			Crashes:     request.Crashes,
			RemainingMS: request.Remaining.Milliseconds(),
			IsPart:      request.Fingerprint.IsPart(),
			Part:        part.ID,
			Workspace:   part.Workspace,
			Requests:    part.Requests,
		})
	}
	return listed
}

func liftQuarantine(w http.ResponseWriter, r *http.Request, crashes *gateway.Crashes) {
	text := r.URL.Query().Get(QueryQuarantine)
	fingerprint, err := quarantine.ParseFingerprint(text)
	if err != nil {
		http.Error(w, "query "+QueryQuarantine+": found \""+text+"\"; want the 16 digits shown in logs and in the list", http.StatusBadRequest)
		return
	}
	if !crashes.Lift(fingerprint, clock.Now()) {
		http.Error(w, "no request or part is held back under fingerprint "+fingerprint.String(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
