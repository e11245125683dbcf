package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// catchUp fetches the replica of a peer that is ahead. A process that asks the
// store itself gives the store's own word a moment first.
func (s *Service) catchUp(now time.Time) {
	ahead := s.ahead(now)
	if ahead == nil {
		s.behindSince = time.Time{}
		return
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	asking := s.options.Replica.Reachable() && s.table.asks(now)
	if s.pulling || asking && now.Sub(s.behindSince) < pullPatience {
		return
	}
	s.pulling = true
	id, address := ahead.id, ahead.address
	s.wait.Go(func() { s.pull(id, address) })
}

// ahead is the live peer whose replica has reached the highest revision above
// this process's own; nil if there is none.
func (s *Service) ahead(now time.Time) *peer {
	var best *peer
	own := s.options.Replica.Revision()
	for _, known := range s.table.live(now) {
		if known.revision > own && (best == nil || known.revision > best.revision) {
			best = known
		}
	}
	return best
}

// pull fetches what has changed from one peer.
func (s *Service) pull(id, address string) {
	from := s.options.Replica.Revision()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	open := &wire.Open{Kind: &wire.Open_Replica{Replica: &wire.ReplicaPull{Since: from}}}
	reply, err := link.Ask(ctx, s.dialer, address, open)
	if err == nil {
		err = s.absorb(reply)
	}
	s.options.Watcher.ReplicaFetched(id, from, s.options.Replica.Revision(), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	s.behindSince = time.Time{}
}

func (s *Service) absorb(reply *wire.Reply) error {
	page := reply.GetReplica()
	if page == nil {
		return errors.New("the peer sent no replica")
	}
	s.options.Replica.Absorb(page)
	return nil
}

// Handle answers a peer's call over a link.
func (s *Service) Handle(_ context.Context, open *wire.Open, stream link.Stream) {
	pull := open.GetReplica()
	if pull == nil {
		return
	}
	page := s.options.Replica.Page(pull.GetSince())
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Replica{Replica: page}})
}
