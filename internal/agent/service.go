package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// frameBytes is the largest part of a body in one frame.
const frameBytes = 32 << 10

// KeyHeader marks a request as not repeatable.
const KeyHeader = "Idempotency-Key"

// serveService runs one call of a plain service.
func (a *Agent) serveService(ctx context.Context, p *place, call *wire.Call, work *wire.ServiceWork, answer *answer) {
	if p.Service == nil || p.Pool != work.GetService() {
		answer.refuse(fault.New(fault.NoTarget, fault.NotRun, "target %q does not serve %q", p.ID, work.GetService()))
		return
	}
	if work.GetKey() != "" {
		a.serveKeyed(ctx, p, call, work, answer)
		return
	}
	admitted, refusal := p.gate.Admit(ctx, ticketOf(call, len(work.GetBody())))
	if refusal != nil {
		answer.refuse(refusal)
		return
	}
	defer admitted.Release()
	if answer.admitted() != nil {
		return
	}
	response, err := p.Service.Do(ctx, serviceRequest(work))
	p.heedRest(response.Rest, err)
	if err != nil {
		answer.refuse(serviceRefusal(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	passBody(response, answer)
}

func serviceRequest(work *wire.ServiceWork) target.ServiceRequest {
	header := make(http.Header)
	for _, h := range work.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	if work.GetKey() != "" {
		header.Set(KeyHeader, work.GetKey())
	}
	return target.ServiceRequest{Method: work.GetMethod(), Path: work.GetPath(), Header: header, Body: work.GetBody()}
}

func serviceRefusal(err error) *fault.Error {
	if errors.Is(err, target.ErrRefused) {
		return fault.New(fault.TargetFailed, fault.NotRun, "the service refused: %v", err)
	}
	return fault.New(fault.TargetFailed, fault.Unknown, "the service failed: %v", err)
}

func headOf(response target.ServiceResponse) *wire.Head {
	head := &wire.Head{Status: int32(response.Status)}
	for name, values := range response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return head
}

// passBody streams an answer's body as it comes.
func passBody(response target.ServiceResponse, answer *answer) {
	if answer.head(headOf(response)) != nil {
		return
	}
	buffer := make([]byte, frameBytes)
	var offset int64
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if answer.data(&wire.Data{Offset: offset, Bytes: buffer[:n]}) != nil {
				return
			}
			offset += int64(n)
		}
		if errors.Is(err, io.EOF) {
			answer.end(&wire.End{Length: offset})
			return
		}
		if err != nil {
			answer.refuse(fault.New(fault.Cut, fault.Unknown, "the service's answer broke after %d bytes: %v", offset, err))
			return
		}
	}
}

// printOf hashes what a repeat must have in common with the first request.
func printOf(work *wire.ServiceWork) uint64 {
	digest := xxhash.New()
	for _, part := range []string{work.GetMethod(), work.GetPath()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(work.GetBody())
	return digest.Sum64()
}

// serveKeyed runs a request that may not be repeated, or answers from the
// record of its run. The run goes on when the caller goes away.
func (a *Agent) serveKeyed(ctx context.Context, p *place, call *wire.Call, work *wire.ServiceWork, answer *answer) {
	k := a.keepers[p.Pool]
	at, err := once.ParseKey(work.GetKey())
	if err != nil {
		answer.refuse(fault.New(fault.NeedsKey, fault.Unknown, "%v", err))
		return
	}
	fullKey := once.FullKey(call.GetWorkspace(), work.GetKey())
	begun, refusal := k.guard.Begin(fullKey, at, printOf(work))
	if refusal != nil {
		answer.refuseTo(refusal, k.guard.OwnerOf(fullKey))
		return
	}
	waiting := keyedAnswer{keeper: k, record: begun.Record, replayed: !begun.Run}
	if begun.Run {
		// The record keeps only so much of a body; whoever asked first gets
		// all of it.
		waiting.whole = new(once.Outcome)
		a.runs.Go(func() { a.runKeyed(p, k, call, work, waiting) })
	}
	waiting.send(ctx, answer)
}

// keyedAnswer is one caller's wait for the end of a key's run.
type keyedAnswer struct {
	keeper *keeper
	record *once.Record
	// replayed says that another request began the run.
	replayed bool
	// whole is the untrimmed outcome for the request that began the run; it
	// is written before the record ends.
	whole *once.Outcome
}

// runKeyed admits and runs a keyed request; whatever happens, the record ends.
func (a *Agent) runKeyed(p *place, k *keeper, call *wire.Call, work *wire.ServiceWork, waiting keyedAnswer) {
	record := waiting.record
	ctx, cancel := context.WithTimeout(context.Background(), a.options.RunTimeout)
	defer cancel()
	queueTime := time.Duration(call.GetTimeLeftMs()) * time.Millisecond
	queueCtx, cancelQueue := context.WithTimeout(ctx, queueTime)
	defer cancelQueue()
	admitted, refusal := p.gate.Admit(queueCtx, ticketOf(call, len(work.GetBody())))
	if refusal != nil {
		k.reopen(record, refusal)
		return
	}
	defer admitted.Release()
	response, err := p.Service.Do(ctx, serviceRequest(work))
	p.heedRest(response.Rest, err)
	if errors.Is(err, target.ErrRefused) {
		k.reopen(record, serviceRefusal(err))
		return
	}
	if err != nil {
		a.log.Warn("outcome of a keyed request is lost", "target", p.ID, "request", call.GetRequestId(), "error", err)
		k.end(record, once.InDoubt, once.Outcome{})
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, a.options.MaxAnswerBytes))
	if err != nil {
		k.end(record, once.InDoubt, once.Outcome{})
		return
	}
	*waiting.whole = once.Outcome{Head: headOf(response), Body: body}
	k.end(record, once.Done, *waiting.whole)
}

// send waits for the record's end and passes its outcome on.
func (w keyedAnswer) send(ctx context.Context, answer *answer) {
	select {
	case <-w.record.Ended():
	case <-ctx.Done():
		answer.refuse(fault.New(fault.Deadline, fault.Unknown, "the request still runs; ask again with the same key").After(time.Second))
		return
	}
	state, outcome := w.keeper.guard.Snapshot(w.record)
	if w.whole != nil && state == once.Done {
		outcome = *w.whole
	}
	switch {
	case state == once.Done && outcome.Trimmed:
		answer.refuse(fault.New(fault.Cut, fault.Ran, "the request ran; its answer was too large to keep"))
	case state == once.Done:
		sendOutcome(outcome, w.replayed, answer)
	case state == once.Closed:
		answer.refuse(fault.New(fault.KeyClosed, fault.NotRun, "the key was closed before it ran; use a new key"))
	case state == once.Reopened:
		answer.refuse(whyReopened(w.record.Why))
	default:
		answer.refuse(fault.New(fault.KeyInDoubt, fault.Unknown, "the request was sent to the service and its outcome is lost"))
	}
}

func sendOutcome(outcome once.Outcome, replayed bool, answer *answer) {
	if answer.head(outcome.Head) != nil {
		return
	}
	reader := bytes.NewReader(outcome.Body)
	for offset := int64(0); reader.Len() > 0; {
		part := make([]byte, min(frameBytes, reader.Len()))
		n, _ := reader.Read(part)
		if answer.data(&wire.Data{Offset: offset, Bytes: part[:n]}) != nil {
			return
		}
		offset += int64(n)
	}
	answer.end(&wire.End{Length: int64(len(outcome.Body)), Replayed: replayed})
}

// serveSettle says what became of a key, closing it if it never ran.
func (a *Agent) serveSettle(ctx context.Context, settle *wire.Settle, stream link.Stream) {
	answer := &answer{stream: stream, id: settle.GetRequestId()}
	k, ok := a.keepers[settle.GetService()]
	if !ok {
		answer.refuse(fault.New(fault.UnknownService, fault.Unknown, "service %q is not here", settle.GetService()))
		return
	}
	at, err := once.ParseKey(settle.GetKey())
	if err != nil {
		answer.refuse(fault.New(fault.NeedsKey, fault.Unknown, "%v", err))
		return
	}
	fullKey := once.FullKey(settle.GetWorkspace(), settle.GetKey())
	record, refusal := k.guard.Settle(fullKey, at)
	if refusal != nil {
		answer.refuseTo(refusal, k.guard.OwnerOf(fullKey))
		return
	}
	keyedAnswer{keeper: k, record: record, replayed: true}.send(ctx, answer)
}
