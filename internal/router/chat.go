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

// chatRequest is one chat completion on its way.
type chatRequest struct {
	id         string
	workspace  string
	share      int
	deferrable bool
	model      string
	body       []byte
	// chat is the hash that decides affinity.
	chat uint64
	// returning says that the body holds an earlier answer.
	returning bool
	// preferred is the target named by the caller's placement token.
	preferred string
}

// mostAttempts bounds the attempts that reached a target.
const mostAttempts = 8

// mostReruns bounds the attempts after an answer that broke off: a chat that ends the engines
// which run it ends three by one call, and not eight.
const mostReruns = 2

// chatHash hashes what stays the same when a chat returns: the caller's own
// name for it, or its first messages.
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

// isReturning says whether a chat has been answered before.
func isReturning(chat *target.ChatBody) bool {
	for i := range chat.Messages {
		if chat.Messages[i].Role == "assistant" {
			return true
		}
	}
	return false
}

// chatRun is the state of a chat's attempts.
type chatRun struct {
	router  *Router
	request chatRequest
	pool    *pool
	into    *chatSink
	search  policy.Search
	// next is the index of the first piece that the caller does not have.
	next     int64
	attempts uint32
	// reruns counts attempts after an answer that broke off.
	reruns int
	// last is the newest failure.
	last *fault.Error
	// state is what can be said of the request if it fails now.
	state fault.RunState
}

// chatSink collects the text that was passed on, so that another engine can
// go on from there.
type chatSink struct {
	sink
	text strings.Builder
	// admitted is called with the target that gives the first piece.
	begin func(target string)
	begun bool
	from  string
}

func (s *chatSink) data(data *wire.Data) error {
	if !s.begun {
		s.begun = true
		s.begin(s.from)
	}
	for _, piece := range data.GetPieces() {
		s.text.WriteString(piece)
	}
	return s.sink.data(data)
}

// serveChat carries a chat to its end: whole, or a plain error. begin is told
// which target answers, before the first piece.
func (r *Router) serveChat(ctx context.Context, request chatRequest, begin func(target string), into sink) (result, error) {
	r.spill.earn()
	r.rerun.earn()
	pool := r.table.pool(request.model)
	if pool == nil {
		return result{}, fault.New(fault.NoTarget, fault.NotRun, "no engine holds model %q now", request.model).After(time.Second)
	}
	run := &chatRun{
		router:  r,
		request: request,
		pool:    pool,
		into:    &chatSink{sink: into, begin: begin},
		state:   fault.NotRun,
		search: policy.Search{
			Table:     pool.order,
			Chat:      request.chat,
			Returning: request.returning,
			Patient:   request.deferrable,
		},
	}
	run.search.Token, run.search.HasToken = pool.order.Number(request.preferred)
	return run.run(ctx)
}

func (c *chatRun) run(ctx context.Context) (result, error) {
	for {
		ask, ok := c.choose()
		if !ok {
			return result{}, c.failed(c.exhausted())
		}
		p := c.pool.byNumber[ask.Number]
		c.into.from = p.id
		end, err := c.router.attempt(ctx, p, callQuestion(c.call(p, ask)), &c.next, c.into)
		if err == nil {
			return end, nil
		}
		if final := c.after(ctx, err); final != nil {
			return result{}, c.failed(final)
		}
	}
}

// exhausted is the error when no target is left to try: what the last one
// said, or that there was none.
func (c *chatRun) exhausted() *fault.Error {
	if c.last != nil {
		return c.last
	}
	return fault.New(fault.NoTarget, c.state, "no engine for model %q takes requests now", c.request.model).After(time.Second)
}

func (c *chatRun) choose() (policy.Attempt, bool) {
	c.router.randomMu.Lock()
	defer c.router.randomMu.Unlock()
	return c.search.Next(c.pool.hints(time.Now()), c.router.random)
}

func (c *chatRun) call(p *place, ask policy.Attempt) *wire.Call {
	c.attempts++
	return &wire.Call{
		RequestId:  c.request.id,
		Attempt:    c.attempts,
		TargetId:   p.id,
		Workspace:  c.request.workspace,
		Share:      uint32(max(c.request.share, 1)),
		Deferrable: c.request.deferrable,
		Wait:       ask.Wait,
		Work: &wire.Call_Chat{Chat: &wire.ChatWork{
			Model:    c.request.model,
			Body:     c.request.body,
			Offset:   c.next,
			Prefix:   c.into.text.String(),
			Chat:     c.request.chat,
			OnlyHeld: ask.OnlyHeld,
		}},
	}
}

// after decides what follows a failed attempt: nil to try again, else the
// final error.
func (c *chatRun) after(ctx context.Context, err error) *fault.Error {
	failure := fault.From(err)
	if failure.State != fault.NotRun {
		c.state = fault.Unknown
	}
	if ctx.Err() != nil {
		return fault.From(endOf(ctx))
	}
	if failure.Kind == fault.NotHeld {
		c.search.Record(policy.NotHeld)
		return nil
	}
	c.last = failure
	if !c.mayRetry(failure) {
		return failure
	}
	c.router.options.Metrics.Retry(string(failure.Kind))
	return nil
}

// mayRetry says whether another attempt makes sense and is in the budget.
func (c *chatRun) mayRetry(failure *fault.Error) bool {
	switch failure.Kind {
	case fault.Canceled, fault.Deadline, fault.BadRequest, fault.TooLarge:
		return false
	}
	if failure.State != fault.NotRun {
		c.reruns++
		c.search.Record(policy.Gone)
		return c.reruns <= mostReruns && c.router.rerun.spend()
	}
	outcome := policy.Gone
	if failure.Kind == fault.Overloaded {
		outcome = policy.Full
	}
	// A request that was refused even the queue is given up at once.
	if !c.search.Record(outcome) {
		return false
	}
	if !c.router.spill.spend() {
		// No more looking around: the next target may queue it.
		c.search.Patient = true
	}
	return true
}

// failed gives the final error the run state that covers all attempts.
func (c *chatRun) failed(err *fault.Error) error {
	final := *err
	if c.state != fault.NotRun {
		final.State = c.state
	}
	return &final
}
