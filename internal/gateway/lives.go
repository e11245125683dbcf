package gateway

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// A target that begins again under its id knows nothing of the requests of its life before.
// They would wait for their deadlines where that life ended without a sign on their
// connections; they are ended, and go on elsewhere if they may, as soon as its entry says so.

var errOutlived = errors.New("the target has begun again, without this request")

// underWay are the attempts at each life of a target.
type underWay struct {
	mu    sync.Mutex
	lives map[string]map[*attempt]struct{}
}

// join notes an attempt; the result ends that.
func (u *underWay) join(a *attempt) (leave func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lives == nil {
		u.lives = make(map[string]map[*attempt]struct{})
	}
	if u.lives[a.life] == nil {
		u.lives[a.life] = make(map[*attempt]struct{})
	}
	u.lives[a.life][a] = struct{}{}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.lives[a.life], a)
		if len(u.lives[a.life]) == 0 {
			delete(u.lives, a.life)
		}
	}
}

// at are the attempts at a life.
func (u *underWay) at(life string) []*attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	found := make([]*attempt, 0, len(u.lives[life]))
	for a := range u.lives[life] {
		found = append(found, a)
	}
	return found
}

// Outlived ends the attempts that are under way at a life of a target, of which another one
// has begun.
func (g *Gateway) EndSuperseded(life string) {
	for _, a := range g.underWay.at(life) {
		a.outlive()
	}
}

// outlive ends the attempt since its target has begun again.
func (a *attempt) outlive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outlived = true
	a.cancel()
}

// isOutlived says whether the attempt was ended for that.
func (a *attempt) isOutlived() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outlived
}
