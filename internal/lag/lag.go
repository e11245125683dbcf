// Package lag notices when a process lacks processor time, because its host is
// slow or because too much is asked of it: its own timers fire late. Its time
// limits then pass before it has read what others sent, and say nothing of them.
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
	// Bound is the lag above which a process is late. Callers want the fastest
	// answers within 100 ms, and a lag strikes a request several times on its
	// way.
	Bound = 25 * time.Millisecond
	// mostDoubt is how many measurements in time make up for any lateness: half
	// a second.
	mostDoubt = 24
	// doubtPerInterval is how many make up for one interval of lateness.
	doubtPerInterval = 2
)

// Monitor measures the lag of its process. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// last is the measurement before, and lag the smaller of the last two: a
	// process that was stopped once is late once and not late any more.
	last time.Duration
	lag  time.Duration
	// doubt is how many measurements in time are wanted before the process
	// counts as in time again.
	doubt  int
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a monitor that Start begins.
func New() *Monitor {
	return new(Monitor)
}

// Start begins to measure.
func (m *Monitor) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.wait.Go(func() {
		began := time.Now()
		for wait.For(ctx, interval) {
			now := time.Now()
			m.Note(now.Sub(began) - interval)
			began = now
		}
	})
	return nil
}

// Close ends the measuring and waits.
func (m *Monitor) Close() error {
	if m.cancel != nil {
		m.cancel()
	}
	m.wait.Wait()
	return nil
}

// Note takes one measurement: how late a timer fired.
func (m *Monitor) Note(late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late = max(late, 0)
	m.lag, m.last = min(late, m.last), late
	if m.lag > Bound {
		intervals := int(m.lag/interval) + 1
		m.doubt = min(m.doubt+doubtPerInterval*intervals, mostDoubt)
		return
	}
	m.doubt = max(m.doubt-1, 0)
}

// Lag is how late the process is.
func (m *Monitor) Lag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}

// Late says whether the process lacks processor time.
func (m *Monitor) Late() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.doubt > 0
}
