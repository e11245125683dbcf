package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// In a large fleet no gateway can learn of all placements of the others: what each would have to
// report grows with the number of gateways. So for each part of prompts one gateway, the keeper,
// tracks where the part is cached: the first one in the part's rendezvous order. A gateway that
// places a long part reports it to the keeper, and a gateway that doesn't know where a part is
// cached asks the keeper and waits briefly for the answer. Correctness doesn't depend on it:
// without an answer the gateway has to guess. Where gateways disagree on who is live, for example
// while some start or stop, a lookup may find nothing.

const (
	// findTimeout limits the wait for an answer. It is some ten times what an answer takes between
	// data centres of a region, and a fiftieth of what prefilling a long part takes.
	findTimeout = 20 * time.Millisecond
	// waiterTTL is how long the directory remembers a gateway that looked up a part while it was
	// being prefilled, to notify it when the part has been prefilled. No request waits longer.
	waiterTTL = time.Second
	// directoryShare is the share of the byte budget that the directory and refused targets may
	// use. Datagrams beyond it are dropped. Otherwise they would leave no bytes for loads during a
	// surge, when loads matter most.
	directoryShare = 0.35
)

// directory is one gateway's part of the placement directory.
type directory struct {
	// lookups holds the open lookups by number. An answer closes the channel.
	lookups    map[uint32]chan struct{}
	lastNumber uint32
	// waiters holds the gateways to notify when a part has been prefilled.
	waiters map[uint32][]waiter
}

// waiter is a gateway that waits for a part to be prefilled.
type waiter struct {
	id    string
	until time.Time
}

func newDirectory() *directory {
	return &directory{lookups: make(map[uint32]chan struct{}), waiters: make(map[uint32][]waiter)}
}

// register opens a new lookup.
func (d *directory) register() (number uint32, answered chan struct{}) {
	d.lastNumber++
	if d.lastNumber == 0 {
		d.lastNumber++ // zero means that nothing is asked
	}
	answered = make(chan struct{})
	d.lookups[d.lastNumber] = answered
	return d.lastNumber, answered
}

// finish closes a lookup. It returns false if the lookup was closed before.
func (d *directory) finish(number uint32) bool {
	answered, ok := d.lookups[number]
	if ok {
		close(answered)
		delete(d.lookups, number)
	}
	return ok
}

// expire removes the gateways whose wait has timed out.
func (d *directory) expire(now time.Time) {
	for part, waiting := range d.waiters {
		if now.After(waiting[len(waiting)-1].until) {
			delete(d.waiters, part)
		}
	}
}

// keeper returns the gateway that tracks a part; nil if it is this one. Gateways that leave or
// don't answer are skipped. A large host keeps more parts than a small one.
func (v *view) keeper(part uint32, self uint64) *peer {
	key := uint64(part) << 32
	var best *peer
	bestScore := weightedScore(policy.Score(key, self), v.class.share())
	for _, p := range v.live {
		if p.leaving || p.unansweredLookups >= maxUnanswered {
			continue
		}
		if score := weightedScore(policy.Score(key, p.hash), p.class.share()); score > bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// Find asks the keepers where parts are cached and passes the answers to the balancer. It returns
// when all answers have arrived, or after findTimeout.
func (s *Service) Find(ctx context.Context, parts []uint32) balance.Finding {
	asked := s.sendLookups(parts)
	if len(asked) == 0 {
		return balance.NotAsked
	}
	timer := time.NewTimer(findTimeout)
	defer timer.Stop()
	finding := balance.Answered
	for _, sent := range asked {
		select {
		case <-sent.answered:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		finding = balance.Unanswered
		break
	}
	s.finishLookups(asked, ctx.Err() == nil)
	return finding
}

// lookup is a lookup that was sent to a peer.
type lookup struct {
	number   uint32
	peer     *peer
	answered chan struct{}
}

// sendLookups sends lookups for parts to their keepers, except for the parts that this gateway
// keeps itself.
func (s *Service) sendLookups(parts []uint32) []lookup {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentView(now)
	if !current.large {
		return nil
	}
	var asked []lookup
	for _, part := range parts {
		keeper := current.keeper(part, s.hash)
		if keeper == nil {
			continue
		}
		number, answered := s.directory.register()
		heartbeat := s.bareHeartbeat()
		heartbeat.Question, heartbeat.Part = number, part
		if !s.sendDirectory(keeper, heartbeat) {
			s.directory.finish(number)
			continue
		}
		asked = append(asked, lookup{number: number, peer: keeper, answered: answered})
	}
	return asked
}

// finishLookups closes the lookups that were not answered. Each of them counts against the
// peer that was asked, unless blame is false because the caller gave up.
func (s *Service) finishLookups(asked []lookup, blame bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range asked {
		if s.directory.finish(sent.number) && blame {
			sent.peer.unansweredLookups++
		}
	}
}

// answerLookup answers a lookup with what this gateway knows of a part.
func (s *Service) answerLookup(from *peer, request *wire.GatewayBeat, now time.Time) {
	part := request.GetPart()
	holders, filling := s.options.Balancer.Cached(part, now)
	if len(holders) == 0 && len(filling) > 0 {
		s.directory.waiters[part] = append(s.directory.waiters[part], waiter{id: from.id, until: now.Add(waiterTTL)})
	}
	heartbeat := s.bareHeartbeat()
	heartbeat.Answer = request.GetQuestion()
	heartbeat.Parts, heartbeat.Holders = splitPlacements(holders)
	heartbeat.FillParts, heartbeat.FillTargets = splitPlacements(filling)
	s.sendDirectory(from, heartbeat)
}

// bareHeartbeat returns a heartbeat without the state of this process. A peer that doesn't know
// the sender drops it.
func (s *Service) bareHeartbeat() *wire.GatewayBeat {
	s.sequence++
	s.sentAt[s.sequence%sentHistory] = clock.Now()
	return &wire.GatewayBeat{Life: s.incarnation, Sequence: s.sequence, Brief: true, Bare: true}
}

// bareHeartbeatTo is bareHeartbeat for content that the peer must not miss: it names the sender if
// the peer may not know it.
func (s *Service) bareHeartbeatTo(to *peer) *wire.GatewayBeat {
	heartbeat := s.bareHeartbeat()
	if to.heartbeatsSent < senderFirst {
		s.addSender(heartbeat)
	}
	return heartbeat
}

// sendDirectory sends a bare heartbeat at once, unless the directory's share of the budget is
// spent.
func (s *Service) sendDirectory(to *peer, heartbeat *wire.GatewayBeat) bool {
	if !s.directoryBucket.AllowN(time.Now(), proto.Size(heartbeat)) {
		return false
	}
	return s.send(to.address, heartbeat, true)
}

// Placed reports to the keepers which of their parts targets have prefilled.
func (s *Service) Placed(placements []balance.Placement) {
	s.reportToKeepers(placements, func(heartbeat *wire.GatewayBeat, placement balance.Placement) {
		heartbeat.Parts, heartbeat.Holders = splitPlacements([]balance.Placement{placement})
	})
}

// Filling reports to the keepers which of their parts targets have begun to prefill.
func (s *Service) Filling(placements []balance.Placement) {
	s.reportToKeepers(placements, func(heartbeat *wire.GatewayBeat, placement balance.Placement) {
		heartbeat.FillParts, heartbeat.FillTargets = splitPlacements([]balance.Placement{placement})
	})
}

// reportToKeepers sends each placement to the keeper of its part. In a small fleet, heartbeats
// carry all placements instead.
func (s *Service) reportToKeepers(placements []balance.Placement, put func(heartbeat *wire.GatewayBeat, placement balance.Placement)) {
	if len(placements) == 0 {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentView(now)
	if !current.large {
		return
	}
	for _, placement := range placements {
		keeper := current.keeper(placement.Part, s.hash)
		if keeper == nil {
			s.notifyWaiters(placement, now)
			continue
		}
		heartbeat := s.bareHeartbeat()
		put(heartbeat, placement)
		s.sendDirectory(keeper, heartbeat)
	}
}

// applyPlacements applies the placements of a heartbeat.
func (s *Service) applyPlacements(heartbeat *wire.GatewayBeat, now time.Time) {
	placements := placementsOf(heartbeat.GetParts(), heartbeat.GetHolders())
	s.options.Balancer.Learn(placements)
	s.options.Balancer.LearnFills(placementsOf(heartbeat.GetFillParts(), heartbeat.GetFillTargets()), now)
	for _, placement := range placements {
		s.notifyWaiters(placement, now)
	}
	if number := heartbeat.GetAnswer(); number != 0 {
		s.directory.finish(number)
	}
}

// notifyWaiters tells the gateways that wait for a part which target holds it.
func (s *Service) notifyWaiters(placement balance.Placement, now time.Time) {
	waiting := s.directory.waiters[placement.Part]
	if len(waiting) == 0 || !s.options.Balancer.Holds(placement) {
		return
	}
	delete(s.directory.waiters, placement.Part)
	for _, entry := range waiting {
		p := s.table.peers[entry.id]
		if p == nil || now.After(entry.until) {
			continue
		}
		heartbeat := s.bareHeartbeat()
		heartbeat.Parts, heartbeat.Holders = splitPlacements([]balance.Placement{placement})
		s.sendDirectory(p, heartbeat)
	}
}
