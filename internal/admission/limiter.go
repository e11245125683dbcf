package admission

import (
	"sync"
	"time"
)

// ranks is how many ranks of urgency there are; 0 is the most urgent.
const rankCount = 10

// LimiterOptions bound the queue of one service.
type LimiterOptions struct {
	// MinShare is the part of the service's mean share of admitted requests
	// that every rank gets, however much is more urgent; from 0 to 1.
	MinShare float64
	// MaxWaiting bounds the queue, in requests.
	MaxWaiting int
	// HalfLife is how fast past admissions and offers lose their weight in the
	// shares of ranks, and PaceHalfLife in the pace of admissions.
	HalfLife     time.Duration
	PaceHalfLife time.Duration
	// MinRetryAfter is the shortest time to come back after.
	MinRetryAfter time.Duration
}

// DefaultLimiterOptions are the bounds used unless settings say otherwise. The
// figures come from the trials in docs/DECISIONS.md.
func DefaultLimiterOptions() LimiterOptions {
	return LimiterOptions{
		MinShare:   0.5,
		MaxWaiting:  256,
		HalfLife:     2 * time.Second,
		PaceHalfLife: time.Second,
		MinRetryAfter:  100 * time.Millisecond,
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
	queues [rankCount]*fairQueue
	// waiting counts all who wait.
	waiting int
	// granted counts those who were admitted and are not yet counted at a
	// target.
	granted int
	// offered and admitted are the faded counts of each rank.
	offered  [rankCount]decayingCount
	admitted [rankCount]decayingCount
	// admissions is the faded count of all admissions.
	admissions decayingCount
	// lastRetryAt is when the last refused caller was asked to come back.
	lastRetryAt time.Time
}

// NewLimiter returns a limiter in which nobody waits.
func NewLimiter(options LimiterOptions) *Limiter {
	l := &Limiter{options: options}
	for i := range l.queues {
		l.queues[i] = newFairQueue()
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
	rank := min(max(entry.Rank, 0), rankCount-1)
	l.offered[rank].add(1, now, l.options.HalfLife)
	turn := &Turn{limiter: l, rank: rank, waiter: &waiter{
		ticket:   Ticket{Workspace: entry.Workspace},
		queuedAt:    now,
		decided: make(chan struct{}),
	}}
	l.queues[rank].push(turn.waiter)
	l.waiting++
	l.admit(room, now)
	if turn.waiter.state == waiterAdmitted {
		return turn, 0
	}
	if l.waiting > l.options.MaxWaiting || l.estimateWait(turn, now) > entry.Patience {
		l.remove(turn)
		return nil, l.retryAfter(entry.Left, now)
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
func (l *Limiter) Demand() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting + l.granted
}

// RetryAfter is the time after which a caller whose request was turned away is to
// come back; left is how much of its own time is left, zero if unknown.
func (l *Limiter) RetryAfter(left time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryAfter(left, now)
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
		first := l.queues[rank].pop()
		first.state = waiterAdmitted
		l.waiting--
		l.granted++
		l.admitted[rank].add(1, now, l.options.HalfLife)
		l.admissions.add(1, now, l.options.PaceHalfLife)
		close(first.decided)
	}
}

// nextRank is the rank whose turn it is: the most urgent one of those that get
// less than their least share, else the most urgent one; l.mu is held.
func (l *Limiter) nextRank(now time.Time) int {
	first := -1
	minShare := l.options.MinShare * l.meanShare(now)
	for rank, queue := range l.queues {
		if queue.count == 0 {
			continue
		}
		if l.admittedShare(rank, now) < minShare {
			return rank
		}
		if first < 0 {
			first = rank
		}
	}
	return first
}

// admittedShare is the part of a rank's offers that was admitted lately; l.mu is
// held.
func (l *Limiter) admittedShare(rank int, now time.Time) float64 {
	offered := l.offered[rank].valueAt(now, l.options.HalfLife)
	if offered == 0 {
		return 1
	}
	return l.admitted[rank].valueAt(now, l.options.HalfLife) / offered
}

// meanShare is the part of all offers that was admitted lately; l.mu is held.
func (l *Limiter) meanShare(now time.Time) float64 {
	offered, admitted := 0.0, 0.0
	for rank := range rankCount {
		offered += l.offered[rank].valueAt(now, l.options.HalfLife)
		admitted += l.admitted[rank].valueAt(now, l.options.HalfLife)
	}
	if offered == 0 {
		return 1
	}
	return admitted / offered
}

// pace is how many requests a second were admitted lately; l.mu is held.
func (l *Limiter) admissionRate(now time.Time) float64 {
	return l.admissions.rate(now, l.options.PaceHalfLife)
}

const (
	// minSpareRate is the pace below which no time to come back is worked out, in
	// requests a second.
	minSpareRate = 1.0
	// minAdmissionsForEstimate is how many admissions must have been counted lately for a
	// wait to be estimated.
	minAdmissionsForEstimate = 8.0
)

// estimateWait estimates how long a request that has just come will wait; l.mu is
// held. Where too little is known it is zero.
func (l *Limiter) estimateWait(turn *Turn, now time.Time) time.Duration {
	if l.admissions.valueAt(now, l.options.PaceHalfLife) < minAdmissionsForEstimate {
		return 0
	}
	ahead := l.queues[turn.rank].aheadOf(turn.waiter)
	if l.admittedShare(turn.rank, now) >= l.options.MinShare*l.meanShare(now) {
		for rank := range turn.rank {
			ahead += l.queues[rank].count
		}
	}
	return time.Duration(float64(ahead+1) / l.admissionRate(now) * float64(time.Second))
}

// maxRetryFraction is the largest part of the time that a caller has left after
// which it comes back, whatever it is asked.
const maxRetryFraction = 1.0 / 3

// spare is the part of the pace of admissions that is left for callers who come
// back: none once half of the offers are refused, since those who come back
// would only be refused again; l.mu is held.
func (l *Limiter) spareRate(now time.Time) float64 {
	return max(2*l.meanShare(now)-1, 0) * l.admissionRate(now)
}

// retryAfter is the time after which a refused caller is to come back: those
// refused follow each other at the pace that is left for them; l.mu is held.
func (l *Limiter) retryAfter(left time.Duration, now time.Time) time.Duration {
	longest := max(time.Duration(maxRetryFraction*float64(left)), l.options.MinRetryAfter)
	gap := longest
	if pace := l.spareRate(now); pace >= minSpareRate {
		gap = time.Duration(float64(time.Second) / pace)
	}
	earliest := now.Add(l.options.MinRetryAfter)
	next := l.lastRetryAt.Add(gap)
	if next.Before(earliest) {
		next = earliest
	}
	l.lastRetryAt = next
	if latest := now.Add(longest); next.After(latest) {
		next, l.lastRetryAt = latest, latest
	}
	return next.Sub(now)
}

// remove takes a turn out of the queue; l.mu is held.
func (l *Limiter) remove(turn *Turn) {
	l.queues[turn.rank].remove(turn.waiter)
	l.waiting--
}

// Admitted is closed when the request has been admitted.
func (t *Turn) Admitted() <-chan struct{} {
	return t.waiter.decided
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
	return l.retryAfter(left, now), true
}
