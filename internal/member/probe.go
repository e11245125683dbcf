package member

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// probeShare is the part of the suspicion timeout after which a process that only heard of a
// suspicion probes the suspected member itself.
const probeShare = 0.5

// suspectToProbe returns a member whose suspicion is close to its timeout and that this process
// has not probed since; nil if there is none. The member's refutation may have been lost on the
// way to this process only. l.mu is held.
func (l *List) suspectToProbe(now time.Time) *entry {
	for _, id := range l.order {
		e := l.entries[id]
		if e.probedAsSuspect || e.member.GetStanding() != wire.Standing_STANDING_SUSPECT {
			continue
		}
		if now.Sub(e.standingSince) > time.Duration(probeShare*float64(l.suspicionTimeout())) {
			return e
		}
	}
	return nil
}

// NextProbe returns the next member to probe: first those whose suspicion is close to its timeout,
// else each member once per round. It returns false if there is none.
func (l *List) NextProbe() (*wire.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if suspect := l.suspectToProbe(time.Now()); suspect != nil {
		suspect.probedAsSuspect = true
		return suspect.member, true
	}
	for range len(l.order) {
		if l.nextProbe >= len(l.order) {
			l.nextProbe = 0
			l.random.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
		}
		id := l.order[l.nextProbe]
		l.nextProbe++
		m := l.entries[id].member
		if id != l.self.GetId() && m.GetStanding() != wire.Standing_STANDING_DEAD {
			return m, true
		}
	}
	return nil, false
}

// RandomAddresses returns the heartbeat addresses of up to count random live members.
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
