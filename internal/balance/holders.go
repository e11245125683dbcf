package balance

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxParts limits how many parts of prompts are remembered. After a part is forgotten, its
	// location has to be guessed.
	maxParts = 20000
	// maxHolders limits how many targets are remembered for one part. Targets that no longer
	// serve are forgotten first.
	maxHolders = 8
	// maxOwnPlacements limits the own placements that wait to be reported to other gateways.
	maxOwnPlacements = 2048
	// minReportedTokens is the length from which a part is worth reporting: shorter parts are
	// prefilled as fast as they are fetched, and there are many of them.
	minReportedTokens = 400
)

// Placement records that a target holds a part of prompts in its cache. Both are identified by
// the upper halves of their hashes. A collision of two parts costs at most a wrong guess.
type Placement struct {
	Part   uint32
	Target uint32
}

// holder is a target that holds a part, or soon will.
type holder struct {
	target uint32
	// confirmed is false until an answer has shown that the target has prefilled the part.
	confirmed bool
}

// holders tracks which targets hold which parts of prompts.
type holders struct {
	cache *lru.Cache[uint32, []holder]
	// serves reports whether a target serves what it holds.
	serves func(target uint32) bool
	// own holds the latest placements of this process, oldest first; firstOwn is the number of
	// the first one.
	own      []Placement
	firstOwn int
}

func newHolders(serves func(target uint32) bool) *holders {
	cache, err := lru.New[uint32, []holder](maxParts)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	return &holders{cache: cache, serves: serves}
}

// of returns the targets that hold a part or soon will, in the order in which they were added.
func (h *holders) of(part uint32) []holder {
	known, _ := h.cache.Get(part)
	return known
}

// isConfirmed reports whether a target is known to hold a part.
func (h *holders) isConfirmed(part, target uint32) bool {
	return slices.Contains(h.of(part), holder{target: target, confirmed: true})
}

// hasConfirmed reports whether any target is known to hold a part.
func (h *holders) hasConfirmed(part uint32) bool {
	return slices.ContainsFunc(h.of(part), func(k holder) bool { return k.confirmed })
}

// record stores a placement. It returns false if the placement was already known with the same
// certainty.
func (h *holders) record(placement Placement, confirmed bool) bool {
	known := h.of(placement.Part)
	at := slices.IndexFunc(known, func(k holder) bool { return k.target == placement.Target })
	if at >= 0 && (known[at].confirmed || !confirmed) {
		return false
	}
	known = slices.Clone(known)
	switch {
	case at >= 0:
		known[at].confirmed = true
	case len(known) >= maxHolders:
		drop := max(slices.IndexFunc(known, func(k holder) bool { return !h.serves(k.target) }), 0)
		known = append(slices.Delete(known, drop, drop+1), holder{placement.Target, confirmed})
	default:
		known = append(known, holder{placement.Target, confirmed})
	}
	h.cache.Add(placement.Part, known)
	return true
}

// confirm stores a placement that this process has verified, and queues it for reporting if it
// is worth that. It returns false if the placement was already confirmed.
func (h *holders) confirm(placement Placement, worthReporting bool) bool {
	if !h.record(placement, true) {
		return false
	}
	if !worthReporting {
		return true
	}
	h.own = append(h.own, placement)
	if len(h.own) > maxOwnPlacements {
		cut := len(h.own) - maxOwnPlacements
		h.own = slices.Clone(h.own[cut:])
		h.firstOwn += cut
	}
	return true
}

// ownFrom returns at most limit own placements, starting at a number, and the number
// that follows them.
func (h *holders) ownFrom(from, limit int) ([]Placement, int) {
	from = max(from, h.firstOwn)
	at := min(from-h.firstOwn, len(h.own))
	end := min(at+limit, len(h.own))
	return slices.Clone(h.own[at:end]), h.firstOwn + end
}

// remove forgets an expected placement that did not come about.
func (h *holders) remove(placement Placement) {
	known := h.of(placement.Part)
	at := slices.Index(known, holder{target: placement.Target})
	if at >= 0 {
		h.cache.Add(placement.Part, slices.Delete(slices.Clone(known), at, at+1))
	}
}

// confirmedPlacements returns the confirmed placements of at most limit parts, the most
// recently used last.
func (h *holders) confirmedPlacements(limit int) []Placement {
	var placements []Placement
	keys := h.cache.Keys()
	for _, part := range keys[max(0, len(keys)-limit):] {
		known, _ := h.cache.Peek(part)
		for _, k := range known {
			if k.confirmed {
				placements = append(placements, Placement{Part: part, Target: k.target})
			}
		}
	}
	return placements
}
