package peer

import (
	"context"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// originAsked is the number of gateways that are asked in a large fleet, in which the sender of a
	// record and the one that asks may not agree on who is live. In a small one all are asked.
	originAsked = 5
	// originAskInterval is the time between two questions to a gateway, a few times what an answer
	// takes, and originAsks the number of questions.
	originAskInterval = 25 * time.Millisecond
	originAsks        = 4
)

// originLookup is a question that has not been settled.
type originLookup struct {
	// asked is the number of gateways that are asked, and waiting are those that have not answered.
	asked   int
	waiting []*peer
	// sole is the answer of gateways that have no record and know the only version; its Known is false if
	// there is none. A record of another gateway goes before it.
	sole origin.Finding
	// settled receives one result.
	settled chan origin.Finding
}

// answerOrigin answers a question: with the record, or with the only version of the service. That no other
// version began the stream has to be proven for a time after the question. The caller must hold s.mu.
func (s *Service) answerOrigin(from *peer, question *wire.OriginQuestion, received time.Time) {
	mayBeSole := func() bool {
		_, ok := s.origins.options.Sole(question.GetService())
		return ok
	}
	if s.hasOrigin(question, received) || s.options.Prove == nil || s.proofs.answering >= maxProofAnswers || !mayBeSole() {
		s.sendOriginAnswer(from, question, false)
		return
	}
	s.prove(received, 0, func(proven bool) { s.sendOriginAnswer(from, question, proven) })
}

// hasOrigin reports whether there is a record of the stream of a question.
func (s *Service) hasOrigin(question *wire.OriginQuestion, now time.Time) bool {
	_, ok := s.origins.options.Table.Get(origin.Stream(question.GetStream()), now)
	return ok
}

// sendOriginAnswer sends the answer to a question. proven tells whether the targets are proven to be the
// newest at a time after it. The caller must hold s.mu.
func (s *Service) sendOriginAnswer(to *peer, question *wire.OriginQuestion, proven bool) {
	answer := &wire.OriginAnswer{Number: question.GetNumber()}
	if record, ok := s.origins.options.Table.Get(origin.Stream(question.GetStream()), clock.Now()); ok {
		answer.Version, answer.Uncertain = uint32(record.Version), record.Version == origin.Uncertain
	} else if sole, ok := s.origins.options.Sole(question.GetService()); ok && proven {
		answer.Version, answer.Sole = uint32(sole), true
	}
	heartbeat := s.bareHeartbeatTo(to)
	heartbeat.OriginAnswer = answer
	s.send(to.address, heartbeat, true)
}

// settle takes in an answer.
func (e *originExchange) settle(from *peer, answer *wire.OriginAnswer) {
	lookup, ok := e.lookups[answer.GetNumber()]
	if !ok {
		return
	}
	lookup.waiting = slices.DeleteFunc(lookup.waiting, func(p *peer) bool { return p == from })
	finding := origin.Finding{Version: origin.Version(answer.GetVersion()), Sole: answer.GetSole(), Answered: lookup.answered()}
	finding.Known = finding.Version != origin.Uncertain || answer.GetUncertain()
	if finding.Sole {
		lookup.sole = finding
	}
	switch {
	case finding.Known && !finding.Sole:
		e.end(answer.GetNumber(), finding)
	case len(lookup.waiting) == 0:
		e.end(answer.GetNumber(), lookup.best())
	}
}

// end ends a lookup with its result.
func (e *originExchange) end(number uint32, finding origin.Finding) {
	lookup := e.lookups[number]
	delete(e.lookups, number)
	lookup.settled <- finding
}

// best returns what is known without a record.
func (l *originLookup) best() origin.Finding {
	finding := l.sole
	finding.Answered = l.answered()
	return finding
}

// answered returns the number of gateways that have answered.
func (l *originLookup) answered() int {
	return l.asked - len(l.waiting)
}

// FindOrigin asks other gateways which version began a stream. Those without a record answer with the
// only version of the service, unless it is empty. It returns when one of them knows, when all have
// answered, or after a short time.
func (s *Service) FindOrigin(ctx context.Context, stream origin.Stream, service string) origin.Finding {
	number, lookup := s.openOriginLookup(stream)
	if lookup.asked == 0 {
		return s.closeOriginLookup(number, lookup)
	}
	question := &wire.OriginQuestion{Number: number, Stream: uint64(stream), Service: service}
	ticker := time.NewTicker(originAskInterval)
	defer ticker.Stop()
	for range originAsks {
		s.askOrigin(lookup, question)
		select {
		case finding := <-lookup.settled:
			return finding
		case <-ticker.C:
			if !s.knowsSole(lookup) {
				continue
			}
		case <-ctx.Done():
		}
		break
	}
	return s.closeOriginLookup(number, lookup)
}

// knowsSole reports whether a gateway has answered a lookup with the only version.
func (s *Service) knowsSole(lookup *originLookup) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lookup.sole.Known
}

// openOriginLookup opens a lookup and chooses the gateways to ask.
func (s *Service) openOriginLookup(stream origin.Stream) (number uint32, lookup *originLookup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentView(clock.Now())
	lookup = &originLookup{waiting: slices.Clone(current.live), settled: make(chan origin.Finding, 1)}
	if current.large {
		first := keepersOf(uint64(stream), current.live, s.hash, originAsked)
		lookup.waiting = slices.DeleteFunc(first, func(p *peer) bool { return p == nil })
	}
	lookup.asked = len(lookup.waiting)
	s.origins.lastNumber++
	s.origins.lookups[s.origins.lastNumber] = lookup
	return s.origins.lastNumber, lookup
}

// askOrigin sends a question to the gateways that have not answered it.
func (s *Service) askOrigin(lookup *originLookup, question *wire.OriginQuestion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, to := range lookup.waiting {
		heartbeat := s.bareHeartbeatTo(to)
		heartbeat.OriginQuestion = question
		s.send(to.address, heartbeat, true)
	}
}

// closeOriginLookup ends a lookup. An answer may have arrived since.
func (s *Service) closeOriginLookup(number uint32, lookup *originLookup) origin.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.origins.lookups, number)
	select {
	case finding := <-lookup.settled:
		return finding
	default:
		return lookup.best()
	}
}
