// Package freshness keeps the proof that a process knows the newest
// configuration: the latest moment, on the steady clock, of which it is known
// that every configuration accepted until then has been applied here.
//
// A process's own read of the store proves the moment before the read began.
// A peer's proof is handed on as an age; it proves the moment before the
// question was sent, less that age. Source: docs/design/platform.md,
// "Freshness".
package freshness

import (
	"sync"
	"time"
)

// Proof is safe for concurrent use.
type Proof struct {
	mu sync.Mutex
	at time.Time
}

// Note takes a proof for the moment at; an older one than is known changes
// nothing. The configuration that the proof is about must have been applied
// before the call.
func (p *Proof) Note(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.at) {
		p.at = at
	}
}

// Age is how long ago the proven moment is; the second result is false when
// there is none.
func (p *Proof) Age(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		return 0, false
	}
	return now.Sub(p.at), true
}

// Within says whether the proven moment is no longer ago than most.
func (p *Proof) Within(most time.Duration, now time.Time) bool {
	age, known := p.Age(now)
	return known && age <= most
}
