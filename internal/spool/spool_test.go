package spool

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// slowReader is a caller's connection that accepts a limited number of bytes.
type slowReader struct {
	mu       sync.Mutex
	wake     *sync.Cond
	capacity int
	got      bytes.Buffer
	writes   int
	broken   error
}

func newSlowReader(capacity int) *slowReader {
	r := &slowReader{capacity: capacity}
	r.wake = sync.NewCond(&r.mu)
	return r
}

func (r *slowReader) Write(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	for len(data) > 0 {
		for r.capacity == 0 && r.broken == nil {
			r.wake.Wait()
		}
		if r.broken != nil {
			return r.broken
		}
		n := min(r.capacity, len(data))
		r.got.Write(data[:n])
		r.capacity -= n
		data = data[n:]
	}
	return nil
}

// read adds capacity for more bytes.
func (r *slowReader) read(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity += bytes
	r.wake.Broadcast()
}

func (r *slowReader) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = errors.New("interrupted")
	r.wake.Broadcast()
}

func (r *slowReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

const unlimited = 1 << 30

// endRecorder records the callers that were ended.
type endRecorder struct {
	mu      sync.Mutex
	reasons []error
}

func (e *endRecorder) record(_ int, reason error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reasons = append(e.reasons, reason)
}

func (e *endRecorder) all() []error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.reasons)
}

func newSpools(maxPerCaller int, limit int64) (*Spools, *Budget, *endRecorder) {
	ended := new(endRecorder)
	budget := NewBudget(limit)
	return New(Options{MaxPerCaller: maxPerCaller, WriteTimeout: DefaultWriteTimeout, CallerEnded: ended.record}, budget), budget, ended
}

// TestBlockedCallerDelaysNoOther covers a caller that stops reading: its target's answer is read to
// its end, the other callers get theirs, and it gets its complete answer once it reads again.
func TestBlockedCallerDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, budget, ended := newSpools(DefaultMaxPerCaller, unlimited)
		stopped, unblocked := newSlowReader(0), newSlowReader(unlimited)
		slow, quick := spools.Open(stopped, 0), spools.Open(unblocked, 0)
		want := ""
		for i := range 80 {
			event := fmt.Sprintf("id: %d\n\n", i)
			want += event
			is.NoErr(slow.Write([]byte(event))) // doesn't wait
			is.NoErr(quick.Write([]byte(event)))
		}
		is.NoErr(quick.Close())
		is.Equal(unblocked.text(), want)
		is.Equal(int(budget.Held()), len(want))
		go func() {
			time.Sleep(10 * time.Second)
			stopped.read(unlimited)
		}()
		is.NoErr(slow.Close())
		is.Equal(stopped.text(), want)
		is.Equal(budget.Held(), int64(0))
		is.Equal(len(ended.all()), 0)
	})
}

// TestCallerReadingOneBytePerSecond checks that such a caller gets its answer, since it makes
// progress and memory isn't short.
func TestCallerReadingOneBytePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, _, _ := newSpools(DefaultMaxPerCaller, unlimited)
		caller := newSlowReader(0)
		p := spools.Open(caller, 0)
		for range 25 {
			is.NoErr(p.Write([]byte("x")))
		}
		go func() {
			for range 25 {
				time.Sleep(time.Second)
				caller.read(1)
			}
		}()
		is.NoErr(p.Close())
		is.Equal(len(caller.text()), 25)
	})
}

// TestWriteTimeoutEndsCaller checks that a caller that reads nothing for long without disconnecting
// is ended and that nothing is held for it any more.
func TestWriteTimeoutEndsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, budget, ended := newSpools(DefaultMaxPerCaller, unlimited)
		p := spools.Open(newSlowReader(3), 0)
		is.NoErr(p.Write([]byte("more than three")))
		began := time.Now()
		is.Equal(p.Close(), ErrWriteTimeout)
		is.Equal(time.Since(began), DefaultWriteTimeout)
		is.Equal(p.Write([]byte("late")), ErrWriteTimeout)
		is.Equal(budget.Held(), int64(0))
		is.Equal(ended.all(), []error{ErrWriteTimeout})
	})
}

// TestMaxPerCallerBlocksWrites checks that beyond the limit the answer is read no further until the
// caller has read some of it.
func TestMaxPerCallerBlocksWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, budget, _ := newSpools(1000, unlimited)
		caller := newSlowReader(0)
		p := spools.Open(caller, 0)
		passed := 0
		go func() {
			for range 50 {
				if p.Write(make([]byte, 100)) != nil {
					return
				}
				passed += 100
			}
		}()
		synctest.Wait()
		is.Equal(passed, 1000)
		is.Equal(budget.Held(), int64(1000))
		caller.read(1000)
		synctest.Wait()
		is.True(passed >= 1900)
		caller.read(unlimited)
		synctest.Wait()
		is.NoErr(p.Close())
		is.Equal(len(caller.text()), 5000)
	})
}

// TestThousandBlockedCallers checks that callers that stop reading hold no more than the limit,
// that the first to stop are ended first, and that a caller that reads gets its complete answer
// meanwhile.
func TestThousandBlockedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit, part = 100_000, 1000
		spools, budget, ended := newSpools(DefaultMaxPerCaller, limit)
		unblocked := newSlowReader(unlimited)
		good := spools.Open(unblocked, 0)
		stopped := make([]*Spool, 1000)
		for i := range stopped {
			stopped[i] = spools.Open(newSlowReader(0), 0)
			is.NoErr(stopped[i].Write(make([]byte, part)))
			time.Sleep(time.Millisecond)
			is.NoErr(stopped[i].Write(make([]byte, part)))
			is.True(budget.Held() <= limit)
			is.NoErr(good.Write([]byte("x")))
			time.Sleep(time.Millisecond)
		}
		is.NoErr(good.Close())
		is.Equal(len(unblocked.text()), 1000)
		is.True(len(ended.all()) >= 900)
		is.Equal(stopped[0].Write(nil), ErrSlowest)
		is.NoErr(stopped[999].Write(nil))
		for _, p := range stopped {
			p.Drop()
			is.True(p.Close() != nil)
		}
		is.Equal(budget.Held(), int64(0))
	})
}

// TestWindowJoinsEvents checks that the first event is sent at once, that events within the window
// are sent in one write, that none waits longer than the window, and that the end doesn't wait.
func TestWindowJoinsEvents(t *testing.T) {
	cases := map[string]struct {
		window, gap time.Duration
		writes      int
		longest     time.Duration
	}{
		"none":                   {0, 30 * time.Millisecond, 10, 0},
		"some in one":            {80 * time.Millisecond, 30 * time.Millisecond, 5, 80 * time.Millisecond},
		"slower than the window": {80 * time.Millisecond, 100 * time.Millisecond, 10, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				spools, _, _ := newSpools(DefaultMaxPerCaller, unlimited)
				caller := newSlowReader(unlimited)
				p := spools.Open(caller, tc.window)
				var longest atomic.Int64
				for i := range 10 {
					is.NoErr(p.Write([]byte("x")))
					written := time.Now()
					go func() {
						for len(caller.text()) <= i {
							time.Sleep(time.Millisecond)
						}
						if took := int64(time.Since(written)); took > longest.Load() {
							longest.Store(took)
						}
					}()
					if i < 9 {
						time.Sleep(tc.gap)
					}
				}
				ended := time.Now()
				is.NoErr(p.Close())
				is.Equal(time.Since(ended), time.Duration(0))
				time.Sleep(time.Second)
				is.Equal(caller.writes, tc.writes)
				is.True(time.Duration(longest.Load()) <= tc.longest+time.Millisecond)
			})
		})
	}
}

// TestCallerGetsPrefix checks that a caller gets a prefix of what was written to its spool, and all
// of it if the spool ended without an error, whatever the callers do, and that nothing stays held.
func TestCallerGetsPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		callers := rapid.IntRange(1, 6).Draw(rt, "callers")
		limit := rapid.Int64Range(200, 4000).Draw(rt, "limit")
		type step struct {
			caller, write, read int
			drop                bool
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				rapid.IntRange(0, callers-1).Draw(rt, "caller"), rapid.IntRange(0, 90).Draw(rt, "write"),
				rapid.IntRange(0, 120).Draw(rt, "read"), rapid.IntRange(0, 40).Draw(rt, "drop") == 0,
			}
		}), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			spools, budget, _ := newSpools(unlimited, limit)
			readers, open, written := make([]*slowReader, callers), make([]*Spool, callers), make([]string, callers)
			for i := range callers {
				readers[i] = newSlowReader(0)
				open[i] = spools.Open(readers[i], time.Duration(i)*time.Millisecond)
			}
			for n, s := range steps {
				data := bytes.Repeat([]byte{byte('a' + n%26)}, s.write)
				written[s.caller] += string(data)
				_ = open[s.caller].Write(data)
				readers[s.caller].read(s.read)
				if s.drop {
					open[s.caller].Drop()
				}
				if budget.Held() > limit {
					t.Fatalf("%d bytes held of %d", budget.Held(), limit)
				}
				time.Sleep(time.Millisecond)
			}
			for i, p := range open {
				readers[i].read(unlimited)
				err := p.Close()
				got := readers[i].text()
				if err == nil && got != written[i] || got != written[i][:len(got)] {
					t.Fatalf("%v: got %q of %q", err, got, written[i])
				}
			}
			if budget.Held() != 0 {
				t.Fatalf("%d bytes are still held", budget.Held())
			}
		})
	})
}
