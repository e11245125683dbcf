package agent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// pieceBuffer is how many pieces wait for a slow link before the engine
	// is made to wait.
	pieceBuffer = 64
	// priorityUrgent and priorityDeferrable are what engines are told.
	priorityUrgent     = 0
	priorityDeferrable = 10
)

// serveChat runs one chat completion, from its offset on.
func (a *Agent) serveChat(ctx context.Context, p *place, call *wire.Call, work *wire.ChatWork, answer *answer) {
	if p.Engine == nil {
		answer.refuse(fault.New(fault.NoTarget, fault.NotRun, "target %q is no engine", p.ID))
		return
	}
	if p.pool() != work.GetModel() {
		answer.refuse(fault.New(fault.NoTarget, fault.NotRun, "engine %q does not hold model %q", p.ID, work.GetModel()))
		return
	}
	if work.GetOnlyHeld() && !p.held.has(work.GetChat()) {
		answer.refuse(fault.New(fault.NotHeld, fault.NotRun, "the chat is not held here"))
		return
	}
	ticket := ticketOf(call, len(work.GetBody()))
	ticket.HomeWait = p.held.worth(work.GetChat())
	admitted, refusal := p.gate.Admit(ctx, ticket)
	if refusal != nil {
		answer.refuse(refusal)
		return
	}
	defer admitted.Release()
	if p.pool() != work.GetModel() {
		// It waited while the engine changed its model.
		answer.refuse(fault.New(fault.NoTarget, fault.NotRun, "engine %q no longer holds model %q", p.ID, work.GetModel()))
		return
	}
	if answer.admitted() != nil {
		return
	}
	priority := int32(priorityUrgent)
	if call.GetDeferrable() {
		priority = priorityDeferrable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	generation, err := p.Engine.Generate(ctx, target.GenerateRequest{
		RequestID: call.GetRequestId(),
		Body:      work.GetBody(),
		Offset:    work.GetOffset(),
		Prefix:    work.GetPrefix(),
		Priority:  priority,
	})
	p.heedRest(target.RetryAfterOf(err), err)
	if err != nil {
		answer.refuse(engineRefusal(err))
		return
	}
	pump := newPump(generation)
	defer pump.close(cancel)
	end := a.stream(ctx, pump, work.GetOffset(), answer)
	if end != nil {
		p.held.put(work.GetChat(), call.GetRequestId(), end.GetPromptTokens()+end.GetCompletionTokens())
	}
}

// engineRefusal tells an engine that took nothing from one that failed.
func engineRefusal(err error) *fault.Error {
	if rest := target.RetryAfterOf(err); rest > 0 {
		return fault.New(fault.Overloaded, fault.NotRun, "the engine has asked for rest: %v", err).After(rest)
	}
	if errors.Is(err, target.ErrRefused) {
		return fault.New(fault.TargetFailed, fault.NotRun, "the engine refused: %v", err)
	}
	return fault.New(fault.TargetFailed, fault.Unknown, "the engine failed: %v", err)
}

// pump reads an engine's pieces ahead, so that pieces which come while the
// link is busy go together in one frame.
type pump struct {
	generation target.Generation
	pieces     chan target.Piece
	// err is set before pieces is closed.
	err  error
	stop chan struct{}
	done chan struct{}
}

func newPump(generation target.Generation) *pump {
	p := &pump{
		generation: generation,
		pieces:     make(chan target.Piece, pieceBuffer),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	go p.run()
	return p
}

func (p *pump) run() {
	defer close(p.done)
	defer close(p.pieces)
	for {
		piece, err := p.generation.Next()
		if err != nil {
			p.err = err
			return
		}
		select {
		case p.pieces <- piece:
		case <-p.stop:
			p.err = context.Canceled
			return
		}
	}
}

// close cancels the engine's work and waits for the reader.
func (p *pump) close(cancel context.CancelFunc) {
	cancel()
	close(p.stop)
	<-p.done
	_ = p.generation.Close()
}

// stream sends pieces until the answer is whole, and returns its end, or
// broken.
func (a *Agent) stream(ctx context.Context, pump *pump, offset int64, answer *answer) *wire.End {
	idle := time.NewTimer(a.options.PieceWait)
	defer idle.Stop()
	next := offset
	for {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				answer.refuse(fault.New(fault.Deadline, fault.Unknown, "the time ran out after %d pieces", next))
			}
			return nil
		case <-idle.C:
			answer.refuse(fault.New(fault.Cut, fault.Unknown, "the engine gave nothing for %v after %d pieces", a.options.PieceWait, next))
			return nil
		case piece, ok := <-pump.pieces:
			if !ok {
				answer.refuse(cutRefusal(ctx, pump.err, next))
				return nil
			}
			idle.Reset(a.options.PieceWait)
			end, more := sendBatch(pump, piece, &next, answer)
			if !more {
				return end
			}
		}
	}
}

// cutRefusal says why an answer broke off.
func cutRefusal(ctx context.Context, err error, next int64) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Deadline, fault.Unknown, "the time ran out after %d pieces", next)
	}
	if errors.Is(err, io.EOF) {
		err = target.ErrCut
	}
	return fault.New(fault.Cut, fault.Unknown, "the engine's stream broke after %d pieces: %v", next, err)
}

// sendBatch sends a piece with all that are ready behind it. It returns false
// when the stream is over, with the answer's end if it was whole.
func sendBatch(pump *pump, first target.Piece, next *int64, answer *answer) (*wire.End, bool) {
	data := &wire.Data{Offset: *next}
	piece, more := first, true
	for more && piece.Finish == "" {
		if piece.Index != *next {
			answer.refuse(fault.New(fault.Cut, fault.Unknown, "the engine gave piece %d where %d was due", piece.Index, *next))
			return nil, false
		}
		data.Pieces = append(data.Pieces, piece.Text)
		*next++
		piece, more = ready(pump)
	}
	if len(data.Pieces) > 0 && answer.data(data) != nil {
		return nil, false
	}
	if !more || piece.Finish == "" {
		return nil, true
	}
	end := &wire.End{
		Length:           *next,
		FinishReason:     piece.Finish,
		PromptTokens:     piece.Usage.PromptTokens,
		CompletionTokens: piece.Usage.CompletionTokens,
		CachedTokens:     piece.Usage.CachedTokens,
	}
	answer.end(end)
	return end, false
}

// ready gives the next piece if one waits.
func ready(pump *pump) (target.Piece, bool) {
	select {
	case piece, ok := <-pump.pieces:
		return piece, ok
	default:
		return target.Piece{}, false
	}
}
