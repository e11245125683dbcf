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
	// pieceBuffer is how many pieces are buffered for a slow link before the engine is
	// blocked.
	pieceBuffer = 64
	// priorityUrgent and priorityDeferrable are the priorities sent to engines.
	priorityUrgent     = 0
	priorityDeferrable = 10
)

// serveChat runs one chat completion, starting at its offset.
func (a *Agent) serveChat(ctx context.Context, p *localTarget, call *wire.Call, work *wire.ChatWork, writer *replyWriter) {
	if p.Engine == nil {
		writer.refuse(fault.New(fault.NoTarget, fault.NotRun, "target %q is not an engine", p.ID))
		return
	}
	if p.pool() != work.GetModel() {
		writer.refuse(fault.New(fault.NoTarget, fault.NotRun, "engine %q does not hold model %q", p.ID, work.GetModel()))
		return
	}
	if work.GetOnlyHeld() && !p.held.contains(work.GetChat()) {
		writer.refuse(fault.New(fault.NotHeld, fault.NotRun, "the chat's prefix is not cached here"))
		return
	}
	ticket := ticketOf(call, len(work.GetBody()))
	ticket.HomeWait = p.held.maxWait(work.GetChat())
	admitted, refusal := p.gate.Admit(ctx, ticket)
	if refusal != nil {
		writer.refuse(refusal)
		return
	}
	defer admitted.Release()
	if p.pool() != work.GetModel() {
		// The engine changed its model while the request was queued.
		writer.refuse(fault.New(fault.NoTarget, fault.NotRun, "engine %q no longer holds model %q", p.ID, work.GetModel()))
		return
	}
	if writer.admitted() != nil {
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
	p.applyOutcome(target.RetryAfterOf(err), err)
	if err != nil {
		writer.refuse(engineRefusal(err))
		return
	}
	pump := newPump(generation)
	defer pump.close(cancel)
	end := a.stream(ctx, pump, work.GetOffset(), writer)
	if end != nil {
		p.held.add(work.GetChat(), call.GetRequestId(), end.GetPromptTokens()+end.GetCompletionTokens())
	}
}

// engineRefusal distinguishes an engine that did not accept the request from one that
// failed.
func engineRefusal(err error) *fault.Error {
	if rest := target.RetryAfterOf(err); rest > 0 {
		return fault.New(fault.Overloaded, fault.NotRun, "the engine requested a retry delay: %v", err).After(rest)
	}
	if errors.Is(err, target.ErrRefused) {
		return fault.New(fault.TargetFailed, fault.NotRun, "the engine refused: %v", err)
	}
	return fault.New(fault.TargetFailed, fault.Unknown, "the engine failed: %v", err)
}

// pump reads an engine's pieces ahead, so that pieces that arrive while the link is busy
// are sent together in one frame.
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

// stream sends pieces until the answer is complete and returns its end, or nil if the
// answer was interrupted.
func (a *Agent) stream(ctx context.Context, pump *pump, offset int64, writer *replyWriter) *wire.End {
	idle := time.NewTimer(a.options.PieceWait)
	defer idle.Stop()
	next := offset
	for {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				writer.refuse(fault.New(fault.Deadline, fault.Unknown, "the request timed out after %d pieces", next))
			}
			return nil
		case <-idle.C:
			writer.refuse(fault.New(fault.Cut, fault.Unknown, "the engine sent no piece for %v after %d pieces", a.options.PieceWait, next))
			return nil
		case piece, ok := <-pump.pieces:
			if !ok {
				writer.refuse(cutRefusal(ctx, pump.err, next))
				return nil
			}
			idle.Reset(a.options.PieceWait)
			end, more := sendBatch(pump, piece, &next, writer)
			if !more {
				return end
			}
		}
	}
}

// cutRefusal returns the refusal for an interrupted answer.
func cutRefusal(ctx context.Context, err error, next int64) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Deadline, fault.Unknown, "the request timed out after %d pieces", next)
	}
	if errors.Is(err, io.EOF) {
		err = target.ErrCut
	}
	return fault.New(fault.Cut, fault.Unknown, "the engine's stream was interrupted after %d pieces: %v", next, err)
}

// sendBatch sends a piece together with all buffered ones. It returns false when the
// stream has ended, with the answer's end if the answer is complete.
func sendBatch(pump *pump, first target.Piece, next *int64, writer *replyWriter) (*wire.End, bool) {
	data := &wire.Data{Offset: *next}
	piece, more := first, true
	for more && piece.Finish == "" {
		if piece.Index != *next {
			writer.refuse(fault.New(fault.Cut, fault.Unknown, "the engine sent piece %d, expected piece %d", piece.Index, *next))
			return nil, false
		}
		data.Pieces = append(data.Pieces, piece.Text)
		*next++
		piece, more = nextBuffered(pump)
	}
	if len(data.Pieces) > 0 && writer.data(data) != nil {
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
	writer.end(end)
	return end, false
}

// nextBuffered returns the next piece if one is buffered.
func nextBuffered(pump *pump) (target.Piece, bool) {
	select {
	case piece, ok := <-pump.pieces:
		return piece, ok
	default:
		return target.Piece{}, false
	}
}
