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
	// beatMost bounds one datagram, in bytes, so that it is never fragmented.
	beatMost = 1200
	// newsMost bounds the part of a datagram that members take.
	newsMost = 700
	// spreadFactor times log2 of the members is how often news is passed on.
	spreadFactor = 3
)

// Compose makes a datagram of at most size bytes: news first, the least
// passed-on before the rest, then words on load.
func (l *List) Compose(beat *wire.Beat, size int) *wire.Beat {
	l.mu.Lock()
	defer l.mu.Unlock()
	beat.Version = link.Version
	beat.From = l.self.GetId()
	beat.BeatAddress = l.self.GetBeatAddress()
	beat.Digest = l.digest
	size = min(size, beatMost)
	l.addNews(beat, min(size, newsMost))
	l.addLoads(beat, size)
	return beat
}

// addNews adds the members whose newest word still has to be passed on.
func (l *List) addNews(beat *wire.Beat, size int) {
	most := spreadFactor * int(math.Ceil(math.Log2(float64(len(l.entries)+1))))
	var news []*entry
	for _, known := range l.entries {
		if known.sends < most {
			news = append(news, known)
		}
	}
	slices.SortFunc(news, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(a.sends, b.sends))
	})
	// The process's own entry always goes along, so that whoever hears it
	// first knows where to answer.
	beat.Members = append(beat.Members, l.self)
	used := proto.Size(beat)
	for _, known := range news {
		if known.member == l.self {
			known.sends++
			continue
		}
		cost := proto.Size(known.member) + fieldOverhead
		if used+cost > size {
			continue
		}
		used += cost
		known.sends++
		beat.Members = append(beat.Members, known.member)
	}
}

// fieldOverhead is what a field's tag and length add to a message, at most.
const fieldOverhead = 4

// urgency orders news: who is leaving or gone, or was thought so, first.
func urgency(e *entry) int {
	if e.cleared || e.member.GetLeaving() || e.member.GetStanding() != wire.Standing_STANDING_ALIVE {
		return 0
	}
	for _, target := range e.member.GetTargets() {
		if target.GetLeaving() {
			return 0
		}
	}
	return 1
}

// addLoads fills the datagram with words on load: the process's own first,
// then those of random members.
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
		known := l.entries[id]
		age := now.Sub(known.loadsAt)
		if len(known.loads) == 0 || age > l.options.MaxLoadAge || i >= 0 && id == l.self.GetId() {
			continue
		}
		sample := sampleOf(id, known.loads, age)
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

// Take takes in a datagram; it reports whether this process had to deny
// something that was said of it.
func (l *List) Receive(beat *wire.Beat) (denied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.self.GetIncarnation()
	for _, m := range beat.GetMembers() {
		l.merge(m)
	}
	now := time.Now()
	for _, sample := range beat.GetLoads() {
		l.takeLoad(sample, now)
	}
	if known, ok := l.entries[beat.GetFrom()]; ok {
		known.config = beat.GetConfigRevision()
		l.remind(known)
	}
	return l.self.GetIncarnation() != before
}

// Remind passes a suspicion on again.
func (l *List) ResendSuspicion(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.entries[id]; ok {
		l.remind(known)
	}
}

// remind makes sure that a member that is suspected but still sends hears of
// the suspicion, so that it can deny it.
func (l *List) remind(known *entry) {
	if known.member.GetStanding() != wire.Standing_STANDING_ALIVE {
		known.sends = 0
	}
}

func (l *List) takeLoad(sample *wire.LoadSample, now time.Time) {
	known, ok := l.entries[sample.GetId()]
	if !ok || sample.GetId() == l.self.GetId() || len(sample.GetLimit()) != len(sample.GetInFlight()) {
		return
	}
	at := now.Add(-time.Duration(sample.GetAgeMs()) * time.Millisecond)
	if !at.After(known.loadsAt) {
		return
	}
	known.loadsAt = at
	known.loads = make([]Load, 0, len(sample.GetInFlight()))
	for i, inFlight := range sample.GetInFlight() {
		known.loads = append(known.loads, Load{InFlight: inFlight, Limit: sample.GetLimit()[i]})
	}
}
