package router

import (
	"context"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// chatRequest is one chat completion request.
type chatRequest struct {
	id         string
	workspace  string
	share      int
	deferrable bool
	model      string
	body       []byte
	// hash is the chat's hash, which determines its affinity.
	hash uint64
	// returning is true if the body contains an earlier answer.
	returning bool
	// preferred is the target named by the caller's placement token.
	preferred string
}

// maxAttempts limits the attempts of a service call that reached a target.
const maxAttempts = 8

// maxReruns limits the attempts after an interrupted answer. A chat that crashes the
// engines that run it crashes at most three of them per request, and not eight.
const maxReruns = 2

// chatHash hashes what stays the same when a chat returns: the caller's own key for it,
// or its leading messages up to the first of the user.
func chatHash(workspace string, chat *target.ChatBody) uint64 {
	name := workspace + "\x00" + chat.Model + "\x00"
	if chat.PromptCacheKey != "" {
		return policy.HashName(name + chat.PromptCacheKey)
	}
	var leading strings.Builder
	leading.WriteString(name)
	for i := range chat.Messages {
		message := &chat.Messages[i]
		leading.WriteString(message.Role + "\x00" + message.Text() + "\x00")
		if message.Role == "user" {
			break
		}
	}
	return policy.HashName(leading.String())
}

// isReturning reports whether a chat has been answered before.
func isReturning(chat *target.ChatBody) bool {
	for i := range chat.Messages {
		if chat.Messages[i].Role == "assistant" {
			return true
		}
	}
	return false
}

// chatRun holds the state of a chat's attempts.
type chatRun struct {
	router  *Router
	request chatRequest
	pool    *pool
	out     *chatSink
	search  policy.Search
	// version is that of the engine which sent the first piece; valid if nextPiece is not zero. No
	// other one may continue the answer, since what two versions write doesn't fit together.
	version string
	// nextPiece is the index of the first piece that the caller has not received.
	nextPiece int64
	attempts  uint32
	// reruns counts attempts after an interrupted answer.
	reruns int
	// lastFailure is the most recent failure.
	lastFailure *fault.Error
	// runState is the run state to report if the request fails now.
	runState fault.RunState
}

// chatSink collects the text sent to the caller, so that another engine can continue from
// there.
type chatSink struct {
	sink
	text strings.Builder
	// onFirstPiece is called before the first piece, with the target that produced it.
	onFirstPiece func(target string)
	started      bool
	targetID     string
}

func (s *chatSink) data(data *wire.Data) error {
	if !s.started {
		s.started = true
		s.onFirstPiece(s.targetID)
	}
	for _, piece := range data.GetPieces() {
		s.text.WriteString(piece)
	}
	return s.sink.data(data)
}

// serveChat runs a chat until it has a complete answer or an error. It calls onFirstPiece with
// the answering target before the first piece.
func (r *Router) serveChat(ctx context.Context, request chatRequest, onFirstPiece func(target string), out sink) (result, error) {
	r.refusalRetries.earn()
	r.rerunRetries.earn()
	pool := r.table.pool(request.model)
	if pool == nil {
		return result{}, fault.New(fault.NoTarget, fault.NotRun, "no engine serves model %q at present", request.model).After(time.Second)
	}
	run := &chatRun{
		router:   r,
		request:  request,
		pool:     pool,
		out:      &chatSink{sink: out, onFirstPiece: onFirstPiece},
		runState: fault.NotRun,
		search: policy.Search{
			Table:     pool.slotTable,
			Chat:      request.hash,
			Returning: request.returning,
			Patient:   request.deferrable,
		},
	}
	run.search.Token, run.search.HasToken = pool.slotTable.Number(request.preferred)
	return run.run(ctx)
}

func (c *chatRun) run(ctx context.Context) (result, error) {
	for {
		if c.nextPiece == 0 && c.runState == fault.NotRun && c.router.Draining() {
			return result{}, drainingError()
		}
		next, ok := c.nextAttempt()
		if !ok {
			return result{}, c.withRunState(c.noTargetError())
		}
		e := c.pool.byNumber[next.Number]
		c.out.targetID = e.id
		if c.nextPiece == 0 {
			c.version = e.version
		}
		end, err := c.router.attempt(ctx, e, newCallExchange(c.call(e, next)), &c.nextPiece, c.out)
		if err == nil {
			return end, nil
		}
		if final := c.handleFailure(ctx, err); final != nil {
			return result{}, c.withRunState(final)
		}
	}
}

// noTargetError returns the error for a request with no target left to try: that of the last
// attempt, or else that there is no target.
func (c *chatRun) noTargetError() *fault.Error {
	if c.lastFailure != nil {
		return c.lastFailure
	}
	return fault.New(fault.NoTarget, c.runState, "no engine for model %q accepts requests at present", c.request.model).After(time.Second)
}

func (c *chatRun) nextAttempt() (policy.Attempt, bool) {
	c.router.randomMu.Lock()
	defer c.router.randomMu.Unlock()
	return c.search.Next(c.hints(time.Now()), c.router.random)
}

// hints returns the hints of the pool's targets. Those that can't continue the answer count as
// unreachable.
func (c *chatRun) hints(now time.Time) policy.Hints {
	all := c.pool.hints(now)
	if c.nextPiece == 0 {
		return all
	}
	return func(number uint32) policy.Hint {
		if e := c.pool.byNumber[number]; e == nil || e.version != c.version {
			return policy.Hint{Down: true}
		}
		return all(number)
	}
}

func (c *chatRun) call(e *endpoint, attempt policy.Attempt) *wire.Call {
	c.attempts++
	return &wire.Call{
		RequestId:  c.request.id,
		Attempt:    c.attempts,
		TargetId:   e.id,
		Workspace:  c.request.workspace,
		Share:      uint32(max(c.request.share, 1)),
		Deferrable: c.request.deferrable,
		Wait:       attempt.Wait,
		Work: &wire.Call_Chat{Chat: &wire.ChatWork{
			Model:    c.request.model,
			Body:     c.request.body,
			Offset:   c.nextPiece,
			Prefix:   c.out.text.String(),
			Chat:     c.request.hash,
			OnlyHeld: attempt.OnlyHeld,
		}},
	}
}

// handleFailure handles a failed attempt. It returns nil to try again, otherwise the final error.
func (c *chatRun) handleFailure(ctx context.Context, err error) *fault.Error {
	failure := fault.From(err)
	if failure.State != fault.NotRun {
		c.runState = fault.Unknown
	}
	if ctx.Err() != nil {
		return fault.From(contextError(ctx))
	}
	if failure.Kind == fault.NotHeld {
		c.search.Record(policy.NotHeld)
		return nil
	}
	c.lastFailure = failure
	if !c.mayRetry(failure) {
		return failure
	}
	c.router.options.Metrics.Retry(string(failure.Kind))
	return nil
}

// mayRetry reports whether another attempt is useful and within the budget.
func (c *chatRun) mayRetry(failure *fault.Error) bool {
	switch failure.Kind {
	case fault.Canceled, fault.Deadline, fault.BadRequest, fault.TooLarge:
		return false
	}
	if failure.State != fault.NotRun {
		c.reruns++
		c.search.Record(policy.Gone)
		return c.reruns <= maxReruns && c.router.rerunRetries.spend()
	}
	outcome := policy.Gone
	if failure.Kind == fault.Overloaded {
		outcome = policy.Full
	}
	// A request that was refused even a place in the queue fails at once.
	if !c.search.Record(outcome) {
		return false
	}
	if !c.router.refusalRetries.spend() {
		// Stop searching for a free target: the next one may queue the request.
		c.search.Patient = true
	}
	return true
}

// withRunState returns the final error with the run state that covers all attempts.
func (c *chatRun) withRunState(err *fault.Error) error {
	final := *err
	if c.runState != fault.NotRun {
		final.State = c.runState
	}
	return &final
}
