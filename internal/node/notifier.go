package node

import (
	"context"
	"sync"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/member"
)

// urger tells a few members at once when a new configuration revision comes
// into force here, so that it spreads faster than by the usual beats.
type urger struct {
	state  *config.State
	beats  *member.Service
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newUrger(state *config.State, beats *member.Service) *urger {
	return &urger{state: state, beats: beats}
}

// Start begins to watch the configuration.
func (u *urger) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.wait.Go(func() { u.loop(ctx) })
	return nil
}

func (u *urger) loop(ctx context.Context) {
	for {
		changed := u.state.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			u.beats.NotifyPeers()
		}
	}
}

// Close stops and waits.
func (u *urger) Close() error {
	u.cancel()
	u.wait.Wait()
	return nil
}
