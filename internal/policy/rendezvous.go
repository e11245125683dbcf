// Package policy holds decisions without I/O: which targets a chat prefers,
// which of them to try now, and how large a target's share may be.
package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Multipliers of the finalizer of MurmurHash3 (public domain, Austin Appleby).
const (
	mixFirst  = 0xff51afd7ed558ccd
	mixSecond = 0xc4ceb9fe1a85ec53
	mixShift  = 33
)

// mix spreads the bits of a number over all its bits.
func mix(x uint64) uint64 {
	x ^= x >> mixShift
	x *= mixFirst
	x ^= x >> mixShift
	x *= mixSecond
	x ^= x >> mixShift
	return x
}

// Score is the rendezvous weight of a place for a hashed key: the place with
// the highest score comes first, on every process alike.
func Score(key, place uint64) uint64 {
	return mix(key ^ place)
}

// HashName hashes a name for use with Score.
func HashName(name string) uint64 {
	return mix(xxhash.Sum64String(name))
}

// Rank orders names by rendezvous for a key, the first choice first; the order
// of the input does not matter.
func Rank(key string, names []string) []string {
	hashed := HashName(key)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(Score(hashed, HashName(b)), Score(hashed, HashName(a))),
			cmp.Compare(a, b),
		)
	})
	return ranked
}

// First is the first name of Rank without ordering the rest; empty for none.
func First(key string, names []string) string {
	hashed := HashName(key)
	best := ""
	var bestScore uint64
	for _, name := range names {
		score := Score(hashed, HashName(name))
		better := score > bestScore || score == bestScore && name < best
		if best == "" || better {
			best, bestScore = name, score
		}
	}
	return best
}

// Home is the first target of a chat among names, in the same order as Places
// has it; empty for none. It is for a few chats: Places is for many.
func Home(chat uint64, names []string) string {
	hash := slotHash(SlotOf(chat))
	best := ""
	var bestScore uint64
	for _, name := range names {
		score := Score(hash, HashName(name))
		better := score > bestScore || score == bestScore && name < best
		if best == "" || better {
			best, bestScore = name, score
		}
	}
	return best
}
