package peer

import (
	"context"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// A decision that rests on nothing being known to the contrary, such as that a service has had one version
// only, holds until the time of the proof, and the proofs that heartbeats carry are up to some seconds old.
// A gateway that needs a newer one asks: in a small fleet those that ask the store, in a large one its
// parent, which asks its own. Source: docs/design/stream-versions.md.

const (
	// proofQuestionInterval is the time after which an unanswered question goes to all gateways that may
	// have an answer. It is a few times what an answer takes.
	proofQuestionInterval = 25 * time.Millisecond
	// proofQuestionPause is the least time between two questions, and proofQuestionPauseLarge replaces it
	// in a large fleet. What comes in between waits for the next one.
	proofQuestionPause      = 5 * time.Millisecond
	proofQuestionPauseLarge = 25 * time.Millisecond
	// proofAnswerTimeout limits the time that an answer takes. The gateway that asked has given up by then.
	proofAnswerTimeout = 300 * time.Millisecond
	// maxProofHops is the greatest number of hops of a question in the largest fleet: to the parent, and from
	// there to one that asks the store.
	maxProofHops = 2
	// maxProofAnswers limits the answers that are being prepared at the same time.
	maxProofAnswers = 256
)

// proofQuestions holds the state of questions for a new proof. It is guarded by the service's mutex.
type proofQuestions struct {
	// askedAt is when the last question was sent.
	askedAt time.Time
	// pending is an answer that proves more than this process holds; zero for none.
	pending pendingProof
	// answering is the number of answers that are being prepared.
	answering int
}

// pendingProof is a proof that holds once the replica has reached a revision.
type pendingProof struct {
	at       time.Time
	revision int64
}

// AskProof asks other gateways until the proof covers a time, or the context ends.
func (s *Service) AskProof(ctx context.Context, since time.Time) {
	s.askProof(ctx, since, 1, (*view).proofSources)
}

// AskParentForProof asks the parent, for a gateway whose question has come over some hops. A question ends after
// maxProofHops, so that gateways with different views of the tree don't ask each other for ever.
func (s *Service) AskParentForProof(ctx context.Context, since time.Time, hops uint32) {
	if hops < maxProofHops {
		s.askProof(ctx, since, hops+1, func(v *view, _ bool) []*peer { return v.proofSources(true) })
	}
}

// askProof asks the gateways that sources returns, less and less often, until the proof covers a time, or the
// context ends.
func (s *Service) askProof(ctx context.Context, since time.Time, hops uint32, sources func(v *view, first bool) []*peer) {
	interval := proofQuestionInterval
	for first := true; ctx.Err() == nil && !s.options.Proof.Covers(since); first = false {
		sent, pause := s.sendProofQuestion(since, hops, first, sources)
		if sent {
			pause, interval = interval, 2*interval
		}
		s.awaitProof(ctx, since, pause)
	}
}

// awaitProof waits until the proof covers a time, for a limited time.
func (s *Service) awaitProof(ctx context.Context, since time.Time, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.options.Proof.Await(ctx, since)
}

// sendProofQuestion sends the question for a proof that covers a time. sent is false if one that does is on its
// way, or if the last one was sent a moment ago: then pause is the time until it may be sent.
func (s *Service) sendProofQuestion(since time.Time, hops uint32, first bool, sources func(v *view, first bool) []*peer) (sent bool, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	current := s.currentView(now)
	least := proofQuestionPause
	if current.large {
		least = proofQuestionPauseLarge
	}
	elapsed := now.Sub(s.proofs.askedAt)
	if first && !s.proofs.askedAt.Before(since) && elapsed < proofQuestionInterval {
		return false, proofQuestionInterval - elapsed
	}
	if elapsed < least {
		return false, least - elapsed
	}
	s.proofs.askedAt = now
	for _, to := range sources(current, first) {
		question := s.briefHeartbeat(to, now)
		question.NewProofHops = hops
		s.send(to.address, question, true)
	}
	return true, 0
}

// proofSources returns the gateways that are asked for a new proof: first the one that most likely has the
// newest, then all that ask the store too.
func (v *view) proofSources(first bool) []*peer {
	var sources []*peer
	if parent := v.parent(); parent != nil {
		sources = append(sources, parent)
	}
	for _, candidate := range v.candidates[:min(watchers, len(v.candidates))] {
		if first && len(sources) > 0 {
			break
		}
		if !slices.Contains(sources, candidate) {
			sources = append(sources, candidate)
		}
	}
	return sources
}

// answerProofQuestion proves this process's content anew and answers a question. The caller must hold s.mu.
func (s *Service) answerProofQuestion(from *peer, heartbeat *wire.GatewayBeat, received time.Time) {
	if s.options.Prove == nil || s.proofs.answering >= maxProofAnswers {
		return
	}
	sequence, hops := heartbeat.GetSequence(), heartbeat.GetNewProofHops()
	s.prove(received, hops, func(proven bool) {
		if !proven {
			return // the gateway that asked asks others too
		}
		answer := s.briefHeartbeat(from, clock.Now())
		answer.ProvesSequence = sequence
		s.send(from.address, answer, true)
	})
}

// prove begins to obtain a proof that covers a time, for a question that has come over some hops. It calls a
// function with the result, which holds s.mu. The caller must hold s.mu too.
func (s *Service) prove(since time.Time, hops uint32, then func(proven bool)) {
	s.proofs.answering++
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), proofAnswerTimeout)
		defer cancel()
		proven := s.options.Prove(ctx, since, hops)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.proofs.answering--
		then(proven)
	})
}

// applyNewProof applies the answer to a question, at once or when the replica has caught up with the sender.
// The caller must hold s.mu.
func (s *Service) applyNewProof(heartbeat *wire.GatewayBeat) {
	sequence := heartbeat.GetProvesSequence()
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= sentHistory {
		return
	}
	proof := pendingProof{at: s.sentAt[sequence%sentHistory], revision: heartbeat.GetRevision()}
	if proof.revision <= s.options.Replica.Revision() {
		s.options.Proof.Note(proof.at)
		return
	}
	s.proofs.pending = proof
}

// settlePendingProof applies an answer that proved more than this process held when it came.
func (s *Service) settlePendingProof() {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.proofs.pending
	if !pending.at.IsZero() && pending.revision <= s.options.Replica.Revision() {
		s.options.Proof.Note(pending.at)
		s.proofs.pending = pendingProof{}
	}
}
