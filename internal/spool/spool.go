// Package spool holds what callers have not read yet of their answers, so that the targets'
// answers are read on meanwhile: a target cuts off an answer that is left unread for some
// seconds, and keeps a place for it until then. What is held is bounded for one caller and
// for all; where all hold too much, the callers that read slowest are ended first.
package spool

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for which a caller is ended.
var (
	// ErrSlowest: all callers together hold too much, and this one has read nothing for the
	// longest time.
	ErrSlowest = errors.New("the caller reads too slowly while memory for answers is short")
	// ErrWriteTimeout: it has read nothing for too long.
	ErrWriteTimeout = errors.New("the caller has stopped to read")
)

var errDropped = errors.New("the caller is gone")

// Options bound what is held.
type Options struct {
	// Each is how many bytes are held for one caller before its target's answer is read no
	// further.
	MaxPerCaller int
	// Stuck is how long one write to a caller may take.
	WriteTimeout time.Duration
	// Ended is called for each caller that is ended, with the bytes that it had not read.
	CallerEnded func(unread int, reason error)
}

const (
	// DefaultMaxPerCaller holds a streamed answer of usual length whole.
	DefaultMaxPerCaller = 256 << 10
	// DefaultWriteTimeout is far longer than any network stalls that is still there.
	DefaultWriteTimeout = 30 * time.Second
	// mostWrite bounds one write to a caller, in bytes: one that reads slowly makes progress
	// within Stuck.
	mostWrite = 16 << 10
)

// Spools are those of all callers of a process. It is safe for concurrent use.
type Spools struct {
	options Options
	budget  *Budget

	mu sync.Mutex
	// open are the spools that have not ended.
	open map[*Spool]struct{}
}

// New returns no spools, which share a budget with whatever else takes of it.
func New(options Options, budget *Budget) *Spools {
	return &Spools{options: options, budget: budget, open: make(map[*Spool]struct{})}
}

// Caller is the connection to one caller.
type Caller interface {
	// Write sends a part of the answer.
	Write(data []byte) error
	// Interrupt makes a Write that is under way, and all later ones, fail. It may be called
	// at any time.
	Interrupt()
}

// Spool holds what one caller has not read yet. One goroutine at a time calls Write and Close.
type Spool struct {
	spools *Spools
	caller Caller
	// window is the least time between the beginnings of two writes to the caller; what comes
	// meanwhile goes in one write.
	window time.Duration

	mu sync.Mutex
	// changed wakes both sides.
	changed *sync.Cond
	// pending is what has not been handed to the caller's connection, and writing how many
	// bytes are being written to it.
	pending []byte
	writing int
	// since is when the present write began, or the last one ended.
	since  time.Time
	closed bool
	err    error
	done   chan struct{}
}

// Open begins a spool for a caller. Close ends it.
func (s *Spools) Open(caller Caller, window time.Duration) *Spool {
	p := &Spool{spools: s, caller: caller, window: window, since: time.Now().Add(-window), done: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	s.mu.Lock()
	s.open[p] = struct{}{}
	s.mu.Unlock()
	go p.run()
	return p
}

// Write takes a part of the answer. It waits while the caller has so much to read that no
// more is held for it, and returns an error once the caller is gone or was ended.
func (p *Spool) Write(data []byte) error {
	if err := p.await(len(data)); err != nil {
		return err
	}
	if !p.spools.take(p, len(data)) {
		return p.failure()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		p.spools.budget.Release(len(data))
		return p.err
	}
	p.pending = append(p.pending, data...)
	p.changed.Broadcast()
	return nil
}

// await waits until there is room for more of the caller's own; whatever its size, a part is
// taken when nothing is held.
func (p *Spool) await(more int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.err == nil && p.held() > 0 && p.held()+more > p.spools.options.MaxPerCaller {
		p.changed.Wait()
	}
	return p.err
}

// held is how many bytes the caller has not read, as far as this process holds them; p.mu is
// held.
func (p *Spool) held() int {
	return len(p.pending) + p.writing
}

func (p *Spool) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Drop ends the spool of a caller that is gone: nothing more is written to it.
func (p *Spool) Drop() {
	p.mu.Lock()
	if p.err == nil {
		p.fail(errDropped)
	}
	p.mu.Unlock()
	p.caller.Interrupt()
}

// Close waits until the caller has been sent everything, and returns how that ended.
func (p *Spool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	<-p.done
	p.spools.forget(p)
	return p.failure()
}

// run writes to the caller what is there.
func (p *Spool) run() {
	defer close(p.done)
	for {
		part := p.next()
		if part == nil {
			return
		}
		stuck := time.AfterFunc(p.spools.options.WriteTimeout, func() { p.end(ErrWriteTimeout) })
		err := p.caller.Write(part)
		stuck.Stop()
		p.written(len(part), err)
	}
}

// next waits for what is to be written next; nil if there is nothing more.
func (p *Spool) next() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.err == nil && len(p.pending) == 0 && !p.closed {
		p.changed.Wait()
	}
	p.pause()
	if p.err != nil || len(p.pending) == 0 {
		return nil
	}
	part := p.pending[:min(len(p.pending), mostWrite)]
	p.pending = p.pending[len(part):]
	if len(p.pending) == 0 {
		p.pending = nil
	}
	p.writing, p.since = len(part), time.Now()
	return part
}

// pause waits for the window to pass, unless the answer has ended; p.mu is held.
func (p *Spool) pause() {
	left := p.window - time.Since(p.since)
	if left <= 0 || p.closed || p.err != nil {
		return
	}
	timer := time.AfterFunc(left, p.wake)
	defer timer.Stop()
	for p.err == nil && !p.closed && time.Since(p.since) < p.window {
		p.changed.Wait()
	}
}

func (p *Spool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

// written notes the end of a write.
func (p *Spool) written(size int, err error) {
	p.spools.budget.Release(size)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = 0
	if p.err == nil && err != nil {
		p.fail(err)
	}
	if p.window == 0 {
		p.since = time.Now()
	}
	p.changed.Broadcast()
}

// fail drops what is pending; p.mu is held.
func (p *Spool) fail(err error) {
	p.err = err
	p.spools.budget.Release(len(p.pending))
	p.pending = nil
	p.changed.Broadcast()
}

// end ends the caller's answer early.
func (p *Spool) end(reason error) {
	p.mu.Lock()
	ended := p.err == nil
	unread := p.held()
	if ended {
		p.fail(reason)
	}
	p.mu.Unlock()
	if !ended {
		return
	}
	if report := p.spools.options.CallerEnded; report != nil {
		report(unread, reason)
	}
	p.caller.Interrupt()
}

// take takes bytes of the budget for a spool, and ends the slowest callers until there are
// enough; false if that one was ended itself.
func (s *Spools) take(asking *Spool, size int) bool {
	for !s.budget.Acquire(size) {
		slowest := s.slowest()
		if slowest == nil {
			slowest = asking
		}
		slowest.end(ErrSlowest)
		if slowest == asking {
			return false
		}
	}
	return true
}

// slowest is the spool with something to read whose caller has read nothing for the longest
// time; nil if none has.
func (s *Spools) slowest() *Spool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *Spool
	var since time.Time
	for p := range s.open {
		p.mu.Lock()
		holds, at := p.err == nil && len(p.pending) > 0, p.since
		p.mu.Unlock()
		if holds && (slowest == nil || at.Before(since)) {
			slowest, since = p, at
		}
	}
	return slowest
}

func (s *Spools) forget(p *Spool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
}
