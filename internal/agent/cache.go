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
	// maxCacheHandOver limits the chats whose KV cache a leaving target hands over.
	maxCacheHandOver = 256
	// cacheHandOverTimeout limits the whole hand-over.
	cacheHandOverTimeout = 30 * time.Second
	// maxExportBytes limits what is fetched for one target.
	maxExportBytes = 1 << 30
)

// successor is a target that takes over chats of a leaving one.
type successor struct {
	address string
	chats   []*wire.HeldChat
}

// handOverCache lets the next targets of a leaving engine's most recently used chats
// fetch their KV cache, so that these chats find their prefixes there. It runs
// concurrently with the drain, and its failure does no harm.
func (a *Agent) handOverCache(ctx context.Context, p *localTarget) {
	if p.Engine == nil || a.options.Cache.KeepOnLeave {
		return
	}
	chats := p.held.mostRecent(maxCacheHandOver)
	if len(chats) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cacheHandOverTimeout)
	a.wg.Go(func() {
		defer cancel()
		for id, next := range a.successors(p, chats) {
			a.offerChats(ctx, p, id, next)
		}
	})
}

// successors groups chats by the target that comes next for each.
func (a *Agent) successors(p *localTarget, chats []*wire.HeldChat) map[string]*successor {
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
		successorID := policy.Home(chat.GetChat(), names)
		if successorID == "" {
			continue
		}
		if next[successorID] == nil {
			next[successorID] = &successor{address: addresses[successorID]}
		}
		next[successorID].chats = append(next[successorID].chats, chat)
	}
	return next
}

func (a *Agent) offerChats(ctx context.Context, p *localTarget, id string, next *successor) {
	ownAddress, ok := a.options.Members.LinkAddress(a.options.ID)
	if !ok {
		return
	}
	_, err := link.Ask(ctx, a.options.Dialer, next.address, &wire.Open{Kind: &wire.Open_TakeOver{TakeOver: &wire.TakeOver{
		TargetId:    id,
		FromTarget:  p.ID,
		FromAddress: ownAddress,
		Chats:       next.chats,
	}}})
	if err != nil {
		a.log.Debug("KV cache not handed over", "target", p.ID, "to", id, "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cacheMoves += len(next.chats)
}

// CacheMoves returns the number of chats whose KV cache this agent's targets have handed
// over.
func (a *Agent) CacheMoves() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cacheMoves
}

// serveTakeOver fetches the KV cache of chats from a leaving target.
func (a *Agent) serveTakeOver(takeOver *wire.TakeOver, stream link.Stream) {
	p, ok := a.targets[takeOver.GetTargetId()]
	if !ok || p.Engine == nil {
		refuse(stream, "", 0, fault.New(fault.NoTarget, fault.NotRun, "engine %q is not on this host", takeOver.GetTargetId()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheHandOverTimeout)
	defer cancel()
	if err := a.fetchCache(ctx, p, takeOver); err != nil {
		a.log.Debug("KV cache not fetched", "target", p.ID, "from", takeOver.GetFromTarget(), "error", err)
		refuse(stream, "", 0, fault.New(fault.TargetFailed, fault.NotRun, "%v", err), nil)
		return
	}
	// Add the least recently used first, so that the most recently used is evicted last.
	for _, chat := range slices.Backward(takeOver.GetChats()) {
		p.held.add(chat.GetChat(), chat.GetRequestId(), chat.GetTokens())
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{}}})
}

func (a *Agent) fetchCache(ctx context.Context, p *localTarget, takeOver *wire.TakeOver) error {
	export := &wire.Export{TargetId: takeOver.GetFromTarget()}
	for _, chat := range takeOver.GetChats() {
		export.RequestIds = append(export.RequestIds, chat.GetRequestId())
	}
	stream, err := a.options.Dialer.Open(ctx, takeOver.GetFromAddress(), &wire.Open{Kind: &wire.Open_Export{Export: export}})
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

// readExport writes an export's parts in order. An incomplete export is an error.
func readExport(stream link.Stream, into io.Writer) error {
	var length int64
	for {
		reply := new(wire.Reply)
		if err := stream.Recv(reply); err != nil {
			return errors.Wrap(err, "export interrupted")
		}
		if end := reply.GetEnd(); end != nil {
			if end.GetLength() != length {
				return errors.Newf("export has %d bytes, received %d", end.GetLength(), length)
			}
			return nil
		}
		if refusal := reply.GetRefusal(); refusal != nil {
			return errors.Newf("export refused: %s", refusal.GetMessage())
		}
		data := reply.GetData().GetBytes()
		length += int64(len(data))
		if length > maxExportBytes {
			return errors.Newf("export is over %d bytes", maxExportBytes)
		}
		if _, err := into.Write(data); err != nil {
			return errors.Wrap(err, "import interrupted")
		}
	}
}

// serveExport streams the KV cache of requests to another agent.
func (a *Agent) serveExport(ctx context.Context, export *wire.Export, stream link.Stream) {
	p, ok := a.targets[export.GetTargetId()]
	if !ok || p.Engine == nil {
		refuse(stream, "", 0, fault.New(fault.NoTarget, fault.NotRun, "engine %q is not on this host", export.GetTargetId()), nil)
		return
	}
	writer := &exportWriter{stream: stream}
	if err := p.Engine.ExportKV(ctx, export.GetRequestIds(), writer); err != nil {
		refuse(stream, "", 0, fault.New(fault.TargetFailed, fault.NotRun, "%v", err), nil)
		return
	}
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Length: writer.length}}})
}

// exportWriter sends the bytes written to it as parts of an answer.
type exportWriter struct {
	stream link.Stream
	length int64
}

// Write sends data in one or more parts.
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
