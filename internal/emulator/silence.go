package emulator

import (
	"net/http"
	"sync"
)

// silence has connections that are open at a moment say nothing more, for good and
// without a reset, while new ones work.
type silence struct {
	mu sync.Mutex
	// known are the callers' addresses of connections that were used.
	known map[string]bool
	mute  map[string]bool
}

// fall silences the connections that were used so far.
func (s *silence) fall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = s.known
	s.known = nil
}

// swallows takes a request on a silent connection and keeps it until its caller leaves;
// it returns false on others.
func (s *silence) swallows(r *http.Request) bool {
	if !s.isMute(r.RemoteAddr) {
		return false
	}
	<-r.Context().Done()
	return true
}

func (s *silence) isMute(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = make(map[string]bool)
	}
	s.known[address] = true
	return s.mute[address]
}
