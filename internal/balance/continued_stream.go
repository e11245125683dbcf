package balance

import "time"

// EntryLag is how long after a target's start its entry may appear.
const EntryLag = time.Second

// mayBeOfAnotherVersion reports whether the target may be of another version than is known of it. It is if
// its entry hasn't been read, or if it may be another incarnation than its entry describes, given until when
// the entries are proven to be the newest: there was a sign that its process had ended, and a target that
// keeps its ID begins again before its entry shows it.
func (s *state) mayBeOfAnotherVersion(provenAt time.Time) bool {
	return s.VersionUnknown || s.Born != 0 && !s.endSignAt.IsZero() && provenAt.Before(s.endSignAt.Add(EntryLag))
}

// NoteRestart records a sign that the process of an incarnation of a target has ended.
func (b *Balancer) NoteRestart(incarnation string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[incarnation]; ok {
		target.endSignAt = now
	}
}

// openFor returns the targets that may take the request of a query. The caller must hold b.mu.
func (b *Balancer) openFor(svc *service, query Query, now time.Time) []*state {
	open := b.openTargets(svc, query.Exclude, query.Versions, now)
	if !query.Continues || len(open) == 0 {
		return open
	}
	limited := b.options.Whole != Bound{}
	bound := b.wholeBound(meanLoad(open), float64(len(open)))
	kept := open[:0]
	for _, target := range open {
		if limited && target.load()+1 > bound || target.mayBeOfAnotherVersion(query.ProvenAt) {
			b.scratch.idle.add(target)
			continue
		}
		kept = append(kept, target)
	}
	if len(b.scratch.healthy) > 0 {
		b.scratch.healthy = kept
	}
	return kept
}
