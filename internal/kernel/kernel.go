// Package kernel runs the services of one process. Services find each other
// by name, start in the order of registration and close in reverse.
package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is one part of a process.
type Service interface {
	// Start begins work and returns; the context bounds only the start.
	Start(ctx context.Context) error
	// Close ends the work and waits for all that Start began.
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
	// started counts the entries, from the first, that have started.
	started int
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{byName: make(map[string]Service)}
}

// Register adds a service under a name; a name can be taken once. A service
// must be registered after those it depends on.
func (k *Kernel) Register(name string, service Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.byName[name]; taken {
		return errors.Newf("service %q is registered already", name)
	}
	k.byName[name] = service
	k.entries = append(k.entries, entry{name: name, service: service})
	return nil
}

// Find returns the service of a name as type T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	service, ok := k.byName[name]
	if !ok {
		return zero, errors.Newf("no service %q", name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, errors.Newf("service %q is a %T", name, service)
	}
	return typed, nil
}

// Start starts all services in order; if one fails, those before it are
// closed again.
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
	var all error
	for k.started > 0 {
		k.started--
		e := k.entries[k.started]
		if err := e.service.Close(); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "close %s", e.name))
		}
	}
	return all
}
