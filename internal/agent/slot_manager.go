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
	// slotRoundInterval is the time between two rounds of a slot manager.
	slotRoundInterval = 500 * time.Millisecond
	// tableReadInterval is the time between two reads of the table when nothing indicates
	// a change.
	tableReadInterval = 30 * time.Second
	// storeTimeout limits one call of the store.
	storeTimeout = 3 * time.Second
	// minStoreBackoff and maxStoreBackoff limit the delay after a failed store call or a
	// conflicting write. The delay grows and is jittered, so that a data centre whose
	// hosts all start at once does not exceed the store's rate limit.
	minStoreBackoff = 500 * time.Millisecond
	maxStoreBackoff = 30 * time.Second
	// peerTimeout limits one message to another agent.
	peerTimeout = time.Second
	// maxMovesPerRound limits the slots handed over at a time.
	maxMovesPerRound = 64
)

// TableKey returns the store key of a service's slot table.
func TableKey(service string) string {
	return "once/table/" + service
}

// slotManager exchanges the messages and makes the store calls of one service's guard.
type slotManager struct {
	agent   *Agent
	service string
	guard   *once.Guard
	log     *log.Logger

	mu sync.Mutex
	// tableStale requests a read of the table in the next round.
	tableStale bool
	// tableReadAt is when the table was last read. notBefore delays store calls after a
	// failure.
	tableReadAt time.Time
	notBefore   time.Time
	backoff     *backoff.ExponentialBackOff
}

func newSlotManager(a *Agent, service string) *slotManager {
	options := a.options.Once
	options.Service = service
	options.Agent = a.options.ID
	options.Incarnation = a.options.Session
	s := &slotManager{
		agent:      a,
		service:    service,
		guard:      once.NewGuard(options, a.options.Clock),
		log:        a.log,
		tableStale: true,
		backoff:    backoff.NewExponentialBackOff(),
	}
	s.backoff.InitialInterval = minStoreBackoff
	s.backoff.MaxInterval = maxStoreBackoff
	a.lease.guards = append(a.lease.guards, s.guard)
	return s
}

// loop runs rounds until the agent closes.
func (s *slotManager) loop(ctx context.Context) {
	for {
		s.round(ctx)
		if !wait.For(ctx, slotRoundInterval) {
			return
		}
	}
}

// round renews promises and the long lease, reads the table when due and carries out the
// guard's plan.
func (s *slotManager) round(ctx context.Context) {
	s.renewPromises(ctx)
	s.guard.Forget()
	if !s.canCallStore() {
		return
	}
	err := s.storeRound(ctx)
	if err != nil && ctx.Err() == nil {
		s.log.Debug("slot table round failed", "service", s.service, "error", err)
	}
	s.backOff(err)
}

func (s *slotManager) canCallStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().Before(s.notBefore)
}

// backOff delays the next store call after a failure, and resets the delay after a
// success.
func (s *slotManager) backOff(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.backoff.Reset()
		return
	}
	s.notBefore = time.Now().Add(s.backoff.NextBackOff())
	s.tableStale = true
}

// markStale requests a read of the table.
func (s *slotManager) markStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableStale = true
}

func (s *slotManager) tableDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableStale || time.Since(s.tableReadAt) > tableReadInterval
}

func (s *slotManager) storeRound(ctx context.Context) error {
	if err := s.agent.lease.renew(ctx); err != nil {
		return err
	}
	if s.tableDue() {
		if err := s.readTable(ctx); err != nil {
			return err
		}
	}
	return s.changeTable(ctx)
}

// readTable reads the table and creates it if there is none.
func (s *slotManager) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := s.agent.options.Store
	value, err := store.Get(ctx, TableKey(s.service))
	if errors.Is(err, external.ErrNotFound) {
		return s.createTable(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "read slot table")
	}
	table, err := once.ParseTable(value.Data, value.Version)
	if err != nil {
		return err
	}
	s.guard.Apply(table)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableStale = false
	s.tableReadAt = time.Now()
	return nil
}

func (s *slotManager) createTable(ctx context.Context) error {
	service := s.agent.options.Config.View().Services[s.service]
	table := once.NewTable(service.SlotCount())
	data, err := table.Encode()
	if err != nil {
		return err
	}
	_, err = s.agent.options.Store.Put(ctx, TableKey(s.service), data, 0)
	if errors.Is(err, external.ErrVersion) {
		return nil
	}
	return errors.Wrap(err, "create slot table")
}

// changeTable carries out the guard's plan, if it has one.
func (s *slotManager) changeTable(ctx context.Context) error {
	situation, err := s.situation(ctx)
	if err != nil {
		return err
	}
	plan, ok := s.guard.Plan(situation)
	if !ok {
		return nil
	}
	answers, err := s.storeAnswers(ctx, plan.Base)
	if err != nil || !answers {
		return err
	}
	if !s.moveRecords(ctx, plan) {
		return nil
	}
	data, err := plan.Table.Encode()
	if err != nil {
		return err
	}
	s.guard.BeginChange(plan.Base, plan.TakesOver)
	s.markStale()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.agent.options.Store.Put(ctx, TableKey(s.service), data, plan.Base)
	if err != nil {
		return errors.Wrap(err, "write slot table")
	}
	plan.Table.Version = version
	s.guard.Apply(plan.Table)
	for _, reason := range plan.Reasons {
		s.log.Info("slots", "service", s.service, "version", version, "change", reason)
	}
	s.announceTable(ctx, version)
	// No decisions are made about a slot with a new witness until that witness has given
	// its promise.
	s.renewPromises(ctx)
	return nil
}

// storeAnswers reads the table once more, and reports whether it is still the one that a
// plan is based on. A change that has begun stops decisions until the store settles it, so
// none begins while the store is away.
func (s *slotManager) storeAnswers(ctx context.Context, base uint64) (bool, error) {
	if err := s.readTable(ctx); err != nil {
		return false, err
	}
	return s.guard.Table().Version == base, nil
}

// moveRecords freezes the slots to hand over and sends their records. It returns false,
// and leaves the slots where they are, if a successor did not accept them.
func (s *slotManager) moveRecords(ctx context.Context, plan once.Plan) bool {
	for successor, slots := range plan.Moves {
		s.guard.Freeze(slots)
		message := s.guard.Export(slots)
		reply, err := s.askAgent(ctx, successor.Agent, &wire.Open{Kind: &wire.Open_HandOver{HandOver: message}})
		if err != nil || !reply.GetHandOver().GetAccepted() {
			s.log.Warn("successor did not accept slots", "service", s.service, "successor", successor.Agent, "error", err)
			s.thawMoves(plan)
			return false
		}
	}
	return true
}

func (s *slotManager) thawMoves(plan once.Plan) {
	for _, slots := range plan.Moves {
		s.guard.Unfreeze(slots)
	}
}

// announceTable tells the service's other agents that the table has changed.
func (s *slotManager) announceTable(ctx context.Context, version uint64) {
	open := &wire.Open{Kind: &wire.Open_HandOver{HandOver: &wire.HandOver{Service: s.service, From: s.agent.options.ID, TableVersion: version}}}
	for _, peer := range s.peers() {
		if peer.Holder.Agent != s.agent.options.ID {
			_, _ = s.askAgent(ctx, peer.Holder.Agent, open)
		}
	}
}

// peers returns the live agents of this service.
func (s *slotManager) peers() []once.Peer {
	var peers []once.Peer
	s.agent.options.Members.Visit(func(view member.View) {
		if !view.Alive() {
			return
		}
		m := view.Member
		for _, t := range m.GetTargets() {
			if t.GetService() && t.GetPool() == s.service {
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

// situation collects the input of a plan. It reads leases only for owners that are gone
// together with their witness.
func (s *slotManager) situation(ctx context.Context) (once.PlanInput, error) {
	situation := once.PlanInput{
		Peers:      s.peers(),
		DataCenter: s.agent.options.DataCenter,
		Leases:     make(map[string]once.LongLease),
		MaxMoves:   maxMovesPerRound,
	}
	live := make(map[once.Holder]bool)
	for _, peer := range situation.Peers {
		live[peer.Holder] = true
	}
	table := s.guard.Table()
	for _, row := range table.Slots {
		agent := row.Owner.Agent
		if agent == "" || live[row.Owner] || live[row.Witness] {
			continue
		}
		if _, ok := situation.Leases[agent]; ok {
			continue
		}
		lease, err := s.agent.lease.read(ctx, agent)
		if err != nil {
			return once.PlanInput{}, err
		}
		situation.Leases[agent] = lease
	}
	return situation, nil
}
