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
	// downFor is how long a target that could not be reached is passed over.
	downFor = 2 * time.Second
	// hintAge is how long a target's own word on its load is believed over
	// later hearsay.
	hintAge = 2 * time.Second
)

// place is what this router knows of one target.
type place struct {
	id      string
	pool    string
	agent   string
	address string
	service bool

	// The rest is hints, written by replies and by the members' words.
	inFlight atomic.Uint32
	limit    atomic.Uint32
	leaving  atomic.Bool
	// heardAt and downUntil are Unix nanoseconds.
	heardAt   atomic.Int64
	downUntil atomic.Int64
}

// hint is the place as the policy sees it.
func (p *place) hint(now time.Time) policy.Hint {
	return policy.Hint{
		InFlight: p.inFlight.Load(),
		Limit:    p.limit.Load(),
		Leaving:  p.leaving.Load(),
		Down:     now.UnixNano() < p.downUntil.Load(),
	}
}

// heard takes the target's own word on its load.
func (p *place) heard(load *wire.Load) {
	if load == nil {
		return
	}
	p.inFlight.Store(load.GetInFlight())
	p.limit.Store(load.GetLimit())
	p.leaving.Store(load.GetLeaving())
	p.heardAt.Store(time.Now().UnixNano())
}

// ended notes that a request which this router sent has ended.
func (p *place) ended() {
	if in := p.inFlight.Load(); in > 0 {
		p.inFlight.CompareAndSwap(in, in-1)
	}
}

// down notes that the target could not be reached.
func (p *place) down() {
	p.downUntil.Store(time.Now().Add(downFor).UnixNano())
}

// pool is the targets of one model or service. It is never changed after it
// was built; hints inside its places are.
type pool struct {
	order  *policy.SlotTable
	byName map[string]*place
	// byNumber is parallel to the numbers of order.
	byNumber []*place
}

func (p *pool) hints(now time.Time) policy.Hints {
	return func(number uint32) policy.Hint {
		place := p.byNumber[number]
		if place == nil {
			return policy.Hint{Down: true}
		}
		return place.hint(now)
	}
}

// table is the router's view of all targets.
type table struct {
	members *member.List
	pools   atomic.Pointer[map[string]*pool]
	// mu is held while the view is built anew.
	mu sync.Mutex
	// generation is the members' that the view was built from.
	generation uint64
}

func newTable(members *member.List) *table {
	t := &table{members: members}
	t.pools.Store(&map[string]*pool{})
	t.refresh()
	return t
}

// pool gives the targets of a model or service; nil if there are none.
func (t *table) pool(name string) *pool {
	return (*t.pools.Load())[name]
}

// count is the number of targets that requests can be sent to now.
func (t *table) count() int {
	sum := 0
	for _, pool := range *t.pools.Load() {
		sum += len(pool.byName)
	}
	return sum
}

// refresh takes in the members' newest word. The view is built anew only when
// members or targets have changed; else only hints are.
func (t *table) refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	generation := t.members.Generation()
	if generation == t.generation {
		t.members.Visit(t.updateHints)
		return
	}
	t.generation = generation
	found := t.gather()
	old := *t.pools.Load()
	next := make(map[string]*pool, len(found))
	for name, places := range found {
		next[name] = grow(old[name], places)
	}
	t.pools.Store(&next)
}

// updateHints takes one member's word on load.
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
		p, ok := pool.byName[target.GetId()]
		if !ok {
			continue
		}
		p.leaving.Store(target.GetLeaving() || m.GetLeaving() || !view.Steady)
		if len(view.Loads) > i {
			p.hearsay(view.Loads[i])
		}
	}
}

// seenTarget is one target with its agent's address.
type seenTarget struct {
	id      string
	pool    string
	agent   string
	address string
	service bool
	leaving bool
	load    member.Load
}

// gather lists the live targets by pool.
func (t *table) gather() map[string]map[string]seenTarget {
	found := make(map[string]map[string]seenTarget)
	t.members.Visit(func(view member.View) {
		m := view.Member
		if m.GetRole() != member.RoleAgent || !view.Alive() {
			return
		}
		for i, target := range m.GetTargets() {
			seen := seenTarget{
				id:      target.GetId(),
				pool:    target.GetPool(),
				agent:   m.GetId(),
				address: m.GetLinkAddress(),
				service: target.GetService(),
				leaving: target.GetLeaving() || m.GetLeaving() || !view.Steady,
			}
			if len(view.Loads) > i {
				seen.load = view.Loads[i]
			}
			if found[seen.pool] == nil {
				found[seen.pool] = make(map[string]seenTarget)
			}
			found[seen.pool][seen.id] = seen
		}
	})
	return found
}

// grow makes the next pool from the one before and the targets seen now.
func grow(before *pool, seen map[string]seenTarget) *pool {
	next := &pool{byName: make(map[string]*place, len(seen))}
	names := make([]string, 0, len(seen))
	for name, s := range seen {
		names = append(names, name)
		next.byName[name] = placeFor(before, s)
	}
	slices.Sort(names)
	next.order = orderFor(before, names)
	for number := uint32(0); int(number) < next.order.Numbers(); number++ {
		next.byNumber = append(next.byNumber, next.byName[next.order.Name(number)])
	}
	return next
}

// placeFor keeps the hints of a target that was there before.
func placeFor(before *pool, s seenTarget) *place {
	if before != nil {
		if known, ok := before.byName[s.id]; ok && known.address == s.address {
			known.leaving.Store(s.leaving)
			known.hearsay(s.load)
			return known
		}
	}
	fresh := &place{id: s.id, pool: s.pool, agent: s.agent, address: s.address, service: s.service}
	fresh.leaving.Store(s.leaving)
	fresh.hearsay(s.load)
	return fresh
}

// hearsay takes a passed-on word on load, unless the target's own is newer.
func (p *place) hearsay(load member.Load) {
	if load.Limit == 0 || time.Since(time.Unix(0, p.heardAt.Load())) < hintAge {
		return
	}
	p.inFlight.Store(load.InFlight)
	p.limit.Store(load.Limit)
}

// orderFor changes the order of the pool before, or builds a new one.
func orderFor(before *pool, names []string) *policy.SlotTable {
	if before == nil {
		return policy.NewSlotTable(names)
	}
	old := before.order.Names()
	if slices.Equal(old, names) {
		return before.order
	}
	order := before.order.Clone()
	for _, name := range old {
		if _, found := slices.BinarySearch(names, name); !found {
			order.Remove(name)
		}
	}
	for _, name := range names {
		order.Add(name)
	}
	return order
}
