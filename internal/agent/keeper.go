package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/platform"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// keeperEvery is the time between two rounds of a keeper.
	keeperEvery = 500 * time.Millisecond
	// tableEvery is how often the table is read without a sign of change.
	tableEvery = 30 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 3 * time.Second
	// pauseFirst and pauseMost bound the wait after a failed call of the store
	// or a change that met another first. It grows and is jittered, so that a
	// data centre that starts at once does not exceed the store's rate.
	pauseFirst = 500 * time.Millisecond
	pauseMost  = 30 * time.Second
	// peerTimeout bounds one message to another agent.
	peerTimeout = time.Second
	// movesPerRound bounds the slots handed over at a time.
	movesPerRound = 64
	// slotsDefault is the size of a new slot table.
	slotsDefault = 64
)

// TableKey is where a service's slot table is in the store.
func TableKey(service string) string {
	return "once/table/" + service
}

// SlotsOf is the number of slots of a service.
func SlotsOf(service config.Service) int {
	if service.Slots > 0 {
		return service.Slots
	}
	return slotsDefault
}

// keeper carries the messages and store calls of one service's guard.
type keeper struct {
	agent   *Agent
	service string
	guard   *once.Guard
	log     *log.Logger

	mu sync.Mutex
	// stale asks for the table to be read in the next round.
	stale bool
	// readAt is when the table was last read; notBefore holds the store back
	// after a failure.
	readAt    time.Time
	notBefore time.Time
	pauses    *backoff.ExponentialBackOff
}

func newKeeper(a *Agent, service string) *keeper {
	options := a.options.Once
	options.Service = service
	options.Agent = a.options.ID
	options.Incarnation = a.options.Session
	k := &keeper{
		agent:   a,
		service: service,
		guard:   once.NewGuard(options, a.options.Clock),
		log:     a.log,
		stale:   true,
		pauses:  backoff.NewExponentialBackOff(),
	}
	k.pauses.InitialInterval = pauseFirst
	k.pauses.MaxInterval = pauseMost
	a.lease.guards = append(a.lease.guards, k.guard)
	return k
}

// loop runs rounds until the agent closes.
func (k *keeper) loop(ctx context.Context) {
	for {
		k.round(ctx)
		if !sleep(ctx, keeperEvery) {
			return
		}
	}
}

// round renews promises and the long lease, reads the table when due and
// carries out what the guard plans.
func (k *keeper) round(ctx context.Context) {
	k.renewPromises(ctx)
	k.guard.Forget()
	if !k.mayCallStore() {
		return
	}
	err := k.storeRound(ctx)
	if err != nil && ctx.Err() == nil {
		k.log.Debug("slot table round failed", "service", k.service, "error", err)
	}
	k.holdBack(err)
}

func (k *keeper) mayCallStore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !time.Now().Before(k.notBefore)
}

// holdBack keeps away from the store for a while after a failure.
func (k *keeper) holdBack(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.pauses.Reset()
		return
	}
	k.notBefore = time.Now().Add(k.pauses.NextBackOff())
	k.stale = true
}

// markStale asks for a fresh table.
func (k *keeper) markStale() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stale = true
}

func (k *keeper) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stale || time.Since(k.readAt) > tableEvery
}

func (k *keeper) storeRound(ctx context.Context) error {
	if err := k.agent.lease.renew(ctx); err != nil {
		return err
	}
	if k.due() {
		if err := k.readTable(ctx); err != nil {
			return err
		}
	}
	return k.changeTable(ctx)
}

// readTable reads the table, making it first if there is none.
func (k *keeper) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := k.agent.options.Store
	value, err := store.Get(ctx, TableKey(k.service))
	if errors.Is(err, platform.ErrNotFound) {
		return k.createTable(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "read slot table")
	}
	table, err := once.ParseTable(value.Data, value.Version)
	if err != nil {
		return err
	}
	k.guard.Apply(table)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stale = false
	k.readAt = time.Now()
	return nil
}

func (k *keeper) createTable(ctx context.Context) error {
	service := k.agent.options.Config.View().Services[k.service]
	table := once.NewTable(SlotsOf(service))
	data, err := table.Encode()
	if err != nil {
		return err
	}
	_, err = k.agent.options.Store.Put(ctx, TableKey(k.service), data, 0)
	if errors.Is(err, platform.ErrVersion) {
		return nil
	}
	return errors.Wrap(err, "create slot table")
}

// changeTable carries out the guard's plan, if it has one.
func (k *keeper) changeTable(ctx context.Context) error {
	situation, err := k.situation(ctx)
	if err != nil {
		return err
	}
	plan, ok := k.guard.Plan(situation)
	if !ok {
		return nil
	}
	if !k.moveRecords(ctx, plan) {
		return nil
	}
	data, err := plan.Table.Encode()
	if err != nil {
		return err
	}
	k.guard.Sending(plan.Base, plan.Takes)
	k.markStale()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := k.agent.options.Store.Put(ctx, TableKey(k.service), data, plan.Base)
	if err != nil {
		return errors.Wrap(err, "write slot table")
	}
	plan.Table.Version = version
	k.guard.Apply(plan.Table)
	for _, why := range plan.Why {
		k.log.Info("slots", "service", k.service, "version", version, "change", why)
	}
	k.tellTable(ctx, version)
	return nil
}

// moveRecords freezes and sends the records of slots to hand over; false if a
// successor did not take them, which leaves the slots as they are.
func (k *keeper) moveRecords(ctx context.Context, plan once.Plan) bool {
	for successor, numbers := range plan.Moves {
		k.guard.Freeze(numbers)
		message := k.guard.Export(numbers)
		reply, err := k.ask(ctx, successor.Agent, &wire.Open{Kind: &wire.Open_HandOver{HandOver: message}})
		if err != nil || !reply.GetHandOver().GetAccepted() {
			k.log.Warn("successor did not take slots", "service", k.service, "successor", successor.Agent, "error", err)
			k.thawAll(plan)
			return false
		}
	}
	return true
}

func (k *keeper) thawAll(plan once.Plan) {
	for _, numbers := range plan.Moves {
		k.guard.Thaw(numbers)
	}
}

// tellTable lets the other agents of the service know that the table changed.
func (k *keeper) tellTable(ctx context.Context, version uint64) {
	open := &wire.Open{Kind: &wire.Open_HandOver{HandOver: &wire.HandOver{Service: k.service, From: k.agent.options.ID, TableVersion: version}}}
	for _, peer := range k.peers() {
		if peer.Holder.Agent != k.agent.options.ID {
			_, _ = k.ask(ctx, peer.Holder.Agent, open)
		}
	}
}

// peers are the live agents of this service.
func (k *keeper) peers() []once.Peer {
	var peers []once.Peer
	k.agent.options.Members.Visit(func(view member.View) {
		if !view.Alive() {
			return
		}
		m := view.Member
		for _, t := range m.GetTargets() {
			if t.GetService() && t.GetPool() == k.service {
				peers = append(peers, once.Peer{
					Holder:     once.Holder{Agent: m.GetId(), Incarnation: m.GetSession()},
					DataCenter: m.GetDataCenter(),
					Leaving:    m.GetLeaving() || t.GetLeaving() || !view.Steady,
				})
				return
			}
		}
	})
	slices.SortFunc(peers, func(a, b once.Peer) int { return cmp.Compare(a.Holder.Agent, b.Holder.Agent) })
	return peers
}

// situation gathers what a plan needs; leases are read only for owners that
// are gone together with their witness.
func (k *keeper) situation(ctx context.Context) (once.Situation, error) {
	situation := once.Situation{
		Peers:      k.peers(),
		DataCenter: k.agent.options.DataCenter,
		Leases:     make(map[string]once.LongLease),
		MostMoves:  movesPerRound,
	}
	live := make(map[once.Holder]bool)
	for _, peer := range situation.Peers {
		live[peer.Holder] = true
	}
	table := k.guard.Table()
	for _, row := range table.Slots {
		agent := row.Owner.Agent
		if agent == "" || live[row.Owner] || live[row.Witness] {
			continue
		}
		if _, ok := situation.Leases[agent]; ok {
			continue
		}
		lease, err := k.agent.lease.read(ctx, agent)
		if err != nil {
			return once.Situation{}, err
		}
		situation.Leases[agent] = lease
	}
	return situation, nil
}

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
		k.guard.Promised(witness, sentAt)
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
		reply.Granted = k.guard.GivePromise(owner, witness)
		table := k.guard.Table()
		reply.TableVersion = table.Version
		if promise.GetTableVersion() > table.Version {
			k.markStale()
		}
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
			k.markStale()
			if k.mayCallStore() {
				ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
				defer cancel()
				_ = k.readTable(ctx)
			}
		}
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_HandOver{HandOver: reply}})
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
	message := k.guard.Outcome(record)
	_, err := k.ask(context.Background(), owner, &wire.Open{Kind: &wire.Open_HandOver{HandOver: message}})
	if err != nil {
		k.log.Warn("outcome not passed on to the slot's new owner", "service", k.service, "owner", owner, "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
