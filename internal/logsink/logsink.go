// Package logsink writes log lines without ever holding up who logs: lines
// wait in a bounded queue, and those that find it full are counted instead.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines may wait.
const queueLines = 1024

// Sink is an io.Writer that never blocks. Each Write is one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	wait    sync.WaitGroup
	once    sync.Once
	// mu keeps Write from sending on a closed channel.
	mu     sync.RWMutex
	closed bool
}

// New returns a sink that writes to out from a goroutine of its own.
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

// Dropped counts the lines that found the queue full.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// write drains the queue; after lines were dropped it says how many.
func (s *Sink) write() {
	told := int64(0)
	for line := range s.lines {
		_, _ = s.out.Write(line)
		if dropped := s.dropped.Load(); dropped > told && len(s.lines) == 0 {
			_, _ = fmt.Fprintf(s.out, `{"level":"warn","msg":"log_dropped","lines":%d}`+"\n", dropped-told)
			told = dropped
		}
	}
}

// Close writes what waits and ends. A reader of the log that has stopped
// reading is waited for no longer than the context lasts.
func (s *Sink) Close(ctx context.Context) error {
	s.end()
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

// end takes no further lines.
func (s *Sink) end() {
	s.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed = true
		close(s.lines)
	})
}
