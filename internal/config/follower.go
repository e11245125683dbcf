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

// Peers is what the follower needs of other processes.
type Peers interface {
	// Ahead gives the link address of a live peer that says it holds a
	// revision above the given one.
	Ahead(revision uint64) (address string, ok bool)
	// Pull asks a peer for the changes after a revision.
	Pull(ctx context.Context, address string, have uint64) (*wire.Delta, error)
	// Watcher says whether this process is among the few that watch the
	// store now.
	Watcher() bool
}

const (
	// pullEvery is how often peers' revisions are looked at.
	pullEvery = 200 * time.Millisecond
	// watchFor bounds one waiting watch.
	watchFor = 60 * time.Second
	// watchPause and mostPause bound the wait after a failed watch.
	watchPause = time.Second
	mostPause  = 30 * time.Second
	// pullTimeout bounds one pull from a peer.
	pullTimeout = 2 * time.Second
)

// Follower keeps a process's configuration at the newest revision it can
// learn of, from peers and, on a few processes, from the store.
type Follower struct {
	state      *State
	repository repository
	peers      Peers
	log        *log.Logger
	// mu is held while the store's configuration is loaded.
	mu sync.Mutex
	// known is the manifest whose buckets the state holds; nil if unknown.
	known *Manifest
	// storeSeen says whether the store answered the last call.
	storeSeen atomic.Bool

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// NewFollower returns a follower; Start begins its work.
func NewFollower(state *State, store external.Store, peers Peers, logger *log.Logger) *Follower {
	return &Follower{state: state, repository: repository{store: store}, peers: peers, log: logger}
}

// Start begins to follow.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.loops.Go(func() { f.pullLoop(ctx) })
	f.loops.Go(func() { f.watchLoop(ctx) })
	return nil
}

// Close stops following.
func (f *Follower) Close() error {
	f.cancel()
	f.loops.Wait()
	return nil
}

// StoreAnswered says whether the store answered this process's last call.
func (f *Follower) StoreAnswered() bool {
	return f.storeSeen.Load()
}

// pullLoop takes later revisions from peers.
func (f *Follower) pullLoop(ctx context.Context) {
	for wait.For(ctx, pullEvery) {
		have := f.state.Revision()
		address, ok := f.peers.Ahead(have)
		if !ok {
			continue
		}
		f.pull(ctx, address, have)
	}
}

func (f *Follower) pull(ctx context.Context, address string, have uint64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	delta, err := f.peers.Pull(ctx, address, have)
	if err != nil {
		f.log.Debug("configuration pull failed", "peer", address, "error", err)
		return
	}
	f.take(delta, address)
}

func (f *Follower) take(delta *wire.Delta, from string) {
	rose, err := f.state.Apply(delta)
	if err != nil {
		f.log.Warn("configuration not applied", "from", from, "error", err)
		return
	}
	if rose {
		f.log.Info("configuration in force", "revision", delta.GetTo(), "from", from)
	}
}

// watchLoop waits on the store's manifest while this process is a watcher.
func (f *Follower) watchLoop(ctx context.Context) {
	pause := watchPause
	for ctx.Err() == nil {
		if !f.peers.Watcher() {
			wait.For(ctx, watchPause)
			continue
		}
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			f.storeSeen.Store(false)
			f.log.Debug("store watch failed", "error", err)
			wait.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, mostPause)
			continue
		}
		pause = watchPause
	}
}

// watchOnce loads a later manifest or waits for one.
func (f *Follower) watchOnce(ctx context.Context) error {
	version := f.knownVersion()
	bounded, cancel := context.WithTimeout(ctx, watchFor)
	defer cancel()
	value, err := f.repository.store.Watch(bounded, ManifestKey, version)
	if errors.Is(bounded.Err(), context.DeadlineExceeded) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "watch manifest")
	}
	f.storeSeen.Store(true)
	manifest, err := parseManifest(value)
	if err != nil {
		return err
	}
	return f.load(ctx, manifest)
}

// knownVersion is the version of the manifest that was loaded last.
func (f *Follower) knownVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		return 0
	}
	return f.known.version
}

func (f *Follower) load(ctx context.Context, manifest Manifest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.state.Revision()
	if manifest.Revision < held {
		f.log.Warn("the store is behind the fleet; not applied", "store", manifest.Revision, "held", held)
		f.known = &manifest
		return nil
	}
	if manifest.Revision == held {
		f.known = &manifest
		return nil
	}
	known := f.known
	if known != nil && known.Revision != held {
		known = nil
	}
	delta, err := f.repository.load(ctx, &manifest, f.state, known)
	if err != nil {
		return err
	}
	f.take(delta, "store")
	f.known = &manifest
	return nil
}

// Fetch reads the store once, so that a process that has just accepted a
// command acts on it at once.
func (f *Follower) Fetch(ctx context.Context) error {
	manifest, err := f.repository.manifest(ctx)
	if err != nil {
		return err
	}
	f.storeSeen.Store(true)
	return f.load(ctx, manifest)
}
