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
	// probeEvery is the time between two probes, before jitter.
	probeEvery = time.Second
	// probeTries and probeWait: a member is suspected when so many beats, so
	// far apart, bring no answer.
	probeTries = 3
	probeWait  = 300 * time.Millisecond
	// rosterEvery is the least time between two whole exchanges.
	rosterEvery = 60 * time.Second
	// rosterAfter is how many beats in a row must show another digest before
	// a whole exchange is asked for.
	rosterAfter = 20
	// receiveBuffer is the largest datagram that is read, in bytes.
	receiveBuffer = 2048
)

// PacketConn is the part of a UDP socket that the service uses.
type PacketConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	Close() error
}

var _ PacketConn = (*net.UDPConn)(nil)

// ServiceOptions are what the service needs besides the list.
type ServiceOptions struct {
	// Seeds are beat addresses to begin with.
	Seeds []string
	// Budget is the most bytes a second that are sent.
	BytesPerSecond int
	// Signer signs and checks datagrams; nil for none.
	Signer *secure.Signer
	// ConfigRevision tells the configuration revision in force.
	ConfigRevision func() uint64
	// Roster asks the process at a link address for all members.
	Roster func(ctx context.Context, address string) ([]*wire.Member, error)
}

// Service exchanges datagrams with other processes.
type Service struct {
	list    *List
	conn    PacketConn
	options ServiceOptions
	log     *log.Logger
	// bucket is the byte budget.
	bucket *rate.Limiter

	sequence atomic.Uint64
	mu       sync.Mutex
	// pending are probes that wait for an answer, by sequence.
	pending map[uint64]chan struct{}
	// differs counts beats in a row with another digest.
	differs    int
	lastRoster time.Time

	sent     atomic.Int64
	received atomic.Int64
	bad      atomic.Int64
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// NewService returns a service that owns conn; Start begins its work.
func NewService(list *List, conn PacketConn, options ServiceOptions, logger *log.Logger) *Service {
	if options.Signer == nil {
		options.Signer = &secure.Signer{}
	}
	return &Service{
		list:    list,
		conn:    conn,
		options: options,
		log:     logger,
		bucket:  rate.NewLimiter(rate.Limit(options.BytesPerSecond), options.BytesPerSecond),
		pending: make(map[uint64]chan struct{}),
	}
}

// Start begins to exchange beats.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(s.receiveLoop)
	s.wait.Go(func() { s.probeLoop(ctx) })
	return nil
}

// Close stops and waits.
func (s *Service) Close() error {
	s.cancel()
	err := s.conn.Close()
	s.wait.Wait()
	return errors.Wrap(err, "close socket")
}

// Bad counts datagrams that were dropped for what they held.
func (s *Service) Dropped() int64 {
	return s.bad.Load()
}

// Traffic is the bytes sent and received so far.
func (s *Service) Traffic() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
}

func (s *Service) probeLoop(ctx context.Context) {
	s.greet()
	for wait.For(ctx, probeEvery*3/4+rand.N(probeEvery/2)) {
		s.list.Expire()
		peer, ok := s.list.NextProbe()
		if !ok {
			s.greet()
			continue
		}
		s.wait.Go(func() { s.probe(ctx, peer) })
	}
}

// greet sends a beat to every seed.
func (s *Service) greet() {
	for _, seed := range s.options.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			s.send(address, &wire.Beat{Sequence: s.sequence.Add(1)})
		}
	}
}

// probe asks one member for a sign of life, a few times.
func (s *Service) probe(ctx context.Context, peer *wire.Member) {
	address, err := netip.ParseAddrPort(peer.GetBeatAddress())
	if err != nil {
		return
	}
	answered := make(chan struct{}, probeTries)
	var sequences []uint64
	defer func() { s.expect(nil, sequences...) }()
	for range probeTries {
		sequence := s.sequence.Add(1)
		sequences = append(sequences, sequence)
		s.expect(answered, sequence)
		s.send(address, &wire.Beat{Sequence: sequence})
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-time.After(probeWait):
		}
	}
	s.log.Debug("no answer to beats", "member", peer.GetId())
	s.list.Suspect(peer.GetId())
	s.accuse(ctx, address, peer.GetId())
}

// accuse tells a suspected member of the suspicion, so that it can deny it at
// once if it is up.
func (s *Service) accuse(ctx context.Context, address netip.AddrPort, id string) {
	for range probeTries {
		s.list.ResendSuspicion(id)
		s.send(address, &wire.Beat{Sequence: s.sequence.Add(1)})
		if !wait.For(ctx, probeWait) {
			return
		}
	}
}

const (
	// urgeCount is how many members are told at once of a new configuration
	// revision, each of which tells as many.
	urgeCount = 4
	// urgeSize bounds such a datagram, in bytes.
	urgeSize = 300
)

// Urge tells a few members at once that something has changed here.
func (s *Service) NotifyPeers() {
	for _, address := range s.list.RandomAddresses(urgeCount) {
		if to, err := netip.ParseAddrPort(address); err == nil {
			s.sendSized(to, &wire.Beat{Sequence: s.sequence.Add(1)}, urgeSize)
		}
	}
}

// expect notes who waits for answers; a nil channel ends the waiting.
func (s *Service) expect(answered chan struct{}, sequences ...uint64) {
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

// send sends one datagram if the budget allows; it is made no larger than
// what the budget still holds.
func (s *Service) send(to netip.AddrPort, beat *wire.Beat) {
	s.sendSized(to, beat, beatMost)
}

func (s *Service) sendSized(to netip.AddrPort, beat *wire.Beat, most int) {
	beat.ConfigRevision = s.options.ConfigRevision()
	room := min(int(s.bucket.Tokens()), most) - s.options.Signer.Overhead()
	data, err := proto.Marshal(s.list.Compose(beat, room))
	data = s.options.Signer.Sign(data)
	if err != nil || !s.bucket.AllowN(time.Now(), len(data)) {
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
			continue
		}
		s.received.Add(int64(n))
		beat := new(wire.Beat)
		data, genuine := s.options.Signer.Open(buffer[:n])
		if !genuine || proto.Unmarshal(data, beat) != nil || beat.GetFrom() == "" {
			s.bad.Add(1)
			continue
		}
		s.take(beat, from)
	}
}

func (s *Service) take(beat *wire.Beat, from netip.AddrPort) {
	if denied := s.list.Receive(beat); denied {
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
	s.compare(beat)
}

// compare asks for a whole exchange when what the two know differs for long,
// or when this process knows almost nobody.
func (s *Service) compare(beat *wire.Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat.GetDigest() == s.list.Digest() {
		s.differs = 0
		return
	}
	s.differs++
	first := s.lastRoster.IsZero()
	due := s.differs >= rosterAfter && time.Since(s.lastRoster) > rosterEvery
	if !first && !due {
		return
	}
	address := s.linkAddress(beat)
	if address == "" {
		return
	}
	s.lastRoster = time.Now()
	s.differs = 0
	s.wait.Go(func() { s.exchange(address) })
}

// linkAddress finds where the sender of a beat takes links.
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

// exchangeTimeout bounds one whole exchange.
const exchangeTimeout = 5 * time.Second

func (s *Service) exchange(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	members, err := s.options.Roster(ctx, address)
	if err != nil {
		s.log.Debug("whole exchange failed", "peer", address, "error", err)
		return
	}
	s.list.Merge(members)
}
