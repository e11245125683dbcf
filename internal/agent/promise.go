package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// renewPromises asks each witness for its promise.
func (s *slotManager) renewPromises(ctx context.Context) {
	var wait sync.WaitGroup
	for _, witness := range s.guard.Witnesses() {
		wait.Go(func() { s.renewPromise(ctx, witness) })
	}
	wait.Wait()
}

func (s *slotManager) renewPromise(ctx context.Context, witness once.Holder) {
	self := s.guard.Self()
	table := s.guard.Table()
	sentAt := s.guard.BootNow()
	reply, err := s.askAgent(ctx, witness.Agent, &wire.Open{Kind: &wire.Open_Promise{Promise: &wire.Promise{
		Service:            s.service,
		Owner:              self.Agent,
		OwnerIncarnation:   self.Incarnation,
		Witness:            witness.Agent,
		WitnessIncarnation: witness.Incarnation,
		WallMs:             s.agent.options.Clock.Wall().UnixMilli(),
		TableVersion:       table.Version,
	}}})
	if err != nil {
		return
	}
	promise := reply.GetPromise()
	s.compareClocks(witness.Agent, sentAt, promise.GetWallMs())
	if promise.GetGranted() {
		s.guard.PromiseReceived(witness, sentAt)
	}
	if promise.GetTableVersion() > table.Version {
		s.markStale()
	}
}

// compareClocks warns when another host's wall clock differs from this one's by more than
// two clocks within the configured error can. The duration of the exchange is subtracted,
// in favour of the other host.
func (s *slotManager) compareClocks(agent string, sentAt time.Duration, peerWallMS int64) {
	clock := s.agent.options.Clock
	roundTrip := clock.Boot() - sentAt
	difference := clock.Wall().Sub(time.UnixMilli(peerWallMS)).Abs() - roundTrip
	limit := 2 * s.agent.options.Once.ClockError
	if difference <= limit {
		return
	}
	s.agent.clockWarnings.Add(1)
	s.log.Warn("wall clocks differ too much: a request could run twice after a slot changes its owner", "agent", agent, "apart", difference.Round(time.Millisecond), "most", limit)
}

// askAgent sends one message to another agent and reads its single reply.
func (s *slotManager) askAgent(ctx context.Context, agent string, open *wire.Open) (*wire.Reply, error) {
	address, ok := s.agent.options.Members.LinkAddress(agent)
	if !ok {
		return nil, errors.Newf("agent %q is unknown", agent)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return link.Ask(ctx, s.agent.options.Dialer, address, open)
}

// servePromise replies to an owner as its witness.
func (a *Agent) servePromise(promise *wire.Promise, stream link.Stream) {
	reply := &wire.PromiseReply{WallMs: a.options.Clock.Wall().UnixMilli()}
	if manager, ok := a.slotManagers[promise.GetService()]; ok {
		owner := once.Holder{Agent: promise.GetOwner(), Incarnation: promise.GetOwnerIncarnation()}
		witness := once.Holder{Agent: promise.GetWitness(), Incarnation: promise.GetWitnessIncarnation()}
		if promise.GetTableVersion() > manager.guard.Table().Version {
			manager.refreshTable()
		}
		reply.Granted = manager.guard.GrantPromise(owner, witness)
		reply.TableVersion = manager.guard.Table().Version
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Promise{Promise: reply}})
}

// serveHandOver receives records from an owner that hands over slots.
func (a *Agent) serveHandOver(message *wire.HandOver, stream link.Stream) {
	reply := &wire.HandOverReply{}
	if manager, ok := a.slotManagers[message.GetService()]; ok {
		manager.guard.Import(message)
		reply.Accepted = true
		if message.GetTableVersion() > 0 {
			manager.refreshTable()
			a.keyedRuns.Go(manager.renewPromisesNow)
		}
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_HandOver{HandOver: reply}})
}

// refreshTable reads a table that another agent has announced. If the store must not be
// called now, the next round reads it.
func (s *slotManager) refreshTable() {
	s.markStale()
	if !s.canCallStore() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := s.readTable(ctx); err != nil {
		s.log.Debug("slot table not read; the next round tries again", "service", s.service, "error", err)
	}
}

// renewPromisesNow asks the witnesses at once. Until its witness has given the new owner
// a promise, no agent decides about a slot that was handed over. With a wait for the next
// round, a slot that moves three times while agents start would refuse its keys for 1.5 s
// out of the 2 s for which a router searches for an owner.
func (s *slotManager) renewPromisesNow() {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	s.renewPromises(ctx)
}
