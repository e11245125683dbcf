package member

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// probeInterval is the time between two probes, before jitter.
	probeInterval = time.Second
	// A member is suspected if it answers none of probeAttempts heartbeats, which are sent
	// probeTimeout apart.
	probeAttempts = 3
	probeTimeout  = 300 * time.Millisecond
	// rosterInterval is the minimum time between two roster exchanges.
	rosterInterval = 60 * time.Second
	// rosterThreshold is the number of successive heartbeats with another digest after which the
	// roster is requested.
	rosterThreshold = 20
	// receiveBuffer is the maximum size of a datagram that is read, in bytes.
	receiveBuffer = 2048
	// receivePause is the pause after a failed read, which may fail again and again for a while.
	receivePause = time.Millisecond
)

// PacketConn is the part of a UDP socket that the service uses.
type PacketConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	Close() error
}

var _ PacketConn = (*net.UDPConn)(nil)

// ServiceOptions configure a Service, besides the options of its List.
type ServiceOptions struct {
	// Seeds are the heartbeat addresses contacted at the start, and while no other member is
	// known.
	Seeds []string
	// BytesPerSecond limits the bytes sent.
	BytesPerSecond int
	// Signer signs and verifies datagrams; nil means none.
	Signer *secure.Signer
	// ConfigRevision returns the current configuration revision.
	ConfigRevision func() uint64
	// Roster requests all members from the process at a link address.
	Roster func(ctx context.Context, address string) ([]*wire.Member, error)
}

// Service exchanges datagrams with other processes.
type Service struct {
	list    *List
	conn    PacketConn
	options ServiceOptions
	log     *log.Logger
	// limiter enforces the byte budget.
	limiter *rate.Limiter

	sequence atomic.Uint64
	mu       sync.Mutex
	// pending holds, by sequence number, the channels of probes that wait for an answer.
	pending map[uint64]chan struct{}
	// digestMismatches counts successive heartbeats with another digest.
	digestMismatches int
	lastRoster       time.Time

	sent     atomic.Int64
	received atomic.Int64
	dropped  atomic.Int64
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// NewService returns a service that owns conn; Start starts it.
func NewService(list *List, conn PacketConn, options ServiceOptions, logger *log.Logger) *Service {
	if options.Signer == nil {
		options.Signer = &secure.Signer{}
	}
	return &Service{
		list:    list,
		conn:    conn,
		options: options,
		log:     logger,
		limiter: rate.NewLimiter(rate.Limit(options.BytesPerSecond), options.BytesPerSecond),
		pending: make(map[uint64]chan struct{}),
	}
}

// Start starts exchanging heartbeats.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(s.receiveLoop)
	s.wait.Go(func() { s.probeLoop(ctx) })
	return nil
}

// Close stops the service and waits.
func (s *Service) Close() error {
	s.cancel()
	err := s.conn.Close()
	s.wait.Wait()
	return errors.Wrap(err, "close socket")
}

// Dropped returns the number of datagrams dropped because of their content.
func (s *Service) Dropped() int64 {
	return s.dropped.Load()
}

// Traffic returns the bytes sent and received so far.
func (s *Service) Traffic() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
}

func (s *Service) probeLoop(ctx context.Context) {
	s.contactSeeds()
	for wait.For(ctx, probeInterval*3/4+rand.N(probeInterval/2)) {
		s.list.Expire()
		peer, ok := s.list.NextProbe()
		if !ok {
			s.contactSeeds()
			continue
		}
		s.wait.Go(func() { s.probe(ctx, peer) })
	}
}

// contactSeeds sends a heartbeat to every seed.
func (s *Service) contactSeeds() {
	for _, seed := range s.options.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			s.send(address, &wire.Beat{Sequence: s.sequence.Add(1)})
		}
	}
}

// probe sends a member up to probeAttempts heartbeats, and suspects it if none is answered.
func (s *Service) probe(ctx context.Context, peer *wire.Member) {
	address, err := netip.ParseAddrPort(peer.GetBeatAddress())
	if err != nil {
		return
	}
	answered := make(chan struct{}, probeAttempts)
	var sequences []uint64
	defer func() { s.setPending(nil, sequences...) }()
	for range probeAttempts {
		sequence := s.sequence.Add(1)
		sequences = append(sequences, sequence)
		s.setPending(answered, sequence)
		s.send(address, &wire.Beat{Sequence: sequence})
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-time.After(probeTimeout):
		}
	}
	s.log.Debug("no answer to heartbeats", "member", peer.GetId())
	s.list.Suspect(peer.GetId())
	s.notifySuspect(ctx, address, peer.GetId())
}

// notifySuspect tells a suspected member of the suspicion, so that it can refute it at once if it
// is up.
func (s *Service) notifySuspect(ctx context.Context, address netip.AddrPort, id string) {
	for range probeAttempts {
		s.list.ResendSuspicion(id)
		s.send(address, &wire.Beat{Sequence: s.sequence.Add(1)})
		if !wait.For(ctx, probeTimeout) {
			return
		}
	}
}

const (
	// notifyCount is how many members are notified at once of a new configuration revision. Each
	// of them notifies as many.
	notifyCount = 4
	// maxNotifyBytes limits such a datagram.
	maxNotifyBytes = 300
)

// NotifyPeers immediately sends a few members a heartbeat, so that they learn of a change here.
func (s *Service) NotifyPeers() {
	for _, address := range s.list.RandomAddresses(notifyCount) {
		if to, err := netip.ParseAddrPort(address); err == nil {
			s.sendSized(to, &wire.Beat{Sequence: s.sequence.Add(1)}, maxNotifyBytes)
		}
	}
}

// setPending registers the channel that waits for answers to the sequence numbers; a nil channel
// removes them.
func (s *Service) setPending(answered chan struct{}, sequences ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sequence := range sequences {
		if answered == nil {
			delete(s.pending, sequence)
			continue
		}
		s.pending[sequence] = answered
	}
}

// send sends one datagram if the budget allows; the datagram is made no larger than the rest of
// the budget.
func (s *Service) send(to netip.AddrPort, beat *wire.Beat) {
	s.sendSized(to, beat, maxDatagramBytes)
}

func (s *Service) sendSized(to netip.AddrPort, beat *wire.Beat, maxSize int) {
	beat.ConfigRevision = s.options.ConfigRevision()
	size := min(int(s.limiter.Tokens()), maxSize) - s.options.Signer.Overhead()
	data, err := proto.Marshal(s.list.Compose(beat, size))
	data = s.options.Signer.Sign(data)
	if err != nil || !s.limiter.AllowN(time.Now(), len(data)) {
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err == nil {
		s.sent.Add(int64(len(data)))
	}
}

func (s *Service) receiveLoop() {
	buffer := make([]byte, receiveBuffer)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			wait.For(context.Background(), receivePause)
			continue
		}
		s.received.Add(int64(n))
		beat := new(wire.Beat)
		data, genuine := s.options.Signer.Open(buffer[:n])
		if !genuine || proto.Unmarshal(data, beat) != nil || beat.GetFrom() == "" {
			s.dropped.Add(1)
			continue
		}
		s.handle(beat, from)
	}
}

func (s *Service) handle(beat *wire.Beat, from netip.AddrPort) {
	if refuted := s.list.Receive(beat); refuted {
		s.NotifyPeers()
	}
	if beat.GetAck() {
		s.mu.Lock()
		answered, ok := s.pending[beat.GetSequence()]
		s.mu.Unlock()
		if ok {
			select {
			case answered <- struct{}{}:
			default:
			}
		}
	} else {
		s.send(from, &wire.Beat{Sequence: beat.GetSequence(), Ack: true})
	}
	s.compareDigest(beat)
}

// compareDigest requests the roster if the digests of the two processes have differed for long, or
// if this process has never requested one.
func (s *Service) compareDigest(beat *wire.Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat.GetDigest() == s.list.Digest() {
		s.digestMismatches = 0
		return
	}
	s.digestMismatches++
	neverRequested := s.lastRoster.IsZero()
	due := s.digestMismatches >= rosterThreshold && time.Since(s.lastRoster) > rosterInterval
	if !neverRequested && !due {
		return
	}
	address := s.linkAddress(beat)
	if address == "" {
		return
	}
	s.lastRoster = time.Now()
	s.digestMismatches = 0
	s.wait.Go(func() { s.fetchRoster(address) })
}

// linkAddress returns the address at which the sender of a heartbeat accepts links.
func (s *Service) linkAddress(beat *wire.Beat) string {
	for _, m := range beat.GetMembers() {
		if m.GetId() == beat.GetFrom() {
			return m.GetLinkAddress()
		}
	}
	for _, peer := range s.list.Peers() {
		if peer.ID == beat.GetFrom() {
			return peer.LinkAddress
		}
	}
	return ""
}

// rosterTimeout limits one roster exchange.
const rosterTimeout = 5 * time.Second

func (s *Service) fetchRoster(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), rosterTimeout)
	defer cancel()
	members, err := s.options.Roster(ctx, address)
	if err != nil {
		s.log.Debug("roster exchange failed", "peer", address, "error", err)
		return
	}
	s.list.Merge(members)
}
