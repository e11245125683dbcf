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

// serviceRequest is one call of a plain service.
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
	// ownerLookupTimeout is how long a keyed request searches for its slot's owner.
	ownerLookupTimeout = 2 * time.Second
	// ownerRetryInterval is the delay between two attempts to find the owner.
	ownerRetryInterval = 50 * time.Millisecond
	// ownerRetryAfter is the retry delay sent to callers while a slot has no owner.
	ownerRetryAfter = 3 * time.Second
)

// serveService runs a call until it has an answer or an error.
func (r *Router) serveService(ctx context.Context, request serviceRequest, out sink) (result, error) {
	r.refusalRetries.earn()
	r.rerunRetries.earn()
	pool := r.table.pool(request.work.GetService())
	if pool == nil {
		state := fault.NotRun
		if request.work.GetKey() != "" {
			state = fault.Unknown
		}
		return result{}, fault.New(fault.NoTarget, state, "no server of %q is known", request.work.GetService()).After(time.Second)
	}
	if request.work.GetKey() != "" {
		return r.serveKeyed(ctx, pool, request, false, out)
	}
	return r.serveUnkeyed(ctx, pool, request, out)
}

func (request *serviceRequest) call(e *endpoint, attempt uint32, wait bool) *wire.Call {
	return &wire.Call{
		RequestId:  request.id,
		Attempt:    attempt,
		TargetId:   e.id,
		Workspace:  request.workspace,
		Share:      uint32(max(request.share, 1)),
		Deferrable: request.deferrable,
		Wait:       wait,
		Work:       &wire.Call_Service{Service: request.work},
	}
}

// serveUnkeyed tries servers until one accepts the call. A call that may have run is not
// sent again, since it has no key that makes a repeat safe.
func (r *Router) serveUnkeyed(ctx context.Context, pool *pool, request serviceRequest, out sink) (result, error) {
	var tried []uint32
	key := policy.HashName(request.id)
	for attempt := uint32(1); ; attempt++ {
		if r.Draining() {
			return result{}, drainingError()
		}
		number, ok := r.chooseServer(pool, key, tried)
		if !ok {
			return result{}, fault.New(fault.NoTarget, fault.NotRun, "no server of %q is left to try", request.work.GetService()).After(time.Second)
		}
		var nextOffset int64
		e := pool.byNumber[number]
		ex := newCallExchange(request.call(e, attempt, len(tried) > 0))
		end, err := r.attempt(ctx, e, ex, &nextOffset, out)
		if err == nil {
			return end, nil
		}
		failure := fault.From(err)
		if failure.State != fault.NotRun || ctx.Err() != nil || attempt >= maxAttempts || !r.refusalRetries.spend() {
			return result{}, err
		}
		r.options.Metrics.Retry(string(failure.Kind))
		tried = append(tried, number)
	}
}

func (r *Router) chooseServer(pool *pool, key uint64, tried []uint32) (uint32, bool) {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return pool.slotTable.Choose(key, pool.hints(time.Now()), r.random, tried)
}

// ownerCache maps slots to their owners, as reported by agents.
type ownerCache struct {
	mu sync.Mutex
	// agents is keyed by service and slot.
	agents map[string]string
}

func newOwnerCache() *ownerCache {
	return &ownerCache{agents: make(map[string]string)}
}

func slotKey(service string, slot int) string {
	return fmt.Sprintf("%s/%d", service, slot)
}

func (o *ownerCache) get(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents[key]
}

func (o *ownerCache) set(key, agent string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.agents[key] = agent
}

// keyedRun searches for a slot's owner and sends it the request until it answers.
type keyedRun struct {
	router  *Router
	pool    *pool
	request serviceRequest
	slot    string
	// settle asks for the outcome of the key instead of running the request.
	settle bool
	// candidates are the service's targets, the most likely owner first.
	candidates []*endpoint
	deadline   time.Time
	attempts   uint32
}

// serveKeyed runs a request that must not be repeated. The router may send it many times:
// the owner runs it at most once and answers repeats from its record.
func (r *Router) serveKeyed(ctx context.Context, pool *pool, request serviceRequest, settle bool, out sink) (result, error) {
	slot := once.SlotOf(once.FullKey(request.workspace, request.work.GetKey()), request.slots)
	run := &keyedRun{
		router:   r,
		pool:     pool,
		request:  request,
		slot:     slotKey(request.work.GetService(), slot),
		settle:   settle,
		deadline: time.Now().Add(ownerLookupTimeout),
	}
	return run.run(ctx, &singleHeadSink{sink: out})
}

// singleHeadSink forwards only the first head: an interrupted answer continues from the
// record, which begins with the same head again.
type singleHeadSink struct {
	sink
	sent bool
}

func (s *singleHeadSink) head(head *wire.Head) error {
	if s.sent {
		return nil
	}
	s.sent = true
	return s.sink.head(head)
}

// exchange asks the owner to run the request, or for the outcome of its key.
func (k *keyedRun) exchange(e *endpoint) exchange {
	k.attempts++
	if !k.settle {
		return newCallExchange(k.request.call(e, k.attempts, true))
	}
	settle := &wire.Settle{
		RequestId: k.request.id,
		Service:   k.request.work.GetService(),
		Workspace: k.request.workspace,
		Key:       k.request.work.GetKey(),
	}
	return exchange{id: k.request.id, open: &wire.Open{Kind: &wire.Open_Settle{Settle: settle}}}
}

func (k *keyedRun) run(ctx context.Context, out sink) (result, error) {
	var nextOffset int64
	for {
		e, ok := k.nextCandidate()
		if !ok {
			return result{}, fault.New(fault.NoOwner, fault.Unknown, "no server of %q is known", k.request.work.GetService()).After(ownerRetryAfter)
		}
		end, err := k.router.attempt(ctx, e, k.exchange(e), &nextOffset, out)
		if err == nil {
			k.router.ownerCache.set(k.slot, e.agent)
			return end, nil
		}
		if ctx.Err() != nil {
			return result{}, fault.From(contextError(ctx))
		}
		if final := k.handleFailure(err); final != nil {
			return result{}, final
		}
		if !wait.For(ctx, k.retryDelay(err)) {
			return result{}, fault.From(contextError(ctx))
		}
	}
}

// nextCandidate returns the endpoint to ask: the owner named by the last refusal, otherwise the
// first by rendezvous hashing, then the others in turn.
func (k *keyedRun) nextCandidate() (*endpoint, bool) {
	if len(k.candidates) == 0 {
		k.rankCandidates()
	}
	if len(k.candidates) == 0 {
		return nil, false
	}
	e := k.candidates[0]
	k.candidates = k.candidates[1:]
	return e, true
}

func (k *keyedRun) rankCandidates() {
	agents := make(map[string]*endpoint)
	var names []string
	for _, e := range k.pool.byID {
		agents[e.agent] = e
		names = append(names, e.agent)
	}
	ranked := policy.Rank(k.slot, names)
	if owner := k.router.ownerCache.get(k.slot); agents[owner] != nil {
		ranked = append([]string{owner}, slices.DeleteFunc(ranked, func(n string) bool { return n == owner })...)
	}
	for _, name := range slices.Compact(ranked) {
		k.candidates = append(k.candidates, agents[name])
	}
}

// handleFailure handles a failed attempt. It returns nil to continue, otherwise the final error.
func (k *keyedRun) handleFailure(err error) *fault.Error {
	failure := fault.From(err)
	switch failure.Kind {
	case fault.NotOwner:
		k.preferOwner(err)
	case fault.NoOwner, fault.LinkFailed, fault.NoTarget, fault.Cut, fault.Leaving:
	default:
		return failure
	}
	if time.Now().After(k.deadline) {
		final := fault.New(fault.NoOwner, fault.Unknown, "the key's owner cannot be reached (%s); send the same request again", failure.Message)
		return final.After(ownerRetryAfter)
	}
	k.router.options.Metrics.Retry(string(failure.Kind))
	return nil
}

// preferOwner moves the owner that a refusal names to the front.
func (k *keyedRun) preferOwner(err error) {
	var refusal *refusedError
	if !errors.As(err, &refusal) || refusal.refusal.GetOwner() == "" {
		return
	}
	owner := refusal.refusal.GetOwner()
	k.router.ownerCache.set(k.slot, owner)
	k.candidates = nil
}

// retryDelay returns the delay before the next attempt. It is non-zero only after the first
// attempt, and when all candidates have been asked or the last one was not the owner.
func (k *keyedRun) retryDelay(err error) time.Duration {
	if len(k.candidates) > 0 && fault.KindOf(err) != fault.NotOwner {
		return 0
	}
	if k.attempts == 1 {
		return 0
	}
	return ownerRetryInterval
}

// settle asks the owner for the outcome of a key, and closes the key if it never ran.
func (r *Router) settle(ctx context.Context, request serviceRequest, out sink) (result, error) {
	pool := r.table.pool(request.work.GetService())
	if pool == nil {
		return result{}, fault.New(fault.NoOwner, fault.Unknown, "no server of %q is known", request.work.GetService()).After(ownerRetryAfter)
	}
	return r.serveKeyed(ctx, pool, request, true, out)
}
