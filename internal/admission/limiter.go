package admission

import (
	"sync"
	"time"
)

// rankCount is the number of priority ranks; 0 is the most urgent.
const rankCount = 10

// LimiterOptions are the limits of a service's queue.
type LimiterOptions struct {
	// MinShare is the part of the service's mean admitted share that every rank gets at least,
	// however many more urgent requests there are; from 0 to 1.
	MinShare float64
	// MaxWaiting limits the queue, in requests.
	MaxWaiting int
	// HalfLife is the half-life of past offers and admissions in the shares of ranks, and
	// RateHalfLife that of admissions in the admission rate.
	HalfLife     time.Duration
	RateHalfLife time.Duration
	// MinRetryAfter is the shortest time after which a refused caller retries.
	MinRetryAfter time.Duration
}

// DefaultLimiterOptions returns the limits used unless settings override them. The values come
// from the trials in docs/DECISIONS.md.
func DefaultLimiterOptions() LimiterOptions {
	return LimiterOptions{
		MinShare:      0.5,
		MaxWaiting:    256,
		HalfLife:      2 * time.Second,
		RateHalfLife:  time.Second,
		MinRetryAfter: 100 * time.Millisecond,
	}
}

// Entry describes a request that asks for admission to a service.
type Entry struct {
	Workspace string
	// Rank is the priority, below 10; 0 is served first.
	Rank int
	// Patience is how long the request may wait in the queue.
	Patience time.Duration
	// Left is the time until the caller's deadline; zero if unknown.
	Left time.Duration
}

// Limiter is a gateway's queue in front of all targets of one service. A request is admitted while
// the targets have room. Otherwise requests wait: more urgent ones are served first, workspaces of
// the same rank take turns, and a request that would wait longer than its patience is refused with
// a time after which to retry.
//
// It does no I/O: callers pass in the time and the targets' room. It is safe for concurrent use.
type Limiter struct {
	options LimiterOptions

	mu sync.Mutex
	// queues hold the waiting requests by rank.
	queues [rankCount]*fairQueue
	// waiting counts the requests in all queues.
	waiting int
	// granted counts the requests that were admitted and are not yet counted at a target.
	granted int
	// offered and admitted are the decayed counts of each rank.
	offered  [rankCount]decayingCount
	admitted [rankCount]decayingCount
	// admissions is the decayed count of all admissions.
	admissions decayingCount
	// lastRetryAt is the latest time at which a refused caller was asked to retry.
	lastRetryAt time.Time
}

// NewLimiter returns a limiter with an empty queue.
func NewLimiter(options LimiterOptions) *Limiter {
	l := &Limiter{options: options}
	for i := range l.queues {
		l.queues[i] = newFairQueue()
	}
	return l
}

// Turn is a request in the queue, or one that has been admitted.
type Turn struct {
	limiter *Limiter
	waiter  *waiter
	rank    int
	// begun is set once the admission has been used or given back.
	begun bool
}

// Offer asks for a request to be admitted. room is how many more requests the service's targets
// can take now, not counting this one. If the request is refused, the turn is nil and the caller
// may retry after the returned time.
func (l *Limiter) Offer(entry Entry, room int, now time.Time) (*Turn, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := min(max(entry.Rank, 0), rankCount-1)
	l.offered[rank].add(1, now, l.options.HalfLife)
	turn := &Turn{limiter: l, rank: rank, waiter: &waiter{
		ticket:   Ticket{Workspace: entry.Workspace},
		queuedAt: now,
		decided:  make(chan struct{}),
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

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// Demand returns how much room would suffice for all requests that wait, or that were admitted and
// are not yet counted at a target.
func (l *Limiter) Demand() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting + l.granted
}

// RetryAfter returns the time after which a caller whose request was refused should retry.
// remaining is the time until the caller's deadline, zero if unknown.
func (l *Limiter) RetryAfter(remaining time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryAfter(remaining, now)
}

// Admit admits queued requests while there is room.
func (l *Limiter) Admit(room int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admit(room, now)
}

// admit admits queued requests in order while there is room. The caller must hold l.mu.
func (l *Limiter) admit(room int, now time.Time) {
	for l.granted < room && l.waiting > 0 {
		rank := l.nextRank(now)
		next := l.queues[rank].pop()
		next.state = waiterAdmitted
		l.waiting--
		l.granted++
		l.admitted[rank].add(1, now, l.options.HalfLife)
		l.admissions.add(1, now, l.options.RateHalfLife)
		close(next.decided)
	}
}

// nextRank returns the rank to serve next: the most urgent rank whose admitted share is below the
// minimum, or else the most urgent one with a waiting request. The caller must hold l.mu.
func (l *Limiter) nextRank(now time.Time) int {
	mostUrgent := -1
	minShare := l.options.MinShare * l.meanShare(now)
	for rank, queue := range l.queues {
		if queue.count == 0 {
			continue
		}
		if l.admittedShare(rank, now) < minShare {
			return rank
		}
		if mostUrgent < 0 {
			mostUrgent = rank
		}
	}
	return mostUrgent
}

// admittedShare returns the recently admitted part of a rank's offers. The caller must hold l.mu.
func (l *Limiter) admittedShare(rank int, now time.Time) float64 {
	offered := l.offered[rank].valueAt(now, l.options.HalfLife)
	if offered == 0 {
		return 1
	}
	return l.admitted[rank].valueAt(now, l.options.HalfLife) / offered
}

// meanShare returns the recently admitted part of all offers. The caller must hold l.mu.
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

// admissionRate returns the recent admissions per second. The caller must hold l.mu.
func (l *Limiter) admissionRate(now time.Time) float64 {
	return l.admissions.rate(now, l.options.RateHalfLife)
}

const (
	// minSpareRate is the spare rate, in requests per second, below which no time to retry is
	// computed from it.
	minSpareRate = 1.0
	// minAdmissionsForEstimate is how many recent admissions are needed to estimate a wait.
	minAdmissionsForEstimate = 8.0
)

// estimateWait estimates how long a newly queued request will wait. It returns zero if there were
// too few admissions to tell. The caller must hold l.mu.
func (l *Limiter) estimateWait(turn *Turn, now time.Time) time.Duration {
	if l.admissions.valueAt(now, l.options.RateHalfLife) < minAdmissionsForEstimate {
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

// maxRetryFraction limits the time after which a caller is asked to retry, as a part of its
// remaining time. A caller that is asked to wait longer retries sooner by itself.
const maxRetryFraction = 1.0 / 3

// spareRate returns the part of the admission rate that is available to callers that retry. It is
// zero once half of the offers are refused, since retries would only be refused again. The caller
// must hold l.mu.
func (l *Limiter) spareRate(now time.Time) float64 {
	return max(2*l.meanShare(now)-1, 0) * l.admissionRate(now)
}

// retryAfter returns the time after which a refused caller should retry. Successive refused callers
// are spaced out at the spare rate. The caller must hold l.mu.
func (l *Limiter) retryAfter(remaining time.Duration, now time.Time) time.Duration {
	longest := max(time.Duration(maxRetryFraction*float64(remaining)), l.options.MinRetryAfter)
	gap := longest
	if rate := l.spareRate(now); rate >= minSpareRate {
		gap = time.Duration(float64(time.Second) / rate)
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

// remove takes a request out of the queue. The caller must hold l.mu.
func (l *Limiter) remove(turn *Turn) {
	l.queues[turn.rank].remove(turn.waiter)
	l.waiting--
}

// Admitted returns a channel that is closed when the request has been admitted.
func (t *Turn) Admitted() <-chan struct{} {
	return t.waiter.decided
}

// Begin records that the admitted request is now counted at a target, or has been given up.
func (t *Turn) Begin() {
	t.limiter.mu.Lock()
	defer t.limiter.mu.Unlock()
	if t.waiter.state == waiterAdmitted && !t.begun {
		t.begun = true
		t.limiter.granted--
	}
}

// Leave takes a request out of the queue and returns the time after which its caller may retry. It
// returns false if the request has been admitted in the meantime.
func (t *Turn) Leave(remaining time.Duration, now time.Time) (time.Duration, bool) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.waiter.state == waiterAdmitted {
		return 0, false
	}
	l.remove(t)
	return l.retryAfter(remaining, now), true
}
