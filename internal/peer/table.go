// Package peer lets gateways tell each other what each needs to know of the
// others: requests in flight at targets, where parts of prompts are cached,
// how fresh the configuration is, and the content of the store itself for a
// gateway that can't reach it.
//
// Beats are datagrams and may be lost; nothing depends on a single one. The
// store's content goes over links. Source: docs/design/platform.md, "Peers".
package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// lostAfter without a beat a peer counts as lost.
	lostAfter = 2 * time.Second
	// forgetAfter without a beat its address is forgotten, unless it is a
	// seed.
	forgetAfter = 5 * time.Minute
)

// peer is one other gateway.
type peer struct {
	id      string
	life    uint64
	address string
	heardAt time.Time
	// sequence is the last one got from it.
	sequence uint64
	revision int64
	// proofAge is that of its proof when the beat was sent; negative for none.
	proofAge time.Duration
	// reachesStore says that its last call to the store was answered.
	reachesStore bool
	leaving      bool
	// lost says that its loss has been told.
	lost bool
	// told is the number of the next placement to tell it.
	told int
	// toldAt is when the last beat was sent to it.
	toldAt time.Time
	// beats counts the beats sent to it.
	beats int
	// failedAt is when a pull from it last failed.
	failedAt time.Time
}

// table is what a gateway knows of the others. One goroutine at a time uses
// it.
type table struct {
	self  string
	peers map[string]*peer
	// addresses are those of gateways that were never heard, by when the last
	// beat was sent there.
	addresses map[string]time.Time
	seeds     []string
}

func newTable(self string, seeds []string, own string) *table {
	t := &table{self: self, peers: make(map[string]*peer), addresses: make(map[string]time.Time)}
	for _, seed := range seeds {
		if seed != own {
			t.seeds = append(t.seeds, seed)
			t.addresses[seed] = time.Time{}
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

// byLife finds the peer in one of its lives; nil if it is unknown.
func (t *table) byLife(life uint64) *peer {
	for _, known := range t.peers {
		if known.life == life {
			return known
		}
	}
	return nil
}

// take notes a beat. The peer is nil if the beat leaves out who sent it and
// that is not known.
func (t *table) take(beat *wire.GatewayBeat, now time.Time) (*peer, change) {
	if beat.GetId() == "" {
		known := t.byLife(beat.GetLife())
		if known == nil {
			return nil, outdated
		}
		beat.Id, beat.Address = known.id, known.address
	}
	known, ok := t.peers[beat.GetId()]
	if ok && known.life == beat.GetLife() && beat.GetSequence() <= known.sequence {
		return known, outdated
	}
	result := unchanged
	if !ok || known.life != beat.GetLife() {
		known = &peer{id: beat.GetId(), life: beat.GetLife()}
		t.peers[beat.GetId()] = known
		result = found
	}
	if known.lost {
		known.lost = false
		result = found
	}
	known.address = beat.GetAddress()
	known.heardAt = now
	known.sequence = beat.GetSequence()
	known.revision = beat.GetRevision()
	known.reachesStore = beat.GetStoreReachable()
	known.leaving = beat.GetLeaving()
	known.proofAge = -1
	if beat.GetHasProof() {
		known.proofAge = time.Duration(beat.GetProofAgeMs()) * time.Millisecond
	}
	delete(t.addresses, known.address)
	return known, result
}

// hear notes addresses of gateways that were never heard.
func (t *table) hear(addresses []string, own string) {
	for _, address := range addresses {
		if address == own || t.hasPeerAt(address) {
			continue
		}
		if _, ok := t.addresses[address]; !ok {
			t.addresses[address] = time.Time{}
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

// live are the peers that were heard lately, in the order of their ids.
func (t *table) live(now time.Time) []*peer {
	var peers []*peer
	for _, known := range t.peers {
		if now.Sub(known.heardAt) <= lostAfter {
			peers = append(peers, known)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return peers
}

// expire returns the peers that have just become lost, and forgets those that
// have been for long.
func (t *table) expire(now time.Time) []*peer {
	var lost []*peer
	for id, known := range t.peers {
		silent := now.Sub(known.heardAt)
		if silent > lostAfter && !known.lost {
			known.lost = true
			lost = append(lost, known)
		}
		if silent > forgetAfter {
			delete(t.peers, id)
			if slices.Contains(t.seeds, known.address) {
				t.addresses[known.address] = time.Time{}
			}
		}
	}
	return lost
}

// silent are the addresses to which a beat is due although nothing is heard
// from them: each once in a while.
func (t *table) silent(now time.Time, every time.Duration) []string {
	var due []string
	for address, last := range t.addresses {
		if now.Sub(last) >= every {
			t.addresses[address] = now
			due = append(due, address)
		}
	}
	for _, known := range t.peers {
		if known.lost && now.Sub(t.addresses[known.address]) >= every {
			due = append(due, known.address)
		}
	}
	slices.Sort(due)
	return slices.Compact(due)
}

// askerSilent is how long an asker may be silent before the next one asks in
// its place; askerSilentOfMany with more than a few peers, who hear each other
// less often. It is shorter than lostAfter: a call too many costs little.
const (
	askerSilent       = 900 * time.Millisecond
	askerSilentOfMany = 1500 * time.Millisecond
)

// askers is how many gateways ask the store; the others hear from them.
const askers = 2

// asks says whether this gateway is among those that ask the store.
func (t *table) asks(now time.Time) bool {
	return t.rank(now) < askers
}

// rank is how many of the gateways that reach the store come before this one,
// in an order that all share.
func (t *table) rank(now time.Time) int {
	own := askScore(t.self)
	before := 0
	live := t.live(now)
	silent := askerSilent
	if len(live) > fewPeers {
		silent = askerSilentOfMany
	}
	for _, known := range live {
		if known.leaving || !known.reachesStore || now.Sub(known.heardAt) > silent {
			continue
		}
		if askScore(known.id) > own {
			before++
		}
	}
	return before
}

func askScore(id string) uint64 {
	return policy.Score(policy.HashName("store"), policy.HashName(id))
}
