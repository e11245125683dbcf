package balance

import "github.com/capersaddle/capersaddle/internal/policy"

// scoredTarget is a target with its score in an order that all gateways share.
type scoredTarget struct {
	target *state
	score  uint64
}

// moveTopScored moves the first count targets in the rendezvous order of a seed to the front,
// in any order. It works in scratch, which it returns for reuse.
func moveTopScored(targets []*state, count int, seed uint64, scratch []scoredTarget) []scoredTarget {
	if count >= len(targets) {
		return scratch
	}
	for _, target := range targets {
		scratch = append(scratch, scoredTarget{target: target, score: policy.Score(seed, target.hash)})
	}
	partition(scratch, count)
	for i := range scratch {
		targets[i] = scratch[i].target
	}
	return scratch
}

// partition moves the count targets with the highest scores to the front (quickselect).
// Sorting all targets of a large service would cost more than the choice.
func partition(all []scoredTarget, count int) {
	low, high := 0, len(all)-1
	for low < high {
		pivot := all[(low+high)/2].score
		i, j := low, high
		for i <= j {
			for all[i].score > pivot {
				i++
			}
			for all[j].score < pivot {
				j--
			}
			if i <= j {
				all[i], all[j] = all[j], all[i]
				i++
				j--
			}
		}
		switch {
		case count <= j:
			high = j
		case count >= i:
			low = i
		default:
			return
		}
	}
}
