package router

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// downDuration is how long an unreachable target is skipped.
	downDuration = 2 * time.Second
	// directLoadTTL is how long a load reported by the target's own agent takes
	// precedence over a load received by gossip.
	directLoadTTL = 2 * time.Second
)

// endpoint is this router's state of one target.
type endpoint struct {
	id      string
	pool    string
	agent   string
	address string
	service bool
	// version is the version of the target's software; empty if its agent states none.
	version string

	// The other fields are hints, updated by replies and by the membership list.
	inFlight atomic.Uint32
	limit    atomic.Uint32
	leaving  atomic.Bool
	// loadUpdatedAt is when the target's agent last reported its load, and downUntil when the
	// target may be tried again, both in Unix nanoseconds.
	loadUpdatedAt atomic.Int64
	downUntil     atomic.Int64
}

// hint returns the load hint for the selection policy.
func (e *endpoint) hint(now time.Time) policy.Hint {
	return policy.Hint{
		InFlight: e.inFlight.Load(),
		Limit:    e.limit.Load(),
		Leaving:  e.leaving.Load(),
		Down:     now.UnixNano() < e.downUntil.Load(),
	}
}

// updateLoad stores a load reported by the target's own agent.
func (e *endpoint) updateLoad(load *wire.Load) {
	if load == nil {
		return
	}
	e.inFlight.Store(load.GetInFlight())
	e.limit.Store(load.GetLimit())
	e.leaving.Store(load.GetLeaving())
	e.loadUpdatedAt.Store(time.Now().UnixNano())
}

// decrementInFlight lowers the hint of requests in flight by one when a request of this router has
// ended.
func (e *endpoint) decrementInFlight() {
	if inFlight := e.inFlight.Load(); inFlight > 0 {
		e.inFlight.CompareAndSwap(inFlight, inFlight-1)
	}
}

// markDown marks the target as unreachable for downDuration.
func (e *endpoint) markDown() {
	e.downUntil.Store(time.Now().Add(downDuration).UnixNano())
}

// pool holds the targets of one model or service. It is immutable once built, except for
// the hints inside its endpoints.
type pool struct {
	slotTable *policy.SlotTable
	byID      map[string]*endpoint
	// byNumber is indexed by the numbers of slotTable.
	byNumber []*endpoint
}

func (p *pool) hints(now time.Time) policy.Hints {
	return func(number uint32) policy.Hint {
		e := p.byNumber[number]
		if e == nil {
			return policy.Hint{Down: true}
		}
		return e.hint(now)
	}
}

// table is the router's view of all targets.
type table struct {
	members *member.List
	pools   atomic.Pointer[map[string]*pool]
	// mu is held while the view is rebuilt.
	mu sync.Mutex
	// generation is that of the membership list from which the view was built.
	generation uint64
}

func newTable(members *member.List) *table {
	t := &table{members: members}
	t.pools.Store(&map[string]*pool{})
	t.refresh()
	return t
}

// pool returns the targets of a model or service, or nil if there are none.
func (t *table) pool(name string) *pool {
	return (*t.pools.Load())[name]
}

// count returns the number of targets that requests can be sent to.
func (t *table) count() int {
	sum := 0
	for _, pool := range *t.pools.Load() {
		sum += len(pool.byID)
	}
	return sum
}

// refresh applies the current state of the membership list. It rebuilds the view only
// when members or targets have changed; otherwise it updates only the hints.
func (t *table) refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	generation := t.members.Generation()
	if generation == t.generation {
		t.members.Visit(t.updateHints)
		return
	}
	t.generation = generation
	live := t.liveTargets()
	old := *t.pools.Load()
	next := make(map[string]*pool, len(live))
	for name, targets := range live {
		next[name] = nextPool(old[name], targets)
	}
	t.pools.Store(&next)
}

// updateHints applies the loads that one member has published.
func (t *table) updateHints(view member.View) {
	m := view.Member
	if m.GetRole() != member.RoleAgent || !view.Alive() {
		return
	}
	pools := *t.pools.Load()
	for i, target := range m.GetTargets() {
		pool := pools[target.GetPool()]
		if pool == nil {
			continue
		}
		e, ok := pool.byID[target.GetId()]
		if !ok {
			continue
		}
		e.leaving.Store(target.GetLeaving() || m.GetLeaving() || !view.Steady)
		if len(view.Loads) > i {
			e.updateGossipedLoad(view.Loads[i])
		}
	}
}

// liveTarget is one target together with its agent's address.
type liveTarget struct {
	id      string
	pool    string
	agent   string
	address string
	service bool
	version string
	leaving bool
	load    member.Load
}

// liveTargets returns the live targets by pool.
func (t *table) liveTargets() map[string]map[string]liveTarget {
	live := make(map[string]map[string]liveTarget)
	t.members.Visit(func(view member.View) {
		m := view.Member
		if m.GetRole() != member.RoleAgent || !view.Alive() {
			return
		}
		for i, target := range m.GetTargets() {
			s := liveTarget{
				id:      target.GetId(),
				pool:    target.GetPool(),
				agent:   m.GetId(),
				address: m.GetLinkAddress(),
				service: target.GetService(),
				version: target.GetVersion(),
				leaving: target.GetLeaving() || m.GetLeaving() || !view.Steady,
			}
			if len(view.Loads) > i {
				s.load = view.Loads[i]
			}
			if live[s.pool] == nil {
				live[s.pool] = make(map[string]liveTarget)
			}
			live[s.pool][s.id] = s
		}
	})
	return live
}

// nextPool builds a pool from the previous one and the live targets.
func nextPool(previous *pool, live map[string]liveTarget) *pool {
	next := &pool{byID: make(map[string]*endpoint, len(live))}
	names := make([]string, 0, len(live))
	for name, s := range live {
		names = append(names, name)
		next.byID[name] = endpointFor(previous, s)
	}
	slices.Sort(names)
	next.slotTable = slotTableFor(previous, names)
	for number := uint32(0); int(number) < next.slotTable.Numbers(); number++ {
		next.byNumber = append(next.byNumber, next.byID[next.slotTable.Name(number)])
	}
	return next
}

// endpointFor returns the endpoint of a target, with its hints if the previous pool already
// had it.
func endpointFor(previous *pool, s liveTarget) *endpoint {
	if previous != nil {
		if known, ok := previous.byID[s.id]; ok && known.address == s.address && known.version == s.version {
			known.leaving.Store(s.leaving)
			known.updateGossipedLoad(s.load)
			return known
		}
	}
	created := &endpoint{id: s.id, pool: s.pool, agent: s.agent, address: s.address, service: s.service, version: s.version}
	created.leaving.Store(s.leaving)
	created.updateGossipedLoad(s.load)
	return created
}

// updateGossipedLoad stores a load received by gossip, unless a load from the target's own agent is
// recent.
func (e *endpoint) updateGossipedLoad(load member.Load) {
	if load.Limit == 0 || time.Since(time.Unix(0, e.loadUpdatedAt.Load())) < directLoadTTL {
		return
	}
	e.inFlight.Store(load.InFlight)
	e.limit.Store(load.Limit)
}

// slotTableFor updates a copy of the previous pool's slot table, or builds a new one.
func slotTableFor(previous *pool, names []string) *policy.SlotTable {
	if previous == nil {
		return policy.NewSlotTable(names)
	}
	old := previous.slotTable.Names()
	if slices.Equal(old, names) {
		return previous.slotTable
	}
	updated := previous.slotTable.Clone()
	for _, name := range old {
		if _, found := slices.BinarySearch(names, name); !found {
			updated.Remove(name)
		}
	}
	for _, name := range names {
		updated.Add(name)
	}
	return updated
}
