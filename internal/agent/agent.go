// Package agent is the process beside the targets. It alone admits, refuses,
// drains and remembers for its targets; all it promises it keeps from what it
// holds itself.
package agent

import (
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

// Target is one back end beside this agent: an engine or a service's server.
type Target struct {
	ID string
	// Pool is the model of an engine or the service's name; empty for a
	// managed engine.
	Pool string
	// Managed engines are given their model by the placements.
	Managed bool
	// Engine or Service is set, never both.
	Engine  target.Engine
	Service target.Service
}

// Options are what an agent works with.
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
	// PieceWait is how long an engine may give nothing before the stream
	// counts as cut.
	PieceWait time.Duration
	// RunTimeout bounds one call of a plain service.
	RunTimeout time.Duration
	// MaxAnswerBytes bounds the answer of a not-repeatable call, in bytes.
	MaxAnswerBytes int64
	// Placing are the times of changes of managed engines' models.
	Placement PlacementOptions
	// Hosts, when set, is the platform's host list; HostID is this host's
	// entry there.
	Hosts  external.Hosts
	HostID string
}

// Defaults for options left at zero.
const (
	defaultPieceWait  = 30 * time.Second
	defaultRunTimeout = 60 * time.Second
	defaultMostBody   = 8 << 20
)

// place is one target with its gate.
type place struct {
	Target
	gate *admission.Gate
	// model is the pool now; it changes only for managed engines.
	model atomic.Pointer[string]
	// scheduled is true from shortly before a managed engine changes its model
	// until it has, changing while it does.
	scheduled atomic.Bool
	changing  atomic.Bool
	// wish is the model that the placements give a managed engine; the
	// placer's loop alone uses it.
	wish wish
	// held are the chats whose prefixes an engine has; nil for a service.
	held *held
	// foreign is what the engine still runs from before this process's start,
	// once it is known; the tending loop alone uses it.
	foreign      int
	foreignKnown bool
	// leaveAt is when a leaving service target's gate closes at the latest;
	// the agent's lock guards it.
	leaveAt time.Time
}

// Agent serves exchanges for its targets.
type Agent struct {
	options Options
	log     *log.Logger
	places  map[string]*place
	order   []string
	// keepers are by service name.
	keepers map[string]*keeper
	lease   *longLease

	mu sync.Mutex
	// token is that of the last order given.
	token uint64
	// cacheMoves counts chats whose KV cache has been handed to others.
	cacheMoves int
	// stopping says that the process itself is to end.
	stopping bool
	// hostLeaving is the host list's word.
	hostLeaving bool
	// told and toldStopping are what the members were last told.
	told         []*wire.TargetState
	toldStopping bool

	// clockWarnings counts exchanges that showed clocks too far apart.
	clockWarnings atomic.Int64

	cancel context.CancelFunc
	wait   sync.WaitGroup
	runs   sync.WaitGroup
}

// New returns an agent; Start begins its loops.
func New(options Options) *Agent {
	if options.PieceWait == 0 {
		options.PieceWait = defaultPieceWait
	}
	options.Cache.defaults()
	options.Placement.defaults()
	if options.RunTimeout == 0 {
		options.RunTimeout = defaultRunTimeout
	}
	if options.MaxAnswerBytes == 0 {
		options.MaxAnswerBytes = defaultMostBody
	}
	a := &Agent{
		options: options,
		log:     options.Log,
		places:  make(map[string]*place),
		keepers: make(map[string]*keeper),
	}
	a.lease = &longLease{store: options.Store, agent: options.ID}
	for _, t := range options.Targets {
		a.places[t.ID] = newPlace(t, options)
		a.order = append(a.order, t.ID)
		if t.Service != nil && a.keepers[t.Pool] == nil {
			a.keepers[t.Pool] = newKeeper(a, t.Pool)
		}
	}
	return a
}

func newPlace(t Target, options Options) *place {
	p := &place{Target: t, gate: admission.NewGate(options.Admission)}
	p.setPool(t.Pool)
	if t.Engine != nil {
		p.held = newHeld(options.Cache)
	}
	return p
}

// pool is the model or service that the target serves now.
func (p *place) pool() string {
	return *p.model.Load()
}

func (p *place) setPool(pool string) {
	p.model.Store(&pool)
}

// Start begins the agent's loops.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.tend(ctx)
	a.wait.Go(func() { a.tendLoop(ctx) })
	if a.options.Hosts != nil {
		a.wait.Go(func() { a.hostLoop(ctx) })
	}
	if a.manages() {
		a.wait.Go(func() { a.placeLoop(ctx) })
	}
	for _, k := range a.keepers {
		a.wait.Go(func() { k.loop(ctx) })
	}
	return nil
}

// Close ends the loops at once and waits; Drain before it cuts nothing off.
func (a *Agent) Close() error {
	a.cancel()
	a.wait.Wait()
	a.runs.Wait()
	return nil
}

// Drain refuses new work, hands over slots and waits for what is in flight.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.tend(ctx)
	for _, id := range a.order {
		select {
		case <-a.places[id].gate.Drained():
		case <-ctx.Done():
			return errors.Newf("%s still has %d requests in flight", id, a.places[id].gate.Load().InFlight)
		}
	}
	return nil
}

// Loads gives each target's exact load.
func (a *Agent) Loads() map[string]admission.Load {
	loads := make(map[string]admission.Load, len(a.places))
	for id, p := range a.places {
		loads[id] = p.gate.Load()
	}
	return loads
}

// ClockWarnings counts exchanges that showed another host's wall clock too far
// from this one's.
func (a *Agent) ClockWarnings() int64 {
	return a.clockWarnings.Load()
}

// OwnsKey says whether this agent owns the slot of a workspace's key.
func (a *Agent) OwnsKey(service, workspace, key string) bool {
	k, ok := a.keepers[service]
	return ok && k.guard.Owns(once.FullKey(workspace, key))
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
		refuse(stream, "", 0, fault.New(fault.BadRequest, fault.NotRun, "an agent does not serve this exchange"), nil)
	}
}

func (a *Agent) serveCall(ctx context.Context, call *wire.Call, stream link.Stream) {
	p, ok := a.places[call.GetTargetId()]
	if !ok {
		refuse(stream, call.GetRequestId(), call.GetAttempt(), fault.New(fault.NoTarget, fault.NotRun, "target %q is not here", call.GetTargetId()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeLeftMs())*time.Millisecond)
	defer cancel()
	answer := &answer{stream: stream, id: call.GetRequestId(), attempt: call.GetAttempt(), place: p}
	switch work := call.GetWork().(type) {
	case *wire.Call_Chat:
		a.serveChat(ctx, p, call, work.Chat, answer)
	case *wire.Call_Service:
		a.serveService(ctx, p, call, work.Service, answer)
	default:
		answer.refuse(fault.New(fault.BadRequest, fault.NotRun, "the call has no work"))
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
