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

// catchUp fetches the replica of a peer that is ahead. A process that asks the store itself first
// waits briefly for the store's own answer.
func (s *Service) catchUp(now time.Time) {
	ahead := s.peerAhead(now)
	if ahead == nil {
		s.behindSince = time.Time{}
		return
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
		if s.awaitsStore(now) {
			time.AfterFunc(storeAnswerDelay, s.wake)
		}
	}
	if s.pulling || s.proofs.pending.at.IsZero() && s.awaitsStore(now) {
		return
	}
	s.pulling = true
	id, address := ahead.id, ahead.address
	s.wait.Go(func() { s.pull(id, address) })
}

// awaitsStore reports whether the store's own answer is likely to arrive in a moment. A process
// with an empty replica doesn't wait: a peer's packed copy is a tenth of the size of what the
// store sends, which on a small host's link determines how soon it can serve.
func (s *Service) awaitsStore(now time.Time) bool {
	if s.options.Replica.Revision() == 0 {
		return false
	}
	asks := s.options.Replica.Reachable() && s.currentView(now).asksStore()
	return asks && now.Sub(s.behindSince) < storeAnswerDelay
}

// failedPullBackoff is how long a peer from which a pull has failed is avoided while another one
// is ahead too. It may be cut off from this process in one direction.
const failedPullBackoff = 2 * time.Second

// peerAhead returns the live peer with the highest revision above this process's own; nil if there
// is none. The parent is preferred to all others, and a peer from which a pull recently failed
// comes last.
func (s *Service) peerAhead(now time.Time) *peer {
	ownRevision := s.options.Replica.Revision()
	best := s.currentView(now).parent()
	if best != nil && best.revision > ownRevision && now.Sub(best.pullFailedAt) >= failedPullBackoff {
		return best
	}
	best = nil
	live := s.currentView(now).live
	offset := 0
	if ownRevision == 0 && len(live) > 0 {
		// Processes that start together must not all ask the same peer of a class.
		offset = rand.IntN(len(live))
	}
	for i := range live {
		p := live[(offset+i)%len(live)]
		if p.revision > ownRevision && (best == nil || betterSource(p, best, ownRevision == 0, now)) {
			best = p
		}
	}
	return best
}

// betterSource reports whether to pull from one peer rather than from another. For a whole copy a
// larger host is better, since it packs and sends it faster. What its copy lacks is fetched
// afterwards.
func betterSource(one, other *peer, whole bool, now time.Time) bool {
	oneFailed, otherFailed := now.Sub(one.pullFailedAt) < failedPullBackoff, now.Sub(other.pullFailedAt) < failedPullBackoff
	if oneFailed != otherFailed {
		return otherFailed
	}
	if whole {
		return one.class > other.class
	}
	return one.revision > other.revision
}

// pull fetches the changes from one peer.
func (s *Service) pull(id, address string) {
	question := s.options.Replica.Pull()
	from := question.GetSince()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	open := &wire.Open{Kind: &wire.Open_Replica{Replica: question}}
	asked := clock.Now()
	reply, err := link.Ask(ctx, s.dialer, address, open)
	if err == nil {
		err = s.applyPage(reply, asked)
	}
	s.options.Watcher.ReplicaFetched(id, from, s.options.Replica.Revision(), err)
	s.settlePendingProof()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	s.behindSince = time.Time{}
	if from == 0 && err == nil {
		s.table.setSource(id)
		s.cachedView = nil
	}
	if p := s.table.peers[id]; p != nil && err != nil {
		p.pullFailedAt = clock.Now()
	}
	if err == nil {
		s.wake() // others may get the changes from this gateway
	}
}

// applyPage applies a page and the proof that came with it. The page was requested at asked, and
// the peer made it after that. Without this proof, a starting process would have to wait for an
// answer to one of its own heartbeats before it can vouch for a key, up to a second if hundreds
// start together.
func (s *Service) applyPage(reply *wire.Reply, asked time.Time) error {
	page := reply.GetReplica()
	if page == nil {
		return errors.New("peer sent no replica page")
	}
	if err := s.options.Replica.Absorb(page); err != nil {
		return err
	}
	if page.GetHasProof() {
		s.options.Proof.Note(asked.Add(-time.Duration(page.GetProofAgeMs()) * time.Millisecond))
	}
	return nil
}

// maxWholePages limits the whole copies that are sent concurrently. More of them would share a
// small host's link for so long that none arrives in time, whereas each copy that has arrived can
// be passed on.
const maxWholePages = 4

// Handle answers a peer's request over a link.
func (s *Service) Handle(_ context.Context, open *wire.Open, stream link.Stream) {
	pull := open.GetReplica()
	if pull == nil {
		return
	}
	if pull.GetSince() == 0 {
		if s.wholePages.Add(1) > maxWholePages {
			s.wholePages.Add(-1)
			return // the caller asks another peer, or the store
		}
		defer s.wholePages.Add(-1)
	}
	// The age is read before the page is made, since the page can only become newer in between.
	age, proven := s.proofAge()
	page := s.options.Replica.Page(pull)
	page.ProofAgeMs, page.HasProof = age, proven
	_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Replica{Replica: page}})
}
