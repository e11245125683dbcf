package emulator

import (
	"encoding/json"
	"net/http"
)

// report is what a server says of itself when asked.
type report struct {
	Stage    string  `json:"stage"`
	Models   []model `json:"models"`
	Busy     bool    `json:"busy"`
	Sequence int64   `json:"sequence"`
	Waiting  int     `json:"waiting"`
	Running  int     `json:"running"`
	KVUsed   int     `json:"kv_used"`
	KVTotal  int     `json:"kv_total"`
	Handles  int     `json:"handles"`
	Born     int64   `json:"born,omitempty"`
}

// answerReport answers a question for the server's report.
func (s *Server) answerReport(w http.ResponseWriter) {
	s.mu.Lock()
	s.reports++
	current := report{Stage: "prefill_decode", Models: []model{}, Running: s.inFlight}
	s.mu.Unlock()
	if s.options.ReportsNothing {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.options.KeepsID {
		current.Born = s.Born()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(current)
}

// Reports returns how often the server was asked for its report.
func (s *Server) Reports() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports
}
