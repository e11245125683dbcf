package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// sink receives the parts of an answer in order.
type sink interface {
	// head is called at most once, before any data, and only for service answers.
	head(head *wire.Head) error
	// data receives consecutive parts, each once.
	data(data *wire.Data) error
}

// result is the outcome of a successful attempt.
type result struct {
	end *wire.End
}

// refusedError is an agent's refusal together with its hints.
type refusedError struct {
	fault   *fault.Error
	refusal *wire.Refusal
}

// Error returns the refusal's text.
func (e *refusedError) Error() string {
	return e.fault.Error()
}

// Unwrap returns the refusal as a fault.
func (e *refusedError) Unwrap() error {
	return e.fault
}

// exchange is the message that one attempt sends to an agent.
type exchange struct {
	id      string
	attempt uint32
	open    *wire.Open
}

func newCallExchange(call *wire.Call) exchange {
	return exchange{id: call.GetRequestId(), attempt: call.GetAttempt(), open: &wire.Open{Kind: &wire.Open_Call{Call: call}}}
}

const (
	// marginDivisor and maxMargin make an agent's timeout shorter than the router's, so
	// that the agent's reply on whether the request ran arrives in time.
	marginDivisor = 10
	maxMargin     = 200 * time.Millisecond
)

// agentTimeout returns the time that an agent gets out of the remaining time.
func agentTimeout(remaining time.Duration) time.Duration {
	return remaining - min(remaining/marginDivisor, maxMargin)
}

// attempt makes one attempt of a call at an endpoint. It forwards each part once and in
// order, starting at offset next, which it advances. A part with an unexpected offset
// ends the attempt with fault.Cut.
func (r *Router) attempt(ctx context.Context, e *endpoint, ex exchange, next *int64, out sink) (result, error) {
	if deadline, ok := ctx.Deadline(); ok && ex.open.GetCall() != nil {
		ex.open.GetCall().TimeLeftMs = agentTimeout(time.Until(deadline)).Milliseconds()
	}
	stream, err := r.options.Dialer.Open(ctx, e.address, ex.open)
	if err != nil {
		e.markDown()
		return result{}, err
	}
	// Closing the stream cancels the work at the agent.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	return r.readAnswer(ctx, e, ex, stream, next, out)
}

func (r *Router) readAnswer(ctx context.Context, e *endpoint, ex exchange, stream link.Stream, next *int64, out sink) (result, error) {
	for {
		reply := new(wire.Reply)
		if err := stream.Recv(reply); err != nil {
			return result{}, linkError(ctx, e, err)
		}
		if reply.GetRequestId() != ex.id || reply.GetAttempt() != ex.attempt {
			return result{}, fault.New(fault.Cut, fault.Unknown, "received a reply to another request on this link")
		}
		switch kind := reply.GetKind().(type) {
		case *wire.Reply_Admitted:
			e.updateLoad(kind.Admitted.GetLoad())
			defer e.decrementInFlight()
		case *wire.Reply_Head:
			if err := checkStatus(kind.Head); err != nil {
				return result{}, err
			}
			if err := out.head(kind.Head); err != nil {
				return result{}, disconnectError(err)
			}
		case *wire.Reply_Data:
			if err := forwardData(kind.Data, next, out); err != nil {
				return result{}, err
			}
		case *wire.Reply_End:
			if kind.End.GetLength() != *next {
				return result{}, fault.New(fault.Cut, fault.Unknown, "the answer has %d parts but %d were received", kind.End.GetLength(), *next)
			}
			return result{end: kind.End}, nil
		case *wire.Reply_Refusal:
			e.updateLoad(kind.Refusal.GetLoad())
			return result{}, refusalError(kind.Refusal)
		}
	}
}

// lowestStatus and highestStatus are the statuses of final answers that can be passed on.
const (
	lowestStatus  = http.StatusOK
	highestStatus = 999
)

// checkStatus checks the status of an answer, which an agent of an older build may not have done.
func checkStatus(head *wire.Head) error {
	if status := head.GetStatus(); status < lowestStatus || status > highestStatus {
		return fault.New(fault.TargetFailed, fault.Unknown, "the target answered with the invalid status %d", status)
	}
	return nil
}

// linkError returns the error for a lost link; whether the request ran is unknown.
func linkError(ctx context.Context, e *endpoint, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	e.markDown()
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Cut, fault.Unknown, "%s ended the answer early", e.agent)
	}
	return fault.New(fault.LinkFailed, fault.Unknown, "%s: %v", e.address, err)
}

// contextError returns the error for a request whose context has ended.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Deadline, fault.Unknown, "the request timed out").After(time.Second)
	}
	return fault.New(fault.Canceled, fault.Unknown, "the caller disconnected")
}

func disconnectError(err error) error {
	return fault.New(fault.Canceled, fault.Unknown, "the caller disconnected: %v", err)
}

// forwardData forwards the pieces or bytes of a part that were not forwarded before.
func forwardData(data *wire.Data, next *int64, out sink) error {
	count := int64(len(data.GetPieces()) + len(data.GetBytes()))
	skip := *next - data.GetOffset()
	if skip < 0 {
		return fault.New(fault.Cut, fault.Unknown, "received part %d, expected part %d", data.GetOffset(), *next)
	}
	if skip >= count {
		return nil
	}
	unsent := &wire.Data{Offset: *next}
	if len(data.GetPieces()) > 0 {
		unsent.Pieces = data.GetPieces()[skip:]
	} else {
		unsent.Bytes = data.GetBytes()[skip:]
	}
	if err := out.data(unsent); err != nil {
		return disconnectError(err)
	}
	*next += count - skip
	return nil
}

func refusalError(refusal *wire.Refusal) error {
	return &refusedError{
		fault: &fault.Error{
			Kind:       fault.Kind(refusal.GetKind()),
			State:      runStateFromWire(refusal.GetRunState()),
			Message:    refusal.GetMessage(),
			RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
		},
		refusal: refusal,
	}
}

func runStateFromWire(state wire.RunState) fault.RunState {
	switch state {
	case wire.RunState_RUN_STATE_NOT_RUN:
		return fault.NotRun
	case wire.RunState_RUN_STATE_RAN:
		return fault.Ran
	default:
		return fault.Unknown
	}
}
