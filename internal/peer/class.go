package peer

import "math"

// Class measures the resources of a gateway's host for the work that gateways do for each other.
// Each class has twice the resources of the one below. Zero, the smallest, means unknown.
type Class uint32

const (
	// classCores and classLinkMbps are the resources of a host of class 1: half of the smallest
	// host that a gateway is meant for.
	classCores    = 0.05
	classLinkMbps = 5.0
	// maxClass is the highest class. A host with 6 cores and 640 Mbit/s has more than any of this
	// work needs.
	maxClass = 8
	// quickClass is the lowest class whose hosts read the whole store quickly: with 0.4 of a core
	// and 40 Mbit/s, 3,000 entries take 0.4 s.
	quickClass Class = 4
)

// ClassOf returns the class of a host with the given cores and link; the scarcer of the two
// determines it. It is unknown if either is zero.
func ClassOf(cores, linkMbps float64) Class {
	ratio := min(cores/classCores, linkMbps/classLinkMbps)
	if !(ratio > 0) {
		return 0
	}
	return Class(min(max(1+math.Floor(math.Log2(ratio)), 1), maxClass))
}

// Quick reports whether a host reads the whole store quickly.
func (c Class) Quick() bool {
	return c >= quickClass
}

// share returns the relative share of the directory that a host of the class keeps. It grows
// slowly, since all hosts have the same byte budget for it.
func (c Class) share() float64 {
	return float64(c + 1)
}

// weightedScore turns a rendezvous score into one that is weighted by a share. Of two gateways,
// the one with twice the share comes first twice as often, and a gateway that joins or leaves
// moves only what it gains or had. Among equal shares the order is that of the scores.
func weightedScore(score uint64, share float64) float64 {
	const scale = float64(1<<63) * 2
	uniform := (float64(score) + 0.5) / scale
	return -share / math.Log(min(uniform, math.Nextafter(1, 0)))
}
