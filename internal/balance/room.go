package balance

import (
	"math"
	"time"
)

const (
	// holdWeight is the weight of a new request in the moving means of how long requests stay
	// at a target and how soon their callers want an answer.
	holdWeight = 0.02
	// queueShare is the fraction of the time within which callers want an answer that may be
	// spent in a target's own queue.
	queueShare = 0.25
	// minHeadroom and maxHeadroom limit the number of requests per slot up to which a target
	// has room.
	minHeadroom = 1.0
	maxHeadroom = 3.0
	// initialHeadroom applies until requests of the service have ended.
	initialHeadroom = 1.25
)

// requestTiming holds how long a service's requests stay at a target and how soon their
// callers want an answer: moving means over requests, in seconds; zero before the first.
type requestTiming struct {
	hold   float64
	wanted float64
}

// headroom returns the number of requests per slot up to which a target has room. Requests
// beyond the slots wait at the target, for at most a fraction of the time within which callers
// want an answer.
func (t *requestTiming) headroom() float64 {
	if t == nil || t.hold <= 0 || t.wanted <= 0 {
		return initialHeadroom
	}
	return min(max(1+queueShare*t.wanted/t.hold, minHeadroom), maxHeadroom)
}

// NoteHold records how long an answered request stayed at a target, and within which time its
// caller wanted the answer or its first event; zero if that is unknown.
func (b *Balancer) NoteHold(service string, took, wanted time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.serviceOf(service)
	if svc.timing == nil {
		svc.timing = &requestTiming{hold: took.Seconds(), wanted: wanted.Seconds()}
		return
	}
	svc.timing.hold += holdWeight * (took.Seconds() - svc.timing.hold)
	svc.timing.wanted += holdWeight * (wanted.Seconds() - svc.timing.wanted)
}

// NoteLoad records the load information in a target's answer, complete or in progress: the
// target's slots, if its entry does not state them, and its pace.
func (b *Balancer) NoteLoad(incarnation string, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return
	}
	if target.Slots == 0 && load.Slots > 0 {
		target.reportedSlots = load.Slots
	}
	if load.Pace > 0 {
		b.recordPace(target, load.Pace, now)
	}
}

// Room returns how many more requests the open targets of the admitted versions of a service
// can take, up to a maximum. It returns the maximum if no target is open, if all open targets
// have to be probed first, or if the slots of one are unknown: a request that waited would be
// refused later.
func (b *Balancer) Room(service string, versions Versions, limit int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	svc := b.serviceOf(service)
	svc.admitting = versions
	headroom := svc.timing.headroom()
	if b.manyPeers {
		b.refreshTotals(svc, now)
		limit = min(limit, svc.load.remainingRoom(headroom, limit))
	}
	if svc.roomWithoutCheck(headroom, limit) >= limit {
		return limit
	}
	open := b.openTargets(svc, nil, versions, now)
	if len(open) == 0 || onlyProbes(open) {
		return limit
	}
	return roomOf(open, headroom, limit)
}

// roomWithoutCheck returns the room of the admitted versions' targets that were open at the
// last choice and have not changed since. If that is enough, the other targets need no check.
func (s *service) roomWithoutCheck(headroom float64, limit int) int {
	everyVersion := !s.restrictedBy(&s.admitting)
	if !everyVersion {
		s.markAdmitted(s.admitting)
	}
	room := 0
	for _, target := range s.targets {
		if target.needsCheck || !everyVersion && !s.versions[target.version].admitted {
			continue
		}
		if room += target.room(headroom, limit); room >= limit {
			return limit
		}
	}
	return room
}

// roomOf returns the room of the targets, up to a maximum.
func roomOf(targets []*state, headroom float64, limit int) int {
	room := 0
	for _, target := range targets {
		if room += target.room(headroom, limit); room >= limit {
			return limit
		}
	}
	return room
}

// slots returns how many requests the target processes at once; zero if unknown.
func (s *state) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return s.reportedSlots
}

// room returns how many more requests the target can take at a given headroom; unbounded if
// its slots are unknown.
func (s *state) room(headroom float64, unbounded int) int {
	slots := s.slots()
	if s.cold.isCold && s.service.cold.Rate > 0 {
		return 1 // until this gateway's next window
	}
	if s.announced.backoff.unprobed() {
		return 1 // until the probe is answered
	}
	if slots == 0 {
		return unbounded
	}
	return max(int(math.Floor(headroom*float64(slots)-s.reportedLoad())), 0)
}

// withRoom returns the targets that can take one more request, or all if none can. The caller
// must hold b.mu.
func (b *Balancer) withRoom(targets []*state, headroom float64) []*state {
	roomy := b.scratch.withRoom[:0]
	for _, target := range targets {
		if target.room(headroom, 1) > 0 {
			roomy = append(roomy, target)
		}
	}
	b.scratch.withRoom = roomy
	if len(roomy) == 0 {
		return targets
	}
	return roomy
}
