// Package shutdown decides which requests a process still accepts during its planned stop.
//
// A timer can't decide that alone: a process that lacks processor time fires it late, and then finds
// requests in its sockets that were sent long after the end of accepting. So each request is held
// against the clock when it has been read, and again before it is first sent on.
package shutdown

import (
	"math"
	"sync/atomic"
	"time"
)

// Plan is the course of a planned stop. Its times are of package clock.
type Plan struct {
	// Began is when the signal was sent, or a moment before.
	Began time.Time
	// AcceptUntil is when the process stops accepting requests. It is not after End.
	AcceptUntil time.Time
	// End is when the requests in flight are cut off; zero means never.
	End time.Time
}

// Stop is the planned stop of a process. The zero value is a process that isn't stopping. It is safe
// for concurrent use.
type Stop struct {
	plan atomic.Pointer[Plan]
}

// Begin begins the stop.
func (s *Stop) Begin(plan Plan) {
	s.plan.Store(&plan)
}

// Begun reports whether the stop has begun.
func (s *Stop) Begun() bool {
	return s.plan.Load() != nil
}

// Accepts reports whether a request that is read or first sent on now is accepted.
func (s *Stop) Accepts(now time.Time) bool {
	plan := s.plan.Load()
	return plan == nil || now.Before(plan.AcceptUntil)
}

// Since returns how long ago the stop began; zero if it hasn't.
func (s *Stop) Since(now time.Time) time.Duration {
	if plan := s.plan.Load(); plan != nil {
		return now.Sub(plan.Began)
	}
	return 0
}

// TimeLeft returns the time until requests in flight are cut off. Without a limit it is the longest
// duration.
func (s *Stop) TimeLeft(now time.Time) time.Duration {
	plan := s.plan.Load()
	if plan == nil || plan.End.IsZero() {
		return math.MaxInt64
	}
	return plan.End.Sub(now)
}
