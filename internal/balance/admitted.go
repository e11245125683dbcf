package balance

import (
	"math"
	"slices"
)

// version is one version of a service's targets. Choices look at many targets and few
// versions, so names are compared once for each version.
type version struct {
	name string
	// targets is how many known targets have it.
	targets int
	// admitted says whether the look under way admits it.
	admitted bool
}

// versionID names a version among those of its service.
type versionID uint16

// join counts a target of a version, which is new if need be.
func (s *service) join(name string) versionID {
	free := -1
	for i := range s.versions {
		if s.versions[i].targets > 0 && s.versions[i].name == name {
			s.versions[i].targets++
			return versionID(i)
		}
		if s.versions[i].targets == 0 {
			free = i
		}
	}
	if free < 0 {
		free = len(s.versions)
		s.versions = append(s.versions, version{})
	}
	s.versions[free] = version{name: name, targets: 1}
	return versionID(free)
}

// leave takes a target off its version; the place of one without targets is used again.
func (s *service) leave(id versionID) {
	s.versions[id].targets--
}

// admit notes which versions a look at the targets admits.
func (s *service) admit(versions Versions) {
	for i := range s.versions {
		s.versions[i].admitted = versions.Admits(s.versions[i].name)
	}
}

// boundBy says whether versions bound a look at the targets: not where all known ones are
// of a single version that is admitted, as between two roll-outs.
func (s *service) boundBy(versions *Versions) bool {
	if versions.Any() {
		return false
	}
	if versions.Share > 0 {
		return true
	}
	present := 0
	for i := range s.versions {
		known := &s.versions[i]
		if known.targets == 0 {
			continue
		}
		if present++; present > 1 || !versions.Admits(known.name) {
			return true
		}
	}
	return false
}

// admitted are a service's targets of admitted versions. The others are noted as idle for
// the request. b.mu is held.
func (b *Balancer) admitted(known *service, versions Versions) []*state {
	known.admit(versions)
	admitted := b.scratch.admitted[:0]
	for _, target := range known.targets {
		switch {
		case known.versions[target.version].admitted:
			admitted = append(admitted, target)
		case b.takesWork(target):
			b.scratch.idle.add(target)
			b.scratch.idle.notAdmitted++
		case target.goneAt.IsZero() && !target.leaving():
			b.scratch.idle.add(target)
		}
	}
	b.scratch.admitted = admitted
	return admitted
}

// VersionsOf is how many targets of each version are registered and not leaving; nil for a
// service that never had a target.
func (b *Balancer) VersionsOf(service string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.services[service]
	if !ok {
		return nil
	}
	counts := make(map[string]int)
	for _, target := range known.targets {
		if target.goneAt.IsZero() && !target.leaving() {
			counts[target.Version]++
		}
	}
	return counts
}

// narrow leaves those of the open targets that the versions want to take the request;
// the others are idle for it. b.mu is held.
func (b *Balancer) narrow(known *service, open []*state, versions Versions) []*state {
	kept := len(open)
	if versions.Rather != "" {
		kept = known.preferred(open, versions.Rather)
	}
	if versions.Only != "" && versions.Share > 0 {
		kept = min(kept, fewOf(versions.Share, b.scratch.idle.notAdmitted))
		b.scratch.scored = firstBy(open, kept, versions.Seed, b.scratch.scored[:0])
	}
	for _, target := range open[kept:] {
		b.scratch.idle.add(target)
	}
	return open[:kept]
}

// preferred moves the targets of a version to the front and returns how many they are;
// all if there are none.
func (s *service) preferred(open []*state, name string) int {
	at := slices.IndexFunc(s.versions, func(known version) bool { return known.targets > 0 && known.name == name })
	if at < 0 {
		return len(open)
	}
	front := 0
	for i, target := range open {
		if target.version != versionID(at) {
			continue
		}
		if front < i {
			open[front], open[i] = target, open[front]
		}
		front++
	}
	if front == 0 {
		return len(open)
	}
	return front
}

// leastFew is how many targets take a version's share at least: by the failures of one
// alone nobody can tell a bad version from a bad target.
const leastFew = 2

// fewOf is how many targets are to take a share of the traffic, so that each is as
// loaded as the others are.
func fewOf(share float64, others int) int {
	return max(int(math.Ceil(share*float64(others))), leastFew)
}

// takesWork says whether a target is registered, not leaving and not in an evacuated
// data centre; b.mu is held.
func (b *Balancer) takesWork(target *state) bool {
	return !target.aside || target.goneAt.IsZero() && !target.leaving() && !b.evacuated[target.DataCenter]
}
