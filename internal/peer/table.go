package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// minLostAfter is the silence after which a peer counts as lost. In a fleet so large that each
	// peer gets heartbeats less often, it is maxMissedHeartbeats heartbeat intervals.
	minLostAfter        = 2 * time.Second
	maxMissedHeartbeats = 3
	// typicalHeartbeatSize is the typical size of a heartbeat, in bytes.
	typicalHeartbeatSize = 110
	// forgetAfter is the silence after which a peer's address is forgotten, unless it is a seed.
	forgetAfter = 5 * time.Minute
)

// peer is another gateway.
type peer struct {
	id          string
	incarnation uint64
	// knowsSince is since when it has known all targets without a gap, as it states.
	knowsSince    time.Time
	address       string
	lastHeartbeat time.Time
	// sequence is the last sequence number received from it.
	sequence uint64
	revision int64
	// proofAge is the age of its proof when it sent the heartbeat; negative for none.
	proofAge time.Duration
	// reachesStore reports whether its last call to the store was answered.
	reachesStore bool
	leaving      bool
	// alone reports whether it heard no other gateway when it sent its last heartbeat.
	alone bool
	// follows reports whether it has recently started and follows another gateway.
	follows bool
	// lag is how late its timers fired when it sent its last heartbeat.
	lag time.Duration
	// lost reports whether its loss has been reported to the watcher.
	lost bool
	// nextPlacement is the number of the next placement to report to it.
	nextPlacement int
	// heartbeatSentAt is when the last heartbeat was sent to it.
	heartbeatSentAt time.Time
	// heartbeatsSent counts the heartbeats sent to it.
	heartbeatsSent int
	// pullFailedAt is when a pull from it last failed.
	pullFailedAt time.Time
	// class is its host's class; askScore orders the peers of a class in the order of asking the
	// store.
	class    Class
	askScore uint64
	// hash is the hash of its id.
	hash uint64
	// unanswered counts the proof questions to it since its last heartbeat.
	unanswered int
	// quarantineSentAt is when the held requests were last sent to it because its hash differed.
	quarantineSentAt time.Time
	// unansweredLookups counts the directory lookups that it left unanswered since its last
	// heartbeat. A peer that is short of bytes answers fewer of them, and may still be the parent
	// or ask the store.
	unansweredLookups int
}

// table holds what a gateway knows of its peers. It is not safe for concurrent use.
type table struct {
	self string
	// class is the class of this process's host.
	class Class
	peers map[string]*peer
	// byIncarnation indexes the peers by their current incarnation.
	byIncarnation map[uint64]*peer
	// addresses are the addresses of gateways from which no heartbeats arrive, with the attempts to
	// contact them.
	addresses map[string]contactAttempts
	// seeds are the addresses from the settings, and storedSeeds those from the store. Neither is ever
	// forgotten, and neither has this gateway's own address.
	seeds, storedSeeds []string
	ownAddress         string
	// budget is the number of bytes a second that each gateway sends in heartbeats.
	budget int
	// startedAt is when this gateway started. source is the peer from which it pulled its first
	// copy of the store; nil if it has read the store itself.
	startedAt time.Time
	source    *peer
	// hasSettled reports whether it has had the time to hear the others.
	hasSettled bool
	// loaded reports whether it has a copy of the store.
	loaded bool
}

func newTable(self string, seeds []string, ownAddress string, budget int) *table {
	t := &table{self: self, ownAddress: ownAddress, budget: max(budget, 1), peers: make(map[string]*peer), byIncarnation: make(map[uint64]*peer), addresses: make(map[string]contactAttempts)}
	t.setSeeds(seeds)
	return t
}

// setSeeds replaces the seeds from the settings.
func (t *table) setSeeds(seeds []string) {
	t.seeds = t.withoutOwn(seeds)
	t.discover(t.seeds)
}

// setStoredSeeds replaces the seeds from the store. contactStoredSeeds contacts them.
func (t *table) setStoredSeeds(seeds []string) {
	t.storedSeeds = t.withoutOwn(seeds)
}

// contactStoredSeeds adds the seeds from the store to the addresses to contact.
func (t *table) contactStoredSeeds() {
	t.discover(t.storedSeeds)
}

func (t *table) withoutOwn(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == t.ownAddress })
}

// isSeed reports whether an address is one of the seeds.
func (t *table) isSeed(address string) bool {
	return slices.Contains(t.seeds, address) || slices.Contains(t.storedSeeds, address)
}

// change is the effect of a heartbeat on the table.
type change int

const (
	unchanged change = iota
	// found: the peer is new, was lost, or has a new incarnation.
	found
	// outdated: the heartbeat is older than one that was recorded before.
	outdated
)

// record applies a heartbeat to the table. The peer is nil if the heartbeat doesn't name its
// sender and its incarnation is unknown.
func (t *table) record(heartbeat *wire.GatewayBeat, now time.Time) (*peer, change) {
	if heartbeat.GetId() == "" {
		p := t.byIncarnation[heartbeat.GetLife()]
		if p == nil {
			return nil, outdated
		}
		heartbeat.Id, heartbeat.Address, heartbeat.HostClass = p.id, p.address, uint32(p.class)
	}
	p, ok := t.peers[heartbeat.GetId()]
	if ok && p.incarnation == heartbeat.GetLife() && heartbeat.GetSequence() <= p.sequence {
		return p, outdated
	}
	result := unchanged
	if !ok || p.incarnation != heartbeat.GetLife() {
		if ok {
			delete(t.byIncarnation, p.incarnation)
		}
		p = &peer{id: heartbeat.GetId(), incarnation: heartbeat.GetLife(), knowsSince: now, askScore: askScore(heartbeat.GetId()), hash: policy.HashName(heartbeat.GetId())}
		t.peers[p.id], t.byIncarnation[p.incarnation] = p, p
		result = found
	}
	if p.lost {
		p.lost = false
		result = found
	}
	p.address = heartbeat.GetAddress()
	p.class = Class(min(heartbeat.GetHostClass(), maxClass))
	p.lastHeartbeat = now
	p.unanswered, p.unansweredLookups = 0, 0
	p.sequence = heartbeat.GetSequence()
	if heartbeat.GetBare() {
		p.revision = max(p.revision, heartbeat.GetRevision())
		return p, result
	}
	p.revision = heartbeat.GetRevision()
	p.reachesStore = heartbeat.GetStoreReachable()
	p.leaving = heartbeat.GetLeaving()
	p.follows = heartbeat.GetFollows()
	p.alone = heartbeat.GetAlone()
	p.lag = time.Duration(heartbeat.GetLagMs()) * time.Millisecond
	p.proofAge = -1
	if heartbeat.GetHasProof() {
		p.proofAge = time.Duration(heartbeat.GetProofAgeMs()) * time.Millisecond
	}
	delete(t.addresses, p.address)
	return p, result
}

// discover adds the addresses of unknown gateways.
func (t *table) discover(addresses []string) {
	for _, address := range addresses {
		if address == t.ownAddress || t.hasPeerAt(address) {
			continue
		}
		if _, ok := t.addresses[address]; !ok {
			t.addresses[address] = contactAttempts{}
		}
	}
}

func (t *table) hasPeerAt(address string) bool {
	for _, p := range t.peers {
		if p.address == address {
			return true
		}
	}
	return false
}

// heartbeatInterval returns how long a gateway takes to send each of its peers a heartbeat.
func (t *table) heartbeatInterval() time.Duration {
	return time.Duration(len(t.peers)*typicalHeartbeatSize) * time.Second / time.Duration(t.budget)
}

// lostAfter returns how long a peer may be silent before it counts as lost.
func (t *table) lostAfter() time.Duration {
	return max(minLostAfter, maxMissedHeartbeats*t.heartbeatInterval())
}

// live returns the peers that sent a heartbeat recently, ordered by id.
func (t *table) live(now time.Time) []*peer {
	var peers []*peer
	limit := t.lostAfter()
	for _, p := range t.peers {
		if now.Sub(p.lastHeartbeat) <= limit {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return peers
}

// Census counts the other gateways.
type Census struct {
	// Live is the number of gateways that sent a heartbeat recently.
	Live int
	// Known is the number of gateways that may be running. It includes those that were lost in the
	// last few minutes, since they may only be cut off from this one.
	Known int
	// Silent is the number of addresses from which no heartbeat arrives: those that did not answer in
	// the last few minutes, and those from the settings however long that is.
	Silent int
	// Preceding is the number of known gateways that precede this one in an order that all gateways
	// share.
	Preceding int
}

// census counts the peers, given the number of live ones.
func (t *table) census(live int, now time.Time) Census {
	census := Census{Live: live}
	for address, attempts := range t.addresses {
		if slices.Contains(t.seeds, address) || !attempts.longSilent(now) {
			census.Silent++
		}
	}
	own := policy.HashName(t.self)
	for _, p := range t.peers {
		if p.leaving {
			continue
		}
		census.Known++
		if p.hash < own {
			census.Preceding++
		}
	}
	return census
}

// expire returns the peers that have just become lost, and removes what has been silent for forgetAfter.
func (t *table) expire(now time.Time) []*peer {
	var lost []*peer
	limit := t.lostAfter()
	for id, p := range t.peers {
		silent := now.Sub(p.lastHeartbeat)
		if silent > limit && !p.lost {
			p.lost = true
			lost = append(lost, p)
		}
		if silent > forgetAfter {
			delete(t.peers, id)
			delete(t.byIncarnation, p.incarnation)
			delete(t.addresses, p.address)
		}
	}
	maps.DeleteFunc(t.addresses, func(address string, attempts contactAttempts) bool {
		return attempts.longSilent(now) && !t.isSeed(address)
	})
	t.discover(t.seeds)
	return lost
}

// contactAttempts counts the heartbeats to an address from which none arrives.
type contactAttempts struct {
	first, last time.Time
	count       int
}

// longSilent reports whether nothing has arrived from the address for forgetAfter.
func (c contactAttempts) longSilent(now time.Time) bool {
	return c.count > 0 && now.Sub(c.first) > forgetAfter
}

const (
	// After n heartbeats to a silent address the delay is baseRetryDelay*2^n, up to maxRetryDelay.
	// Short first delays let gateways that start at slightly different times find each other
	// quickly.
	baseRetryDelay = 60 * time.Millisecond
	maxRetryDelay  = time.Second
)

// due reports whether another heartbeat is to be sent now.
func (c contactAttempts) due(now time.Time) bool {
	const maxDoublings = 5
	delay := min(baseRetryDelay<<min(c.count, maxDoublings), maxRetryDelay)
	return c.count == 0 || now.Sub(c.last) >= delay
}

// dueAddresses returns the silent addresses to which a heartbeat is due.
func (t *table) dueAddresses(now time.Time) []string {
	for _, p := range t.peers {
		if _, ok := t.addresses[p.address]; p.lost && !ok {
			t.addresses[p.address] = contactAttempts{}
		}
	}
	var due []string
	for address, attempts := range t.addresses {
		if attempts.due(now) {
			if attempts.count == 0 {
				attempts.first = now
			}
			t.addresses[address] = contactAttempts{first: attempts.first, last: now, count: attempts.count + 1}
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}
