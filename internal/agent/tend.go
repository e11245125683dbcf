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
	// tendEvery is the time between two rounds of looking after the gates;
	// every meanEvery rounds they are told the pools' means.
	tendEvery = 200 * time.Millisecond
	meanEvery = 5
	// hostEvery is how often the host list is read.
	hostEvery = 5 * time.Second
	// slotPatience is how long a leaving service target stays open to hand
	// its slots over without refusals.
	slotPatience = 2 * time.Second
	// reportEvery is how many rounds pass between two questions to the
	// engines for their load and cache events.
	reportEvery = 5
)

func (a *Agent) tendLoop(ctx context.Context) {
	for round := 0; wait.For(ctx, tendEvery); round++ {
		if round%meanEvery == 0 {
			a.setMeans()
		}
		a.tend(ctx)
		if round%reportEvery == 0 {
			a.countForeign(ctx)
			a.hearCaches(ctx)
		}
	}
}

// setMeans tells the gates their pools' means.
func (a *Agent) setMeans() {
	means := a.options.Members.MeanLoads()
	for _, p := range a.places {
		if mean, ok := means[p.pool()]; ok {
			p.gate.SetMean(mean)
		}
	}
}

// tend tells the gates who is leaving, and the members the gates' loads.
func (a *Agent) tend(ctx context.Context) {
	loads := make([]member.Load, 0, len(a.order))
	states := make([]*wire.TargetState, 0, len(a.order))
	for _, id := range a.order {
		p := a.places[id]
		leaving := a.leaving(id)
		a.setLeaving(ctx, p, leaving)
		load := p.gate.Load()
		loads = append(loads, member.Load{InFlight: uint32(load.InFlight), Limit: uint32(load.Limit)})
		states = append(states, &wire.TargetState{Id: id, Pool: p.pool(), Leaving: leaving || p.changing.Load(), Service: p.Service != nil, Managed: p.Managed})
	}
	a.tell(states)
	a.options.Members.SetLoads(loads)
}

// tell passes on the targets' states if they differ from what was said.
func (a *Agent) tell(states []*wire.TargetState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.toldStopping == a.stopping && sameStates(a.told, states) {
		return
	}
	a.told, a.toldStopping = states, a.stopping
	a.options.Members.SetSelf(a.stopping, states)
}

func sameStates(told, states []*wire.TargetState) bool {
	if len(told) != len(states) {
		return false
	}
	for i, state := range states {
		if told[i].GetLeaving() != state.GetLeaving() || told[i].GetPool() != state.GetPool() {
			return false
		}
	}
	return true
}

// leaving says whether a target must take no new work: the process is to
// stop, the host is leaving, or the operators marked the target.
func (a *Agent) leaving(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping || a.hostLeaving || a.options.Config.View().Leaving(id)
}

// setLeaving closes or opens a target's gate. A service's target first hands
// its slots over, for at most slotPatience.
func (a *Agent) setLeaving(ctx context.Context, p *place, leaving bool) {
	if p.changing.Load() {
		return
	}
	now := p.gate.Load().Leaving
	switch {
	case leaving && !now:
		k := a.keepers[p.Pool]
		if p.Service == nil || k == nil || k.guard.OwnedSlots() == 0 {
			p.gate.Leave()
			a.handCacheOn(ctx, p)
			return
		}
		a.leaveLater(ctx, p, k)
	case !leaving && now:
		p.gate.Return()
	}
}

// leaveLater closes a service target's gate once its slots are gone.
func (a *Agent) leaveLater(ctx context.Context, p *place, k *keeper) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.leaveAt.IsZero() {
		p.leaveAt = time.Now().Add(slotPatience)
		return
	}
	if k.guard.OwnedSlots() > 0 && time.Now().Before(p.leaveAt) && ctx.Err() == nil {
		return
	}
	p.leaveAt = time.Time{}
	p.gate.Leave()
}

// countForeign asks engines how much they run from before this process's start:
// that counts against the bound too. It only falls: the engines' reports lag,
// so later ones also show what this agent admitted and has seen end.
func (a *Agent) countForeign(ctx context.Context) {
	for _, id := range a.order {
		p := a.places[id]
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

// hearCaches takes the engines' cache events.
func (a *Agent) hearCaches(ctx context.Context) {
	for _, id := range a.order {
		p := a.places[id]
		if p.Engine == nil {
			continue
		}
		events, err := p.Engine.CacheEvents(ctx, p.held.next())
		if err == nil {
			p.held.heard(events)
		}
	}
}

// hostLoop reads the platform's host list for this host's own entry.
func (a *Agent) hostLoop(ctx context.Context) {
	for {
		a.readHosts(ctx)
		if !wait.For(ctx, hostEvery) {
			return
		}
	}
}

func (a *Agent) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := a.options.Hosts.List(ctx)
	if err != nil {
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
