package balance

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated notes that the operators want nothing more sent to the targets of a
// data centre, or that they have taken that back. What is under way there goes on,
// and what its targets hold may still be fetched. At the end of it they are taken to
// be cold for as long as after a start: they may have turned cold a moment before
// without their entries saying so yet. It returns false if nothing was new.
func (b *Balancer) SetEvacuated(dataCenter string, evacuated bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuated[dataCenter] == evacuated {
		return false
	}
	if evacuated {
		b.evacuated[dataCenter] = true
	} else {
		delete(b.evacuated, dataCenter)
	}
	for _, target := range b.targets {
		if target.DataCenter != dataCenter {
			continue
		}
		target.aside = true
		if start := target.service.cold.Start; !evacuated && now.Add(start).After(target.cold.until) {
			target.cold.since, target.cold.until = now, now.Add(start)
		}
	}
	return true
}

// Evacuated are the data centres to which nothing is to be sent, in order.
func (b *Balancer) Evacuated() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.evacuated))
}
