package policy

import "math/rand/v2"

// Hint is what a router believes of a target; it may be stale or missing.
type Hint struct {
	// InFlight and Limit are from the agent's last word; Limit is zero when
	// nothing is known.
	InFlight uint32
	Limit    uint32
	// Leaving targets take nothing new.
	Leaving bool
	// Down targets could not be reached a moment ago.
	Down bool
}

// Usable says whether the target may be tried at all.
func (h Hint) Usable() bool {
	return !h.Leaving && !h.Down
}

// Full says whether the target is believed to be at its bound.
func (h Hint) Full() bool {
	return h.Limit > 0 && h.InFlight >= h.Limit
}

// Hints looks up the hint of a target number.
type Hints func(number uint32) Hint

// samples is how many random targets stand against each other when a chat's
// own choices are full.
const samples = 2

// Choose picks the target to try for a chat: its own targets in order, past
// those that are believed full, leaving or down; when all are, the less loaded
// of two random ones. tried are the target numbers that have refused already.
// It returns false when the pool has nothing usable left.
func (p *Places) Choose(chat uint64, hints Hints, random *rand.Rand, tried []uint32) (uint32, bool) {
	for _, number := range p.Order(SlotOf(chat)) {
		hint := hints(number)
		if hint.Usable() && !hint.Full() && !contains(tried, number) {
			return number, true
		}
	}
	return p.lighter(hints, random, tried)
}

// lighter picks among a few random targets the one with most room.
func (p *Places) lighter(hints Hints, random *rand.Rand, tried []uint32) (uint32, bool) {
	const mostDraws = 16
	best := none
	var bestHint Hint
	found := 0
	for draw := 0; draw < mostDraws && found < samples; draw++ {
		number := uint32(random.IntN(max(len(p.names), 1)))
		if int(number) >= len(p.names) || p.names[number] == "" || contains(tried, number) {
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
