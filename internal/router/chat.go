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
	// preferred is the target named by the caller's placement token.
	preferred string
}

// mostRefusals is how many targets may refuse a request before it asks to
// queue at the next.
const mostRefusals = 3

// mostAttempts bounds all attempts of one request.
const mostAttempts = 8

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

// chatRun is the state of a chat's attempts.
type chatRun struct {
	router  *Router
	request chatRequest
	pool    *pool
	into    *chatSink
	// next is the index of the first piece that the caller does not have.
	next int64
	// tried are target numbers that have refused or failed.
	tried []uint32
	// refusals counts attempts that ran nothing; queued says that the last
	// one had asked to wait in a queue.
	refusals int
	queued   bool
	// last is the newest failure.
	last     *fault.Error
	attempts uint32
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

// serve carries a chat to its end: whole, or a plain error. begin is told
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
	}
	return run.run(ctx)
}

func (c *chatRun) run(ctx context.Context) (result, error) {
	for {
		number, ok := c.choose()
		if !ok {
			return result{}, c.failed(c.exhausted())
		}
		p := c.pool.byNumber[number]
		c.into.from = p.id
		end, err := c.router.attempt(ctx, p, callQuestion(c.call(p)), &c.next, c.into)
		if err == nil {
			return end, nil
		}
		c.tried = append(c.tried, number)
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

// choose takes the target of the placement token first, then the policy's. If
// all that are left have refused for their load, it takes one of them again,
// to queue there.
func (c *chatRun) choose() (uint32, bool) {
	number, ok := c.pick()
	overloaded := c.last != nil && c.last.Kind == fault.Overloaded
	if ok || !overloaded || c.queued {
		return number, ok
	}
	c.tried = nil
	c.refusals = max(c.refusals, mostRefusals)
	return c.pick()
}

func (c *chatRun) pick() (uint32, bool) {
	now := time.Now()
	hints := c.pool.hints(now)
	if c.attempts == 0 && c.request.preferred != "" {
		if p, ok := c.pool.byName[c.request.preferred]; ok {
			hint := p.hint(now)
			number, known := c.pool.order.Number(p.id)
			if known && hint.Usable() && !hint.Full() {
				return number, true
			}
		}
	}
	c.router.randomMu.Lock()
	defer c.router.randomMu.Unlock()
	return c.pool.order.Choose(c.request.chat, hints, c.router.random, c.tried)
}

func (c *chatRun) call(p *place) *wire.Call {
	c.attempts++
	c.queued = c.refusals >= mostRefusals || c.request.deferrable && c.refusals > 0
	return &wire.Call{
		RequestId:  c.request.id,
		Attempt:    c.attempts,
		TargetId:   p.id,
		Workspace:  c.request.workspace,
		Share:      uint32(max(c.request.share, 1)),
		Deferrable: c.request.deferrable,
		Wait:       c.queued,
		Work: &wire.Call_Chat{Chat: &wire.ChatWork{
			Model:  c.request.model,
			Body:   c.request.body,
			Offset: c.next,
			Prefix: c.into.text.String(),
		}},
	}
}

// after decides what follows a failed attempt: nil to try again, else the
// final error.
func (c *chatRun) after(ctx context.Context, err error) *fault.Error {
	failure := fault.From(err)
	c.last = failure
	if failure.State != fault.NotRun {
		c.state = fault.Unknown
	}
	if ctx.Err() != nil {
		return fault.From(endOf(ctx))
	}
	if c.attempts >= mostAttempts || !c.mayRetry(failure) {
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
	if failure.State == fault.NotRun {
		// A request that was refused even the queue is given up at once.
		if failure.Kind == fault.Overloaded && c.queued {
			return false
		}
		c.refusals++
		return c.router.spill.spend()
	}
	return c.router.rerun.spend()
}

// failed gives the final error the run state that covers all attempts.
func (c *chatRun) failed(err *fault.Error) error {
	final := *err
	if c.state != fault.NotRun {
		final.State = c.state
	}
	return &final
}
