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

// reader is a caller's connection that holds what it has not read up to a size.
type reader struct {
	mu     sync.Mutex
	wake   *sync.Cond
	room   int
	got    bytes.Buffer
	writes int
	broken error
}

func newReader(room int) *reader {
	r := &reader{room: room}
	r.wake = sync.NewCond(&r.mu)
	return r
}

func (r *reader) Write(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	for len(data) > 0 {
		for r.room == 0 && r.broken == nil {
			r.wake.Wait()
		}
		if r.broken != nil {
			return r.broken
		}
		n := min(r.room, len(data))
		r.got.Write(data[:n])
		r.room -= n
		data = data[n:]
	}
	return nil
}

// read makes room for so many bytes.
func (r *reader) read(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room += bytes
	r.wake.Broadcast()
}

func (r *reader) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = errors.New("interrupted")
	r.wake.Broadcast()
}

func (r *reader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

const plenty = 1 << 30

// ends notes the callers that were ended.
type ends struct {
	mu      sync.Mutex
	reasons []error
}

func (e *ends) note(_ int, reason error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reasons = append(e.reasons, reason)
}

func (e *ends) all() []error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.reasons)
}

func newSpools(each int, most int64) (*Spools, *Budget, *ends) {
	ended := new(ends)
	budget := NewBudget(most)
	return New(Options{MaxPerCaller: each, WriteTimeout: DefaultWriteTimeout, CallerEnded: ended.note}, budget), budget, ended
}

// TestACallerThatStopsToReadStallsNobody: its target's answer is read to its end, the others
// get theirs, and it gets all of its own once it reads on.
func TestACallerThatStopsToReadStallsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, budget, ended := newSpools(DefaultMaxPerCaller, plenty)
		stopped, sound := newReader(0), newReader(plenty)
		slow, quick := spools.Open(stopped, 0), spools.Open(sound, 0)
		want := ""
		for i := range 80 {
			event := fmt.Sprintf("id: %d\n\n", i)
			want += event
			is.NoErr(slow.Write([]byte(event))) // doesn't wait
			is.NoErr(quick.Write([]byte(event)))
		}
		is.NoErr(quick.Close())
		is.Equal(sound.text(), want)
		is.Equal(int(budget.Held()), len(want))
		go func() {
			time.Sleep(10 * time.Second)
			stopped.read(plenty)
		}()
		is.NoErr(slow.Close())
		is.Equal(stopped.text(), want)
		is.Equal(budget.Held(), int64(0))
		is.Equal(len(ended.all()), 0)
	})
}

// TestACallerThatReadsAByteASecond gets its answer: it makes progress, and others' memory is
// not short.
func TestACallerThatReadsAByteASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, _, _ := newSpools(DefaultMaxPerCaller, plenty)
		caller := newReader(0)
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

// TestAStuckCallerIsEnded: one that reads nothing for long, and does not leave, is ended, and
// nothing of it stays.
func TestAStuckCallerIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, budget, ended := newSpools(DefaultMaxPerCaller, plenty)
		p := spools.Open(newReader(3), 0)
		is.NoErr(p.Write([]byte("more than three")))
		began := time.Now()
		is.Equal(p.Close(), ErrWriteTimeout)
		is.Equal(time.Since(began), DefaultWriteTimeout)
		is.Equal(p.Write([]byte("late")), ErrWriteTimeout)
		is.Equal(budget.Held(), int64(0))
		is.Equal(ended.all(), []error{ErrWriteTimeout})
	})
}

// TestOneCallersBoundStopsItsTarget: beyond it the answer is read no further until the caller
// has read some.
func TestOneCallersBoundStopsItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spools, budget, _ := newSpools(1000, plenty)
		caller := newReader(0)
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
		caller.read(plenty)
		synctest.Wait()
		is.NoErr(p.Close())
		is.Equal(len(caller.text()), 5000)
	})
}

// TestAThousandCallersThatStopToRead hold no more than the bound, the first to stop are the
// first to be ended, and one that reads gets its whole answer all the while.
func TestAThousandCallersThatStopToRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const most, part = 100_000, 1000
		spools, budget, ended := newSpools(DefaultMaxPerCaller, most)
		sound := newReader(plenty)
		good := spools.Open(sound, 0)
		stopped := make([]*Spool, 1000)
		for i := range stopped {
			stopped[i] = spools.Open(newReader(0), 0)
			is.NoErr(stopped[i].Write(make([]byte, part)))
			time.Sleep(time.Millisecond)
			is.NoErr(stopped[i].Write(make([]byte, part)))
			is.True(budget.Held() <= most)
			is.NoErr(good.Write([]byte("x")))
			time.Sleep(time.Millisecond)
		}
		is.NoErr(good.Close())
		is.Equal(len(sound.text()), 1000)
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

// TestAWindowJoinsEvents: the first event goes at once, those that come within the window go in
// one write, none waits longer, and the end waits for nothing.
func TestAWindowJoinsEvents(t *testing.T) {
	cases := map[string]struct {
		window, gap time.Duration
		writes      int
		longest     time.Duration
	}{
		"none":           {0, 30 * time.Millisecond, 10, 0},
		"some in one":    {80 * time.Millisecond, 30 * time.Millisecond, 5, 80 * time.Millisecond},
		"slower than it": {80 * time.Millisecond, 100 * time.Millisecond, 10, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				spools, _, _ := newSpools(DefaultMaxPerCaller, plenty)
				caller := newReader(plenty)
				p := spools.Open(caller, tc.window)
				var longest atomic.Int64
				for i := range 10 {
					is.NoErr(p.Write([]byte("x")))
					made := time.Now()
					go func() {
						for len(caller.text()) <= i {
							time.Sleep(time.Millisecond)
						}
						if took := int64(time.Since(made)); took > longest.Load() {
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

// TestWhatACallerGets is a whole prefix of what was written to its spool, all of it if the
// spool ended well, whatever the callers do; and nothing stays held.
func TestWhatACallerGets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		callers := rapid.IntRange(1, 6).Draw(rt, "callers")
		most := rapid.Int64Range(200, 4000).Draw(rt, "most")
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
			spools, budget, _ := newSpools(plenty, most)
			readers, open, written := make([]*reader, callers), make([]*Spool, callers), make([]string, callers)
			for i := range callers {
				readers[i] = newReader(0)
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
				if budget.Held() > most {
					t.Fatalf("%d bytes held of %d", budget.Held(), most)
				}
				time.Sleep(time.Millisecond)
			}
			for i, p := range open {
				readers[i].read(plenty)
				err := p.Close()
				got := readers[i].text()
				if err == nil && got != written[i] || got != written[i][:len(got)] {
					t.Fatalf("%v: got %q of %q", err, got, written[i])
				}
			}
			if budget.Held() != 0 {
				t.Fatalf("%d bytes stay held", budget.Held())
			}
		})
	})
}
