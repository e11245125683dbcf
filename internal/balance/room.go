package balance

import (
	"math"
	"time"
)

const (
	// holdWeight is the share of a new request in the moving means of how long
	// requests stay at a target and how soon their callers want an answer.
	holdWeight = 0.02
	// queueShare of the time within which callers want an answer may be spent
	// in a target's own queue.
	queueShare = 0.25
	// leastHeadroom is the number of requests for each of its slots up to which
	// a target has room, at least; mostHeadroom at most.
	leastHeadroom = 1.0
	mostHeadroom  = 3.0
	// firstHeadroom holds until requests of the service have ended.
	firstHeadroom = 1.25
)

// pacing is how long a service's requests stay at a target, and how soon their
// callers want an answer: moving means over requests, in seconds; zero before
// the first.
type pacing struct {
	hold   float64
	wanted float64
}

// headroom is the number of requests for each of its slots up to which a target
// has room: those beyond the slots wait there, for no longer than a share of
// the time within which callers want an answer.
func (p *pacing) headroom() float64 {
	if p == nil || p.hold <= 0 || p.wanted <= 0 {
		return firstHeadroom
	}
	return min(max(1+queueShare*p.wanted/p.hold, leastHeadroom), mostHeadroom)
}

// NoteHold notes how long a request that was answered stayed at a target, and
// within which time its caller wanted the answer or its first event; zero if
// nothing is known of that.
func (b *Balancer) NoteHold(service string, took, wanted time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.serviceOf(service)
	if known.pacing == nil {
		known.pacing = &pacing{hold: took.Seconds(), wanted: wanted.Seconds()}
		return
	}
	known.pacing.hold += holdWeight * (took.Seconds() - known.pacing.hold)
	known.pacing.wanted += holdWeight * (wanted.Seconds() - known.pacing.wanted)
}

// NoteLoad records what a target said of itself in an answer, in flight or done: how many
// requests it works on at once, for targets whose entry does not state it, and its pace.
func (b *Balancer) NoteLoad(life string, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return
	}
	if target.Slots == 0 && load.Slots > 0 {
		target.reportedSlots = load.Slots
	}
	if load.Pace > 0 {
		b.notePace(target, load.Pace, now)
	}
}

// Room is how many more requests the open targets of a service that are of the versions
// which take its requests can take, at most so many. Where no target is open, only such
// as are to be tried first, or one has slots unknown, nothing bounds it: who waited would be
// refused later.
func (b *Balancer) Room(service string, versions Versions, most int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	known := b.serviceOf(service)
	known.admitting = versions
	headroom := known.pacing.headroom()
	if b.manyPeers {
		b.refresh(known, now)
		most = min(most, known.overall.roomLeft(headroom, most))
	}
	if known.plainRoom(headroom, most) >= most {
		return most
	}
	open := b.open(known, nil, versions, now)
	if len(open) == 0 || onlyTries(open) {
		return most
	}
	return roomOf(open, headroom, most)
}

// plainRoom is the room of the admitting versions' targets that were open at the last
// choice and to which nothing has happened since. Where it is enough the others need no
// look.
func (s *service) plainRoom(headroom float64, most int) int {
	everyVersion := !s.boundBy(&s.admitting)
	if !everyVersion {
		s.admit(s.admitting)
	}
	room := 0
	for _, target := range s.targets {
		if target.aside || !everyVersion && !s.versions[target.version].admitted {
			continue
		}
		if room += target.room(headroom, most); room >= most {
			return most
		}
	}
	return room
}

// roomOf is the room of targets, at most so many.
func roomOf(targets []*state, headroom float64, most int) int {
	room := 0
	for _, target := range targets {
		if room += target.room(headroom, most); room >= most {
			return most
		}
	}
	return room
}

// slots is how many requests the target works on at once; zero if unknown.
func (s *state) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return s.reportedSlots
}

// room is how many more requests the target can take at a headroom; unbounded
// if its slots are unknown.
func (s *state) room(headroom float64, unbounded int) int {
	slots := s.slots()
	if s.cold.yet && s.service.cold.Rate > 0 {
		return 1 // until this gateway's next turn
	}
	if s.said.rest.untried() {
		return 1 // until that is answered
	}
	if slots == 0 {
		return unbounded
	}
	return max(int(math.Floor(headroom*float64(slots)-s.reported())), 0)
}

// withRoom are the targets that can take one more request; all if none can.
// b.mu is held.
func (b *Balancer) withRoom(targets []*state, headroom float64) []*state {
	roomy := b.scratch.roomy[:0]
	for _, target := range targets {
		if target.room(headroom, 1) > 0 {
			roomy = append(roomy, target)
		}
	}
	b.scratch.roomy = roomy
	if len(roomy) == 0 {
		return targets
	}
	return roomy
}
