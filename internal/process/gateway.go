package process

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/inbound"
	"github.com/capersaddle/capersaddle/internal/kernel"
	"github.com/capersaddle/capersaddle/internal/lag"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/peer"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/retrybudget"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/spool"
	"github.com/capersaddle/capersaddle/platform"
)

const (
	// proofMargin is kept between the age of a proof and the time after which
	// a key must not be served, for the way to a target.
	proofMargin = 400 * time.Millisecond
	// denyFreshness is how old the proof may be when a request is denied.
	denyFreshness = 4 * time.Second
	// retryShare of the allowed ratio is what one gateway spends, since the
	// gateways' windows don't begin together.
	retryShare = 0.85
	// leastGateways is how many gateways the retry slack is shared among at
	// least, and gatewaysToCome how many there may be for each one seen: more
	// may join at any time.
	leastGateways  = 8
	gatewaysToCome = 1.3
	// unknownGateways is how many there are taken to be until a process has
	// had the time to hear them, knownAfter.
	unknownGateways = 32
	knownAfter      = 5 * time.Second
	// peerBudget is how many bytes a second are sent to other gateways in
	// beats; the users allow 8 KB for all control.
	peerBudget = 7000
	// drainMargin is kept before the end of the grace time.
	drainMargin = 500 * time.Millisecond
)

// GatewayProcess is a gateway with all its services.
type GatewayProcess struct {
	settings *settings.Gateway
	kernel   *kernel.Kernel
	log      *log.Logger
	observer *observe.Observer
	gateway  *gateway.Gateway
	feed     *platform.Feed
	store    *observe.Dependency
	peers    *peer.Service
	crashes  *gateway.Crashes
	// held is what is held for callers.
	held     *spool.Budget
	rollouts *rollout.Controller
	lag      *lag.Monitor
	// late is what the log last said of the lag.
	late      atomic.Bool
	front     *platform.Front
	callers   *inbound.Listener
	server    *http.Server
	leaving   atomic.Bool
	addresses Addresses
	started   time.Time
	// peerKnewAt is when another gateway was first found to hold the store's
	// content, while this one held nothing; used by the feed only.
	peerKnewAt time.Time
	// expectedGateways is how many gateways there were when the last checkpoint was
	// written; zero if that is not known.
	expectedGateways atomic.Int32
	// mostPeers is used by the peers' rounds only.
	mostPeers int
}

// NewGateway puts a gateway together from its settings and takes its
// addresses.
func NewGateway(s *settings.Gateway, logger *log.Logger) (*GatewayProcess, error) {
	registry := prometheus.NewRegistry()
	p := &GatewayProcess{settings: s, started: time.Now(), kernel: kernel.New(), log: logger.With("process", s.ID)}
	p.observer = observe.New(p.log, observe.NewMetrics(registry))
	p.lag = lag.New()
	sender := platform.NewSender()
	p.gateway = &gateway.Gateway{
		Sender:   sender,
		Balancer: balance.New(balanceOptions(s)),
		Budgets:  retrybudget.New(retryOptions(s)),
		Limiters: admission.NewLimiters(admission.DefaultLimiterOptions()),
		Proof:    new(freshness.Proof),
		Events:   p.observer,
		Options:  gateway.Options{KeyFreshness: keyFreshness(s), DenyFreshness: denyFreshness, PeersReachable: p.accompanied, PeersConfigured: p.othersKnow, ProcessLate: p.lag.Late, StreamDelay: time.Duration(s.Pass)},
	}
	p.held = spool.NewBudget(heldBytes(s))
	p.gateway.Spools = spool.New(spool.Options{MaxPerCaller: spool.DefaultMaxPerCaller, WriteTimeout: spool.DefaultWriteTimeout, CallerEnded: p.observer.CallerEnded}, p.held)
	p.crashes = gateway.NewCrashes(quarantine.New(), p.gateway.Balancer, sender, p.observer)
	p.gateway.Crashes = p.crashes
	p.store = p.observer.NewStoreDependency()
	p.feed = platform.NewFeed(platform.NewStore(s.Store), &sink{process: p, urge: p.urge}, p.storeRole, p.yields)
	p.front = &platform.Front{Gateway: p.gateway, BodyBudget: p.held}
	observe.RegisterGauges(registry, p.gauges())
	steps := []func() error{
		func() error { return p.kernel.Register("lag", p.lag) },
		func() error { return p.kernel.Register("sender", sender) },
		p.joinPeers,
		func() error { return p.kernel.Register("crashes", p.crashes) },
		func() error { return p.joinRollouts(registry) },
		func() error { return p.kernel.Register("feed", p.feed) },
		func() error { return p.kernel.Register("checkpoint", p.newSaver()) },
		p.saveCrashes,
		p.serveCallers,
		p.serveReady,
		func() error { return p.serveMetrics(registry) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.CombineErrors(err, p.kernel.Close())
		}
	}
	return p, nil
}

// gauges are what the process tells of its state when it is asked.
func (p *GatewayProcess) gauges() observe.Gauges {
	traffic := func() (sent, received int64) {
		if p.peers == nil {
			return 0, 0
		}
		return p.peers.Traffic()
	}
	return observe.Gauges{
		ProofAge: func() float64 {
			age, known := p.gateway.Proof.Age(clock.Check())
			if !known {
				return -1
			}
			return age.Seconds()
		},
		Peers: func() float64 {
			if p.peers == nil {
				return 0
			}
			return float64(p.peers.Live())
		},
		Sent:     func() float64 { sent, _ := traffic(); return float64(sent) },
		Received: func() float64 { _, received := traffic(); return float64(received) },
		Waiting: func() float64 {
			total := 0
			p.gateway.Limiters.Each(func(_ string, limiter *admission.Limiter) { total += limiter.Waiting() })
			return float64(total)
		},
		Lag:       func() float64 { return p.lag.Lag().Seconds() },
		Held:      func() float64 { return float64(p.held.Held()) },
		HeldBack:  func() float64 { return float64(len(p.crashes.Table.HeldRequests(clock.Now()))) },
		Resting:   func() float64 { return p.countReason(balance.ReasonRest) },
		Leaving:   func() float64 { return p.countReason(balance.ReasonAnswer) },
		Evacuated: func() float64 { return float64(len(p.gateway.Balancer.Evacuated())) },
		InFlight: func() float64 {
			total := 0
			for _, count := range p.gateway.Balancer.InFlight() {
				total += count.Count
			}
			return float64(total)
		},
	}
}

// keepsCheckpoint says whether this process is the one that writes the checkpoint. Of
// 300 that had begun together and had not heard of each other yet some 28 wrote one,
// of 220 KB with 3,000 targets, to everybody who watches the store.
func (p *GatewayProcess) keepsCheckpoint() bool {
	if p.peers == nil {
		return true
	}
	return time.Since(p.started) >= knownAfter && p.peers.First()
}

// newSaver keeps in the store where parts of prompts are cached.
func (p *GatewayProcess) newSaver() *checkpoint.Saver {
	called := func(err error) { p.observer.StoreCalled("checkpoint", err) }
	saver := checkpoint.NewSaver(p.gateway.Balancer, p.feed, p.keepsCheckpoint, called)
	saver.HeldBack = func() []quarantine.Record { return p.crashes.Table.AtLimit(clock.Now()) }
	return saver
}

// closer is a service that has begun already.
type closer struct {
	close func() error
}

// Start has nothing to do.
func (closer) Start(context.Context) error { return nil }

// Close ends the service.
func (c closer) Close() error { return c.close() }

// Ready says whether callers may come: configuration and servers are known,
// there is a proof to vouch for keys by, and the process gets to run.
func (p *GatewayProcess) Ready() bool {
	return !p.leaving.Load() && p.gateway.Table() != nil && p.feed.Loaded() && p.proven() && !p.checkLate()
}

// proven says whether there ever was a proof that the store's content is known here.
func (p *GatewayProcess) proven() bool {
	_, proven := p.gateway.Proof.Age(clock.Check())
	return proven
}

// targetsListed notes how many targets the first whole copy of the store has brought.
func (p *GatewayProcess) targetsListed() {
	p.observer.TargetsListed(len(p.gateway.Balancer.Targets()))
}

// fetching notes what the peers' service does; it also tells of the first copy.
type fetching struct {
	*observe.Observer
	process *GatewayProcess
}

// ReplicaFetched notes the fetching of the store's content from a peer.
func (f fetching) ReplicaFetched(id string, from, to int64, err error) {
	f.Observer.ReplicaFetched(id, from, to, err)
	if from == 0 && err == nil {
		f.process.targetsListed()
	}
}

func balanceOptions(s *settings.Gateway) balance.Options {
	options := balance.OptionsFor(balance.Bound{Multiple: s.Load.Multiple, Extra: s.Load.Extra})
	options.DataCenter = s.DataCenter
	options.Cold = balance.Bound{Multiple: s.Cold.Multiple, Extra: s.Cold.Extra}
	// What lapsed may also have left, and then gets no new work for long.
	const leaveShare = 0.85
	options.Lapse = min(balance.MostLapse, time.Duration(leaveShare*float64(s.Leave)))
	return options
}

// heldBytes is how many bytes are held for callers at most, without bound if the host's memory
// is not known: the rest of the memory is for
// the process itself, twice over for the collector.
func heldBytes(s *settings.Gateway) int64 {
	const share = 1.0 / 8
	return int64(share * s.Host.MemoryMB * (1 << 20))
}

func retryOptions(s *settings.Gateway) retrybudget.Options {
	return retrybudget.Options{
		Ratio:  retryShare * s.Retry.Ratio,
		Slack:  s.Retry.Slack / unknownGateways,
		Window: time.Duration(s.Retry.Window),
	}
}

func keyFreshness(s *settings.Gateway) time.Duration {
	revocation := time.Duration(s.Revocation)
	if revocation == 0 {
		return 0
	}
	return max(revocation-proofMargin, revocation/2)
}

// Start starts all services.
func (p *GatewayProcess) Start(ctx context.Context) error {
	if err := p.kernel.Start(ctx); err != nil {
		return err
	}
	p.log.Info(observe.EventStart, "callers", p.addresses.Callers, "ready", p.settings.Ready, "metrics", p.addresses.Operators, "store", p.settings.Store, "data_center", p.settings.DataCenter)
	return nil
}

// Drain goes unready, goes on serving until the platform has surely seen it,
// and then waits for the requests in flight. Every answer asks its caller to
// use another connection.
func (p *GatewayProcess) Drain(ctx context.Context) error {
	p.log.Info(observe.EventDrain, "grace_ms", time.Duration(p.settings.Grace).Milliseconds())
	p.leaving.Store(true)
	if p.peers != nil {
		p.peers.Leave()
	}
	p.front.CloseConnections()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.settings.Grace)-drainMargin)
	defer cancel()
	timer := time.NewTimer(unreadyOf(time.Duration(p.settings.Grace)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := p.callers.Drain(ctx); err != nil {
		// The grace time is over: what is left is cut by us or by the platform.
		return errors.CombineErrors(err, p.server.Close())
	}
	return nil
}

// unreadyOf is how long of the grace time an unready gateway still takes
// callers: most of it is left for what is in flight.
func unreadyOf(grace time.Duration) time.Duration {
	const share = 0.4
	return min(unreadyFor, time.Duration(share*float64(grace)))
}

// Close ends everything and waits.
func (p *GatewayProcess) Close() error {
	err := p.kernel.Close()
	p.log.Info(observe.EventStop)
	return err
}

// Forgive lets targets that were left out for their failures back in at once.
func (p *GatewayProcess) Forgive() {
	p.gateway.Balancer.Forgive()
}

// Addresses are where the process listens.
func (p *GatewayProcess) Addresses() Addresses {
	return p.addresses
}

// Reload takes over the settings that may change while the process runs; the
// addresses stay as they were at its start.
func (p *GatewayProcess) Reload(s *settings.Gateway) {
	if level, err := log.ParseLevel(s.Log.Level); err == nil && s.Log.Level != "" {
		p.log.SetLevel(level)
	}
	p.gateway.Budgets.SetRatio(retryShare * s.Retry.Ratio)
}
