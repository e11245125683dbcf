package process

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/lag"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/peer"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/wire"
	"github.com/capersaddle/capersaddle/platform"
)

// registerPeers listens on the address for other gateways, if there is one, and adds the peer
// services.
func (p *GatewayProcess) registerPeers(ctx context.Context) error {
	if p.settings.Peers == "" {
		p.gateway.Balancer.SetGateways(balance.Gateways{Count: 1})
		return nil
	}
	p.gateway.Balancer.SetGateways(p.gatewayPlace(peer.Census{}))
	sockets, err := p.opener().Pair(ctx, p.settings.Peers)
	if err != nil {
		return listenError("peers", err)
	}
	address := sockets.UDP.LocalAddr().String()
	p.addresses.Link, p.addresses.Beat = address, address
	hello := &wire.Hello{Version: link.Version, ProcessId: p.settings.ID, Role: p.settings.Role, DataCenter: p.settings.DataCenter}
	pool := link.NewPool(hello, nil)
	p.peers = peer.New(peer.Options{
		ID:       p.settings.ID,
		Address:  address,
		Class:    hostClass(p.settings.Host),
		Seeds:    p.settings.Seeds,
		Budget:   peerBytesPerSecond,
		Replica:  p.feed,
		Proof:    p.gateway.Proof,
		Balancer: p.gateway.Balancer,
		Watcher:  peerWatcher{p.observer, p},
		Prove:    p.prover.ProveForPeer,

		Quarantine: p.crashes.Table,
		Origins:    peer.OriginOptions{Table: p.gateway.Origins.Table, Running: p.gateway.Origins.Running, Sole: p.gateway.SoleOrigin, SoleAfter: p.gateway.SoleOriginAfter},
		OnCensus:   p.applyCensus,
		Lag:        p.lag.Lag,
		Stale:      staleAfter(p.settings),
	}, sockets.UDP, pool)
	p.gateway.Directory, p.crashes.Peers, p.gateway.Origins.Peers = p.peers, p.peers, p.peers
	if p.mayDeferReading() {
		position := peer.StoreOrder(p.settings.ID)
		p.feed.CountGateways(time.Duration(position*float64(countWindow)), func() bool { return !p.peers.Many() })
	}
	p.seeds = p.newSeedKeeper()
	server := link.NewServer(sockets.TCP, hello, nil, p.log, p.peers.Handle)
	return errors.Join(
		p.kernel.Register("links out", closeFunc{pool.Close}),
		p.kernel.Register("links in", closeFunc{server.Close}),
		p.kernel.Register("peers", p.peers),
		p.kernel.Register("seeds", p.seeds),
	)
}

// applyCensus divides the fleet-wide limits by the number of gateways: the balancer's by those
// now known, the retry slack by the most ever seen.
func (p *GatewayProcess) applyCensus(census peer.Census) {
	p.gateway.Balancer.SetPeers(census.Live)
	p.gateway.Balancer.SetGateways(p.gatewayPlace(census))
	p.maxPeers = max(p.maxPeers, census.Live)
	p.gateway.Budgets.SetSlack(p.settings.Retry.Slack / p.gatewaysSharingSlack())
	p.gateway.AdmitWaiting()
}

// gatewaysSharingSlack returns the number of gateways that the retry slack is divided by: the most
// that were ever seen or, if that is more, as many as when the last checkpoint was written. Until
// the process has had time to discover the others, it is at least assumedGateways.
func (p *GatewayProcess) gatewaysSharingSlack() float64 {
	known := max(p.maxPeers+1, int(p.expectedGateways.Load()))
	gateways := gatewayGrowthFactor * float64(known)
	if p.isDiscovering() {
		return max(gateways, assumedGateways)
	}
	return gateways
}

// isDiscovering reports whether this process may not yet have had the time to discover the other gateways.
func (p *GatewayProcess) isDiscovering() bool {
	if time.Since(p.started) < discoveryTime {
		return true
	}
	firstCopyAt := p.firstCopyAt.Load()
	return firstCopyAt != nil && time.Since(*firstCopyAt) < storedDiscoveryTime
}

// gatewayPlace returns the number of gateways and this process's position among them. Until the
// process has had time to discover the others, it assumes as many as when the last checkpoint was
// written or, if that is unknown, assumedGateways, which is more than usual.
func (p *GatewayProcess) gatewayPlace(census peer.Census) balance.Gateways {
	known := census.Known + 1
	if !p.isDiscovering() {
		return balance.Gateways{Count: known, Place: census.Preceding}
	}
	expected := int(p.expectedGateways.Load())
	if expected == 0 {
		expected = assumedGateways
	}
	if known >= expected {
		return balance.Gateways{Count: known, Place: census.Preceding}
	}
	return balance.Gateways{Count: expected, Place: balance.PlaceOf(p.settings.ID, expected)}
}

// peersReachable reports whether any other gateway is live.
func (p *GatewayProcess) peersReachable() bool {
	return p.peers != nil && p.peers.Live() > 0
}

// peersConfigured reports whether another gateway that isn't stopping has a configuration. Without
// peers to ask, it assumes so.
func (p *GatewayProcess) peersConfigured() bool {
	return p.peers == nil || p.peers.Serves()
}

// spareLagShare is the maximum lag of a peer that can take over callers, as a fraction of the lag
// at which a process counts as late.
const spareLagShare = 0.5

// peersOnTime reports whether another gateway has processor time to spare.
func (p *GatewayProcess) peersOnTime() bool {
	return p.peers != nil && p.peers.InTime(time.Duration(spareLagShare*float64(lag.Bound)))
}

// checkLag reports whether this process should accept no new callers because it lacks processor
// time and a peer does not. While so, answers ask callers to use another connection.
func (p *GatewayProcess) checkLag() bool {
	late, peerOnTime := p.lag.Late(), p.peersOnTime()
	if p.loggedLate.Swap(late) != late {
		p.observer.Lateness(late, peerOnTime, p.lag.Lag())
	}
	p.front.MoveConnections(late && peerOnTime)
	return late && peerOnTime
}

// staleAfter is the age of the proof at which a gateway asks the store itself, early enough that
// a change found there is in force within its time limit.
func staleAfter(s *settings.Gateway) time.Duration {
	const share = 0.9
	return time.Duration(share * float64(min(s.Apply, s.Leave, s.Evacuate)))
}

// peerCopyTimeout is how long a starting process waits for the store's content from a gateway
// that holds it: a compressed copy is a tenth of what the store sends, and takes 0.04 s on a link
// of 10 Mbit/s.
const peerCopyTimeout = 600 * time.Millisecond

// awaitsPeerCopy reports whether this process has no copy of the store yet and is about to fetch
// one from another gateway.
func (p *GatewayProcess) awaitsPeerCopy() bool {
	if p.peers == nil || p.feed.Loaded() || !p.peers.Knows() {
		return false
	}
	if p.peerCopySeenAt.IsZero() {
		p.peerCopySeenAt = time.Now()
	}
	return time.Since(p.peerCopySeenAt) < peerCopyTimeout
}

// peerDiscoveryTimeout is how long a process with no live peers assumes that there are some:
// gateways that start together discover each other through the seeds within 0.1 to 0.2 s.
const peerDiscoveryTimeout = 300 * time.Millisecond

// yieldsToPeers reports whether there are, or may be, other gateways that precede this one in the
// order in which gateways ask the store.
func (p *GatewayProcess) yieldsToPeers() bool {
	if p.peers == nil {
		return false
	}
	return shouldYield(startupState{
		discovering:  p.hasOtherSeeds() && time.Since(p.started) < peerDiscoveryTimeout,
		noPeers:      p.peers.Live() == 0,
		quickHost:    hostClass(p.settings.Host).Quick(),
		firstInOrder: p.peers.Leads(),
	})
}

// startupState is what a starting process knows about itself and its peers.
type startupState struct {
	// discovering is set while existing gateways may not have been discovered yet.
	discovering bool
	// noPeers is set if no other gateway is live.
	noPeers bool
	// quickHost is set if the host can read the whole store quickly.
	quickHost bool
	// firstInOrder is set if the process is among the first of the known gateways to ask the
	// store.
	firstInOrder bool
}

// shouldYield reports whether a starting process leaves it to others to read the whole store
// first. A process on a small host may still discover one on a larger host.
func shouldYield(state startupState) bool {
	if state.discovering && (state.noPeers || !state.quickHost) {
		return true
	}
	return !state.noPeers && !state.firstInOrder
}

// hostClass returns the peer class of a host, by its share of processor cores and its link.
func hostClass(host settings.Host) peer.Class {
	return peer.ClassOf(host.Share*host.Cores, host.LinkMbps)
}

const (
	// quickReadWindow and smallReadWindow are the windows in which starting processes on large
	// and on small hosts start to read the store, each at its own offset, unless they discover
	// one that precedes them. When 300 start together, reading the first 500 entries takes 73 MB
	// in all, 0.6 s of a store's link of 1 Gbit/s, which delays the rest for everyone: the first
	// copy was complete after 1.4 s; with the windows it is after 0.2 s. With few hosts, one of
	// them reads soon.
	quickReadWindow = 250 * time.Millisecond
	smallReadWindow = 2 * time.Second
	// readWindowPerGateway limits the window to this much for each gateway: a few that start
	// together are no load for the store and need not wait. Their number is stored beside the
	// last checkpoint. Four gateways read within 28 ms; waiting up to 2 s cost a deployment of
	// four 0.4 s after each loss of all of them.
	readWindowPerGateway = 7 * time.Millisecond
	// countWindow is the window in which starting processes ask for the number of gateways, each
	// at its own offset. Those that have discovered many by then, or have got a copy of the
	// store, need not ask.
	countWindow = 200 * time.Millisecond
	// leaderCopyTimeout is how long a starting process waits for the copy of one that precedes
	// it.
	leaderCopyTimeout = time.Second
)

// mayDeferReading reports whether this process can ever wait before it reads the store. It never
// does if no other gateway is named or the host's resources are unknown.
func (p *GatewayProcess) mayDeferReading() bool {
	return p.peers != nil && p.hasOtherSeeds() && hostClass(p.settings.Host) != 0
}

// defersReading reports whether this process holds no copy of the store yet and waits for one
// instead of starting to read the store.
func (p *GatewayProcess) defersReading() bool {
	if !p.mayDeferReading() || p.feed.Loaded() {
		return false
	}
	since := time.Since(p.started)
	following := p.peers.Live() > 0 && !p.peers.Leads()
	return since < p.readDelay() || following && since < p.scaleToFleet(leaderCopyTimeout)
}

// readDelay returns this process's offset in the read window: the earlier its position in the
// order in which gateways ask the store, the shorter.
func (p *GatewayProcess) readDelay() time.Duration {
	window := smallReadWindow
	if hostClass(p.settings.Host).Quick() {
		window = quickReadWindow
	}
	return time.Duration(float64(p.scaleToFleet(window)) * peer.StoreOrder(p.settings.ID))
}

// scaleToFleet shortens a time limit to what the known number of gateways needs.
func (p *GatewayProcess) scaleToFleet(limit time.Duration) time.Duration {
	if known := p.feed.Gateways(); known > 0 {
		return min(limit, time.Duration(known)*readWindowPerGateway)
	}
	return limit
}

// hasOtherSeeds reports whether the settings name another gateway.
func (p *GatewayProcess) hasOtherSeeds() bool {
	return slices.ContainsFunc(p.settings.Seeds, func(seed string) bool { return seed != p.addresses.Link })
}

// mayMissPeers reports whether this process has already read the store but may not have
// discovered its peers yet. Without this check, each of hundreds that start together would go on
// to watch the store.
func (p *GatewayProcess) mayMissPeers() bool {
	return p.peers != nil && p.feed.Loaded() && p.hasOtherSeeds() && time.Since(p.started) < peerDiscoveryTimeout
}

// storeRole returns this process's part in reading the store.
func (p *GatewayProcess) storeRole() platform.Role {
	switch {
	case p.awaitsPeerCopy() || p.defersReading() || p.mayMissPeers():
		return platform.RoleFollower
	case p.peers == nil || p.peers.First():
		return platform.RolePrimary
	case p.peers.Asks():
		return platform.RoleSecondary
	}
	return platform.RoleFollower
}
