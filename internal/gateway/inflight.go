package gateway

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
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
// a newer one. If the newer one is of another version, it may have served what was sent since the
// replaced one was last proven to be the newest.
func (g *Gateway) EndSuperseded(incarnation string, otherVersion bool) {
	provenAt := g.provenAt()
	for _, a := range g.inFlight.attempts(incarnation) {
		a.supersede(otherVersion && !a.started.Before(provenAt))
	}
	if otherVersion && g.Origins != nil {
		g.Origins.retract(incarnation, provenAt, clock.Now())
	}
}

// supersede ends the attempt because its target has restarted. If its events may be those of another
// version, the stream can't continue.
func (a *attempt) supersede(versionUncertain bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.superseded, a.versionUncertain = true, versionUncertain
	a.cancel()
}

// mayHaveMixed reports whether the attempt has passed on events that may be those of another version.
func (a *attempt) mayHaveMixed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versionUncertain && a.events > 0
}

// isSuperseded reports whether the attempt was ended because its target has restarted.
func (a *attempt) isSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}
