// Package fakestore is a small fake of the platform's key-value service: compare-and-swap,
// watches, outages, slow calls, lost responses, a rate limit and a count of calls. It serves
// tests in-process and other processes over HTTP.
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

// ErrAway is the error of calls during an outage.
var ErrAway = errors.New("store is unavailable")

// ErrLost is the error of a call whose response is lost.
var ErrLost = errors.New("store's response was lost")

// ErrRate is the error of a call over the rate limit.
var ErrRate = errors.New("store's rate limit is exceeded")

// Counts holds the number of calls so far.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
}

// Store is the fake store.
type Store struct {
	mu      sync.Mutex
	values  map[string]external.Value
	changed chan struct{}
	away    bool
	delay   time.Duration
	// lostAnswers is the number of next writes that take effect but lose their response.
	lostAnswers int
	reads       *rate.Limiter
	writes      *rate.Limiter
	counts      Counts
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

// SetRates limits the reads and writes per second.
func (s *Store) SetRates(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = rate.NewLimiter(rate.Limit(reads), reads)
	s.writes = rate.NewLimiter(rate.Limit(writes), writes)
}

// SetAway starts or ends an outage; waiting watches fail when it starts.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wakeWatches()
}

// SetSlow delays each call.
func (s *Store) SetSlow(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// LoseAnswers makes the next n writes take effect without a response.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswers = n
}

// Counts returns the number of calls so far.
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

// Restore resets the store to an older state.
func (s *Store) Restore(values map[string]external.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = maps.Clone(values)
	s.wakeWatches()
}

// wakeWatches makes all watches check their key again; s.mu is held.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// startCall counts a call and applies the store's faults to it.
func (s *Store) startCall(ctx context.Context, counter *int, limiter *rate.Limiter) error {
	s.mu.Lock()
	*counter++
	away, slow := s.away, s.delay
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
	if err := s.startCall(ctx, &s.counts.Reads, s.reads); err != nil {
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

// Put writes a value if the key's version is base.
func (s *Store) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	if err := s.startCall(ctx, &s.counts.Writes, s.writes); err != nil {
		return 0, err
	}
	if len(data) > external.MaxValue {
		return 0, errors.Newf("value of %d bytes exceeds the limit of %d", len(data), external.MaxValue)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.values[key].Version
	if known != base {
		return 0, external.ErrVersion
	}
	s.values[key] = external.Value{Data: slices.Clone(data), Version: known + 1}
	s.wakeWatches()
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, ErrLost
	}
	return known + 1, nil
}

// Delete removes a value.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.startCall(ctx, &s.counts.Writes, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	s.wakeWatches()
	return nil
}

// Watch waits until the key's version differs from known.
func (s *Store) Watch(ctx context.Context, key string, known uint64) (external.Value, error) {
	if err := s.startCall(ctx, &s.counts.Watches, s.reads); err != nil {
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
