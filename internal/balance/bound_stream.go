package balance

import "time"

// entryLag is how long after a target's start its entry may reach this process.
const entryLag = 3 * time.Second

// mayHaveRestarted reports whether the target may be another incarnation than its entry describes, given
// until when the entries are proven to be the newest: nothing listened at its address, and a target
// that keeps its ID begins there again before its entry shows it.
func (s *state) mayHaveRestarted(provenAt time.Time) bool {
	return s.Born != 0 && !s.silentAt.IsZero() && provenAt.Before(s.silentAt.Add(entryLag))
}

// openFor returns the targets that may take the request of a query. The caller must hold b.mu.
func (b *Balancer) openFor(svc *service, query Query, now time.Time) []*state {
	open := b.openTargets(svc, query.Exclude, query.Versions, now)
	if !query.Bound || len(open) == 0 {
		return open
	}
	limited := b.options.Whole != Bound{}
	bound := b.wholeBound(meanLoad(open), float64(len(open)))
	kept := open[:0]
	for _, target := range open {
		if limited && target.load()+1 > bound || target.mayHaveRestarted(query.ProvenAt) {
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
