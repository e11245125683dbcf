// Package agent implements the process next to the targets. Only it admits and refuses
// requests, drains its targets and keeps their records. It can keep every guarantee it
// gives with its own state alone.
package agent

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// Target is one back end next to this agent: an engine or a service's server.
type Target struct {
	ID string
	// Pool is the engine's model or the service's name. It is empty for a managed engine.
	Pool string
	// Managed is true if the placements assign a model to the engine.
	Managed bool
	// Version is the version of the target's software; empty if not stated.
	Version string
	// Exactly one of Engine and Service is set.
	Engine  target.Engine
	Service target.Service
}

// Options configures an agent.
type Options struct {
	ID         string
	Session    string
	DataCenter string
	Targets    []Target
	Admission  admission.Options
	Cache      CacheOptions
	Once       once.Options
	Members    *member.List
	Config     *config.State
	Store      external.Store
	Dialer     link.Dialer
	Clock      once.Clock
	Log        *log.Logger
	// PieceWait is how long an engine may produce no piece before its stream counts as
	// interrupted.
	PieceWait time.Duration
	// RunTimeout limits one call of a plain service.
	RunTimeout time.Duration
	// MaxAnswerBytes limits the answer of a call that must not be repeated, in bytes.
	MaxAnswerBytes int64
	// Placement configures when managed engines change their models.
	Placement PlacementOptions
	// Hosts is the platform's host list, or nil. HostID is this host's entry in it.
	Hosts  external.Hosts
	HostID string
}

// Defaults for options that are zero.
const (
	defaultPieceWait      = 30 * time.Second
	defaultRunTimeout     = 60 * time.Second
	defaultMaxAnswerBytes = 8 << 20
)

// localTarget is one target with its admission gate.
type localTarget struct {
	Target
	gate *admission.Gate
	// model is the current pool. It changes only for managed engines.
	model atomic.Pointer[string]
	// scheduled is true from shortly before a managed engine changes its model until the
	// change has ended. changing is true during the change.
	scheduled atomic.Bool
	changing  atomic.Bool
	// pending is the next model of a managed engine. Only the placement loop uses it.
	pending pendingModel
	// held tracks the chats whose prefixes an engine has cached. It is nil for a service.
	held *heldChats
	// foreign counts the requests that the engine still runs from before this process
	// started, once that is known. Only the sync loop uses it.
	foreign      int
	foreignKnown bool
	// leaveDeadline is when the gate of a leaving service target closes at the latest. It
	// is guarded by the agent's lock.
	leaveDeadline time.Time
}

// Agent serves exchanges for its targets.
type Agent struct {
	options   Options
	log       *log.Logger
	targets   map[string]*localTarget
	targetIDs []string
	// slotManagers is keyed by service name.
	slotManagers map[string]*slotManager
	lease        *longLease

	mu sync.Mutex
	// lastToken is the token of the last order sent.
	lastToken uint64
	// cacheMoves counts chats whose KV cache has been handed over to other targets.
	cacheMoves int
	// stopping is true if the process itself is about to end.
	stopping bool
	// hostLeaving is true if the host list marks this host as leaving.
	hostLeaving bool
	// reportedStates and reportedStopping are what the membership list was last given.
	reportedStates   []*wire.TargetState
	reportedStopping bool

	// clockWarnings counts exchanges with a host whose wall clock differed too much.
	clockWarnings atomic.Int64

	cancel    context.CancelFunc
	wg        sync.WaitGroup
	keyedRuns sync.WaitGroup
}

// New returns an agent. Start begins its loops.
func New(options Options) *Agent {
	options.PieceWait = cmp.Or(options.PieceWait, defaultPieceWait)
	options.Cache.defaults()
	options.Placement.defaults()
	options.RunTimeout = cmp.Or(options.RunTimeout, defaultRunTimeout)
	options.MaxAnswerBytes = cmp.Or(options.MaxAnswerBytes, defaultMaxAnswerBytes)
	a := &Agent{
		options:      options,
		log:          options.Log,
		targets:      make(map[string]*localTarget),
		slotManagers: make(map[string]*slotManager),
	}
	a.lease = &longLease{store: options.Store, agent: options.ID}
	for _, t := range options.Targets {
		a.targets[t.ID] = newLocalTarget(t, options)
		a.targetIDs = append(a.targetIDs, t.ID)
		if t.Service != nil && a.slotManagers[t.Pool] == nil {
			a.slotManagers[t.Pool] = newSlotManager(a, t.Pool)
		}
	}
	return a
}

func newLocalTarget(t Target, options Options) *localTarget {
	p := &localTarget{Target: t, gate: admission.NewGate(options.Admission)}
	p.setPool(t.Pool)
	if t.Engine != nil {
		p.held = newHeldChats(options.Cache)
	}
	return p
}

// pool returns the model or service that the target serves at present.
func (p *localTarget) pool() string {
	return *p.model.Load()
}

func (p *localTarget) setPool(pool string) {
	p.model.Store(&pool)
}

// Start begins the agent's loops.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.syncTargets(ctx)
	a.wg.Go(func() { a.syncLoop(ctx) })
	if a.options.Hosts != nil {
		a.wg.Go(func() { a.hostLoop(ctx) })
	}
	if a.hasManagedTargets() {
		a.wg.Go(func() { a.placementLoop(ctx) })
	}
	for _, manager := range a.slotManagers {
		a.wg.Go(func() { manager.loop(ctx) })
	}
	return nil
}

// Close stops the loops at once and waits for them and for running calls. A Drain before
// it lets all requests finish.
func (a *Agent) Close() error {
	a.cancel()
	a.wg.Wait()
	a.keyedRuns.Wait()
	return nil
}

// Drain refuses new work, hands over slots and waits for requests in flight.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.syncTargets(ctx)
	for _, id := range a.targetIDs {
		select {
		case <-a.targets[id].gate.Drained():
		case <-ctx.Done():
			return errors.Newf("%s still has %d requests in flight", id, a.targets[id].gate.Load().InFlight)
		}
	}
	return nil
}

// Loads returns each target's exact load.
func (a *Agent) Loads() map[string]admission.Load {
	loads := make(map[string]admission.Load, len(a.targets))
	for id, p := range a.targets {
		loads[id] = p.gate.Load()
	}
	return loads
}

// ClockWarnings returns the number of exchanges with a host whose wall clock differed too
// much from this one's.
func (a *Agent) ClockWarnings() int64 {
	return a.clockWarnings.Load()
}

// OwnsKey reports whether this agent owns the slot of a workspace's key.
func (a *Agent) OwnsKey(service, workspace, key string) bool {
	manager, ok := a.slotManagers[service]
	return ok && manager.guard.Owns(once.FullKey(workspace, key))
}

// Handle serves one exchange of a link.
func (a *Agent) Handle(ctx context.Context, open *wire.Open, stream link.Stream) {
	switch kind := open.GetKind().(type) {
	case *wire.Open_Call:
		a.serveCall(ctx, kind.Call, stream)
	case *wire.Open_Settle:
		a.serveSettle(ctx, kind.Settle, stream)
	case *wire.Open_Promise:
		a.servePromise(kind.Promise, stream)
	case *wire.Open_HandOver:
		a.serveHandOver(kind.HandOver, stream)
	case *wire.Open_TakeOver:
		a.serveTakeOver(kind.TakeOver, stream)
	case *wire.Open_Export:
		a.serveExport(ctx, kind.Export, stream)
	default:
		refuse(stream, "", 0, fault.New(fault.BadRequest, fault.NotRun, "agents do not support this exchange"), nil)
	}
}

func (a *Agent) serveCall(ctx context.Context, call *wire.Call, stream link.Stream) {
	p, ok := a.targets[call.GetTargetId()]
	if !ok {
		refuse(stream, call.GetRequestId(), call.GetAttempt(), fault.New(fault.NoTarget, fault.NotRun, "target %q is not on this host", call.GetTargetId()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeLeftMs())*time.Millisecond)
	defer cancel()
	writer := &replyWriter{stream: stream, id: call.GetRequestId(), attempt: call.GetAttempt(), target: p}
	switch work := call.GetWork().(type) {
	case *wire.Call_Chat:
		a.serveChat(ctx, p, call, work.Chat, writer)
	case *wire.Call_Service:
		a.serveService(ctx, p, call, work.Service, writer)
	default:
		writer.refuse(fault.New(fault.BadRequest, fault.NotRun, "the call has no work"))
	}
}

func ticketOf(call *wire.Call, bytes int) admission.Ticket {
	return admission.Ticket{
		Workspace:  call.GetWorkspace(),
		Share:      int(call.GetShare()),
		Deferrable: call.GetDeferrable(),
		Bytes:      int64(bytes),
		Wait:       call.GetWait(),
	}
}
