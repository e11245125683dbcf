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

// When a target ends, each gateway knows which of its own requests were under way there:
// up to 64 at all of them together, of which one is to blame. Ends are summed over
// gateways by those that keep track of a request, the first few in its rendezvous order:
// they get each of its records. Only a request with several ends concerns everybody; its
// record goes from each gateway that learns of it to a few drawn at random. So a
// target's end costs a gateway some hundred bytes, however many gateways there are. Records are
// joined in any order and however often they come, so that who repeats one does no harm.
//
// Datagrams get lost and gateways are cut off, killed and begun anew: records are sent
// several times, handed to gateways that are found, and to others in place of
// those that are lost; beats carry a hash of those requests that are held back, and who has
// another hash gets the records.

const (
	// CrashKeepers is how many gateways keep track of a request: two of them may be lost
	// within the moment that it takes to find others.
	CrashKeepers = 3
	// crashFanOut is how many gateways a record with several ends is sent to by each that
	// learns of it, in each round; crashSends is the number of rounds. The chance that none of a
	// hundred gateways' sendings reaches a given one is below 1 in 10,000 with 3 in 100
	// datagrams lost.
	crashFanOut = 4
	crashSends  = 3
	// crashShare of the budget of bytes is what records may use on average; they are sent ahead
	// of loads, since a fatal request ends a target each time that it is sent.
	crashShare = 0.25
	// repostShare is the part of the budget for records of single ends that are sent again, since
	// gateways have come or gone: hundreds of them, every second while many do, took the
	// bytes of the beats, for lack of which still more gateways were taken for lost.
	repostShare = 0.05
	// mostCrashRecords is how many records a datagram has, of some 30 bytes each.
	mostCrashRecords = 32
	// mostMail bounds the records that wait to be sent: those with the fewest ends are left
	// out first.
	mostMail = 1024
	// repostEvery is the least time between two sendings of all records to those that keep
	// track of them: where many gateways come or go at once it is done once.
	repostEvery = 5 * time.Second
	// digestEvery is the least time between two answers to a peer with another hash.
	digestEvery = 500 * time.Millisecond
)

// mail is a record that is to be sent in the next rounds.
type mail struct {
	record quarantine.Record
	// wide says that it goes to whomever, and not to the request's keepers.
	wide bool
	// again says that it was sent before, to those that kept track of the request then.
	again bool
	left  int
}

// crashMail is what is to be sent of crash records. One goroutine at a time uses it.
type crashMail struct {
	table  *quarantine.Table
	bucket *rate.Limiter
	// reposts is what records that are sent again may use of that.
	reposts *rate.Limiter
	out     map[quarantine.Fingerprint]*mail
	// reshuffle says that gateways have come or gone: others keep track of some requests now.
	reshuffle  bool
	repostedAt time.Time
}

func newCrashMail(table *quarantine.Table, budget int) *crashMail {
	return &crashMail{
		table:   table,
		bucket:  rate.NewLimiter(rate.Limit(crashShare*float64(budget)), max(budget, receiveBuffer)),
		reposts: rate.NewLimiter(rate.Limit(repostShare*float64(budget)), budget),
		out:     make(map[quarantine.Fingerprint]*mail),
	}
}

// post has a record sent in the next rounds.
func (m *crashMail) post(record quarantine.Record, wide bool, times int) {
	if known, ok := m.out[record.Fingerprint]; ok {
		wide, times = wide || known.wide, max(times, known.left)
	} else if len(m.out) >= mostMail && !wide {
		return // it is sent again when gateways come or go, or with its next end
	}
	m.out[record.Fingerprint] = &mail{record: record, wide: wide, left: times}
}

// repost has a record sent once more, unless it is to be sent anyway.
func (m *crashMail) repost(record quarantine.Record) {
	if _, ok := m.out[record.Fingerprint]; !ok && len(m.out) < mostMail {
		m.out[record.Fingerprint] = &mail{record: record, again: true, left: 1}
	}
}

// mayRepost says whether there are bytes for a record that is sent again to some peers.
func (m *crashMail) mayRepost(record quarantine.Record, peers int) bool {
	return m.reposts.AllowN(time.Now(), peers*proto.Size(record.Message()))
}

// due takes what is to be sent now, the records with the most ends first.
func (m *crashMail) due() []mail {
	all := make([]mail, 0, len(m.out))
	for print, known := range m.out {
		all = append(all, *known)
		if known.left--; known.left <= 0 {
			delete(m.out, print)
		}
	}
	slices.SortFunc(all, func(a, b mail) int {
		return cmp.Or(cmp.Compare(len(b.record.Instances), len(a.record.Instances)), cmp.Compare(a.record.Fingerprint, b.record.Fingerprint))
	})
	return all
}

// Spread passes on what has become of a request's record, at once.
func (s *Service) Spread(change quarantine.Change) {
	s.mu.Lock()
	s.crashes.post(change.Record, change.Broadcast(), crashSends)
	s.mu.Unlock()
	s.wake()
}

// sendCrashes sends what is due of crash records; s.mu is held.
func (s *Service) sendCrashes(now time.Time) {
	s.repost(now)
	if len(s.crashes.out) == 0 {
		return
	}
	live := s.look(now).live
	byPeer := make(map[*peer][]quarantine.Record)
	for _, due := range s.crashes.due() {
		receivers := s.receivers(due, live)
		if due.again && !s.crashes.mayRepost(due.record, len(receivers)) {
			continue // it goes with the request's next end
		}
		for _, to := range receivers {
			byPeer[to] = append(byPeer[to], due.record)
		}
	}
	for _, to := range live {
		s.sendRecords(to, byPeer[to])
	}
}

// receivers are the peers that get a record in this round.
func (s *Service) receivers(due mail, live []*peer) []*peer {
	if due.wide {
		return drawn(live, crashFanOut)
	}
	return keepersOf(due.record.Fingerprint, live, s.hash)
}

// drawn are a few peers drawn at random.
func drawn(live []*peer, count int) []*peer {
	found := make([]*peer, 0, count)
	for _, place := range rand.Perm(len(live)) {
		if len(found) == count {
			break
		}
		found = append(found, live[place])
	}
	return found
}

// keepersOf are the peers that keep track of a request, the first in its rendezvous order.
// The gateway with the hash self may be one more.
func keepersOf(print quarantine.Fingerprint, live []*peer, self uint64) []*peer {
	type place struct {
		peer  *peer
		score uint64
	}
	first := make([]place, 0, CrashKeepers+1)
	add := func(known *peer, hash uint64) {
		made := place{known, policy.Score(uint64(print), hash)}
		at := len(first)
		for at > 0 && first[at-1].score < made.score {
			at--
		}
		if at < CrashKeepers {
			first = slices.Insert(first, at, made)
			first = first[:min(len(first), CrashKeepers)]
		}
	}
	add(nil, self)
	for _, known := range live {
		if !known.leaving {
			add(known, known.hash)
		}
	}
	found := make([]*peer, 0, CrashKeepers)
	for _, kept := range first {
		if kept.peer != nil {
			found = append(found, kept.peer)
		}
	}
	return found
}

// TrialPlace is the place of this process among the gateways that may try a request which
// is held back, 0 for the first: that of its rendezvous order.
func (s *Service) TrialPlace(print quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := policy.Score(uint64(print), s.hash)
	place := 0
	for _, known := range s.look(clock.Now()).live {
		if !known.leaving && policy.Score(uint64(print), known.hash) > own {
			place++
		}
	}
	return place
}

// sendRecords sends records to a peer at once, as far as the bytes for them go; s.mu is
// held. What is left out comes again with later rounds, or with the peer's hash.
func (s *Service) sendRecords(to *peer, records []quarantine.Record) {
	for chunk := range slices.Chunk(records, mostCrashRecords) {
		beat := s.bareTo(to)
		for _, record := range chunk {
			beat.CrashRecords = append(beat.CrashRecords, record.Message())
		}
		if !s.crashes.bucket.AllowN(time.Now(), proto.Size(beat)) {
			return
		}
		s.send(to.address, beat, true)
	}
}

// takeCrashes takes a beat's records; s.mu is held.
func (s *Service) takeCrashes(beat *wire.GatewayBeat, from *peer, now time.Time) {
	var back []quarantine.Record
	for _, message := range beat.GetCrashRecords() {
		change := s.crashes.table.Merge(quarantine.RecordOf(message), now)
		if change.NewToSender {
			back = append(back, change.Record)
		}
		if !change.Changed {
			continue
		}
		if change.HoldStarted() || change.HoldEnded() {
			s.options.Watcher.QuarantineChanged(change, from.id)
		}
		if change.Broadcast() {
			s.crashes.post(change.Record, true, crashSends)
			s.wake()
		}
	}
	s.sendRecords(from, back)
	if !beat.GetBare() && !beat.GetBrief() {
		s.compareQuarantine(beat.GetQuarantineDigest(), from, now)
	}
}

// compareQuarantine sends a peer that holds other requests back than this process those
// that are held back here; s.mu is held.
func (s *Service) compareQuarantine(digest uint64, from *peer, now time.Time) {
	if digest == s.crashes.table.Digest() || now.Sub(from.comparedAt) < digestEvery {
		return
	}
	from.comparedAt = now
	records := s.crashes.table.AtLimit(now)
	if len(records) > 0 {
		// Where there are more than the bytes allow, it is others each time.
		at := rand.IntN(len(records))
		s.sendRecords(from, append(slices.Clone(records[at:]), records[:at]...))
	}
}

// handCrashes hands a gateway that was found the records that concern everybody, if this one is
// the first of a few to do so; it may keep track of some others too. s.mu is held.
func (s *Service) handCrashes(found *peer, now time.Time) {
	if s.crashes.table.Empty() {
		return
	}
	s.crashes.reshuffle = true
	s.seen = nil
	live := s.look(now).live
	hands := len(keepersOf(quarantine.Fingerprint(found.hash), withoutPeer(live, found), s.hash)) < min(CrashKeepers, len(live))
	if hands {
		records := s.crashes.table.Records(now)
		s.sendRecords(found, slices.DeleteFunc(records, func(record quarantine.Record) bool { return !record.Suspicious() }))
	}
}

// withoutPeer are all peers but one.
func withoutPeer(live []*peer, except *peer) []*peer {
	return slices.DeleteFunc(slices.Clone(live), func(known *peer) bool { return known == except })
}

// repost has all records of single ends sent again to those that keep track of them now,
// when gateways have come or gone; s.mu is held.
func (s *Service) repost(now time.Time) {
	if !s.crashes.reshuffle || now.Sub(s.crashes.repostedAt) < repostEvery {
		return
	}
	s.crashes.reshuffle, s.crashes.repostedAt = false, now
	records := s.crashes.table.Records(now)
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	for _, record := range records {
		if !record.Suspicious() {
			s.crashes.repost(record)
		}
	}
}
