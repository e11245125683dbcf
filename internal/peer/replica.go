package peer

import (
	"context"
	"math/rand/v2"
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
		s.patience = s.pullPause(now)
	}
	if s.pulling || now.Sub(s.behindSince) < s.patience {
		return
	}
	s.pulling = true
	id, address := ahead.id, ahead.address
	s.wait.Go(func() { s.pull(id, address) })
}

// pullPause is how long this process waits before it fetches what it lacks: a
// process that asks the store itself gives the store's own word a moment first,
// and one among many waits for a random time, by when others have it too.
func (s *Service) pullPause(now time.Time) time.Duration {
	if s.options.Replica.Reachable() && s.table.asks(now) {
		return pullPatience
	}
	if len(s.table.live(now)) > fewPeers {
		return rand.N(mostPullPause)
	}
	return 0
}

// ahead is one of the live peers whose replicas have reached a higher revision
// than this process's own; nil if there is none. Any of them will do: if all
// took the one furthest ahead, they would come to it at the same time.
func (s *Service) ahead(now time.Time) *peer {
	var found []*peer
	own := s.options.Replica.Revision()
	for _, known := range s.table.live(now) {
		if known.revision > own {
			found = append(found, known)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rand.IntN(len(found))]
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
