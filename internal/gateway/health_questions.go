package gateway

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

const (
	// healthStep and healthSteps determine how long an answer about a target's health is awaited. A
	// step that ends late, since this process didn't run, is repeated up to maxLateSteps times: the
	// answer may lie in its sockets.
	healthStep   = 15 * time.Millisecond
	healthSteps  = 4
	maxLateSteps = 20
	// firstAsksPerSecond and firstAskBurst limit the questions because of requests that are not known
	// to come again: most of these are slow, and each question costs a connection.
	firstAsksPerSecond = 0.05
	firstAskBurst      = 2
	// repeatedAsksPerSecond and repeatedAskBurst limit those because of requests that were silent here
	// before, as many are while a data centre is lost.
	repeatedAsksPerSecond = 4
	repeatedAskBurst      = 8
	// maxSilentRequests limits the requests that are remembered as silent.
	maxSilentRequests = 1024
)

// Health is how a target answered a question about its health.
type Health int

// The possible answers.
const (
	// HealthUnclear: the connection was reset, or could not be made for a reason other than silence.
	HealthUnclear Health = iota
	// HealthAnswered: the target answered, whatever it said.
	HealthAnswered
	// HealthSilent: nothing arrived in time.
	HealthSilent
	// HealthRefused: nothing listens at its address.
	HealthRefused
)

// AskHealth asks a target for its health, and waits for the answer for a moment in which this process
// runs.
func (c *Crashes) AskHealth(ctx context.Context, target balance.Target) Health {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan Health, 1)
	if !c.spawn(func() { answer <- c.Prober.AskHealth(ctx, target) }) {
		return HealthUnclear
	}
	health := awaitHealth(ctx, answer)
	c.Watcher.HealthAsked(health)
	switch health {
	case HealthAnswered:
		c.targetAnswered(target.Incarnation(), clock.Now())
	case HealthRefused:
		c.noteRefused(target.Incarnation(), clock.Now())
	case HealthSilent, HealthUnclear:
	}
	return health
}

// awaitHealth waits for an answer for healthSteps steps in which this process ran.
func awaitHealth(ctx context.Context, answer <-chan Health) Health {
	late := 0
	for step := 0; step < healthSteps; {
		start := clock.Now()
		timer := time.NewTimer(healthStep)
		select {
		case health := <-answer:
			timer.Stop()
			return health
		case <-ctx.Done():
			timer.Stop()
			return HealthUnclear
		case <-timer.C:
		}
		if clock.Since(start) > 2*healthStep && late < maxLateSteps {
			late++
			continue
		}
		step++
	}
	return HealthSilent
}

// askBudget limits how often targets are asked for their health because of requests that are not
// suspected.
type askBudget struct {
	first, repeated *rate.Limiter
	// silent holds the requests that were silent lately.
	silent *lru.Cache[quarantine.Fingerprint, struct{}]
}

func newAskBudget() askBudget {
	silent, err := lru.New[quarantine.Fingerprint, struct{}](maxSilentRequests)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return askBudget{first: rate.NewLimiter(firstAsksPerSecond, firstAskBurst), repeated: rate.NewLimiter(repeatedAsksPerSecond, repeatedAskBurst), silent: silent}
}

// allow reports whether a target may be asked because a request is silent there.
func (b *askBudget) allow(fingerprint quarantine.Fingerprint, now time.Time) bool {
	if known, _ := b.silent.ContainsOrAdd(fingerprint, struct{}{}); known {
		return b.repeated.AllowN(now, 1)
	}
	return b.first.AllowN(now, 1)
}
