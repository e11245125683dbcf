// Package member tracks what one process knows of the others: which are up, which targets they
// serve, how loaded these are, and which members are leaving. The processes exchange small
// datagrams within a hard byte budget. All of this information is a hint; no guarantee depends on
// it.
package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// Options are the time limits of a List.
type Options struct {
	// SuspicionTimeout is how long a suspected member has to refute the suspicion while there are
	// few members. It grows with the logarithm of their number, as does the time that an update
	// takes to spread.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead member is remembered, so that late updates don't bring it
	// back.
	DeadRetention time.Duration
	// MaxLoadAge is how long a load sample is used.
	MaxLoadAge time.Duration
	// FlapHalfLife and MaxFlaps damp members that come and go. Each death counts one and the count
	// decays with the half-life. While it is above MaxFlaps, the member is not Steady.
	FlapHalfLife time.Duration
	MaxFlaps     float64
	// Seed seeds the order of probing; zero means a random seed.
	Seed uint64
}

// DefaultOptions returns the values used unless settings override them.
func DefaultOptions() Options {
	return Options{
		SuspicionTimeout: 5 * time.Second,
		DeadRetention:    10 * time.Minute,
		MaxLoadAge:       10 * time.Second,
		FlapHalfLife:     time.Minute,
		MaxFlaps:         2.5,
	}
}

// Load is the load of one target as its agent reports it.
type Load struct {
	InFlight uint32
	Limit    uint32
}

// entry is what is known of one member.
type entry struct {
	member *wire.Member
	// standingSince is when the member's standing last changed here.
	standingSince time.Time
	// timesSent counts how often the latest update was passed on.
	timesSent int
	// loads are the latest loads of the member's targets, reported at loadsAt.
	loads   []Load
	loadsAt time.Time
	// probedAsSuspect is set once this process has probed the member during the current suspicion.
	probedAsSuspect bool
	// refuted is set while the latest update refutes a suspicion; such an update is sent first.
	refuted bool
	// configRevision is the configuration revision that the member itself reported.
	configRevision uint64
	// flaps is the decayed count of the member's deaths, as of flapsAt.
	flaps   float64
	flapsAt time.Time
}

// List is one process's view of all members. It is safe for concurrent use.
type List struct {
	options Options

	mu      sync.Mutex
	random  *rand.Rand
	self    *wire.Member
	entries map[string]*entry
	// order holds the IDs in a random order for rounds of probing.
	order     []string
	nextProbe int
	// digest is the combined hash of all entries.
	digest uint64
	// generation increases with each change of members or their targets.
	generation uint64
	changed    chan struct{}
	// suspicionCount counts the suspicions raised by this process.
	suspicionCount int
}

// NewList returns a list that contains only the process itself.
func NewList(options Options, self *wire.Member) *List {
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	l := &List{options: options, random: rand.New(rand.NewPCG(seed, seed)), self: self, entries: make(map[string]*entry), changed: make(chan struct{})}
	self.Standing = wire.Standing_STANDING_ALIVE
	l.put(self)
	return l
}

// Changed returns a channel that is closed when members or their targets change.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *List) notifyChanged() {
	l.generation++
	close(l.changed)
	l.changed = make(chan struct{})
}

// memberHash returns a member's contribution to the digest.
func memberHash(m *wire.Member) uint64 {
	var buffer [24]byte
	for i := range 8 {
		shift := 8 * i
		buffer[i] = byte(m.GetIncarnation() >> shift)
		buffer[8+i] = byte(m.GetVersion() >> shift)
	}
	buffer[16] = byte(m.GetStanding())
	return xxhash.Sum64(append(buffer[:], m.GetId()...))
}

// put replaces a member's entry; l.mu is held.
func (l *List) put(m *wire.Member) {
	now := time.Now()
	e, ok := l.entries[m.GetId()]
	if !ok {
		e = &entry{standingSince: now}
		l.entries[m.GetId()] = e
		position := l.random.IntN(len(l.order) + 1)
		l.order = slices.Insert(l.order, position, m.GetId())
	} else {
		l.digest ^= memberHash(e.member)
		l.recordStanding(e, m, now)
		e.refuted = m.GetStanding() == wire.Standing_STANDING_ALIVE && e.member.GetIncarnation() < m.GetIncarnation()
	}
	e.member = m
	e.timesSent = 0
	e.probedAsSuspect = false
	l.digest ^= memberHash(m)
	l.notifyChanged()
}

// recordStanding records the time of a change of standing and counts deaths.
func (l *List) recordStanding(e *entry, m *wire.Member, now time.Time) {
	if e.member.GetStanding() == m.GetStanding() && e.member.GetSession() == m.GetSession() {
		return
	}
	e.standingSince = now
	died := m.GetStanding() == wire.Standing_STANDING_DEAD
	restarted := e.member.GetSession() != m.GetSession()
	if died || restarted && e.member.GetStanding() == wire.Standing_STANDING_ALIVE {
		e.flaps = l.flapCount(e, now) + 1
		e.flapsAt = now
	}
}

func (l *List) flapCount(e *entry, now time.Time) float64 {
	if e.flaps == 0 {
		return 0
	}
	halfLives := float64(now.Sub(e.flapsAt)) / float64(l.options.FlapHalfLife)
	return e.flaps * math.Exp2(-halfLives)
}

// supersedes reports whether update a of a member takes precedence over b.
func supersedes(a, b *wire.Member) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetStanding(), b.GetStanding()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
	) > 0
}

// Merge merges updates of members.
func (l *List) Merge(members []*wire.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.merge(m)
	}
}

func (l *List) merge(m *wire.Member) {
	if m.GetId() == "" {
		return
	}
	if m.GetId() == l.self.GetId() {
		l.refute(m)
		return
	}
	e, ok := l.entries[m.GetId()]
	if !ok && m.GetStanding() == wire.Standing_STANDING_DEAD {
		return
	}
	if !ok || supersedes(m, e.member) {
		l.put(m)
	}
}

// refute answers claims of others about this process. A suspicion, or an update from an earlier
// run of the process, is refuted with a higher incarnation.
func (l *List) refute(m *wire.Member) {
	suspected := m.GetStanding() != wire.Standing_STANDING_ALIVE && m.GetIncarnation() >= l.self.GetIncarnation()
	earlierRun := m.GetIncarnation() > l.self.GetIncarnation()
	if !suspected && !earlierRun {
		return
	}
	l.updateSelf(func(self *wire.Member) { self.Incarnation = m.GetIncarnation() + 1 })
}

// updateSelf changes the process's own entry.
func (l *List) updateSelf(change func(self *wire.Member)) {
	next := cloneMember(l.self)
	change(next)
	next.Version++
	l.self = next
	l.put(next)
}

func cloneMember(m *wire.Member) *wire.Member {
	return &wire.Member{
		Id:          m.GetId(),
		Role:        m.GetRole(),
		DataCenter:  m.GetDataCenter(),
		LinkAddress: m.GetLinkAddress(),
		BeatAddress: m.GetBeatAddress(),
		Incarnation: m.GetIncarnation(),
		Version:     m.GetVersion(),
		Standing:    m.GetStanding(),
		Leaving:     m.GetLeaving(),
		Targets:     m.GetTargets(),
		Session:     m.GetSession(),
	}
}

// SetSelf sets what the process reports about itself.
func (l *List) SetSelf(leaving bool, targets []*wire.TargetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateSelf(func(self *wire.Member) {
		self.Leaving = leaving
		self.Targets = targets
	})
}

// SetLoads sets the loads of the process's own targets.
func (l *List) SetLoads(loads []Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.entries[l.self.GetId()]
	own.loads = loads
	own.loadsAt = time.Now()
}

// RecordConfigRevision records the configuration revision that a member itself reported.
func (l *List) RecordConfigRevision(id string, config uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[id]; ok {
		e.configRevision = config
	}
}

// Suspect records that a member did not answer.
func (l *List) Suspect(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || id == l.self.GetId() || e.member.GetStanding() != wire.Standing_STANDING_ALIVE {
		return
	}
	l.suspicionCount++
	l.setStanding(e, wire.Standing_STANDING_SUSPECT)
}

func (l *List) setStanding(e *entry, standing wire.Standing) {
	next := cloneMember(e.member)
	next.Standing = standing
	l.put(next)
}

// Expire declares members dead whose suspicion was not refuted in time, and forgets those that
// have been dead for long.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, e := range l.entries {
		waited := now.Sub(e.standingSince)
		switch e.member.GetStanding() {
		case wire.Standing_STANDING_SUSPECT:
			if waited > l.suspicionTimeout() {
				l.setStanding(e, wire.Standing_STANDING_DEAD)
			}
		case wire.Standing_STANDING_DEAD:
			if waited > l.options.DeadRetention {
				l.forget(id, e)
			}
		}
	}
}

// baseMembers is the number of members up to which SuspicionTimeout applies unchanged.
const baseMembers = 16

// suspicionTimeout returns the time to refute a suspicion at the current number of members.
func (l *List) suspicionTimeout() time.Duration {
	growth := math.Log(float64(len(l.entries)+1)) / math.Log(baseMembers)
	return time.Duration(max(growth, 1) * float64(l.options.SuspicionTimeout))
}

func (l *List) forget(id string, e *entry) {
	l.digest ^= memberHash(e.member)
	delete(l.entries, id)
	l.order = slices.DeleteFunc(l.order, func(other string) bool { return other == id })
	l.notifyChanged()
}

// Roster returns all members, including dead ones.
func (l *List) Roster() []*wire.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]*wire.Member, 0, len(l.entries))
	for _, e := range l.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return members
}

// Digest returns the combined hash of all entries.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Suspicions returns the number of suspicions raised by this process.
func (l *List) Suspicions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspicionCount
}
