package balance

// LeftAsPlanned reports whether all known targets of some versions of a service have left or are
// leaving as planned, as announced by their entries or their answers. It returns false if no
// such target is known. A target that was lost, or whose entry disappeared or became invalid
// without an announcement, has not left as planned.
func (b *Balancer) LeftAsPlanned(service string, versions Versions) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc, ok := b.services[service]
	if !ok {
		return false
	}
	found := false
	for _, target := range svc.targets {
		if !versions.Admits(target.Version) {
			continue
		}
		if !target.leftAsPlanned() {
			return false
		}
		found = true
	}
	return found
}

// leftAsPlanned reports whether the target, or its entry, has announced that it leaves.
func (s *state) leftAsPlanned() bool {
	return s.announced.leaving || s.Leaving && !s.unusable
}
