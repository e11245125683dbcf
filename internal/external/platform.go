// Package external defines the interfaces to the platform: a small key-value store, a lagging
// list of hosts and a weight store. The adapters here are thin; the fakes are in the packages
// below.
package external

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of the store after which nothing was changed. After any other error of Put or Delete,
// the change may have taken effect.
var (
	// ErrNotFound reports that the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrVersion reports that the value's version is not the expected one.
	ErrVersion = errors.New("version does not match")
)

// Value is a stored value with its version, which rises with each change.
type Value struct {
	Data    []byte
	Version uint64
}

// Store is the platform's key-value service. Each call counts against its rate limit, and so
// does a waiting watch.
type Store interface {
	Get(ctx context.Context, key string) (Value, error)
	// Put writes the value if the key's version is base (zero: the key is absent) and returns
	// the new version.
	Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error)
	Delete(ctx context.Context, key string) error
	// Watch waits until the key's version differs from known.
	Watch(ctx context.Context, key string, known uint64) (Value, error)
}

// HostState is the state of a host as the platform reports it; it lags.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	ID      string    `json:"id"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// Hosts is the platform's list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}
