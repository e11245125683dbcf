package gateway

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// A target that restarts under its ID knows nothing of the requests of its previous incarnation. If
// that incarnation ended without any sign on its connections, these requests would wait until their
// deadlines. They are ended as soon as the target's membership entry shows the new incarnation, and
// are retried elsewhere if allowed.

var errSuperseded = errors.New("the target restarted and lost this request")

// inFlightAttempts holds the attempts at each incarnation of a target.
type inFlightAttempts struct {
	mu            sync.Mutex
	byIncarnation map[string]map[*attempt]struct{}
}

// join adds an attempt. The returned function removes it.
func (f *inFlightAttempts) join(a *attempt) (leave func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byIncarnation == nil {
		f.byIncarnation = make(map[string]map[*attempt]struct{})
	}
	if f.byIncarnation[a.incarnation] == nil {
		f.byIncarnation[a.incarnation] = make(map[*attempt]struct{})
	}
	f.byIncarnation[a.incarnation][a] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.byIncarnation[a.incarnation], a)
		if len(f.byIncarnation[a.incarnation]) == 0 {
			delete(f.byIncarnation, a.incarnation)
		}
	}
}

// attempts returns the attempts at an incarnation.
func (f *inFlightAttempts) attempts(incarnation string) []*attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := make([]*attempt, 0, len(f.byIncarnation[incarnation]))
	for a := range f.byIncarnation[incarnation] {
		attempts = append(attempts, a)
	}
	return attempts
}

// EndSuperseded ends the attempts in flight at an incarnation of a target that has been replaced by
// a newer one.
func (g *Gateway) EndSuperseded(incarnation string) {
	for _, a := range g.inFlight.attempts(incarnation) {
		a.supersede()
	}
}

// supersede ends the attempt because its target has restarted.
func (a *attempt) supersede() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.superseded = true
	a.cancel()
}

// isSuperseded reports whether the attempt was ended because its target has restarted.
func (a *attempt) isSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}
