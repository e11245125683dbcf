package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// catchUp fetches the replica of a peer that is ahead. A process that asks the
// store itself waits a moment for the store's own answer.
func (s *Service) catchUp(now time.Time) {
	ahead := s.ahead(now)
	if ahead == nil {
		s.behindSince = time.Time{}
		return
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if s.pulling || s.answerIsNear(now) {
		return
	}
	s.pulling = true
	id, address := ahead.id, ahead.address
	s.wait.Go(func() { s.pull(id, address) })
}

// answerIsNear says whether the store's own answer is likely to be here in a
// moment. A process that holds nothing yet does not wait for it: a peer's
// packed copy is a tenth of what the store sends, and on a small host's link
// that is the time until it can serve.
func (s *Service) answerIsNear(now time.Time) bool {
	if s.options.Replica.Revision() == 0 {
		return false
	}
	asks := s.options.Replica.Reachable() && s.look(now).asks()
	return asks && now.Sub(s.behindSince) < pullPatience
}

// avoidFor is how long a peer from which a pull has failed is not asked while
// another one is ahead too: it may be cut off from this process in one way.
const avoidFor = 2 * time.Second

// ahead is the live peer whose replica has reached the highest revision above
// this process's own, the parent before all others; nil if there is none. One
// that did not answer lately comes last.
func (s *Service) ahead(now time.Time) *peer {
	own := s.options.Replica.Revision()
	best := s.look(now).parent()
	if best != nil && best.revision > own && now.Sub(best.failedAt) >= avoidFor {
		return best
	}
	best = nil
	live := s.look(now).live
	first := 0
	if own == 0 && len(live) > 0 {
		// Many that begin together must not all ask the same one of a class.
		first = rand.IntN(len(live))
	}
	for i := range live {
		known := live[(first+i)%len(live)]
		if known.revision > own && (best == nil || better(known, best, own == 0, now)) {
			best = known
		}
	}
	return best
}

// better says whether to ask one peer rather than another: for a whole copy one on a
// larger host, which packs and sends it sooner; what it may lack is fetched
// afterwards.
func better(one, other *peer, whole bool, now time.Time) bool {
	oneFailed, otherFailed := now.Sub(one.failedAt) < avoidFor, now.Sub(other.failedAt) < avoidFor
	if oneFailed != otherFailed {
		return otherFailed
	}
	if whole {
		return one.class > other.class
	}
	return one.revision > other.revision
}

// pull fetches what has changed from one peer.
func (s *Service) pull(id, address string) {
	question := s.options.Replica.Pull()
	from := question.GetSince()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	open := &wire.Open{Kind: &wire.Open_Replica{Replica: question}}
	asked := clock.Now()
	reply, err := link.Ask(ctx, s.dialer, address, open)
	if err == nil {
		err = s.absorb(reply, asked)
	}
	s.options.Watcher.ReplicaFetched(id, from, s.options.Replica.Revision(), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	s.behindSince = time.Time{}
	if from == 0 && err == nil {
		s.table.follow(id)
		s.seen = nil
	}
	if known := s.table.peers[id]; known != nil && err != nil {
		known.failedAt = clock.Now()
	}
}

// absorb takes a page that was asked for at a time, and the proof that came with
// it: the peer made the page after it was asked. A process that begins would else
// wait for an answer to a beat of its own before it can vouch for a key, up to a
// second among hundreds that begin together.
func (s *Service) absorb(reply *wire.Reply, asked time.Time) error {
	page := reply.GetReplica()
	if page == nil {
		return errors.New("the peer sent no replica")
	}
	if err := s.options.Replica.Absorb(page); err != nil {
		return err
	}
	if page.GetHasProof() {
		s.options.Proof.Note(asked.Add(-time.Duration(page.GetProofAgeMs()) * time.Millisecond))
	}
	return nil
}

// mostWholePages is how many whole copies are sent at the same time: more of
// them share a small host's link for so long that none arrives in time, while
// each that has arrived can be passed on.
const mostWholePages = 4

// Handle answers a peer's call over a link.
func (s *Service) Handle(_ context.Context, open *wire.Open, stream link.Stream) {
	pull := open.GetReplica()
	if pull == nil {
		return
	}
	if pull.GetSince() == 0 {
		if s.wholePages.Add(1) > mostWholePages {
			s.wholePages.Add(-1)
			return // the caller asks another one, or the store
		}
		defer s.wholePages.Add(-1)
	}
	// The age is read before the page is made: a page may only bring more.
	age, proven := s.proofAge()
	page := s.options.Replica.Page(pull)
	page.ProofAgeMs, page.HasProof = age, proven
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Replica{Replica: page}})
}
