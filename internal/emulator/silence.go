package emulator

import (
	"net/http"
	"sync"
)

// connectionSilencer makes existing connections unresponsive, permanently and without a reset,
// while new connections work.
type connectionSilencer struct {
	mu sync.Mutex
	// known holds the remote addresses of connections that have been used.
	known    map[string]bool
	silenced map[string]bool
}

// silenceKnown silences the connections that were used so far.
func (s *connectionSilencer) silenceKnown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = s.known
	s.known = nil
}

// holdIfSilenced blocks a request on a silenced connection until its caller disconnects, and
// returns true. On other connections it returns false.
func (s *connectionSilencer) holdIfSilenced(r *http.Request) bool {
	if !s.recordUse(r.RemoteAddr) {
		return false
	}
	<-r.Context().Done()
	return true
}

// Connections returns the number of connections that were used so far.
func (s *Server) Connections() int {
	s.silencer.mu.Lock()
	defer s.silencer.mu.Unlock()
	return len(s.silencer.known)
}

func (s *connectionSilencer) recordUse(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = make(map[string]bool)
	}
	s.known[address] = true
	return s.silenced[address]
}
