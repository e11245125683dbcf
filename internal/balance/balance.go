package balance

import (
	"sync"
	"time"
)

// Options are the balancer's bounds.
type Options struct {
	// DataCenter is this process's own; ties go to targets in it.
	DataCenter string
	// Short and Long bound what a session's home may hold before the session
	// goes to its next home, for sessions with a short and with a long prompt.
	// A long one costs more to move, so short ones make room for it.
	Short, Long Bound
	// ShortOfMany and LongOfMany are the same where more than a few gateways
	// share the targets.
	ShortOfMany, LongOfMany Bound
	// Whole is the bound that no target may be above, of which the others are shares.
	Whole Bound
	// MaxEjected is the largest share of a service's targets left out for
	// their failures.
	MaxEjected float64
	// Cold is how many requests a cold target may get within any second from all
	// gateways together, by what it bears a second.
	Cold Bound
	// Lapse is how long targets keep serving after the entries of half of their
	// service or more have disappeared; those that are not registered again by
	// then have left.
	Lapse time.Duration
}

// Bound is Multiple times the mean load of a service's targets plus Extra, in
// requests.
type Bound struct {
	Multiple float64
	Extra    float64
}

// at is the bound at a mean load.
func (b Bound) at(mean float64) float64 {
	return b.Multiple*mean + b.Extra
}

// longPrompt is from how many tokens in the parts that it shares a prompt is
// long.
const longPrompt = 4000

// Shares of the bound that no target may be above which a balancer keeps
// itself, since it sees others' loads late; later among many.
var (
	shareShort       = Bound{0.8, 0.53}
	shareLong        = Bound{0.95, 0.87}
	shareShortOfMany = Bound{0.75, 0.53}
	shareLongOfMany  = Bound{0.825, 0.67}
)

// From tightenFrom to tightenTo other gateways the bounds of many gateways shrink
// by up to mostTightening: reports get older with each gateway (by reckoning 0.25 s
// on average at 30, 0.8 s at 100), and what is sent meanwhile comes on top. Without
// it LIMIT was broken on two of eight hunted days of the large site.
const (
	tightenFrom    = 30
	tightenTo      = 100
	mostTightening = 0.12
)

// tightnessAt is what the bounds of many gateways are multiplied by.
func tightnessAt(peers int) float64 {
	share := float64(peers-tightenFrom) / float64(tightenTo-tightenFrom)
	return 1 - mostTightening*min(max(share, 0), 1)
}

// times is the bound multiplied by a factor.
func (b Bound) times(factor float64) Bound {
	return Bound{Multiple: factor * b.Multiple, Extra: factor * b.Extra}
}

// of is a share of a bound.
func (b Bound) of(whole Bound) Bound {
	return Bound{Multiple: b.Multiple * whole.Multiple, Extra: b.Extra * whole.Extra}
}

// MostLapse is how long after the store's return an entry that lapsed with it
// may be missing; the users' platform states it.
const MostLapse = 2 * time.Second

// DefaultCold is the bound on requests to cold targets where the deployment states
// none: what they bear, and nothing besides.
var DefaultCold = Bound{Multiple: 1}

// OptionsFor leave room below a bound that no target may be above.
func OptionsFor(whole Bound) Options {
	return Options{
		Short:       shareShort.of(whole),
		Long:        shareLong.of(whole),
		ShortOfMany: shareShortOfMany.of(whole),
		LongOfMany:  shareLongOfMany.of(whole),
		Whole:       whole,
		MaxEjected:  0.5,
		Cold:        DefaultCold,
		Lapse:       MostLapse,
	}
}

// DefaultOptions leave room below twice the mean plus 3.
func DefaultOptions() Options {
	return OptionsFor(Bound{Multiple: 2, Extra: 3})
}

// fewPeers is how many other gateways can report their loads to each other almost
// at once.
const fewPeers = 8

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu sync.Mutex
	// targets are the known lives of targets by their names, current the last of each
	// target by its id.
	targets  map[string]*state
	current  map[string]*state
	byHash   map[uint64]*state
	byShort  map[uint32]*state
	services map[string]*service
	// reports are the other gateways' requests in flight, by the gateway's id;
	// the first of them gets too old at reportsEnd, zero for none.
	reports    map[string]*report
	reportsEnd time.Time
	holders    *holders
	fills      fills
	// choices counts the choices made.
	choices uint64
	scratch scratch
	// paths are the ways to data centres, by name.
	paths map[string]*path
	// gateways is this gateway's place among all.
	gateways Gateways
	// suspectedBy are the targets that other gateways suspect, by the gateway's id.
	suspectedBy map[string][]uint32
	// parted is what lives have said of which nothing else is known any more.
	parted map[string]parted
	// pacesHeard are the paces that targets told this process and that wait to be
	// reported, by the target's short hash.
	pacesHeard map[uint32]heardPace
	// evacuated are the data centres whose targets get nothing.
	evacuated map[string]bool
	// manyPeers says that more than a few other gateways share the targets.
	manyPeers bool
	// peers is how many other gateways share the targets.
	peers int
	// tightness is what their bounds are multiplied by.
	tightness float64
	// totalLife is how long another gateway's total is believed.
	totalLife time.Duration
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

		evacuated:   make(map[string]bool),
		suspectedBy: make(map[string][]uint32),
		parted:      make(map[string]parted),
		pacesHeard:  make(map[uint32]heardPace),

		tightness: 1,
		totalLife: totalLife,
	}
	b.holders = newHolders(b.registered)
	return b
}

// registered says whether a target is registered and not left out; b.mu is held.
func (b *Balancer) registered(target uint32) bool {
	known, ok := b.byShort[target]
	return ok && !known.aside
}

// Query says for what a target is wanted.
type Query struct {
	Service string
	// Parts are hashes of the prompt's shared parts in order; each is cached
	// only behind those before it. Empty for none.
	Parts []uint64
	// Tokens are the lengths of the parts, in the same order; nil if unknown.
	Tokens []int
	// Exclude are the lives of targets that were tried already.
	Exclude []string
	// Versions are those that may take the request.
	Versions Versions
}

// long says whether the parts that the prompt shares are long together.
func (q Query) long() bool {
	total := 0
	for _, tokens := range q.Tokens {
		total += tokens
	}
	return total >= longPrompt
}

// tokensOf is the length of a part; of unknown lengths the least is taken that
// others learn of.
func (q Query) tokensOf(part int) int {
	if part < len(q.Tokens) {
		return q.Tokens[part]
	}
	return leastNews
}

// Pick is a choice.
type Pick struct {
	Target Target
	// FetchFrom is the address of a target that may hold the session's
	// cached prefix, if the chosen one may lack it; empty for none.
	FetchFrom string
	// Source says how the target is expected to come to the prompt; empty where
	// there is none.
	Source Source
	// Unread are the tokens of the prompt's shared parts that neither the target nor the
	// one that it fetches from is known to hold.
	Unread int
	// Cold says that the target has just started.
	Cold bool
	// Try says that the target has rested, and gets no other request until this one is
	// answered; EndTry ends that.
	Try bool
	// Load and Mean are what decided: requests in flight at the target and
	// the mean over the service's targets.
	Load int
	Mean float64
	// Candidates is how many targets were open to the choice.
	Candidates int
	// Fills are the long parts of the prompt that no target is known to hold and
	// that the chosen one begins to read.
	Fills []Placement
}

// Sample notes how long a target took to the head of its answer.
func (b *Balancer) Sample(life string, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target, ok := b.targets[life]; ok {
		target.sample(took, now)
		b.serviceOf(target.Service).samples++
	}
}

// SetPeers sets how many other gateways share their loads with this one: with
// more of them reports are older, and the bound keeps more room.
func (b *Balancer) SetPeers(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers, b.manyPeers = count, count > fewPeers
	b.tightness = tightnessAt(count)
	b.totalLife = max(totalLife, totalsMissed*time.Duration(count)*reportEvery)
}
