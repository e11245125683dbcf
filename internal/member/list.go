// Package member keeps what one process knows of the others: who is up, which
// targets they stand beside, how loaded these are, and who is leaving. The
// processes exchange small datagrams under a hard byte budget; everything here
// is a hint, and no promise rests on it.
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

// Options are the list's times.
type Options struct {
	// Suspicion is how long a suspected member has to deny it while there are
	// few members; it grows with the logarithm of their number, as the time
	// that news takes does.
	SuspicionTimeout time.Duration
	// Buried is how long a dead member is remembered, so that late news does
	// not bring it back.
	DeadRetention time.Duration
	// MaxLoadAge is how long a word on load is used.
	MaxLoadAge time.Duration
	// FlapHalfLife and MaxFlaps damp members that come and go: each death
	// counts one, the count halves in the half-life, and above the most the
	// member is not Steady.
	FlapHalfLife time.Duration
	MaxFlaps     float64
	// Seed draws the order of probing; zero draws another one in each process.
	Seed uint64
}

// DefaultOptions are the times used unless settings say otherwise.
func DefaultOptions() Options {
	return Options{
		SuspicionTimeout: 5 * time.Second,
		DeadRetention:    10 * time.Minute,
		MaxLoadAge:       10 * time.Second,
		FlapHalfLife:     time.Minute,
		MaxFlaps:         2.5,
	}
}

// Load is an agent's word on one target's load.
type Load struct {
	InFlight uint32
	Limit    uint32
}

// entry is what is known of one member.
type entry struct {
	member *wire.Member
	// since is when its standing was last changed here.
	since time.Time
	// sends counts how often the newest word has been passed on.
	sends int
	// loads are the newest words on its targets, said at loadsAt.
	loads   []Load
	loadsAt time.Time
	// checked says that this process has probed the member since it is suspected.
	checked bool
	// cleared says that the newest word denies a suspicion: it goes out first.
	cleared bool
	// config is the configuration revision heard from it directly.
	config uint64
	// flaps is the decayed count of its deaths at flapsAt.
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
	// order holds the ids in a random order for rounds of probing.
	order []string
	next  int
	// digest is the combined hash of all entries.
	digest uint64
	// generation rises with each change of members or their targets.
	generation uint64
	changed    chan struct{}
	// suspicions counts suspicions begun here.
	suspicions int
}

// NewList returns a list that knows only the process itself.
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

// Changed is closed when members or their targets change.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *List) wake() {
	l.generation++
	close(l.changed)
	l.changed = make(chan struct{})
}

// memberHash is a member's part of the digest.
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
	known, ok := l.entries[m.GetId()]
	if !ok {
		known = &entry{since: now}
		l.entries[m.GetId()] = known
		at := l.random.IntN(len(l.order) + 1)
		l.order = slices.Insert(l.order, at, m.GetId())
	} else {
		l.digest ^= memberHash(known.member)
		l.noteStanding(known, m, now)
		known.cleared = m.GetStanding() == wire.Standing_STANDING_ALIVE && known.member.GetIncarnation() < m.GetIncarnation()
	}
	known.member = m
	known.sends = 0
	known.checked = false
	l.digest ^= memberHash(m)
	l.wake()
}

// noteStanding keeps the time of a change and counts deaths.
func (l *List) noteStanding(known *entry, m *wire.Member, now time.Time) {
	if known.member.GetStanding() == m.GetStanding() && known.member.GetSession() == m.GetSession() {
		return
	}
	known.since = now
	died := m.GetStanding() == wire.Standing_STANDING_DEAD
	restarted := known.member.GetSession() != m.GetSession()
	if died || restarted && known.member.GetStanding() == wire.Standing_STANDING_ALIVE {
		known.flaps = l.decayed(known, now) + 1
		known.flapsAt = now
	}
}

func (l *List) decayed(e *entry, now time.Time) float64 {
	if e.flaps == 0 {
		return 0
	}
	halves := float64(now.Sub(e.flapsAt)) / float64(l.options.FlapHalfLife)
	return e.flaps * math.Exp2(-halves)
}

// newer says whether a word on a member goes before the one held.
func newer(a, b *wire.Member) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetStanding(), b.GetStanding()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
	) > 0
}

// Merge takes in words on members.
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
		l.defend(m)
		return
	}
	known, ok := l.entries[m.GetId()]
	if !ok && m.GetStanding() == wire.Standing_STANDING_DEAD {
		return
	}
	if !ok || newer(m, known.member) {
		l.put(m)
	}
}

// defend answers what others say of this process: a suspicion, or a word of
// an earlier run, is denied with a higher incarnation.
func (l *List) defend(m *wire.Member) {
	accused := m.GetStanding() != wire.Standing_STANDING_ALIVE && m.GetIncarnation() >= l.self.GetIncarnation()
	older := m.GetIncarnation() > l.self.GetIncarnation()
	if !accused && !older {
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

// SetSelf changes what the process says of itself.
func (l *List) SetSelf(leaving bool, targets []*wire.TargetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateSelf(func(self *wire.Member) {
		self.Leaving = leaving
		self.Targets = targets
	})
}

// SetLoads notes the loads of the process's own targets.
func (l *List) SetLoads(loads []Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.entries[l.self.GetId()]
	own.loads = loads
	own.loadsAt = time.Now()
}

// Heard notes a datagram that came from a member itself.
func (l *List) RecordConfigRevision(id string, config uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.entries[id]; ok {
		known.config = config
	}
}

// Suspect notes that a member did not answer.
func (l *List) Suspect(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.entries[id]
	if !ok || id == l.self.GetId() || known.member.GetStanding() != wire.Standing_STANDING_ALIVE {
		return
	}
	l.suspicions++
	l.setStanding(known, wire.Standing_STANDING_SUSPECT)
}

func (l *List) setStanding(known *entry, standing wire.Standing) {
	next := cloneMember(known.member)
	next.Standing = standing
	l.put(next)
}

// Expire turns suspicions that were not denied into deaths, and forgets the
// long dead.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, known := range l.entries {
		waited := now.Sub(known.since)
		switch known.member.GetStanding() {
		case wire.Standing_STANDING_SUSPECT:
			if waited > l.suspicion() {
				l.setStanding(known, wire.Standing_STANDING_DEAD)
			}
		case wire.Standing_STANDING_DEAD:
			if waited > l.options.DeadRetention {
				l.forget(id, known)
			}
		}
	}
}

// membersAtBase is the number of members up to which Suspicion is not grown.
const membersAtBase = 16

// suspicion is the time to deny a suspicion, at the present number of members.
func (l *List) suspicion() time.Duration {
	growth := math.Log(float64(len(l.entries)+1)) / math.Log(membersAtBase)
	return time.Duration(max(growth, 1) * float64(l.options.SuspicionTimeout))
}

func (l *List) forget(id string, known *entry) {
	l.digest ^= memberHash(known.member)
	delete(l.entries, id)
	l.order = slices.DeleteFunc(l.order, func(other string) bool { return other == id })
	l.wake()
}

// Roster lists all members, the dead ones too.
func (l *List) Roster() []*wire.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]*wire.Member, 0, len(l.entries))
	for _, known := range l.entries {
		members = append(members, known.member)
	}
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return members
}

// Digest is the combined hash of all that is known.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Suspicions counts the suspicions begun by this process.
func (l *List) Suspicions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspicions
}
