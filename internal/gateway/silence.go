package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/routing"
)

// silenceToHead is how long the target may take to the head of its answer
// before the attempt may be left for another target; zero for no such bound.
func (a *attempt) silenceToHead() time.Duration {
	route := a.call.route
	if route.TargetLatency <= 0 {
		return 0
	}
	share := silentShare
	if route.Kind == routing.Stream {
		share = silentStreamShare
	}
	return max(leastSilence, time.Duration(share*float64(route.TargetLatency)))
}

// silenceBetween is the same between two events.
func (a *attempt) silenceBetween() time.Duration {
	return time.Duration(silentGaps * float64(a.call.route.TargetGap))
}

// watch ends the attempt after a silence, if the delivery allows another
// target and the budget pays for it. Each call begins the time anew.
func (a *attempt) watch(ctx context.Context, silence time.Duration) {
	if silence <= 0 || !a.call.delivery.MayAbandon() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over || a.spent {
		return
	}
	if a.timer != nil {
		a.timer.Reset(silence)
		return
	}
	a.timer = time.AfterFunc(silence, func() { a.leave(ctx) })
}

// leave ends a silent attempt.
func (a *attempt) leave(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over || a.spent {
		return
	}
	if !a.call.spare(ctx) {
		a.beginToLook() // it can't go on elsewhere
		return
	}
	a.spent = true
	a.cancel()
}

// stopWatch ends the watch; the attempt can't be left any more.
func (a *attempt) stopWatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *attempt) isSpent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spent
}
