package balance

import (
	"math/rand/v2"
	"time"
)

// A target that turns a request away may ask the gateway for rest. For that long the gateway
// sends it nothing; its share goes to the others, and counts in the bounds on their loads as
// that of idle targets does. The target asked this gateway, not all of them: each takes off its
// own part when it is asked, so that the load moves as gradually as the target asks, and no
// bytes pass between gateways.
//
// At the end one request tries. Only when it is answered without another wish for rest do
// others follow: whoever rests again costs a gateway one request, and what many gateways have
// kept back for it does not come at the same moment.

const (
	// tryFor is how long a try without an answer keeps others back.
	tryFor = time.Second
	// tryPace is the time between the tries of two gateways that were asked to rest at the
	// same moment, and mostTryOffset bounds what that takes for all of them.
	tryPace       = 5 * time.Millisecond
	mostTryOffset = 2 * time.Second
	// newsOfRest is by how much a rest must grow to be worth telling again: each request that was
	// under way when the target asked first is turned away with a time of its own.
	newsOfRest = 500 * time.Millisecond
)

// rest is what a target has asked this gateway for.
type rest struct {
	// until is the end of the longest rest asked for; zero if none was, or one has been tried
	// with success since.
	until time.Time
	// backAt is from when the gateway tries, not before until.
	backAt time.Time
	// triedAt is when the try that is under way was chosen; zero if none is.
	triedAt time.Time
}

// extend has the rest last until a moment, if that is later than what is known. It says
// whether that is worth telling.
func (r *rest) extend(until time.Time, offset time.Duration, now time.Time) (news bool) {
	if !until.After(r.until) {
		return false
	}
	news = !r.wanted(now) || until.Sub(r.until) >= newsOfRest
	*r = rest{until: until, backAt: until.Add(offset)}
	return news
}

// wanted says whether the target wants nothing now.
func (r *rest) wanted(now time.Time) bool { return now.Before(r.until) }

// untried says whether a rest has ended, or will, that no request has shown to be over.
func (r *rest) untried() bool { return !r.until.IsZero() }

// holdsBack says whether the target is to get no request now: it rests, or another request
// tries.
func (r *rest) holdsBack(now time.Time) bool {
	return r.untried() && (now.Before(r.backAt) || now.Sub(r.triedAt) < tryFor)
}

// tryOffset is how much later than the end of a rest this gateway tries. b.mu is held.
func (b *Balancer) tryOffset(target *state) time.Duration {
	whole := min(tryPace*time.Duration(b.gateways.Count), mostTryOffset)
	return time.Duration(b.turnAt(target) * float64(whole))
}

// EndTry notes that a request which tried a target after a rest has been answered, so that
// others may follow unless the target has asked for another rest meanwhile, or that it has
// ended without an answer, so that another one may try.
func (b *Balancer) EndTry(life string, answered bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return
	}
	if answered && !target.said.rest.wanted(now) {
		target.said.rest = rest{}
	}
	target.said.rest.triedAt = time.Time{}
	target.aside = true
}

const (
	// backShare of the time until a target is back, at least leastBackSpread and at most
	// mostBackSpread, is over how long callers are spread who are told to come back then.
	backShare       = 0.25
	leastBackSpread = 50 * time.Millisecond
	mostBackSpread  = time.Second
	// mostBack bounds that time: who joins meanwhile serves at once, and a target that wants
	// hours of rest is no reason to stay away for hours.
	mostBack = 30 * time.Second
)

// BackIn is when a caller for whom no target is open may come back, since a target that rests
// is back then; false if a target is open, or none rests. Callers are spread over a while
// after it.
func (b *Balancer) BackIn(query Query, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.serviceOf(query.Service)
	if len(b.open(known, nil, query.Versions, now)) > 0 {
		return 0, false
	}
	back, found := time.Duration(0), false
	for _, target := range known.targets {
		if target.leaving() || !target.goneAt.IsZero() || b.evacuated[target.DataCenter] || !target.said.rest.holdsBack(now) || !query.Versions.Admits(target.Version) {
			continue
		}
		left := max(target.said.rest.backAt.Sub(now), 0)
		if !found || left < back {
			back, found = left, true
		}
	}
	if !found {
		return 0, false
	}
	back = min(back, mostBack)
	spread := min(max(time.Duration(backShare*float64(back)), leastBackSpread), mostBackSpread)
	return back + rand.N(spread), true
}

// onlyTries says whether all of some targets are to be tried first.
func onlyTries(targets []*state) bool {
	for _, target := range targets {
		if !target.said.rest.untried() {
			return false
		}
	}
	return true
}
