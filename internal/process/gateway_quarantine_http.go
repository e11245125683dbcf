package process

import (
	"net/http"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// PathQuarantine is where a gateway's metrics address says which requests are held back,
// and takes with DELETE, and the fingerprint in the query, which of them is to be sent again.
const (
	PathQuarantine  = "/quarantine"
	QueryQuarantine = "print"
)

// HeldRequest is a request that is held back, as the metrics address has it.
type HeldRequest struct {
	Fingerprint string `json:"print"`
	// Ends is how many targets ended under it.
	Crashes int `json:"ends"`
	// RemainingMS is how long it is still held back.
	RemainingMS int64 `json:"left_ms"`
}

// quarantineHandler answers for the requests that are held back.
func quarantineHandler(crashes *gateway.Crashes) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet, http.MethodHead:
			writeJSON(w, heldBack(crashes.Table.HeldRequests(clock.Now())))
		case http.MethodDelete:
			liftQuarantine(w, r, crashes)
		default:
			w.Header().Set("Allow", "GET, HEAD, DELETE")
			http.Error(w, "requests that are held back are read with GET and lifted with DELETE", http.StatusMethodNotAllowed)
		}
	})
}

func heldBack(cases []quarantine.HeldRequest) []HeldRequest {
	// An empty list, not null, where there are none.
	listed := make([]HeldRequest, 0, len(cases))
	for _, held := range cases {
		listed = append(listed, HeldRequest{Fingerprint: held.Fingerprint.String(), Crashes: held.Crashes, RemainingMS: held.Remaining.Milliseconds()})
	}
	return listed
}

func liftQuarantine(w http.ResponseWriter, r *http.Request, crashes *gateway.Crashes) {
	text := r.URL.Query().Get(QueryQuarantine)
	print, err := quarantine.ParseFingerprint(text)
	if err != nil {
		http.Error(w, "query "+QueryQuarantine+": found \""+text+"\"; want the 16 digits that logs and the list have", http.StatusBadRequest)
		return
	}
	if !crashes.Lift(print, clock.Now()) {
		http.Error(w, "nothing is held against a request "+print.String(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
