package balance

import (
	"maps"
	"slices"
	"time"
)

const (
	// forgetAfter is how long an unlisted target without requests is kept.
	forgetAfter = time.Minute
)

// Change describes the effect of a Put.
type Change struct {
	// Any reports whether anything changed.
	Any bool
	// TurnedCold reports whether the target is cold and was not known to be.
	TurnedCold bool
	// Unusable reports whether the entry lacks the start time of an incarnation that had
	// stated one. Such an entry comes from another writer, and the target gets no new
	// requests.
	Unusable bool
	// Superseded is the name of the target's previous incarnation, if a new one has begun;
	// otherwise empty.
	Superseded string
	// OtherVersion reports whether the new incarnation has another version than the previous one.
	OtherVersion bool
}

// Put adds a target or applies the changes in its entry.
func (b *Balancer) Put(target Target, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	existing, ok := b.current[target.ID]
	if ok && target.Born == 0 && existing.Born != 0 {
		changed := existing.markUnusable()
		return Change{Any: changed, Unusable: changed}
	}
	replaced, earlier := "", announcement{}
	otherVersion := ok && target.Version != existing.Version
	if ok && (target.Born != existing.Born || target.Service != existing.Service) {
		b.supersede(existing, now)
		ok = false
		if target.Born != existing.Born {
			replaced = existing.incarnation
		}
		if existing.Born == 0 {
			// The incarnation that made the announcements may be the one whose start is stated
			// now.
			earlier = existing.announced
		}
	}
	if !ok {
		added := b.add(target, now)
		if earlier.isRelevant(now) {
			added.announced = earlier
		}
		return Change{Any: true, TurnedCold: added.updateCold(target.ColdFor, now), Superseded: replaced, OtherVersion: otherVersion}
	}
	changed := existing.Target != target || !existing.unlistedAt.IsZero()
	if existing.Version != target.Version {
		existing.service.removeFromVersion(existing.version)
		existing.service.noteFormerVersion(existing.Version, now)
		existing.version = existing.service.addToVersion(target.Version)
	}
	existing.Target = target
	existing.unusable, existing.needsCheck = false, true
	if !existing.unlistedAt.IsZero() {
		existing.unlistedAt, existing.end = time.Time{}, End{}
	}
	return Change{Any: changed, TurnedCold: existing.updateCold(target.ColdFor, now)}
}

// add starts tracking a target. The caller must hold b.mu.
func (b *Balancer) add(target Target, now time.Time) *state {
	svc := b.serviceOf(target.Service)
	if svc.knownSince.IsZero() {
		svc.knownSince = now
	}
	added := newState(target, svc)
	if previous, ok := b.targets[added.incarnation]; ok {
		// The same incarnation again, or under another service: its requests are still in
		// flight.
		inFlight := previous.inFlight
		previous.addInFlight(-inFlight)
		added.addInFlight(inFlight)
		added.announced = previous.announced
	}
	b.restoreAnnouncement(added)
	b.targets[added.incarnation] = added
	b.current[target.ID] = added
	b.byHash[added.hash] = added
	b.byShort[shortHash(added.hash)] = added
	svc.targets = append(svc.targets, added)
	svc.samples++
	return added
}

// SetUnusable excludes a target whose entry no longer describes a valid target, until it is
// put again. It returns false if the target is unknown or already leaving.
func (b *Balancer) SetUnusable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.current[id]
	return ok && target.markUnusable()
}

// markUnusable stops new requests to the target. It returns false if the target is already
// leaving.
func (s *state) markUnusable() bool {
	if s.Leaving {
		return false
	}
	s.Leaving, s.unusable, s.needsCheck = true, true, true
	return true
}

// Drop records that a target is no longer listed.
func (b *Balancer) Drop(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.current[id]; ok && target.unlistedAt.IsZero() {
		target.recordEnd(now, true)
		target.unlistedAt = now
		target.needsCheck = true
	}
	b.forgetUnlisted(now)
}

// Restore adds targets from a checkpoint that took requests when it was written and that are
// not registered, because their entries may have expired. They count as deregistered now, and
// serve for as long as expired ones do. Known targets stay unchanged.
func (b *Balancer) Restore(targets []Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, target := range targets {
		if _, known := b.current[target.ID]; known {
			continue
		}
		restored := b.add(target, now)
		restored.unlistedAt = now
		restored.updateCold(target.ColdFor, now)
	}
}

// forgetUnlisted removes targets that were unlisted long ago, or that were leaving when they
// were unlisted, once nothing is in flight at them.
func (b *Balancer) forgetUnlisted(now time.Time) {
	for incarnation, target := range b.targets {
		if target.unlistedAt.IsZero() || target.inFlight > 0 {
			continue
		}
		if !target.leaving() && now.Sub(target.unlistedAt) < forgetAfter {
			continue
		}
		b.saveAnnouncement(target, now)
		delete(b.targets, incarnation)
		if !target.superseded {
			delete(b.current, target.ID)
			b.removeFromLists(target, now)
		}
	}
}

// removeFromLists removes a target from all lists. The caller must hold b.mu.
func (b *Balancer) removeFromLists(target *state, now time.Time) {
	delete(b.byHash, target.hash)
	delete(b.byShort, shortHash(target.hash))
	target.service.removeFromVersion(target.version)
	target.service.noteFormerVersion(target.Version, now)
	svc := b.serviceOf(target.Service)
	svc.targets = slices.DeleteFunc(svc.targets, func(s *state) bool {
		return s == target
	})
}

// supersede stops tracking an incarnation after a newer one of the same target has begun,
// except for the requests that are still in flight at it. The caller must hold b.mu.
func (b *Balancer) supersede(target *state, now time.Time) {
	target.recordEnd(now, false)
	target.unlistedAt, target.superseded, target.needsCheck = now, true, true
	b.removeFromLists(target, now)
}

// ClearFailures clears the failure records of all targets.
func (b *Balancer) ClearFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, target := range b.targets {
		target.health = health{}
	}
}

// Targets returns the known targets sorted by ID.
func (b *Balancer) Targets() []Target {
	return b.targetsWith(func(known *state) (Target, bool) { return known.Target, true })
}

// Working returns the targets that are listed and take requests, sorted by ID. ColdFor is as of now.
func (b *Balancer) Working(now time.Time) []Target {
	return b.targetsWith(func(known *state) (Target, bool) {
		target := known.Target
		target.ColdFor = max(known.cold.until.Sub(now), 0)
		return target, !known.leaving() && known.unlistedAt.IsZero()
	})
}

// targetsWith returns what a function makes of the known targets, sorted by ID, without those for which it
// returns false.
func (b *Balancer) targetsWith(describe func(known *state) (Target, bool)) []Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var targets []Target
	for _, id := range slices.Sorted(maps.Keys(b.current)) {
		if target, ok := describe(b.current[id]); ok {
			targets = append(targets, target)
		}
	}
	return targets
}
