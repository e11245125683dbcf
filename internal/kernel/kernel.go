// Package kernel runs the services of one process. Services find each other by name, start in
// the order of their registration and close in reverse order.
package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is one part of a process.
type Service interface {
	// Start starts the service and returns; the context limits only the start.
	Start(ctx context.Context) error
	// Close stops the service and waits for everything that Start has started.
	Close() error
}

type entry struct {
	name    string
	service Service
}

// Kernel holds the services of a process.
type Kernel struct {
	mu      sync.Mutex
	entries []entry
	byName  map[string]Service
	// started is the number of entries, from the first, that have been started.
	started int
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{byName: make(map[string]Service)}
}

// Register adds a service under a name that is not in use. A service must be registered after
// those that it depends on.
func (k *Kernel) Register(name string, service Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.byName[name]; taken {
		return errors.Newf("service %q is already registered", name)
	}
	k.byName[name] = service
	k.entries = append(k.entries, entry{name: name, service: service})
	return nil
}

// Find returns the service with a name as type T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	service, ok := k.byName[name]
	if !ok {
		return zero, errors.Newf("service %q is not registered", name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, errors.Newf("service %q has type %T", name, service)
	}
	return typed, nil
}

// Start starts all services in order. If one fails, those started before it are closed.
func (k *Kernel) Start(ctx context.Context) error {
	for i, e := range k.entries {
		if err := e.service.Start(ctx); err != nil {
			k.started = i
			return errors.CombineErrors(errors.Wrapf(err, "start %s", e.name), k.Close())
		}
		k.started = i + 1
	}
	return nil
}

// Close closes the started services in reverse order and waits for each.
func (k *Kernel) Close() error {
	var joined error
	for k.started > 0 {
		k.started--
		e := k.entries[k.started]
		if err := e.service.Close(); err != nil {
			joined = errors.CombineErrors(joined, errors.Wrapf(err, "close %s", e.name))
		}
	}
	return joined
}
