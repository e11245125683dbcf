package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/routing"
)

const (
	// maxSilenceShare is the share of a route's target latency that a target of a repeatable
	// request may be silent before another target is tried.
	maxSilenceShare = 0.6
	// maxStreamSilenceShare is the same share for the first event of a stream.
	maxStreamSilenceShare = 1.0
	// maxSilenceGaps is the limit between events, as a multiple of the route's target gap.
	maxSilenceGaps = 2.5
	// minSilence is the lower bound of these limits.
	minSilence = 30 * time.Millisecond
)

// maxSilenceToHead returns how long the target may take to the headers of its answer before the
// attempt may be abandoned for another target; zero means no limit.
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

// maxSilenceBetweenEvents returns the same limit between two events.
func (a *attempt) maxSilenceBetweenEvents() time.Duration {
	return time.Duration(maxSilenceGaps * float64(a.call.route.TargetGap))
}

// startSilenceTimer abandons the attempt after a silence, if the delivery allows another target and
// the retry budget pays for it. Each call restarts the timer.
func (a *attempt) startSilenceTimer(ctx context.Context, silence time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchSilence(silence)
	if silence <= 0 || !a.call.delivery.MayAbandon() {
		return
	}
	if a.committed || a.abandoned {
		return
	}
	if a.timer != nil {
		a.timer.Reset(silence)
		return
	}
	a.timer = time.AfterFunc(silence, func() { a.onSilence(ctx) })
}

// onSilence abandons a silent attempt, unless it is a trial: nothing else is sent meanwhile, and its answer
// decides.
func (a *attempt) onSilence(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.committed || a.abandoned {
		return
	}
	if a.isTrial() || !a.call.takeRetry(ctx) {
		a.startLivenessTimer() // it can't continue at another target
		return
	}
	a.abandoned = true
	a.cancel()
}

// stopSilenceTimer stops the timer. The attempt can no longer be abandoned.
func (a *attempt) stopSilenceTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.committed = true
	for _, timer := range []*time.Timer{a.timer, a.silenceTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
}

func (a *attempt) isAbandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}
