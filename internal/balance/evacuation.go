package balance

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated records that the operators have evacuated a data centre, so that its targets
// get no new requests, or that they have ended the evacuation. Requests in flight there
// continue, and the prompts that its targets hold may still be fetched. After an evacuation
// the targets count as cold for as long as after a start, because they may have turned cold a
// moment before without their entries showing it yet. It returns false if nothing changed.
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
		target.needsCheck = true
		if start := target.service.cold.Start; !evacuated && now.Add(start).After(target.cold.until) {
			target.cold.since, target.cold.until = now, now.Add(start)
		}
	}
	return true
}

// Evacuated returns the evacuated data centres in sorted order.
func (b *Balancer) Evacuated() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.evacuated))
}
