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
func (k *keeper) renewPromises(ctx context.Context) {
	var wait sync.WaitGroup
	for _, witness := range k.guard.Witnesses() {
		wait.Go(func() { k.renewPromise(ctx, witness) })
	}
	wait.Wait()
}

func (k *keeper) renewPromise(ctx context.Context, witness once.Holder) {
	self := k.guard.Self()
	table := k.guard.Table()
	sentAt := k.guard.BootNow()
	reply, err := k.ask(ctx, witness.Agent, &wire.Open{Kind: &wire.Open_Promise{Promise: &wire.Promise{
		Service:            k.service,
		Owner:              self.Agent,
		OwnerIncarnation:   self.Incarnation,
		Witness:            witness.Agent,
		WitnessIncarnation: witness.Incarnation,
		WallMs:             k.agent.options.Clock.Wall().UnixMilli(),
		TableVersion:       table.Version,
	}}})
	if err != nil {
		return
	}
	promise := reply.GetPromise()
	k.compareClocks(witness.Agent, sentAt, promise.GetWallMs())
	if promise.GetGranted() {
		k.guard.PromiseReceived(witness, sentAt)
	}
	if promise.GetTableVersion() > table.Version {
		k.markStale()
	}
}

// compareClocks warns when another host's wall clock is further from this one's
// than two clocks within the stated error can be. The time of the exchange is
// given to the other side.
func (k *keeper) compareClocks(agent string, sentAt time.Duration, theirs int64) {
	clock := k.agent.options.Clock
	took := clock.Boot() - sentAt
	apart := clock.Wall().Sub(time.UnixMilli(theirs)).Abs() - took
	most := 2 * k.agent.options.Once.ClockError
	if apart <= most {
		return
	}
	k.agent.clockWarnings.Add(1)
	k.log.Warn("wall clocks are too far apart: a request could run twice after a take-over", "agent", agent, "apart", apart.Round(time.Millisecond), "most", most)
}

// ask sends one message to another agent and reads its one reply.
func (k *keeper) ask(ctx context.Context, agent string, open *wire.Open) (*wire.Reply, error) {
	address, ok := k.agent.options.Members.LinkAddress(agent)
	if !ok {
		return nil, errors.Newf("agent %q is not known", agent)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return link.Ask(ctx, k.agent.options.Dialer, address, open)
}

// servePromise answers an owner as its witness.
func (a *Agent) servePromise(promise *wire.Promise, stream link.Stream) {
	reply := &wire.PromiseReply{WallMs: a.options.Clock.Wall().UnixMilli()}
	if k, ok := a.keepers[promise.GetService()]; ok {
		owner := once.Holder{Agent: promise.GetOwner(), Incarnation: promise.GetOwnerIncarnation()}
		witness := once.Holder{Agent: promise.GetWitness(), Incarnation: promise.GetWitnessIncarnation()}
		if promise.GetTableVersion() > k.guard.Table().Version {
			k.catchUp()
		}
		reply.Granted = k.guard.GrantPromise(owner, witness)
		reply.TableVersion = k.guard.Table().Version
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Promise{Promise: reply}})
}

// serveHandOver takes records from an owner that hands over.
func (a *Agent) serveHandOver(message *wire.HandOver, stream link.Stream) {
	reply := &wire.HandOverReply{}
	if k, ok := a.keepers[message.GetService()]; ok {
		k.guard.Import(message)
		reply.Accepted = true
		if message.GetTableVersion() > 0 {
			k.catchUp()
			a.runs.Go(k.promiseNow)
		}
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_HandOver{HandOver: reply}})
}

// catchUp reads a table that another agent has told of; in the next round if the
// store may not be called now.
func (k *keeper) catchUp() {
	k.markStale()
	if !k.mayCallStore() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := k.readTable(ctx); err != nil {
		k.log.Debug("slot table not read; the next round does", "service", k.service, "error", err)
	}
}

// promiseNow asks the witnesses at once. A slot that was handed over is decided
// about by nobody until its witness has promised the new owner; waiting for the next
// round, a slot that moves three times as agents begin would refuse its keys for 1.5 s,
// of the 2 s for which a router looks for an owner.
func (k *keeper) promiseNow() {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	k.renewPromises(ctx)
}
