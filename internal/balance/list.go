package balance

import (
	"maps"
	"slices"
	"time"
)

const (
	// forgetAfter is how long a dropped target without requests is kept.
	forgetAfter = time.Minute
)

// Change is what a Put has brought about.
type Change struct {
	// Any says that something was new.
	Any bool
	// TurnedCold says that the target is cold and was not known to be.
	TurnedCold bool
	// Unusable says that the entry lacks the start of a life that the target has stated: it
	// is another writer's, and the target is left out.
	Unusable bool
	// Outlived is the life of the target before, if another one has begun; else empty.
	Outlived string
}

// Put adds a target or takes over what has changed of it.
func (b *Balancer) Put(target Target, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.current[target.ID]
	if ok && target.Born == 0 && known.Born != 0 {
		left := known.leaveOut()
		return Change{Any: left, Unusable: left}
	}
	outlived, before := "", said{}
	if ok && (target.Born != known.Born || target.Service != known.Service) {
		b.outlive(known, now)
		ok = false
		if target.Born != known.Born {
			outlived = known.life
		}
		if known.Born == 0 {
			// The life that has spoken may be the one whose start is stated now.
			before = known.said
		}
	}
	if !ok {
		added := b.add(target)
		if before.any(now) {
			added.said = before
		}
		return Change{Any: true, TurnedCold: added.noteCold(target.ColdFor, now), Outlived: outlived}
	}
	changed := known.Target != target || !known.goneAt.IsZero()
	if known.Version != target.Version {
		known.service.leave(known.version)
		known.version = known.service.join(target.Version)
	}
	known.Target = target
	known.unusable, known.aside = false, true
	if !known.goneAt.IsZero() {
		known.goneAt, known.end = time.Time{}, End{}
	}
	return Change{Any: changed, TurnedCold: known.noteCold(target.ColdFor, now)}
}

// add begins to know a target; b.mu is held.
func (b *Balancer) add(target Target) *state {
	known := b.serviceOf(target.Service)
	added := newState(target, known)
	if before, ok := b.targets[added.life]; ok {
		// The same life again, or under another service: its requests are still under way.
		underWay := before.inFlight
		before.count(-underWay)
		added.count(underWay)
		added.said = before.said
	}
	b.recall(added)
	b.targets[added.life] = added
	b.current[target.ID] = added
	b.byHash[added.hash] = added
	b.byShort[shortOf(added.hash)] = added
	known.targets = append(known.targets, added)
	known.samples++
	return added
}

// SetUnusable leaves a target out whose entry names none any more, until it is put again;
// false if nothing is known of it.
func (b *Balancer) SetUnusable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.current[id]
	return ok && target.leaveOut()
}

// leaveOut has the target get nothing new; false if it is so already.
func (s *state) leaveOut() bool {
	if s.Leaving {
		return false
	}
	s.Leaving, s.unusable, s.aside = true, true, true
	return true
}

// Drop notes that the list no longer has a target.
func (b *Balancer) Drop(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.current[id]; ok && target.goneAt.IsZero() {
		target.noteEnd(now, true)
		target.goneAt = now
		target.aside = true
	}
	b.forget(now)
}

// Restore adds targets that took work when a checkpoint was written and that
// are not registered: their entries may have lapsed. They count as deregistered
// now, and serve for as long as lapsed ones do. Known targets are left as they
// are.
func (b *Balancer) Restore(targets []Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, target := range targets {
		if _, known := b.current[target.ID]; known {
			continue
		}
		b.add(target).goneAt = now
	}
}

// forget removes targets that were dropped long ago, or that were leaving
// when they were dropped, once nothing is in flight at them.
func (b *Balancer) forget(now time.Time) {
	for life, target := range b.targets {
		if target.goneAt.IsZero() || target.inFlight > 0 {
			continue
		}
		if !target.leaving() && now.Sub(target.goneAt) < forgetAfter {
			continue
		}
		b.remember(target, now)
		delete(b.targets, life)
		if !target.outlived {
			delete(b.current, target.ID)
			b.unlist(target)
		}
	}
}

// unlist takes a target out of all lists; b.mu is held.
func (b *Balancer) unlist(target *state) {
	delete(b.byHash, target.hash)
	delete(b.byShort, shortOf(target.hash))
	target.service.leave(target.version)
	known := b.serviceOf(target.Service)
	known.targets = slices.DeleteFunc(known.targets, func(s *state) bool {
		return s == target
	})
}

// outlive ends what is known of a target of which another life has begun, but for the
// requests that are still under way at the one before; b.mu is held.
func (b *Balancer) outlive(target *state, now time.Time) {
	target.noteEnd(now, false)
	target.goneAt, target.outlived, target.aside = now, true, true
	b.unlist(target)
}

// Forgive clears the targets' records of failures.
func (b *Balancer) Forgive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, target := range b.targets {
		target.health = health{}
	}
}

// Targets are the known targets in the order of their ids.
func (b *Balancer) Targets() []Target {
	return b.list(func(*state) bool { return true })
}

// Working are the targets that are listed and take work, in the order of their
// ids.
func (b *Balancer) Working() []Target {
	return b.list(func(target *state) bool { return !target.leaving() && target.goneAt.IsZero() })
}

// list are the known targets of which a condition holds, in the order of their
// ids.
func (b *Balancer) list(holds func(target *state) bool) []Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var targets []Target
	for _, id := range slices.Sorted(maps.Keys(b.current)) {
		if known := b.current[id]; holds(known) {
			targets = append(targets, known.Target)
		}
	}
	return targets
}
