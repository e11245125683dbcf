package gateway

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// A target that begins again under its id knows nothing of the requests of its life before.
// They would wait for their deadlines where that life ended without a sign on their
// connections; they are ended, and go on elsewhere if they may, as soon as its entry says so.

var errSuperseded = errors.New("the target has begun again, without this request")

// inFlight are the attempts at each life of a target.
type inFlightAttempts struct {
	mu            sync.Mutex
	byIncarnation map[string]map[*attempt]struct{}
}

// join notes an attempt; the result ends that.
func (u *inFlightAttempts) join(a *attempt) (leave func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byIncarnation == nil {
		u.byIncarnation = make(map[string]map[*attempt]struct{})
	}
	if u.byIncarnation[a.incarnation] == nil {
		u.byIncarnation[a.incarnation] = make(map[*attempt]struct{})
	}
	u.byIncarnation[a.incarnation][a] = struct{}{}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.byIncarnation[a.incarnation], a)
		if len(u.byIncarnation[a.incarnation]) == 0 {
			delete(u.byIncarnation, a.incarnation)
		}
	}
}

// at are the attempts at a life.
func (u *inFlightAttempts) attempts(incarnation string) []*attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	attempts := make([]*attempt, 0, len(u.byIncarnation[incarnation]))
	for a := range u.byIncarnation[incarnation] {
		attempts = append(attempts, a)
	}
	return attempts
}

// Outlived ends the attempts that are under way at a life of a target, of which another one
// has begun.
func (g *Gateway) EndSuperseded(incarnation string) {
	for _, a := range g.inFlight.attempts(incarnation) {
		a.supersede()
	}
}

// outlive ends the attempt since its target has begun again.
func (a *attempt) supersede() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.superseded = true
	a.cancel()
}

// isSuperseded says whether the attempt was ended for that.
func (a *attempt) isSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}
