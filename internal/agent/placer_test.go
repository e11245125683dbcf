package agent

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// pausingClock jumps at its second reading.
type pausingClock struct {
	reads int
	jump  time.Duration
}

func (c *pausingClock) Wall() time.Time { return time.UnixMilli(1_700_000_000_000) }

func (c *pausingClock) Boot() time.Duration {
	c.reads++
	if c.reads == 1 {
		return time.Hour
	}
	return time.Hour + c.jump
}

// orderedEngine records the orders that it receives.
type orderedEngine struct {
	target.Engine
	tokens []uint64
}

func (e *orderedEngine) Order(_ context.Context, order target.Order) error {
	e.tokens = append(e.tokens, order.Token)
	return nil
}

// TestOrderFreshnessAndTokens checks that an agent that was suspended between a decision
// and its order does not send the order, so that an engine that checks no tokens gets no
// late one. Tokens must increase.
func TestOrderFreshnessAndTokens(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		given bool
	}{
		"at once":     {0, true},
		"short pause": {4 * time.Second, true},
		"long pause":  {6 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := &orderedEngine{}
			clock := &pausingClock{jump: tt.pause}
			a := New(Options{
				ID: "a", Targets: []Target{{ID: "e", Managed: true, Engine: engine}}, Admission: admission.DefaultOptions(),
				Members: member.NewList(member.DefaultOptions(), &wire.Member{Id: "a"}), Config: config.NewState(), Clock: clock, Log: log.New(io.Discard),
			})
			decided := clock.Boot()
			err := a.sendOrder(t.Context(), a.targets["e"], decided, orderLoad, "m")
			is.Equal(err == nil, tt.given)
			is.Equal(errors.Is(err, errDecisionStale), !tt.given)
			is.Equal(len(engine.tokens) == 1, tt.given)
			first := a.nextToken()
			is.True(a.nextToken() > first)
		})
	}
}
