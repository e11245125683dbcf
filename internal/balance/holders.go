package balance

import lru "github.com/hashicorp/golang-lru/v2"

const (
	// mostParts bounds how many parts of prompts are remembered; a forgotten
	// one costs a guess at where it is cached.
	mostParts = 20000
	// mostHolders bounds how many targets are remembered for one part.
	mostHolders = 4
	// mostNews bounds the placements that wait to be told to other gateways.
	mostNews = 2048
)

// Placement says that a target holds a part of prompts in its cache; both are
// named by their hashes.
type Placement struct {
	Part   uint64
	Target uint64
}

// holders remembers which targets hold which parts of prompts.
type holders struct {
	cache *lru.Cache[uint64, []uint64]
	// news are this process's own placements in the order of their making;
	// the first one has the number first.
	news  []Placement
	first int
}

func newHolders() *holders {
	cache, err := lru.New[uint64, []uint64](mostParts)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &holders{cache: cache}
}

// of are the targets that hold a part, the first to hold it first.
func (h *holders) of(part uint64) []uint64 {
	targets, _ := h.cache.Get(part)
	return targets
}

// note remembers a placement; it returns false if it was known.
func (h *holders) note(placement Placement) bool {
	targets, _ := h.cache.Get(placement.Part)
	for _, target := range targets {
		if target == placement.Target {
			return false
		}
	}
	kept := append([]uint64(nil), targets...)
	if len(kept) >= mostHolders {
		kept = kept[1:]
	}
	h.cache.Add(placement.Part, append(kept, placement.Target))
	return true
}

// place notes a placement of this process's own making, as news.
func (h *holders) place(placement Placement) {
	if !h.note(placement) {
		return
	}
	h.news = append(h.news, placement)
	if len(h.news) > mostNews {
		cut := len(h.news) - mostNews
		h.news = append([]Placement(nil), h.news[cut:]...)
		h.first += cut
	}
}

// newsFrom are own placements from a number on, at most so many, and the
// number that follows them.
func (h *holders) newsFrom(from, most int) ([]Placement, int) {
	from = max(from, h.first)
	at := min(from-h.first, len(h.news))
	end := min(at+most, len(h.news))
	return append([]Placement(nil), h.news[at:end]...), h.first + end
}

// forget drops a target that no longer serves a part.
func (h *holders) forget(part, target uint64) {
	targets, ok := h.cache.Get(part)
	if !ok {
		return
	}
	kept := make([]uint64, 0, len(targets))
	for _, known := range targets {
		if known != target {
			kept = append(kept, known)
		}
	}
	h.cache.Add(part, kept)
}
