package balance

import "time"

// formerTTL is how long the versions of a service's former targets are remembered.
const formerTTL = time.Hour

// servesOn is how long a target may serve at most after its entry has disappeared, unless it announced that
// it leaves: it waits for as long as others do after their announcement, and for the requests in flight.
const servesOn = time.Minute

// noteFormerVersion remembers the version of a target that is removed from the service's lists.
func (s *service) noteFormerVersion(name string, now time.Time) {
	if s.formerVersions == nil {
		s.formerVersions = make(map[string]time.Time)
	}
	s.formerVersions[name] = now
	for former, at := range s.formerVersions {
		if now.Sub(at) > formerTTL {
			delete(s.formerVersions, former)
		}
	}
}

// SoleVersion returns the only version that a service's targets had throughout a span until now, at
// most formerTTL, as far as this process knows. It returns false if there was another one, or if the
// process has not known the targets for so long.
func (b *Balancer) SoleVersion(service string, span time.Duration, now time.Time) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc, ok := b.services[service]
	if !ok || span > formerTTL || svc.knownSince.IsZero() || now.Sub(svc.knownSince) < span {
		return "", false
	}
	sole, found := "", false
	for _, target := range svc.targets {
		if target.unlistedFor(now) > span+servesOn {
			continue
		}
		if target.VersionUnknown || found && target.Version != sole {
			return "", false
		}
		sole, found = target.Version, true
	}
	for former, at := range svc.formerVersions {
		if former != sole && now.Sub(at) <= span {
			return "", false
		}
	}
	return sole, found
}

// VersionNamed returns the version of a service's known targets that satisfies a condition; false if
// there is none.
func (b *Balancer) VersionNamed(service string, matches func(version string) bool) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc, ok := b.services[service]
	if !ok {
		return "", false
	}
	for i := range svc.versions {
		if known := svc.versions[i]; known.targets > 0 && matches(known.name) {
			return known.name, true
		}
	}
	return "", false
}
