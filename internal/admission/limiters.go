package admission

import (
	"maps"
	"sync"
)

// Limiters are a gateway's limiters, one for each service.
type Limiters struct {
	options LimiterOptions

	mu        sync.Mutex
	byService map[string]*Limiter
}

// NewLimiters returns a set in which each limiter is made when it is first
// asked for.
func NewLimiters(options LimiterOptions) *Limiters {
	return &Limiters{options: options, byService: make(map[string]*Limiter)}
}

// Of is the limiter of a service.
func (l *Limiters) Of(service string) *Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.byService[service]
	if !ok {
		known = NewLimiter(l.options)
		l.byService[service] = known
	}
	return known
}

// Each calls a function for each service that has a limiter.
func (l *Limiters) Each(visit func(service string, limiter *Limiter)) {
	l.mu.Lock()
	known := maps.Clone(l.byService)
	l.mu.Unlock()
	for service, limiter := range known {
		visit(service, limiter)
	}
}
