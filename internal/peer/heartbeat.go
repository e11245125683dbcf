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

// baseHeartbeat returns a heartbeat with the fields that each one has.
func (s *Service) baseHeartbeat(now time.Time) *wire.GatewayBeat {
	s.sequence++
	s.sentAt[s.sequence%sentHistory] = now
	// The age is read before the revision: a proof that comes in between may be about a later revision.
	proofAge, hasProof := s.proofAge()
	heartbeat := &wire.GatewayBeat{
		ProofAgeMs:     proofAge,
		HasProof:       hasProof,
		Life:           s.incarnation,
		Sequence:       s.sequence,
		Revision:       s.options.Replica.PassedOn(),
		Leaving:        s.leaving.Load(),
		StoreReachable: s.options.Replica.Reachable(),
		Follows:        s.currentView(now).source != nil,
		Alone:          len(s.currentView(now).live) == 0,
		KnowsTargetsS:  s.knowsTargetsFor(now),
	}
	if s.options.Lag != nil {
		heartbeat.LagMs = uint32(s.options.Lag().Milliseconds())
	}
	return heartbeat
}

// proofAge returns the age of this process's proof in ms, rounded up; false if there is none.
func (s *Service) proofAge() (uint32, bool) {
	age, ok := s.options.Proof.Age(clock.Check())
	if !ok {
		return 0, false
	}
	return uint32(min(age.Milliseconds()+1, int64(forgetAfter/time.Millisecond))), true
}

// addSender adds the identity of this process to a heartbeat.
func (s *Service) addSender(heartbeat *wire.GatewayBeat) {
	heartbeat.Id, heartbeat.Address, heartbeat.HostClass = s.options.ID, s.options.Address, uint32(s.options.Class)
}

// briefHeartbeat returns a heartbeat without loads.
func (s *Service) briefHeartbeat(to *peer, now time.Time) *wire.GatewayBeat {
	heartbeat := s.baseHeartbeat(now)
	heartbeat.Echo = to.sequence
	heartbeat.Brief = true
	if to.heartbeatsSent < senderFirst {
		s.addSender(heartbeat)
	}
	return heartbeat
}

// fullHeartbeat returns a heartbeat with loads; to is nil for an address whose gateway is unknown.
func (s *Service) fullHeartbeat(to *peer, now time.Time) *wire.GatewayBeat {
	heartbeat := s.baseHeartbeat(now)
	if to == nil {
		s.addSender(heartbeat)
		return heartbeat
	}
	heartbeat.Echo = to.sequence
	s.addLoads(heartbeat, now)
	s.addSuspects(heartbeat, now)
	s.addPaces(heartbeat, now)
	heartbeat.QuarantineDigest = s.crashes.table.Digest()
	s.addPlacements(heartbeat, to, now)
	if to.heartbeatsSent < senderFirst || to.heartbeatsSent%senderEvery == 0 {
		s.addSender(heartbeat)
		heartbeat.Known = s.sampleAddresses(now, to.address)
	}
	to.heartbeatsSent++
	return heartbeat
}

// addSuspects adds the targets that recently gave this process no answer.
func (s *Service) addSuspects(heartbeat *wire.GatewayBeat, now time.Time) {
	suspects := s.options.Balancer.Suspects(now)
	heartbeat.Suspects = suspects[:min(len(suspects), maxSuspects)]
}

// addLoads adds the requests that this process has in flight: all counts in a small fleet, and the
// totals and the largest counts in a large one.
func (s *Service) addLoads(heartbeat *wire.GatewayBeat, now time.Time) {
	counts := s.lastCounts
	if s.currentView(now).large {
		for _, total := range s.lastTotals {
			heartbeat.Services = append(heartbeat.Services, total.Service)
			heartbeat.Totals = append(heartbeat.Totals, uint32(total.Count))
		}
		if len(counts) > allCountsLimit {
			counts = largest(counts, s.countsThatFit(now))
		}
	}
	for _, count := range counts {
		heartbeat.Targets = append(heartbeat.Targets, shortHash(count.Target))
		heartbeat.Counts = append(heartbeat.Counts, uint32(count.Count))
	}
}

// countsThatFit returns how many counts by target a heartbeat in a large fleet carries if it
// doesn't carry all: as many as the budget allows while each peer gets a heartbeat every
// countsInterval.
func (s *Service) countsThatFit(now time.Time) int {
	rate := float64(max(len(s.currentView(now).live), 1)) / countsInterval.Seconds()
	bytes := (1-directoryShare)*float64(s.options.Budget)/rate - baseHeartbeatSize
	return max(int(bytes/countSize), minCounts)
}

// maxPaces limits the paces of targets in a heartbeat. With all of them a heartbeat is half as
// long again, and a pace that is left out is hardly better than outdated by the next one.
const maxPaces = 6

// paceUnit is the unit of paces in heartbeats: hundredths of the usual pace.
const paceUnit = 0.01

// addPaces adds the paces that targets recently reported to this process.
func (s *Service) addPaces(heartbeat *wire.GatewayBeat, now time.Time) {
	for _, pace := range s.options.Balancer.ChangedPaces(maxPaces, now) {
		heartbeat.Paced = append(heartbeat.Paced, pace.Target)
		heartbeat.Paces = append(heartbeat.Paces, uint32(math.Round(pace.Factor/paceUnit)))
		heartbeat.PaceAgesMs = append(heartbeat.PaceAgesMs, uint32(pace.Age.Milliseconds()))
	}
}

// pacesOf reads the paces of targets; if the lists differ in length, the shortest one counts.
func pacesOf(heartbeat *wire.GatewayBeat) []balance.Pace {
	targets, factors, ages := heartbeat.GetPaced(), heartbeat.GetPaces(), heartbeat.GetPaceAgesMs()
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

// largest returns the largest counts, at most limit of them.
func largest(counts []balance.Count, limit int) []balance.Count {
	ordered := slices.Clone(counts)
	slices.SortStableFunc(ordered, func(a, b balance.Count) int { return cmp.Compare(b.Count, a.Count) })
	return ordered[:min(limit, len(ordered))]
}

// totalsOf reads the totals; if the lists differ in length, the shorter one counts.
func totalsOf(heartbeat *wire.GatewayBeat) []balance.Total {
	services := heartbeat.GetServices()
	totals := make([]balance.Total, 0, len(services))
	for i, total := range heartbeat.GetTotals() {
		if i < len(services) {
			totals = append(totals, balance.Total{Service: services[i], Count: int(min(total, maxTotal))})
		}
	}
	return totals
}

// maxTotal limits a received total. It is far above what a gateway can have in flight.
const maxTotal = 1 << 20

// shortHash identifies a target in a heartbeat by the upper half of its hash.
func shortHash(hash uint64) uint32 {
	return uint32(hash >> 32)
}

// addPlacements adds the prompt parts that were placed since the last heartbeat to the peer. In a
// large fleet only the gateways that ask the store get them, for the checkpoint. The others look up
// what they need.
func (s *Service) addPlacements(heartbeat *wire.GatewayBeat, to *peer, now time.Time) {
	if current := s.currentView(now); current.large && !current.peerAsksStore(to) {
		return
	}
	placements, next := s.options.Balancer.Placements(to.nextPlacement, maxPlacements)
	to.nextPlacement = next
	heartbeat.Parts, heartbeat.Holders = splitPlacements(placements)
	heartbeat.FillParts, heartbeat.FillTargets = splitPlacements(s.lastFills)
}

// splitPlacements returns the parts and the targets of placements as two lists.
func splitPlacements(placements []balance.Placement) (parts, targets []uint32) {
	for _, placement := range placements {
		parts = append(parts, placement.Part)
		targets = append(targets, placement.Target)
	}
	return parts, targets
}

// sampleAddresses returns the addresses of a few live peers, chosen at random. Peers that hear no
// others yet come first, since the receiver contacts the addresses that it gets.
func (s *Service) sampleAddresses(now time.Time, except string) []string {
	live := slices.Clone(s.currentView(now).live)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *peer) int { return compareBool(b.alone, a.alone) })
	var addresses []string
	for _, p := range live {
		if p.address != except && len(addresses) < maxKnownAddresses {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// send sends one datagram, and returns false if the budget is spent. An urgent datagram is sent
// nevertheless, and later ones wait until the budget has recovered.
func (s *Service) send(address string, heartbeat *wire.GatewayBeat, urgent bool) bool {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return true
	}
	data, err := proto.Marshal(heartbeat)
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

// handleHeartbeat applies a heartbeat and returns its sender; nil if the heartbeat is older than
// one that was applied before.
func (s *Service) handleHeartbeat(heartbeat *wire.GatewayBeat, now time.Time) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, change := s.table.record(heartbeat, now)
	if change == outdated {
		return nil
	}
	if change == found {
		s.cachedView = nil
		s.options.Watcher.PeerFound(from.id, from.address)
		s.sendCrashesToNew(from, now)
		s.wake()
	}
	s.table.discover(heartbeat.GetKnown())
	if !heartbeat.GetBare() {
		s.applyProof(heartbeat)
		s.applyNewProof(heartbeat)
	}
	if !heartbeat.GetBrief() {
		s.options.Balancer.Observe(from.id, countsOf(heartbeat), now)
		s.options.Balancer.ObserveTotals(from.id, totalsOf(heartbeat), now)
		s.options.Balancer.ObservePaces(pacesOf(heartbeat), now)
		for _, target := range s.options.Balancer.ObserveSuspects(from.id, heartbeat.GetSuspects(), now) {
			s.options.Watcher.TargetSuspected(target, from.id)
		}
	}
	s.applyPlacements(heartbeat, now)
	s.applyRefused(heartbeat, from, now)
	s.applyCrashes(heartbeat, from, now)
	s.applyOrigins(heartbeat, from, now)
	switch {
	case heartbeat.GetQuestion() != 0:
		s.answerLookup(from, heartbeat, now)
	case heartbeat.GetNewProofHops() > 0:
		s.answerProofQuestion(from, heartbeat, now)
	case heartbeat.GetWantsProof():
		s.send(from.address, s.briefHeartbeat(from, now), true)
	}
	if heartbeat.GetRevision() > s.options.Replica.Revision() {
		s.catchUp(now)
	}
	return from
}

// applyProof applies a peer's proof: when the peer sent the heartbeat, it held everything that the
// store had accepted up to proof age earlier. It sent the heartbeat after it had received ours, so
// its proof covers at least the time of our sending minus that age.
func (s *Service) applyProof(heartbeat *wire.GatewayBeat) {
	echo := heartbeat.GetEcho()
	if !heartbeat.GetHasProof() || echo == 0 || echo > s.sequence || s.sequence-echo >= sentHistory {
		return
	}
	if s.options.Replica.Revision() < heartbeat.GetRevision() {
		return
	}
	age := time.Duration(heartbeat.GetProofAgeMs()) * time.Millisecond
	s.options.Proof.Note(s.sentAt[echo%sentHistory].Add(-age))
}

// countsOf reads the requests in flight; if the lists differ in length, the shorter one counts.
func countsOf(heartbeat *wire.GatewayBeat) []balance.Count {
	targets := heartbeat.GetTargets()
	counts := make([]balance.Count, 0, len(targets))
	for i, count := range heartbeat.GetCounts() {
		if i < len(targets) {
			counts = append(counts, balance.Count{Target: uint64(targets[i]) << 32, Count: int(count)})
		}
	}
	return counts
}

// placementsOf combines parts with their targets; if the lists differ in length, the shorter one
// counts.
func placementsOf(parts, targets []uint32) []balance.Placement {
	placements := make([]balance.Placement, 0, len(parts))
	for i, target := range targets {
		if i < len(parts) {
			placements = append(placements, balance.Placement{Part: parts[i], Target: target})
		}
	}
	return placements
}
