package balance

// Left says whether all targets of some versions that are known for a service have left or
// are leaving by plan, as their entries or they themselves said; false where none is known. A
// target that was lost, or whose entry went or turned odd without a word, has not.
func (b *Balancer) Left(service string, versions Versions) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.services[service]
	if !ok {
		return false
	}
	left := false
	for _, target := range known.targets {
		if !versions.Admits(target.Version) {
			continue
		}
		if !target.leftByPlan() {
			return false
		}
		left = true
	}
	return left
}

// leftByPlan says whether the target, or its entry, has said that it leaves.
func (s *state) leftByPlan() bool {
	return s.said.leaving || s.Leaving && !s.unusable
}
