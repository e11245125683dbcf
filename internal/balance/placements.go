package balance

import (
	"cmp"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// ComparePlacements orders placements by part and target.
func ComparePlacements(a, b Placement) int {
	return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Target, b.Target))
}

// Source says how the chosen target is expected to come to a prompt's shared
// parts.
type Source string

// The sources.
const (
	// SourceHeld: it is known to hold them.
	SourceHeld Source = "held"
	// SourceKnown: another target is known to hold the deepest part that it may
	// lack.
	SourceKnown Source = "known"
	// SourceGuessed: nothing is known; the session's next home may hold them.
	SourceGuessed Source = "guessed"
	// SourceNone: there is no other target.
	SourceNone Source = "none"
)

// fetchFrom is the address of another target from which the chosen one can
// fetch the longest part of the prompt that it may lack; empty if it holds the
// prompt already. Where nothing is known the next home is the best guess. unread are the
// tokens behind what is known to be held.
func (b *Balancer) fetchFrom(query Query, listed []*state, chosen *state, now time.Time) (address string, source Source, unread int) {
	parts := query.Parts
	for i := len(parts) - 1; i >= 0; i-- {
		if b.holders.surely(shortOf(parts[i]), shortOf(chosen.hash)) {
			return "", SourceHeld, unread
		}
		if source := b.source(shortOf(parts[i]), chosen, now); source != nil {
			return source.Address, SourceKnown, unread
		}
		if i < len(query.Tokens) {
			unread += query.Tokens[i]
		}
	}
	if next := nextHome(parts[len(parts)-1], listed, chosen, now); next != nil {
		return next.Address, SourceGuessed, unread
	}
	return "", SourceNone, unread
}

// nextHome is the first target with the same weights in a session's rendezvous order but
// for the chosen one; nil if there is none.
func nextHome(session uint64, listed []*state, chosen *state, now time.Time) *state {
	var best *state
	var bestScore uint64
	for _, target := range listed {
		if target == chosen || !target.goneAt.IsZero() || target.health.ejected(now) {
			continue
		}
		score := policy.Score(session, target.hash)
		if (best == nil || score > bestScore) && target.Weights == chosen.Weights {
			best, bestScore = target, score
		}
	}
	return best
}

// lingerFor is how long after its entry was dropped a target is taken to serve
// what it holds: one that ends as planned does so for a while.
const lingerFor = 2500 * time.Millisecond

// source picks one of a part's sure holders with the same weights that still serve, a
// near one if there is one: a way between data centres takes longer. Whether it takes
// requests itself doesn't matter.
func (b *Balancer) source(part uint32, chosen *state, now time.Time) *state {
	var found *state
	for _, known := range b.holders.of(part) {
		target := b.byShort[known.target]
		if !known.sure || target == nil || target == chosen || target.Weights != chosen.Weights || !target.serves(now) {
			continue
		}
		if target.DataCenter == chosen.DataCenter {
			return target
		}
		if found == nil {
			found = target
		}
	}
	return found
}

// serves says whether a target is likely to serve what it holds: it is not
// ejected, and registered or deregistered only a moment ago.
func (s *state) serves(now time.Time) bool {
	return !s.health.ejected(now) && s.goneFor(now) <= lingerFor
}

func placementOf(part uint64, target *state) Placement {
	return Placement{Part: shortOf(part), Target: shortOf(target.hash)}
}

// expect notes that the chosen target is about to read the prompt's shared
// parts, so that other requests of the session follow.
func (b *Balancer) expect(parts []uint64, chosen *state) {
	for _, part := range parts {
		b.holders.note(placementOf(part, chosen), false)
	}
}

// fewHolders is up to how many holders of a part, this one among them, another one
// is news for the directory: of a part that most targets hold it is not.
const fewHolders = 4

// Confirm notes that a target has read the shared parts of a query's prompt. It
// returns the placements of long parts with few holders that were not known here.
func (b *Balancer) Confirm(life string, query Query) []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return nil
	}
	var found []Placement
	for i, part := range query.Parts {
		placement, tokens := placementOf(part, target), query.tokensOf(i)
		rare := len(b.holders.of(placement.Part)) <= fewHolders
		if b.holders.confirm(placement, b.worthReporting(part, tokens)) && rare && tokens >= leastNews {
			found = append(found, placement)
		}
		b.fills.end(placement, true)
	}
	return found
}

// worthReporting says whether it is to be reported that a target holds a part;
// b.mu is held. Few peers get all; among many there is room only for long
// parts that are not known at several targets yet.
func (b *Balancer) worthReporting(part uint64, tokens int) bool {
	return !b.manyPeers || tokens >= leastNews && len(b.holders.of(shortOf(part))) < mostHolders
}

// Withdraw notes that a target has not read the shared parts of a prompt that
// was sent there.
func (b *Balancer) Withdraw(life string, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return
	}
	for _, part := range parts {
		b.holders.withdraw(placementOf(part, target))
		b.fills.end(placementOf(part, target), false)
	}
}

// Placements are this process's own placements from a number on, at most so
// many, and the number that follows them.
func (b *Balancer) Placements(from, most int) ([]Placement, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.newsFrom(from, most)
}

// AllPlacements are the placements known of the parts used last, at most so
// many parts.
func (b *Balancer) AllPlacements(most int) []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.all(most)
}

// Learn takes placements that another gateway made.
func (b *Balancer) Learn(placements []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, placement := range placements {
		b.holders.note(placement, true)
		b.fills.end(placement, true)
	}
}
