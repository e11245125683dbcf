// Package policy implements decisions without I/O: which targets a chat prefers, which of them
// to try now, and how large a target's share may be.
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

// mix spreads each bit of a number over all bits.
func mix(x uint64) uint64 {
	x ^= x >> mixShift
	x *= mixFirst
	x ^= x >> mixShift
	x *= mixSecond
	x ^= x >> mixShift
	return x
}

// Score returns the rendezvous score of a node for a hashed key. The node with the highest
// score ranks first, in every process.
func Score(key, node uint64) uint64 {
	return mix(key ^ node)
}

// HashName hashes a name for use with Score.
func HashName(name string) uint64 {
	return mix(xxhash.Sum64String(name))
}

// Rank returns names in rendezvous order for a key, best first. The order of the input does
// not matter.
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

// First returns the first name of Rank without ranking the others; empty if there are no
// names.
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

// Home returns the first target of a chat among names, in the same order as SlotTable; empty
// if there are no names. It is meant for a few chats; SlotTable is for many.
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
