package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wait"
)

// PlacementOptions are the times of changes of managed engines' models.
type PlacementOptions struct {
	// Settle is how long the placements must give an engine the same model
	// before it changes, so that lists that disagree cause no load.
	Settle time.Duration
	// LoadsPerSecond is how many loads the weight store bears from the whole
	// fleet; engines take turns.
	LoadsPerSecond float64
	// Freshness bounds the time between a decision and its order. An agent
	// that was paused longer decides again: not all targets check tokens.
	Freshness time.Duration
}

// Defaults of PlacementOptions.
const (
	defaultSettle    = 15 * time.Second
	defaultLoads     = 2
	defaultFreshness = 5 * time.Second
	// placeEvery is the time between two looks at the placements.
	placeEvery = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 10 * time.Minute
	// tokenSteps is how many orders an agent may give in a millisecond of its
	// life without meeting a later run's tokens.
	tokenSteps = 1000
)

func (o *PlacementOptions) defaults() {
	if o.Settle == 0 {
		o.Settle = defaultSettle
	}
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond = defaultLoads
	}
	if o.Freshness == 0 {
		o.Freshness = defaultFreshness
	}
}

// wish is the model that an engine should hold, and when it is to change, on
// the boot clock.
type wish struct {
	model string
	due   time.Duration
	known bool
}

// Orders that engines understand.
const (
	orderLoad   = "load"
	orderUnload = "unload"
)

func (a *Agent) manages() bool {
	for _, p := range a.places {
		if p.Managed {
			return true
		}
	}
	return false
}

// placeLoop follows the placements for this agent's managed engines.
func (a *Agent) placeLoop(ctx context.Context) {
	for wait.For(ctx, placeEvery) {
		a.placeRound(ctx)
	}
}

func (a *Agent) placeRound(ctx context.Context) {
	engines := a.managedEngines()
	assigned := policy.Assign(a.wanted(), engines)
	now := a.options.Clock.Boot()
	for _, id := range a.order {
		p := a.places[id]
		model, ok := assigned[id]
		if !p.Managed || !ok || p.scheduled.Load() || a.leaving(id) {
			continue
		}
		if model == p.pool() {
			p.wish = wish{}
			continue
		}
		if !p.wish.known || p.wish.model != model {
			due := now + a.options.Placement.Settle + a.turn(id, engines, assigned)
			p.wish = wish{model: model, due: due, known: true}
			continue
		}
		if now+placeEvery < p.wish.due {
			continue
		}
		p.scheduled.Store(true)
		due := p.wish.due
		p.wish = wish{}
		a.wait.Go(func() {
			defer p.scheduled.Store(false)
			if wait.For(ctx, due-now) {
				a.changeModel(ctx, p, model)
			}
		})
	}
}

// wanted lists the placements in force.
func (a *Agent) wanted() []policy.Wanted {
	view := a.options.Config.View()
	wanted := make([]policy.Wanted, 0, len(view.Placements))
	for model, placement := range view.Placements {
		wanted = append(wanted, policy.Wanted{Model: model, Replicas: placement.Replicas})
	}
	return wanted
}

// managedEngines lists the live managed engines and what they hold, this
// agent's own from what it knows itself.
func (a *Agent) managedEngines() []policy.Holder {
	var engines []policy.Holder
	a.options.Members.Visit(func(view member.View) {
		m := view.Member
		if m.GetId() == a.options.ID || !view.Alive() || m.GetLeaving() || !view.Steady {
			return
		}
		for _, t := range m.GetTargets() {
			if t.GetManaged() {
				engines = append(engines, policy.Holder{Engine: t.GetId(), Holds: t.GetPool()})
			}
		}
	})
	for _, p := range a.places {
		if p.Managed {
			engines = append(engines, policy.Holder{Engine: p.ID, Holds: p.pool()})
		}
	}
	return engines
}

// turn spreads loads over time: all engines that have a model to load take
// turns in one order that every agent works out alike.
func (a *Agent) turn(id string, engines []policy.Holder, assigned map[string]string) time.Duration {
	var waiting []string
	for _, engine := range engines {
		if model := assigned[engine.Engine]; model != "" && model != engine.Holds {
			waiting = append(waiting, engine.Engine)
		}
	}
	position := slices.Index(policy.Rank("loads", waiting), id)
	return time.Duration(float64(max(position, 0)) / a.options.Placement.LoadsPerSecond * float64(time.Second))
}

// changeModel drains an engine, gives it its new model and opens it again. If
// an order fails the engine holds nothing, and the next round tries again.
func (a *Agent) changeModel(ctx context.Context, p *place, model string) {
	p.changing.Store(true)
	defer p.changing.Store(false)
	before := p.pool()
	p.gate.Leave()
	select {
	case <-p.gate.Drained():
	case <-ctx.Done():
		return
	}
	defer p.gate.Return()
	// The drain may have taken long: what was wanted then may be so no more.
	decided, ok := a.stillWanted(p, model)
	if !ok {
		return
	}
	if before != "" {
		p.setPool("")
		if err := a.giveOrder(ctx, p, decided, orderUnload, before); err != nil {
			a.log.Warn("engine did not unload", "target", p.ID, "model", before, "error", err)
		}
	}
	if model != "" {
		if err := a.load(ctx, p, model); err != nil {
			a.log.Warn("engine did not load", "target", p.ID, "model", model, "error", err)
			return
		}
	}
	p.setPool(model)
	a.log.Info("engine changed its model", "target", p.ID, "from", before, "to", model)
}

// loadTries is how often a load is ordered before the assignment is looked at
// again; the weight store may refuse some for its rate.
const loadTries = 6

// load orders a load, again with growing and jittered waits if it is refused.
func (a *Agent) load(ctx context.Context, p *place, model string) error {
	waits := backoff.NewExponentialBackOff()
	var err error
	for range loadTries {
		decided, ok := a.stillWanted(p, model)
		if !ok {
			return errStale
		}
		if err = a.giveOrder(ctx, p, decided, orderLoad, model); err == nil {
			return nil
		}
		if !wait.For(ctx, waits.NextBackOff()) {
			return err
		}
	}
	return err
}

// errStale says that the decision behind an order no longer holds, or that the
// agent was paused since.
var errStale = errors.New("the decision is too old, another will follow")

// stillWanted says whether an engine should still hold a model, and at which
// boot time that was begun to be worked out.
func (a *Agent) stillWanted(p *place, model string) (decided time.Duration, ok bool) {
	decided = a.options.Clock.Boot()
	return decided, policy.Assign(a.wanted(), a.managedEngines())[p.ID] == model
}

// giveOrder gives one fenced order, unless the agent was paused since it was
// decided.
func (a *Agent) giveOrder(ctx context.Context, p *place, decided time.Duration, action, model string) error {
	order := target.Order{Token: a.nextToken(), Action: action, Model: model}
	if a.options.Clock.Boot()-decided > a.options.Placement.Freshness {
		return errStale
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.Engine.Order(ctx, order)
}

// nextToken gives a token above all those that this agent and its earlier runs
// have given: it begins with the time of this run's start.
func (a *Agent) nextToken() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.token == 0 {
		a.token = uint64(a.options.Clock.Wall().UnixMilli()) * tokenSteps
	}
	a.token++
	return a.token
}
