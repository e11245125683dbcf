package process

import (
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

// joinPeers takes the address for other gateways, if there is one.
func (p *GatewayProcess) joinPeers() error {
	if p.settings.Peers == "" {
		p.gateway.Balancer.SetGateways(balance.Gateways{Count: 1})
		return nil
	}
	p.gateway.Balancer.SetGateways(p.placeAmong(peer.Census{}))
	conn, listener, err := listenBoth(p.settings.Peers)
	if err != nil {
		return listenFailed("peers", err)
	}
	address := conn.LocalAddr().String()
	p.addresses.Link, p.addresses.Beat = address, address
	hello := &wire.Hello{Version: link.Version, ProcessId: p.settings.ID, Role: p.settings.Role, DataCenter: p.settings.DataCenter}
	pool := link.NewPool(hello, nil)
	p.peers = peer.New(peer.Options{
		ID:       p.settings.ID,
		Address:  address,
		Class:    classOf(p.settings.Host),
		Seeds:    p.settings.Seeds,
		Budget:   peerBudget,
		Replica:  p.feed,
		Proof:    p.gateway.Proof,
		Balancer: p.gateway.Balancer,
		Watcher:  fetching{p.observer, p},

		Quarantine: p.crashes.Table,
		OnCensus:   p.countPeers,
		Lag:        p.lag.Lag,
		Stale:      staleAfter(p.settings),
	}, conn, pool)
	p.gateway.Directory, p.crashes.Peers = p.peers, p.peers
	if p.mayLeaveReading() {
		turn := peer.StoreOrder(p.settings.ID)
		p.feed.CountGateways(time.Duration(turn*float64(countPatience)), func() bool { return !p.peers.Many() })
	}
	server := link.NewServer(listener, hello, nil, p.log, p.peers.Handle)
	return errors.Join(
		p.kernel.Register("links out", closer{pool.Close}),
		p.kernel.Register("links in", closer{server.Close}),
		p.kernel.Register("peers", p.peers),
	)
}

// countPeers shares the bounds of all gateways among as many as are heard, or
// ever were.
func (p *GatewayProcess) countPeers(census peer.Census) {
	p.gateway.Balancer.SetPeers(census.Live)
	p.gateway.Balancer.SetGateways(p.placeAmong(census))
	p.mostPeers = max(p.mostPeers, census.Live)
	gateways := max(leastGateways, gatewaysToCome*float64(p.mostPeers+1))
	if time.Since(p.started) < knownAfter {
		gateways = max(gateways, unknownGateways)
	}
	p.gateway.Budgets.SetSlack(p.settings.Retry.Slack / gateways)
	p.gateway.AdmitWaiting()
}

// placeAmong is this process's place among all gateways. Until it has had the time
// to discover the others there are taken to be as many as when the last checkpoint
// was written, or more than the usual where none is known.
func (p *GatewayProcess) placeAmong(census peer.Census) balance.Gateways {
	known := census.Known + 1
	if time.Since(p.started) >= knownAfter {
		return balance.Gateways{Count: known, Place: census.Preceding}
	}
	expected := int(p.expectedGateways.Load())
	if expected == 0 {
		expected = unknownGateways
	}
	if known >= expected {
		return balance.Gateways{Count: known, Place: census.Preceding}
	}
	return balance.Gateways{Count: expected, Place: balance.PlaceOf(p.settings.ID, expected)}
}

// accompanied says whether other gateways are heard.
func (p *GatewayProcess) accompanied() bool {
	return p.peers != nil && p.peers.Live() > 0
}

// othersKnow says whether another gateway knows a configuration. With no peers
// to ask it is taken to be so.
func (p *GatewayProcess) othersKnow() bool {
	return p.peers == nil || p.peers.Knows()
}

// inTimeShare of the lag at which a process is late is how much another one may
// have that is to take its callers.
const inTimeShare = 0.5

// othersInTime says whether another gateway has processor time to spare.
func (p *GatewayProcess) othersInTime() bool {
	return p.peers != nil && p.peers.InTime(time.Duration(inTimeShare*float64(lag.Bound)))
}

// checkLate says whether this process is to take no new callers because it
// lacks processor time and another one does not. While it is so, answers ask
// their callers to use another connection.
func (p *GatewayProcess) checkLate() bool {
	late, othersInTime := p.lag.Late(), p.othersInTime()
	if p.late.Swap(late) != late {
		p.observer.Lateness(late, othersInTime, p.lag.Lag())
	}
	p.front.MoveConnections(late && othersInTime)
	return late && othersInTime
}

// staleAfter is the age of the proof at which a gateway asks the store itself:
// in time for what may be new there to be in force.
func staleAfter(s *settings.Gateway) time.Duration {
	const share = 0.9
	return time.Duration(share * float64(min(s.Apply, s.Leave, s.Evacuate)))
}

// peerPatience is how long a process that begins waits for the store's content
// from another gateway which holds it: a packed copy is a tenth of what the
// store sends, and takes 0.04 s on a link of 10 Mbit/s.
const peerPatience = 600 * time.Millisecond

// awaitsPeer says whether this process has no copy of the store yet and is about
// to fetch one from another gateway.
func (p *GatewayProcess) awaitsPeer() bool {
	if p.peers == nil || p.feed.Loaded() || !p.peers.Knows() {
		return false
	}
	if p.peerKnewAt.IsZero() {
		p.peerKnewAt = time.Now()
	}
	return time.Since(p.peerKnewAt) < peerPatience
}

// discoverPatience is how long a process that hears of no other gateway yet takes
// it that there are some: gateways that begin together hear of each other by
// the settings' seeds within 0.1 to 0.2 s.
const discoverPatience = 300 * time.Millisecond

// yields says whether other gateways are there, or may be, that come before this
// one in the order of those who ask the store.
func (p *GatewayProcess) yields() bool {
	if p.peers == nil {
		return false
	}
	return yields(beginning{
		young: p.othersSeeded() && time.Since(p.started) < discoverPatience,
		alone: p.peers.Live() == 0,
		quick: classOf(p.settings.Host).Quick(),
		leads: p.peers.Leads(),
	})
}

// beginning is what a process knows of itself and of the others when it has begun.
type beginning struct {
	// young: gateways that are there may not have been heard yet.
	young bool
	// alone: none was heard.
	alone bool
	// quick: its host reads the whole store within a moment.
	quick bool
	// leads: of those that are known it is among the first to ask the store.
	leads bool
}

// yields says whether a process that begins leaves it to others to read the whole
// store first. On a small host it may yet hear of a larger one.
func yields(b beginning) bool {
	if b.young && (b.alone || !b.quick) {
		return true
	}
	return !b.alone && !b.leads
}

// classOf is the class of a host.
func classOf(host settings.Host) peer.Class {
	return peer.ClassOf(host.Share*host.Cores, host.LinkMbps)
}

const (
	// quickPatience and smallPatience are within which time processes that begin on
	// large and on small hosts begin to read the store, each at a moment of its own,
	// unless they hear of one that comes before them. When 300 begin together, the first
	// 500 entries for each are 73 MB, for which a store's link of 1 Gbit/s takes 0.6 s,
	// and meanwhile nobody gets the rest: the first copy was there after 1.4 s,
	// so it is after 0.2 s. Among few hosts one reads soon.
	quickPatience = 250 * time.Millisecond
	smallPatience = 2 * time.Second
	// patienceEach is what each gateway adds to that time at most: few that begin together
	// are no burden for the store, and wait for nothing. Their number stands beside the
	// last checkpoint; four of them read within 28 ms, where up to 2 s cost a
	// deployment of four gateways 0.4 s after each loss of all of them.
	patienceEach = 7 * time.Millisecond
	// countPatience is within which time processes that begin ask for the number of
	// gateways, each at a moment of its own: those that have heard many by then, or have got
	// a copy of the store, need not.
	countPatience = 200 * time.Millisecond
	// leaderPatience is how long they wait for the copy of one that comes before them.
	leaderPatience = time.Second
)

// mayLeaveReading says whether this process ever waits before it reads the store. One
// that knows of no other gateway, or not what its host has, does not.
func (p *GatewayProcess) mayLeaveReading() bool {
	return p.peers != nil && p.othersSeeded() && classOf(p.settings.Host) != 0
}

// leavesReading says whether this process, which holds nothing yet, waits for a copy
// of the store instead of beginning to read it.
func (p *GatewayProcess) leavesReading() bool {
	if !p.mayLeaveReading() || p.feed.Loaded() {
		return false
	}
	since := time.Since(p.started)
	following := p.peers.Live() > 0 && !p.peers.Leads()
	return since < p.readsAfter() || following && since < p.among(leaderPatience)
}

// readsAfter is this process's moment: the earlier, the further in front it stands in
// the order of those who ask the store.
func (p *GatewayProcess) readsAfter() time.Duration {
	patience := smallPatience
	if classOf(p.settings.Host).Quick() {
		patience = quickPatience
	}
	return time.Duration(float64(p.among(patience)) * peer.StoreOrder(p.settings.ID))
}

// among is how much of a time to wait is needed among as many gateways as there are.
func (p *GatewayProcess) among(patience time.Duration) time.Duration {
	if known := p.feed.Gateways(); known > 0 {
		return min(patience, time.Duration(known)*patienceEach)
	}
	return patience
}

// othersSeeded says whether the settings name another gateway.
func (p *GatewayProcess) othersSeeded() bool {
	return slices.ContainsFunc(p.settings.Seeds, func(seed string) bool { return seed != p.addresses.Link })
}

// hasJustRead says whether this process has read the store and may not have heard the others
// yet: of hundreds that begin together each would go on to watch it.
func (p *GatewayProcess) hasJustRead() bool {
	return p.peers != nil && p.feed.Loaded() && p.othersSeeded() && time.Since(p.started) < discoverPatience
}

// storeRole is this process's part in asking the store.
func (p *GatewayProcess) storeRole() platform.Role {
	switch {
	case p.awaitsPeer() || p.leavesReading() || p.hasJustRead():
		return platform.RoleFollower
	case p.peers == nil || p.peers.First():
		return platform.RolePrimary
	case p.peers.Asks():
		return platform.RoleSecondary
	}
	return platform.RoleFollower
}
