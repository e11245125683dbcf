package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// steadyCallers send requests at a fixed interval to all gateways in turn. A request that fails is sent
// once more, to the next gateway.
type steadyCallers struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu   sync.Mutex
	sent []steadyCall
}

// steadyCall is a request of a steady caller.
type steadyCall struct {
	at     time.Time
	served bool
}

func (s *soak) startSteadyCallers() *steadyCallers {
	ctx, cancel := context.WithCancel(s.t.Context())
	c := &steadyCallers{cancel: cancel}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	paths := []string{"/ask/1", "/chat/1"}
	c.wait.Go(func() {
		defer client.CloseIdleConnections()
		var calls sync.WaitGroup
		defer calls.Wait()
		ticker := time.NewTicker(endsInterval)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			calls.Go(func() {
				call := steadyCall{at: time.Now()}
				for attempt := 0; attempt < 2 && !call.served; attempt++ {
					g := s.gateways[(number+attempt)%len(s.gateways)]
					call.served = s.ask(client, g, fmt.Sprintf("steady-%d-%d", number, attempt), paths[number/len(s.gateways)%len(paths)])
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				c.sent = append(c.sent, call)
			})
		}
	})
	return c
}

// stop ends the callers and returns the share of requests served among those sent in the last part of
// their time.
func (c *steadyCallers) stop(part time.Duration) float64 {
	from := time.Now().Add(-part)
	c.cancel()
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	served, sent := 0, 0
	for _, call := range c.sent {
		if call.at.Before(from) {
			continue
		}
		sent++
		if call.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// keeper does to processes what the platform does: it kills those that outgrow their memory and starts
// those that have ended.
type keeper struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu   sync.Mutex
	peak int64
}

func (s *soak) startKeeper() *keeper {
	ctx, cancel := context.WithCancel(s.t.Context())
	k := &keeper{cancel: cancel}
	for _, g := range s.gateways {
		k.wait.Go(func() { s.keep(ctx, k, g) })
	}
	return k
}

func (s *soak) keep(ctx context.Context, k *keeper, g *gateway) {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil {
		g.mu.Lock()
		process, done := g.cmd.Process, g.done
		g.mu.Unlock()
		select {
		case <-done:
			time.Sleep(restartDelay)
			if ctx.Err() == nil {
				s.start(g)
			}
			continue
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		used := residentBytes(process.Pid)
		k.mu.Lock()
		k.peak = max(k.peak, used)
		k.mu.Unlock()
		if used > memoryLimit {
			_ = process.Signal(syscall.SIGKILL) // not by signal, so that it counts as an end of its own
		}
	}
}

// stop ends the keeper and returns the most memory that a process used, in bytes.
func (k *keeper) stop() int64 {
	k.cancel()
	k.wait.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peak
}

// residentBytes returns the memory that a process uses; zero if it has ended.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64) // a number, as the kernel writes it
	return kilobytes << 10
}
