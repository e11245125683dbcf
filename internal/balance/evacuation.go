package balance

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated notes that the operators want nothing more sent to the targets of a
// data centre, or that they have taken that back. What is under way there goes on,
// and what its targets hold may still be fetched. It returns false if nothing was
// new.
func (b *Balancer) SetEvacuated(dataCenter string, evacuated bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuated[dataCenter] == evacuated {
		return false
	}
	if !evacuated {
		delete(b.evacuated, dataCenter)
		return true
	}
	b.evacuated[dataCenter] = true
	for _, target := range b.targets {
		if target.DataCenter == dataCenter {
			target.aside = true
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
