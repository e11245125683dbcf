// Package lag detects when a process lacks processor time, because its host is slow or overloaded:
// its own timers fire late. Its timeouts then expire before it has read what others sent, and say
// nothing about the others.
package lag

import (
	"context"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// interval is the time between two measurements.
	interval = 20 * time.Millisecond
	// Bound is the lag above which a process is late. Callers expect the fastest answers within 100
	// ms, and the lag delays a request several times on its way.
	Bound = 25 * time.Millisecond
	// maxRecovery is the number of timely measurements that make up for any lateness: half a
	// second.
	maxRecovery = 24
	// wakeUpTime is how long after a pause the process may take to learn of what happened meanwhile.
	wakeUpTime = 100 * time.Millisecond
	// recoveryPerInterval is the number of timely measurements that make up for one interval of
	// lateness.
	recoveryPerInterval = 2
)

// Monitor measures the lag of its process. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// previous is the last measurement, and lag the smaller of the last two, since a process that
	// was stopped once is late in one measurement and not in the next.
	previous time.Duration
	lag      time.Duration
	// recovery is the number of timely measurements until the process no longer counts as late.
	recovery int
	// measured is when the last measurement was made, and pauseStart and pauseEnd limit the last
	// period in which the process didn't run.
	measured, pauseStart, pauseEnd time.Time
	cancel                         context.CancelFunc
	wait                           sync.WaitGroup
}

// New returns a monitor; Start starts it.
func New() *Monitor {
	return new(Monitor)
}

// Start starts the measurements.
func (m *Monitor) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.wait.Go(func() {
		start := time.Now()
		for wait.For(ctx, interval) {
			now := time.Now()
			m.NoteRun(start, now)
			start = now
		}
	})
	return nil
}

// Close stops the measurements and waits for their goroutine.
func (m *Monitor) Close() error {
	if m.cancel != nil {
		m.cancel()
	}
	m.wait.Wait()
	return nil
}

// Note records one measurement: how late a timer fired.
func (m *Monitor) Note(late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late = max(late, 0)
	m.lag, m.previous = min(late, m.previous), late
	if m.lag > Bound {
		intervals := int(m.lag/interval) + 1
		m.recovery = min(m.recovery+recoveryPerInterval*intervals, maxRecovery)
		return
	}
	m.recovery = max(m.recovery-1, 0)
}

// NoteRun records a timer of one interval that was set at one time and fired at another. The process
// ran at both times, and possibly not between them.
func (m *Monitor) NoteRun(from, until time.Time) {
	late := until.Sub(from) - interval
	m.Note(late)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measured = until
	if late > Bound {
		m.pauseStart, m.pauseEnd = from, until
	}
}

// SinceRun returns how long ago the process last ran before what it learns of now, such as a signal,
// can have happened. That is more than a moment if the process stands still or has just done so.
func (m *Monitor) SinceRun() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case m.measured.IsZero():
		return 0
	case now.Sub(m.pauseEnd) < wakeUpTime:
		return now.Sub(m.pauseStart)
	}
	return now.Sub(m.measured)
}

// Lag returns how late the process is.
func (m *Monitor) Lag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}

// Late reports whether the process lacks processor time.
func (m *Monitor) Late() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recovery > 0
}
