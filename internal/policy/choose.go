package policy

import "math/rand/v2"

// Hint is a router's view of a target; it may be stale or missing.
type Hint struct {
	// InFlight and Limit are from the agent's last report; Limit is zero if unknown.
	InFlight uint32
	Limit    uint32
	// Leaving reports whether the target is shutting down and takes no new requests.
	Leaving bool
	// Down reports whether the target could not be reached a moment ago.
	Down bool
}

// Usable reports whether the target may be tried at all.
func (h Hint) Usable() bool {
	return !h.Leaving && !h.Down
}

// Full reports whether the target is assumed to be at its bound.
func (h Hint) Full() bool {
	return h.Limit > 0 && h.InFlight >= h.Limit
}

// Hints returns the hint of a target number.
type Hints func(number uint32) Hint

// sampleSize is how many random targets are compared when the targets of a chat's slot are
// full.
const sampleSize = 2

// Choose picks the target to try for a chat: the first target in the slot's order that is not
// assumed to be full, leaving or down. If there is none, it picks the less loaded of two
// random targets. tried holds the numbers of the targets that have already refused. It returns
// false if the pool has no usable target left.
func (t *SlotTable) Choose(chat uint64, hints Hints, random *rand.Rand, tried []uint32) (uint32, bool) {
	for _, number := range t.Order(SlotOf(chat)) {
		hint := hints(number)
		if hint.Usable() && !hint.Full() && !contains(tried, number) {
			return number, true
		}
	}
	return t.lessLoadedOfSample(hints, random, tried)
}

// lessLoadedOfSample picks the target with the most room among a few random ones.
func (t *SlotTable) lessLoadedOfSample(hints Hints, random *rand.Rand, tried []uint32) (uint32, bool) {
	const maxDraws = 16
	best := none
	var bestHint Hint
	found := 0
	for draw := 0; draw < maxDraws && found < sampleSize; draw++ {
		number := uint32(random.IntN(max(len(t.names), 1)))
		if int(number) >= len(t.names) || t.names[number] == "" || contains(tried, number) {
			continue
		}
		hint := hints(number)
		if !hint.Usable() {
			continue
		}
		found++
		if best == none || lessLoaded(hint, bestHint) {
			best, bestHint = number, hint
		}
	}
	return best, best != none
}

func lessLoaded(a, b Hint) bool {
	if a.Full() != b.Full() {
		return !a.Full()
	}
	return a.InFlight < b.InFlight
}

func contains(numbers []uint32, number uint32) bool {
	for _, n := range numbers {
		if n == number {
			return true
		}
	}
	return false
}
