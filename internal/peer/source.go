package peer

import "time"

// Gateways that begin together know few of the others for seconds: a heartbeat of each reaches all
// only after as many beats as there are gateways. By what it knows each of them would be among
// the first to ask the store, and all would. So one that has got its first copy of the store
// from a peer goes on asking that one for proofs until it has had the time to hear the others,
// and says so: nobody takes it for one that asks the store, or passes on what that says. Those
// that have read the store themselves ask it until then, unless they hear of one that comes
// before them in the order that all share. Who asks whom has no circle: a copy is older
// where it came from, and among those that have read the store that order decides.

// settleLeast is how long a gateway takes to hear the others, at least.
const settleLeast = 5 * time.Second

// settled says whether this gateway has had the time to hear those that it knows of. Once it
// has, it stays so, however many others come.
func (t *table) settled(now time.Time) bool {
	t.hasSettled = t.hasSettled || now.Sub(t.startedAt) >= max(settleLeast, t.beatInterval())
	return t.hasSettled
}

// begin notes when this gateway began.
func (t *table) begin(now time.Time) {
	t.startedAt = now
}

// reads says whether this gateway has read the store itself and has not had the time to hear
// the others yet: those that have got its copy follow it.
func (t *table) reads(now time.Time) bool {
	return t.loaded && t.source == nil && !t.settled(now)
}

// follow notes that this gateway's first copy of the store came from a peer.
func (t *table) follow(id string) {
	t.source = t.peers[id]
}

// followed is the peer that this gateway follows; nil if it follows none.
func (t *table) followed(now time.Time) *peer {
	source := t.source
	if source == nil || t.settled(now) {
		return nil
	}
	if t.peers[source.id] != source || source.leaving || source.unanswered >= mostUnanswered || now.Sub(source.lastBeat) > t.lostAfter() {
		return nil
	}
	return source
}
