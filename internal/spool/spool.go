// Package spool buffers what callers have not read yet of their answers, so that the targets'
// answers continue to be read: a target cuts off an answer that is left unread for some seconds,
// and keeps a slot for it until then. The buffers are limited per caller and in total. If the total
// limit is reached, the slowest callers are ended first.
package spool

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for which a caller is ended.
var (
	// ErrSlowest means that all callers together hold too much and that this one has read nothing
	// for the longest time.
	ErrSlowest = errors.New("the caller reads too slowly while memory for answers is short")
	// ErrWriteTimeout means that the caller has read nothing for too long.
	ErrWriteTimeout = errors.New("the caller has stopped reading")
)

var errDropped = errors.New("the caller has disconnected")

// Options holds the limits of spools.
type Options struct {
	// MaxPerCaller is how many bytes are held for one caller before reading of its target's answer
	// stops.
	MaxPerCaller int
	// WriteTimeout is how long one write to a caller may take.
	WriteTimeout time.Duration
	// CallerEnded is called for each caller that is ended, with the number of bytes that it had not
	// read.
	CallerEnded func(unread int, reason error)
}

const (
	// DefaultMaxPerCaller holds a complete streamed answer of usual length.
	DefaultMaxPerCaller = 256 << 10
	// DefaultWriteTimeout is far longer than a network that still works stalls.
	DefaultWriteTimeout = 30 * time.Second
	// maxWrite limits one write to a caller, in bytes, so that a slow caller completes a write
	// within WriteTimeout.
	maxWrite = 16 << 10
)

// Spools holds the spools of all callers of a process. It is safe for concurrent use.
type Spools struct {
	options Options
	budget  *Budget

	mu sync.Mutex
	// open holds the spools that have not ended.
	open map[*Spool]struct{}
}

// New returns an empty Spools that shares the budget with its other users.
func New(options Options, budget *Budget) *Spools {
	return &Spools{options: options, budget: budget, open: make(map[*Spool]struct{})}
}

// Caller is the connection to one caller.
type Caller interface {
	// Write sends a part of the answer.
	Write(data []byte) error
	// Interrupt makes a running Write and all later ones fail. It may be called at any time.
	Interrupt()
}

// Spool buffers what one caller has not read yet. Write and Close must not be called concurrently.
type Spool struct {
	spools *Spools
	caller Caller
	// window is the minimum time between the starts of two writes to the caller; what arrives
	// meanwhile is sent in one write.
	window time.Duration

	mu sync.Mutex
	// changed wakes both sides.
	changed *sync.Cond
	// pending holds what has not been written to the caller's connection, and writing is how many
	// bytes are being written to it.
	pending []byte
	writing int
	// lastProgress is when the present write began, or the last one ended.
	lastProgress time.Time
	closed       bool
	err          error
	done         chan struct{}
}

// Open starts a spool for a caller. Close ends it.
func (s *Spools) Open(caller Caller, window time.Duration) *Spool {
	p := &Spool{spools: s, caller: caller, window: window, lastProgress: time.Now().Add(-window), done: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	s.mu.Lock()
	s.open[p] = struct{}{}
	s.mu.Unlock()
	go p.run()
	return p
}

// Write adds a part of the answer. It waits while the spool of the caller is full, and returns an
// error once the caller is gone or was ended.
func (p *Spool) Write(data []byte) error {
	if err := p.awaitCapacity(len(data)); err != nil {
		return err
	}
	if !p.spools.acquire(p, len(data)) {
		return p.failed()
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

// awaitCapacity waits until the spool of the caller has capacity for more bytes. An empty spool
// takes a part of any size.
func (p *Spool) awaitCapacity(more int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.err == nil && p.held() > 0 && p.held()+more > p.spools.options.MaxPerCaller {
		p.changed.Wait()
	}
	return p.err
}

// held returns how many bytes of this process the caller has not read; p.mu must be held.
func (p *Spool) held() int {
	return len(p.pending) + p.writing
}

func (p *Spool) failed() error {
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

// Close waits until everything has been sent to the caller, and returns how that ended.
func (p *Spool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	<-p.done
	p.spools.remove(p)
	return p.failed()
}

// run writes the buffered parts to the caller.
func (p *Spool) run() {
	defer close(p.done)
	for {
		part := p.nextPart()
		if part == nil {
			return
		}
		timer := time.AfterFunc(p.spools.options.WriteTimeout, func() { p.endEarly(ErrWriteTimeout) })
		err := p.caller.Write(part)
		timer.Stop()
		p.recordWrite(len(part), err)
	}
}

// nextPart waits for the next part to write; it returns nil if there is nothing more.
func (p *Spool) nextPart() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.err == nil && len(p.pending) == 0 && !p.closed {
		p.changed.Wait()
	}
	p.awaitWindow()
	if p.err != nil || len(p.pending) == 0 {
		return nil
	}
	part := p.pending[:min(len(p.pending), maxWrite)]
	p.pending = p.pending[len(part):]
	if len(p.pending) == 0 {
		p.pending = nil
	}
	p.writing, p.lastProgress = len(part), time.Now()
	return part
}

// awaitWindow waits for the window to pass, unless the answer has ended; p.mu must be held.
func (p *Spool) awaitWindow() {
	left := p.window - time.Since(p.lastProgress)
	if left <= 0 || p.closed || p.err != nil {
		return
	}
	timer := time.AfterFunc(left, p.wake)
	defer timer.Stop()
	for p.err == nil && !p.closed && time.Since(p.lastProgress) < p.window {
		p.changed.Wait()
	}
}

func (p *Spool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

// recordWrite records the end of a write.
func (p *Spool) recordWrite(size int, err error) {
	p.spools.budget.Release(size)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = 0
	if p.err == nil && err != nil {
		p.fail(err)
	}
	if p.window == 0 {
		p.lastProgress = time.Now()
	}
	p.changed.Broadcast()
}

// fail drops what is pending; p.mu must be held.
func (p *Spool) fail(err error) {
	p.err = err
	p.spools.budget.Release(len(p.pending))
	p.pending = nil
	p.changed.Broadcast()
}

// endEarly ends the caller's answer early.
func (p *Spool) endEarly(reason error) {
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

// acquire takes bytes of the budget for a spool and ends the slowest callers until there are
// enough; it returns false if the requesting spool was ended itself.
func (s *Spools) acquire(requester *Spool, size int) bool {
	for !s.budget.Acquire(size) {
		slowest := s.slowest()
		if slowest == nil {
			slowest = requester
		}
		slowest.endEarly(ErrSlowest)
		if slowest == requester {
			return false
		}
	}
	return true
}

// slowest returns the spool with pending bytes whose caller has read nothing for the longest time,
// or nil if there is none.
func (s *Spools) slowest() *Spool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *Spool
	var oldest time.Time
	for p := range s.open {
		p.mu.Lock()
		waiting, lastProgress := p.err == nil && len(p.pending) > 0, p.lastProgress
		p.mu.Unlock()
		if waiting && (slowest == nil || lastProgress.Before(oldest)) {
			slowest, oldest = p, lastProgress
		}
	}
	return slowest
}

func (s *Spools) remove(p *Spool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
}
