package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// When a target crashes, each gateway knows which of its own requests were in flight there: up to
// 64 over all gateways, one of which is to blame. The keepers of a request, the first few gateways
// in its rendezvous order, receive each of its records and sum the crashes over gateways. Only a
// request with several crashes concerns all gateways. Each gateway that learns of its record
// forwards it to a few others chosen at random. So the crash of a target costs a gateway some
// hundred bytes, whatever the number of gateways. Records merge in any order and any number of
// times, so repeating one is harmless.
//
// Datagrams get lost, and gateways are cut off, killed and restarted. So records are sent several
// times, to gateways that are newly found, and to new keepers in place of lost ones. In addition,
// heartbeats carry a hash of the held requests, and a peer with a different hash is sent the
// records. Suspicions that targets have ended are parts of the records and sent in the same way.

const (
	// CrashKeepers is the number of gateways that keep the records of a request. Two of them may be
	// lost in the short time until new keepers are found.
	CrashKeepers = 3
	// crashFanOut is the number of gateways to which each gateway that learns of a record with
	// several crashes sends it in each round; crashSends is the number of rounds. The probability
	// that a given gateway gets none of a hundred gateways' datagrams is below 1 in 10,000 with 3 %
	// packet loss.
	crashFanOut = 4
	crashSends  = 3
	// maxToldAll is the number of other gateways up to which all are told of each suspicion: any of
	// them may get the request next, and what a target answers before it is sent there is evidence.
	maxToldAll = 8
	// crashShare is the average share of the byte budget that records may use. They are sent before
	// loads, since a fatal request crashes a target each time that it is sent.
	crashShare = 0.25
	// repostShare is the share of the byte budget for records of single crashes that are sent again
	// because gateways have come or gone. Without the limit, hundreds of records in each second of
	// heavy churn displaced the heartbeats, so that even more gateways were taken for lost.
	repostShare = 0.05
	// maxCrashRecords limits the records in a datagram, of some 30 bytes each, and 140 at most.
	maxCrashRecords = 24
	// maxPending limits the records that wait to be sent. Those with the fewest crashes are dropped
	// first.
	maxPending = 1024
	// repostInterval is the minimum time between two sendings of all records to their keepers, so
	// that many gateways that come or go at once cause only one.
	repostInterval = 5 * time.Second
	// digestInterval is the minimum time between two replies to a peer with a different hash.
	digestInterval = 500 * time.Millisecond
)

// outgoingRecord is a record that is to be sent in the next rounds.
type outgoingRecord struct {
	record quarantine.Record
	// broadcast selects random peers as receivers, instead of the request's keepers.
	broadcast bool
	// reposted reports whether the record was sent before, to the previous keepers of the request.
	reposted  bool
	remaining int
}

// crashQueue holds the crash records that are to be sent. It is not safe for concurrent use.
type crashQueue struct {
	table  *quarantine.Table
	bucket *rate.Limiter
	// repostBucket limits the part of bucket that records which are sent again may use.
	repostBucket *rate.Limiter
	pending      map[quarantine.Fingerprint]*outgoingRecord
	// peersChanged reports whether gateways have come or gone, so that some requests have new
	// keepers.
	peersChanged bool
	repostedAt   time.Time
}

func newCrashQueue(table *quarantine.Table, budget int) *crashQueue {
	return &crashQueue{
		table:        table,
		bucket:       rate.NewLimiter(rate.Limit(crashShare*float64(budget)), max(budget, receiveBuffer)),
		repostBucket: rate.NewLimiter(rate.Limit(repostShare*float64(budget)), budget),
		pending:      make(map[quarantine.Fingerprint]*outgoingRecord),
	}
}

// enqueue schedules a record for the next rounds.
func (q *crashQueue) enqueue(record quarantine.Record, broadcast bool, rounds int) {
	if queued, ok := q.pending[record.Fingerprint]; ok {
		broadcast, rounds = broadcast || queued.broadcast, max(rounds, queued.remaining)
	} else if len(q.pending) >= maxPending && !broadcast {
		return // it is sent again when gateways come or go, or with the request's next crash
	}
	q.pending[record.Fingerprint] = &outgoingRecord{record: record, broadcast: broadcast, remaining: rounds}
}

// enqueueRepost schedules a record for one more sending, unless it is scheduled anyway.
func (q *crashQueue) enqueueRepost(record quarantine.Record) {
	if _, ok := q.pending[record.Fingerprint]; !ok && len(q.pending) < maxPending {
		q.pending[record.Fingerprint] = &outgoingRecord{record: record, reposted: true, remaining: 1}
	}
}

// allowRepost reports whether the budget allows sending a record again to a number of peers.
func (q *crashQueue) allowRepost(record quarantine.Record, peers int) bool {
	return q.repostBucket.AllowN(time.Now(), peers*proto.Size(record.Message()))
}

// due returns the records to send now, those with the most crashes first, and counts down their
// remaining rounds.
func (q *crashQueue) due() []outgoingRecord {
	all := make([]outgoingRecord, 0, len(q.pending))
	for fingerprint, queued := range q.pending {
		all = append(all, *queued)
		if queued.remaining--; queued.remaining <= 0 {
			delete(q.pending, fingerprint)
		}
	}
	slices.SortFunc(all, func(a, b outgoingRecord) int {
		return cmp.Or(cmp.Compare(len(b.record.Incarnations), len(a.record.Incarnations)), cmp.Compare(a.record.Fingerprint, b.record.Fingerprint))
	})
	return all
}

// Spread sends a changed record to other gateways at once.
func (s *Service) Spread(change quarantine.Change) {
	s.mu.Lock()
	s.crashes.enqueue(change.Record, change.Broadcast(), crashSends)
	s.mu.Unlock()
	s.wake()
}

// sendCrashes sends the crash records that are due. The caller must hold s.mu.
func (s *Service) sendCrashes(now time.Time) {
	s.repostRecords(now)
	if len(s.crashes.pending) == 0 {
		return
	}
	live := s.currentView(now).live
	byPeer := make(map[*peer][]quarantine.Record)
	for _, due := range s.crashes.due() {
		receivers := s.receivers(due, live)
		if due.reposted && !s.crashes.allowRepost(due.record, len(receivers)) {
			continue // the request's next crash sends it as well
		}
		for _, to := range receivers {
			byPeer[to] = append(byPeer[to], due.record)
		}
	}
	for _, to := range live {
		s.sendRecords(to, byPeer[to])
	}
}

// receivers returns the peers that get a record in this round.
func (s *Service) receivers(due outgoingRecord, live []*peer) []*peer {
	if due.broadcast {
		return randomPeers(live, crashFanOut)
	}
	if due.record.Suspected() > 0 && len(live) <= maxToldAll {
		return live
	}
	return otherKeepers(uint64(due.record.Fingerprint), live, s.hash)
}

// otherKeepers returns the keepers of a request besides this gateway, whose hash is self.
func otherKeepers(key uint64, live []*peer, self uint64) []*peer {
	staying := slices.DeleteFunc(slices.Clone(live), func(p *peer) bool { return p.leaving })
	first := keepersOf(key, staying, self, CrashKeepers)
	return slices.DeleteFunc(first, func(p *peer) bool { return p == nil })
}

// randomPeers returns up to count peers chosen at random.
func randomPeers(live []*peer, count int) []*peer {
	found := make([]*peer, 0, count)
	for _, index := range rand.Perm(len(live)) {
		if len(found) == count {
			break
		}
		found = append(found, live[index])
	}
	return found
}

// TrialPlace returns the rank of this process among the gateways that may start a trial of a held
// request, by the request's rendezvous order, 0 for the first.
func (s *Service) TrialPlace(fingerprint quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := policy.Score(uint64(fingerprint), s.hash)
	rank := 0
	for _, p := range s.currentView(clock.Now()).live {
		if !p.leaving && policy.Score(uint64(fingerprint), p.hash) > own {
			rank++
		}
	}
	return rank
}

// sendRecords sends records to a peer at once, as far as their byte budget allows. Omitted ones are
// sent in later rounds or on the peer's next hash. The caller must hold s.mu.
func (s *Service) sendRecords(to *peer, records []quarantine.Record) {
	for chunk := range slices.Chunk(records, maxCrashRecords) {
		heartbeat := s.bareHeartbeatTo(to)
		for _, record := range chunk {
			heartbeat.CrashRecords = append(heartbeat.CrashRecords, record.Message())
		}
		if !s.crashes.bucket.AllowN(time.Now(), proto.Size(heartbeat)) {
			return
		}
		s.send(to.address, heartbeat, true)
	}
}

// applyCrashes applies a heartbeat's crash records. The caller must hold s.mu.
func (s *Service) applyCrashes(heartbeat *wire.GatewayBeat, from *peer, now time.Time) {
	var replies []quarantine.Record
	for _, message := range heartbeat.GetCrashRecords() {
		change := s.crashes.table.Merge(quarantine.RecordOf(message), now)
		if change.NewToSender {
			replies = append(replies, change.Record)
		}
		if !change.Changed {
			continue
		}
		if change.HoldStarted() || change.HoldEnded() {
			s.options.Watcher.QuarantineChanged(change, from.id)
		}
		if change.Broadcast() {
			s.crashes.enqueue(change.Record, true, crashSends)
			s.wake()
		}
	}
	s.sendRecords(from, replies)
	if !heartbeat.GetBare() && !heartbeat.GetBrief() {
		s.compareQuarantine(heartbeat.GetQuarantineDigest(), from, now)
	}
}

// compareQuarantine sends this process's held requests to a peer whose hash of held requests
// differs. The caller must hold s.mu.
func (s *Service) compareQuarantine(digest uint64, from *peer, now time.Time) {
	if digest == s.crashes.table.Digest() || now.Sub(from.quarantineSentAt) < digestInterval {
		return
	}
	from.quarantineSentAt = now
	records := s.crashes.table.AtLimit(now)
	if len(records) > 0 {
		// If the budget doesn't allow all records, each call starts with another one.
		at := rand.IntN(len(records))
		s.sendRecords(from, append(slices.Clone(records[at:]), records[:at]...))
	}
}

// sendCrashesToNew sends a newly found gateway the records that concern all gateways, if this
// gateway is one of the few responsible for that. The new gateway may also become the keeper of
// other requests. The caller must hold s.mu.
func (s *Service) sendCrashesToNew(found *peer, now time.Time) {
	if s.crashes.table.Empty() {
		return
	}
	s.crashes.peersChanged = true
	s.cachedView = nil
	live := s.currentView(now).live
	isSender := len(otherKeepers(found.hash, withoutPeer(live, found), s.hash)) < min(CrashKeepers, len(live))
	if isSender {
		records := s.crashes.table.Records(now)
		s.sendRecords(found, slices.DeleteFunc(records, func(record quarantine.Record) bool { return !record.ConcernsAll() }))
	}
}

// withoutPeer returns all peers but one.
func withoutPeer(live []*peer, except *peer) []*peer {
	return slices.DeleteFunc(slices.Clone(live), func(p *peer) bool { return p == except })
}

// repostRecords schedules all records of single crashes for their current keepers after gateways
// have come or gone. The caller must hold s.mu.
func (s *Service) repostRecords(now time.Time) {
	if !s.crashes.peersChanged || now.Sub(s.crashes.repostedAt) < repostInterval {
		return
	}
	s.crashes.peersChanged, s.crashes.repostedAt = false, now
	records := s.crashes.table.Records(now)
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	for _, record := range records {
		if !record.ConcernsAll() {
			s.crashes.enqueueRepost(record)
		}
	}
}
