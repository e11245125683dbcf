package agent

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// mostCacheMoves bounds the chats whose KV cache a leaving target hands on.
	mostCacheMoves = 256
	// cacheTimeout bounds the whole handing-on.
	cacheTimeout = 30 * time.Second
	// mostExport bounds what is fetched for one target, in bytes.
	mostExport = 1 << 30
)

// successor is one target that gets chats of a leaving one.
type successor struct {
	address string
	chats   []*wire.HeldChat
}

// handCacheOn lets the next homes of a leaving engine's hottest chats fetch
// their KV cache, so that the chats find their prefixes there. It goes on
// beside the drain and is given up without harm.
func (a *Agent) handCacheOn(ctx context.Context, p *place) {
	if p.Engine == nil || a.options.Cache.KeepOnLeave {
		return
	}
	chats := p.held.hottest(mostCacheMoves)
	if len(chats) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cacheTimeout)
	a.wait.Go(func() {
		defer cancel()
		for id, next := range a.successors(p, chats) {
			a.offerChats(ctx, p, id, next)
		}
	})
}

// successors sorts chats by the target that comes next for each.
func (a *Agent) successors(p *place, chats []*wire.HeldChat) map[string]*successor {
	addresses := make(map[string]string)
	var names []string
	a.options.Members.Visit(func(view member.View) {
		m := view.Member
		if !view.Alive() || m.GetLeaving() {
			return
		}
		for _, t := range m.GetTargets() {
			if t.GetPool() == p.pool() && !t.GetLeaving() && t.GetId() != p.ID {
				names = append(names, t.GetId())
				addresses[t.GetId()] = m.GetLinkAddress()
			}
		}
	})
	next := make(map[string]*successor)
	for _, chat := range chats {
		home := policy.Home(chat.GetChat(), names)
		if home == "" {
			continue
		}
		if next[home] == nil {
			next[home] = &successor{address: addresses[home]}
		}
		next[home].chats = append(next[home].chats, chat)
	}
	return next
}

func (a *Agent) offerChats(ctx context.Context, p *place, id string, next *successor) {
	own, ok := a.options.Members.LinkAddress(a.options.ID)
	if !ok {
		return
	}
	_, err := link.Ask(ctx, a.options.Dialer, next.address, &wire.Open{Kind: &wire.Open_TakeOver{TakeOver: &wire.TakeOver{
		TargetId:    id,
		FromTarget:  p.ID,
		FromAddress: own,
		Chats:       next.chats,
	}}})
	if err != nil {
		a.log.Debug("cache not handed on", "target", p.ID, "to", id, "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cacheMoves += len(next.chats)
}

// CacheMoves counts the chats whose KV cache this agent's targets have handed
// on.
func (a *Agent) CacheMoves() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cacheMoves
}

// serveTakeOver fetches the KV cache of chats from a leaving target.
func (a *Agent) serveTakeOver(take *wire.TakeOver, stream link.Stream) {
	p, ok := a.places[take.GetTargetId()]
	if !ok || p.Engine == nil {
		refuse(stream, "", 0, fault.New(fault.NoTarget, fault.NotRun, "engine %q is not here", take.GetTargetId()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheTimeout)
	defer cancel()
	if err := a.fetchCache(ctx, p, take); err != nil {
		a.log.Debug("cache not fetched", "target", p.ID, "from", take.GetFromTarget(), "error", err)
		refuse(stream, "", 0, fault.New(fault.TargetFailed, fault.NotRun, "%v", err), nil)
		return
	}
	// Coldest first, so that the hottest is the last to be forgotten.
	for _, chat := range slices.Backward(take.GetChats()) {
		p.held.put(chat.GetChat(), chat.GetRequestId(), chat.GetTokens())
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{}}})
}

func (a *Agent) fetchCache(ctx context.Context, p *place, take *wire.TakeOver) error {
	export := &wire.Export{TargetId: take.GetFromTarget()}
	for _, chat := range take.GetChats() {
		export.RequestIds = append(export.RequestIds, chat.GetRequestId())
	}
	stream, err := a.options.Dialer.Open(ctx, take.GetFromAddress(), &wire.Open{Kind: &wire.Open_Export{Export: export}})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := readExport(stream, writer)
		done <- err
		_ = writer.CloseWithError(err)
	}()
	err = p.Engine.ImportKV(ctx, reader)
	_ = reader.Close()
	return errors.CombineErrors(err, <-done)
}

// readExport writes an export's parts in order; a cut one is an error.
func readExport(stream link.Stream, into io.Writer) error {
	var length int64
	for {
		reply := new(wire.Reply)
		if err := stream.Recv(reply); err != nil {
			return errors.Wrap(err, "export broke off")
		}
		if end := reply.GetEnd(); end != nil {
			if end.GetLength() != length {
				return errors.Newf("export has %d bytes, %d came", end.GetLength(), length)
			}
			return nil
		}
		if refusal := reply.GetRefusal(); refusal != nil {
			return errors.Newf("export refused: %s", refusal.GetMessage())
		}
		data := reply.GetData().GetBytes()
		length += int64(len(data))
		if length > mostExport {
			return errors.Newf("export is over %d bytes", mostExport)
		}
		if _, err := into.Write(data); err != nil {
			return errors.Wrap(err, "import broke off")
		}
	}
}

// serveExport streams the KV cache of requests to another agent.
func (a *Agent) serveExport(ctx context.Context, export *wire.Export, stream link.Stream) {
	p, ok := a.places[export.GetTargetId()]
	if !ok || p.Engine == nil {
		refuse(stream, "", 0, fault.New(fault.NoTarget, fault.NotRun, "engine %q is not here", export.GetTargetId()), nil)
		return
	}
	writer := &exportWriter{stream: stream}
	if err := p.Engine.ExportKV(ctx, export.GetRequestIds(), writer); err != nil {
		refuse(stream, "", 0, fault.New(fault.TargetFailed, fault.NotRun, "%v", err), nil)
		return
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Length: writer.length}}})
}

// exportWriter sends what is written as parts of an answer.
type exportWriter struct {
	stream link.Stream
	length int64
}

// Write sends one or more parts.
func (w *exportWriter) Write(data []byte) (int, error) {
	for part := range slices.Chunk(data, frameBytes) {
		reply := &wire.Reply{Kind: &wire.Reply_Data{Data: &wire.Data{Offset: w.length, Bytes: bytes.Clone(part)}}}
		if err := w.stream.Send(reply); err != nil {
			return 0, err
		}
		w.length += int64(len(part))
	}
	return len(data), nil
}
