package peer

import "time"

// Gateways that start together know few of the others for seconds: a heartbeat of each reaches all
// of them only after as many heartbeats as there are gateways. Judging by what it knows, each of
// them would be among the first in the order of asking the store, and all of them would ask. So a
// gateway that has pulled its first copy of the store from a peer keeps asking that peer for
// proofs until it has had the time to hear the others, and announces this: no gateway counts it
// among those that ask the store or pass on its changes. The gateways that have read the store
// themselves ask it during this time, unless they hear of one that precedes them in the shared
// order. Following has no cycles: a copy is older at the gateway where it came from, and among
// those that have read the store the shared order decides.

// minSettleTime is the minimum time that a gateway takes to hear the others.
const minSettleTime = 5 * time.Second

// settled reports whether this gateway has had the time to hear all the peers that it knows of.
// Once true it stays true, whatever the number of peers becomes.
func (t *table) settled(now time.Time) bool {
	t.hasSettled = t.hasSettled || now.Sub(t.startedAt) >= max(minSettleTime, t.heartbeatInterval())
	return t.hasSettled
}

// markStarted sets the start time of this gateway.
func (t *table) markStarted(now time.Time) {
	t.startedAt = now
}

// readsStore reports whether this gateway has read the store itself and has not yet had the time
// to hear the others: those that have pulled its copy follow it.
func (t *table) readsStore(now time.Time) bool {
	return t.loaded && t.source == nil && !t.settled(now)
}

// setSource records the peer from which this gateway pulled its first copy of the store.
func (t *table) setSource(id string) {
	t.source = t.peers[id]
}

// activeSource returns the peer that this gateway follows; nil if there is none.
func (t *table) activeSource(now time.Time) *peer {
	source := t.source
	if source == nil || t.settled(now) {
		return nil
	}
	if t.peers[source.id] != source || source.leaving || source.unanswered >= maxUnanswered || now.Sub(source.lastHeartbeat) > t.lostAfter() {
		return nil
	}
	return source
}
