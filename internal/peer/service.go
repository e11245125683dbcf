package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// tick is the time between two looks at what there is to report.
	tick = 80 * time.Millisecond
	// leastRest is the least time between two rounds: hundreds of gateways that are found
	// within a moment are answered by a few rounds, not by one each.
	leastRest = 15 * time.Millisecond
	// beatMost is the longest time between two beats to a peer.
	beatMost = 320 * time.Millisecond
	// mostPlacements and mostKnown bound what one beat carries.
	mostPlacements = 32
	mostKnown      = 6
	// mostCounts is up to how many counts by target a beat among many gateways has
	// all of them. In a surge there are more, and loads must be reported as often
	// as ever: then it has only the largest, fewCounts.
	mostCounts = 16
	fewCounts  = 4
	// mostSuspects bounds the suspected targets that a beat names.
	mostSuspects = 24
	// countsEvery is how long it may take to send each peer a beat, so that the beats
	// have more of the counts.
	countsEvery = time.Second
	// headSize and countSize are the bytes of a beat without counts and of a count.
	headSize  = 50
	countSize = 5
	// introduceEvery is how many beats to a peer go by between two that say
	// who sends them; introduceFirst is how many do at the beginning.
	introduceEvery = 24
	introduceFirst = 4
	// fewPeers is how many peers get everything in beats; with more of
	// them a beat carries no placements, so that loads are reported more often.
	fewPeers = 8
	// receiveBuffer is the largest datagram that is read, in bytes.
	receiveBuffer = 4096
	// sentKept is for how many beats the time of sending is remembered.
	sentKept = 1024
	// pullTimeout bounds the fetching of a replica.
	pullTimeout = time.Second
	// pullPatience is how long a gateway that asks the store itself waits for
	// the store's answer before it asks a peer that is ahead.
	pullPatience = 150 * time.Millisecond
)

// Replica is the process's copy of what the store holds.
type Replica interface {
	// Revision is the store's revision that the copy has reached.
	Revision() int64
	// Pull is a question for what the copy lacks.
	Pull() *wire.ReplicaPull
	// Page answers a pull.
	Page(pull *wire.ReplicaPull) *wire.ReplicaPage
	// Absorb takes a peer's page; one that can't be read changes nothing.
	Absorb(page *wire.ReplicaPage) error
	// Reachable says whether the last call to the store was answered.
	Reachable() bool
}

// Watcher is notified of peers found and lost, replicas fetched and refused targets.
type Watcher interface {
	PeerFound(id, address string)
	PeerLost(id, address string, silent time.Duration)
	ReplicaFetched(id string, from, to int64, err error)
	// TargetRefused: a target refused a connection of another gateway; the peer
	// that passed it on need not be that one.
	TargetRefused(target, from string)
	// TargetSuspected: a target is left out since several gateways got no answer from
	// it; the peer is the last of them to say so.
	TargetSuspected(target, from string)
	// QuarantineChanged: a request is held back from now on, or no more, since the peer
	// says so.
	QuarantineChanged(change quarantine.Change, from string)
}

// Options are what the service works with.
type Options struct {
	// ID names this process.
	ID string
	// Address is where it takes beats and links, IP:port.
	Address string
	// Class is that of this process's host.
	Class Class
	// Seeds are such addresses of other gateways.
	Seeds []string
	// Budget is how many bytes a second it sends in beats.
	Budget   int
	Replica  Replica
	Proof    *freshness.Proof
	Balancer *balance.Balancer
	// Quarantine is what this process knows of requests under which targets ended.
	Quarantine *quarantine.Table
	Watcher    Watcher
	// Stale is the age of the proof at which this process asks the store whoever
	// else does.
	Stale time.Duration
	// Lag is how late this process's timers fire; nil is not at all.
	Lag func() time.Duration
	// Counted is called with what is known of the peers in every round of beats.
	OnCensus func(census Census)
}

// Service exchanges beats with other gateways.
type Service struct {
	options Options
	conn    *net.UDPConn
	dialer  link.Dialer
	life    uint64
	// hash is that of this process's id.
	hash   uint64
	bucket *rate.Limiter
	// directoryBucket bounds the directory's part of it.
	directoryBucket *rate.Limiter
	leaving         atomic.Bool
	// urgent asks for a beat to all peers.
	urgent atomic.Bool
	urged  chan struct{}

	mu    sync.Mutex
	table *table
	// seen is the last view of the table; nil once it shows no longer what is
	// known.
	seen     *view
	sequence uint64
	// sentAt is when a beat was sent, by its sequence.
	sentAt [sentKept]time.Time
	// refused are targets at whose addresses nothing listens, of which a few peers are to be
	// notified in the next round.
	refused []uint32
	// lastCounts and the others are what the last round of beats reported.
	lastCounts   []balance.Count
	lastTotals   []balance.Total
	lastFills    []balance.Placement
	lastRevision int64
	lastRound    time.Time
	// behindSince is when a peer was first seen ahead; zero while none is.
	behindSince time.Time
	pulling     bool
	// askedAt is when the parent was last asked for its proof.
	askedAt time.Time
	// directory is this gateway's part in keeping track of placements.
	directory *directory
	// crashes are the records of requests under which targets ended that wait to be sent.
	crashes *crashMail
	// rollouts is nil where none are carried.
	rollouts Rollouts

	// wholePages counts the whole copies that are being sent.
	wholePages atomic.Int32

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	cancel        context.CancelFunc
	wait          sync.WaitGroup
}

// New returns a service that owns the socket; Start begins its work.
func New(options Options, conn *net.UDPConn, dialer link.Dialer) *Service {
	service := &Service{
		options:         options,
		conn:            conn,
		dialer:          dialer,
		life:            rand.Uint64(),
		hash:            policy.HashName(options.ID),
		bucket:          rate.NewLimiter(rate.Limit(options.Budget), max(options.Budget, receiveBuffer)),
		directoryBucket: rate.NewLimiter(rate.Limit(directoryShare*float64(options.Budget)), max(options.Budget, receiveBuffer)),
		urged:           make(chan struct{}, 1),
		table:           newTable(options.ID, options.Seeds, options.Address, options.Budget),

		directory: newDirectory(),
	}
	service.table.class = options.Class
	service.table.begin(clock.Now())
	if options.Quarantine == nil {
		options.Quarantine = quarantine.New()
	}
	service.crashes = newCrashMail(options.Quarantine, options.Budget)
	return service
}

// Start begins to exchange beats.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(s.receive)
	s.wait.Go(func() { s.run(ctx) })
	return nil
}

// Close ends the exchange and waits.
func (s *Service) Close() error {
	s.cancel()
	err := s.conn.Close()
	s.wait.Wait()
	return errors.Wrap(err, "close the peers' socket")
}

// Leave notifies the peers that this process is about to end.
func (s *Service) Leave() {
	s.leaving.Store(true)
	s.wake()
}

// Urge has a change of the store that must be in force soon sent at once to the
// peers that get the store's changes from this process.
func (s *Service) Urge() {
	s.urgent.Store(true)
	s.wake()
}

// wake has the next round begin now.
func (s *Service) wake() {
	select {
	case s.urged <- struct{}{}:
	default:
	}
}

// viewLife is how long a view of the table is used: among many peers, beats
// come more often than their standing changes.
const viewLife = tick

// look gives a view of the table; s.mu is held.
func (s *Service) look(now time.Time) *view {
	if s.seen == nil || now.Sub(s.seen.at) >= viewLife || now.Before(s.seen.at) {
		s.table.loaded = s.options.Replica.Revision() > 0
		s.seen = s.table.look(now)
	}
	return s.seen
}

// Traffic is the bytes of beats sent and received so far.
func (s *Service) Traffic() (sent, received int64) {
	return s.sentBytes.Load(), s.receivedBytes.Load()
}

func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.round(clock.Check())
		s.reportRollouts(clock.Now())
		if !wait.For(ctx, leastRest) {
			return
		}
		timer := time.NewTimer(tick - leastRest)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.urged:
		}
		timer.Stop()
	}
}

// round sends what is due and asks for what is missing.
func (s *Service) round(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lost := range s.table.expire(now) {
		s.seen = nil
		s.options.Watcher.PeerLost(lost.id, lost.address, now.Sub(lost.lastBeat))
		s.crashes.reshuffle = true
	}
	s.sendCrashes(now)
	s.sendRefused(now)
	for _, address := range s.table.silent(now) {
		s.send(address, s.beat(nil, now), false)
	}
	s.askParent(now)
	s.directory.expire(now)
	counts := s.options.Balancer.InFlight()
	revision := s.options.Replica.Revision()
	urgent := s.urgent.Swap(false) && s.passOn(now)
	changed := revision != s.lastRevision || !slices.Equal(counts, s.lastCounts)
	if changed || urgent || now.Sub(s.lastRound) >= beatMost {
		s.lastCounts, s.lastRevision, s.lastRound = counts, revision, now
		s.lastTotals = s.options.Balancer.Totals()
		s.lastFills = s.options.Balancer.Fills()
		s.broadcast(now, urgent)
	}
	s.catchUp(now)
}

// askParent asks the parent for its proof, if there is one and it is time.
func (s *Service) askParent(now time.Time) {
	if now.Sub(s.askedAt) < proofEvery {
		return
	}
	parent := s.look(now).parent()
	if parent == nil {
		return
	}
	s.askedAt = now
	parent.unanswered++
	question := s.brief(parent, now)
	question.WantsProof = true
	s.send(parent.address, question, true)
}

// passOn notifies the children of what is urgent, if there are many peers. It
// returns true if all are to be notified instead, by one of those who ask the
// store: the others would only repeat it to each other, and have no room left
// for their loads.
func (s *Service) passOn(now time.Time) bool {
	seen := s.look(now)
	if !seen.many {
		return seen.asks()
	}
	for _, child := range seen.children() {
		s.send(child.address, s.brief(child, now), true)
	}
	return false
}

// inTurn puts peers in the order of their beats: who has waited longest comes first. Those
// that have waited alike, as all have in a fleet that begins, come in an order of this
// gateway's own: in one that all share, the last would hear nobody until the first had heard
// everybody. Before all others come those that have heard nobody yet: a gateway that the
// settings name as a seed has no bytes for hundreds at once.
func inTurn(live []*peer, own uint64) {
	slices.SortFunc(live, func(a, b *peer) int {
		return cmp.Or(compareBool(b.alone, a.alone), a.reportedAt.Compare(b.reportedAt), cmp.Compare(policy.Score(own, a.hash), policy.Score(own, b.hash)))
	})
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// broadcast sends a beat to each live peer in turn, as far as the budget goes. What is urgent
// goes to all, and the budget is made up for later.
func (s *Service) broadcast(now time.Time, urgent bool) {
	live := slices.Clone(s.look(now).live)
	s.options.OnCensus(s.table.count(len(live)))
	inTurn(live, s.hash)
	for _, to := range live {
		reported := to.reported
		if !s.send(to.address, s.beat(to, now), urgent) {
			to.reported = reported // the placements wait for the next beat
			return
		}
		to.reportedAt = now
	}
}

func (s *Service) receive() {
	buffer := make([]byte, receiveBuffer)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram sent to a closed port comes back as an error.
			if !wait.For(context.Background(), time.Millisecond) {
				return
			}
			continue
		}
		s.receivedBytes.Add(int64(n))
		beat := new(wire.GatewayBeat)
		if proto.Unmarshal(buffer[:n], beat) != nil || beat.GetLife() == s.life || beat.GetId() == s.options.ID {
			continue
		}
		now := clock.Now()
		s.takeRollouts(beat, s.take(beat, now), now)
	}
}
