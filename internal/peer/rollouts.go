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

// One gateway, the decider, decides about the rollouts of a service. The others report to it and
// get grants in reply. These datagrams are small and few, are sent only while an order runs, and a
// version on trial waits for them. So they neither wait for the byte budget of heartbeats nor
// count against it: the decider among thirty gateways sends 5 KB/s of grants, and would have few
// bytes left for its loads just when the limit on loads is tight.

// Rollouts handles this process's part of rollouts. Its methods are called without locks held, so
// that they may call the service's methods.
type Rollouts interface {
	// Services returns the services with a running order.
	Services() []string
	// ServiceOf returns the service with a running order that has the given hash.
	ServiceOf(hash uint32) (string, bool)
	// Reports returns the reports that are due now, for services about which others decide.
	Reports(now time.Time) []rollout.Report
	// Report applies another gateway's report. It returns the grant, and false for none.
	Report(from string, report rollout.Report, now time.Time) (rollout.Grant, bool)
	// Grant applies the reply to a report that was sent at sentAt; sentAt is zero for a notice.
	Grant(from string, grant rollout.Grant, sentAt, now time.Time)
	// Notices returns the grants to send to all other gateways now.
	Notices(now time.Time) []rollout.Grant
}

// SetRollouts sets the handler of rollout reports and grants. It must be called before Start.
func (s *Service) SetRollouts(rollouts Rollouts) {
	s.rollouts = rollouts
}

// Decides reports whether this process is the decider of a service, judging by the gateways that
// it hears.
func (s *Service) Decides(service string) bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentView(now).decider(serviceHash(service), s.selfCandidacy()) == nil
}

// LiveIDs returns the sorted ids of the other live gateways that are not leaving.
func (s *Service) LiveIDs() []string {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, p := range s.currentView(now).live {
		if !p.leaving {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// serviceHash identifies a service in heartbeats.
func serviceHash(service string) uint32 {
	return shortHash(policy.HashName(service))
}

// selfCandidacy holds this process's own properties in the election of the decider.
type selfCandidacy struct {
	// hash is the hash of this process's id.
	hash uint64
	// eligible reports whether the process has a copy of the store's content and is not leaving;
	// reachesStore reports whether the last call to the store was answered.
	eligible, reachesStore bool
}

// selfCandidacy returns this process's properties. The caller must hold s.mu.
func (s *Service) selfCandidacy() selfCandidacy {
	return selfCandidacy{
		hash:         s.hash,
		eligible:     s.options.Replica.Revision() > 0 && !s.leaving.Load(),
		reachesStore: s.options.Replica.Reachable(),
	}
}

// decider returns the gateway that decides about a service; nil if it is this one. Candidates have
// a copy of the store's content and were heard recently. Those that reach the store come first,
// then larger hosts before smaller ones, and equal hosts in the service's rendezvous order. While
// none reaches the store, all still agree on one, which can halt what it can't complete.
func (v *view) decider(service uint32, self selfCandidacy) *peer {
	key := uint64(service) << 32
	var best *peer
	first := candidacy{}
	if self.eligible {
		first = candidacy{reachesStore: self.reachesStore, class: v.class, score: policy.Score(key, self.hash)}
	}
	for _, p := range v.recentPeers() {
		if p.leaving || p.revision == 0 {
			continue
		}
		next := candidacy{reachesStore: p.reachesStore, class: p.class, score: policy.Score(key, p.hash)}
		if next.before(first) {
			best, first = p, next
		}
	}
	return best
}

// candidacy holds the properties by which candidates for the decider are compared.
type candidacy struct {
	reachesStore bool
	class        Class
	score        uint64
}

func (c candidacy) before(other candidacy) bool {
	if c.reachesStore != other.reachesStore {
		return c.reachesStore
	}
	if c.class != other.class {
		return c.class > other.class
	}
	return c.score > other.score
}

// recentPeers returns the live peers that were heard recently: a silent peer delays a decision no
// longer than it delays asking the store.
func (v *view) recentPeers() []*peer {
	return slices.DeleteFunc(slices.Clone(v.live), func(p *peer) bool {
		return v.at.Sub(p.lastHeartbeat) > v.maxSilence
	})
}

// reportRollouts sends the reports and notices that are due. The caller must not hold s.mu.
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
	current := s.currentView(now)
	for _, report := range reports {
		if to := current.decider(report.Service, s.selfCandidacy()); to != nil {
			heartbeat := s.bareHeartbeatTo(to)
			heartbeat.RolloutReports = []*wire.RolloutReport{reportMessage(report)}
			s.sendOutsideBudget(to.address, heartbeat)
		}
	}
	for _, notice := range notices {
		for _, to := range current.live {
			heartbeat := s.bareHeartbeatTo(to)
			heartbeat.RolloutGrants = []*wire.RolloutGrant{grantMessage(notice, 0)}
			s.sendOutsideBudget(to.address, heartbeat)
		}
	}
}

// sendOutsideBudget sends a datagram that doesn't count against the byte budget of heartbeats.
func (s *Service) sendOutsideBudget(address string, heartbeat *wire.GatewayBeat) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // the peer sent a bad address; it gets nothing else either
	}
	data, err := proto.Marshal(heartbeat)
	if err != nil {
		return // can't happen: no heartbeat has a string that is not UTF-8
	}
	s.transmit(to, data)
}

// handleRollouts handles a heartbeat's reports and grants. The caller must not hold s.mu.
func (s *Service) handleRollouts(heartbeat *wire.GatewayBeat, from *peer, now time.Time) {
	if s.rollouts == nil || from == nil {
		return
	}
	for _, message := range heartbeat.GetRolloutReports() {
		report := reportOf(message)
		report.Incarnation = heartbeat.GetLife()
		if grant, answered := s.rollouts.Report(from.id, report, now); answered {
			s.answerReport(from, grant, heartbeat.GetSequence())
		}
	}
	for _, message := range heartbeat.GetRolloutGrants() {
		sentAt, ok := s.sentAtOf(message.GetAnswered())
		if message.GetAnswered() != 0 && !ok {
			continue
		}
		s.rollouts.Grant(from.id, grantOf(message), sentAt, now)
	}
}

// answerReport sends a grant. The caller must not hold s.mu.
func (s *Service) answerReport(to *peer, grant rollout.Grant, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	heartbeat := s.bareHeartbeatTo(to)
	heartbeat.RolloutGrants = []*wire.RolloutGrant{grantMessage(grant, sequence)}
	s.sendOutsideBudget(to.address, heartbeat)
}

// sentAtOf returns when this process sent the heartbeat with a sequence number; false if that is
// no longer known, and for zero.
func (s *Service) sentAtOf(sequence uint64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= sentHistory {
		return time.Time{}, false
	}
	return s.sentAt[sequence%sentHistory], true
}

// stages maps stages to their wire values.
var stages = map[rollout.Stage]wire.RolloutStage{
	rollout.Hold:   wire.RolloutStage_ROLLOUT_STAGE_HOLD,
	rollout.Canary: wire.RolloutStage_ROLLOUT_STAGE_CANARY,
	rollout.Move:   wire.RolloutStage_ROLLOUT_STAGE_MOVE,
}

// ends maps the ends of orders to their wire values.
var ends = map[rollout.End]wire.RolloutEnd{
	rollout.Open:   wire.RolloutEnd_ROLLOUT_END_UNSPECIFIED,
	rollout.Halted: wire.RolloutEnd_ROLLOUT_END_HALTED,
	rollout.Done:   wire.RolloutEnd_ROLLOUT_END_COMPLETED,
}

// endOf reads the end of an order. Earlier releases signal a halt by a hold without a duration.
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

// stageOf reads a stage. An unknown one is a hold.
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

// reportOf reads a report; if the columns differ in length, the shortest one counts.
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

// maxRolloutCount limits the counts in a report: more than a gateway sends in a day.
const maxRolloutCount = 1 << 30

func countOf(count uint32) int {
	return int(min(count, maxRolloutCount))
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
