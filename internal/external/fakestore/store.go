// Package fakestore is a small stand-in for the platform's key-value service:
// compare-and-swap, watches, outage, slowness, lost answers, a rate limit and
// a count of calls. It serves tests in-process and others over HTTP.
package fakestore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/capersaddle/capersaddle/internal/external"
)

// ErrAway is what a call meets during an outage.
var ErrAway = errors.New("store is away")

// ErrLost is what a caller sees when the answer got lost.
var ErrLost = errors.New("store's answer was lost")

// ErrRate is what a call over the rate limit meets.
var ErrRate = errors.New("store's rate is exceeded")

// Counts are the calls so far.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
}

// Store is the stand-in.
type Store struct {
	mu      sync.Mutex
	values  map[string]external.Value
	changed chan struct{}
	away    bool
	slow    time.Duration
	// lose is how many of the next writes take effect but lose their answer.
	lose   int
	reads  *rate.Limiter
	writes *rate.Limiter
	counts Counts
}

// New returns an empty store without limits.
func New() *Store {
	return &Store{
		values:  make(map[string]external.Value),
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(rate.Inf, 0),
		writes:  rate.NewLimiter(rate.Inf, 0),
	}
}

// SetRates limits reads and writes a second.
func (s *Store) SetRates(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = rate.NewLimiter(rate.Limit(reads), reads)
	s.writes = rate.NewLimiter(rate.Limit(writes), writes)
}

// SetAway begins or ends an outage; waiting watches fail when it begins.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// SetSlow delays each call.
func (s *Store) SetSlow(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = delay
}

// LoseAnswers lets the next n writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot copies all values, for a later Restore.
func (s *Store) Snapshot() map[string]external.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// Restore puts the store back to an older state.
func (s *Store) Restore(values map[string]external.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = maps.Clone(values)
	s.wake()
}

// wake lets all watches look again; s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call and meets it with what is wrong with the store.
func (s *Store) begin(ctx context.Context, counter *int, limiter *rate.Limiter) error {
	s.mu.Lock()
	*counter++
	away, slow := s.away, s.slow
	s.mu.Unlock()
	if away {
		return ErrAway
	}
	if !limiter.Allow() {
		return ErrRate
	}
	if slow == 0 {
		return nil
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Get reads a value.
func (s *Store) Get(ctx context.Context, key string) (external.Value, error) {
	if err := s.begin(ctx, &s.counts.Reads, s.reads); err != nil {
		return external.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.values[key]
	if !ok {
		return external.Value{}, external.ErrNotFound
	}
	return value, nil
}

// Put writes a value over a known version.
func (s *Store) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	if err := s.begin(ctx, &s.counts.Writes, s.writes); err != nil {
		return 0, err
	}
	if len(data) > external.MaxValue {
		return 0, errors.Newf("value of %d bytes is over %d", len(data), external.MaxValue)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.values[key].Version
	if known != base {
		return 0, external.ErrVersion
	}
	s.values[key] = external.Value{Data: slices.Clone(data), Version: known + 1}
	s.wake()
	if s.lose > 0 {
		s.lose--
		return 0, ErrLost
	}
	return known + 1, nil
}

// Delete removes a value.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.begin(ctx, &s.counts.Writes, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	s.wake()
	return nil
}

// Watch waits until the key's version differs from known.
func (s *Store) Watch(ctx context.Context, key string, known uint64) (external.Value, error) {
	if err := s.begin(ctx, &s.counts.Watches, s.reads); err != nil {
		return external.Value{}, err
	}
	for {
		s.mu.Lock()
		value, changed, away := s.values[key], s.changed, s.away
		s.mu.Unlock()
		if away {
			return external.Value{}, ErrAway
		}
		if value.Version != known {
			return value, nil
		}
		select {
		case <-ctx.Done():
			return external.Value{}, ctx.Err()
		case <-changed:
		}
	}
}
