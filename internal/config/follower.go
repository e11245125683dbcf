package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// Peers is what the follower needs from other processes.
type Peers interface {
	// Ahead returns the link address of a live peer that reports a revision above the given one.
	Ahead(revision uint64) (address string, ok bool)
	// Pull requests from a peer the changes since a revision.
	Pull(ctx context.Context, address string, have uint64) (*wire.Delta, error)
	// Watcher reports whether this process is one of the few that watch the store now.
	Watcher() bool
}

const (
	// pullInterval is how often the peers' revisions are checked.
	pullInterval = 200 * time.Millisecond
	// watchTimeout limits one watch call.
	watchTimeout = 60 * time.Second
	// minWatchPause and maxWatchPause limit the wait after a failed watch; minWatchPause is also the one after
	// a watch that found nothing.
	minWatchPause = time.Second
	maxWatchPause = 30 * time.Second
	// pullTimeout limits one pull from a peer.
	pullTimeout = 2 * time.Second
)

// Follower keeps a process's configuration at the latest revision that it can get from peers and,
// in a few processes, from the store.
type Follower struct {
	state      *State
	repository repository
	peers      Peers
	log        *log.Logger
	// mu is held while the configuration is loaded from the store.
	mu sync.Mutex
	// loaded is the manifest whose buckets the state holds; nil if unknown.
	loaded *Manifest
	// storeAnswered records whether the store answered the last call.
	storeAnswered atomic.Bool

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// NewFollower returns a follower; Start starts it.
func NewFollower(state *State, store external.Store, peers Peers, logger *log.Logger) *Follower {
	return &Follower{state: state, repository: repository{store: store}, peers: peers, log: logger}
}

// Start starts following.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.loops.Go(func() { f.pullLoop(ctx) })
	f.loops.Go(func() { f.watchLoop(ctx) })
	return nil
}

// Close stops following and waits.
func (f *Follower) Close() error {
	f.cancel()
	f.loops.Wait()
	return nil
}

// StoreAnswered reports whether the store answered this process's last call.
func (f *Follower) StoreAnswered() bool {
	return f.storeAnswered.Load()
}

// pullLoop pulls later revisions from peers.
func (f *Follower) pullLoop(ctx context.Context) {
	for wait.For(ctx, pullInterval) {
		revision := f.state.Revision()
		address, ok := f.peers.Ahead(revision)
		if !ok {
			continue
		}
		f.pull(ctx, address, revision)
	}
}

func (f *Follower) pull(ctx context.Context, address string, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	delta, err := f.peers.Pull(ctx, address, revision)
	if err != nil {
		f.log.Debug("configuration pull failed", "peer", address, "error", err)
		return
	}
	f.apply(delta, address)
}

func (f *Follower) apply(delta *wire.Delta, from string) {
	advanced, err := f.state.Apply(delta)
	if err != nil {
		f.log.Warn("configuration not applied", "from", from, "error", err)
		return
	}
	if advanced {
		f.log.Info("configuration in force", "revision", delta.GetTo(), "from", from)
	}
}

// watchLoop watches the store's manifest while this process is a watcher.
func (f *Follower) watchLoop(ctx context.Context) {
	pause := minWatchPause
	for ctx.Err() == nil {
		if !f.peers.Watcher() {
			wait.For(ctx, minWatchPause)
			continue
		}
		known := f.loadedVersion()
		if err := f.watchOnce(ctx, known); err != nil && ctx.Err() == nil {
			f.storeAnswered.Store(false)
			f.log.Debug("store watch failed", "error", err)
			wait.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxWatchPause)
			continue
		}
		pause = minWatchPause
		if f.loadedVersion() == known {
			wait.For(ctx, minWatchPause) // the store may not have waited
		}
	}
}

// watchOnce waits for a manifest later than the loaded one, of a known version, and loads it.
func (f *Follower) watchOnce(ctx context.Context, known uint64) error {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := f.repository.store.Watch(watchCtx, ManifestKey, known)
	if errors.Is(watchCtx.Err(), context.DeadlineExceeded) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "watch manifest")
	}
	f.storeAnswered.Store(true)
	manifest, err := parseManifest(value)
	if err != nil {
		return err
	}
	return f.load(ctx, manifest)
}

// loadedVersion returns the store version of the manifest that was loaded last.
func (f *Follower) loadedVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded == nil {
		return 0
	}
	return f.loaded.version
}

func (f *Follower) load(ctx context.Context, manifest Manifest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.state.Revision()
	if manifest.Revision < current {
		f.log.Warn("store is behind the fleet; its configuration is not applied", "store", manifest.Revision, "held", current)
		f.loaded = &manifest
		return nil
	}
	if manifest.Revision == current {
		f.loaded = &manifest
		return nil
	}
	base := f.loaded
	if base != nil && base.Revision != current {
		base = nil
	}
	delta, err := f.repository.load(ctx, &manifest, f.state, base)
	if err != nil {
		return err
	}
	f.apply(delta, "store")
	f.loaded = &manifest
	return nil
}

// Fetch loads the configuration from the store once, so that a process that has just accepted a
// command applies it immediately.
func (f *Follower) Fetch(ctx context.Context) error {
	manifest, err := f.repository.manifest(ctx)
	if err != nil {
		return err
	}
	f.storeAnswered.Store(true)
	return f.load(ctx, manifest)
}
