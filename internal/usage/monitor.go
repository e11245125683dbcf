package usage

import (
	"context"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// monitorInterval is the time between two checks of the memory in use.
	monitorInterval = time.Second
	// highShare is the share of a memory limit above which its use is high.
	highShare = 0.75
)

// Monitor reports when the memory that the Go runtime holds becomes a high share of the process's limit,
// and when it no longer is.
type Monitor struct {
	// limit is the process's memory limit in bytes; zero means none.
	limit int64
	// onChange is called with the memory in use, in bytes.
	onChange func(used int64, high bool)
	// held returns the memory that the Go runtime holds, in bytes.
	held   func() int64
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewMonitor returns a monitor for a memory limit in bytes; zero means that there is none. Start starts it.
func NewMonitor(limit int64, onChange func(used int64, high bool)) *Monitor {
	return &Monitor{limit: limit, onChange: onChange, held: heldByRuntime}
}

// Start starts the checks.
func (m *Monitor) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	if m.limit <= 0 {
		return nil
	}
	m.wait.Go(func() {
		wasHigh := false
		for wait.For(ctx, monitorInterval) {
			used := m.held()
			high := float64(used) > highShare*float64(m.limit)
			if high != wasHigh {
				m.onChange(used, high)
			}
			wasHigh = high
		}
	})
	return nil
}

// Close stops the checks and waits for their goroutine.
func (m *Monitor) Close() error {
	if m.cancel != nil {
		m.cancel()
	}
	m.wait.Wait()
	return nil
}

// heldByRuntime returns the memory that the Go runtime has taken from the system and not returned.
func heldByRuntime() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
