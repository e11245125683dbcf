package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
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
	// tick is the time between two rounds, in which the process checks what there is to report.
	tick = 80 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds: a few rounds answer hundreds of
	// gateways that are found within a moment, instead of one round for each.
	minRoundInterval = 15 * time.Millisecond
	// maxHeartbeatInterval is the longest time between two heartbeats to a peer.
	maxHeartbeatInterval = 320 * time.Millisecond
	// maxPlacements and maxKnownAddresses limit the content of one heartbeat.
	maxPlacements     = 32
	maxKnownAddresses = 6
	// allCountsLimit is the number of counts by target up to which a heartbeat in a large fleet
	// carries all of them. In a surge there are more, and loads have to be reported as often as
	// before: then it carries only the largest, at least minCounts.
	allCountsLimit = 16
	minCounts      = 4
	// maxSuspects limits the suspected targets in a heartbeat.
	maxSuspects = 24
	// countsInterval is the time in which each peer has to get a heartbeat with counts. The longer
	// it is, the more counts a heartbeat can carry.
	countsInterval = time.Second
	// baseHeartbeatSize and countSize are the sizes in bytes of a heartbeat without counts and of
	// one count.
	baseHeartbeatSize = 50
	countSize         = 5
	// senderEvery is the number of heartbeats to a peer after which one names its sender again. The
	// first senderFirst of them always do.
	senderEvery = 24
	senderFirst = 4
	// fullMeshLimit is the number of peers up to which heartbeats carry everything. With more peers
	// they carry no placements, so that loads are reported more often.
	fullMeshLimit = 8
	// receiveBuffer is the size of the largest datagram that is read, in bytes.
	receiveBuffer = 4096
	// sentHistory is the number of heartbeats whose sending time is remembered.
	sentHistory = 1024
	// maxFirstSequence bounds the sequence of the first heartbeat, which is random: an answer to one of an
	// earlier run of this process is not taken for one to a heartbeat of this run.
	maxFirstSequence = 1 << 20
	// pullTimeout limits the fetching of a replica.
	pullTimeout = time.Second
	// storeAnswerDelay is how long a gateway that asks the store itself waits for the store's
	// answer before it pulls from a peer that is ahead.
	storeAnswerDelay = 150 * time.Millisecond
)

// Replica is the process's copy of the store's content.
type Replica interface {
	// Revision returns the store revision that the copy has reached.
	Revision() int64
	// PassedOn returns the revision of the last change that other gateways need; it is at most Revision.
	PassedOn() int64
	// Pull returns a request for what the copy lacks.
	Pull() *wire.ReplicaPull
	// Page answers a pull.
	Page(pull *wire.ReplicaPull) *wire.ReplicaPage
	// Absorb applies a peer's page. A page that can't be read changes nothing.
	Absorb(page *wire.ReplicaPage) error
	// Reachable reports whether the last call to the store was answered.
	Reachable() bool
}

// Watcher is notified of peers found and lost, replicas fetched, and refused and suspected
// targets.
type Watcher interface {
	PeerFound(id, address string)
	PeerLost(id, address string, silent time.Duration)
	ReplicaFetched(id string, from, to int64, err error)
	// TargetRefused reports that a target refused a connection of another gateway; from is the peer
	// that forwarded this, which may be a different one.
	TargetRefused(target, from string)
	// TargetSuspected reports that a target is excluded because several gateways got no answer from
	// it; from is the last of them.
	TargetSuspected(target, from string)
	// QuarantineChanged reports that a request is held from now on, or no longer, due to a record
	// from a peer.
	QuarantineChanged(change quarantine.Change, from string)
}

// Options configures a Service.
type Options struct {
	// ID identifies this process.
	ID string
	// Address is where the process receives heartbeats and links, as IP:port.
	Address string
	// Class is the class of this process's host.
	Class Class
	// Seeds are the addresses of other gateways from the settings.
	Seeds []string
	// Budget is the number of bytes a second that the process sends in heartbeats.
	Budget   int
	Replica  Replica
	Proof    *freshness.Proof
	Balancer *balance.Balancer
	// Quarantine holds this process's records of requests under which targets crashed.
	Quarantine *quarantine.Table
	Watcher    Watcher
	// Origins exchanges which versions began streams; without a table that is not done.
	Origins OriginOptions
	// Stale is the age of the proof at which this process asks the store even if others do.
	Stale time.Duration
	// Prove obtains a proof that covers a time, for a gateway that asks for one over a number of hops, and
	// reports whether it could. Nil if this process can't.
	Prove func(ctx context.Context, since time.Time, hops uint32) bool
	// Lag returns how late this process's timers fire; nil means not at all.
	Lag func() time.Duration
	// OnCensus is called with the current counts of peers in every round of heartbeats.
	OnCensus func(census Census)
}

// packetConn is a UDP socket.
type packetConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	SetReadDeadline(at time.Time) error
	Close() error
}

// Service exchanges heartbeats with other gateways.
type Service struct {
	options     Options
	conn        packetConn
	dialer      link.Dialer
	incarnation uint64
	// hash is the hash of this process's id.
	hash   uint64
	bucket *rate.Limiter
	// directoryBucket limits the directory's part of the budget.
	directoryBucket *rate.Limiter
	leaving         atomic.Bool
	// urgent requests a heartbeat to all peers.
	urgent atomic.Bool
	wakeup chan struct{}

	mu    sync.Mutex
	table *table
	// cachedView is the last view of the table; nil if the table has changed since.
	cachedView *view
	sequence   uint64
	// sentAt holds the sending times of heartbeats by their sequence number.
	sentAt [sentHistory]time.Time
	// refused are targets at whose addresses nothing listens. A few peers are notified of them in
	// the next round.
	refused []uint32
	// lastCounts and the fields below hold what the last round of heartbeats reported.
	lastCounts   []balance.Count
	lastTotals   []balance.Total
	lastFills    []balance.Placement
	lastRevision int64
	lastRound    time.Time
	// announced is the revision that was last announced.
	announced int64
	// behindSince is when a peer was first seen ahead; zero while none is.
	behindSince time.Time
	pulling     bool
	// askedAt is when the parent was last asked for its proof.
	askedAt time.Time
	// directory is this gateway's part of the placement directory.
	directory *directory
	// crashes holds the crash records that wait to be sent.
	crashes *crashQueue
	// origins exchanges the records of streams.
	origins *originExchange
	// proofs are the questions for new proofs.
	proofs proofQuestions
	// rollouts is nil if rollouts are not handled.
	rollouts Rollouts

	// wholePages counts the whole copies that are being sent.
	wholePages atomic.Int32

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	cancel        context.CancelFunc
	wait          sync.WaitGroup
}

// New returns a service that owns the socket; Start starts it.
func New(options Options, conn *net.UDPConn, dialer link.Dialer) *Service {
	service := &Service{
		options:         options,
		conn:            conn,
		dialer:          dialer,
		incarnation:     rand.Uint64(),
		sequence:        rand.Uint64N(maxFirstSequence),
		hash:            policy.HashName(options.ID),
		bucket:          rate.NewLimiter(rate.Limit(options.Budget), max(options.Budget, receiveBuffer)),
		directoryBucket: rate.NewLimiter(rate.Limit(directoryShare*float64(options.Budget)), max(options.Budget, receiveBuffer)),
		wakeup:          make(chan struct{}, 1),
		table:           newTable(options.ID, options.Seeds, options.Address, options.Budget),

		directory: newDirectory(),
	}
	service.table.class = options.Class
	service.table.markStarted(clock.Now())
	if options.Quarantine == nil {
		options.Quarantine = quarantine.New()
	}
	service.crashes = newCrashQueue(options.Quarantine, options.Budget)
	service.origins = newOriginExchange(options.Origins, options.Budget)
	return service
}

// Start starts the exchange of heartbeats.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(s.receive)
	s.wait.Go(func() { s.run(ctx) })
	return nil
}

// Close stops the exchange and waits for its goroutines.
func (s *Service) Close() error {
	s.cancel()
	err := s.conn.Close()
	s.wait.Wait()
	return errors.Wrap(err, "close peer socket")
}

// Leave tells the peers that this process is about to stop.
func (s *Service) Leave() {
	s.leaving.Store(true)
	s.wake()
}

// Urge sends an urgent change of the store at once to the peers that get the store's changes from
// this process.
func (s *Service) Urge() {
	s.urgent.Store(true)
	s.wake()
}

// wake starts the next round at once.
func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// viewTTL is how long a view of the table is used. In a large fleet, heartbeats arrive more often
// than the state of the peers changes.
const viewTTL = tick

// currentView returns a view of the table. The caller must hold s.mu.
func (s *Service) currentView(now time.Time) *view {
	if s.cachedView == nil || now.Sub(s.cachedView.at) >= viewTTL || now.Before(s.cachedView.at) {
		s.table.loaded = s.options.Replica.Revision() > 0
		s.cachedView = s.table.newView(now)
	}
	return s.cachedView
}

// Traffic returns the bytes of heartbeats sent and received so far.
func (s *Service) Traffic() (sent, received int64) {
	return s.sentBytes.Load(), s.receivedBytes.Load()
}

func (s *Service) receive() {
	buffer := make([]byte, receiveBuffer)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram that was sent to a closed port comes back as an error.
			if !wait.For(context.Background(), time.Millisecond) {
				return
			}
			continue
		}
		s.receivedBytes.Add(int64(n))
		heartbeat := new(wire.GatewayBeat)
		if proto.Unmarshal(buffer[:n], heartbeat) != nil || heartbeat.GetLife() == s.incarnation || heartbeat.GetId() == s.options.ID {
			continue
		}
		now := clock.Now()
		s.handleRollouts(heartbeat, s.handleHeartbeat(heartbeat, now), now)
	}
}
