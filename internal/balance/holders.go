package balance

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// mostParts bounds how many parts of prompts are remembered; a forgotten
	// one costs a guess at where it is cached.
	mostParts = 20000
	// mostHolders bounds how many targets are remembered for one part. Those that
	// serve no more are forgotten first.
	mostHolders = 8
	// mostNews bounds the placements that wait to be reported to other gateways.
	mostNews = 2048
	// leastNews is from how many tokens a part is worth telling of: shorter ones
	// are read as fast as they are fetched, and there are many.
	leastNews = 400
)

// Placement says that a target holds a part of prompts in its cache; both are
// named by the upper halves of their hashes. Two parts of the same name cost a
// wrong guess at most.
type Placement struct {
	Part   uint32
	Target uint32
}

// holder is a target that holds a part, or soon will.
type holder struct {
	target uint32
	// sure is false until an answer has shown that the target has read the
	// part.
	sure bool
}

// holders remembers which targets hold which parts of prompts.
type holders struct {
	cache *lru.Cache[uint32, []holder]
	// serves says whether a target serves what it holds.
	serves func(target uint32) bool
	// news are this process's own placements in the order of their making;
	// the first one has the number first.
	news  []Placement
	first int
}

func newHolders(serves func(target uint32) bool) *holders {
	cache, err := lru.New[uint32, []holder](mostParts)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &holders{cache: cache, serves: serves}
}

// of are the targets that hold a part or soon will, the first to come first.
func (h *holders) of(part uint32) []holder {
	known, _ := h.cache.Get(part)
	return known
}

// surely says whether a target is known to hold a part.
func (h *holders) surely(part, target uint32) bool {
	return slices.Contains(h.of(part), holder{target: target, sure: true})
}

// held says whether any target is known to hold a part.
func (h *holders) held(part uint32) bool {
	return slices.ContainsFunc(h.of(part), func(k holder) bool { return k.sure })
}

// note remembers a placement; it returns false if it was known as surely.
func (h *holders) note(placement Placement, sure bool) bool {
	known := h.of(placement.Part)
	at := slices.IndexFunc(known, func(k holder) bool { return k.target == placement.Target })
	if at >= 0 && (known[at].sure || !sure) {
		return false
	}
	known = slices.Clone(known)
	switch {
	case at >= 0:
		known[at].sure = true
	case len(known) >= mostHolders:
		drop := max(slices.IndexFunc(known, func(k holder) bool { return !h.serves(k.target) }), 0)
		known = append(slices.Delete(known, drop, drop+1), holder{placement.Target, sure})
	default:
		known = append(known, holder{placement.Target, sure})
	}
	h.cache.Add(placement.Part, known)
	return true
}

// confirm notes a placement that this process has seen to be true, and keeps it
// as news if it is worth telling others; it returns false if it was known.
func (h *holders) confirm(placement Placement, worthReporting bool) bool {
	if !h.note(placement, true) {
		return false
	}
	if !worthReporting {
		return true
	}
	h.news = append(h.news, placement)
	if len(h.news) > mostNews {
		cut := len(h.news) - mostNews
		h.news = slices.Clone(h.news[cut:])
		h.first += cut
	}
	return true
}

// newsFrom are own placements from a number on, at most so many, and the
// number that follows them.
func (h *holders) newsFrom(from, most int) ([]Placement, int) {
	from = max(from, h.first)
	at := min(from-h.first, len(h.news))
	end := min(at+most, len(h.news))
	return slices.Clone(h.news[at:end]), h.first + end
}

// withdraw forgets a placement that did not come about.
func (h *holders) withdraw(placement Placement) {
	known := h.of(placement.Part)
	at := slices.Index(known, holder{target: placement.Target})
	if at >= 0 {
		h.cache.Add(placement.Part, slices.Delete(slices.Clone(known), at, at+1))
	}
}

// all are the sure placements, those used lately last, at most so many.
func (h *holders) all(most int) []Placement {
	var placements []Placement
	keys := h.cache.Keys()
	for _, part := range keys[max(0, len(keys)-most):] {
		known, _ := h.cache.Peek(part)
		for _, k := range known {
			if k.sure {
				placements = append(placements, Placement{Part: part, Target: k.target})
			}
		}
	}
	return placements
}
