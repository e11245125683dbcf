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

// Source tells how the chosen target is expected to obtain a prompt's shared parts.
type Source string

// The possible sources.
const (
	// SourceHeld: the target is known to hold them.
	SourceHeld Source = "held"
	// SourceKnown: another target is known to hold the deepest part that the chosen one may
	// lack.
	SourceKnown Source = "known"
	// SourceGuessed: no holder is known. The session's next home may hold them.
	SourceGuessed Source = "guessed"
	// SourceNone: there is no other target.
	SourceNone Source = "none"
)

// fetchFrom returns the address of another target from which the chosen one can fetch the
// longest part of the prompt that it may lack; empty if it already holds the prompt. If no
// holder is known, the next home is the best guess. unread is the number of tokens after those
// that are known to be held.
func (b *Balancer) fetchFrom(query Query, listed []*state, chosen *state, now time.Time) (address string, source Source, unread int) {
	parts := query.Parts
	for i := len(parts) - 1; i >= 0; i-- {
		if b.holders.isConfirmed(shortHash(parts[i]), shortHash(chosen.hash)) {
			return "", SourceHeld, unread
		}
		if source := b.source(shortHash(parts[i]), chosen, now); source != nil {
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

// nextHome returns the first other target with the same weights in a session's rendezvous
// order; nil if there is none.
func nextHome(session uint64, listed []*state, chosen *state, now time.Time) *state {
	var best *state
	var bestScore uint64
	for _, target := range listed {
		if target == chosen || !target.unlistedAt.IsZero() || target.health.ejected(now) {
			continue
		}
		score := policy.Score(session, target.hash)
		if (best == nil || score > bestScore) && target.hasWeightsOf(chosen) {
			best, bestScore = target, score
		}
	}
	return best
}

// lingerFor is how long after its entry disappeared a target is assumed to serve what it
// holds: a target that ends as planned does so for a while.
const lingerFor = 2500 * time.Millisecond

// source returns one of a part's confirmed holders with the same weights that still serve,
// preferably one in the same data centre, because transfers between data centres take longer.
// The holder need not be open to requests itself.
func (b *Balancer) source(part uint32, chosen *state, now time.Time) *state {
	var found *state
	for _, holder := range b.holders.of(part) {
		target := b.byShort[holder.target]
		if !holder.confirmed || target == nil || target == chosen || !target.hasWeightsOf(chosen) || !target.serves(now) {
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

// serves reports whether a target is likely to serve what it holds: it is not ejected, and it
// is registered or was deregistered only a moment ago.
func (s *state) serves(now time.Time) bool {
	return !s.health.ejected(now) && s.unlistedFor(now) <= lingerFor
}

func placementOf(part uint64, target *state) Placement {
	return Placement{Part: shortHash(part), Target: shortHash(target.hash)}
}

// expectHolder records that the chosen target is about to prefill the prompt's shared parts, so
// that other requests of the session follow it.
func (b *Balancer) expectHolder(parts []uint64, chosen *state) {
	for _, part := range parts {
		b.holders.record(placementOf(part, chosen), false)
	}
}

// maxRareHolders is the number of holders of a part, including the new one, up to which a new
// holder is reported to the directory. A part that most targets hold is not reported.
const maxRareHolders = 4

// Confirm records that a target has prefilled the shared parts of a query's prompt. It returns the
// placements of long parts with few holders that were not known here.
func (b *Balancer) Confirm(incarnation string, query Query) []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return nil
	}
	var found []Placement
	for i, part := range query.Parts {
		placement, tokens := placementOf(part, target), query.tokensOf(i)
		rare := len(b.holders.of(placement.Part)) <= maxRareHolders
		if b.holders.confirm(placement, b.worthReporting(part, tokens)) && rare && tokens >= minReportedTokens {
			found = append(found, placement)
		}
		b.fills.end(placement, true)
	}
	return found
}

// worthReporting reports whether other gateways should learn that a target holds a part. A few
// peers get all placements; among many there is room only for long parts that are not known at
// several targets yet. The caller must hold b.mu.
func (b *Balancer) worthReporting(part uint64, tokens int) bool {
	return !b.manyPeers || tokens >= minReportedTokens && len(b.holders.of(shortHash(part))) < maxHolders
}

// Withdraw records that a target has not prefilled the shared parts of a prompt that was sent
// there.
func (b *Balancer) Withdraw(incarnation string, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return
	}
	for _, part := range parts {
		b.holders.remove(placementOf(part, target))
		b.fills.end(placementOf(part, target), false)
	}
}

// Placements returns at most the given number of this process's own placements, starting at a
// number, and the number that follows them.
func (b *Balancer) Placements(from, limit int) ([]Placement, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.ownFrom(from, limit)
}

// AllPlacements returns the known placements of the most recently used parts, up to a number
// of parts.
func (b *Balancer) AllPlacements(limit int) []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.confirmedPlacements(limit)
}

// Learn records placements that another gateway reported.
func (b *Balancer) Learn(placements []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, placement := range placements {
		b.holders.record(placement, true)
		b.fills.end(placement, true)
	}
}
