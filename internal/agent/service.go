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

// frameBytes is the maximum part of a body in one frame.
const frameBytes = 32 << 10

// KeyHeader marks a request that must not be repeated.
const KeyHeader = "Idempotency-Key"

// serveService runs one call of a plain service.
func (a *Agent) serveService(ctx context.Context, p *localTarget, call *wire.Call, work *wire.ServiceWork, writer *replyWriter) {
	if p.Service == nil || p.Pool != work.GetService() {
		writer.refuse(fault.New(fault.NoTarget, fault.NotRun, "target %q does not serve %q", p.ID, work.GetService()))
		return
	}
	if work.GetKey() != "" {
		a.serveKeyed(ctx, p, call, work, writer)
		return
	}
	admitted, refusal := p.gate.Admit(ctx, ticketOf(call, len(work.GetBody())))
	if refusal != nil {
		writer.refuse(refusal)
		return
	}
	defer admitted.Release()
	if writer.admitted() != nil {
		return
	}
	response, err := p.Service.Do(ctx, serviceRequest(work))
	p.applyOutcome(response.RetryAfter, err)
	if err != nil {
		writer.refuse(serviceRefusal(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	streamBody(response, writer)
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

// streamBody streams an answer's body as it arrives.
func streamBody(response target.ServiceResponse, writer *replyWriter) {
	if writer.head(headOf(response)) != nil {
		return
	}
	buffer := make([]byte, frameBytes)
	var offset int64
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writer.data(&wire.Data{Offset: offset, Bytes: buffer[:n]}) != nil {
				return
			}
			offset += int64(n)
		}
		if errors.Is(err, io.EOF) {
			writer.end(&wire.End{Length: offset})
			return
		}
		if err != nil {
			writer.refuse(fault.New(fault.Cut, fault.Unknown, "the service's answer was interrupted after %d bytes: %v", offset, err))
			return
		}
	}
}

// fingerprintOf hashes what a repeat must have in common with the first request.
func fingerprintOf(work *wire.ServiceWork) uint64 {
	digest := xxhash.New()
	for _, part := range []string{work.GetMethod(), work.GetPath()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(work.GetBody())
	return digest.Sum64()
}

// serveKeyed runs a request that must not be repeated, or answers from the record of its
// run. The run continues when the caller disconnects.
func (a *Agent) serveKeyed(ctx context.Context, p *localTarget, call *wire.Call, work *wire.ServiceWork, writer *replyWriter) {
	manager := a.slotManagers[p.Pool]
	keyTime, err := once.ParseKey(work.GetKey())
	if err != nil {
		writer.refuse(fault.New(fault.NeedsKey, fault.Unknown, "%v", err))
		return
	}
	fullKey := once.FullKey(call.GetWorkspace(), work.GetKey())
	entry, refusal := manager.guard.Begin(fullKey, keyTime, fingerprintOf(work))
	if refusal != nil {
		writer.refuseWithOwner(refusal, manager.guard.OwnerOf(fullKey))
		return
	}
	waiter := keyedWaiter{manager: manager, record: entry.Record, replayed: !entry.Run}
	if entry.Run {
		// The record keeps only a limited part of a body. The request that began the run
		// gets all of it.
		waiter.fullOutcome = new(once.Outcome)
		a.keyedRuns.Go(func() { a.runKeyed(p, manager, call, work, waiter) })
	}
	waiter.send(ctx, writer)
}

// keyedWaiter is one caller's wait for the end of a key's run.
type keyedWaiter struct {
	manager *slotManager
	record  *once.Record
	// replayed is true if another request began the run.
	replayed bool
	// fullOutcome is the untrimmed outcome for the request that began the run. It is
	// written before the record ends.
	fullOutcome *once.Outcome
}

// runKeyed admits and runs a keyed request. The record ends in every case.
func (a *Agent) runKeyed(p *localTarget, manager *slotManager, call *wire.Call, work *wire.ServiceWork, waiter keyedWaiter) {
	record := waiter.record
	ctx, cancel := context.WithTimeout(context.Background(), a.options.RunTimeout)
	defer cancel()
	queueTime := time.Duration(call.GetTimeLeftMs()) * time.Millisecond
	queueCtx, cancelQueue := context.WithTimeout(ctx, queueTime)
	defer cancelQueue()
	admitted, refusal := p.gate.Admit(queueCtx, ticketOf(call, len(work.GetBody())))
	if refusal != nil {
		manager.reopen(record, refusal)
		return
	}
	defer admitted.Release()
	response, err := p.Service.Do(ctx, serviceRequest(work))
	p.applyOutcome(response.RetryAfter, err)
	if errors.Is(err, target.ErrRefused) {
		manager.reopen(record, serviceRefusal(err))
		return
	}
	if err != nil {
		a.log.Warn("outcome of a keyed request is lost", "target", p.ID, "request", call.GetRequestId(), "error", err)
		manager.recordEnd(record, once.InDoubt, once.Outcome{})
		return
	}
	defer func() { _ = response.Body.Close() }()
	outcome, err := outcomeOf(response, a.options.MaxAnswerBytes)
	if err != nil {
		a.log.Warn("the answer to a keyed request broke off", "target", p.ID, "request", call.GetRequestId(), "error", err)
		manager.recordEnd(record, once.InDoubt, once.Outcome{})
		return
	}
	*waiter.fullOutcome = outcome
	manager.recordEnd(record, once.Done, outcome)
}

// outcomeOf reads a target's answer. A body of more than limit bytes is not kept: what was read of it
// would pass for the whole.
func outcomeOf(response target.ServiceResponse, limit int64) (once.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return once.Outcome{}, errors.Wrap(err, "read the answer")
	}
	if int64(len(body)) > limit {
		return once.Outcome{Head: headOf(response), Trimmed: true}, nil
	}
	return once.Outcome{Head: headOf(response), Body: body}, nil
}

// send waits for the record's end and sends its outcome.
func (w keyedWaiter) send(ctx context.Context, writer *replyWriter) {
	select {
	case <-w.record.Ended():
	case <-ctx.Done():
		writer.refuse(fault.New(fault.Deadline, fault.Unknown, "the request is still running; retry with the same key").After(time.Second))
		return
	}
	state, outcome := w.manager.guard.Snapshot(w.record)
	if w.fullOutcome != nil && state == once.Done {
		outcome = *w.fullOutcome
	}
	switch {
	case state == once.Done && outcome.Trimmed:
		writer.refuse(fault.New(fault.Cut, fault.Ran, "the request ran; its answer was too large to keep"))
	case state == once.Done:
		sendOutcome(outcome, w.replayed, writer)
	case state == once.Closed:
		writer.refuse(fault.New(fault.KeyClosed, fault.NotRun, "the key was closed before it ran; use a new key"))
	case state == once.Reopened:
		writer.refuse(reopenedRefusal(w.record.Cause))
	default:
		writer.refuse(fault.New(fault.KeyInDoubt, fault.Unknown, "the request was sent to the service and its outcome is lost"))
	}
}

func sendOutcome(outcome once.Outcome, replayed bool, writer *replyWriter) {
	if writer.head(outcome.Head) != nil {
		return
	}
	reader := bytes.NewReader(outcome.Body)
	for offset := int64(0); reader.Len() > 0; {
		part := make([]byte, min(frameBytes, reader.Len()))
		n, _ := reader.Read(part)
		if writer.data(&wire.Data{Offset: offset, Bytes: part[:n]}) != nil {
			return
		}
		offset += int64(n)
	}
	writer.end(&wire.End{Length: int64(len(outcome.Body)), Replayed: replayed})
}

// serveSettle replies with the outcome of a key, and closes the key if it never ran.
func (a *Agent) serveSettle(ctx context.Context, settle *wire.Settle, stream link.Stream) {
	writer := &replyWriter{stream: stream, id: settle.GetRequestId()}
	manager, ok := a.slotManagers[settle.GetService()]
	if !ok {
		writer.refuse(fault.New(fault.UnknownService, fault.Unknown, "service %q is not on this host", settle.GetService()))
		return
	}
	keyTime, err := once.ParseKey(settle.GetKey())
	if err != nil {
		writer.refuse(fault.New(fault.NeedsKey, fault.Unknown, "%v", err))
		return
	}
	fullKey := once.FullKey(settle.GetWorkspace(), settle.GetKey())
	record, refusal := manager.guard.Settle(fullKey, keyTime)
	if refusal != nil {
		writer.refuseWithOwner(refusal, manager.guard.OwnerOf(fullKey))
		return
	}
	keyedWaiter{manager: manager, record: record, replayed: true}.send(ctx, writer)
}
