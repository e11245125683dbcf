package admission

import (
	"sync"
	"time"
)

// ranks is how many ranks of urgency there are; 0 is the most urgent.
const ranks = 10

// LimiterOptions bound the queue of one service.
type LimiterOptions struct {
	// LeastShare is the part of the service's mean share of admitted requests
	// that every rank gets, however much is more urgent; from 0 to 1.
	LeastShare float64
	// MostWaiting bounds the queue, in requests.
	MostWaiting int
	// HalfLife is how fast past admissions and offers lose their weight in the
	// shares of ranks, and PaceHalfLife in the pace of admissions.
	HalfLife     time.Duration
	PaceHalfLife time.Duration
	// LeastReturn is the shortest time to come back after.
	LeastReturn time.Duration
}

// DefaultLimiterOptions are the bounds used unless settings say otherwise. The
// figures come from the trials in docs/DECISIONS.md.
func DefaultLimiterOptions() LimiterOptions {
	return LimiterOptions{
		LeastShare:   0.5,
		MostWaiting:  256,
		HalfLife:     2 * time.Second,
		PaceHalfLife: time.Second,
		LeastReturn:  100 * time.Millisecond,
	}
}

// Entry is a request that asks to be admitted to a service.
type Entry struct {
	Workspace string
	// Rank is the urgency, 0 first, below 10.
	Rank int
	// Patience is how long the request may wait in the queue.
	Patience time.Duration
	// Left is how much of the caller's own time is left; zero if unknown.
	Left time.Duration
}

// Limiter is a gateway's queue before all targets of one service. A request is
// admitted while the targets have room. Otherwise the most urgent waits ahead
// of the less urgent, workspaces of the same rank take turns, and whoever would
// wait longer than its patience is refused with a time to come back.
//
// It does no I/O: the clock and the targets' room are handed in. It is safe
// for concurrent use.
type Limiter struct {
	options LimiterOptions

	mu sync.Mutex
	// lines hold those who wait, by rank.
	lines [ranks]*class
	// waiting counts all who wait.
	waiting int
	// granted counts those who were admitted and are not yet counted at a
	// target.
	granted int
	// offered and admitted are the faded counts of each rank.
	offered  [ranks]decayed
	admitted [ranks]decayed
	// admissions is the faded count of all admissions.
	admissions decayed
	// lastReturn is when the last refused caller was asked to come back.
	lastReturn time.Time
}

// NewLimiter returns a limiter in which nobody waits.
func NewLimiter(options LimiterOptions) *Limiter {
	l := &Limiter{options: options}
	for i := range l.lines {
		l.lines[i] = newClass()
	}
	return l
}

// Turn is a request's place in the queue, or its admission.
type Turn struct {
	limiter *Limiter
	waiter  *waiter
	rank    int
	// begun says that the admission has been used or given back.
	begun bool
}

// Offer asks for a request to be admitted. room is how many more requests the
// service's targets can take now, this one not counted. The turn is nil if the
// request is refused; its caller may then come back after the time returned.
func (l *Limiter) Offer(entry Entry, room int, now time.Time) (*Turn, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := min(max(entry.Rank, 0), ranks-1)
	l.offered[rank].add(1, now, l.options.HalfLife)
	turn := &Turn{limiter: l, rank: rank, waiter: &waiter{
		ticket:   Ticket{Workspace: entry.Workspace},
		since:    now,
		admitted: make(chan struct{}),
	}}
	l.lines[rank].push(turn.waiter)
	l.waiting++
	l.admit(room, now)
	if turn.waiter.state == waiterAdmitted {
		return turn, 0
	}
	if l.waiting > l.options.MostWaiting || l.waitOf(turn, now) > entry.Patience {
		l.remove(turn)
		return nil, l.comeBack(entry.Left, now)
	}
	return turn, 0
}

// Waiting counts the requests in the queue.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// Wants is how much room would be enough for all who wait or were admitted and
// are not yet counted at a target.
func (l *Limiter) Wants() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting + l.granted
}

// ComeBack is the time after which a caller whose request was turned away is to
// come back; left is how much of its own time is left, zero if unknown.
func (l *Limiter) ComeBack(left time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.comeBack(left, now)
}

// Admit admits those who wait while there is room.
func (l *Limiter) Admit(room int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admit(room, now)
}

// admit gives room to those who wait, in order; l.mu is held.
func (l *Limiter) admit(room int, now time.Time) {
	for l.granted < room && l.waiting > 0 {
		rank := l.nextRank(now)
		first := l.lines[rank].take()
		first.state = waiterAdmitted
		l.waiting--
		l.granted++
		l.admitted[rank].add(1, now, l.options.HalfLife)
		l.admissions.add(1, now, l.options.PaceHalfLife)
		close(first.admitted)
	}
}

// nextRank is the rank whose turn it is: the most urgent one of those that get
// less than their least share, else the most urgent one; l.mu is held.
func (l *Limiter) nextRank(now time.Time) int {
	first := -1
	least := l.options.LeastShare * l.meanShare(now)
	for rank, line := range l.lines {
		if line.count == 0 {
			continue
		}
		if l.shareOf(rank, now) < least {
			return rank
		}
		if first < 0 {
			first = rank
		}
	}
	return first
}

// shareOf is the part of a rank's offers that was admitted lately; l.mu is
// held.
func (l *Limiter) shareOf(rank int, now time.Time) float64 {
	offered := l.offered[rank].read(now, l.options.HalfLife)
	if offered == 0 {
		return 1
	}
	return l.admitted[rank].read(now, l.options.HalfLife) / offered
}

// meanShare is the part of all offers that was admitted lately; l.mu is held.
func (l *Limiter) meanShare(now time.Time) float64 {
	offered, admitted := 0.0, 0.0
	for rank := range ranks {
		offered += l.offered[rank].read(now, l.options.HalfLife)
		admitted += l.admitted[rank].read(now, l.options.HalfLife)
	}
	if offered == 0 {
		return 1
	}
	return admitted / offered
}

// pace is how many requests a second were admitted lately; l.mu is held.
func (l *Limiter) pace(now time.Time) float64 {
	return l.admissions.perSecond(now, l.options.PaceHalfLife)
}

const (
	// leastPace is the pace below which no time to come back is worked out, in
	// requests a second.
	leastPace = 1.0
	// leastKnown is how many admissions must have been counted lately for a
	// wait to be estimated.
	leastKnown = 8.0
)

// waitOf estimates how long a request that has just come will wait; l.mu is
// held. Where too little is known it is zero.
func (l *Limiter) waitOf(turn *Turn, now time.Time) time.Duration {
	if l.admissions.read(now, l.options.PaceHalfLife) < leastKnown {
		return 0
	}
	ahead := l.lines[turn.rank].ahead(turn.waiter)
	if l.shareOf(turn.rank, now) >= l.options.LeastShare*l.meanShare(now) {
		for rank := range turn.rank {
			ahead += l.lines[rank].count
		}
	}
	return time.Duration(float64(ahead+1) / l.pace(now) * float64(time.Second))
}

// returnPart is the largest part of the time that a caller has left after
// which it comes back, whatever it is asked.
const returnPart = 1.0 / 3

// spare is the part of the pace of admissions that is left for callers who come
// back: none once half of the offers are refused, since those who come back
// would only be refused again; l.mu is held.
func (l *Limiter) spare(now time.Time) float64 {
	return max(2*l.meanShare(now)-1, 0) * l.pace(now)
}

// comeBack is the time after which a refused caller is to come back: those
// refused follow each other at the pace that is left for them; l.mu is held.
func (l *Limiter) comeBack(left time.Duration, now time.Time) time.Duration {
	most := max(time.Duration(returnPart*float64(left)), l.options.LeastReturn)
	gap := most
	if pace := l.spare(now); pace >= leastPace {
		gap = time.Duration(float64(time.Second) / pace)
	}
	earliest := now.Add(l.options.LeastReturn)
	next := l.lastReturn.Add(gap)
	if next.Before(earliest) {
		next = earliest
	}
	l.lastReturn = next
	if latest := now.Add(most); next.After(latest) {
		next, l.lastReturn = latest, latest
	}
	return next.Sub(now)
}

// remove takes a turn out of the queue; l.mu is held.
func (l *Limiter) remove(turn *Turn) {
	l.lines[turn.rank].remove(turn.waiter)
	l.waiting--
}

// Admitted is closed when the request has been admitted.
func (t *Turn) Admitted() <-chan struct{} {
	return t.waiter.admitted
}

// Begin notes that the request, which has been admitted, is now counted at a
// target, or is given up.
func (t *Turn) Begin() {
	t.limiter.mu.Lock()
	defer t.limiter.mu.Unlock()
	if t.waiter.state == waiterAdmitted && !t.begun {
		t.begun = true
		t.limiter.granted--
	}
}

// Leave takes a request out of the queue. It returns false if the request has
// been admitted meanwhile. Otherwise its caller may come back after the time
// returned.
func (t *Turn) Leave(left time.Duration, now time.Time) (time.Duration, bool) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.waiter.state == waiterAdmitted {
		return 0, false
	}
	l.remove(t)
	return l.comeBack(left, now), true
}
