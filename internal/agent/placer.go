package agent

import (
	"cmp"
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

// PlacementOptions configures when managed engines change their models.
type PlacementOptions struct {
	// Settle is how long the placements must assign the same model to an engine before it
	// changes, so that agents whose member lists disagree cause no needless loads.
	Settle time.Duration
	// LoadsPerSecond is how many model loads per second the weight store can serve for
	// the whole fleet. Engines take turns.
	LoadsPerSecond float64
	// Freshness limits the time between a decision and its order. An agent that was
	// suspended for longer decides again, because not all targets check tokens.
	Freshness time.Duration
}

// Defaults of PlacementOptions, and the timing of orders.
const (
	defaultSettle         = 15 * time.Second
	defaultLoadsPerSecond = 2
	defaultFreshness      = 5 * time.Second
	// placementInterval is the time between two evaluations of the placements.
	placementInterval = time.Second
	// orderTimeout limits one order.
	orderTimeout = 10 * time.Minute
	// tokensPerMillisecond is how many orders an agent may send per millisecond of its
	// lifetime without reaching the tokens of a later incarnation.
	tokensPerMillisecond = 1000
)

func (o *PlacementOptions) defaults() {
	o.Settle = cmp.Or(o.Settle, defaultSettle)
	o.LoadsPerSecond = cmp.Or(o.LoadsPerSecond, defaultLoadsPerSecond)
	o.Freshness = cmp.Or(o.Freshness, defaultFreshness)
}

// pendingModel is the model that an engine should load, and when, on the boot clock.
type pendingModel struct {
	model string
	dueAt time.Duration
	set   bool
}

// Actions of orders to engines.
const (
	orderLoad   = "load"
	orderUnload = "unload"
)

func (a *Agent) hasManagedTargets() bool {
	for _, p := range a.targets {
		if p.Managed {
			return true
		}
	}
	return false
}

// placementLoop applies the placements to this agent's managed engines.
func (a *Agent) placementLoop(ctx context.Context) {
	for wait.For(ctx, placementInterval) {
		a.placementRound(ctx)
	}
}

func (a *Agent) placementRound(ctx context.Context) {
	engines := a.managedEngines()
	assigned := policy.Assign(a.wantedPlacements(), engines)
	now := a.options.Clock.Boot()
	for _, id := range a.targetIDs {
		p := a.targets[id]
		model, ok := assigned[id]
		if !p.Managed || !ok || p.scheduled.Load() || a.leaving(id) {
			continue
		}
		if model == p.pool() {
			p.pending = pendingModel{}
			continue
		}
		if !p.pending.set || p.pending.model != model {
			dueAt := now + a.options.Placement.Settle + a.loadDelay(id, engines, assigned)
			p.pending = pendingModel{model: model, dueAt: dueAt, set: true}
			continue
		}
		if now+placementInterval < p.pending.dueAt {
			continue
		}
		p.scheduled.Store(true)
		dueAt := p.pending.dueAt
		p.pending = pendingModel{}
		a.wg.Go(func() {
			defer p.scheduled.Store(false)
			if wait.For(ctx, dueAt-now) {
				a.changeModel(ctx, p, model)
			}
		})
	}
}

// wantedPlacements returns the placements in force.
func (a *Agent) wantedPlacements() []policy.Wanted {
	view := a.options.Config.View()
	wanted := make([]policy.Wanted, 0, len(view.Placements))
	for model, placement := range view.Placements {
		wanted = append(wanted, policy.Wanted{Model: model, Replicas: placement.Replicas})
	}
	return wanted
}

// managedEngines returns the live managed engines and their models. For this agent's own
// engines it uses local state.
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
	for _, p := range a.targets {
		if p.Managed {
			engines = append(engines, policy.Holder{Engine: p.ID, Holds: p.pool()})
		}
	}
	return engines
}

// loadDelay spreads loads over time: all engines that have a model to load take turns in
// an order that every agent computes alike.
func (a *Agent) loadDelay(id string, engines []policy.Holder, assigned map[string]string) time.Duration {
	var waiting []string
	for _, engine := range engines {
		if model := assigned[engine.Engine]; model != "" && model != engine.Holds {
			waiting = append(waiting, engine.Engine)
		}
	}
	position := slices.Index(policy.Rank("loads", waiting), id)
	return time.Duration(float64(max(position, 0)) / a.options.Placement.LoadsPerSecond * float64(time.Second))
}

// changeModel drains an engine, changes its model and admits requests again. If an order
// fails, the engine has no model and the next round tries again.
func (a *Agent) changeModel(ctx context.Context, p *localTarget, model string) {
	p.changing.Store(true)
	defer p.changing.Store(false)
	oldModel := p.pool()
	p.gate.Leave()
	select {
	case <-p.gate.Drained():
	case <-ctx.Done():
		return
	}
	defer p.gate.Return()
	// The drain may have taken long, so the assignment may have changed.
	decidedAt, ok := a.stillWanted(p, model)
	if !ok {
		return
	}
	if oldModel != "" {
		p.setPool("")
		if err := a.sendOrder(ctx, p, decidedAt, orderUnload, oldModel); err != nil {
			a.log.Warn("engine could not unload its model", "target", p.ID, "model", oldModel, "error", err)
		}
	}
	if model != "" {
		if err := a.loadModel(ctx, p, model); err != nil {
			a.log.Warn("engine could not load its model", "target", p.ID, "model", model, "error", err)
			return
		}
	}
	p.setPool(model)
	a.log.Info("engine changed its model", "target", p.ID, "from", oldModel, "to", model)
}

// loadAttempts is how often a load is ordered before the assignment is evaluated again.
// The weight store may refuse some loads because of its rate limit.
const loadAttempts = 6

// loadModel orders a load, and repeats a failed order with growing and jittered delays.
func (a *Agent) loadModel(ctx context.Context, p *localTarget, model string) error {
	delays := backoff.NewExponentialBackOff()
	var err error
	for range loadAttempts {
		decidedAt, ok := a.stillWanted(p, model)
		if !ok {
			return errDecisionStale
		}
		if err = a.sendOrder(ctx, p, decidedAt, orderLoad, model); err == nil {
			return nil
		}
		if !wait.For(ctx, delays.NextBackOff()) {
			return err
		}
	}
	return err
}

// errDecisionStale is returned when the decision behind an order no longer applies, or
// the agent was suspended since.
var errDecisionStale = errors.New("the decision is out of date; the next round decides again")

// stillWanted reports whether an engine should still get a model, and the boot time at
// which this evaluation began.
func (a *Agent) stillWanted(p *localTarget, model string) (decidedAt time.Duration, ok bool) {
	decidedAt = a.options.Clock.Boot()
	return decidedAt, policy.Assign(a.wantedPlacements(), a.managedEngines())[p.ID] == model
}

// sendOrder sends one order with a fencing token, unless the agent was suspended since
// the decision.
func (a *Agent) sendOrder(ctx context.Context, p *localTarget, decidedAt time.Duration, action, model string) error {
	order := target.Order{Token: a.nextToken(), Action: action, Model: model}
	if a.options.Clock.Boot()-decidedAt > a.options.Placement.Freshness {
		return errDecisionStale
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.Engine.Order(ctx, order)
}

// nextToken returns a token above all those that this agent and its earlier incarnations
// have used. Tokens begin with the start time of the process.
func (a *Agent) nextToken() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastToken == 0 {
		a.lastToken = uint64(a.options.Clock.Wall().UnixMilli()) * tokensPerMillisecond
	}
	a.lastToken++
	return a.lastToken
}
