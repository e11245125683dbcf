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

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wait"
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
)

// TableKey is where a service's slot table is in the store.
func TableKey(service string) string {
	return "once/table/" + service
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
		if !wait.For(ctx, keeperEvery) {
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
	if errors.Is(err, external.ErrNotFound) {
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
	table := once.NewTable(service.SlotCount())
	data, err := table.Encode()
	if err != nil {
		return err
	}
	_, err = k.agent.options.Store.Put(ctx, TableKey(k.service), data, 0)
	if errors.Is(err, external.ErrVersion) {
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
	k.guard.BeginChange(plan.Base, plan.TakesOver)
	k.markStale()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := k.agent.options.Store.Put(ctx, TableKey(k.service), data, plan.Base)
	if err != nil {
		return errors.Wrap(err, "write slot table")
	}
	plan.Table.Version = version
	k.guard.Apply(plan.Table)
	for _, why := range plan.Reasons {
		k.log.Info("slots", "service", k.service, "version", version, "change", why)
	}
	k.tellTable(ctx, version)
	// A slot whose witness is new is decided about once that one has promised.
	k.renewPromises(ctx)
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
		k.guard.Unfreeze(numbers)
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
func (k *keeper) situation(ctx context.Context) (once.PlanInput, error) {
	situation := once.PlanInput{
		Peers:      k.peers(),
		DataCenter: k.agent.options.DataCenter,
		Leases:     make(map[string]once.LongLease),
		MaxMoves:   movesPerRound,
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
			return once.PlanInput{}, err
		}
		situation.Leases[agent] = lease
	}
	return situation, nil
}
