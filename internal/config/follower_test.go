package config

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// watcherAlone are the peers of a process that watches the store and knows no other.
type watcherAlone struct{}

func (watcherAlone) Ahead(uint64) (string, bool) { return "", false }
func (watcherAlone) Watcher() bool               { return true }

func (watcherAlone) Pull(context.Context, string, uint64) (*wire.Delta, error) {
	return nil, external.ErrNotFound
}

// hastyStore answers watches at once, with the same value.
type hastyStore struct {
	external.Store
	value   external.Value
	watches int
}

func (s *hastyStore) Watch(context.Context, string, uint64) (external.Value, error) {
	s.watches++
	return s.value, nil
}

// TestHastyStoreIsNotAskedAtOnce guards against a process that takes a whole core, and the store's rate, while
// the store, or something before it, does not wait for changes.
func TestHastyStoreIsNotAskedAtOnce(t *testing.T) {
	for name, data := range map[string]string{"nothing": "", "an odd manifest": "null", "a manifest": `{"revision":0}`} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &hastyStore{value: external.Value{Data: []byte(data), Version: 7}}
				follower := NewFollower(NewState(), store, watcherAlone{}, log.New(io.Discard))
				is.NoErr(follower.Start(t.Context()))
				const seconds = 60
				time.Sleep(seconds * time.Second)
				is.NoErr(follower.Close())
				is.True(store.watches > 1)
				is.True(store.watches <= 2*seconds)
			})
		})
	}
}
