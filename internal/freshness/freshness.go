// Package freshness keeps the proof that a process has the newest configuration: the latest time,
// on the monotonic clock, for which it is known that every configuration accepted until then has
// been applied here.
//
// A process's own read of the store proves the time before the read started. A peer's proof is
// passed on as an age; it proves the time before the request was sent, minus that age. Source:
// docs/design/platform.md, "Freshness".
package freshness

import (
	"context"
	"sync"
	"time"
)

// MaxGap is the longest time between two proven times without a gap. What was added and removed again
// in a longer one, such as the targets of a short-lived version, may never have been known here.
const MaxGap = 3 * time.Second

// Proof holds the latest proven time. It is safe for concurrent use.
type Proof struct {
	mu sync.Mutex
	at time.Time
	// unbrokenSince is the first proven time after the last gap, or the time of a later break.
	unbrokenSince time.Time
	// advanced is closed when the proven time advances; nil while nobody waits for that.
	advanced chan struct{}
}

// Note records a proof for the time at; an older proof than the known one is ignored. The
// configuration that the proof is about must have been applied before the call.
func (p *Proof) Note(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !at.After(p.at) {
		return
	}
	if p.at.IsZero() || at.Sub(p.at) > MaxGap {
		p.breakAt(at)
	}
	p.at = at
	if p.advanced != nil {
		close(p.advanced)
		p.advanced = nil
	}
}

// Covers reports whether the proven time is not before a time: whatever was accepted until then has been
// applied here.
func (p *Proof) Covers(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coversLocked(at)
}

func (p *Proof) coversLocked(at time.Time) bool {
	return !p.at.IsZero() && !p.at.Before(at)
}

// Await waits until the proof covers a time. It returns false if the context ends before.
func (p *Proof) Await(ctx context.Context, at time.Time) bool {
	for {
		advanced := p.untilCovers(at)
		if advanced == nil {
			return true
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return false
		}
	}
}

// untilCovers returns a channel that is closed when the proven time advances; nil if the proof covers a time.
func (p *Proof) untilCovers(at time.Time) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coversLocked(at) {
		return nil
	}
	if p.advanced == nil {
		p.advanced = make(chan struct{})
	}
	return p.advanced
}

// Break records that what was added and removed again until a time may never have been known here, as in
// a gap.
func (p *Proof) Break(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAt(at)
}

// breakAt begins the time without a gap at a given time, or later if it already does. The caller must hold
// p.mu.
func (p *Proof) breakAt(at time.Time) {
	if at.After(p.unbrokenSince) {
		p.unbrokenSince = at
	}
}

// UnbrokenFor returns for how long the proven times have followed each other without a gap until now;
// zero if there is none, or if the last one is too old.
func (p *Proof) UnbrokenFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() || now.Sub(p.at) > MaxGap {
		return 0
	}
	return max(now.Sub(p.unbrokenSince), 0)
}

// Age returns how long ago the proven time is; the second result is false if there is none.
func (p *Proof) Age(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		return 0, false
	}
	return now.Sub(p.at), true
}

// Within reports whether the proven time is at most maxAge ago.
func (p *Proof) Within(maxAge time.Duration, now time.Time) bool {
	age, ok := p.Age(now)
	return ok && age <= maxAge
}
