package member

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// checkShare of the time to deny a suspicion goes by before a process that has only
// been told of it asks the suspected member itself.
const checkShare = 0.5

// unchecked is a member whose suspicion nears its end and that this process has not
// probed meanwhile: its denial may have been lost on the way to this process only.
// nil if there is none; l.mu is held.
func (l *List) unchecked(now time.Time) *entry {
	for _, id := range l.order {
		known := l.entries[id]
		if known.checked || known.member.GetStanding() != wire.Standing_STANDING_SUSPECT {
			continue
		}
		if now.Sub(known.since) > time.Duration(checkShare*float64(l.suspicion())) {
			return known
		}
	}
	return nil
}

// NextProbe is the next member to probe: one whose suspicion nears its end before all
// others, else each once a round; false if none.
func (l *List) NextProbe() (*wire.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if suspect := l.unchecked(time.Now()); suspect != nil {
		suspect.checked = true
		return suspect.member, true
	}
	for range len(l.order) {
		if l.next >= len(l.order) {
			l.next = 0
			l.random.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
		}
		id := l.order[l.next]
		l.next++
		m := l.entries[id].member
		if id != l.self.GetId() && m.GetStanding() != wire.Standing_STANDING_DEAD {
			return m, true
		}
	}
	return nil, false
}

// Some gives the beat addresses of a few random live members.
func (l *List) RandomAddresses(count int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	start := l.random.IntN(len(l.order))
	for i := range l.order {
		m := l.entries[l.order[(start+i)%len(l.order)]].member
		if len(addresses) == count {
			break
		}
		if m.GetId() != l.self.GetId() && m.GetStanding() == wire.Standing_STANDING_ALIVE {
			addresses = append(addresses, m.GetBeatAddress())
		}
	}
	return addresses
}
