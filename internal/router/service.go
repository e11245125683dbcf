package router

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// serviceRequest is one call of a plain service on its way.
type serviceRequest struct {
	id         string
	workspace  string
	share      int
	deferrable bool
	// slots is the size of the service's slot table.
	slots int
	work  *wire.ServiceWork
}

const (
	// ownerPatience is how long a keyed request looks for its slot's owner.
	ownerPatience = 2 * time.Second
	// ownerPause is the wait between two looks.
	ownerPause = 50 * time.Millisecond
	// ownerRetry is when to come back while a slot has no owner.
	ownerRetry = 3 * time.Second
)

// serveService carries a call to its end.
func (r *Router) serveService(ctx context.Context, request serviceRequest, into sink) (result, error) {
	r.spill.earn()
	r.rerun.earn()
	pool := r.table.pool(request.work.GetService())
	if pool == nil {
		state := fault.NotRun
		if request.work.GetKey() != "" {
			state = fault.Unknown
		}
		return result{}, fault.New(fault.NoTarget, state, "no server of %q is known now", request.work.GetService()).After(time.Second)
	}
	if request.work.GetKey() != "" {
		return r.serveKeyed(ctx, pool, request, false, into)
	}
	return r.servePlain(ctx, pool, request, into)
}

func (request *serviceRequest) call(p *place, attempt uint32, wait bool) *wire.Call {
	return &wire.Call{
		RequestId:  request.id,
		Attempt:    attempt,
		TargetId:   p.id,
		Workspace:  request.workspace,
		Share:      uint32(max(request.share, 1)),
		Deferrable: request.deferrable,
		Wait:       wait,
		Work:       &wire.Call_Service{Service: request.work},
	}
}

// servePlain tries servers until one has taken the call; a call that may have
// run is not sent again, since nothing says that it may be repeated.
func (r *Router) servePlain(ctx context.Context, pool *pool, request serviceRequest, into sink) (result, error) {
	var tried []uint32
	key := policy.HashName(request.id)
	for attempt := uint32(1); ; attempt++ {
		number, ok := r.choosePlain(pool, key, tried)
		if !ok {
			return result{}, fault.New(fault.NoTarget, fault.NotRun, "no server of %q is left to try", request.work.GetService()).After(time.Second)
		}
		var next int64
		p := pool.byNumber[number]
		ask := callQuestion(request.call(p, attempt, len(tried) > 0))
		end, err := r.attempt(ctx, p, ask, &next, into)
		if err == nil {
			return end, nil
		}
		failure := fault.From(err)
		if failure.State != fault.NotRun || ctx.Err() != nil || attempt >= mostAttempts || !r.spill.spend() {
			return result{}, err
		}
		r.options.Metrics.Retry(string(failure.Kind))
		tried = append(tried, number)
	}
}

func (r *Router) choosePlain(pool *pool, key uint64, tried []uint32) (uint32, bool) {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return pool.order.Choose(key, pool.hints(time.Now()), r.random, tried)
}

// owners remembers the owners of slots, as agents have named them.
type owners struct {
	mu sync.Mutex
	// agents are by service and slot.
	agents map[string]string
}

func newOwners() *owners {
	return &owners{agents: make(map[string]string)}
}

func slotKey(service string, slot int) string {
	return fmt.Sprintf("%s/%d", service, slot)
}

func (o *owners) get(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents[key]
}

func (o *owners) set(key, agent string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.agents[key] = agent
}

// keyedRun looks for a slot's owner and asks it until it answers.
type keyedRun struct {
	router  *Router
	pool    *pool
	request serviceRequest
	slot    string
	// settle asks what became of the key instead of running it.
	settle bool
	// candidates are the service's targets, the likely owner's first.
	candidates []*place
	until      time.Time
	attempts   uint32
}

// serveKeyed carries a request that may not be repeated. It may be sent many
// times: the owner runs it at most once and answers repeats from its record.
func (r *Router) serveKeyed(ctx context.Context, pool *pool, request serviceRequest, settle bool, into sink) (result, error) {
	slot := once.SlotOf(once.FullKey(request.workspace, request.work.GetKey()), request.slots)
	run := &keyedRun{
		router:  r,
		pool:    pool,
		request: request,
		slot:    slotKey(request.work.GetService(), slot),
		settle:  settle,
		until:   time.Now().Add(ownerPatience),
	}
	return run.run(ctx, &headOnce{sink: into})
}

// headOnce passes only the first head on: a broken answer goes on from the
// record, which begins with the same head again.
type headOnce struct {
	sink
	done bool
}

func (s *headOnce) head(head *wire.Head) error {
	if s.done {
		return nil
	}
	s.done = true
	return s.sink.head(head)
}

// question asks the owner to run the request, or what became of its key.
func (k *keyedRun) question(p *place) question {
	k.attempts++
	if !k.settle {
		return callQuestion(k.request.call(p, k.attempts, true))
	}
	settle := &wire.Settle{
		RequestId: k.request.id,
		Service:   k.request.work.GetService(),
		Workspace: k.request.workspace,
		Key:       k.request.work.GetKey(),
	}
	return question{id: k.request.id, open: &wire.Open{Kind: &wire.Open_Settle{Settle: settle}}}
}

func (k *keyedRun) run(ctx context.Context, into sink) (result, error) {
	var got int64
	for {
		p, ok := k.next()
		if !ok {
			return result{}, fault.New(fault.NoOwner, fault.Unknown, "no server of %q is known now", k.request.work.GetService()).After(ownerRetry)
		}
		end, err := k.router.attempt(ctx, p, k.question(p), &got, into)
		if err == nil {
			k.router.owners.set(k.slot, p.agent)
			return end, nil
		}
		if ctx.Err() != nil {
			return result{}, fault.From(endOf(ctx))
		}
		if final := k.after(err); final != nil {
			return result{}, final
		}
		if !wait.For(ctx, k.pauseFor(err)) {
			return result{}, fault.From(endOf(ctx))
		}
	}
}

// next gives the place to ask: where the last refusal pointed, else the first
// by rendezvous, then the others in turn.
func (k *keyedRun) next() (*place, bool) {
	if len(k.candidates) == 0 {
		k.gather()
	}
	if len(k.candidates) == 0 {
		return nil, false
	}
	p := k.candidates[0]
	k.candidates = k.candidates[1:]
	return p, true
}

func (k *keyedRun) gather() {
	agents := make(map[string]*place)
	var names []string
	for _, p := range k.pool.byName {
		agents[p.agent] = p
		names = append(names, p.agent)
	}
	ranked := policy.Rank(k.slot, names)
	if owner := k.router.owners.get(k.slot); agents[owner] != nil {
		ranked = append([]string{owner}, slices.DeleteFunc(ranked, func(n string) bool { return n == owner })...)
	}
	for _, name := range slices.Compact(ranked) {
		k.candidates = append(k.candidates, agents[name])
	}
}

// after decides what follows a failed attempt: nil to go on.
func (k *keyedRun) after(err error) *fault.Error {
	failure := fault.From(err)
	switch failure.Kind {
	case fault.NotOwner:
		k.follow(err)
	case fault.NoOwner, fault.LinkFailed, fault.NoTarget, fault.Cut, fault.Leaving:
	default:
		return failure
	}
	if time.Now().After(k.until) {
		final := fault.New(fault.NoOwner, fault.Unknown, "the key's owner cannot be asked now (%s); send the same request again", failure.Message)
		return final.After(ownerRetry)
	}
	k.router.options.Metrics.Retry(string(failure.Kind))
	return nil
}

// follow puts the owner that a refusal names first.
func (k *keyedRun) follow(err error) {
	var refused *refusedError
	if !errors.As(err, &refused) || refused.refusal.GetOwner() == "" {
		return
	}
	owner := refused.refusal.GetOwner()
	k.router.owners.set(k.slot, owner)
	k.candidates = nil
}

// pauseFor waits only when all candidates have been asked, or the owner itself
// asked to wait.
func (k *keyedRun) pauseFor(err error) time.Duration {
	if len(k.candidates) > 0 && fault.KindOf(err) != fault.NotOwner {
		return 0
	}
	if k.attempts == 1 {
		return 0
	}
	return ownerPause
}

// settle asks the owner what became of a key, closing it if it never ran.
func (r *Router) settle(ctx context.Context, request serviceRequest, into sink) (result, error) {
	pool := r.table.pool(request.work.GetService())
	if pool == nil {
		return result{}, fault.New(fault.NoOwner, fault.Unknown, "no server of %q is known now", request.work.GetService()).After(ownerRetry)
	}
	return r.serveKeyed(ctx, pool, request, true, into)
}
