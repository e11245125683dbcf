package balance

import (
	"math"
	"slices"
	"time"
)

// Among very many gateways each is told of every other's requests only after
// seconds, and most requests do not last as long. What a target itself reports
// in an answer is all of its load at once, whoever sent it; gateways pass the
// newest such readings on. A reading is worth less the older it is: in the time
// that a request stays at a target the load has changed, and the best guess is
// the mean of the service.

const (
	// readingsFrom is from how many other gateways readings are used in place of
	// the gateways' own counts. A count is as old as half the time between two
	// beats to a peer, 16 ms for each peer; a reading was half a second old on
	// average in a trial with 103 gateways and 165 targets.
	readingsFrom = 60
	// readingLife is how long a reading is of any use.
	readingLife = 3 * time.Second
	// passedOnFor is how long a reading is passed on.
	passedOnFor = time.Second
	// leastRead is the share of a service's targets of which readings must be
	// known for them to be used.
	leastRead = 0.5
	// settleEvery is the time between two looks at how old readings are.
	settleEvery = 50 * time.Millisecond
	// firstHold is how long requests are taken to stay at a target until some
	// have ended.
	firstHold = time.Second
)

// Reading is a target's load, the requests that it works on or keeps waiting, as
// it reported it in an answer.
type Reading struct {
	// Target is named by the upper half of its hash.
	Target uint32
	Load   int
	At     time.Time
}

// expectation is what readings say of one target's load.
type expectation struct {
	// last is the newest reading; its time is zero for none.
	last Reading
	// load is what is expected by now; it counts only if used is set.
	load float64
	used bool
	// since is how many more requests of this process the target has since the
	// reading.
	since int
	// begunAt is when the last of them began.
	begunAt time.Time
}

// take notes a reading if it is newer than the last; it returns false if not.
func (e *expectation) take(reading Reading) bool {
	if !reading.At.After(e.last.At) {
		return false
	}
	e.last, e.load, e.since = reading, float64(reading.Load), 0
	if e.begunAt.After(reading.At) {
		e.since = 1
	}
	return true
}

// settle works out what is expected by now, of a service with a mean load whose
// requests stay for a time.
func (e *expectation) settle(mean, hold float64, now time.Time) {
	e.used = true
	e.load = mean
	if age := now.Sub(e.last.At); age < readingLife {
		e.load += (float64(e.last.Load) - mean) * math.Exp(-max(age.Seconds(), 0)/hold)
	}
}

// NoteReading notes the load that a target has just reported.
func (b *Balancer) NoteReading(id string, load int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[id]; ok {
		target.expected.take(Reading{Target: shortOf(target.hash), Load: load, At: now})
	}
}

// LearnReadings takes readings that other gateways passed on.
func (b *Balancer) LearnReadings(readings []Reading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, reading := range readings {
		if target, ok := b.byShort[reading.Target]; ok {
			target.expected.take(reading)
		}
	}
}

// Readings are the newest readings, the newest first, at most so many; none
// where few gateways are.
func (b *Balancer) Readings(most int, now time.Time) []Reading {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.useReadings {
		return nil
	}
	var found []Reading
	for _, target := range b.targets {
		if now.Sub(target.expected.last.At) < passedOnFor {
			found = append(found, target.expected.last)
		}
	}
	slices.SortFunc(found, func(x, y Reading) int { return y.At.Compare(x.At) })
	return found[:min(most, len(found))]
}

// settle works out what is expected of the service's targets, if enough of them
// have been read.
func (s *service) settle(useReadings bool, now time.Time) {
	if since := now.Sub(s.settledAt); since >= 0 && since < settleEvery {
		return
	}
	s.settledAt = now
	total, read, listed := 0, 0, 0
	for _, target := range s.targets {
		if !target.goneAt.IsZero() {
			continue
		}
		listed++
		if now.Sub(target.expected.last.At) < readingLife {
			read++
			total += target.expected.last.Load
		}
	}
	s.read = useReadings && read > 0 && float64(read) >= leastRead*float64(listed)
	if !s.read {
		for _, target := range s.targets {
			target.expected.used = false
		}
		return
	}
	mean, hold := float64(total)/float64(read), firstHold.Seconds()
	if s.pacing != nil {
		hold = s.pacing.hold
	}
	for _, target := range s.targets {
		target.expected.settle(mean, hold, now)
	}
}
