package peer

import (
	"slices"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// keepersOf returns the keepers of what a key identifies: the first count gateways in its rendezvous
// order, at most. A nil entry stands for this gateway, whose hash is self.
func keepersOf(key uint64, peers []*peer, self uint64, count int) []*peer {
	first := make([]*peer, 0, count+1)
	scores := make([]uint64, 0, count+1)
	add := func(p *peer, hash uint64) {
		score := policy.Score(key, hash)
		index := len(scores)
		for index > 0 && scores[index-1] < score {
			index--
		}
		if index == count {
			return
		}
		first, scores = slices.Insert(first, index, p), slices.Insert(scores, index, score)
		first, scores = first[:min(len(first), count)], scores[:min(len(scores), count)]
	}
	add(nil, self)
	for _, p := range peers {
		add(p, p.hash)
	}
	return first
}
