package balance

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// An incarnation of a target ends as planned if its entry announces that, or disappears while
// the target keeps serving. It ends unplanned if nothing listens at its address any more, its
// entry expires, or another incarnation begins. This file records only that an incarnation
// ended and when that was found. What happened to its requests is decided elsewhere.

// End describes how an incarnation of a target was found to have ended unplanned.
type End struct {
	// At is when the end was found; zero if the incarnation has not ended.
	At time.Time
	// Unlisted reports whether the disappearance of the entry is the only sign. A target that
	// leaves without announcing it keeps serving after that.
	Unlisted bool
}

// Known reports whether the incarnation has ended unplanned.
func (e End) Known() bool { return !e.At.IsZero() }

// recordEnd records that the incarnation ended unplanned, unless an end is already known.
func (s *state) recordEnd(now time.Time, unlisted bool) {
	if !unlisted {
		s.endSignAt = now
	}
	if !s.end.Known() && s.unlistedAt.IsZero() && !s.leaving() {
		s.end = End{At: now, Unlisted: unlisted}
	}
}

// lateAnswer is how long after a target's end an answer may arrive that the target sent
// before.
const lateAnswer = time.Second

// cancelMistakenEnd cancels an assumed end because the target has answered. Within lateAnswer
// after the end the answer proves nothing.
func (s *state) cancelMistakenEnd(now time.Time) {
	if s.end.Known() && !s.superseded && now.Sub(s.end.At) > lateAnswer {
		s.end = End{}
	}
}

// EndOf returns how an incarnation of a target ended unplanned, if it did.
func (b *Balancer) EndOf(incarnation string) End {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[incarnation]; ok {
		return target.end
	}
	return End{}
}

// Serving reports whether an incarnation of a target is the current one, listed, and not
// leaving, or was so until it ended unplanned.
func (b *Balancer) Serving(incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return false
	}
	return target.end.Known() || !target.leaving() && target.unlistedAt.IsZero()
}

// AnsweredSince reports whether an incarnation of a target has answered a request of this process
// since a time.
func (b *Balancer) AnsweredSince(incarnation string, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	return ok && target.health.answeredAt.After(since)
}

// NoteRefused excludes a target that refused a connection from another gateway. It returns the
// target's ID, and false if the target is unknown or already ejected.
func (b *Balancer) NoteRefused(target uint32, now time.Time) (id string, isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refused, ok := b.byShort[target]
	if !ok {
		return "", false
	}
	refused.recordEnd(now, false)
	if refused.health.ejected(now) {
		return "", false
	}
	refused.health.recordRefused(now)
	refused.needsCheck = true
	return refused.ID, true
}

// NoteSilentPort excludes an incarnation of a target like NoteRefused, after this process itself
// tried to connect to the target's address without a request. It returns false if that is unknown
// or already ejected.
func (b *Balancer) NoteSilentPort(incarnation string, now time.Time) (isNew bool) {
	_, isNew = b.NoteRefused(shortHash(policy.HashName(incarnation)), now)
	return isNew
}
