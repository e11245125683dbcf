package balance

import (
	"math"
	"slices"
)

// version is one version of a service's targets. Choices iterate over many targets and few
// versions, so names are compared once per version.
type version struct {
	name string
	// targets is the number of known targets of this version.
	targets int
	// admitted reports whether the current query admits the version.
	admitted bool
}

// versionID identifies a version among those of its service.
type versionID uint16

// addToVersion counts a target of a version and adds the version if necessary.
func (s *service) addToVersion(name string) versionID {
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

// removeFromVersion removes a target from its version. The slot of a version without targets
// is reused.
func (s *service) removeFromVersion(id versionID) {
	s.versions[id].targets--
}

// markAdmitted records which versions a query admits.
func (s *service) markAdmitted(versions Versions) {
	for i := range s.versions {
		s.versions[i].admitted = versions.Admits(s.versions[i].name)
	}
}

// restrictedBy reports whether versions exclude any target. They do not if all known targets
// have the same admitted version, as between two rollouts.
func (s *service) restrictedBy(versions *Versions) bool {
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

// admittedTargets returns a service's targets of admitted versions. The others are counted as
// idle for the request. The caller must hold b.mu.
func (b *Balancer) admittedTargets(svc *service, versions Versions) []*state {
	svc.markAdmitted(versions)
	admitted := b.scratch.admitted[:0]
	for _, target := range svc.targets {
		switch {
		case svc.versions[target.version].admitted:
			admitted = append(admitted, target)
		case b.takesWork(target):
			b.scratch.idle.add(target)
			b.scratch.idle.notAdmitted++
		case target.unlistedAt.IsZero() && !target.leaving():
			b.scratch.idle.add(target)
		}
	}
	b.scratch.admitted = admitted
	return admitted
}

// VersionsOf returns how many targets of each version are registered and not leaving; nil for
// a service that never had a target.
func (b *Balancer) VersionsOf(service string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc, ok := b.services[service]
	if !ok {
		return nil
	}
	counts := make(map[string]int)
	for _, target := range svc.targets {
		if target.unlistedAt.IsZero() && !target.leaving() {
			counts[target.Version]++
		}
	}
	return counts
}

// applyVersions reduces the open targets to those that the versions select for the request.
// The others are counted as idle for it. The caller must hold b.mu.
func (b *Balancer) applyVersions(svc *service, open []*state, versions Versions) []*state {
	kept := len(open)
	if versions.Preferred != "" {
		kept = svc.movePreferredFirst(open, versions.Preferred)
	}
	if versions.Only != "" && versions.Share > 0 {
		kept = min(kept, shareTargets(versions.Share, b.scratch.idle.notAdmitted))
		b.scratch.scored = moveTopScored(open, kept, versions.Seed, b.scratch.scored[:0])
	}
	for _, target := range open[kept:] {
		b.scratch.idle.add(target)
	}
	return open[:kept]
}

// movePreferredFirst moves the targets of a version to the front and returns their number, or
// the number of all targets if there are none.
func (s *service) movePreferredFirst(open []*state, name string) int {
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

// minShareTargets is the minimum number of targets that take a version's share: the failures
// of a single target do not tell a bad version from a bad target.
const minShareTargets = 2

// shareTargets returns how many targets take a share of the traffic, so that each of them is
// as loaded as the others are.
func shareTargets(share float64, others int) int {
	return max(int(math.Ceil(share*float64(others))), minShareTargets)
}

// takesWork reports whether a target is registered, not leaving and not in an evacuated data
// centre. The caller must hold b.mu.
func (b *Balancer) takesWork(target *state) bool {
	return !target.needsCheck || target.unlistedAt.IsZero() && !target.leaving() && !b.evacuated[target.DataCenter]
}
