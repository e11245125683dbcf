package policy

import "math/rand/v2"

const (
	// Homes is how many of the first targets in its order a chat may be placed at. A new chat
	// goes to the least loaded of them, so that targets with room fill up first, and a
	// returning chat is looked for there.
	Homes = 4
	// maxFull is how many targets may refuse because of their load before the request asks to
	// wait in a queue.
	maxFull = 3
	// maxTried limits the attempts of one search.
	maxTried = 16
)

// Attempt is one attempt: the target and the conditions.
type Attempt struct {
	Number uint32
	// OnlyHeld asks the target to refuse a chat that it does not hold.
	OnlyHeld bool
	// Wait asks the target to queue the request if it is full.
	Wait bool
}

// Outcome is the result of an attempt that did not run the request.
type Outcome int

// The outcomes after which a search continues.
const (
	// NotHeld: the target does not hold the chat.
	NotHeld Outcome = iota
	// Full: the target is at its bound.
	Full
	// Gone: the target cannot be reached, is leaving or failed.
	Gone
)

// Search finds a target for one request, attempt by attempt. The zero value with its exported
// fields set is ready to use.
type Search struct {
	Table *SlotTable
	// Chat is the chat's hash.
	Chat uint64
	// Returning reports whether the chat has been answered before.
	Returning bool
	// Token is the target named by the caller's token; valid if HasToken.
	Token    uint32
	HasToken bool
	// Patient makes the request ask to wait as soon as one target was full.
	Patient bool

	tried [maxTried]uint32
	count int
	// probed counts the homes checked for a returning chat.
	probed int
	full   int
	// queued reports whether a target was asked to queue the request.
	queued bool
	last   Attempt
}

// Next returns the next attempt; false if nothing is left to try.
func (s *Search) Next(hints Hints, random *rand.Rand) (Attempt, bool) {
	attempt, ok := s.next(hints, random)
	if !ok && s.full > 0 && !s.queued {
		// All remaining targets are full: one of them may queue the request.
		s.count = 0
		s.full = max(s.full, maxFull)
		attempt, ok = s.next(hints, random)
	}
	if !ok || s.count == maxTried {
		return Attempt{}, false
	}
	attempt.Wait = s.full >= maxFull || s.Patient && s.full > 0
	s.queued = s.queued || attempt.Wait
	s.tried[s.count] = attempt.Number
	s.count++
	s.last = attempt
	return attempt, true
}

// Record records the outcome of the last attempt. It returns false if the search is over
// because even a queue had no room.
func (s *Search) Record(outcome Outcome) bool {
	switch outcome {
	case NotHeld:
		// The target may still be the best one for the chat as a new one.
		s.count--
	case Full:
		s.full++
		return !s.last.Wait
	case Gone:
	}
	return true
}

func (s *Search) next(hints Hints, random *rand.Rand) (Attempt, bool) {
	if s.HasToken {
		s.HasToken = false
		if hints(s.Token).Usable() {
			s.probed = Homes
			return Attempt{Number: s.Token}, true
		}
	}
	if number, ok := s.probe(hints); ok {
		return Attempt{Number: number, OnlyHeld: true}, true
	}
	if number, ok := s.leastLoadedHome(hints); ok {
		return Attempt{Number: number}, true
	}
	number, ok := s.Table.Choose(s.Chat, hints, random, s.tried[:s.count])
	return Attempt{Number: number}, ok
}

// probe looks for a returning chat at its homes, in order, until one was full: that one is
// assumed to hold the chat.
func (s *Search) probe(hints Hints) (uint32, bool) {
	if !s.Returning || s.full > 0 {
		return 0, false
	}
	homes := s.homes()
	for s.probed < len(homes) {
		number := homes[s.probed]
		s.probed++
		if hints(number).Usable() && !contains(s.tried[:s.count], number) {
			return number, true
		}
	}
	return 0, false
}

func (s *Search) homes() []uint32 {
	order := s.Table.Order(SlotOf(s.Chat))
	return order[:min(len(order), Homes)]
}

// leastLoadedHome returns the home with the most room. Homes that are assumed to be full are
// skipped.
func (s *Search) leastLoadedHome(hints Hints) (uint32, bool) {
	best := none
	var bestHint Hint
	for _, number := range s.homes() {
		hint := hints(number)
		if !hint.Usable() || hint.Full() || contains(s.tried[:s.count], number) {
			continue
		}
		if best == none || lessLoaded(hint, bestHint) {
			best, bestHint = number, hint
		}
	}
	return best, best != none
}
