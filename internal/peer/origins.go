package peer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// A caller may resume a stream at any gateway, mostly because the one that began it is lost. So a
// gateway that begins a stream sends its record to the keepers of the stream, the first few gateways
// in its rendezvous order, and a gateway at which a stream is resumed asks them. Records are sent
// only for services of which several versions may have served lately, and to gateways that have begun too
// lately to know whether they did. A keeper sends its records to gateways that become keepers when others
// come or go. Lost datagrams, and streams that began a
// moment before their gateway was lost, make a stream unknown. It is then refused, never continued
// at a guess.

const (
	// originKeepers is the number of gateways that keep a record in a large fleet: one of them may be
	// lost with the gateway that began the stream. In a small fleet, in which larger parts are lost at
	// once, originKeepersOfFew do.
	originKeepers      = 2
	originKeepersOfFew = 4
	// maxUnsent limits the records that wait because they are not needed yet.
	maxUnsent = 8192
	// listTime is how long after its first proof of the targets a gateway may know the first one of a
	// service.
	listTime = 5 * time.Second
	// knowledgeUnit is the unit, and maxKnowledge the limit, of the time for which a heartbeat says that
	// its sender has known all targets.
	knowledgeUnit = time.Second
	maxKnowledge  = time.Hour
	// lostKnowledge is the least change of since when a gateway has known all targets by which it has
	// lost its knowledge. A smaller one comes from rounding.
	lostKnowledge = 2 * knowledgeUnit
)

// OriginOptions connects the exchange of records to the process.
type OriginOptions struct {
	Table *origin.Table
	// Running holds the records of streams that may still be running, for the gateway that saves them.
	// Records from other gateways are added to it; nil if they are not needed.
	Running *origin.Table
	// Sole returns the only version of a service, by its name, if no other one can have begun a stream
	// that may still be resumed.
	Sole func(service string) (origin.Version, bool)
	// SoleAfter returns for how long a gateway must have known the targets of a service before Sole
	// returns a version.
	SoleAfter func(service string) time.Duration
}

// originExchange sends and looks up records of streams. Only add is safe for concurrent use.
type originExchange struct {
	options OriginOptions
	// outbox holds the records that are being sent.
	outbox *originOutbox
	// due is signalled when a record was added that may have to be sent before the next round.
	due chan struct{}
	// eager is false while records are kept because they are not needed yet, so that the next one
	// probably isn't either.
	eager atomic.Bool
	// mu guards the fields about unsent records. A record may come from a change of the targets, for
	// which locks are held that are taken under the service's own.
	mu sync.Mutex
	// unsent holds the records by service that no other gateway has.
	unsent      map[string][]unsentRecord
	unsentCount int
	// settled counts the first unsent records of each service of which no keeper is new.
	settled map[string]int
	// peerForgot reports whether a gateway has lost its knowledge of the targets since the last round.
	peerForgot bool
	// candidates are the gateways that could be keepers in the last round, ordered by ID.
	candidates []*peer
	lookups    map[uint32]*originLookup
	lastNumber uint32
}

// unsentRecord is a record that no other gateway has.
type unsentRecord struct {
	origin.Record
	// addedAt is when the stream began.
	addedAt time.Time
}

func newOriginExchange(options OriginOptions, budget int) *originExchange {
	return &originExchange{
		options: options,
		outbox:  newOriginOutbox(budget),
		due:     make(chan struct{}, 1),
		unsent:  make(map[string][]unsentRecord),
		settled: make(map[string]int),
		lookups: make(map[uint32]*originLookup),
	}
}

// SpreadOrigin sends the record of a stream of a service to its keepers, now or as soon as several
// versions of the service may serve.
func (s *Service) SpreadOrigin(record origin.Record, service string) {
	s.origins.add(record, service, clock.Now())
	switch {
	case record.Version == origin.Uncertain:
		s.wake()
	case s.origins.eager.Load():
		s.origins.signalDue()
	}
}

// signalDue has new records sent before the next round.
func (e *originExchange) signalDue() {
	select {
	case e.due <- struct{}{}:
	default:
	}
}

// SpreadOriginNow sends the record of a stream to its keepers before it returns.
func (s *Service) SpreadOriginNow(record origin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	candidates := s.originCandidates(now)
	for _, to := range s.originKeepers(record, candidates) {
		if to != nil {
			s.send(to.address, s.originHeartbeat(to, []origin.Record{record}, now), true)
		}
	}
}

// originKeepers returns the gateways that keep a record, nil for this one. The caller must hold s.mu.
func (s *Service) originKeepers(record origin.Record, candidates []*peer) []*peer {
	count := originKeepers
	if len(candidates) <= fullMeshLimit {
		count = originKeepersOfFew
	}
	return keepersOf(uint64(record.Stream), candidates, s.hash, count)
}

// originSaver returns the gateway that saves records in the store, nil for this one. The caller must hold
// s.mu.
func (s *Service) originSaver(now time.Time) *peer {
	current := s.currentView(now)
	if len(current.candidates) == 0 || current.source == nil && current.rank == 0 {
		return nil
	}
	return current.candidates[0]
}

// originCandidates returns the other gateways that may keep records. The caller must hold s.mu.
func (s *Service) originCandidates(now time.Time) []*peer {
	return slices.DeleteFunc(slices.Clone(s.currentView(now).live), func(p *peer) bool { return p.leaving })
}

// add adds an unsent record.
func (e *originExchange) add(record origin.Record, service string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unsentCount >= maxUnsent {
		e.dropExpired(now)
	}
	if e.unsentCount < maxUnsent {
		e.unsent[service] = append(e.unsent[service], unsentRecord{Record: record, addedAt: now})
		e.unsentCount++
	}
}

// keepsUnsent reports whether there are records that no other gateway has.
func (e *originExchange) keepsUnsent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unsentCount > 0
}

// dropExpired drops unsent records that have expired, and makes the keepers of the others be looked at
// again. The caller must hold e.mu.
func (e *originExchange) dropExpired(now time.Time) {
	e.unsentCount = 0
	clear(e.settled)
	for service, records := range e.unsent {
		kept := slices.DeleteFunc(records, func(record unsentRecord) bool { return !record.Expires.After(now) })
		e.unsent[service] = kept
		e.unsentCount += len(kept)
	}
}

// sendOrigins sends the records that are due. The caller must hold s.mu.
func (s *Service) sendOrigins(now time.Time) {
	if s.origins.options.Table == nil {
		return
	}
	candidates := s.originCandidates(now)
	s.sendToNewKeepers(candidates, now)
	s.sendNewOrigins(candidates, now)
	s.sendHandedOverOrigins(now)
	s.origins.outbox.keepOnly(candidates)
}

// sendNewOrigins sends the records of streams that have just begun. The caller must hold s.mu.
func (s *Service) sendNewOrigins(candidates []*peer, now time.Time) {
	e := s.origins
	if len(candidates) > 0 {
		due := s.takeDueOrigins(candidates, now)
		e.eager.Store(len(due) > 0 || !e.keepsUnsent())
		saver := s.originSaver(now)
		for _, record := range due {
			keepers := s.originKeepers(record.Record, candidates)
			if saver != nil && !slices.Contains(keepers, saver) {
				keepers = append(keepers, saver)
			}
			e.outbox.add(keepers, record, now)
		}
	}
	s.sendFreshOrigins(now)
}

// sendDueOrigins sends the records of streams that have just begun, before the next round, unless
// bytes are short: then a datagram has to carry more of them.
func (s *Service) sendDueOrigins(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origins.options.Table != nil && (hasSpareBytes(s.origins.outbox.fresh) || hasSpareBytes(s.bucket)) {
		s.sendNewOrigins(s.originCandidates(now), now)
	}
}

// sendToNewKeepers adds to the outbox the records that this gateway keeps, for the gateways that have
// become their keepers since the last round.
func (s *Service) sendToNewKeepers(candidates []*peer, now time.Time) {
	e := s.origins
	before := e.candidates
	changed := !slices.Equal(before, candidates)
	if changed || e.peerForgot {
		e.peerForgot = false
		e.forgetSettled(now)
	}
	if !changed {
		return
	}
	e.candidates = candidates
	for _, record := range e.options.Table.Records(now) {
		earlier := s.originKeepers(record, before)
		if !slices.Contains(earlier, nil) {
			continue // others keep it
		}
		e.outbox.handOverTo(s.originKeepers(record, candidates), earlier, record)
	}
}

// takeDueOrigins removes and returns the unsent records of services that may have several versions, those
// that are uncertain, since other gateways would take the only version that they know for that of the stream,
// and those of which a keeper is new: should this gateway be lost, such a keeper can't tell that there was
// only one. The caller must hold s.mu.
func (s *Service) takeDueOrigins(candidates []*peer, now time.Time) []unsentRecord {
	e := s.origins
	e.mu.Lock()
	defer e.mu.Unlock()
	var due []unsentRecord
	for service, records := range e.unsent {
		if _, sole := e.options.Sole(service); !sole {
			due = append(due, records...)
			e.unsentCount -= len(records)
			delete(e.unsent, service)
			delete(e.settled, service)
			continue
		}
		isNew := newerThan(now.Add(-e.options.SoleAfter(service) - listTime))
		anyNew := slices.ContainsFunc(candidates, isNew)
		kept := records[:e.settled[service]]
		for _, record := range records[len(kept):] {
			if record.Version == origin.Uncertain || anyNew && slices.ContainsFunc(s.originKeepers(record.Record, candidates), isNew) {
				due = append(due, record)
				continue
			}
			kept = append(kept, record)
		}
		e.unsentCount -= len(records) - len(kept)
		e.unsent[service], e.settled[service] = kept, len(kept)
	}
	return due
}

// newerThan returns whether a gateway, nil for this one, has known all targets only since after a time.
func newerThan(start time.Time) func(p *peer) bool {
	return func(p *peer) bool { return p != nil && p.knowsSince.After(start) }
}

// knowsTargetsFor returns for how long this gateway has known all targets without a gap, in units.
func (s *Service) knowsTargetsFor(now time.Time) uint32 {
	return uint32(min(s.options.Proof.UnbrokenFor(now), maxKnowledge) / knowledgeUnit)
}

// noteKnowledge records since when a gateway has known all targets, as its heartbeat states.
func (e *originExchange) noteKnowledge(from *peer, heartbeat *wire.GatewayBeat, now time.Time) {
	if heartbeat.GetBare() {
		return
	}
	since := now.Add(-min(time.Duration(heartbeat.GetKnowsTargetsS())*knowledgeUnit, maxKnowledge))
	if since.Sub(from.knowsSince) > lostKnowledge {
		e.peerForgot = true
	}
	from.knowsSince = since
}

// forgetSettled makes the keepers of all unsent records be looked at again.
func (e *originExchange) forgetSettled(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired(now)
}

// maxOriginLife limits for how long a received record is kept.
const maxOriginLife = time.Hour

// originOf returns the record in a message.
func originOf(message *wire.StreamOrigin, now time.Time) origin.Record {
	lasts := min(time.Duration(message.GetLastsS())*time.Second, maxOriginLife)
	return origin.Record{Stream: origin.Stream(message.GetStream()), Version: origin.Version(message.GetVersion()), Expires: now.Add(lasts)}
}

// applyOrigins applies the records, the question and the answer in a heartbeat. The caller must hold
// s.mu.
func (s *Service) applyOrigins(heartbeat *wire.GatewayBeat, from *peer, now time.Time) {
	e := s.origins
	if e.options.Table == nil {
		return
	}
	e.noteKnowledge(from, heartbeat, now)
	for _, message := range heartbeat.GetStreamOrigins() {
		record := e.options.Table.Put(originOf(message, now), now)
		if e.options.Running != nil {
			e.options.Running.Put(record.WhileRunning(now), now)
		}
	}
	if question := heartbeat.GetOriginQuestion(); question != nil {
		s.answerOrigin(from, question, now)
	}
	if answer := heartbeat.GetOriginAnswer(); answer != nil {
		e.settle(from, answer)
	}
}
