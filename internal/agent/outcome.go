package agent

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// heedRest has the gate go by how a call of the target ended: what the target wants binds every
// call that comes here, whoever sent it.
func (p *place) heedRest(rest time.Duration, err error) {
	switch {
	case rest > 0:
		p.gate.BackOff(rest)
	case err == nil:
		p.gate.Answered()
	}
}

// end records an outcome; if the slot has gone meanwhile, its new owner is
// told.
func (k *keeper) end(record *once.Record, state once.State, outcome once.Outcome) {
	k.guard.End(record, state, outcome)
	k.tellOutcome(record)
}

// reopen takes back a run that never reached the service.
func (k *keeper) reopen(record *once.Record, why *fault.Error) {
	k.guard.Reopen(record, why)
	k.tellOutcome(record)
}

// whyReopened is the refusal that a reopened key's waiters get: the key is
// open, so the same request may be sent again.
func whyReopened(why *fault.Error) *fault.Error {
	refusal := fault.New(why.Kind, fault.Unknown, "%s; the key is open, send the same request again", why.Message)
	return refusal.After(max(why.RetryAfter, frozenRetry))
}

// frozenRetry is the least time to come back with an open key.
const frozenRetry = 250 * time.Millisecond

func (k *keeper) tellOutcome(record *once.Record) {
	if k.guard.Owns(record.Key) {
		return
	}
	owner := k.guard.OwnerOf(record.Key)
	message := k.guard.ExportOutcome(record)
	_, err := k.ask(context.Background(), owner, &wire.Open{Kind: &wire.Open_HandOver{HandOver: message}})
	if err != nil {
		k.log.Warn("outcome not passed on to the slot's new owner", "service", k.service, "owner", owner, "error", err)
	}
}
