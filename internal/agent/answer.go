package agent

import (
	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// replyWriter writes the replies of one call.
type replyWriter struct {
	stream  link.Stream
	id      string
	attempt uint32
	target  *localTarget
}

func (w *replyWriter) reply() *wire.Reply {
	return &wire.Reply{RequestId: w.id, Attempt: w.attempt}
}

func (w *replyWriter) admitted() error {
	reply := w.reply()
	reply.Kind = &wire.Reply_Admitted{Admitted: &wire.Admitted{Load: loadOf(w.target)}}
	return w.stream.Send(reply)
}

func (w *replyWriter) head(head *wire.Head) error {
	reply := w.reply()
	reply.Kind = &wire.Reply_Head{Head: head}
	return w.stream.Send(reply)
}

func (w *replyWriter) data(data *wire.Data) error {
	reply := w.reply()
	reply.Kind = &wire.Reply_Data{Data: data}
	return w.stream.Send(reply)
}

func (w *replyWriter) end(end *wire.End) {
	reply := w.reply()
	reply.Kind = &wire.Reply_End{End: end}
	_ = w.stream.Send(reply)
}

func (w *replyWriter) refuse(refusal *fault.Error) {
	refuse(w.stream, w.id, w.attempt, refusal, &wire.Refusal{Load: loadOf(w.target)})
}

func (w *replyWriter) refuseWithOwner(refusal *fault.Error, owner string) {
	refuse(w.stream, w.id, w.attempt, refusal, &wire.Refusal{Load: loadOf(w.target), Owner: owner})
}

// refuse ends an exchange with an error. extra carries further fields, or is nil.
func refuse(stream link.Stream, id string, attempt uint32, refusal *fault.Error, extra *wire.Refusal) {
	if extra == nil {
		extra = &wire.Refusal{}
	}
	extra.Kind = string(refusal.Kind)
	extra.Message = refusal.Message
	extra.RunState = WireState(refusal.State)
	extra.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	reply := &wire.Reply{RequestId: id, Attempt: attempt, Kind: &wire.Reply_Refusal{Refusal: extra}}
	_ = stream.Send(reply)
}

// WireState converts a run state to its wire form.
func WireState(state fault.RunState) wire.RunState {
	switch state {
	case fault.NotRun:
		return wire.RunState_RUN_STATE_NOT_RUN
	case fault.Ran:
		return wire.RunState_RUN_STATE_RAN
	default:
		return wire.RunState_RUN_STATE_UNKNOWN
	}
}

func loadOf(p *localTarget) *wire.Load {
	if p == nil {
		return nil
	}
	return wireLoad(p.gate.Load())
}

func wireLoad(load admission.Load) *wire.Load {
	return &wire.Load{
		InFlight: uint32(load.InFlight),
		Queued:   uint32(load.Queued),
		Limit:    uint32(load.Limit),
		Leaving:  load.Leaving,
	}
}
