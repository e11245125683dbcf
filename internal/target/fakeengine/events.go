package fakeengine

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/target"
)

const (
	// keptEvents is how many events are kept; who asks later has a gap.
	keptEvents = 256
)

// loggedEvent is an event and when it happened.
type loggedEvent struct {
	event target.CacheEvent
	at    time.Time
}

// eventLog keeps the last events; the cache's lock guards it.
type eventLog struct {
	events []loggedEvent
	// first is the number of events[0].
	first uint64
}

func (l *eventLog) add(event target.CacheEvent) {
	l.events = append(l.events, loggedEvent{event: event, at: time.Now()})
	if over := len(l.events) - keptEvents; over > 0 {
		l.events = l.events[over:]
		l.first += uint64(over)
	}
}

// after gives the events behind a number that are older than a lag.
func (l *eventLog) after(number uint64, lag time.Duration) target.CacheEvents {
	got := target.CacheEvents{Next: max(number, l.first), Gap: number < l.first}
	for _, logged := range l.events[min(got.Next-l.first, uint64(len(l.events))):] {
		if time.Since(logged.at) < lag {
			break
		}
		got.Events = append(got.Events, logged.event)
		got.Next++
	}
	return got
}

// CacheEvents gives the events after a number, late by the engine's lag.
func (e *Engine) CacheEvents(_ context.Context, after uint64) (target.CacheEvents, error) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	return e.cache.events.after(after, e.options.Lag), nil
}
