package balance

import (
	"slices"
	"time"
)

const (
	// minFillTokens is the length from which the prefill of a part is worth waiting for: a
	// second prefill of it at the same time doubles the time for both.
	minFillTokens = 1500
	// fillTTL is how long another gateway's report of a fill stays valid.
	fillTTL = 800 * time.Millisecond
	// maxFillWait limits how long a fill of this process is waited for, in case nothing ends
	// it.
	maxFillWait = 5 * time.Second
)

// fill is the prefill of a part of prompts that no target holds yet.
type fill struct {
	target uint32
	// done is closed when the part has been prefilled, or will not be.
	done chan struct{}
	// until is when the fill is abandoned.
	until time.Time
	// own reports whether the fill serves a request of this process.
	own bool
}

// fills holds the parts that are being prefilled, by the upper halves of their hashes.
type fills map[uint32]*fill

// begin records that a target is about to prefill a part.
func (f fills) begin(placement Placement, until time.Time, own bool) {
	if existing, ok := f[placement.Part]; ok {
		if existing.target == placement.Target {
			existing.until = until
		}
		return
	}
	f[placement.Part] = &fill{target: placement.Target, done: make(chan struct{}), until: until, own: own}
}

// end records that a part has been prefilled, or that its target will not prefill it.
func (f fills) end(placement Placement, prefilled bool) {
	existing, ok := f[placement.Part]
	if !ok || !prefilled && existing.target != placement.Target {
		return
	}
	close(existing.done)
	delete(f, placement.Part)
}

// expire abandons the fills whose time is over.
func (f fills) expire(now time.Time) {
	for part, known := range f {
		if now.After(known.until) {
			close(known.done)
			delete(f, part)
		}
	}
}

// Filling reports whether a target is prefilling a long part of the query's prompt for another
// request, here or at another gateway, with weights that the query's targets have. The channel
// is closed when the fill is over. A request that waits for it finds the part cached.
func (b *Balancer) Filling(query Query, now time.Time) (done <-chan struct{}, filling bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fills.expire(now)
	for _, part := range query.Parts {
		if reading, ok := b.fills[shortHash(part)]; ok && b.canUsePrefill(query, reading.target) {
			return reading.done, true
		}
	}
	return nil, false
}

// canUsePrefill reports whether a part that one target prefills can be used by a target that may
// take the query's request. It returns true if the first target is unknown. The caller must hold
// b.mu.
func (b *Balancer) canUsePrefill(query Query, target uint32) bool {
	reader, ok := b.byShort[target]
	if !ok {
		return true
	}
	return slices.ContainsFunc(b.serviceOf(query.Service).targets, func(t *state) bool {
		return t.hasWeightsOf(reader) && t.unlistedAt.IsZero() && query.Versions.Admits(t.Version)
	})
}

// beginFills begins fills for the long parts that no target holds and returns those begun. The
// caller must hold b.mu.
func (b *Balancer) beginFills(query Query, chosen *state, now time.Time) []Placement {
	var begun []Placement
	for i, part := range query.Parts {
		if i >= len(query.Tokens) || query.Tokens[i] < minFillTokens || b.isHeldFor(chosen, shortHash(part)) {
			continue
		}
		placement := placementOf(part, chosen)
		b.fills.begin(placement, now.Add(maxFillWait), true)
		begun = append(begun, placement)
	}
	return begun
}

// isHeldFor reports whether a target with the same weights as the chosen one is known to hold
// a part. The caller must hold b.mu.
func (b *Balancer) isHeldFor(chosen *state, part uint32) bool {
	return slices.ContainsFunc(b.holders.of(part), func(k holder) bool {
		target, known := b.byShort[k.target]
		return k.confirmed && (!known || target.hasWeightsOf(chosen))
	})
}

// Fills returns the parts that targets are prefilling for requests of this process.
func (b *Balancer) Fills() []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var placements []Placement
	for part, reading := range b.fills {
		if reading.own {
			placements = append(placements, Placement{Part: part, Target: reading.target})
		}
	}
	return placements
}

// LearnFills records another gateway's report of which parts targets are prefilling.
func (b *Balancer) LearnFills(placements []Placement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, placement := range placements {
		if b.holders.hasConfirmed(placement.Part) {
			continue
		}
		b.holders.record(placement, false)
		b.fills.begin(placement, now.Add(fillTTL), false)
	}
}
