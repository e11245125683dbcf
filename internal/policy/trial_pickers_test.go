package policy

import (
	"slices"
)

// pickers returns this package's policy and those that it is compared with.
func pickers() []picker {
	usable := func(t *trial, router int, number uint32, tried []uint32) bool {
		return !slices.Contains(tried, number) && t.hint(router, number).Usable()
	}
	random := func(t *trial, router int, _ *trialChat, tried []uint32) (uint32, bool) {
		for range 64 {
			number := uint32(t.random.IntN(len(t.engines)))
			if usable(t, router, number, tried) {
				return number, true
			}
		}
		return 0, false
	}
	robin := func(t *trial, router int, _ *trialChat, tried []uint32) (uint32, bool) {
		for range 64 {
			t.turns[router]++
			number := uint32((t.turns[router] + router*31) % len(t.engines))
			if usable(t, router, number, tried) {
				return number, true
			}
		}
		return 0, false
	}
	least := func(t *trial, router int, _ *trialChat, tried []uint32) (uint32, bool) {
		// Picks the engine with the least known load. With thousands of engines a sample of 64
		// limits the cost of the trial.
		best, found := uint32(0), false
		for range min(len(t.engines), 64) {
			number := uint32(t.random.IntN(len(t.engines)))
			if usable(t, router, number, tried) && (!found || t.hint(router, number).InFlight < t.hint(router, best).InFlight) {
				best, found = number, true
			}
		}
		return best, found
	}
	two := func(t *trial, router int, chat *trialChat, tried []uint32) (uint32, bool) {
		a, okA := random(t, router, chat, tried)
		b, okB := random(t, router, chat, tried)
		if !okA || okB && t.hint(router, b).InFlight < t.hint(router, a).InFlight {
			return b, okB
		}
		return a, okA
	}
	plain := func(t *trial, router int, chat *trialChat, tried []uint32) (uint32, bool) {
		for _, number := range t.table.Order(SlotOf(chat.hash)) {
			if usable(t, router, number, tried) {
				return number, true
			}
		}
		return random(t, router, chat, tried)
	}
	bounded := func(t *trial, router int, chat *trialChat, tried []uint32) (uint32, bool) {
		return t.table.Choose(chat.hash, func(number uint32) Hint { return t.hint(router, number) }, t.random, tried)
	}
	return []picker{
		{name: "capersaddle", bounded: true, tokens: 9},
		{name: "capersaddle-no-tokens", bounded: true},
		{name: "bounded-rendezvous", bounded: true, pick: bounded},
		{name: "random", pick: random},
		{name: "round-robin", pick: robin},
		{name: "least-known", pick: least},
		{name: "two-choices", pick: two},
		{name: "rendezvous", pick: plain},
	}
}
