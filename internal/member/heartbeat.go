package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// maxDatagramBytes limits one datagram, so that it is never fragmented.
	maxDatagramBytes = 1200
	// maxMemberBytes limits the part of a datagram that member entries use.
	maxMemberBytes = 700
	// An update is sent gossipFactor times the base 2 logarithm of the number of members.
	gossipFactor = 3
)

// Compose fills in a heartbeat of at most size bytes: first member updates, those sent least often
// first, then load samples.
func (l *List) Compose(beat *wire.Beat, size int) *wire.Beat {
	l.mu.Lock()
	defer l.mu.Unlock()
	beat.Version = link.Version
	beat.From = l.self.GetId()
	beat.BeatAddress = l.self.GetBeatAddress()
	beat.Digest = l.digest
	size = min(size, maxDatagramBytes)
	l.addUpdates(beat, min(size, maxMemberBytes))
	l.addLoads(beat, size)
	return beat
}

// addUpdates adds the members whose latest update still has to be passed on.
func (l *List) addUpdates(beat *wire.Beat, size int) {
	maxSends := gossipFactor * int(math.Ceil(math.Log2(float64(len(l.entries)+1))))
	var updates []*entry
	for _, e := range l.entries {
		if e.timesSent < maxSends {
			updates = append(updates, e)
		}
	}
	slices.SortFunc(updates, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(updatePriority(a), updatePriority(b)), cmp.Compare(a.timesSent, b.timesSent))
	})
	// The process's own entry is always included, so that a process that hears of it for the first
	// time knows where to answer.
	beat.Members = append(beat.Members, l.self)
	used := proto.Size(beat)
	for _, e := range updates {
		if e.member == l.self {
			e.timesSent++
			continue
		}
		cost := proto.Size(e.member) + fieldOverhead
		if used+cost > size {
			continue
		}
		used += cost
		e.timesSent++
		beat.Members = append(beat.Members, e.member)
	}
}

// fieldOverhead is the maximum size that a field's tag and length add to a message.
const fieldOverhead = 4

// updatePriority orders updates: members that are leaving, suspected or dead, or that refuted a
// suspicion, go first.
func updatePriority(e *entry) int {
	if e.refuted || e.member.GetLeaving() || e.member.GetStanding() != wire.Standing_STANDING_ALIVE {
		return 0
	}
	for _, target := range e.member.GetTargets() {
		if target.GetLeaving() {
			return 0
		}
	}
	return 1
}

// addLoads fills the rest of the heartbeat with load samples: the process's own first, then those
// of random members.
func (l *List) addLoads(beat *wire.Beat, size int) {
	used := proto.Size(beat)
	now := time.Now()
	if len(l.order) == 0 {
		return
	}
	start := l.random.IntN(len(l.order))
	for i := -1; i < len(l.order); i++ {
		id := l.self.GetId()
		if i >= 0 {
			id = l.order[(start+i)%len(l.order)]
		}
		e := l.entries[id]
		age := now.Sub(e.loadsAt)
		if len(e.loads) == 0 || age > l.options.MaxLoadAge || i >= 0 && id == l.self.GetId() {
			continue
		}
		sample := sampleOf(id, e.loads, age)
		cost := proto.Size(sample) + fieldOverhead
		if used+cost > size {
			return
		}
		used += cost
		beat.Loads = append(beat.Loads, sample)
	}
}

func sampleOf(id string, loads []Load, age time.Duration) *wire.LoadSample {
	sample := &wire.LoadSample{Id: id, AgeMs: uint32(age.Milliseconds())}
	for _, load := range loads {
		sample.InFlight = append(sample.InFlight, load.InFlight)
		sample.Limit = append(sample.Limit, load.Limit)
	}
	return sample
}

// Receive processes a heartbeat. It reports whether this process had to refute a claim about
// itself.
func (l *List) Receive(beat *wire.Beat) (refuted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnation := l.self.GetIncarnation()
	for _, m := range beat.GetMembers() {
		l.merge(m)
	}
	now := time.Now()
	for _, sample := range beat.GetLoads() {
		l.mergeLoad(sample, now)
	}
	if e, ok := l.entries[beat.GetFrom()]; ok {
		e.configRevision = beat.GetConfigRevision()
		l.resendSuspicion(e)
	}
	return l.self.GetIncarnation() != incarnation
}

// ResendSuspicion passes on the suspicion of a member again.
func (l *List) ResendSuspicion(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[id]; ok {
		l.resendSuspicion(e)
	}
}

// resendSuspicion ensures that a member that is suspected but still sends learns of the suspicion
// and can refute it.
func (l *List) resendSuspicion(e *entry) {
	if e.member.GetStanding() != wire.Standing_STANDING_ALIVE {
		e.timesSent = 0
	}
}

func (l *List) mergeLoad(sample *wire.LoadSample, now time.Time) {
	e, ok := l.entries[sample.GetId()]
	if !ok || sample.GetId() == l.self.GetId() || len(sample.GetLimit()) != len(sample.GetInFlight()) {
		return
	}
	reportedAt := now.Add(-time.Duration(sample.GetAgeMs()) * time.Millisecond)
	if !reportedAt.After(e.loadsAt) {
		return
	}
	e.loadsAt = reportedAt
	e.loads = make([]Load, 0, len(sample.GetInFlight()))
	for i, inFlight := range sample.GetInFlight() {
		e.loads = append(e.loads, Load{InFlight: inFlight, Limit: sample.GetLimit()[i]})
	}
}
