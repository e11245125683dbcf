package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// The roles of processes.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// Peer is a member as other packages see it.
type Peer struct {
	ID          string
	Role        string
	DataCenter  string
	LinkAddress string
	Session     string
	Standing    wire.Standing
	Leaving     bool
	// Steady is false for a member that comes and goes too often.
	Steady bool
	// Targets are an agent's targets with their latest loads.
	Targets []Target
	// ConfigRevision is the latest revision that the member itself reported to this process.
	ConfigRevision uint64
	// LoadAge is the age of the loads in Targets.
	LoadAge time.Duration
}

// Target is a target as its agent describes it.
type Target struct {
	ID      string
	Pool    string
	Leaving bool
	Service bool
	// Load is zero if no recent load is known.
	Load Load
}

// Alive reports whether the member is considered up.
func (p *Peer) Alive() bool {
	return p.Standing == wire.Standing_STANDING_ALIVE || p.Standing == wire.Standing_STANDING_SUSPECT
}

// Peers returns the members, including this process, sorted by ID.
func (l *List) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	peers := make([]Peer, 0, len(l.entries))
	for _, e := range l.entries {
		peers = append(peers, l.peer(e, now))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (l *List) peer(e *entry, now time.Time) Peer {
	m := e.member
	peer := Peer{
		ID:          m.GetId(),
		Role:        m.GetRole(),
		DataCenter:  m.GetDataCenter(),
		LinkAddress: m.GetLinkAddress(),
		Session:     m.GetSession(),
		Standing:    m.GetStanding(),
		Leaving:     m.GetLeaving(),
		Steady:      l.flapCount(e, now) <= l.options.MaxFlaps,
		LoadAge:     now.Sub(e.loadsAt),

		ConfigRevision: e.configRevision,
	}
	fresh := peer.LoadAge <= l.options.MaxLoadAge
	for i, target := range m.GetTargets() {
		described := Target{ID: target.GetId(), Pool: target.GetPool(), Leaving: target.GetLeaving(), Service: target.GetService()}
		if fresh && i < len(e.loads) {
			described.Load = e.loads[i]
		}
		peer.Targets = append(peer.Targets, described)
	}
	return peer
}

// Generation returns a counter that increases with each change of members or their targets, but
// not of loads.
func (l *List) Generation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// View is a member as passed to Visit's callback, which must not keep or change it.
type View struct {
	Member *wire.Member
	// Steady is false for a member that comes and goes too often.
	Steady bool
	// Loads are parallel to the member's targets; empty if no recent loads are known.
	Loads []Load
}

// Alive reports whether the member is considered up.
func (v View) Alive() bool {
	return v.Member.GetStanding() != wire.Standing_STANDING_DEAD
}

// Visit calls visit for all members, in no particular order, while the list is locked.
func (l *List) Visit(visit func(View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, e := range l.entries {
		view := View{Member: e.member, Steady: l.flapCount(e, now) <= l.options.MaxFlaps}
		if now.Sub(e.loadsAt) <= l.options.MaxLoadAge && len(e.loads) == len(e.member.GetTargets()) {
			view.Loads = e.loads
		}
		visit(view)
	}
}

// LinkAddress returns the address at which a member accepts links; false if unknown.
func (l *List) LinkAddress(id string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return "", false
	}
	return e.member.GetLinkAddress(), true
}

// poolSum is the sum of the loads of a pool's targets.
type poolSum struct {
	load  float64
	count int
}

// MeanLoads returns the mean load of each pool over the targets with a recent load; a pool without
// any has no entry. With thousands of targets those with a recent load are a sample.
func (l *List) MeanLoads() map[string]float64 {
	sums := make(map[string]poolSum)
	l.Visit(func(view View) {
		if !view.Alive() {
			return
		}
		for i, load := range view.Loads {
			target := view.Member.GetTargets()[i]
			if target.GetLeaving() {
				continue
			}
			sum := sums[target.GetPool()]
			sum.load += float64(load.InFlight)
			sum.count++
			sums[target.GetPool()] = sum
		}
	})
	means := make(map[string]float64, len(sums))
	for pool, sum := range sums {
		means[pool] = sum.load / float64(sum.count)
	}
	return means
}

// Ahead returns the link address of a live member that reported a configuration revision above the
// given one.
func (l *List) Ahead(revision uint64) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		up := e.member.GetStanding() == wire.Standing_STANDING_ALIVE
		if up && e.configRevision > revision && e.member.GetId() != l.self.GetId() {
			return e.member.GetLinkAddress(), true
		}
	}
	return "", false
}

// watchersPerCenter is the number of routers per data centre that watch the store.
const watchersPerCenter = 2

// Watcher reports whether this process is one of the few that watch the store: the routers of its
// data centre that rank first by rendezvous hashing. Members that disagree for a moment only cause
// a watch too many or too few.
func (l *List) Watcher() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.GetRole() != RoleRouter || l.self.GetLeaving() {
		return false
	}
	var names []string
	for id, e := range l.entries {
		m := e.member
		up := m.GetStanding() == wire.Standing_STANDING_ALIVE && !m.GetLeaving()
		if up && m.GetRole() == RoleRouter && m.GetDataCenter() == l.self.GetDataCenter() {
			names = append(names, id)
		}
	}
	ranked := policy.Rank("store watch", names)
	return slices.Contains(ranked[:min(len(ranked), watchersPerCenter)], l.self.GetId())
}
