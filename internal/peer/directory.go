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

// Among many gateways, none can learn of all that the others have placed: what
// each would have to report grows with their number. For each part of prompts one gateway
// keeps track of where it is cached, the first in the part's rendezvous order.
// Whoever places a long part reports it there; whoever does not know where a part
// is asks there, and waits for the answer for a moment. Nothing rests on it: an
// answer that does not come costs a guess. Where gateways disagree on who is
// there, as while some begin or end, a part may be asked for in vain.

const (
	// findTimeout bounds the wait for an answer. It is some ten times what an
	// answer takes between data centres of a region, and a fiftieth of what
	// reading a long part takes.
	findTimeout = 20 * time.Millisecond
	// waiterLife is how long a gateway that asked for a part that is being read
	// is remembered, to be notified when it has been read: no request waits longer.
	waiterLife = time.Second
	// directoryShare of the budget of bytes is what the directory and news of
	// refused targets may use; what does not fit is left out. In a surge they
	// would leave nothing for loads, just when these count.
	directoryShare = 0.35
)

// directory is one gateway's part in keeping track of placements.
type directory struct {
	// questions are those under way, by number; an answer closes the channel.
	questions map[uint32]chan struct{}
	last      uint32
	// waiters are the gateways to be notified when a part has been read.
	waiters map[uint32][]waiter
}

// waiter is a gateway that waits for a part to be read.
type waiter struct {
	id    string
	until time.Time
}

func newDirectory() *directory {
	return &directory{questions: make(map[uint32]chan struct{}), waiters: make(map[uint32][]waiter)}
}

// ask begins a question.
func (d *directory) ask() (number uint32, answered chan struct{}) {
	d.last++
	if d.last == 0 {
		d.last++ // zero asks nothing
	}
	answered = make(chan struct{})
	d.questions[d.last] = answered
	return d.last, answered
}

// end ends a question; it returns false if it had ended before.
func (d *directory) end(number uint32) bool {
	answered, ok := d.questions[number]
	if ok {
		close(answered)
		delete(d.questions, number)
	}
	return ok
}

// expire forgets the gateways that wait no more.
func (d *directory) expire(now time.Time) {
	for part, waiting := range d.waiters {
		if now.After(waiting[len(waiting)-1].until) {
			delete(d.waiters, part)
		}
	}
}

// keeper is the gateway that keeps track of a part; nil if it is this one. The
// others are those that answer and do not leave. A large host keeps more than a
// small one.
func (v *view) keeper(part uint32, self uint64) *peer {
	key := uint64(part) << 32
	var best *peer
	bestScore := weighed(policy.Score(key, self), v.class.share())
	for _, known := range v.live {
		if known.leaving || known.unfound >= mostUnanswered {
			continue
		}
		if score := weighed(policy.Score(key, known.hash), known.class.share()); score > bestScore {
			best, bestScore = known, score
		}
	}
	return best
}

// Find asks where parts are cached and has the balancer learn it. It returns
// when all answers are here, or after a moment without them.
func (s *Service) Find(ctx context.Context, parts []uint32) balance.Finding {
	asked := s.ask(parts)
	if len(asked) == 0 {
		return balance.NotAsked
	}
	timer := time.NewTimer(findTimeout)
	defer timer.Stop()
	found := balance.Answered
	for _, question := range asked {
		select {
		case <-question.answered:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		found = balance.Unanswered
		break
	}
	s.endQuestions(asked, ctx.Err() == nil)
	return found
}

// question is one that was asked of a peer.
type question struct {
	number   uint32
	peer     *peer
	answered chan struct{}
}

// ask asks the keepers of parts; of those that this gateway keeps track of
// itself nobody is asked.
func (s *Service) ask(parts []uint32) []question {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.look(now)
	if !seen.many {
		return nil
	}
	var asked []question
	for _, part := range parts {
		keeper := seen.keeper(part, s.hash)
		if keeper == nil {
			continue
		}
		number, answered := s.directory.ask()
		beat := s.bare()
		beat.Question, beat.Part = number, part
		if !s.sendBare(keeper, beat) {
			s.directory.end(number)
			continue
		}
		asked = append(asked, question{number: number, peer: keeper, answered: answered})
	}
	return asked
}

// endQuestions ends those that were not answered. Unless nobody waits any more,
// that counts against the peer that was asked.
func (s *Service) endQuestions(asked []question, blame bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, question := range asked {
		if s.directory.end(question.number) && blame {
			question.peer.unfound++
		}
	}
}

// answer answers a question with what is known here of a part.
func (s *Service) answer(from *peer, question *wire.GatewayBeat, now time.Time) {
	part := question.GetPart()
	holders, filling := s.options.Balancer.Cached(part, now)
	if len(holders) == 0 && len(filling) > 0 {
		s.directory.waiters[part] = append(s.directory.waiters[part], waiter{id: from.id, until: now.Add(waiterLife)})
	}
	beat := s.bare()
	beat.Answer = question.GetQuestion()
	beat.Parts, beat.Holders = columns(holders)
	beat.FillParts, beat.FillTargets = columns(filling)
	s.sendBare(from, beat)
}

// bare begins a beat that says nothing of this process. A peer that doesn't know it drops it.
func (s *Service) bare() *wire.GatewayBeat {
	s.sequence++
	s.sentAt[s.sequence%sentKept] = clock.Now()
	return &wire.GatewayBeat{Life: s.life, Sequence: s.sequence, Brief: true, Bare: true}
}

// bareTo is that for what a peer must not miss: it says who sends it if the peer may not know.
func (s *Service) bareTo(to *peer) *wire.GatewayBeat {
	beat := s.bare()
	if to.beats < introduceFirst {
		s.introduce(beat)
	}
	return beat
}

// sendBare sends a bare beat at once, unless the directory's share of the budget
// is spent.
func (s *Service) sendBare(to *peer, beat *wire.GatewayBeat) bool {
	if !s.directoryBucket.AllowN(time.Now(), proto.Size(beat)) {
		return false
	}
	return s.send(to.address, beat, true)
}

// Placed reports parts that targets have read to the gateways that keep track of
// them.
func (s *Service) Placed(placements []balance.Placement) {
	s.reportToKeepers(placements, func(beat *wire.GatewayBeat, placement balance.Placement) {
		beat.Parts, beat.Holders = columns([]balance.Placement{placement})
	})
}

// Filling reports parts that targets have begun to read to the gateways that keep
// track of them.
func (s *Service) Filling(placements []balance.Placement) {
	s.reportToKeepers(placements, func(beat *wire.GatewayBeat, placement balance.Placement) {
		beat.FillParts, beat.FillTargets = columns([]balance.Placement{placement})
	})
}

// reportToKeepers sends each placement to the gateway that keeps track of its part.
// Few gateways tell each other everything in their beats.
func (s *Service) reportToKeepers(placements []balance.Placement, put func(beat *wire.GatewayBeat, placement balance.Placement)) {
	if len(placements) == 0 {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.look(now)
	if !seen.many {
		return
	}
	for _, placement := range placements {
		keeper := seen.keeper(placement.Part, s.hash)
		if keeper == nil {
			s.notifyWaiters(placement, now)
			continue
		}
		beat := s.bare()
		put(beat, placement)
		s.sendBare(keeper, beat)
	}
}

// takePlacements takes the placements of a beat.
func (s *Service) takePlacements(beat *wire.GatewayBeat, now time.Time) {
	placements := placementsOf(beat.GetParts(), beat.GetHolders())
	s.options.Balancer.Learn(placements)
	s.options.Balancer.LearnFills(placementsOf(beat.GetFillParts(), beat.GetFillTargets()), now)
	for _, placement := range placements {
		s.notifyWaiters(placement, now)
	}
	if number := beat.GetAnswer(); number != 0 {
		s.directory.end(number)
	}
}

// notifyWaiters notifies the gateways that wait for a part that a target holds it.
func (s *Service) notifyWaiters(placement balance.Placement, now time.Time) {
	waiting := s.directory.waiters[placement.Part]
	if len(waiting) == 0 || !s.options.Balancer.Holds(placement) {
		return
	}
	delete(s.directory.waiters, placement.Part)
	for _, waits := range waiting {
		known := s.table.peers[waits.id]
		if known == nil || now.After(waits.until) {
			continue
		}
		beat := s.bare()
		beat.Parts, beat.Holders = columns([]balance.Placement{placement})
		s.sendBare(known, beat)
	}
}
