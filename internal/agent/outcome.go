package agent

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// applyOutcome updates the gate after a call of the target. A retry delay requested by
// the target applies to every call through this agent, whichever router sent it.
func (p *localTarget) applyOutcome(retryAfter time.Duration, err error) {
	switch {
	case retryAfter > 0:
		p.gate.BackOff(retryAfter)
	case err == nil:
		p.gate.Answered()
	}
}

// recordEnd records an outcome. If the slot has moved meanwhile, it also forwards the
// outcome to the new owner.
func (s *slotManager) recordEnd(record *once.Record, state once.State, outcome once.Outcome) {
	s.guard.End(record, state, outcome)
	s.forwardOutcome(record)
}

// reopen reverts a run that never reached the service.
func (s *slotManager) reopen(record *once.Record, cause *fault.Error) {
	s.guard.Reopen(record, cause)
	s.forwardOutcome(record)
}

// reopenedRefusal returns the refusal sent to the waiters of a reopened key: the key is
// open, so the same request may be sent again.
func reopenedRefusal(cause *fault.Error) *fault.Error {
	refusal := fault.New(cause.Kind, fault.Unknown, "%s; the key is open, so the same request may be sent again", cause.Message)
	return refusal.After(max(cause.RetryAfter, minReopenRetryAfter))
}

// minReopenRetryAfter is the minimum retry delay for an open key.
const minReopenRetryAfter = 250 * time.Millisecond

func (s *slotManager) forwardOutcome(record *once.Record) {
	if s.guard.Owns(record.Key) {
		return
	}
	owner := s.guard.OwnerOf(record.Key)
	message := s.guard.ExportOutcome(record)
	_, err := s.askAgent(context.Background(), owner, &wire.Open{Kind: &wire.Open_HandOver{HandOver: message}})
	if err != nil {
		s.log.Warn("outcome not forwarded to the slot's new owner", "service", s.service, "owner", owner, "error", err)
	}
}
