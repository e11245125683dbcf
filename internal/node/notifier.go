package node

import (
	"context"
	"sync"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/member"
)

// configNotifier notifies some members as soon as a new configuration revision is in force
// here, so that it spreads faster than with the regular heartbeats.
type configNotifier struct {
	state      *config.State
	heartbeats *member.Service
	cancel     context.CancelFunc
	wait       sync.WaitGroup
}

func newConfigNotifier(state *config.State, heartbeats *member.Service) *configNotifier {
	return &configNotifier{state: state, heartbeats: heartbeats}
}

// Start starts to watch the configuration.
func (u *configNotifier) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.wait.Go(func() { u.loop(ctx) })
	return nil
}

func (u *configNotifier) loop(ctx context.Context) {
	for {
		changed := u.state.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			u.heartbeats.NotifyPeers()
		}
	}
}

// Close stops the notifier and waits for it.
func (u *configNotifier) Close() error {
	u.cancel()
	u.wait.Wait()
	return nil
}
