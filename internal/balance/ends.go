package balance

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// A target's life ends by plan, which its entry says or shows by going while the target
// serves on, or without one: then nothing listens at its address, its entry lapses, or
// another life begins. What it did to the requests that it had is for others to judge;
// here it is known that it ended, and when that was found.

// End is how a target's life was found to have ended without a plan.
type End struct {
	// At is when that was found; zero if it was not.
	At time.Time
	// Unlisted says that its entry went, and that nothing else showed: a target that
	// leaves without a word serves on after that.
	Unlisted bool
}

// Known says whether the life has ended without a plan.
func (e End) Known() bool { return !e.At.IsZero() }

// noteEnd notes that the life has ended without a plan, unless one is known.
func (s *state) noteEnd(now time.Time, unlisted bool) {
	if !s.end.Known() && s.goneAt.IsZero() && !s.leaving() {
		s.end = End{At: now, Unlisted: unlisted}
	}
}

// lateAnswer is how long after a target's end an answer that it gave before may be taken.
const lateAnswer = time.Second

// noteLife notes an answer: what looked like an end a while ago was none.
func (s *state) noteLife(now time.Time) {
	if s.end.Known() && !s.outlived && now.Sub(s.end.At) > lateAnswer {
		s.end = End{}
	}
}

// EndOf is how a life of a target ended without a plan, if it did.
func (b *Balancer) EndOf(life string) End {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[life]; ok {
		return target.end
	}
	return End{}
}

// Serving says whether a life of a target is the present one, listed, and not leaving, or
// was so until it ended without a plan.
func (b *Balancer) Serving(life string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return false
	}
	return target.end.Known() || !target.leaving() && target.goneAt.IsZero()
}

// NoteRefused leaves a target out that refused a connection of another gateway. It
// returns the target's id, and false if it is not known or left out already.
func (b *Balancer) NoteRefused(target uint32, now time.Time) (id string, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.byShort[target]
	if !ok {
		return "", false
	}
	known.noteEnd(now, false)
	if known.health.ejected(now) {
		return "", false
	}
	known.health.refused(now)
	known.aside = true
	return known.ID, true
}

// NoteSilentPort is the same for a life of a target whose address this process has tried
// without a request.
func (b *Balancer) NoteSilentPort(life string, now time.Time) (news bool) {
	_, news = b.NoteRefused(shortOf(policy.HashName(life)), now)
	return news
}
