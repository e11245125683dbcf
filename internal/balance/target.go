package balance

import (
	"strconv"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Target is one back end, as described by its entry in the store.
type Target struct {
	// ID identifies the target. It may stay the same when the target restarts.
	ID string
	// Born is the start of the current incarnation, in Unix milliseconds by the target's own
	// clock. It is zero if the entry does not state it. Each incarnation then has an ID of its
	// own.
	Born    int64
	Service string
	// Address is IP:port.
	Address    string
	DataCenter string
	// Version is the version of the target's software; empty if its entry states none.
	Version string
	// VersionUnknown reports whether the target is known from a record that doesn't hold its
	// version. Version is empty then.
	VersionUnknown bool
	// Weights identifies the models that the target serves and their versions. Cached parts of
	// prompts can be used only by targets with the same weights. Empty if not stated.
	Weights string
	// WeightsUnknown reports whether the target is known from a record that doesn't hold its weights.
	// Weights is empty then.
	WeightsUnknown bool
	// Slots is how many requests the target processes at once; zero if unknown.
	Slots int
	// Leaving reports whether the target is shutting down and gets no new requests.
	Leaving bool
	// ColdFor is how much longer the target stays cold after its start, as of when its entry
	// was read; zero if it is warm.
	ColdFor time.Duration
}

// Incarnation returns the name of the target's incarnation. Data about an earlier incarnation,
// including reports of other gateways, does not apply to this one.
func (t Target) Incarnation() string {
	if t.Born == 0 {
		return t.ID
	}
	const base = 10
	return t.ID + "@" + strconv.FormatInt(t.Born, base)
}

// Load is the load information in a target's answer. Fields that the target did not send are
// zero.
type Load struct {
	// Slots is how many requests the target processes at once.
	Slots int
	// Pace is the current slowdown of the target: how many times as long as usual its work
	// takes because it shares its host with other work.
	Pace float64
}

// state is what the balancer knows about one incarnation of a target.
type state struct {
	// The fields that every choice reads come first, within one line of the processor's cache.

	// inFlight is the number of this process's requests in flight at the target.
	inFlight int
	// others is the sum of the requests in flight that the other gateways reported.
	others int
	// lastChoice is the number of the last choice that the target was a candidate for.
	lastChoice uint64
	hash       uint64
	// reportedSlots is how many requests the target processes at once according to its
	// answers; zero if it does not report that.
	reportedSlots int
	// service is the service that the target belongs to.
	service *service
	// needsCheck is false only while the target is registered, warm, not leaving, not backing
	// off, not ejected and not in an evacuated data centre. It may stay true for longer than
	// necessary.
	needsCheck bool
	// version identifies the target's software version among the service's versions.
	version versionID

	Target
	// incarnation is the name of the incarnation; hash is its hash.
	incarnation string
	// latency is the moving mean of the time to the head of an answer at the usual pace, in
	// seconds; zero before the first sample.
	latency float64
	pace    pace
	health  health
	cold    coldState
	// suspicions holds the suspicions that other gateways reported.
	suspicions []suspicion
	// unlistedAt is when the target's entry disappeared; zero while it is listed.
	unlistedAt time.Time
	// end describes how this incarnation ended unplanned, if it did.
	end End
	// endSignAt is when there last was a sign that its process had ended; zero for never.
	endSignAt time.Time
	// replaced reports whether another target answered at the address when it was last tried.
	replaced bool
	// announced is what the incarnation announced in its answers.
	announced announcement
	// unusable reports whether the target counts as leaving because its entry no longer
	// describes a valid target.
	unusable bool
	// superseded reports whether a newer incarnation of the target has begun. A superseded
	// incarnation is in no list.
	superseded bool
}

func newState(target Target, of *service) *state {
	incarnation := target.Incarnation()
	return &state{Target: target, incarnation: incarnation, service: of, version: of.addToVersion(target.Version), hash: policy.HashName(incarnation), needsCheck: true}
}

// load estimates the requests in flight at the target. The other gateways' part is
// extrapolated from those that reported recently.
func (s *state) load() float64 {
	return float64(s.inFlight) + s.estimatedOthers() + s.service.load.unestimated
}

// estimatedOthers returns the estimated number of requests that the other gateways have in
// flight at the target; zero if no gateway that reported recently has any.
func (s *state) estimatedOthers() float64 {
	return float64(s.others) * max(s.service.load.scale, 1)
}

// reportedLoad returns the requests in flight at the target according to the reports alone,
// without extrapolation.
func (s *state) reportedLoad() float64 {
	return float64(s.inFlight+s.others) + s.service.load.unreported
}

// addInFlight adds a number of requests of this process, which may be negative.
func (s *state) addInFlight(requests int) {
	s.inFlight += requests
	s.service.load.own += requests
}

// unlistedFor returns how long ago the target's entry disappeared; zero while it is listed.
func (s *state) unlistedFor(now time.Time) time.Duration {
	if s.unlistedAt.IsZero() {
		return 0
	}
	return now.Sub(s.unlistedAt)
}

// hasWeightsOf reports whether the target is known to have the same weights as another one.
func (s *state) hasWeightsOf(other *state) bool {
	return s == other || s.Weights == other.Weights && !s.WeightsUnknown && !other.WeightsUnknown
}

// latencyWeight is the weight of a new sample in the moving mean.
const latencyWeight = 0.15

// recordLatency adds a sample of the time to the head of an answer. The delay caused by other
// work on the host is excluded: the pace accounts for it and changes faster than the mean.
func (s *state) recordLatency(took time.Duration, now time.Time) {
	atUsualPace := took.Seconds() / s.pace.factorAt(now)
	if s.latency == 0 {
		s.latency = atUsualPace
		return
	}
	s.latency += latencyWeight * (atUsualPace - s.latency)
}
