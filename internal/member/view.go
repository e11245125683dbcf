package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// Role names of processes.
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
	// Targets are an agent's, with its newest word on their load.
	Targets []Target
	// ConfigRevision is what the member itself said last, to this process.
	ConfigRevision uint64
	// Heard is how long ago the word on load was said.
	LoadAge time.Duration
}

// Target is one target as its agent describes it.
type Target struct {
	ID      string
	Pool    string
	Leaving bool
	Service bool
	// Load is zero when nothing fresh is known.
	Load Load
}

// Alive says whether the member counts as up.
func (p *Peer) Alive() bool {
	return p.Standing == wire.Standing_STANDING_ALIVE || p.Standing == wire.Standing_STANDING_SUSPECT
}

// Peers lists the members, this process included, in order of id.
func (l *List) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	peers := make([]Peer, 0, len(l.entries))
	for _, known := range l.entries {
		peers = append(peers, l.peer(known, now))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (l *List) peer(known *entry, now time.Time) Peer {
	m := known.member
	peer := Peer{
		ID:          m.GetId(),
		Role:        m.GetRole(),
		DataCenter:  m.GetDataCenter(),
		LinkAddress: m.GetLinkAddress(),
		Session:     m.GetSession(),
		Standing:    m.GetStanding(),
		Leaving:     m.GetLeaving(),
		Steady:      l.decayed(known, now) <= l.options.MaxFlaps,
		LoadAge:     now.Sub(known.loadsAt),

		ConfigRevision: known.config,
	}
	fresh := peer.LoadAge <= l.options.MaxLoadAge
	for i, target := range m.GetTargets() {
		seen := Target{ID: target.GetId(), Pool: target.GetPool(), Leaving: target.GetLeaving(), Service: target.GetService()}
		if fresh && i < len(known.loads) {
			seen.Load = known.loads[i]
		}
		peer.Targets = append(peer.Targets, seen)
	}
	return peer
}

// Generation rises with each change of members or their targets, but not with
// words on load.
func (l *List) Generation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// View is a member as Visit shows it; it must not be kept or changed.
type View struct {
	Member *wire.Member
	// Steady is false for a member that comes and goes too often.
	Steady bool
	// Loads are parallel to the member's targets; empty if nothing fresh is
	// known.
	Loads []Load
}

// Alive says whether the member counts as up.
func (v View) Alive() bool {
	return v.Member.GetStanding() != wire.Standing_STANDING_DEAD
}

// Visit shows all members, in no order, while the list is locked.
func (l *List) Visit(show func(View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, known := range l.entries {
		view := View{Member: known.member, Steady: l.decayed(known, now) <= l.options.MaxFlaps}
		if now.Sub(known.loadsAt) <= l.options.MaxLoadAge && len(known.loads) == len(known.member.GetTargets()) {
			view.Loads = known.loads
		}
		show(view)
	}
}

// LinkAddress gives where a member takes links; false if it is not known.
func (l *List) LinkAddress(id string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.entries[id]
	if !ok {
		return "", false
	}
	return known.member.GetLinkAddress(), true
}

// poolSum adds up the loads of a pool's targets.
type poolSum struct {
	load  float64
	count int
}

// MeanLoads gives the mean load of each pool's targets whose word is fresh;
// a pool without any has no entry. With thousands of targets the fresh ones
// are a sample.
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

// Ahead gives the link address of a live member that said it holds a
// configuration above a revision.
func (l *List) Ahead(revision uint64) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.entries {
		up := known.member.GetStanding() == wire.Standing_STANDING_ALIVE
		if up && known.config > revision && known.member.GetId() != l.self.GetId() {
			return known.member.GetLinkAddress(), true
		}
	}
	return "", false
}

// watchersPerCenter is how many routers of a data centre watch the store.
const watchersPerCenter = 2

// Watcher says whether this process is among the few that watch the store:
// the first routers of its data centre by rendezvous. Lists that disagree for
// a moment cost a watch too many or too few, nothing else.
func (l *List) Watcher() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.GetRole() != RoleRouter || l.self.GetLeaving() {
		return false
	}
	var names []string
	for id, known := range l.entries {
		m := known.member
		up := m.GetStanding() == wire.Standing_STANDING_ALIVE && !m.GetLeaving()
		if up && m.GetRole() == RoleRouter && m.GetDataCenter() == l.self.GetDataCenter() {
			names = append(names, id)
		}
	}
	ranked := policy.Rank("store watch", names)
	return slices.Contains(ranked[:min(len(ranked), watchersPerCenter)], l.self.GetId())
}
