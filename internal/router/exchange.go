package router

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// sink receives the parts of an answer as they come.
type sink interface {
	// head is called at most once, before any data, for service answers.
	head(head *wire.Head) error
	// data gets consecutive parts, each once.
	data(data *wire.Data) error
}

// result is how one attempt ended without an error.
type result struct {
	end *wire.End
}

// refusedError is an agent's refusal with its hints.
type refusedError struct {
	fault   *fault.Error
	refusal *wire.Refusal
}

// Error gives the refusal's text.
func (e *refusedError) Error() string {
	return e.fault.Error()
}

// Unwrap gives the refusal itself.
func (e *refusedError) Unwrap() error {
	return e.fault
}

// question is what one attempt asks of an agent.
type question struct {
	id      string
	attempt uint32
	open    *wire.Open
}

func callQuestion(call *wire.Call) question {
	return question{id: call.GetRequestId(), attempt: call.GetAttempt(), open: &wire.Open{Kind: &wire.Open_Call{Call: call}}}
}

const (
	// marginPart and mostMargin make an agent's time shorter than the
	// router's, so that its word on whether the request ran is here in time.
	marginPart = 10
	mostMargin = 200 * time.Millisecond
)

// agentTime is the time that an agent gets out of what is left.
func agentTime(left time.Duration) time.Duration {
	return left - min(left/marginPart, mostMargin)
}

// attempt makes one attempt of a call at a place. It passes each part on
// once, in order, from offset next, which it moves; a part that does not fit
// ends the attempt as cut.
func (r *Router) attempt(ctx context.Context, p *place, ask question, next *int64, into sink) (result, error) {
	if deadline, ok := ctx.Deadline(); ok && ask.open.GetCall() != nil {
		ask.open.GetCall().TimeLeftMs = agentTime(time.Until(deadline)).Milliseconds()
	}
	stream, err := r.options.Dialer.Open(ctx, p.address, ask.open)
	if err != nil {
		p.down()
		return result{}, err
	}
	// Closing the stream tells the agent to stop the work.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	return r.readAnswer(ctx, p, ask, stream, next, into)
}

func (r *Router) readAnswer(ctx context.Context, p *place, ask question, stream link.Stream, next *int64, into sink) (result, error) {
	for {
		reply := new(wire.Reply)
		if err := stream.Recv(reply); err != nil {
			return result{}, brokenLink(ctx, p, err)
		}
		if reply.GetRequestId() != ask.id || reply.GetAttempt() != ask.attempt {
			return result{}, fault.New(fault.Cut, fault.Unknown, "an answer to another request came on this link")
		}
		switch kind := reply.GetKind().(type) {
		case *wire.Reply_Admitted:
			p.heard(kind.Admitted.GetLoad())
			defer p.ended()
		case *wire.Reply_Head:
			if err := into.head(kind.Head); err != nil {
				return result{}, callerGone(err)
			}
		case *wire.Reply_Data:
			if err := takeData(kind.Data, next, into); err != nil {
				return result{}, err
			}
		case *wire.Reply_End:
			if kind.End.GetLength() != *next {
				return result{}, fault.New(fault.Cut, fault.Unknown, "the answer has %d parts but %d came", kind.End.GetLength(), *next)
			}
			return result{end: kind.End}, nil
		case *wire.Reply_Refusal:
			p.heard(kind.Refusal.GetLoad())
			return result{}, refusalError(kind.Refusal)
		}
	}
}

// brokenLink says what a link's end means for the request: nothing is known.
func brokenLink(ctx context.Context, p *place, err error) error {
	if ctx.Err() != nil {
		return endOf(ctx)
	}
	p.down()
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Cut, fault.Unknown, "%s ended the answer early", p.agent)
	}
	return fault.New(fault.LinkFailed, fault.Unknown, "%s: %v", p.address, err)
}

// endOf says why a request's context ended.
func endOf(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Deadline, fault.Unknown, "the time ran out").After(time.Second)
	}
	return fault.New(fault.Canceled, fault.Unknown, "the caller went away")
}

func callerGone(err error) error {
	return fault.New(fault.Canceled, fault.Unknown, "the caller went away: %v", err)
}

// takeData passes on what is new of a part.
func takeData(data *wire.Data, next *int64, into sink) error {
	count := int64(len(data.GetPieces()) + len(data.GetBytes()))
	skip := *next - data.GetOffset()
	if skip < 0 {
		return fault.New(fault.Cut, fault.Unknown, "part %d came where %d was due", data.GetOffset(), *next)
	}
	if skip >= count {
		return nil
	}
	fresh := &wire.Data{Offset: *next}
	if len(data.GetPieces()) > 0 {
		fresh.Pieces = data.GetPieces()[skip:]
	} else {
		fresh.Bytes = data.GetBytes()[skip:]
	}
	if err := into.data(fresh); err != nil {
		return callerGone(err)
	}
	*next += count - skip
	return nil
}

func refusalError(refusal *wire.Refusal) error {
	return &refusedError{
		fault: &fault.Error{
			Kind:       fault.Kind(refusal.GetKind()),
			State:      runState(refusal.GetRunState()),
			Message:    refusal.GetMessage(),
			RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
		},
		refusal: refusal,
	}
}

func runState(state wire.RunState) fault.RunState {
	switch state {
	case wire.RunState_RUN_STATE_NOT_RUN:
		return fault.NotRun
	case wire.RunState_RUN_STATE_RAN:
		return fault.Ran
	default:
		return fault.Unknown
	}
}
