// Package logsink writes log lines without blocking the caller: lines wait in a bounded queue,
// and those that find it full are dropped and counted.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the capacity of the queue, in lines.
const queueLines = 1024

// Sink is an io.Writer that never blocks. Each Write is one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	wait    sync.WaitGroup
	once    sync.Once
	// mu prevents Write from sending on a closed channel.
	mu     sync.RWMutex
	closed bool
}

// New returns a sink that writes to out from its own goroutine.
func New(out io.Writer) *Sink {
	sink := &Sink{out: out, lines: make(chan []byte, queueLines)}
	sink.wait.Go(sink.write)
	return sink
}

// Write queues a line, or counts it as dropped. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// write drains the queue; after lines were dropped it logs how many.
func (s *Sink) write() {
	reported := int64(0)
	for line := range s.lines {
		if _, err := s.out.Write(line); err != nil {
			s.dropped.Add(1) // the reader may come back
			continue
		}
		if dropped := s.dropped.Load(); dropped > reported && len(s.lines) == 0 {
			_, _ = fmt.Fprintf(s.out, `{"level":"warn","msg":"log_dropped","lines":%d}`+"\n", dropped-reported)
			reported = dropped
		}
	}
}

// Close writes the queued lines and stops. It waits for a stalled reader of the log no longer
// than the context allows.
func (s *Sink) Close(ctx context.Context) error {
	s.closeQueue()
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.wait.Wait()
	}()
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeTimeout limits the wait of CloseSoon for the reader of the log.
const closeTimeout = 300 * time.Millisecond

// CloseSoon is like Close, for a process that is about to end: it waits for a moment at most. Lines that
// the reader of the log does not take by then are lost.
func (s *Sink) CloseSoon() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.Close(ctx)
}

// closeQueue stops accepting lines.
func (s *Sink) closeQueue() {
	s.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed = true
		close(s.lines)
	})
}
