package agent

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// syncInterval is the time between two rounds that update the gates. Every meanRounds
	// rounds the gates get the mean loads of their pools.
	syncInterval = 200 * time.Millisecond
	meanRounds   = 5
	// hostListInterval is the time between two reads of the host list.
	hostListInterval = 5 * time.Second
	// slotHandOverTimeout is how long a leaving service target stays open to hand over
	// its slots without refusing requests.
	slotHandOverTimeout = 2 * time.Second
	// engineReportRounds is the number of rounds between two requests to the engines for
	// their load and cache events.
	engineReportRounds = 5
)

func (a *Agent) syncLoop(ctx context.Context) {
	for round := 0; wait.For(ctx, syncInterval); round++ {
		if round%meanRounds == 0 {
			a.updateMeans()
		}
		a.syncTargets(ctx)
		if round%engineReportRounds == 0 {
			a.updateForeign(ctx)
			a.pollCacheEvents(ctx)
		}
	}
}

// updateMeans sets the mean loads of the pools on the gates.
func (a *Agent) updateMeans() {
	means := a.options.Members.MeanLoads()
	for _, p := range a.targets {
		if mean, ok := means[p.pool()]; ok {
			p.gate.SetMean(mean)
		}
	}
}

// syncTargets updates which targets are leaving, and publishes the gates' loads to the
// membership list.
func (a *Agent) syncTargets(ctx context.Context) {
	loads := make([]member.Load, 0, len(a.targetIDs))
	states := make([]*wire.TargetState, 0, len(a.targetIDs))
	for _, id := range a.targetIDs {
		p := a.targets[id]
		leaving := a.leaving(id)
		a.setLeaving(ctx, p, leaving)
		load := p.gate.Load()
		loads = append(loads, member.Load{InFlight: uint32(load.InFlight), Limit: uint32(load.Limit)})
		states = append(states, &wire.TargetState{Id: id, Pool: p.pool(), Leaving: leaving || p.changing.Load(), Service: p.Service != nil, Managed: p.Managed, Version: p.Version})
	}
	a.reportStates(states)
	a.options.Members.SetLoads(loads)
}

// reportStates publishes the targets' states if they have changed.
func (a *Agent) reportStates(states []*wire.TargetState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reportedStopping == a.stopping && sameStates(a.reportedStates, states) {
		return
	}
	a.reportedStates, a.reportedStopping = states, a.stopping
	a.options.Members.SetSelf(a.stopping, states)
}

func sameStates(reported, states []*wire.TargetState) bool {
	if len(reported) != len(states) {
		return false
	}
	for i, state := range states {
		if reported[i].GetLeaving() != state.GetLeaving() || reported[i].GetPool() != state.GetPool() {
			return false
		}
	}
	return true
}

// leaving reports whether a target must accept no new work: the process is about to stop,
// the host is leaving, or an operator marked the target.
func (a *Agent) leaving(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping || a.hostLeaving || a.options.Config.View().Leaving(id)
}

// setLeaving closes or opens a target's gate. A service's target first hands over its
// slots, for at most slotHandOverTimeout.
func (a *Agent) setLeaving(ctx context.Context, p *localTarget, leaving bool) {
	if p.changing.Load() {
		return
	}
	closed := p.gate.Load().Leaving
	switch {
	case leaving && !closed:
		manager := a.slotManagers[p.Pool]
		if p.Service == nil || manager == nil || manager.guard.OwnedSlots() == 0 {
			p.gate.Leave()
			a.handOverCache(ctx, p)
			return
		}
		a.leaveAfterHandOver(ctx, p, manager)
	case !leaving && closed:
		p.gate.Return()
	}
}

// leaveAfterHandOver closes a service target's gate once its slots have moved.
func (a *Agent) leaveAfterHandOver(ctx context.Context, p *localTarget, manager *slotManager) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.leaveDeadline.IsZero() {
		p.leaveDeadline = time.Now().Add(slotHandOverTimeout)
		return
	}
	if manager.guard.OwnedSlots() > 0 && time.Now().Before(p.leaveDeadline) && ctx.Err() == nil {
		return
	}
	p.leaveDeadline = time.Time{}
	p.gate.Leave()
}

// updateForeign asks engines how many requests they still run from before this process
// started, which count against the limit too. The count only falls: the engines' reports
// lag, so later ones also include requests that this agent admitted and has seen end.
func (a *Agent) updateForeign(ctx context.Context) {
	for _, id := range a.targetIDs {
		p := a.targets[id]
		if p.Engine == nil || p.foreignKnown && p.foreign == 0 {
			continue
		}
		report, err := p.Engine.Load(ctx)
		if err != nil {
			continue
		}
		count := max(report.Running+report.Waiting-p.gate.OwnInFlight(), 0)
		if p.foreignKnown {
			count = min(count, p.foreign)
		}
		p.foreign, p.foreignKnown = count, true
		p.gate.SetForeign(count)
	}
}

// pollCacheEvents applies the engines' cache events.
func (a *Agent) pollCacheEvents(ctx context.Context) {
	for _, id := range a.targetIDs {
		p := a.targets[id]
		if p.Engine == nil {
			continue
		}
		events, err := p.Engine.CacheEvents(ctx, p.held.nextEventNumber())
		if err == nil {
			p.held.applyEvents(events)
		}
	}
}

// hostLoop reads this host's entry in the platform's host list.
func (a *Agent) hostLoop(ctx context.Context) {
	for {
		a.readHosts(ctx)
		if !wait.For(ctx, hostListInterval) {
			return
		}
	}
}

func (a *Agent) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := a.options.Hosts.List(ctx)
	if err != nil {
		a.log.Warn("host list not read; what it said before holds", "error", err)
		return
	}
	for _, host := range hosts {
		if host.ID != a.options.HostID {
			continue
		}
		a.mu.Lock()
		a.hostLeaving = host.State == external.HostLeaving
		a.mu.Unlock()
	}
}
