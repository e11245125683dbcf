package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// lostAfter without a beat a peer counts as lost; later where there are so
	// many that each gets beats less often: after beatsMissed beats.
	lostAfter   = 2 * time.Second
	beatsMissed = 3
	// usualBeat is the usual size of a beat, in bytes.
	usualBeat = 110
	// forgetAfter without a beat its address is forgotten, unless it is a
	// seed.
	forgetAfter = 5 * time.Minute
)

// peer is one other gateway.
type peer struct {
	id       string
	life     uint64
	address  string
	lastBeat time.Time
	// sequence is the last one got from it.
	sequence uint64
	revision int64
	// proofAge is that of its proof when the beat was sent; negative for none.
	proofAge time.Duration
	// reachesStore says that its last call to the store was answered.
	reachesStore bool
	leaving      bool
	// alone says that it heard nobody when it sent its last beat.
	alone bool
	// follows says that it has just begun and follows another gateway.
	follows bool
	// lag is how late its timers fired when it sent its last beat.
	lag time.Duration
	// lost says that its loss has been reported.
	lost bool
	// reported is the number of the next placement to report to it.
	reported int
	// reportedAt is when the last beat was sent to it.
	reportedAt time.Time
	// beats counts the beats sent to it.
	beats int
	// failedAt is when a pull from it last failed.
	failedAt time.Time
	// class is its host's; askScore is its place among those of the class in the
	// order of those who ask the store.
	class    Class
	askScore uint64
	// hash is that of its id.
	hash uint64
	// unanswered counts the questions to it since its last beat.
	unanswered int
	// comparedAt is when it was last sent the requests that are held back here, since it
	// holds others back.
	comparedAt time.Time
	// unfound counts the questions for parts that it left unanswered since its
	// last beat. Where bytes are short it answers fewer of them, and may still be
	// the parent, or ask the store.
	unfound int
}

// table is what a gateway knows of the others. One goroutine at a time uses
// it.
type table struct {
	self string
	// class is that of this process's host.
	class Class
	peers map[string]*peer
	// lives are the same by the number of their present life.
	lives map[uint64]*peer
	// addresses are those of gateways from which no beats come, with what was sent
	// there.
	addresses map[string]calls
	seeds     []string
	// budget is how many bytes a second each gateway sends in beats.
	budget int
	// startedAt is when this gateway began, and source the peer from which its first copy of
	// the store came; nil if it has read the store itself.
	startedAt time.Time
	source    *peer
	// hasSettled says that it has had the time to hear the others.
	hasSettled bool
	// loaded says that it has a copy.
	loaded bool
}

func newTable(self string, seeds []string, own string, budget int) *table {
	t := &table{self: self, budget: max(budget, 1), peers: make(map[string]*peer), lives: make(map[uint64]*peer), addresses: make(map[string]calls)}
	for _, seed := range seeds {
		if seed != own {
			t.seeds = append(t.seeds, seed)
			t.addresses[seed] = calls{}
		}
	}
	return t
}

// change is what a beat brought about.
type change int

const (
	unchanged change = iota
	// found: the peer is new, or was lost, or has begun another life.
	found
	// outdated: the beat is older than one that was taken already.
	outdated
)

// take notes a beat. The peer is nil if the beat leaves out who sent it and
// that is not known.
func (t *table) take(beat *wire.GatewayBeat, now time.Time) (*peer, change) {
	if beat.GetId() == "" {
		known := t.lives[beat.GetLife()]
		if known == nil {
			return nil, outdated
		}
		beat.Id, beat.Address, beat.HostClass = known.id, known.address, uint32(known.class)
	}
	known, ok := t.peers[beat.GetId()]
	if ok && known.life == beat.GetLife() && beat.GetSequence() <= known.sequence {
		return known, outdated
	}
	result := unchanged
	if !ok || known.life != beat.GetLife() {
		if ok {
			delete(t.lives, known.life)
		}
		known = &peer{id: beat.GetId(), life: beat.GetLife(), askScore: askScore(beat.GetId()), hash: policy.HashName(beat.GetId())}
		t.peers[known.id], t.lives[known.life] = known, known
		result = found
	}
	if known.lost {
		known.lost = false
		result = found
	}
	known.address = beat.GetAddress()
	known.class = Class(min(beat.GetHostClass(), mostClass))
	known.lastBeat = now
	known.unanswered, known.unfound = 0, 0
	known.sequence = beat.GetSequence()
	if beat.GetBare() {
		return known, result
	}
	known.revision = beat.GetRevision()
	known.reachesStore = beat.GetStoreReachable()
	known.leaving = beat.GetLeaving()
	known.follows = beat.GetFollows()
	known.alone = beat.GetAlone()
	known.lag = time.Duration(beat.GetLagMs()) * time.Millisecond
	known.proofAge = -1
	if beat.GetHasProof() {
		known.proofAge = time.Duration(beat.GetProofAgeMs()) * time.Millisecond
	}
	delete(t.addresses, known.address)
	return known, result
}

// discover notes addresses of gateways that are not known yet.
func (t *table) discover(addresses []string, own string) {
	for _, address := range addresses {
		if address == own || t.hasPeerAt(address) {
			continue
		}
		if _, ok := t.addresses[address]; !ok {
			t.addresses[address] = calls{}
		}
	}
}

func (t *table) hasPeerAt(address string) bool {
	for _, known := range t.peers {
		if known.address == address {
			return true
		}
	}
	return false
}

// beatInterval is how long it takes a gateway to send each of its peers a beat.
func (t *table) beatInterval() time.Duration {
	return time.Duration(len(t.peers)*usualBeat) * time.Second / time.Duration(t.budget)
}

// lostAfter is how long a peer may be silent before it counts as lost.
func (t *table) lostAfter() time.Duration {
	return max(lostAfter, beatsMissed*t.beatInterval())
}

// live are the peers that sent a beat lately, in the order of their ids.
func (t *table) live(now time.Time) []*peer {
	var peers []*peer
	longest := t.lostAfter()
	for _, known := range t.peers {
		if now.Sub(known.lastBeat) <= longest {
			peers = append(peers, known)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return peers
}

// Census is how many other gateways there are.
type Census struct {
	// Live sent a beat lately.
	Live int
	// Known are those that may be there: also those that were lost in the last few
	// minutes, since they may only be cut off from this one.
	Known int
	// Silent is how many addresses of gateways there are from which no beat comes: of
	// those that were lost in the last few minutes, or that the settings name.
	Silent int
	// Before is how many of these come before this gateway in an order that all
	// gateways share.
	Preceding int
}

// count counts the peers, of which so many are live.
func (t *table) count(live int) Census {
	census := Census{Live: live, Silent: len(t.addresses)}
	own := policy.HashName(t.self)
	for _, known := range t.peers {
		if known.leaving {
			continue
		}
		census.Known++
		if known.hash < own {
			census.Preceding++
		}
	}
	return census
}

// expire returns the peers that have just become lost, and forgets those that
// have been for long.
func (t *table) expire(now time.Time) []*peer {
	var lost []*peer
	longest := t.lostAfter()
	for id, known := range t.peers {
		silent := now.Sub(known.lastBeat)
		if silent > longest && !known.lost {
			known.lost = true
			lost = append(lost, known)
		}
		if silent > forgetAfter {
			delete(t.peers, id)
			delete(t.lives, known.life)
			delete(t.addresses, known.address)
			if slices.Contains(t.seeds, known.address) {
				t.addresses[known.address] = calls{}
			}
		}
	}
	return lost
}

// calls are the beats to an address from which no beat comes.
type calls struct {
	last  time.Time
	count int
}

const (
	// callFirst is the time between the first two beats to an address that is
	// silent; it doubles up to callMost. Gateways that begin together, and
	// not quite at once, find each other soon.
	callFirst = 60 * time.Millisecond
	callMost  = time.Second
)

// due says whether another beat is to be sent now.
func (c calls) due(now time.Time) bool {
	const mostDoublings = 5
	pause := min(callFirst<<min(c.count, mostDoublings), callMost)
	return c.count == 0 || now.Sub(c.last) >= pause
}

// silent are the addresses to which a beat is due although none comes from
// them.
func (t *table) silent(now time.Time) []string {
	for _, known := range t.peers {
		if _, ok := t.addresses[known.address]; known.lost && !ok {
			t.addresses[known.address] = calls{}
		}
	}
	var due []string
	for address, made := range t.addresses {
		if made.due(now) {
			t.addresses[address] = calls{last: now, count: made.count + 1}
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}
