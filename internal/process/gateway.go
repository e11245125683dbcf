package process

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

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
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/peer"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/retrybudget"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/seedstore"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/spool"
	"github.com/capersaddle/capersaddle/internal/usage"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/platform"
)

const (
	// proofMargin is subtracted from the time after which a revoked key must not be served, to
	// allow for the delay until a request reaches its target.
	proofMargin = 400 * time.Millisecond
	// denyFreshness is the maximum age of the freshness proof for denying a request.
	denyFreshness = 4 * time.Second
	// gatewayGrowthFactor is the number of gateways that the retry slack is divided by per gateway
	// seen, since more can join at any time.
	gatewayGrowthFactor = 1.3
	// assumedGateways is the number of gateways assumed while a process may not yet have
	// discovered the others, which takes up to discoveryTime from its start and, where its seeds are
	// stale, up to storedDiscoveryTime from its first copy of the store.
	assumedGateways     = 32
	discoveryTime       = 5 * time.Second
	storedDiscoveryTime = 3 * time.Second
	// peerBytesPerSecond limits the heartbeat traffic to other gateways; 8 KB a second are
	// allowed for all control traffic.
	peerBytesPerSecond = 7000
	// drainMargin is left unused before the end of the grace period.
	drainMargin = 500 * time.Millisecond
)

// GatewayProcess runs a gateway and all its services.
type GatewayProcess struct {
	settings *settings.Gateway
	kernel   *kernel.Kernel
	log      *log.Logger
	observer *observe.Observer
	gateway  *gateway.Gateway
	feed     *platform.Feed
	store    *observe.Dependency
	// peers and seeds are nil if the settings name no address for peers.
	peers   *peer.Service
	seeds   *seedstore.Keeper
	crashes *gateway.Crashes
	prover  *prover
	// heldBudget limits the bytes buffered for callers.
	heldBudget *spool.Budget
	rollouts   *rollout.Controller
	lag        *lag.Monitor
	// loggedLate is the lag state that was last logged.
	loggedLate atomic.Bool
	front      *platform.Front
	callers    *inbound.Listener
	server     *http.Server
	addresses  Addresses
	started    time.Time
	// firstCopyAt is when this process first had a copy of the store; nil before.
	firstCopyAt atomic.Pointer[time.Time]
	// peerCopySeenAt is when another gateway was first found to hold the store's content while
	// this one held nothing. Only the feed accesses it.
	peerCopySeenAt time.Time
	// expectedGateways is the number of gateways when the last checkpoint was written; zero if
	// unknown.
	expectedGateways atomic.Int32
	// maxPeers is the highest number of live peers seen. Only the rounds of the peer service
	// access it.
	maxPeers int
}

// NewGateway creates a gateway process from its settings and opens its listeners. The context ends the wait
// for addresses that are in use.
func NewGateway(ctx context.Context, s *settings.Gateway, logger *log.Logger) (*GatewayProcess, error) {
	registry := prometheus.NewRegistry()
	p := &GatewayProcess{settings: s, started: time.Now(), kernel: kernel.New(), log: logger.With("process", s.ID)}
	p.observer = observe.New(p.log, observe.NewMetrics(registry))
	p.lag = lag.New()
	sender := platform.NewSender()
	p.gateway = &gateway.Gateway{
		Sender:   sender,
		Balancer: balance.New(balanceOptions(s)),
		Budgets:  retrybudget.New(retryOptions(s), p.started),
		Limiters: admission.NewLimiters(admission.DefaultLimiterOptions()),
		Proof:    new(freshness.Proof),
		Events:   p.observer,
		Options:  gateway.Options{KeyFreshness: keyFreshness(s), DenyFreshness: denyFreshness, PeersReachable: p.peersReachable, PeersConfigured: p.peersConfigured, ProcessLate: p.lag.Late, StreamDelay: time.Duration(s.Pass)},
	}
	p.heldBudget = spool.NewBudget(maxHeldBytes(s))
	p.gateway.HeldBudget = p.heldBudget
	p.gateway.Spools = spool.New(spool.Options{MaxPerCaller: spool.DefaultMaxPerCaller, WriteTimeout: spool.DefaultWriteTimeout, CallerEnded: p.observer.CallerEnded}, p.heldBudget)
	p.crashes = gateway.NewCrashes(quarantine.New(), p.gateway.Balancer, sender, p.observer)
	p.gateway.Crashes = p.crashes
	p.gateway.Origins = &gateway.Origins{Table: origin.NewTable(), Running: origin.NewTable()}
	p.store = p.observer.NewStoreDependency()
	p.feed = platform.NewFeed(platform.NewStore(s.Store), &sink{process: p, notifyPeers: p.notifyPeers}, p.storeRole, p.yieldsToPeers)
	p.prover = newProver(p)
	p.gateway.Prove = p.prover.Prove
	p.front = &platform.Front{Gateway: p.gateway, BodyBudget: p.heldBudget}
	observe.RegisterGauges(registry, p.gauges())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	steps := []func() error{
		func() error { return p.kernel.Register("lag", p.lag) },
		func() error {
			return p.kernel.Register("memory", usage.NewMonitor(memoryLimit(s), p.observer.MemoryUse))
		},
		func() error { return p.kernel.Register("sender", sender) },
		func() error { return p.registerPeers(ctx) },
		func() error { return p.kernel.Register("crashes", p.crashes) },
		func() error { return p.registerRollouts(registry) },
		func() error { return p.kernel.Register("feed", p.feed) },
		func() error { return p.kernel.Register("checkpoint", p.newCheckpointSaver()) },
		p.registerCrashStore,
		p.registerOriginStore,
		func() error { return p.serveCallers(ctx) },
		func() error { return p.serveReady(ctx) },
		func() error { return p.serveMetrics(registry) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.CombineErrors(err, p.kernel.Close())
		}
	}
	return p, nil
}

// gauges returns the functions that compute the gateway's gauges when metrics are collected.
func (p *GatewayProcess) gauges() observe.Gauges {
	traffic := func() (sent, received int64) {
		if p.peers == nil {
			return 0, 0
		}
		return p.peers.Traffic()
	}
	records := func() peer.WaitingOrigins {
		if p.peers == nil {
			return peer.WaitingOrigins{}
		}
		return p.peers.WaitingOrigins()
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
		MemoryLimit: func() float64 { return float64(memoryLimit(p.settings)) },
		Lag:         func() float64 { return p.lag.Lag().Seconds() },
		Held:        func() float64 { return float64(p.heldBudget.Held()) },
		HeldBack:    func() float64 { return float64(len(p.crashes.Table.HeldRequests(clock.Now()))) },
		Resting:     func() float64 { return p.countTargets(balance.ReasonBackoff) },
		Leaving:     func() float64 { return p.countTargets(balance.ReasonAnswer) },
		Evacuated:   func() float64 { return float64(len(p.gateway.Balancer.Evacuated())) },
		InFlight: func() float64 {
			total := 0
			for _, count := range p.gateway.Balancer.InFlight() {
				total += count.Count
			}
			return float64(total)
		},
		NewStreamRecords:        func() float64 { return float64(records().New) },
		HandedOverStreamRecords: func() float64 { return float64(records().HandedOver) },
		UnneededStreamRecords:   func() float64 { return float64(records().Unneeded) },
	}
}

// writesCheckpoint reports whether this process writes the checkpoint. It waits until the other
// gateways can be known: of 300 that started together, some 28 had not yet discovered the others
// and each wrote one, of 220 KB with 3,000 targets, which the store sent to all its watchers.
func (p *GatewayProcess) writesCheckpoint() bool {
	if p.peers == nil {
		return true
	}
	return !p.isDiscovering() && p.peers.First()
}

// newCheckpointSaver returns the service that saves in the store which targets cache which parts
// of prompts.
func (p *GatewayProcess) newCheckpointSaver() *checkpoint.Saver {
	recordCall := func(err error) { p.observer.StoreCalled("checkpoint", err) }
	saver := checkpoint.NewSaver(p.gateway.Balancer, p.feed, p.writesCheckpoint, recordCall)
	saver.HeldBack = func() []quarantine.Record { return p.crashes.Table.AtLimit(clock.Now()) }
	return saver
}

// closeFunc is a service that is already running and only needs to be closed.
type closeFunc struct {
	close func() error
}

// Start does nothing.
func (closeFunc) Start(context.Context) error { return nil }

// Close stops the service.
func (c closeFunc) Close() error { return c.close() }

// Ready reports whether the gateway accepts callers: configuration and targets are loaded, there
// is a freshness proof for checking API keys, and the process has enough processor time or no
// peer has any to spare.
func (p *GatewayProcess) Ready() bool {
	return !p.gateway.Stop.Begun() && p.gateway.Table() != nil && p.feed.Loaded() && p.hasProof() && !p.checkLag()
}

// hasProof reports whether the process has ever had a proof that it knew the store's content.
func (p *GatewayProcess) hasProof() bool {
	_, known := p.gateway.Proof.Age(clock.Check())
	return known
}

// recordFirstCopy records the first complete copy of the store and the number of targets in it.
func (p *GatewayProcess) recordFirstCopy() {
	now := time.Now()
	p.firstCopyAt.CompareAndSwap(nil, &now)
	p.observer.TargetsListed(len(p.gateway.Balancer.Targets()))
}

// peerWatcher observes the peer service and records the target count after the first copy of the
// store.
type peerWatcher struct {
	*observe.Observer
	process *GatewayProcess
}

// ReplicaFetched records a fetch of the store's content from a peer.
func (w peerWatcher) ReplicaFetched(id string, from, to int64, err error) {
	w.Observer.ReplicaFetched(id, from, to, err)
	if from == 0 && err == nil {
		w.process.recordFirstCopy()
	}
}

func balanceOptions(s *settings.Gateway) balance.Options {
	options := balance.OptionsFor(balance.Bound{Multiple: s.Load.Multiple, Extra: s.Load.Extra})
	options.DataCenter = s.DataCenter
	options.Cold = balance.Bound{Multiple: s.Cold.Multiple, Extra: s.Cold.Extra}
	// A target whose entry lapsed may have left, and then must get no new work once the leave
	// time has passed.
	const leaveShare = 0.85
	options.ExpiryGrace = min(balance.MaxExpiryGrace, time.Duration(leaveShare*float64(s.Leave)))
	return options
}

// maxHeldBytes returns the limit of the bytes buffered for callers. If the host's memory is unknown,
// it returns zero, which means no limit. The rest of the memory is for the process itself, counted
// twice because of the garbage collector.
func maxHeldBytes(s *settings.Gateway) int64 {
	const share = 1.0 / 8
	return int64(share * s.Host.MemoryMB * (1 << 20))
}

// memoryLimit returns the memory that the process may use, in bytes; zero if it is not known.
func memoryLimit(s *settings.Gateway) int64 {
	return int64(s.Host.MemoryMB * (1 << 20))
}

func retryOptions(s *settings.Gateway) retrybudget.Options {
	return retrybudget.Options{
		Ratio:  s.Retry.Ratio,
		Slack:  s.Retry.Slack / assumedGateways,
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

// Drain reports the gateway as not ready, keeps serving until the platform has noticed, and then
// waits for requests in flight. Every answer asks its caller to use another connection.
func (p *GatewayProcess) Drain(ctx context.Context) error {
	grace := time.Duration(p.settings.Grace)
	plan := stopPlan(p.lag.SinceRun(), gatewayUnreadyDelay(grace), grace-drainMargin)
	p.log.Info(observe.EventDrain, "grace_ms", grace.Milliseconds(), "late_ms", clock.Since(plan.Began).Milliseconds())
	p.gateway.Stop.Begin(plan)
	if p.peers != nil {
		p.peers.Leave()
	}
	// The signal may have been sent later than planned for, and then all of the grace period is left.
	ctx, cancel := context.WithTimeout(ctx, grace-drainMargin)
	defer cancel()
	wait.For(ctx, clock.Until(plan.AcceptUntil))
	p.log.Info(observe.EventAcceptingEnded, "late_ms", clock.Since(plan.AcceptUntil).Milliseconds(), "connections", p.callers.Connections())
	if err := p.callers.Drain(ctx); err != nil {
		// The grace period is over: remaining requests are cut off here or by the platform.
		p.log.Warn(observe.EventGraceOver, "connections", p.callers.Connections())
		return errors.CombineErrors(err, p.server.Close())
	}
	return nil
}

// gatewayUnreadyDelay is how long a draining gateway still accepts callers. Most of the grace
// period is kept for requests in flight.
func gatewayUnreadyDelay(grace time.Duration) time.Duration {
	const share = 0.4
	return min(unreadyDelay, time.Duration(share*float64(grace)))
}

// Close stops all services and waits for them.
func (p *GatewayProcess) Close() error {
	return p.kernel.Close()
}

// ReadmitTargets immediately readmits targets that were ejected for their failures.
func (p *GatewayProcess) ReadmitTargets() {
	p.gateway.Balancer.ClearFailures()
}

// Addresses returns the addresses that the process listens on.
func (p *GatewayProcess) Addresses() Addresses {
	return p.addresses
}

// Reload applies the settings that may change at run time; the addresses stay as they were at
// start.
func (p *GatewayProcess) Reload(s *settings.Gateway) {
	if level, err := log.ParseLevel(s.Log.Level); err == nil && s.Log.Level != "" {
		p.log.SetLevel(level)
	}
	p.gateway.Budgets.SetRatio(s.Retry.Ratio)
	if p.peers != nil {
		p.peers.SetSeeds(s.Seeds)
	}
}
