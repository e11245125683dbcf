package peer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// head puts together what every beat says of its sender.
func (s *Service) head(now time.Time) *wire.GatewayBeat {
	s.sequence++
	s.sentAt[s.sequence%sentKept] = now
	beat := &wire.GatewayBeat{
		Life:           s.life,
		Sequence:       s.sequence,
		Revision:       s.options.Replica.Revision(),
		Leaving:        s.leaving.Load(),
		StoreReachable: s.options.Replica.Reachable(),
		Follows:        s.look(now).source != nil,
		Alone:          len(s.look(now).live) == 0,
	}
	if s.options.Lag != nil {
		beat.LagMs = uint32(s.options.Lag().Milliseconds())
	}
	// The revision is read before the age: the proof may only become newer.
	beat.ProofAgeMs, beat.HasProof = s.proofAge()
	return beat
}

// proofAge is the age of this process's proof in ms, rounded up; false for none.
func (s *Service) proofAge() (uint32, bool) {
	age, ok := s.options.Proof.Age(clock.Now())
	if !ok {
		return 0, false
	}
	return uint32(min(age.Milliseconds()+1, int64(forgetAfter/time.Millisecond))), true
}

// introduce adds who sends a beat.
func (s *Service) introduce(beat *wire.GatewayBeat) {
	beat.Id, beat.Address, beat.HostClass = s.options.ID, s.options.Address, uint32(s.options.Class)
}

// brief puts a beat together that says nothing of loads.
func (s *Service) brief(to *peer, now time.Time) *wire.GatewayBeat {
	beat := s.head(now)
	beat.Echo = to.sequence
	beat.Brief = true
	if to.beats < introduceFirst {
		s.introduce(beat)
	}
	return beat
}

// beat puts a beat together; to is nil for an address that is not known yet.
func (s *Service) beat(to *peer, now time.Time) *wire.GatewayBeat {
	beat := s.head(now)
	if to == nil {
		s.introduce(beat)
		return beat
	}
	beat.Echo = to.sequence
	s.addLoads(beat, now)
	s.addSuspects(beat, now)
	s.addPaces(beat, now)
	beat.QuarantineDigest = s.crashes.table.Digest()
	s.addPlacements(beat, to, now)
	if to.beats < introduceFirst || to.beats%introduceEvery == 0 {
		s.introduce(beat)
		beat.Known = s.someAddresses(now, to.address)
	}
	to.beats++
	return beat
}

// addSuspects adds the targets that gave this process no answer a moment ago.
func (s *Service) addSuspects(beat *wire.GatewayBeat, now time.Time) {
	suspects := s.options.Balancer.Suspects(now)
	beat.Suspects = suspects[:min(len(suspects), mostSuspects)]
}

// addLoads adds what this process has in flight. Among many gateways that is the
// totals and the largest counts, else all counts.
func (s *Service) addLoads(beat *wire.GatewayBeat, now time.Time) {
	counts := s.lastCounts
	if s.look(now).many {
		for _, total := range s.lastTotals {
			beat.Services = append(beat.Services, total.Service)
			beat.Totals = append(beat.Totals, uint32(total.Count))
		}
		if len(counts) > mostCounts {
			counts = largest(counts, s.countsThatFit(now))
		}
	}
	for _, count := range counts {
		beat.Targets = append(beat.Targets, shortHash(count.Target))
		beat.Counts = append(beat.Counts, uint32(count.Count))
	}
}

// countsThatFit is how many counts by target a beat among many gateways has, if there
// are more: as many as leave the bytes for a beat to each peer every countsEvery.
func (s *Service) countsThatFit(now time.Time) int {
	beats := float64(max(len(s.look(now).live), 1)) / countsEvery.Seconds()
	bytes := (1-directoryShare)*float64(s.options.Budget)/beats - headSize
	return max(int(bytes/countSize), fewCounts)
}

// mostPaces bounds the paces of targets in a beat: with all of them it is half as long
// again. One that does not fit is as good as old by the next beat.
const mostPaces = 6

// paceUnit is how a beat counts paces: in hundredths of the usual one.
const paceUnit = 0.01

// addPaces adds the paces that targets told this process a moment ago.
func (s *Service) addPaces(beat *wire.GatewayBeat, now time.Time) {
	for _, told := range s.options.Balancer.ChangedPaces(mostPaces, now) {
		beat.Paced = append(beat.Paced, told.Target)
		beat.Paces = append(beat.Paces, uint32(math.Round(told.Factor/paceUnit)))
		beat.PaceAgesMs = append(beat.PaceAgesMs, uint32(told.Age.Milliseconds()))
	}
}

// pacesOf reads the paces of targets; lists that are longer than the shortest end with it.
func pacesOf(beat *wire.GatewayBeat) []balance.Pace {
	targets, factors, ages := beat.GetPaced(), beat.GetPaces(), beat.GetPaceAgesMs()
	paces := make([]balance.Pace, 0, len(targets))
	for i := range min(len(targets), len(factors), len(ages)) {
		paces = append(paces, balance.Pace{
			Target: targets[i],
			Factor: paceUnit * float64(factors[i]),
			Age:    time.Duration(ages[i]) * time.Millisecond,
		})
	}
	return paces
}

// largest are the largest counts, at most so many.
func largest(counts []balance.Count, most int) []balance.Count {
	ordered := slices.Clone(counts)
	slices.SortStableFunc(ordered, func(a, b balance.Count) int { return cmp.Compare(b.Count, a.Count) })
	return ordered[:min(most, len(ordered))]
}

// totalsOf reads the totals; a list that is longer than the other ends with the
// shorter.
func totalsOf(beat *wire.GatewayBeat) []balance.Total {
	services := beat.GetServices()
	totals := make([]balance.Total, 0, len(services))
	for i, total := range beat.GetTotals() {
		if i < len(services) {
			totals = append(totals, balance.Total{Service: services[i], Count: int(min(total, mostTotal))})
		}
	}
	return totals
}

// mostTotal bounds what a beat may say: far more requests than a gateway holds.
const mostTotal = 1 << 20

// shortHash names a target in a beat by the upper half of its hash.
func shortHash(hash uint64) uint32 {
	return uint32(hash >> 32)
}

// addPlacements adds what is new of where parts are cached. Among many gateways
// only those who ask the store get it, for the checkpoint; the others ask for
// what they need.
func (s *Service) addPlacements(beat *wire.GatewayBeat, to *peer, now time.Time) {
	if seen := s.look(now); seen.many && !seen.peerAsks(to) {
		return
	}
	placements, next := s.options.Balancer.Placements(to.reported, mostPlacements)
	to.reported = next
	beat.Parts, beat.Holders = columns(placements)
	beat.FillParts, beat.FillTargets = columns(s.lastFills)
}

// columns are the parts and the targets of placements.
func columns(placements []balance.Placement) (parts, targets []uint32) {
	for _, placement := range placements {
		parts = append(parts, placement.Part)
		targets = append(targets, placement.Target)
	}
	return parts, targets
}

// someAddresses are a few addresses of live peers, those that hear nobody yet before the
// others: whoever gets them calls there.
func (s *Service) someAddresses(now time.Time, except string) []string {
	live := slices.Clone(s.look(now).live)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *peer) int { return compareBool(b.alone, a.alone) })
	var addresses []string
	for _, known := range live {
		if known.address != except && len(addresses) < mostKnown {
			addresses = append(addresses, known.address)
		}
	}
	return addresses
}

// send sends one datagram; false if the budget is spent. An urgent one is sent
// all the same, and what follows waits for it.
func (s *Service) send(address string, beat *wire.GatewayBeat, urgent bool) bool {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return true
	}
	data, err := proto.Marshal(beat)
	if err != nil {
		return true
	}
	if urgent {
		s.bucket.ReserveN(time.Now(), len(data))
	} else if !s.bucket.AllowN(time.Now(), len(data)) {
		return false
	}
	s.transmit(to, data)
	return true
}

// transmit sends the bytes of one datagram.
func (s *Service) transmit(to netip.AddrPort, data []byte) {
	s.sentBytes.Add(int64(len(data)))
	// A datagram that can't be sent is as good as lost.
	_, _ = s.conn.WriteToUDPAddrPort(data, to)
}

// take takes over what a beat reports and returns its sender; nil if the beat is older
// than one that was taken already.
func (s *Service) take(beat *wire.GatewayBeat, now time.Time) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, change := s.table.take(beat, now)
	if change == outdated {
		return nil
	}
	if change == found {
		s.seen = nil
		s.options.Watcher.PeerFound(from.id, from.address)
		s.handCrashes(from, now)
		s.wake()
	}
	s.table.discover(beat.GetKnown(), s.options.Address)
	if !beat.GetBare() {
		s.takeProof(beat)
	}
	if !beat.GetBrief() {
		s.options.Balancer.Observe(from.id, countsOf(beat), now)
		s.options.Balancer.ObserveTotals(from.id, totalsOf(beat), now)
		s.options.Balancer.ObservePaces(pacesOf(beat), now)
		for _, target := range s.options.Balancer.ObserveSuspects(from.id, beat.GetSuspects(), now) {
			s.options.Watcher.TargetDoubted(target, from.id)
		}
	}
	s.takePlacements(beat, now)
	s.takeRefused(beat, from, now)
	s.takeCrashes(beat, from, now)
	switch {
	case beat.GetQuestion() != 0:
		s.answer(from, beat, now)
	case beat.GetWantsProof():
		s.send(from.address, s.brief(from, now), true)
	}
	if !beat.GetBare() && beat.GetRevision() > s.options.Replica.Revision() {
		s.catchUp(now)
	}
	return from
}

// takeProof takes a peer's proof: it held, when it sent the beat, all that the
// store had accepted up to the age before. It sent the beat after it had got
// ours, so its proof is for a moment no earlier than the age before our
// sending.
func (s *Service) takeProof(beat *wire.GatewayBeat) {
	echo := beat.GetEcho()
	if !beat.GetHasProof() || echo == 0 || echo > s.sequence || s.sequence-echo >= sentKept {
		return
	}
	if s.options.Replica.Revision() < beat.GetRevision() {
		return
	}
	age := time.Duration(beat.GetProofAgeMs()) * time.Millisecond
	s.options.Proof.Note(s.sentAt[echo%sentKept].Add(-age))
}

// countsOf reads the requests in flight; a list that is longer than the other
// ends with the shorter.
func countsOf(beat *wire.GatewayBeat) []balance.Count {
	targets := beat.GetTargets()
	counts := make([]balance.Count, 0, len(targets))
	for i, count := range beat.GetCounts() {
		if i < len(targets) {
			counts = append(counts, balance.Count{Target: uint64(targets[i]) << 32, Count: int(count)})
		}
	}
	return counts
}

// placementsOf puts parts and their targets together; a list that is longer
// than the other ends with the shorter.
func placementsOf(parts, targets []uint32) []balance.Placement {
	placements := make([]balance.Placement, 0, len(parts))
	for i, target := range targets {
		if i < len(parts) {
			placements = append(placements, balance.Placement{Part: parts[i], Target: target})
		}
	}
	return placements
}
