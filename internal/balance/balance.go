package balance

import (
	"sync"
	"time"
)

// Options configures a Balancer.
type Options struct {
	// DataCenter is the data centre of this process. Ties are broken in favour of targets in
	// it.
	DataCenter string
	// Short and Long limit the load at which a session's home target still takes the session's
	// requests, for sessions with a short and with a long prompt. Beyond the limit the session
	// moves to its next home. Long prompts cost more to move, so short ones make room for
	// them.
	Short, Long Bound
	// ShortManyGateways and LongManyGateways replace Short and Long when more than a few
	// gateways share the targets.
	ShortManyGateways, LongManyGateways Bound
	// Whole is the limit that no target may exceed. The other bounds are fractions of it.
	Whole Bound
	// MaxEjected is the largest fraction of a service's targets that may be ejected for
	// failures.
	MaxEjected float64
	// Cold limits how many requests a cold target may get within any second from all gateways
	// together, as a function of the rate that it bears per second.
	Cold Bound
	// ExpiryGrace is how long targets keep serving after the entries of at least half of their
	// service have disappeared. Targets that are not registered again by then count as gone.
	ExpiryGrace time.Duration
}

// Bound is a limit on load, in requests: Multiple times the mean load of a service's targets,
// plus Extra.
type Bound struct {
	Multiple float64
	Extra    float64
}

// limitAt returns the limit at a mean load.
func (b Bound) limitAt(mean float64) float64 {
	return b.Multiple*mean + b.Extra
}

// longPrompt is the number of tokens in a prompt's shared parts from which the prompt counts
// as long.
const longPrompt = 4000

// Fractions of the whole bound that a balancer itself keeps to, because it learns of other
// gateways' load with a delay. The delay grows with the number of gateways.
var (
	shortShare       = Bound{0.8, 0.53}
	longShare        = Bound{0.95, 0.87}
	shortShareOfMany = Bound{0.75, 0.53}
	longShareOfMany  = Bound{0.825, 0.67}
)

// Between tightenFrom and tightenTo other gateways, the bounds for many gateways shrink by up
// to maxTightening. Reports get older with each gateway (a calculated 0.25 s on average at 30
// gateways, 0.8 s at 100), and requests sent in the meantime come on top. Without this, LIMIT
// was exceeded on two of eight simulated days of the large site.
const (
	tightenFrom   = 30
	tightenTo     = 100
	maxTightening = 0.12
)

// tightnessAt returns the factor for the bounds for many gateways.
func tightnessAt(peers int) float64 {
	share := float64(peers-tightenFrom) / float64(tightenTo-tightenFrom)
	return 1 - maxTightening*min(max(share, 0), 1)
}

// scaled returns the bound multiplied by a factor.
func (b Bound) scaled(factor float64) Bound {
	return Bound{Multiple: factor * b.Multiple, Extra: factor * b.Extra}
}

// shareOf returns the bound as a fraction of another bound.
func (b Bound) shareOf(whole Bound) Bound {
	return Bound{Multiple: b.Multiple * whole.Multiple, Extra: b.Extra * whole.Extra}
}

// MaxExpiryGrace is how long an entry that expired during a store outage may be missing after
// the store's return. The users' platform specifies it.
const MaxExpiryGrace = 2 * time.Second

// DefaultCold is the bound on requests to cold targets if the deployment sets none: exactly
// the rate that they bear.
var DefaultCold = Bound{Multiple: 1}

// OptionsFor returns options that leave room below a bound that no target may exceed.
func OptionsFor(whole Bound) Options {
	return Options{
		Short:             shortShare.shareOf(whole),
		Long:              longShare.shareOf(whole),
		ShortManyGateways: shortShareOfMany.shareOf(whole),
		LongManyGateways:  longShareOfMany.shareOf(whole),
		Whole:             whole,
		MaxEjected:        0.5,
		Cold:              DefaultCold,
		ExpiryGrace:       MaxExpiryGrace,
	}
}

// DefaultOptions returns options that leave room below twice the mean plus 3.
func DefaultOptions() Options {
	return OptionsFor(Bound{Multiple: 2, Extra: 3})
}

// fewPeers is the number of other gateways up to which all of them can report their loads to
// each other almost immediately.
const fewPeers = 8

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu sync.Mutex
	// targets holds the known incarnations of targets by name; current holds the latest
	// incarnation of each target by the target's ID.
	targets  map[string]*state
	current  map[string]*state
	byHash   map[uint64]*state
	byShort  map[uint32]*state
	services map[string]*service
	// reports holds the other gateways' requests in flight, by gateway ID. The oldest report
	// expires at reportsEnd, which is zero if there are no reports.
	reports    map[string]*report
	reportsEnd time.Time
	holders    *holders
	fills      fills
	// choices counts the calls that marked candidates.
	choices uint64
	scratch scratch
	// paths holds the state of the network paths to data centres, by data centre name.
	paths map[string]*path
	// gateways is this gateway's position among all gateways.
	gateways Gateways
	// suspectedBy holds the targets that other gateways suspect, by gateway ID.
	suspectedBy map[string][]uint32
	// pastAnnouncements holds the announcements of incarnations that are otherwise forgotten.
	pastAnnouncements map[string]pastAnnouncement
	// receivedPaces holds the paces that targets sent to this process and that still have to
	// be reported to other gateways, by the target's short hash.
	receivedPaces map[uint32]receivedPace
	// evacuated holds the data centres whose targets get no requests.
	evacuated map[string]bool
	// manyPeers reports whether more than fewPeers other gateways share the targets.
	manyPeers bool
	// peers is the number of other gateways that share the targets.
	peers int
	// tightness is the factor for the bounds for many gateways.
	tightness float64
	// totalTTL is how long another gateway's total stays valid.
	totalTTL time.Duration
}

// New returns a balancer without targets.
func New(options Options) *Balancer {
	b := &Balancer{
		options:  options,
		targets:  make(map[string]*state),
		current:  make(map[string]*state),
		byHash:   make(map[uint64]*state),
		byShort:  make(map[uint32]*state),
		services: make(map[string]*service),
		reports:  make(map[string]*report),
		fills:    make(fills),
		paths:    make(map[string]*path),

		evacuated:         make(map[string]bool),
		suspectedBy:       make(map[string][]uint32),
		pastAnnouncements: make(map[string]pastAnnouncement),
		receivedPaces:     make(map[uint32]receivedPace),

		tightness: 1,
		totalTTL:  totalTTL,
	}
	b.holders = newHolders(b.isAvailable)
	return b
}

// isAvailable reports whether a target is known and needs no further check. The caller must
// hold b.mu.
func (b *Balancer) isAvailable(target uint32) bool {
	known, ok := b.byShort[target]
	return ok && !known.needsCheck
}

// Query describes a request for which a target is needed.
type Query struct {
	Service string
	// Parts are the hashes of the prompt's shared parts, in order. A part is cached only
	// behind the parts before it. Parts is empty if the prompt shares none.
	Parts []uint64
	// Tokens holds the lengths of the parts, in the same order; nil if unknown.
	Tokens []int
	// Exclude lists the incarnations of targets that were already tried.
	Exclude []string
	// Versions restricts which versions may take the request.
	Versions Versions
	// Continues means that the request continues a stream, which only targets of the version in
	// Versions can. There may be few of them, so that sharing requests evenly would exceed the
	// whole bound: those that the request would load beyond it are excluded. So are those that may
	// be of another version than their entries say, if these are the newest until ProvenAt only.
	Continues bool
	ProvenAt  time.Time
}

// isLong reports whether the prompt's shared parts are long in total.
func (q Query) isLong() bool {
	total := 0
	for _, tokens := range q.Tokens {
		total += tokens
	}
	return total >= longPrompt
}

// tokensOf returns the length of a part in tokens. For an unknown length it returns the
// smallest length that is reported to other gateways.
func (q Query) tokensOf(part int) int {
	if part < len(q.Tokens) {
		return q.Tokens[part]
	}
	return minReportedTokens
}

// Pick is the result of a choice.
type Pick struct {
	Target Target
	// FetchFrom is the address of a target that may hold the session's cached prefix, if the
	// chosen one may lack it; empty if there is none.
	FetchFrom string
	// Source tells how the target is expected to obtain the prompt; empty if the prompt shares
	// no parts.
	Source Source
	// Unread is the number of tokens in the prompt's shared parts that neither the target nor
	// the one it fetches from is known to hold.
	Unread int
	// Cold reports whether the target has just started.
	Cold bool
	// MayBeOfAnotherVersion reports whether the target may be of another version than is known of it.
	MayBeOfAnotherVersion bool
	// Probe reports whether this request probes a target whose backoff has ended. The target
	// gets no other request until this one is answered. The caller must call EndProbe.
	Probe bool
	// Load and Mean are the values that the choice was based on: the requests in flight at the
	// target and the mean over the service's open targets.
	Load int
	Mean float64
	// Candidates is the number of targets that were open to the choice.
	Candidates int
	// Fills are the long parts of the prompt that no target is known to hold and that the
	// chosen target begins to prefill.
	Fills []Placement
}

// ObserveLatency records how long a target took to send the head of its answer.
func (b *Balancer) ObserveLatency(incarnation string, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[incarnation]; ok {
		target.recordLatency(took, now)
		b.serviceOf(target.Service).samples++
	}
}

// SetPeers sets how many other gateways share their loads with this one. With more gateways
// reports are older, so the bounds leave more room.
func (b *Balancer) SetPeers(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers, b.manyPeers = count, count > fewPeers
	b.tightness = tightnessAt(count)
	b.totalTTL = max(totalTTL, totalsMissed*time.Duration(count)*reportEvery)
}
