package peer

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// One gateway decides about the roll-outs of a service; the others report to it and
// get grants in answer. These datagrams are small and few, and only while an order runs; a
// version on trial waits for them. So they neither wait for the budget of beats nor use
// it up: the one that decides among thirty sends 5 KB/s of grants, and would have
// little left to report its loads just when the bound on loads is tight.

// Rollouts is this process's part in roll-outs. Its methods are called without locks
// held, so that they may ask the service who decides.
type Rollouts interface {
	// Services are those with a running order.
	Services() []string
	// ServiceOf is the service with a running order that a hash names.
	ServiceOf(hash uint32) (string, bool)
	// Reports are those that are due now, for services about which others decide.
	Reports(now time.Time) []rollout.Report
	// Report takes another gateway's; it returns the answer, and false for none.
	Report(from string, report rollout.Report, now time.Time) (rollout.Grant, bool)
	// Grant takes the answer to a report sent at sentAt; zero for a notice.
	Grant(from string, grant rollout.Grant, sentAt, now time.Time)
	// Notices are to be sent to all other gateways now.
	Notices(now time.Time) []rollout.Grant
}

// SetRollouts has the service carry the reports and grants of roll-outs. It is called
// before Start.
func (s *Service) SetRollouts(rollouts Rollouts) {
	s.rollouts = rollouts
}

// Decides says whether this process decides about a service, by the gateways that it
// hears.
func (s *Service) Decides(service string) bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.look(now).decider(serviceHash(service), s.standing()) == nil
}

// LiveIDs are the other gateways that sent a beat lately and do not leave, in order.
func (s *Service) LiveIDs() []string {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, known := range s.look(now).live {
		if !known.leaving {
			ids = append(ids, known.id)
		}
	}
	return ids
}

// serviceHash names a service in beats.
func serviceHash(service string) uint32 {
	return shortHash(policy.HashName(service))
}

// standing is what this process itself brings to the choice of who decides.
type standing struct {
	// hash is that of its id.
	hash uint64
	// candidate says that it knows what the store holds and isn't about to end, and reaches
	// that the last call to the store was answered.
	candidate, reaches bool
}

// standing is this process's; s.mu is held.
func (s *Service) standing() standing {
	return standing{
		hash:      s.hash,
		candidate: s.options.Replica.Revision() > 0 && !s.leaving.Load(),
		reaches:   s.options.Replica.Reachable(),
	}
}

// decider is the gateway that decides about a service; nil if it is this one. It is one of
// those that know what the store holds and were heard a moment ago: those that reach the
// store come before all others, larger hosts before smaller ones, and hosts that are alike
// go by the service's rendezvous order. While none reaches the store, all still agree on
// one, which can stop what it can't complete.
func (v *view) decider(service uint32, self standing) *peer {
	key := uint64(service) << 32
	var best *peer
	first := candidacy{}
	if self.candidate {
		first = candidacy{reaches: self.reaches, class: v.class, score: policy.Score(key, self.hash)}
	}
	for _, known := range v.heard() {
		if known.leaving || known.revision == 0 {
			continue
		}
		next := candidacy{reaches: known.reachesStore, class: known.class, score: policy.Score(key, known.hash)}
		if next.before(first) {
			best, first = known, next
		}
	}
	return best
}

// candidacy is what speaks for a gateway when it is asked who decides.
type candidacy struct {
	reaches bool
	class   Class
	score   uint64
}

func (c candidacy) before(other candidacy) bool {
	if c.reaches != other.reaches {
		return c.reaches
	}
	if c.class != other.class {
		return c.class > other.class
	}
	return c.score > other.score
}

// heard are the live peers that were heard a moment ago: one that has fallen silent
// holds up a decision for no longer than it holds up the asking of the store.
func (v *view) heard() []*peer {
	return slices.DeleteFunc(slices.Clone(v.live), func(known *peer) bool {
		return v.at.Sub(known.lastBeat) > v.silence
	})
}

// reportRollouts sends what is due of roll-outs; s.mu is not held.
func (s *Service) reportRollouts(now time.Time) {
	if s.rollouts == nil {
		return
	}
	reports, notices := s.rollouts.Reports(now), s.rollouts.Notices(now)
	if len(reports) == 0 && len(notices) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.look(now)
	for _, report := range reports {
		if to := seen.decider(report.Service, s.standing()); to != nil {
			beat := s.bareTo(to)
			beat.RolloutReports = []*wire.RolloutReport{reportMessage(report)}
			s.sendBeside(to.address, beat)
		}
	}
	for _, notice := range notices {
		for _, to := range seen.live {
			beat := s.bareTo(to)
			beat.RolloutGrants = []*wire.RolloutGrant{grantMessage(notice, 0)}
			s.sendBeside(to.address, beat)
		}
	}
}

// sendBeside sends a datagram beside the budget of beats.
func (s *Service) sendBeside(address string, beat *wire.GatewayBeat) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // a peer's own mistake; it gets nothing else either
	}
	data, err := proto.Marshal(beat)
	if err != nil {
		return // no beat has a text that is not UTF-8
	}
	s.transmit(to, data)
}

// takeRollouts takes a beat's reports and grants; s.mu is not held.
func (s *Service) takeRollouts(beat *wire.GatewayBeat, from *peer, now time.Time) {
	if s.rollouts == nil || from == nil {
		return
	}
	for _, message := range beat.GetRolloutReports() {
		report := reportOf(message)
		report.Incarnation = beat.GetLife()
		if grant, answered := s.rollouts.Report(from.id, report, now); answered {
			s.answerReport(from, grant, beat.GetSequence())
		}
	}
	for _, message := range beat.GetRolloutGrants() {
		sentAt, known := s.sentAtOf(message.GetAnswered())
		if message.GetAnswered() != 0 && !known {
			continue
		}
		s.rollouts.Grant(from.id, grantOf(message), sentAt, now)
	}
}

// answerReport sends a grant; s.mu is not held.
func (s *Service) answerReport(to *peer, grant rollout.Grant, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	beat := s.bareTo(to)
	beat.RolloutGrants = []*wire.RolloutGrant{grantMessage(grant, sequence)}
	s.sendBeside(to.address, beat)
}

// sentAtOf is when this process sent the beat with a sequence; false if that is not
// known any more. The zero sequence has the zero time.
func (s *Service) sentAtOf(sequence uint64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= sentKept {
		return time.Time{}, false
	}
	return s.sentAt[sequence%sentKept], true
}

// stages are the stages as messages have them.
var stages = map[rollout.Stage]wire.RolloutStage{
	rollout.Hold:   wire.RolloutStage_ROLLOUT_STAGE_HOLD,
	rollout.Canary: wire.RolloutStage_ROLLOUT_STAGE_CANARY,
	rollout.Move:   wire.RolloutStage_ROLLOUT_STAGE_MOVE,
}

// ends are the ends of orders as messages have them.
var ends = map[rollout.End]wire.RolloutEnd{
	rollout.Open:   wire.RolloutEnd_ROLLOUT_END_UNSPECIFIED,
	rollout.Halted: wire.RolloutEnd_ROLLOUT_END_HALTED,
	rollout.Done:   wire.RolloutEnd_ROLLOUT_END_COMPLETED,
}

// endOf reads what has become of an order. Earlier releases halt by a hold for no time.
func endOf(message *wire.RolloutGrant) rollout.End {
	switch message.GetEnd() {
	case wire.RolloutEnd_ROLLOUT_END_HALTED:
		return rollout.Halted
	case wire.RolloutEnd_ROLLOUT_END_COMPLETED:
		return rollout.Done
	}
	if message.GetStage() == wire.RolloutStage_ROLLOUT_STAGE_HOLD && message.GetForMs() == 0 {
		return rollout.Halted
	}
	return rollout.Open
}

// stageOf reads a stage; one that is not known allows nothing.
func stageOf(message wire.RolloutStage) rollout.Stage {
	switch message {
	case wire.RolloutStage_ROLLOUT_STAGE_CANARY:
		return rollout.Canary
	case wire.RolloutStage_ROLLOUT_STAGE_MOVE:
		return rollout.Move
	}
	return rollout.Hold
}

func reportMessage(report rollout.Report) *wire.RolloutReport {
	message := &wire.RolloutReport{
		Service:  report.Service,
		Order:    report.Order,
		AgeMs:    uint32(report.Age.Milliseconds()),
		Stage:    stages[report.Stage],
		Others:   uint32(report.Others),
		Requests: uint32(report.Requests),
		Exposed:  uint32(report.Exposed),
	}
	for _, tally := range report.Tallies {
		message.Routes = append(message.Routes, tally.Route)
		message.Targets = append(message.Targets, tally.Target)
		message.Answers = append(message.Answers, uint32(tally.Answers))
		message.Failed = append(message.Failed, uint32(tally.Failed))
		message.Slow = append(message.Slow, uint32(tally.Slow))
	}
	return message
}

// reportOf reads a report; columns that are longer than others end with the shortest.
func reportOf(message *wire.RolloutReport) rollout.Report {
	report := rollout.Report{
		Service:  message.GetService(),
		Order:    message.GetOrder(),
		Age:      time.Duration(message.GetAgeMs()) * time.Millisecond,
		Stage:    stageOf(message.GetStage()),
		Others:   countOf(message.GetOthers()),
		Requests: countOf(message.GetRequests()),
		Exposed:  countOf(message.GetExposed()),
	}
	rows := min(len(message.GetRoutes()), len(message.GetTargets()), len(message.GetAnswers()), len(message.GetFailed()), len(message.GetSlow()))
	for i := range rows {
		report.Tallies = append(report.Tallies, rollout.Tally{
			Route:   message.GetRoutes()[i],
			Target:  message.GetTargets()[i],
			Answers: countOf(message.GetAnswers()[i]),
			Failed:  countOf(message.GetFailed()[i]),
			Slow:    countOf(message.GetSlow()[i]),
		})
	}
	return report
}

// mostRolloutCount bounds what a report may say: more than a gateway sends in a day.
const mostRolloutCount = 1 << 30

func countOf(count uint32) int {
	return int(min(count, mostRolloutCount))
}

func grantMessage(grant rollout.Grant, answered uint64) *wire.RolloutGrant {
	return &wire.RolloutGrant{
		Service:  grant.Service,
		Order:    grant.Order,
		Stage:    stages[grant.Stage],
		AgeMs:    uint32(grant.Age.Milliseconds()),
		ForMs:    uint32(grant.For.Milliseconds()),
		Answered: answered,
		Wanted:   grant.Wanted,
		End:      ends[grant.End],
	}
}

func grantOf(message *wire.RolloutGrant) rollout.Grant {
	grant := rollout.Grant{
		Service: message.GetService(),
		Order:   message.GetOrder(),
		Stage:   stageOf(message.GetStage()),
		Age:     time.Duration(message.GetAgeMs()) * time.Millisecond,
		For:     time.Duration(message.GetForMs()) * time.Millisecond,
		Wanted:  message.GetWanted(),
		End:     endOf(message),
	}
	if message.GetAnswered() == 0 {
		grant.For = 0
	}
	return grant
}
