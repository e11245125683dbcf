package balance

import (
	"strconv"
	"time"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Target is one back end as the list of targets has it.
type Target struct {
	// ID names the target. One that begins anew may keep it.
	ID string
	// Born is when its present life began, in Unix milliseconds by its own clock; zero if
	// its entry does not state it, and then each life has an id of its own.
	Born    int64
	Service string
	// Address is IP:port.
	Address    string
	DataCenter string
	// Version is that of its software; empty if its entry states none.
	Version string
	// Weights name the models that it serves and their versions; what it has read of
	// prompts is of use to targets with the same weights only. Empty if not stated.
	Weights string
	// Slots is how many requests it works on at once; zero is unknown.
	Slots int
	// Leaving targets get no new work.
	Leaving bool
	// ColdFor is how much longer it stays cold from its start, as of when its entry
	// was read; zero if it is warm.
	ColdFor time.Duration
}

// Life names one life of the target: what is known of an earlier one, and what other
// gateways report of it, says nothing of this one.
func (t Target) Life() string {
	if t.Born == 0 {
		return t.ID
	}
	const base = 10
	return t.ID + "@" + strconv.FormatInt(t.Born, base)
}

// Load is what a target said of itself in an answer; what it did not say is zero.
type Load struct {
	// Slots is how many requests it works on at once.
	Slots int
	// Pace is how many times as long as usual work takes there now, since its host is
	// shared with others.
	Pace float64
}

// state is what the balancer knows of one target.
type state struct {
	// What each choice looks at stands first, within one line of the
	// processor's cache.

	// inFlight are the requests of this process at the target.
	inFlight int
	// others are those of the other gateways, the sum of their reports.
	others int
	// choice is the number of the last choice that the target was open to.
	choice uint64
	hash   uint64
	// reportedSlots is how many requests the target reports in its answers to
	// work on at once; zero if it does not.
	reportedSlots int
	// service is the target's.
	service *service
	// aside is false only while the target is registered, warm, not leaving, not
	// resting, not ejected and not in an evacuated data centre. It may be true for longer.
	aside bool
	// version is that of its software, among the service's.
	version versionID

	Target
	// life names the target's life, of which hash is the hash.
	life string
	// latency is the moving mean of the time to an answer's head, in seconds;
	// zero before the first.
	// It is that at the usual pace.
	latency float64
	pace    pace
	health  health
	cold    coldness
	// suspicions are other gateways'.
	suspicions []suspicion
	// goneAt is when the list dropped the target; zero while it is listed.
	goneAt time.Time
	// end is how this life ended without a plan, if it did.
	end End
	// said is what it has said of itself in its answers.
	said said
	// unusable says that it counts as leaving since its entry names no target any more.
	unusable bool
	// outlived says that another life of the target has begun: this one is in no list.
	outlived bool
}

func newState(target Target, of *service) *state {
	life := target.Life()
	return &state{Target: target, life: life, service: of, version: of.join(target.Version), hash: policy.HashName(life), aside: true}
}

// load is the requests in flight at the target as far as can be told from what is known: what
// the others have there is estimated from those that were heard lately.
func (s *state) load() float64 {
	return float64(s.inFlight) + s.estimate() + s.service.overall.unestimated
}

// estimate is how many requests the other gateways have in flight at the target, unless none
// that was heard lately has any.
func (s *state) estimate() float64 {
	return float64(s.others) * max(s.service.overall.scale, 1)
}

// reported is the requests in flight at the target by all that is known, and no more.
func (s *state) reported() float64 {
	return float64(s.inFlight+s.others) + s.service.overall.unreported
}

// count adds requests of this process, or takes them off.
func (s *state) count(requests int) {
	s.inFlight += requests
	s.service.overall.own += requests
}

// goneFor is how long ago the list dropped the target; zero while it is listed.
func (s *state) goneFor(now time.Time) time.Duration {
	if s.goneAt.IsZero() {
		return 0
	}
	return now.Sub(s.goneAt)
}

// latencyWeight is the share of a new sample in the moving mean.
const latencyWeight = 0.15

// sample takes one more time to the head of an answer. What the host's other work has
// added to it is left out: the pace says that, and changes sooner than the mean.
func (s *state) sample(took time.Duration, now time.Time) {
	usual := took.Seconds() / s.pace.at(now)
	if s.latency == 0 {
		s.latency = usual
		return
	}
	s.latency += latencyWeight * (usual - s.latency)
}
