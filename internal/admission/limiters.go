package admission

import (
	"maps"
	"sync"
)

// Limiters holds a gateway's limiters, one for each service.
type Limiters struct {
	options LimiterOptions

	mu        sync.Mutex
	byService map[string]*Limiter
}

// NewLimiters returns a set that creates each limiter on first use.
func NewLimiters(options LimiterOptions) *Limiters {
	return &Limiters{options: options, byService: make(map[string]*Limiter)}
}

// Of returns the limiter of a service.
func (l *Limiters) Of(service string) *Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.byService[service]
	if !ok {
		limiter = NewLimiter(l.options)
		l.byService[service] = limiter
	}
	return limiter
}

// Each calls visit for each service that has a limiter.
func (l *Limiters) Each(visit func(service string, limiter *Limiter)) {
	l.mu.Lock()
	limiters := maps.Clone(l.byService)
	l.mu.Unlock()
	for service, limiter := range limiters {
		visit(service, limiter)
	}
}
