package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/routing"
)

// maxSilenceToHead is how long the target may take to the head of its answer
// before the attempt may be left for another target; zero for no such bound.
func (a *attempt) maxSilenceToHead() time.Duration {
	route := a.call.route
	if route.TargetLatency <= 0 {
		return 0
	}
	share := maxSilenceShare
	if route.Kind == routing.Stream {
		share = maxStreamSilenceShare
	}
	return max(minSilence, time.Duration(share*float64(route.TargetLatency)))
}

// maxSilenceBetweenEvents is the same between two events.
func (a *attempt) maxSilenceBetweenEvents() time.Duration {
	return time.Duration(maxSilenceGaps * float64(a.call.route.TargetGap))
}

// watch ends the attempt after a silence, if the delivery allows another
// target and the budget pays for it. Each call begins the time anew.
func (a *attempt) startSilenceTimer(ctx context.Context, silence time.Duration) {
	if silence <= 0 || !a.call.delivery.MayAbandon() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.committed || a.abandoned {
		return
	}
	if a.timer != nil {
		a.timer.Reset(silence)
		return
	}
	a.timer = time.AfterFunc(silence, func() { a.onSilence(ctx) })
}

// leave ends a silent attempt.
func (a *attempt) onSilence(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.committed || a.abandoned {
		return
	}
	if !a.call.takeRetry(ctx) {
		a.startLivenessTimer() // it can't go on elsewhere
		return
	}
	a.abandoned = true
	a.cancel()
}

// stopSilenceTimer ends the watch; the attempt can't be left any more.
func (a *attempt) stopSilenceTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.committed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *attempt) isAbandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}
