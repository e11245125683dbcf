package fakeengine

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/target"
)

const (
	// maxEvents limits the events kept; a request for earlier ones reports a gap.
	maxEvents = 256
)

// loggedEvent is an event with the time at which it happened.
type loggedEvent struct {
	event target.CacheEvent
	at    time.Time
}

// eventLog holds the latest events; the cache's lock guards it.
type eventLog struct {
	events []loggedEvent
	// first is the sequence number of events[0].
	first uint64
}

func (l *eventLog) add(event target.CacheEvent) {
	l.events = append(l.events, loggedEvent{event: event, at: time.Now()})
	if excess := len(l.events) - maxEvents; excess > 0 {
		l.events = l.events[excess:]
		l.first += uint64(excess)
	}
}

// eventsAfter returns the events from a sequence number on that are older than a lag.
func (l *eventLog) eventsAfter(number uint64, lag time.Duration) target.CacheEvents {
	result := target.CacheEvents{Next: max(number, l.first), Gap: number < l.first}
	for _, logged := range l.events[min(result.Next-l.first, uint64(len(l.events))):] {
		if time.Since(logged.at) < lag {
			break
		}
		result.Events = append(result.Events, logged.event)
		result.Next++
	}
	return result
}

// CacheEvents returns the events from a sequence number on, delayed by the engine's lag.
func (e *Engine) CacheEvents(_ context.Context, after uint64) (target.CacheEvents, error) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	return e.cache.events.eventsAfter(after, e.options.Lag), nil
}
